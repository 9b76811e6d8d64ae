//! Where servers are: names to addresses, as discovery lists them. What else it says of a server is the assigner's
//! business; one that has gone keeps its address, for as long as a table names it something may still go there.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;

#[derive(Deserialize)]
struct ListedServer {
    index: u64,
    endpoints: Vec<Entry>,
}

#[derive(Deserialize)]
struct Entry {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    status: String,
}

#[derive(Clone, Debug, Default)]
pub struct ServerTable {
    index: Option<u64>,
    addresses: BTreeMap<String, SocketAddr>,
    /// Those that have gone, the first to go first.
    gone: Vec<String>,
    /// Entries whose address could not be read.
    pub spoilt: u64,
}

impl ServerTable {
    /// The version that it holds, to ask for what has come since.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    pub fn address(&self, server: &str) -> Option<SocketAddr> {
        self.addresses.get(server).copied()
    }

    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }

    /// Takes an answer of discovery's.
    ///
    /// # Errors
    /// Why it can't be read; what was held stays.
    pub fn take(&mut self, answer: &[u8]) -> Result<(), String> {
        let listed: ListedServer = serde_json::from_slice(answer).map_err(|e| e.to_string())?;
        self.index = Some(listed.index);
        for entry in listed.endpoints {
            self.gone.retain(|name| *name != entry.name);
            if entry.status == "gone" {
                self.gone.push(entry.name);
                continue;
            }
            match entry.address.parse() {
                Ok(address) => drop(self.addresses.insert(entry.name, address)),
                Err(_) => self.spoilt += 1,
            }
        }
        // No more of those gone than there are others.
        while self.gone.len() * 2 > self.addresses.len().max(2) {
            let name = self.gone.remove(0);
            self.addresses.remove(&name);
        }
        Ok(())
    }
}
