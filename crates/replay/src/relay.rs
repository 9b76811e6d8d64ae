//! The relay's side: the store with its charges, and each assigner's channel with its lines, heads and delays.

use std::collections::VecDeque;
use std::rc::Rc;

use lynxmill_time::{TimeDelta, Timestamp};
use serde::Deserialize;

use crate::forwarder::{Change, Line, Message, Stored};
use crate::terms::ReplayConfig;

/// An order of a call, as the protocol spells it.
#[derive(Debug, Deserialize)]
#[serde(tag = "op", rename_all = "lowercase")]
pub(crate) enum RelayOperation {
    Share {
        table: usize,
        server: String,
        weight: f64,
    },
    Admit {
        table: usize,
        routes: Vec<String>,
        admit: f64,
    },
    Mark {
        nonce_out: u16,
    },
}

#[derive(Deserialize)]
pub(crate) struct Call {
    pub ops: Vec<RelayOperation>,
}

pub(crate) struct Store {
    pub slices: Vec<Stored>,
    pub charge: Vec<Option<usize>>,
    pub given: Vec<Timestamp>,
    /// The last owner that each slice had, and the number of the last issue.
    last: Vec<Line>,
}

/// What carrying out a call came to.
pub(crate) struct Carried {
    pub taken: usize,
    pub message: Message,
    pub moves: usize,
}

impl Store {
    pub(crate) fn new(owners: impl Iterator<Item = u32>, operations: usize) -> Self {
        let line = |server| Line { server, issue: 1 };
        let last: Vec<Line> = owners.map(line).collect();
        let stored = |line: &Line| Stored {
            line: Some(*line),
            levels: vec![1.0; operations],
        };
        Store {
            slices: last.iter().map(stored).collect(),
            charge: vec![None; last.len()],
            given: vec![Timestamp::default(); last.len()],
            last,
        }
    }

    pub(crate) fn in_charge(&self, assigner: usize) -> impl Iterator<Item = usize> {
        (0..self.charge.len()).filter(move |&slice| self.charge[slice] == Some(assigner))
    }

    /// A slice is given, or belongs to nobody; its levels are taken back.
    pub(crate) fn give(&mut self, now: Timestamp, slice: usize, to: Option<usize>) {
        (self.charge[slice], self.given[slice]) = (to, now);
        self.slices[slice]
            .levels
            .iter_mut()
            .for_each(|level| *level = 1.0);
    }

    fn set(&mut self, slice: usize, server: Option<u32>) -> Option<Line> {
        let line = server.map(|server| {
            let last = &mut self.last[slice];
            if last.server != server {
                *last = Line {
                    server,
                    issue: last.issue + 1,
                };
            }
            *last
        });
        self.slices[slice].line = line;
        line
    }

    /// Carries a call out in turn and halts at the first order that it can't use. Orders for slices that the
    /// assigner does not hold count as taken and change nothing.
    pub(crate) fn carry_out(
        &mut self,
        now: Timestamp,
        assigner: usize,
        ops: &[RelayOperation],
        server: impl Fn(&str) -> Option<u32>,
        operation: impl Fn(&str) -> Vec<usize>,
    ) -> Carried {
        let mut carried = Carried {
            taken: 0,
            message: Message {
                changes: Vec::new(),
                marks: Vec::new(),
                ordered: now,
            },
            moves: 0,
        };
        for op in ops {
            match op {
                RelayOperation::Share {
                    table,
                    server: name,
                    weight,
                } => {
                    let known =
                        server(name).filter(|_| *table < self.charge.len() && *weight >= 0.0);
                    let Some(task) = known else { return carried };
                    if self.charge[*table] == Some(assigner) {
                        let gone = *weight == 0.0;
                        let here = self.slices[*table]
                            .line
                            .is_some_and(|line| line.server == task);
                        if !gone || here {
                            carried.moves += usize::from(!gone && self.last[*table].server != task);
                            let line = self.set(*table, (!gone).then_some(task));
                            carried.message.changes.push(Change::Line(*table, line));
                        }
                    }
                }
                RelayOperation::Admit {
                    table,
                    routes,
                    admit,
                } => {
                    if *table >= self.charge.len() || *admit < 0.0 {
                        return carried;
                    }
                    if self.charge[*table] == Some(assigner) {
                        for operation in routes.iter().flat_map(|route| operation(route)) {
                            self.slices[*table].levels[operation] = *admit;
                            let level = Change::Levels {
                                slice: *table,
                                operation,
                                level: *admit,
                            };
                            carried.message.changes.push(level);
                        }
                    }
                }
                RelayOperation::Mark { nonce_out } => carried.message.marks.push(*nonce_out),
            }
            carried.taken += 1;
        }
        carried
    }
}

/// What a message cost on its way out.
pub(crate) struct Sent {
    /// When it arrives, before what the way adds.
    pub leaves: Timestamp,
    /// Lines that waited in the channel once it was in.
    pub waiting: f64,
    /// Messages to that forwarder within the span that counts.
    pub messages: usize,
}

/// An assigner's channel: messages leave one after the other at its pace.
pub(crate) struct Channel {
    free: Timestamp,
    slower: f64,
    slow_until: Timestamp,
    to: Vec<VecDeque<Timestamp>>,
    last: Vec<Timestamp>,
}

impl Channel {
    pub(crate) fn new(forwarders: usize) -> Self {
        Channel {
            free: Timestamp::default(),
            slower: 1.0,
            slow_until: Timestamp::default(),
            to: vec![VecDeque::new(); forwarders],
            last: vec![Timestamp::default(); forwarders],
        }
    }

    pub(crate) fn slow(&mut self, factor: f64, until: Timestamp) {
        (self.slower, self.slow_until) = (factor, until);
    }

    /// How much longer than usual things take, which the rules' times follow.
    pub(crate) fn slower(&self, now: Timestamp) -> f64 {
        if now < self.slow_until {
            self.slower
        } else {
            1.0
        }
    }

    /// The stream has ended: what counts for a forwarder counts from its joining.
    pub(crate) fn forget(&mut self, forwarder: usize) {
        self.to[forwarder].clear();
    }

    /// The assigner has died, what waits is lost.
    pub(crate) fn clear(&mut self, now: Timestamp) {
        self.free = now;
        self.to.iter_mut().for_each(VecDeque::clear);
    }

    pub(crate) fn send(
        &mut self,
        now: Timestamp,
        forwarder: usize,
        message: &Rc<Message>,
        terms: &ReplayConfig,
    ) -> Sent {
        let pace = terms.lines_per_s / self.slower(now);
        let lines = terms.overhead + message.lines() as f64;
        self.free = self.free.max(now) + TimeDelta::from_secs(lines / pace);
        let recent = &mut self.to[forwarder];
        recent.push_back(now);
        while recent
            .front()
            .is_some_and(|&at| now - at >= terms.messages_over)
        {
            recent.pop_front();
        }
        Sent {
            leaves: self.free,
            waiting: (self.free - now).secs() * pace,
            messages: recent.len(),
        }
    }

    /// Messages arrive in order: none before the one sent earlier.
    pub(crate) fn arrives(&mut self, forwarder: usize, at: Timestamp) -> Timestamp {
        let last = &mut self.last[forwarder];
        *last = at.max(*last);
        *last
    }
}
