//! From syntax to types. A schema is checked when it is read: names exist, bounds are of numbers, defaults are within
//! their own type.

use std::collections::BTreeMap;
use std::ops::Range;

use regex::Regex;
use serde_json::Value;

use crate::check::{self, Checked};
use crate::fault::SettingsError;
use crate::parse::parse;
use crate::plain::{self, PlainValue};
use crate::syntax::{Expr, Field, Node, Operator, Record, Unit, convert};

#[derive(Clone, Debug)]
pub(crate) enum Type {
    Any,
    Null,
    Bool,
    Int,
    Number,
    Text,
    /// An address with its port, `loopback` where it may be no other machine's.
    Address {
        loopback: bool,
    },
    Exactly(Value),
    Bound(Operator, f64),
    /// A bound that another field sets.
    Beside(Operator, String),
    Matches(Regex),
    Many(Box<Type>),
    Record(Shape),
    All(Vec<Type>),
    Either(Vec<Type>),
    Named(String),
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Shape {
    pub members: Vec<Member>,
    pub open: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub name: String,
    pub about: Vec<String>,
    pub optional: bool,
    pub of: Type,
    pub default: Option<Value>,
    pub unit: Option<Unit>,
    /// A running program takes a change over.
    pub live: bool,
}

#[derive(Debug)]
pub struct Schema {
    pub(crate) definitions: BTreeMap<String, Type>,
    pub(crate) root: Shape,
}

const TYPES: [(&str, Type); 8] = [
    ("any", Type::Any),
    ("bool", Type::Bool),
    ("int", Type::Int),
    ("number", Type::Number),
    ("string", Type::Text),
    ("null", Type::Null),
    ("address", Type::Address { loopback: false }),
    ("loopback", Type::Address { loopback: true }),
];

struct Compiler<'a> {
    names: Vec<&'a str>,
    /// The records around, for bounds that other fields set.
    scopes: Vec<&'a Record>,
    faults: Vec<SettingsError>,
}

impl<'a> Compiler<'a> {
    fn fault(&mut self, at: &Range<usize>, text: impl Into<String>) {
        self.faults.push(SettingsError::new(at, "", text));
    }

    fn of(&mut self, expr: &'a Expr, unit: Option<Unit>) -> Type {
        match &expr.node {
            Node::Name(name) if name.starts_with('#') => {
                if !self.names.contains(&name.as_str()) {
                    self.fault(&expr.at, format!("no definition {name}"));
                }
                Type::Named(name.clone())
            }
            Node::Name(name) => match TYPES.into_iter().find(|(known, _)| known == name) {
                Some((_, of)) => of,
                None => {
                    let known: Vec<&str> = TYPES.iter().map(|(name, _)| *name).collect();
                    self.fault(&expr.at, format!("no type `{name}`: {}", known.join(", ")));
                    Type::Any
                }
            },
            Node::Bound(operator, term) => self.bound(*operator, term, unit),
            Node::Many(of) => Type::Many(Box::new(self.of(of, unit))),
            Node::Record(record) => Type::Record(self.record(record)),
            Node::All(all) => self.all(all, unit),
            Node::Either(either) => {
                if either.iter().any(|(default, _)| *default) {
                    self.fault(&expr.at, "a default stands at a field, not within its type");
                }
                Type::Either(either.iter().map(|(_, of)| self.of(of, unit)).collect())
            }
            Node::List(_) => {
                self.fault(&expr.at, "a list of one type is written [...T]");
                Type::Any
            }
            Node::Null => Type::Null,
            Node::Bool(_) | Node::Number(..) | Node::Text(_) => {
                Type::Exactly(self.constant(expr, unit).unwrap_or_default())
            }
        }
    }

    /// Records that all hold are one record.
    fn all(&mut self, all: &'a [Expr], unit: Option<Unit>) -> Type {
        let all: Vec<Type> = all.iter().map(|of| self.of(of, unit)).collect();
        if !all.iter().all(|of| matches!(of, Type::Record(_))) {
            return Type::All(all);
        }
        let mut one = Shape {
            open: true,
            ..Shape::default()
        };
        for of in all {
            if let Type::Record(shape) = of {
                one.open &= shape.open;
                one.members.extend(shape.members);
            }
        }
        Type::Record(one)
    }

    fn bound(&mut self, operator: Operator, term: &'a Expr, unit: Option<Unit>) -> Type {
        match (operator, &term.node) {
            (Operator::Matches, Node::Text(pattern)) => match Regex::new(pattern) {
                Ok(pattern) => Type::Matches(pattern),
                Err(e) => {
                    self.fault(&term.at, format!("no pattern: {e}"));
                    Type::Text
                }
            },
            (Operator::Matches, _) => {
                self.fault(&term.at, "a pattern stands in quotes");
                Type::Text
            }
            (_, Node::Number(number, given)) => {
                Type::Bound(operator, self.number(*number, *given, unit, &term.at))
            }
            (_, Node::Name(name)) => {
                let first = name.split('.').next().unwrap_or_default();
                let there =
                    |record: &&Record| record.fields.iter().any(|field| field.name == first);
                if !self.scopes.iter().any(there) {
                    self.fault(&term.at, format!("no field `{first}` to set a bound"));
                }
                Type::Beside(operator, name.clone())
            }
            _ => {
                self.fault(&term.at, "a bound is a number or another field");
                Type::Any
            }
        }
    }

    fn number(
        &mut self,
        number: f64,
        given: Option<Unit>,
        unit: Option<Unit>,
        at: &Range<usize>,
    ) -> f64 {
        match (given, unit) {
            (None, _) => number,
            (Some(given), Some(unit)) => convert(number, given, unit).unwrap_or_else(|| {
                self.fault(
                    at,
                    format!("{} and {} don't go together", given.name, unit.name),
                );
                number
            }),
            (Some(_), None) => {
                self.fault(at, "the field has no unit; @unit(s) gives it one");
                number
            }
        }
    }

    fn constant(&mut self, expr: &Expr, unit: Option<Unit>) -> Option<Value> {
        let plain = plain::constant(expr, &mut self.faults);
        if let PlainValue::Number(number, given) = plain.of {
            return Some(check::number(self.number(number, given, unit, &expr.at)));
        }
        let value = check::value(&plain);
        if value.is_none() {
            self.fault(&expr.at, "expected a value without units");
        }
        value
    }

    fn record(&mut self, record: &'a Record) -> Shape {
        self.scopes.push(record);
        let members = record
            .fields
            .iter()
            .map(|field| self.member(field))
            .collect();
        self.scopes.pop();
        Shape {
            members,
            open: record.open,
        }
    }

    fn member(&mut self, field: &'a Field) -> Member {
        let (mut unit, mut live) = (None, false);
        for (name, argument, at) in &field.attributes {
            match name.as_str() {
                "unit" if Unit::named(argument).is_some() => unit = Unit::named(argument),
                "unit" => self.fault(at, format!("no unit `{argument}`")),
                "live" if argument.is_empty() => live = true,
                _ => self.fault(
                    at,
                    format!("no attribute `{name}({argument})`: unit(...), live()"),
                ),
            }
        }
        let mut default = None;
        let of = match &field.value.node {
            Node::Either(either) if either.iter().any(|(first, _)| *first) => {
                let mut of = Vec::new();
                for (first, alternative) in either {
                    if !first {
                        of.push(self.of(alternative, unit));
                    } else if default.is_some() {
                        self.fault(&alternative.at, "a second default");
                    } else {
                        default = self.constant(alternative, unit);
                        // A word or number that is the default is an alternative too; beside a type it is not.
                        if let Node::Bool(_) | Node::Number(..) | Node::Text(_) | Node::Null =
                            alternative.node
                        {
                            of.extend(default.clone().map(Type::Exactly));
                        }
                    }
                }
                if of.len() == 1 {
                    of.remove(0)
                } else {
                    Type::Either(of)
                }
            }
            _ => self.of(&field.value, unit),
        };
        let (name, about) = (field.name.clone(), field.about.clone());
        Member {
            name,
            about,
            optional: field.optional,
            of,
            default,
            unit,
            live,
        }
    }
}

impl Schema {
    /// Reads a schema: definitions (`#Name`), and the fields of a file.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn read(source: &str) -> Result<Schema, Vec<SettingsError>> {
        let (record, faults) = parse(source);
        if !faults.is_empty() {
            return Err(faults);
        }
        let names = record
            .fields
            .iter()
            .map(|field| field.name.as_str())
            .filter(|name| name.starts_with('#'));
        let mut compiler = Compiler {
            names: names.collect(),
            scopes: vec![&record],
            faults: Vec::new(),
        };
        let mut schema = Schema {
            definitions: BTreeMap::new(),
            root: Shape::default(),
        };
        for field in &record.fields {
            if field.name.starts_with('#') {
                let of = compiler.of(&field.value, None);
                if schema.definitions.insert(field.name.clone(), of).is_some() {
                    compiler.fault(&field.at, format!("{} is defined twice", field.name));
                }
            } else {
                let member = compiler.member(field);
                schema.root.members.push(member);
            }
        }
        schema.root.open = record.open;
        let mut faults = compiler.faults;
        if faults.is_empty() {
            schema.own(&record, &mut faults);
        }
        if faults.is_empty() {
            Ok(schema)
        } else {
            Err(faults)
        }
    }

    /// Defaults that their own fields refuse.
    fn own(&self, record: &Record, faults: &mut Vec<SettingsError>) {
        fn fields<'a>(of: &'a Expr, into: &mut Vec<&'a Field>) {
            match &of.node {
                Node::Record(record) => {
                    for field in &record.fields {
                        into.push(field);
                        fields(&field.value, into);
                    }
                }
                Node::All(all) => all.iter().for_each(|of| fields(of, into)),
                Node::Either(either) => either.iter().for_each(|(_, of)| fields(of, into)),
                Node::Many(of) => fields(of, into),
                _ => {}
            }
        }
        fn members<'a>(of: &'a Type, into: &mut Vec<&'a Member>) {
            match of {
                Type::Record(shape) => {
                    for member in &shape.members {
                        into.push(member);
                        members(&member.of, into);
                    }
                }
                Type::All(all) | Type::Either(all) => all.iter().for_each(|of| members(of, into)),
                Type::Many(of) => members(of, into),
                _ => {}
            }
        }
        let (mut written, mut known) = (Vec::new(), Vec::new());
        for field in &record.fields {
            written.push(field);
            fields(&field.value, &mut written);
        }
        for of in self.definitions.values() {
            members(of, &mut known);
        }
        known.extend(self.root.members.iter());
        self.root
            .members
            .iter()
            .for_each(|member| members(&member.of, &mut known));
        for member in known {
            let Some(default) = &member.default else {
                continue;
            };
            if let Err(why) = check::allows(self, &member.of, default) {
                let at = written
                    .iter()
                    .find(|field| field.name == member.name)
                    .map_or(0..0, |field| field.at.clone());
                faults.push(SettingsError::new(
                    &at,
                    &member.name,
                    format!("its default is out of its own type: {why}"),
                ));
            }
        }
    }

    /// Reads a file and checks it.
    ///
    /// # Errors
    /// All that is wrong with it, in the order of the text.
    pub fn check(&self, source: &str) -> Result<Checked, Vec<SettingsError>> {
        let (record, mut faults) = parse(source);
        let broken = !faults.is_empty();
        let plain = plain::plain(&record, &mut faults);
        let checked = check::check(self, &plain, broken, &mut faults);
        if faults.is_empty() {
            return Ok(checked);
        }
        faults.sort_by_key(|error| (error.at.start, error.at.end));
        faults.dedup();
        Err(faults)
    }

    pub(crate) fn definition(&self, name: &str) -> &Type {
        self.definitions.get(name).unwrap_or(&Type::Any)
    }

    /// Follows names to what they stand for.
    pub(crate) fn meant<'a>(&'a self, mut of: &'a Type) -> &'a Type {
        for _ in 0..16 {
            let Type::Named(name) = of else { break };
            of = self.definition(name);
        }
        of
    }
}
