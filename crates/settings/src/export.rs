//! The schema as JSON Schema (draft 2020-12), for editors and other programs. Bounds that another field sets can't be
//! told there, and stand in the description.

use serde_json::{Map, Value, json};

use crate::check::besides;
use crate::schema::{Member, Schema, Shape, Type};
use crate::syntax::Operator;

fn of(kind: &Type) -> Value {
    match kind {
        Type::Any | Type::Beside(..) => json!({}),
        Type::Null => json!({"type": "null"}),
        Type::Bool => json!({"type": "boolean"}),
        Type::Int => json!({"type": "integer"}),
        Type::Number => json!({"type": "number"}),
        Type::Text => json!({"type": "string"}),
        Type::Address { .. } => json!({"type": "string", "pattern": ":[0-9]{1,5}$"}),
        Type::Exactly(value) => json!({"const": value}),
        Type::Bound(operator, bound) => {
            let bound = crate::check::number(*bound);
            match operator {
                Operator::Least => json!({"type": "number", "minimum": bound}),
                Operator::Above => json!({"type": "number", "exclusiveMinimum": bound}),
                Operator::Most => json!({"type": "number", "maximum": bound}),
                Operator::Below => json!({"type": "number", "exclusiveMaximum": bound}),
                Operator::Not | Operator::Matches => json!({"not": {"const": bound}}),
            }
        }
        Type::Matches(pattern) => json!({"type": "string", "pattern": pattern.as_str()}),
        Type::Many(each) => json!({"type": "array", "items": of(each)}),
        Type::Record(shape) => record(shape),
        Type::All(all) => json!({"allOf": all.iter().map(of).collect::<Vec<_>>()}),
        Type::Either(either) => json!({"anyOf": either.iter().map(of).collect::<Vec<_>>()}),
        Type::Named(name) => json!({"$ref": format!("#/$defs/{}", name.trim_start_matches('#'))}),
    }
}

fn member(member: &Member) -> Value {
    let mut told = of(&member.of);
    // Nothing said and null are the same.
    if member.optional || member.default.is_some() {
        told = json!({"anyOf": [told, {"type": "null"}]});
    }
    let mut about = member.about.clone();
    about.extend(member.unit.map(|unit| format!("In {}.", unit.name)));
    about.extend(
        besides(&member.of)
            .into_iter()
            .map(|(operator, other)| format!("To be {operator} `{other}`.")),
    );
    if let Some(fields) = told.as_object_mut() {
        if !about.is_empty() {
            fields.insert("description".to_owned(), Value::from(about.join(" ")));
        }
        if let Some(default) = &member.default {
            fields.insert("default".to_owned(), default.clone());
        }
    }
    told
}

fn record(shape: &Shape) -> Value {
    let members = shape.members.iter();
    let properties: Map<String, Value> = members
        .clone()
        .map(|m| (m.name.clone(), member(m)))
        .collect();
    let needed = |m: &&Member| {
        !m.optional && m.default.is_none() && !matches!(m.of, Type::Record(_) | Type::Named(_))
    };
    let required: Vec<&str> = members.filter(needed).map(|m| m.name.as_str()).collect();
    json!({"type": "object", "properties": properties, "required": required, "additionalProperties": shape.open})
}

impl Schema {
    pub fn json_schema(&self) -> schemars::Schema {
        let mut whole = record(&self.root);
        let definitions: Map<String, Value> = self
            .definitions
            .iter()
            .map(|(name, kind)| (name.trim_start_matches('#').to_owned(), of(kind)))
            .collect();
        if let Some(fields) = whole.as_object_mut() {
            fields.insert(
                "$schema".to_owned(),
                Value::from("https://json-schema.org/draft/2020-12/schema"),
            );
            fields.insert("$defs".to_owned(), Value::Object(definitions));
        }
        schemars::Schema::try_from(whole).unwrap_or_default()
    }
}
