//! A file's values against a schema: what is wrong all at once, what is missing filled in.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::Range;

use serde_json::{Map, Value};

use crate::fault::SettingsError;
use crate::plain::{Named, Plain, PlainValue};
use crate::schema::{Member, Schema, Shape, Type};
use crate::syntax::{Operator, Unit, convert};

/// A file that is right: every field, and which of them the file itself gave.
#[derive(Clone, Debug, PartialEq)]
pub struct Checked {
    pub value: Value,
    /// Paths as `runtime.sockets[0].level`.
    pub given: BTreeSet<String>,
}

/// Where in a file, as people write it and as JSON points to it.
#[derive(Clone, Default)]
struct FieldPath {
    shown: String,
    pointer: String,
}

impl FieldPath {
    fn field(&self, name: &str) -> FieldPath {
        let dot = if self.shown.is_empty() { "" } else { "." };
        let escaped = name.replace('~', "~0").replace('/', "~1");
        FieldPath {
            shown: format!("{}{dot}{name}", self.shown),
            pointer: format!("{}/{escaped}", self.pointer),
        }
    }

    fn item(&self, at: usize) -> FieldPath {
        FieldPath {
            shown: format!("{}[{at}]", self.shown),
            pointer: format!("{}/{at}", self.pointer),
        }
    }
}

/// A bound that another field sets, looked at when all fields are known.
struct DeferredCheck {
    operator: Operator,
    other: String,
    way: FieldPath,
    at: Range<usize>,
    number: f64,
}

#[derive(Default)]
struct Found {
    faults: Vec<SettingsError>,
    later: Vec<DeferredCheck>,
    given: Vec<String>,
}

impl Found {
    fn fault(
        &mut self,
        at: &Range<usize>,
        way: &FieldPath,
        text: impl Into<String>,
    ) -> Option<Value> {
        self.faults.push(SettingsError::new(at, &way.shown, text));
        None
    }

    fn add(&mut self, other: Found) {
        self.faults.extend(other.faults);
        self.later.extend(other.later);
        self.given.extend(other.given);
    }
}

/// Whole numbers up to here are exact.
const EXACT: f64 = 9_007_199_254_740_992.0;

pub(crate) fn number(of: f64) -> Value {
    if of.fract() == 0.0 && of.abs() <= EXACT {
        Value::from(of as i64)
    } else {
        Value::from(of)
    }
}

/// A value as it stands, where nothing is known of its type; numbers with units have no such value.
pub(crate) fn value(plain: &Plain) -> Option<Value> {
    Some(match &plain.of {
        PlainValue::Null => Value::Null,
        PlainValue::Bool(flag) => Value::Bool(*flag),
        PlainValue::Number(of, None) => number(*of),
        PlainValue::Number(_, Some(_)) | PlainValue::Broken => return None,
        PlainValue::Text(text) => Value::String(text.clone()),
        PlainValue::List(items) => Value::Array(items.iter().map(value).collect::<Option<_>>()?),
        PlainValue::Record(fields) => {
            let fields = fields
                .iter()
                .map(|field| Some((field.name.clone(), value(&field.value)?)));
            Value::Object(fields.collect::<Option<Map<_, _>>>()?)
        }
    })
}

fn plain(of: &Value) -> Plain {
    let read = match of {
        Value::Null => PlainValue::Null,
        Value::Bool(flag) => PlainValue::Bool(*flag),
        Value::Number(number) => PlainValue::Number(number.as_f64().unwrap_or(f64::NAN), None),
        Value::String(text) => PlainValue::Text(text.clone()),
        Value::Array(items) => PlainValue::List(items.iter().map(plain).collect()),
        Value::Object(fields) => {
            let named = |(name, of): (&String, &Value)| Named {
                name: name.clone(),
                at: 0..0,
                value: plain(of),
            };
            PlainValue::Record(fields.iter().map(named).collect())
        }
    };
    Plain { at: 0..0, of: read }
}

/// Whether a type takes a value.
///
/// # Errors
/// The first reason why not.
pub(crate) fn allows(schema: &Schema, of: &Type, value: &Value) -> Result<(), String> {
    let mut found = Found::default();
    Checker {
        schema,
        broken: false,
    }
    .one(of, None, &plain(value), &FieldPath::default(), &mut found);
    found
        .faults
        .first()
        .map_or(Ok(()), |error| Err(error.text.clone()))
}

/// `broken` where the file could not be read whole: what is missing may stand where it could not be read.
pub(crate) fn check(
    schema: &Schema,
    file: &Plain,
    broken: bool,
    faults: &mut Vec<SettingsError>,
) -> Checked {
    let mut found = Found::default();
    let checker = Checker { schema, broken };
    let value = match &file.of {
        PlainValue::Record(fields) => checker.record(
            &schema.root,
            fields,
            &file.at,
            &FieldPath::default(),
            &mut found,
        ),
        _ => Value::Null,
    };
    for later in &found.later {
        if let Some((other, bound)) = beside(&value, later)
            && !holds(later.operator, later.number, bound)
        {
            let text = format!(
                "expected {} `{other}`, which is {bound}; found {}",
                later.operator, later.number
            );
            faults.push(SettingsError::new(&later.at, &later.way.shown, text));
        }
    }
    faults.extend(found.faults);
    Checked {
        value,
        given: found.given.into_iter().collect(),
    }
}

/// The field of a bound: the innermost of its name around.
fn beside<'a>(root: &Value, later: &'a DeferredCheck) -> Option<(&'a str, f64)> {
    let inner = later.other.replace('.', "/");
    let mut around = later.way.pointer.as_str();
    while let Some(end) = around.rfind('/') {
        around = &around[..end];
        if let Some(other) = root.pointer(&format!("{around}/{inner}")) {
            return Some((&later.other, other.as_f64()?));
        }
    }
    None
}

fn holds(operator: Operator, number: f64, bound: f64) -> bool {
    match operator {
        Operator::Least => number >= bound,
        Operator::Above => number > bound,
        Operator::Most => number <= bound,
        Operator::Below => number < bound,
        Operator::Not => number != bound,
        Operator::Matches => true,
    }
}

/// A value in a few words.
fn brief(of: &Plain) -> String {
    match &of.of {
        PlainValue::Null => "null".to_owned(),
        PlainValue::Bool(flag) => flag.to_string(),
        PlainValue::Number(number, unit) => {
            format!("{number}{}", unit.map_or("", |unit| unit.name))
        }
        PlainValue::Text(text) => {
            let short: String = text.chars().take(40).collect();
            format!(
                "{short:?}{}",
                if short.len() < text.len() { "..." } else { "" }
            )
        }
        PlainValue::List(items) => format!("a list of {}", items.len()),
        PlainValue::Record(_) => "a record".to_owned(),
        PlainValue::Broken => "nothing that can be read".to_owned(),
    }
}

/// A type in a few words, as in "expected ...".
pub(crate) fn describe(schema: &Schema, of: &Type, unit: Option<Unit>) -> String {
    let in_unit = unit.map_or(String::new(), |unit| {
        format!(" ({}, or with its unit)", unit.name)
    });
    match of {
        Type::Any => "anything".to_owned(),
        Type::Null => "null".to_owned(),
        Type::Bool => "true or false".to_owned(),
        Type::Int => format!("a whole number{in_unit}"),
        Type::Number => format!("a number{in_unit}"),
        Type::Text => "text in quotes".to_owned(),
        Type::Address { loopback: false } => {
            "an address with its port, as \"127.0.0.1:8000\"".to_owned()
        }
        Type::Address { loopback: true } => {
            "a loopback address with its port, as \"127.0.0.1:8000\"".to_owned()
        }
        Type::Exactly(value) => value.to_string(),
        Type::Bound(operator, bound) => format!("{operator} {bound}"),
        Type::Beside(operator, other) => format!("{operator} `{other}`"),
        Type::Matches(pattern) => format!("text like {pattern}"),
        Type::Many(of) => format!("a list, each {}", describe(schema, of, unit)),
        Type::Record(shape) => {
            let names: Vec<&str> = shape
                .members
                .iter()
                .map(|member| member.name.as_str())
                .collect();
            format!("a record of {}", names.join(", "))
        }
        Type::All(all) => {
            let each: Vec<String> = all
                .iter()
                .enumerate()
                .map(|(i, of)| describe(schema, of, unit.filter(|_| i == 0)))
                .collect();
            each.join(", ")
        }
        Type::Either(either) => {
            let each: Vec<String> = either.iter().map(|of| describe(schema, of, unit)).collect();
            each.join(" or ")
        }
        Type::Named(_) => describe(schema, schema.meant(of), unit),
    }
}

struct Checker<'a> {
    schema: &'a Schema,
    broken: bool,
}

impl Checker<'_> {
    fn one(
        &self,
        of: &Type,
        unit: Option<Unit>,
        plain: &Plain,
        way: &FieldPath,
        found: &mut Found,
    ) -> Option<Value> {
        if plain.of == PlainValue::Broken {
            return None;
        }
        let wrong = |found: &mut Found| {
            let expected = describe(self.schema, of, unit);
            found.fault(
                &plain.at,
                way,
                format!("expected {expected}; found {}", brief(plain)),
            )
        };
        match (of, &plain.of) {
            (Type::Any, _) => match value(plain) {
                Some(value) => Some(value),
                None => found.fault(
                    &plain.at,
                    way,
                    "no units here: nothing says what it is counted in",
                ),
            },
            (Type::Null, PlainValue::Null) => Some(Value::Null),
            (Type::Bool, PlainValue::Bool(flag)) => Some(Value::Bool(*flag)),
            (Type::Text, PlainValue::Text(text)) => Some(Value::String(text.clone())),
            (
                Type::Int | Type::Number | Type::Bound(..) | Type::Beside(..) | Type::Exactly(_),
                PlainValue::Number(n, given),
            ) => match (given, unit) {
                (None, _) => self.number(of, *n, plain, way, found),
                (Some(given), Some(unit)) => match convert(*n, *given, unit) {
                    Some(n) => self.number(of, n, plain, way, found),
                    None => wrong(found),
                },
                (Some(given), None) => found.fault(
                    &plain.at,
                    way,
                    format!("a plain number is expected here, not one in {}", given.name),
                ),
            },
            (Type::Address { loopback }, PlainValue::Text(text)) => {
                match text.parse::<SocketAddr>() {
                    Ok(address) if !loopback || address.ip().is_loopback() => {
                        Some(Value::String(text.clone()))
                    }
                    _ => wrong(found),
                }
            }
            (Type::Exactly(Value::String(word)), PlainValue::Text(text)) if word == text => {
                Some(Value::String(text.clone()))
            }
            (Type::Exactly(Value::Bool(known)), PlainValue::Bool(flag)) if known == flag => {
                Some(Value::Bool(*flag))
            }
            (Type::Exactly(Value::Null), PlainValue::Null) => Some(Value::Null),
            (Type::Matches(pattern), PlainValue::Text(text)) if pattern.is_match(text) => {
                Some(Value::String(text.clone()))
            }
            (Type::Many(of), PlainValue::List(items)) => {
                let each = items.iter().enumerate();
                let items: Vec<_> = each
                    .map(|(i, item)| self.one(of, unit, item, &way.item(i), found))
                    .collect();
                items.into_iter().collect::<Option<_>>().map(Value::Array)
            }
            (Type::Record(shape), PlainValue::Record(fields)) => {
                Some(self.record(shape, fields, &plain.at, way, found))
            }
            (Type::All(all), _) => self.all(of, all, unit, plain, way, found),
            (Type::Either(either), _) => self.either(of, either, unit, plain, way, found),
            (Type::Named(_), _) => self.one(self.schema.meant(of), unit, plain, way, found),
            _ => wrong(found),
        }
    }

    fn number(
        &self,
        of: &Type,
        n: f64,
        plain: &Plain,
        way: &FieldPath,
        found: &mut Found,
    ) -> Option<Value> {
        let holds = match of {
            Type::Int => n.fract() == 0.0 && n.abs() <= EXACT,
            Type::Bound(operator, bound) => holds(*operator, n, *bound),
            Type::Exactly(value) => value.as_f64() == Some(n),
            Type::Beside(operator, other) => {
                let (way, at) = (way.clone(), plain.at.clone());
                found.later.push(DeferredCheck {
                    operator: *operator,
                    other: other.clone(),
                    way,
                    at,
                    number: n,
                });
                true
            }
            _ => n.is_finite(),
        };
        if holds {
            return Some(number(n));
        }
        let expected = describe(self.schema, of, None);
        found.fault(
            &plain.at,
            way,
            format!("expected {expected}; found {}", brief(plain)),
        )
    }

    /// One fault for all that a value is to be, told whole.
    fn all(
        &self,
        whole: &Type,
        all: &[Type],
        unit: Option<Unit>,
        plain: &Plain,
        way: &FieldPath,
        found: &mut Found,
    ) -> Option<Value> {
        let mut each = Found::default();
        let values: Vec<_> = all
            .iter()
            .map(|of| self.one(of, unit, plain, way, &mut each))
            .collect();
        if each.faults.iter().any(|error| error.path == way.shown) {
            let expected = describe(self.schema, whole, unit);
            return found.fault(
                &plain.at,
                way,
                format!("expected {expected}; found {}", brief(plain)),
            );
        }
        found.add(each);
        values
            .into_iter()
            .collect::<Option<Vec<_>>>()?
            .into_iter()
            .next()
    }

    /// The first alternative that takes it. Where none does, the nearest one tells what is wrong.
    fn either(
        &self,
        whole: &Type,
        either: &[Type],
        unit: Option<Unit>,
        plain: &Plain,
        way: &FieldPath,
        found: &mut Found,
    ) -> Option<Value> {
        let mut nearest: Option<(usize, usize, Found)> = None;
        for of in either {
            let mut tried = Found::default();
            let value = self.one(of, unit, plain, way, &mut tried);
            if tried.faults.is_empty() {
                found.add(tried);
                return value;
            }
            let near = (self.shared(of, plain), tried.faults.len());
            let nearer = |(shared, faults, _): &(usize, usize, Found)| {
                near.0 > *shared || (near.0 == *shared && near.1 < *faults)
            };
            if nearest.as_ref().is_none_or(nearer) {
                nearest = Some((near.0, near.1, tried));
            }
        }
        match nearest {
            Some((shared, _, tried)) if shared > 0 => {
                found.add(tried);
                None
            }
            _ => {
                let expected = describe(self.schema, whole, unit);
                found.fault(
                    &plain.at,
                    way,
                    format!("expected {expected}; found {}", brief(plain)),
                )
            }
        }
    }

    /// Fields of a value that a type knows, those that are of just this type counted twice; 1 for a list.
    fn shared(&self, of: &Type, plain: &Plain) -> usize {
        match (self.schema.meant(of), &plain.of) {
            (Type::Many(_), PlainValue::List(_)) => 1,
            (Type::Record(shape), PlainValue::Record(fields)) => fields
                .iter()
                .filter_map(|field| {
                    Some((field, shape.members.iter().find(|m| m.name == field.name)?))
                })
                .map(|(field, member)| match &member.of {
                    Type::Exactly(word) if value(&field.value).as_ref() == Some(word) => 8,
                    Type::Exactly(_) => 0,
                    _ => 1,
                })
                .sum(),
            _ => 0,
        }
    }

    fn record(
        &self,
        shape: &Shape,
        fields: &[Named],
        at: &Range<usize>,
        way: &FieldPath,
        found: &mut Found,
    ) -> Value {
        let mut read = Map::new();
        for field in fields {
            let inner = way.field(&field.name);
            let Some(member) = shape
                .members
                .iter()
                .find(|member| member.name == field.name)
            else {
                if !shape.open {
                    found.fault(&field.at, &inner, unknown(shape, &field.name));
                } else if let Some(value) = value(&field.value) {
                    found.given.push(inner.shown);
                    read.insert(field.name.clone(), value);
                }
                continue;
            };
            if field.value.of == PlainValue::Null && (member.optional || member.default.is_some()) {
                continue;
            }
            let value = self.one(&member.of, member.unit, &field.value, &inner, found);
            found.given.push(inner.shown);
            if let Some(value) = value {
                read.insert(field.name.clone(), value);
            }
        }
        for member in &shape.members {
            let there =
                |field: &&Named| field.name == member.name && field.value.of != PlainValue::Null;
            if fields.iter().any(|field| there(&field)) {
                continue;
            }
            if let Some(value) = self.absent(member, at, way, found) {
                read.insert(member.name.clone(), value);
            }
        }
        Value::Object(read)
    }

    /// What stands for a field that is not there.
    fn absent(
        &self,
        member: &Member,
        at: &Range<usize>,
        way: &FieldPath,
        found: &mut Found,
    ) -> Option<Value> {
        if let Some(default) = &member.default {
            for (operator, other) in besides(&member.of) {
                let (way, at, other) = (way.field(&member.name), at.clone(), other.to_owned());
                found
                    .later
                    .extend(default.as_f64().map(|number| DeferredCheck {
                        operator,
                        other,
                        way,
                        at,
                        number,
                    }));
            }
            return Some(default.clone());
        }
        if member.optional {
            return None;
        }
        // A record whose fields all have defaults needs not be written.
        if let Type::Record(shape) = self.schema.meant(&member.of) {
            let mut tried = Found::default();
            let value = self.record(shape, &[], at, &way.field(&member.name), &mut tried);
            if tried.faults.is_empty() {
                return Some(value);
            }
        }
        if self.broken {
            return None;
        }
        let expected = describe(self.schema, &member.of, member.unit);
        found.fault(
            at,
            &way.field(&member.name),
            format!("it is missing; expected {expected}"),
        )
    }
}

/// The bounds of a type that other fields set.
pub(crate) fn besides(of: &Type) -> Vec<(Operator, &str)> {
    match of {
        Type::Beside(operator, other) => vec![(*operator, other)],
        Type::All(all) | Type::Either(all) => all.iter().flat_map(besides).collect(),
        _ => Vec::new(),
    }
}

/// A field that nobody knows, and what may have been meant.
fn unknown(shape: &Shape, name: &str) -> String {
    let near = shape.members.iter().map(|member| {
        (
            strsim::damerau_levenshtein(name, &member.name),
            &member.name,
        )
    });
    match near.min() {
        Some((distance, meant)) if distance <= 2 => format!("no such field; is `{meant}` meant?"),
        _ => {
            let known: Vec<&str> = shape
                .members
                .iter()
                .map(|member| member.name.as_str())
                .collect();
            format!("no such field: {}", known.join(", "))
        }
    }
}
