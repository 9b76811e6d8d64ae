//! A file as it is in force: every field with what it is for, and which of them nobody wrote.

use serde_json::Value;

use crate::check::Checked;
use crate::schema::{Member, Schema, Shape, Type};

/// Names that need no quotes.
fn name(of: &str) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let bare =
        !of.is_empty() && !of.starts_with(|c: char| c.is_ascii_digit()) && of.chars().all(plain);
    let word = matches!(of, "true" | "false" | "null");
    if bare && !word {
        of.to_owned()
    } else {
        Value::from(of).to_string()
    }
}

struct Writer<'a> {
    schema: &'a Schema,
    checked: &'a Checked,
    text: String,
}

impl Writer<'_> {
    /// The alternative that a value was taken by.
    fn shape<'a>(&'a self, of: &'a Type, value: &Value) -> Option<&'a Shape> {
        match self.schema.meant(of) {
            Type::Record(shape) => Some(shape),
            Type::Either(either) => either
                .iter()
                .find(|of| crate::check::allows(self.schema, of, value).is_ok())
                .and_then(|of| self.shape(of, value)),
            Type::All(all) => all.iter().find_map(|of| self.shape(of, value)),
            _ => None,
        }
    }

    fn value(&mut self, of: Option<&Type>, value: &Value, path: &str, depth: usize) {
        let pad = "  ".repeat(depth + 1);
        match value {
            Value::Object(fields) => {
                self.text.push_str("{\n");
                let shape = of
                    .and_then(|of| self.shape(of, value))
                    .cloned()
                    .unwrap_or_default();
                let known = shape
                    .members
                    .iter()
                    .filter(|member| fields.contains_key(&member.name));
                let other = fields
                    .keys()
                    .filter(|name| shape.members.iter().all(|member| member.name != **name));
                let named: Vec<(&str, Option<&Member>)> = known
                    .map(|member| (member.name.as_str(), Some(member)))
                    .chain(other.map(|name| (name.as_str(), None)))
                    .collect();
                for (field, member) in named {
                    let inner = if path.is_empty() {
                        field.to_owned()
                    } else {
                        format!("{path}.{field}")
                    };
                    self.field(field, member, &fields[field], &inner, &pad, depth + 1);
                }
                self.text.push_str(&format!("{}}}", "  ".repeat(depth)));
            }
            Value::Array(items) if items.iter().any(Value::is_object) => {
                let inner = match of.map(|of| self.schema.meant(of)) {
                    Some(Type::Many(inner)) => Some((**inner).clone()),
                    _ => None,
                };
                self.text.push_str("[\n");
                for (i, item) in items.iter().enumerate() {
                    self.text.push_str(&pad);
                    self.value(inner.as_ref(), item, &format!("{path}[{i}]"), depth + 1);
                    self.text.push_str(",\n");
                }
                self.text.push_str(&format!("{}]", "  ".repeat(depth)));
            }
            plain => self.text.push_str(&plain.to_string()),
        }
    }

    fn field(
        &mut self,
        field: &str,
        member: Option<&Member>,
        value: &Value,
        path: &str,
        pad: &str,
        depth: usize,
    ) {
        for line in member.iter().flat_map(|member| &member.about) {
            self.text.push_str(&format!("{pad}// {line}\n"));
        }
        self.text.push_str(&format!("{pad}{}: ", name(field)));
        self.value(member.map(|member| &member.of), value, path, depth);
        let unit = member.and_then(|member| member.unit).map(|unit| unit.name);
        let own = !self.checked.given.contains(path) && !value.is_object();
        match (unit, own) {
            (Some(unit), true) => self.text.push_str(&format!(" // {unit}, default")),
            (Some(unit), false) => self.text.push_str(&format!(" // {unit}")),
            (None, true) => self.text.push_str(" // default"),
            (None, false) => {}
        }
        self.text.push('\n');
    }
}

impl Schema {
    /// The whole of a file, to be read by people and by `check` again.
    pub fn show(&self, checked: &Checked) -> String {
        let mut writer = Writer {
            schema: self,
            checked,
            text: String::new(),
        };
        let root = Type::Record(self.root.clone());
        writer.value(Some(&root), &checked.value, "", 0);
        writer.text.push('\n');
        writer.text
    }
}
