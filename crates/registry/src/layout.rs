//! Where what stands below the prefix, and how its values are spelled.
//!
//! | key | value | who writes it |
//! | --- | --- | --- |
//! | `slices/00012/charge` | the assigner's name, under its lease | the assigner that claims it |
//! | `slices/00012/line` | owner, generation, stamp | the assigner in charge |
//! | `slices/00012/levels` | level by operation, stamp | the assigner in charge |
//! | `assigners/n0` | its life, under its lease | itself |
//! | `forwarders/00017` | its life, under its lease | itself |
//! | `marks/n0` | the last mark and the assigner's life | the assigner |
//! | `answers/00017/n0` | the last mark applied, and of which life | the forwarder |

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Who has a slice in its charge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Charge {
    pub by: String,
    pub stamp: String,
}

/// An assigner or a forwarder that is there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Presence {
    pub life: String,
    pub stamp: String,
}

/// The owner of a slice; nobody while it is shut.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Line {
    pub server: Option<String>,
    pub generation: u64,
    /// Of the transaction that wrote it: no two are alike.
    pub stamp: String,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Levels {
    pub levels: BTreeMap<String, f64>,
    pub stamp: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mark {
    pub mark: u16,
    /// The assigner's life that numbers it.
    pub life: String,
    pub stamp: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Applied {
    pub mark: u16,
    pub life: String,
    /// The forwarder's own life: an answer of an earlier one is nothing.
    pub by: String,
}

/// What a key names.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum KeyLocation {
    Charge(usize),
    Line(usize),
    Levels(usize),
    Assigner(String),
    Forwarder(u16),
    Mark(String),
    Answer(u16, String),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    prefix: String,
}

impl Layout {
    /// All keys begin with `prefix`, which ends with a slash.
    pub fn new(prefix: &str) -> Self {
        Layout {
            prefix: format!("{}/", prefix.trim_end_matches('/')),
        }
    }

    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    pub fn key(&self, place: &KeyLocation) -> String {
        let prefix = &self.prefix;
        match place {
            KeyLocation::Charge(slice) => format!("{prefix}slices/{slice:05}/charge"),
            KeyLocation::Line(slice) => format!("{prefix}slices/{slice:05}/line"),
            KeyLocation::Levels(slice) => format!("{prefix}slices/{slice:05}/levels"),
            KeyLocation::Assigner(name) => format!("{prefix}assigners/{name}"),
            KeyLocation::Forwarder(number) => format!("{prefix}forwarders/{number:05}"),
            KeyLocation::Mark(name) => format!("{prefix}marks/{name}"),
            KeyLocation::Answer(number, name) => format!("{prefix}answers/{number:05}/{name}"),
        }
    }

    /// What a key names; none of ours, or one that is not spelled as we do, names nothing.
    pub fn place(&self, key: &str) -> Option<KeyLocation> {
        let rest = key.strip_prefix(&self.prefix)?;
        let parts: Vec<&str> = rest.split('/').collect();
        let number = |text: &str| {
            let digits = text.len() == 5 && text.bytes().all(|b| b.is_ascii_digit());
            digits.then(|| text.parse::<u16>().ok()).flatten()
        };
        Some(match parts.as_slice() {
            ["slices", slice, "charge"] => KeyLocation::Charge(number(slice)?.into()),
            ["slices", slice, "line"] => KeyLocation::Line(number(slice)?.into()),
            ["slices", slice, "levels"] => KeyLocation::Levels(number(slice)?.into()),
            ["assigners", name] if !name.is_empty() => KeyLocation::Assigner((*name).to_owned()),
            ["forwarders", forwarder] => KeyLocation::Forwarder(number(forwarder)?),
            ["marks", name] if !name.is_empty() => KeyLocation::Mark((*name).to_owned()),
            ["answers", forwarder, name] if !name.is_empty() => {
                KeyLocation::Answer(number(forwarder)?, (*name).to_owned())
            }
            _ => return None,
        })
    }
}

pub fn spell(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// A value, or why it can't be read.
///
/// # Errors
/// One line.
pub fn read<T: DeserializeOwned>(value: &[u8]) -> Result<T, String> {
    serde_json::from_slice(value).map_err(|e| e.to_string())
}
