//! Where two files differ, and what a running program can take over.

use serde_json::Value;

use crate::schema::{Schema, Type};

#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub path: String,
    pub before: Option<Value>,
    pub after: Option<Value>,
    /// It needs no restart.
    pub live: bool,
}

fn member<'a>(
    schema: &'a Schema,
    of: Option<&'a Type>,
    name: &str,
    live: bool,
) -> (Option<&'a Type>, bool) {
    let Some(of) = of else { return (None, live) };
    match schema.meant(of) {
        Type::Record(shape) => match shape.members.iter().find(|member| member.name == name) {
            Some(member) => (Some(&member.of), live || member.live),
            None => (None, live),
        },
        Type::All(all) | Type::Either(all) => {
            let found = all.iter().map(|of| member(schema, Some(of), name, live));
            found
                .reduce(|a, b| if a.0.is_some() { a } else { b })
                .unwrap_or((None, live))
        }
        _ => (None, live),
    }
}

fn walk(
    schema: &Schema,
    of: (Option<&Type>, bool),
    path: &str,
    values: (Option<&Value>, Option<&Value>),
    out: &mut Vec<Difference>,
) {
    match values {
        (Some(a), Some(b)) if a == b => {}
        (Some(Value::Object(a)), Some(Value::Object(b))) => {
            let mut names: Vec<&String> = a.keys().chain(b.keys()).collect();
            names.sort();
            names.dedup();
            for name in names {
                let inner = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                walk(
                    schema,
                    member(schema, of.0, name, of.1),
                    &inner,
                    (a.get(name), b.get(name)),
                    out,
                );
            }
        }
        (Some(Value::Array(a)), Some(Value::Array(b))) if a.len() == b.len() => {
            let inner = match of.0.map(|of| schema.meant(of)) {
                Some(Type::Many(inner)) => Some(&**inner),
                _ => None,
            };
            for (i, (a, b)) in a.iter().zip(b).enumerate() {
                walk(
                    schema,
                    (inner, of.1),
                    &format!("{path}[{i}]"),
                    (Some(a), Some(b)),
                    out,
                );
            }
        }
        (before, after) => out.push(Difference {
            path: path.to_owned(),
            before: before.cloned(),
            after: after.cloned(),
            live: of.1,
        }),
    }
}

/// Differences by the order of their paths.
pub fn compare(schema: &Schema, before: &Value, after: &Value) -> Vec<Difference> {
    let mut out = Vec::new();
    let root = Type::Record(schema.root.clone());
    walk(
        schema,
        (Some(&root), false),
        "",
        (Some(before), Some(after)),
        &mut out,
    );
    out
}
