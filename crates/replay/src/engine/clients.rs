//! Invocations: first tries as recorded, what forwarders and servers make of them, and clients that return.

use lynxmill_time::{TimeDelta, Timestamp};

use super::{Due, Engine, InjectedFault, moment, span};
use crate::chance::For;
use crate::driver::Driver;
use crate::figure::RequestOutcome;
use crate::forwarder::{Line, RoutingDecision};
use crate::server::{AdmissionOutcome, Job};

pub(super) struct Invocation {
    first: Timestamp,
    /// Tries that have ended.
    ended: u32,
}

pub(super) struct Try {
    inv: usize,
    forwarder: usize,
    /// Where it was sent, and when.
    to: Option<(Line, Timestamp)>,
    arrived: bool,
}

/// How a try ended that brought no answer.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum LostRequest {
    Refused,
    Failed,
}

impl<D: Driver> Engine<'_, D> {
    pub(super) fn ask(&mut self, index: usize) {
        let asks = self.day.asks[index];
        let first = self.agenda.now();
        self.account.asked(asks.operation.into(), first);
        self.invocations
            .insert(index, Invocation { first, ended: 0 });
        if let Some(next) = self.day.asks.get(index + 1) {
            self.agenda.at(moment(next.at), Due::Ask(index + 1));
        }
        self.send(index);
    }

    /// The front spreads over the forwarders of the client's zone, and goes on for a while with a dead one.
    fn front(&self, inv: usize, ended: u32) -> Option<usize> {
        let now = self.agenda.now();
        let front = span(self.day.link.front);
        let thought = |&f: &usize| {
            self.forwarders[f].alive || self.died[f].is_some_and(|at| now - at < front)
        };
        let zone = usize::from(self.day.asks[inv].zone);
        let mut open: Vec<usize> = (0..self.forwarders.len()).filter(thought).collect();
        if open.iter().any(|&f| self.forwarders[f].zone == zone) {
            open.retain(|&f| self.forwarders[f].zone == zone);
        }
        let mut draw = self.draw(For::Front, inv as u64, ended.into());
        (!open.is_empty()).then(|| open[draw.below(open.len())])
    }

    pub(super) fn send(&mut self, inv: usize) {
        let now = self.agenda.now();
        let Some(Invocation { first, ended }) = self.invocations.get(&inv) else {
            return;
        };
        let (first, ended) = (*first, *ended);
        self.last_try += 1;
        let id = self.last_try;
        let Some(forwarder) = self.front(inv, ended) else {
            return self.again(inv, LostRequest::Failed);
        };
        self.tries.insert(
            id,
            Try {
                inv,
                forwarder,
                to: None,
                arrived: false,
            },
        );
        let operation = usize::from(self.day.asks[inv].operation);
        let deadline = self.terms.operations[operation].deadline;
        let patience = deadline.times(self.day.clients.try_share.clamp(0.01, 1.0));
        self.agenda.at(now + self.way(0, 0), Due::Arrive(id));
        self.agenda
            .at((now + patience).min(first + deadline), Due::GiveUp(id));
    }

    pub(super) fn arrive(&mut self, id: u64) {
        let now = self.agenda.now();
        let Some(tried) = self.tries.get_mut(&id) else {
            return;
        };
        let (inv, at) = (tried.inv, tried.forwarder);
        let forwarder = &self.forwarders[at];
        if !forwarder.alive {
            return self.lose(id, LostRequest::Failed);
        }
        if forwarder.stalled_until > now {
            return self.agenda.at(forwarder.stalled_until, Due::Arrive(id));
        }
        let asks = self.day.asks[inv];
        let (slice, operation) = (usize::from(asks.slice), usize::from(asks.operation));
        if !std::mem::replace(&mut tried.arrived, true) {
            self.demanded(slice, operation);
        }
        let ended = self.invocations.get(&inv).map_or(0, |i| i.ended);
        let draw = self.draw(For::Level, inv as u64, ended.into()).unit();
        let write = self.day.operations[operation].writes;
        match self.forwarders[at].way(now, slice, operation, write, draw) {
            RoutingDecision::To(line) => self.forward(id, line),
            RoutingDecision::Refused => self.lose(id, LostRequest::Refused),
            RoutingDecision::Wait => {
                self.forwarders[at].hold(slice, id);
                self.agenda.at(now + self.terms.waits, Due::WaitOver(id));
            }
        }
    }

    pub(super) fn wait_over(&mut self, id: u64) {
        let Some(tried) = self.tries.get(&id) else {
            return;
        };
        let slice = usize::from(self.day.asks[tried.inv].slice);
        let forwarder = tried.forwarder;
        if self.forwarders[forwarder].let_go(slice, id) {
            self.lose(id, LostRequest::Refused);
        }
    }

    fn forward(&mut self, id: u64, line: Line) {
        let now = self.agenda.now();
        let Some(tried) = self.tries.get_mut(&id) else {
            return;
        };
        tried.to = Some((line, now));
        let (at, slice) = (tried.forwarder, usize::from(self.day.asks[tried.inv].slice));
        self.check_drain(at, slice, line.server);
        let way = self.way(
            self.forwarders[at].zone,
            self.servers[line.server as usize].kind().zone.into(),
        );
        self.agenda.at(now + way, Due::AtServer(id));
    }

    fn way_back(&self, tried: &Try, server: u32) -> TimeDelta {
        self.way(
            self.forwarders[tried.forwarder].zone,
            self.servers[server as usize].kind().zone.into(),
        )
    }

    pub(super) fn at_server(&mut self, id: u64) {
        let now = self.agenda.now();
        let Some(tried) = self.tries.get(&id) else {
            return;
        };
        let Some((line, _)) = tried.to else { return };
        let (asks, server) = (self.day.asks[tried.inv], line.server);
        let slice = usize::from(asks.slice);
        let operation = &self.day.operations[usize::from(asks.operation)];
        let (write, safe) = (operation.writes, operation.safe);
        let (back, inv) = (self.way_back(tried, server), tried.inv);
        let job = Job {
            id,
            slice,
            work: span(asks.work.into()),
            write,
        };
        let (multiple, span) = (self.terms.tip_multiple, self.terms.tip_after);
        let took = self.servers[server as usize].offer(now, job, multiple, span);
        if matches!(took, AdmissionOutcome::Runs(_) | AdmissionOutcome::Waits)
            && write
            && self.terms.exclusive
        {
            self.checks
                .accepted(now, slice, server, line.issue, inv as u32, safe);
        }
        match took {
            AdmissionOutcome::Runs(until) => self.agenda.at(until, Due::Done(server, id)),
            AdmissionOutcome::Waits | AdmissionOutcome::Nothing => {}
            AdmissionOutcome::Full | AdmissionOutcome::Refused => {
                self.agenda.at(now + back, Due::Failed(id))
            }
            AdmissionOutcome::FellOver => {
                let name = self.servers[server as usize].kind().name.clone();
                self.checks
                    .breach(4, now, || format!("{name} was pushed over while cold"));
                self.agenda.at(now + back, Due::Failed(id));
                self.server_down(server, crate::server::ServerHealth::Fallen);
            }
        }
    }

    fn next_on_core(&mut self, server: u32, next: Option<(u64, Timestamp)>) {
        if let Some((id, until)) = next {
            self.agenda.at(until, Due::Done(server, id));
        }
    }

    pub(super) fn done(&mut self, server: u32, id: u64) {
        let now = self.agenda.now();
        let Some((job, next)) = self.servers[server as usize].done(now, id) else {
            return;
        };
        self.next_on_core(server, next);
        self.write_ended(server, job);
        if let Some(tried) = self.tries.get(&id) {
            let back = self.way_back(tried, server) + self.way(0, 0);
            self.agenda.at(now + back, Due::Answer(id));
        }
    }

    pub(super) fn cancel(&mut self, server: u32, id: u64) {
        let now = self.agenda.now();
        if let Some((job, next)) = self.servers[server as usize].cancel(now, id) {
            self.next_on_core(server, next);
            self.write_ended(server, job);
        }
    }

    pub(super) fn write_ended(&mut self, server: u32, job: Job) {
        if job.write && self.terms.exclusive {
            self.checks.ended(job.slice, server);
        }
    }

    pub(super) fn failed(&mut self, id: u64) {
        self.lose(id, LostRequest::Failed);
    }

    /// The client gives a try up: whatever was to come of it is cancelled.
    pub(super) fn give_up(&mut self, id: u64) {
        let Some(tried) = self.tries.get(&id) else {
            return;
        };
        let (slice, forwarder) = (usize::from(self.day.asks[tried.inv].slice), tried.forwarder);
        let waited = self.forwarders[forwarder].let_go(slice, id);
        self.call_off(id);
        self.lose(
            id,
            if waited {
                LostRequest::Refused
            } else {
                LostRequest::Failed
            },
        );
    }

    /// Tells the server, if it was sent to one, that nobody waits any more.
    pub(super) fn call_off(&mut self, id: u64) {
        let Some(tried) = self.tries.get(&id) else {
            return;
        };
        if let Some((line, _)) = tried.to {
            let way = self.way_back(tried, line.server);
            self.agenda
                .at(self.agenda.now() + way, Due::Cancel(line.server, id));
        }
    }

    pub(super) fn answer(&mut self, id: u64) {
        let now = self.agenda.now();
        let Some(tried) = self.tries.remove(&id) else {
            return;
        };
        self.note_end(&tried, false);
        let Some(inv) = self.invocations.remove(&tried.inv) else {
            return;
        };
        let operation = usize::from(self.day.asks[tried.inv].operation);
        let aim = self.terms.operations[operation].aim;
        let came = if now - inv.first <= aim {
            RequestOutcome::Succeeded
        } else {
            RequestOutcome::Late
        };
        self.account.came(operation, inv.first, came);
    }

    /// What forwarders saw of a try that was sent to a server.
    fn note_end(&mut self, tried: &Try, lost: bool) {
        if let Some((line, sent)) = tried.to {
            let slice = usize::from(self.day.asks[tried.inv].slice);
            let took = self.agenda.now() - sent;
            self.met(
                self.forwarders[tried.forwarder].zone,
                slice,
                line.server,
                lost,
                took,
            );
        }
    }

    pub(super) fn lose(&mut self, id: u64, how: LostRequest) {
        let Some(tried) = self.tries.remove(&id) else {
            return;
        };
        self.note_end(&tried, true);
        self.again(tried.inv, how);
    }

    /// The client returns where it may: after a refusal always, else only with what may run twice; within its
    /// deadline, and as often as it does.
    fn again(&mut self, inv: usize, how: LostRequest) {
        let now = self.agenda.now();
        let asks = self.day.asks[inv];
        let operation = usize::from(asks.operation);
        let Some(held) = self.invocations.get_mut(&inv) else {
            return;
        };
        held.ended += 1;
        let (first, ended) = (held.first, held.ended);
        let repeats = self.day.operations[operation].safe
            || how == LostRequest::Refused
            || self.fault == Some(InjectedFault::WritesRepeated);
        let honours =
            self.draw(For::Honour, inv as u64, ended.into()).unit() < self.day.clients.honour;
        let wait = if how == LostRequest::Refused && honours {
            self.day.link.return_after
        } else {
            self.day.clients.backoff
        };
        let next = now + span(wait.max(1));
        let deadline = first + self.terms.operations[operation].deadline;
        if repeats && ended <= self.day.clients.retries && next < deadline {
            return self.agenda.at(next, Due::Send(inv));
        }
        self.invocations.remove(&inv);
        let came = if how == LostRequest::Refused {
            RequestOutcome::RateLimited
        } else {
            RequestOutcome::Errored
        };
        self.account.came(operation, first, came);
    }

    /// All tries that a dead forwarder had in hand.
    pub(super) fn lose_all_of(&mut self, forwarder: usize) {
        let ids: Vec<u64> = self
            .tries
            .iter()
            .filter(|(_, t)| t.forwarder == forwarder && t.arrived)
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            self.call_off(id);
            self.lose(id, LostRequest::Failed);
        }
    }

    /// Tries that waited for a table may find a server now.
    pub(super) fn retake(&mut self, ids: Vec<u64>) {
        let now = self.agenda.now();
        for id in ids {
            self.agenda.at(now, Due::Arrive(id));
        }
    }
}
