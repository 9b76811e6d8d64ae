//! Bugs that are put into a node's surroundings on purpose, to show that the invariants find them. The
//! library itself carries no switch for any of them.

use std::fmt;
use std::str::FromStr;

use lynxmill_control_node::Input;
use lynxmill_protocol::{PeerRequest, PeerResponse, RequestEnvelope, ResponseEnvelope};

use crate::disk::Unsynced;
use crate::network::{Endpoint, Payload};
use crate::world::World;

/// A bug put in on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sabotage {
    /// A batch is reported as on disk before it is synced.
    StoredBeforeSync,
    /// A newcomer takes its seat, and votes, without having copied anything.
    SeatWithoutCopy,
    /// A machine whose disk was wiped starts as if it had never lost it, in the life that it had before.
    ForgetfulVoter,
    /// Heartbeats are answered by nobody's hand while a node is cut off.
    FalseContact,
}

impl Sabotage {
    pub const ALL: [(Sabotage, &'static str); 4] = [
        (Sabotage::StoredBeforeSync, "stored-before-sync"),
        (Sabotage::SeatWithoutCopy, "seat-without-copy"),
        (Sabotage::ForgetfulVoter, "forgetful-voter"),
        (Sabotage::FalseContact, "false-contact"),
    ];
}

impl fmt::Display for Sabotage {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = Sabotage::ALL
            .iter()
            .find(|(sabotage, _)| sabotage == self)
            .map_or("", |(_, name)| name);
        out.write_str(name)
    }
}

impl FromStr for Sabotage {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        let found = Sabotage::ALL.iter().find(|(_, known)| *known == name);
        found
            .map(|(sabotage, _)| *sabotage)
            .ok_or_else(|| format!("there is no bug {name:?}"))
    }
}

impl World {
    /// Where a heartbeat can't reach a member, its answer comes nevertheless.
    pub(crate) fn fakes_status(&mut self, from: usize, to: usize, payload: &Payload) -> bool {
        let (here, there) = (Endpoint::Machine(from), Endpoint::Machine(to));
        let cut = self.network.is_cut(here, there) || self.network.is_cut(there, here);
        let Payload::PeerRequest(RequestEnvelope {
            id,
            body: Some(PeerRequest::MemberStatus(status)),
        }) = payload
        else {
            return false;
        };
        if !cut || *id == 0 {
            return false;
        }
        let mut status = status.clone();
        status.ip = crate::machine::ip(to);
        status.owned_services.clear();
        let response = ResponseEnvelope {
            id: *id,
            body: Some(PeerResponse::MemberStatus(status)),
        };
        let from_ip = crate::machine::ip(to);
        self.machines[from].inbox.push_back(Input::Response {
            from: from_ip,
            response,
        });
        true
    }

    /// Whether a newcomer took its seat at once: a voter from then on, though it has copied no register.
    pub(crate) fn seats_at_once(&mut self, machine: usize, envelope: &RequestEnvelope) -> bool {
        let Some(PeerRequest::Promote(seat)) = &envelope.body else {
            return false;
        };
        if self.options.sabotage != Some(Sabotage::SeatWithoutCopy) {
            return false;
        }
        self.end_process(machine, false, Unsynced::Lost);
        self.machines[machine].disk.pretend_voter(seat.next.clone());
        self.start(machine, false);
        true
    }

    /// Leaves a wiped machine's place among the members on its disk, as a voter, in its old life.
    pub(crate) fn forgets(&mut self, machine: usize) {
        if self.options.sabotage == Some(Sabotage::ForgetfulVoter) {
            let members = self.membership.clone();
            self.machines[machine].disk.pretend_voter(members);
        }
    }
}
