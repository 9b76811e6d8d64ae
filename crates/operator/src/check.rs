//! Every error of a file, one line each. The configuration's are those by which a control node refuses it.

mod configuration;
mod deploy;
mod settings;

use std::path::Path;

pub use configuration::{call, configuration, faults};
pub use deploy::deploy;
pub use settings::settings;

/// What a role may serve.
const SERVES: [&str; 3] = ["edge", "control", "directory"];

/// A file's errors; its kind is told by what its name ends in.
pub fn file(path: &Path) -> Vec<String> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return vec![error.to_string()],
    };
    match path.extension().and_then(|extension| extension.to_str()) {
        Some("toml") => deploy(&text),
        Some("yaml" | "yml") => settings(&text),
        Some("json") => configuration(&text),
        _ => vec!["neither .toml (deploy), .yaml (settings) nor .json (configuration)".to_owned()],
    }
}

fn one_line(error: impl ToString) -> String {
    let text = error.to_string();
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
