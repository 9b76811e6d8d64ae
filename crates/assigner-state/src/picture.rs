//! What the assigner holds, for those who look at the runtime socket.

use serde::Serialize;

use crate::reduce::State;

#[derive(Clone, Debug, Serialize)]
pub struct ServerSeen {
    pub name: String,
    pub listed: &'static str,
    /// Taken out of use by hand, and the factor that its size holds.
    pub out: bool,
    /// Not judged by what it answers, by hand.
    pub trusted: bool,
    pub weight: f64,
    pub suspect: bool,
    /// What it lets in, 1 for all.
    pub admit: f64,
    /// Its load, in the module's measure: seconds of latency objective a second.
    pub load: f64,
    pub slices: usize,
}

#[derive(Clone, Debug, Serialize)]
pub struct SliceSeen {
    pub slice: usize,
    pub owner: Option<String>,
    /// Shut, and on its way to its next owner.
    pub moving: bool,
    /// An operator wants it elsewhere.
    pub wished: bool,
}

#[derive(Clone, Debug, Serialize)]
pub struct Picture {
    pub servers: Vec<ServerSeen>,
    /// Those in charge.
    pub slices: Vec<SliceSeen>,
    pub proxies: Vec<u16>,
}

impl State {
    pub fn picture(&self) -> Picture {
        let servers = self.names().filter_map(|(number, name)| {
            let seen = self.assigner().seen(number)?;
            let listed = match seen.standing {
                lynxmill_assigner::Standing::Ready => "ready",
                lynxmill_assigner::Standing::Draining => "draining",
                lynxmill_assigner::Standing::Gone => "gone",
            };
            Some(ServerSeen {
                name: name.to_owned(),
                listed,
                out: seen.out,
                trusted: seen.trusted,
                weight: seen.weight,
                suspect: seen.suspect,
                admit: seen.admit,
                load: seen.load,
                slices: self.assigner().owned(number),
            })
        });
        let slices = self.in_charge().map(|slice| SliceSeen {
            slice,
            owner: self
                .assigner()
                .owner(slice)
                .map(|number| self.name_of(number).to_owned()),
            moving: self.assigner().moves(slice).0,
            wished: self.assigner().moves(slice).1,
        });
        Picture {
            servers: servers.collect(),
            slices: slices.collect(),
            proxies: self.joined().collect(),
        }
    }
}
