//! What is wrong, and where.

use std::fmt;
use std::ops::Range;

use ariadne::{Config, IndexType, Label, Report, ReportKind, Source};

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Bytes of the text.
    pub at: Range<usize>,
    /// The field, as `runtime.sockets[0].level`; empty where the notation itself is broken.
    pub path: String,
    /// What is wrong, with what was expected.
    pub text: String,
}

impl SettingsError {
    pub(crate) fn new(at: &Range<usize>, path: &str, text: impl Into<String>) -> Self {
        SettingsError {
            at: at.clone(),
            path: path.to_owned(),
            text: text.into(),
        }
    }

    /// The fault in one line, without its place.
    pub fn line(&self) -> String {
        if self.path.is_empty() {
            self.text.clone()
        } else {
            format!("`{}`: {}", self.path, self.text)
        }
    }
}

/// A line and a column, both from 1; columns are characters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub line: usize,
    pub column: usize,
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

pub fn position(source: &str, at: usize) -> Position {
    let before = source.get(..at.min(source.len())).unwrap_or(source);
    let start = before.rfind('\n').map_or(0, |end| end + 1);
    Position {
        line: before.matches('\n').count() + 1,
        column: before[start..].chars().count() + 1,
    }
}

/// All faults with the lines they are in, for people.
pub fn render(name: &str, source: &str, faults: &[SettingsError]) -> String {
    let mut text = Vec::new();
    for error in faults {
        let place = position(source, error.at.start);
        let config = Config::default()
            .with_color(false)
            .with_index_type(IndexType::Byte);
        let span = (name, error.at.start..error.at.end.max(error.at.start));
        let report = Report::build(ReportKind::Error, span.clone())
            .with_config(config)
            .with_message(format!("{name}:{place}: {}", error.line()))
            .with_label(Label::new(span).with_message(&error.text))
            .finish();
        if report
            .write((name, Source::from(source)), &mut text)
            .is_err()
        {
            text.extend(format!("{name}:{place}: {}\n", error.line()).into_bytes());
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}
