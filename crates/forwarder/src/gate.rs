//! Who may connect: so many in all, so many from one address, none once it is to end. Those inside are never put
//! out for those who come.

use std::collections::BTreeMap;
use std::net::IpAddr;

use lynxmill_time::Timestamp;

/// Why a connection is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateClosed {
    /// All places are taken, or all of this address.
    Crowded,
    TooMany,
    /// It is to end.
    Ending,
}

impl GateClosed {
    pub fn code(self) -> &'static str {
        match self {
            GateClosed::Crowded => "crowded",
            GateClosed::TooMany => "too-many",
            GateClosed::Ending => "stopping",
        }
    }
}

#[derive(Clone, Debug)]
pub struct AdmissionGate {
    most: usize,
    most_each: usize,
    inside: usize,
    each: BTreeMap<IpAddr, usize>,
    /// Invocations under way.
    busy: usize,
    /// Told to end: at the latest then; and until when whoever has nothing under way may yet come with something.
    ends: Option<Timestamp>,
    idle_until: Option<Timestamp>,
}

impl AdmissionGate {
    pub fn new(most: usize, most_each: usize) -> Self {
        AdmissionGate {
            most,
            most_each,
            inside: 0,
            each: BTreeMap::new(),
            busy: 0,
            ends: None,
            idle_until: None,
        }
    }

    /// # Errors
    /// Why not.
    pub fn enter(&mut self, from: IpAddr) -> Result<(), GateClosed> {
        let each = self.each.get(&from).copied().unwrap_or(0);
        if self.inside >= self.most {
            return Err(GateClosed::Crowded);
        }
        if each >= self.most_each {
            return Err(GateClosed::TooMany);
        }
        self.inside += 1;
        self.each.insert(from, each + 1);
        Ok(())
    }

    pub fn leave(&mut self, from: IpAddr) {
        self.inside = self.inside.saturating_sub(1);
        match self.each.get_mut(&from) {
            Some(each) if *each > 1 => *each -= 1,
            _ => drop(self.each.remove(&from)),
        }
    }

    pub fn begin(&mut self) {
        self.busy += 1;
    }

    pub fn done(&mut self) {
        self.busy = self.busy.saturating_sub(1);
    }

    /// It is to end by then: connections close with their next answer. One without anything under way is not shut at once, as
    /// its client may have sent the next just then, and could not tell whether it ran: it has half of the time for that.
    pub fn end_by(&mut self, now: Timestamp, then: Timestamp) {
        let ends = self.ends.map_or(then, |before| before.min(then));
        self.ends = Some(ends);
        self.idle_until.get_or_insert(now + (ends - now).times(0.5));
    }

    /// Until when connections with nothing under way stay; none while it is not to end.
    pub fn idle_until(&self) -> Option<Timestamp> {
        self.idle_until
    }

    pub fn ending(&self) -> bool {
        self.ends.is_some()
    }

    /// Nobody is inside any more, or the time is over.
    pub fn over(&self, now: Timestamp) -> bool {
        self.ends
            .is_some_and(|then| now >= then || self.inside == 0)
    }

    pub fn inside(&self) -> usize {
        self.inside
    }

    pub fn busy(&self) -> usize {
        self.busy
    }
}
