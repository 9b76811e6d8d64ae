//! The notation as it is written, before anything is known of what it means.

use std::fmt;
use std::ops::Range;

/// What a text has at some bytes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Expr {
    pub at: Range<usize>,
    pub node: Node,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Node {
    Null,
    Bool(bool),
    Number(f64, Option<Unit>),
    Text(String),
    /// `[a, b]`, or `[...T]` for any number of one type.
    List(Vec<Expr>),
    Many(Box<Expr>),
    Record(Record),
    /// A type, a definition (`#Name`) or another field (`a.b`).
    Name(String),
    Bound(Operator, Box<Expr>),
    All(Vec<Expr>),
    /// Alternatives, and which of them stands where nothing is said.
    Either(Vec<(bool, Expr)>),
}

#[derive(Clone, Debug, PartialEq, Default)]
pub(crate) struct Record {
    pub fields: Vec<Field>,
    /// `...`: other fields may be there.
    pub open: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Field {
    pub name: String,
    pub at: Range<usize>,
    pub optional: bool,
    pub about: Vec<String>,
    pub value: Expr,
    /// `@name(argument)`.
    pub attributes: Vec<(String, String, Range<usize>)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Operator {
    Least,
    Above,
    Most,
    Below,
    Not,
    Matches,
}

impl fmt::Display for Operator {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Operator::Least => ">=",
            Operator::Above => ">",
            Operator::Most => "<=",
            Operator::Below => "<",
            Operator::Not => "!=",
            Operator::Matches => "=~",
        })
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Time,
    Size,
}

/// A unit, as its spelling and how much of the smallest of its kind it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Unit {
    pub name: &'static str,
    pub kind: Kind,
    pub factor: f64,
}

const fn unit(name: &'static str, kind: Kind, factor: f64) -> Unit {
    Unit { name, kind, factor }
}

pub(crate) const UNITS: [Unit; 12] = [
    unit("us", Kind::Time, 1.0),
    unit("ms", Kind::Time, 1e3),
    unit("s", Kind::Time, 1e6),
    unit("m", Kind::Time, 6e7),
    unit("h", Kind::Time, 3.6e9),
    unit("B", Kind::Size, 1.0),
    unit("kB", Kind::Size, 1e3),
    unit("MB", Kind::Size, 1e6),
    unit("GB", Kind::Size, 1e9),
    unit("KiB", Kind::Size, 1024.0),
    unit("MiB", Kind::Size, 1_048_576.0),
    unit("GiB", Kind::Size, 1_073_741_824.0),
];

impl Unit {
    pub(crate) fn named(name: &str) -> Option<Unit> {
        UNITS.into_iter().find(|unit| unit.name == name)
    }
}

/// What a number of one unit is in another of its kind.
pub(crate) fn convert(number: f64, from: Unit, to: Unit) -> Option<f64> {
    (from.kind == to.kind).then(|| number * from.factor / to.factor)
}
