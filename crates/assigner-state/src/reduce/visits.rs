//! Who connects at the assigner's address, and what collectors report.

use lynxmill_time::{TimeDelta, Timestamp};

use super::{Effect, State};
use crate::reason::Reason;
use crate::round::Input;
use crate::told::{Asked, Message, Met};

impl State {
    /// From now on it tells what own proxies see of servers.
    pub fn share(&mut self) {
        self.shares = true;
    }

    pub(super) fn opened(&mut self, id: u64, effects: &mut Vec<Effect>) {
        self.open.insert(id);
        self.strangers.insert(id);
        if self.open.len() > self.most_open {
            // The oldest stranger makes room; where all are collectors, the newcomer goes.
            let oldest = self.strangers.first().copied().unwrap_or(id);
            effects.push(Effect::Close(oldest, Reason::Crowded));
        }
    }

    pub(super) fn said(
        &mut self,
        now: Timestamp,
        id: u64,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        let stranger = self.strangers.contains(&id);
        match message {
            Message::Heartbeat => {}
            Message::Zone(zone) if self.zones.contains(&zone) => drop(self.strangers.remove(&id)),
            Message::Zone(_) => effects.push(Effect::Close(id, Reason::NoSuchZone)),
            // Guards against sums from just anybody: only who has joined as a collector is heard.
            Message::Spoilt(_) if stranger => effects.push(Effect::Close(id, Reason::BadFields)),
            _ if stranger => effects.push(Effect::Close(id, Reason::NotJoined)),
            Message::Met(met) => self.met(now, met, effects),
            Message::Asked(asked) => self.demanded(now, &asked),
            Message::Spoilt(what) => self.spoilt(now, &what),
        }
    }

    /// A spoilt report is left out alone. They may come by the hundreds, the log tells of them once a second.
    fn spoilt(&mut self, now: Timestamp, what: &str) {
        self.tally.spoilt += 1;
        if self
            .spoilt_told
            .is_none_or(|at| now - at >= TimeDelta::from_secs(1.0))
        {
            self.spoilt_told = Some(now);
            log::warn!(
                "{} spoilt reports left out so far, the last: {what}",
                self.tally.spoilt
            );
        }
    }

    fn met(&mut self, now: Timestamp, met: Met, effects: &mut Vec<Effect>) {
        if !self.zones.contains(&met.zone) {
            return self.spoilt(now, "no such zone");
        }
        // A server that neither list nor store has named is nobody's owner: its report tells nothing yet.
        let Some(server) = self.names.known(&met.server) else {
            return;
        };
        let value = |field: &String| {
            met.load
                .iter()
                .find(|(name, _)| name == field)
                .map(|(_, value)| *value)
        };
        let report = if met.load.is_empty() {
            Vec::new()
        } else {
            self.report_fields
                .iter()
                .map(|field| value(field).unwrap_or(f64::NAN))
                .collect()
        };
        self.tally.reports += 1;
        if self.shares {
            effects.push(Effect::Saw {
                server: met.server.clone(),
                tries: met.tries,
                lost: met.failed,
            });
        }
        self.inbox.push(Input::Heard {
            server,
            tries: met.tries,
            lost: met.failed,
            elapsed: TimeDelta::from_secs(met.mean_ms / 1e3),
            over: TimeDelta::from_secs(met.span_ms / 1e3),
            report,
        });
    }

    fn demanded(&mut self, now: Timestamp, asked: &Asked) {
        let operation = self
            .operations
            .iter()
            .position(|name| *name == asked.operation);
        let Some(operation) = operation.filter(|_| asked.slice < self.charges.len()) else {
            return self.spoilt(now, "no such slice or operation");
        };
        let over = TimeDelta::from_secs(asked.span_ms / 1e3);
        self.tally.reports += 1;
        self.inbox.push(Input::Demand {
            slice: asked.slice,
            operation,
            tries: asked.tries,
            over,
        });
    }
}
