//! Discovery's list.

use lynxmill_assigner::Listing;
use lynxmill_time::Timestamp;

use super::{Effect, State};
use crate::round::Input;
use crate::told::Members;

impl State {
    pub(super) fn ask(&mut self, now: Timestamp, effects: &mut Vec<Effect>) {
        if !self.asking {
            (self.asking, self.asked, self.ask_at) = (true, now, None);
            effects.push(Effect::Ask(self.index));
        }
    }

    pub(super) fn listed(&mut self, members: Members, complete: bool, remembered: bool) {
        if !remembered {
            self.index = Some(members.index);
        }
        if members.endpoints.is_empty() && !complete && !self.on_request {
            return;
        }
        let by_hand = members
            .endpoints
            .iter()
            .map(|endpoint| &endpoint.name)
            .filter(|name| self.by_hand(name));
        let names: Vec<String> = by_hand.cloned().collect();
        let entries = members.endpoints.iter().map(|endpoint| Listing {
            task: self.names.number(&endpoint.name),
            lot: lot(&endpoint.name),
            standing: endpoint.standing,
            size: endpoint.weight,
            started: self.clock.since(endpoint.since_ms),
        });
        let entries = entries.collect();
        self.inbox.push(Input::Listed {
            complete,
            remembered,
            entries,
        });
        self.remind(&names);
    }
}

/// The same number for a name at every assigner (FNV-1a of its bytes, 32 bits).
fn lot(name: &str) -> u32 {
    name.bytes().fold(0x811c_9dc5, |sum, byte| {
        (sum ^ u32::from(byte)).wrapping_mul(0x0100_0193)
    })
}
