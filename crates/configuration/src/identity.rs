//! The identity of an order: the item's name, its version and a digest of its content.
//!
//! An operator may send an order again at any time, to any member; two operators may choose one version for
//! different content. The identity tells these apart, so each item remembers the last identities of its name.

use std::collections::BTreeMap;

use serde_json::{Number, Value};

use crate::hash::{finalize, fnv1a};
use crate::items::Item;

/// Versions that an item remembers of its name. Orders are sent again for seconds and eight may be under way
/// at once, so a repeat is rarely further behind; one that is counts as overtaken.
pub const MAX_HISTORY: usize = 8;

/// A version of an item that was taken, and the digest of what it said.
///
/// 64 bits are enough: digests are compared only between contents of one version of one name, at most a few,
/// so two that differ meet with a chance of about 1 in 2^64. Operators who would search for two contents with
/// one digest could as well send either under the next version.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct TakenVersion {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Digest of the canonical content.
    #[prost(fixed64, tag = "2")]
    pub content: u64,
}

/// Writes a number so that `3`, `3.0` and `0.3e1` are the same.
fn write_number(number: &Number, to: &mut Vec<u8>) {
    let (kind, bytes) = match (
        number.as_u64(),
        number.as_i64(),
        number.as_f64().unwrap_or_default(),
    ) {
        (Some(whole), _, _) => (b'u', whole.to_be_bytes()),
        (_, Some(negative), _) => (b'i', negative.to_be_bytes()),
        // Whole and inside the type's range, so the conversions are exact; -0.0 becomes 0.
        (_, _, float) if float.fract() == 0.0 && (0.0..2f64.powi(64)).contains(&float) => {
            (b'u', (float as u64).to_be_bytes())
        }
        (_, _, float) if float.fract() == 0.0 && (-(2f64.powi(63))..0.0).contains(&float) => {
            (b'i', (float as i64).to_be_bytes())
        }
        (_, _, float) => (b'f', float.to_bits().to_be_bytes()),
    };
    to.push(kind);
    to.extend(bytes);
}

fn write_length(kind: u8, length: usize, to: &mut Vec<u8>) {
    to.push(kind);
    to.extend((length as u64).to_be_bytes());
}

fn write_string(text: &str, to: &mut Vec<u8>) {
    write_length(b's', text.len(), to);
    to.extend(text.bytes());
}

/// Writes JSON in a form that depends on its meaning only: keys sorted, numbers normalised, lengths in front
/// so that no two values are written alike.
fn write_canonical(value: &Value, to: &mut Vec<u8>) {
    match value {
        Value::Null => to.push(b'n'),
        Value::Bool(on) => to.extend([b'b', u8::from(*on)]),
        Value::Number(number) => write_number(number, to),
        Value::String(text) => write_string(text, to),
        Value::Array(values) => {
            write_length(b'a', values.len(), to);
            values.iter().for_each(|value| write_canonical(value, to));
        }
        Value::Object(fields) => {
            write_length(b'o', fields.len(), to);
            let sorted: BTreeMap<&String, &Value> = fields.iter().collect();
            for (name, value) in sorted {
                write_string(name, to);
                write_canonical(value, to);
            }
        }
    }
}

fn digest(bytes: &[u8]) -> u64 {
    finalize(fnv1a(bytes.iter().copied()))
}

/// The digest of what an item is set to, without its `Version`.
fn digest_of_value(body: &Value) -> u64 {
    let mut canonical = Vec::new();
    write_canonical(body, &mut canonical);
    digest(&canonical)
}

/// The digest of a removal, which is content of its own.
fn digest_of_removal() -> u64 {
    digest(b"removed")
}

/// The digest of a body that is kept as text; one that is not JSON counts byte by byte.
fn digest_of_text(body: &str) -> u64 {
    serde_json::from_str(body)
        .map_or_else(|_| digest(body.as_bytes()), |value| digest_of_value(&value))
}

impl Item {
    /// An item that is set to a body without `Version`.
    pub(crate) fn upserted(key: String, version: u64, body: &Value) -> Item {
        let history = vec![TakenVersion {
            version,
            content: digest_of_value(body),
        }];
        Item {
            key,
            version,
            dropped: false,
            body: body.to_string(),
            history,
        }
    }

    /// An item that is removed.
    pub(crate) fn removed(key: String, version: u64) -> Item {
        let history = vec![TakenVersion {
            version,
            content: digest_of_removal(),
        }];
        Item {
            key,
            version,
            dropped: true,
            body: String::new(),
            history,
        }
    }

    /// Its version and the digest of its content; with its key, the identity of the order that made it.
    pub fn identity(&self) -> TakenVersion {
        let remembered = self
            .history
            .iter()
            .find(|taken| taken.version == self.version);
        remembered.copied().unwrap_or_else(|| TakenVersion {
            version: self.version,
            content: if self.dropped {
                digest_of_removal()
            } else {
                digest_of_text(&self.body)
            },
        })
    }

    /// The digest of what a version of this name said, if that is remembered.
    pub fn content_of(&self, version: u64) -> Option<u64> {
        if version == self.version {
            return Some(self.identity().content);
        }
        self.history
            .iter()
            .find(|taken| taken.version == version)
            .map(|taken| taken.content)
    }

    /// The item as edges get it: they judge no orders, so they need no history.
    pub fn without_history(&self) -> Item {
        Item {
            key: self.key.clone(),
            version: self.version,
            dropped: self.dropped,
            body: self.body.clone(),
            ..Item::default()
        }
    }

    /// Merges another copy of the same name; whether that one now stands.
    pub(crate) fn merge_copy(&mut self, other: &Item) -> bool {
        if self == other {
            return false;
        }
        let taken = united_history(self, other);
        let later = self.is_before(other);
        if later {
            *self = other.clone();
        }
        self.history = taken;
        later
    }

    /// Whether another copy stands rather than this one. Equal versions with other content can only come from
    /// before identities were checked; any order does, as long as all members choose the same one.
    fn is_before(&self, other: &Item) -> bool {
        let order = self.version.cmp(&other.version);
        let order = order.then_with(|| self.identity().content.cmp(&other.identity().content));
        order
            .then_with(|| (self.dropped, &self.body).cmp(&(other.dropped, &other.body)))
            .is_lt()
    }
}

/// The highest versions that either copy remembers, each copy's own among them. Of two contents of one
/// version, which can only come from before identities were checked, the one with the larger digest counts.
fn united_history(one: &Item, other: &Item) -> Vec<TakenVersion> {
    if !one.has_operator_version() {
        return Vec::new();
    }
    let mut all: BTreeMap<u64, u64> = BTreeMap::new();
    let own = [one.identity(), other.identity()];
    for taken in own.iter().chain(&one.history).chain(&other.history) {
        let content = all.entry(taken.version).or_default();
        *content = taken.content.max(*content);
    }
    let highest = all.into_iter().rev().take(MAX_HISTORY);
    highest
        .map(|(version, content)| TakenVersion { version, content })
        .collect()
}
