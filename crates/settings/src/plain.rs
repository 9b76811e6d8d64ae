//! A file's values: references followed, what is written in parts put together.

use std::ops::Range;

use crate::fault::SettingsError;
use crate::syntax::{Expr, Field, Node, Record, Unit};

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Plain {
    pub at: Range<usize>,
    pub of: PlainValue,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PlainValue {
    Null,
    Bool(bool),
    Number(f64, Option<Unit>),
    Text(String),
    List(Vec<Plain>),
    Record(Vec<Named>),
    /// Told already.
    Broken,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Named {
    pub name: String,
    pub at: Range<usize>,
    pub value: Plain,
}

/// Fields that others may refer to and nobody else sees.
fn hidden(name: &str) -> bool {
    name.starts_with(['_', '#'])
}

struct Reader<'a> {
    /// The records around what is being read, the outermost first.
    scopes: Vec<&'a Record>,
    /// References under way, by the place of the field: none may lead back to itself.
    under_way: Vec<usize>,
    faults: &'a mut Vec<SettingsError>,
}

/// How deep records, lists and references may go.
const DEEPEST: usize = 64;

impl<'a> Reader<'a> {
    fn expr(&mut self, of: &'a Expr, path: &str) -> Plain {
        let mut broken = |text: &str| {
            self.faults.push(SettingsError::new(&of.at, path, text));
            PlainValue::Broken
        };
        let read = match &of.node {
            _ if self.scopes.len() + self.under_way.len() > DEEPEST => broken("this is too deep"),
            Node::Null => PlainValue::Null,
            Node::Bool(flag) => PlainValue::Bool(*flag),
            Node::Number(number, unit) => PlainValue::Number(*number, *unit),
            Node::Text(text) => PlainValue::Text(text.clone()),
            Node::List(items) => {
                let each = items.iter().enumerate();
                PlainValue::List(
                    each.map(|(i, item)| self.expr(item, &format!("{path}[{i}]")))
                        .collect(),
                )
            }
            Node::Record(record) if record.open => {
                broken("`...` is for schemas; here all fields are named")
            }
            Node::Record(record) => PlainValue::Record(self.record(record, path)),
            Node::Name(name) => return self.refer(name, &of.at, path),
            Node::Bound(..) | Node::All(_) | Node::Either(_) | Node::Many(_) => {
                broken("expected a value; bounds and alternatives are for schemas")
            }
        };
        Plain {
            at: of.at.clone(),
            of: read,
        }
    }

    fn record(&mut self, record: &'a Record, path: &str) -> Vec<Named> {
        self.scopes.push(record);
        let mut read: Vec<Named> = Vec::new();
        for field in &record.fields {
            let way = if path.is_empty() {
                field.name.clone()
            } else {
                format!("{path}.{}", field.name)
            };
            if field.optional || !field.attributes.is_empty() {
                self.faults.push(SettingsError::new(
                    &field.at,
                    &way,
                    "`?` and `@` are for schemas",
                ));
            }
            if hidden(&field.name) {
                continue;
            }
            self.under_way.push(field.at.start);
            let value = self.expr(&field.value, &way);
            self.under_way.pop();
            match read.iter_mut().find(|other| other.name == field.name) {
                None => read.push(Named {
                    name: field.name.clone(),
                    at: field.at.clone(),
                    value,
                }),
                Some(other) => unite(&mut other.value, value, &way, &field.at, self.faults),
            }
        }
        self.scopes.pop();
        read
    }

    /// What another field says: the innermost of its name, then further in by the dots.
    fn refer(&mut self, name: &str, at: &Range<usize>, path: &str) -> Plain {
        let broken = |reader: &mut Self, text: String| {
            reader.faults.push(SettingsError::new(at, path, text));
            Plain {
                at: at.clone(),
                of: PlainValue::Broken,
            }
        };
        let mut names = name.split('.');
        let first = names.next().unwrap_or_default();
        let field =
            |record: &'a Record, name: &str| record.fields.iter().find(|field| field.name == name);
        let found: Option<(usize, &'a Field)> = (0..self.scopes.len())
            .rev()
            .find_map(|depth| field(self.scopes[depth], first).map(|field| (depth, field)));
        let Some((depth, mut of)) = found else {
            return broken(
                self,
                format!("no field `{first}` to refer to; text stands in quotes"),
            );
        };
        let mut scopes: Vec<&'a Record> = self.scopes[..=depth].to_vec();
        for name in names {
            let Node::Record(record) = &of.value.node else {
                return broken(self, format!("`{}` has no field `{name}`", of.name));
            };
            let Some(next) = field(record, name) else {
                return broken(self, format!("`{}` has no field `{name}`", of.name));
            };
            scopes.push(record);
            of = next;
        }
        if self.under_way.contains(&of.at.start) {
            return broken(self, format!("`{name}` refers to itself"));
        }
        std::mem::swap(&mut self.scopes, &mut scopes);
        self.under_way.push(of.at.start);
        let value = self.expr(&of.value, path);
        self.under_way.pop();
        std::mem::swap(&mut self.scopes, &mut scopes);
        Plain {
            at: at.clone(),
            of: value.of,
        }
    }
}

/// A field that is written twice: records grow together, all else must be the same.
fn unite(
    into: &mut Plain,
    other: Plain,
    path: &str,
    at: &Range<usize>,
    faults: &mut Vec<SettingsError>,
) {
    match (&mut into.of, other.of) {
        (PlainValue::Record(into), PlainValue::Record(more)) => {
            for named in more {
                match into.iter_mut().find(|other| other.name == named.name) {
                    Some(first) => {
                        unite(
                            &mut first.value,
                            named.value,
                            &format!("{path}.{}", named.name),
                            &named.at,
                            faults,
                        );
                    }
                    None => into.push(named),
                }
            }
        }
        (PlainValue::Broken, _) | (_, PlainValue::Broken) => {}
        (first, second) if *first == second => {}
        _ => faults.push(SettingsError::new(
            at,
            path,
            "it is given twice, and not the same",
        )),
    }
}

pub(crate) fn plain(record: &Record, faults: &mut Vec<SettingsError>) -> Plain {
    let at = record.fields.first().map_or(0..0, |field| field.at.clone());
    let mut reader = Reader {
        scopes: Vec::new(),
        under_way: Vec::new(),
        faults,
    };
    Plain {
        at,
        of: PlainValue::Record(reader.record(record, "")),
    }
}

/// A value that stands in a schema, as a default.
pub(crate) fn constant(of: &Expr, faults: &mut Vec<SettingsError>) -> Plain {
    Reader {
        scopes: Vec::new(),
        under_way: Vec::new(),
        faults,
    }
    .expr(of, "")
}
