//! Which published protocol a registry speaks, by the names that files and command lines have for it.

use std::str::FromStr;

use serde::Deserialize;

use crate::codec::Protocol;
use crate::consul::Consul;
use crate::etcd::Etcd;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Spelling {
    Etcd,
    Consul,
}

impl Spelling {
    pub const NAMES: [&str; 2] = ["etcd", "consul"];

    /// What spells requests for keys below a prefix.
    pub fn protocol(self, prefix: &str) -> Box<dyn Protocol> {
        match self {
            Spelling::Etcd => Box::new(Etcd::new(prefix)),
            Spelling::Consul => Box::new(Consul::new(prefix)),
        }
    }
}

impl FromStr for Spelling {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "etcd" => Ok(Spelling::Etcd),
            "consul" => Ok(Spelling::Consul),
            other => Err(format!(
                "no protocol {other:?}: {}",
                Spelling::NAMES.join(", ")
            )),
        }
    }
}
