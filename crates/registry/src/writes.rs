//! Compare-and-set transactions, one at a time and in order. One whose answer was lost is resolved by reading:
//! each puts a stamp of its own, which shows whether it was carried out; where it was not, it goes again under
//! the same guards, so that it can take effect once at most. Nothing is guessed.

use std::collections::VecDeque;

use lynxmill_time::{TimeDelta, Timestamp};

use crate::backoff::Backoff;
use crate::transaction::{Answer, Revision, StoreRequest, Transaction};

/// The queue is full: come again after this.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull {
    pub return_after: TimeDelta,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    Done(Revision),
    /// A guard did not hold: nothing of it was carried out, nor ever will be.
    Refused,
    /// Its answer was lost and somebody else has written since: it may have stood for a while, it doesn't now and
    /// never will again.
    Passed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct PendingWrite {
    id: u64,
    txn: Transaction,
    /// The key that shows whether it was carried out, and the value it has then.
    shows: (String, Vec<u8>),
    /// An answer was lost since it was first sent; and a guard has refused it since.
    unsure: bool,
    refused: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Sent,
    /// Reading what came of it.
    Reading,
    Pause(Timestamp),
}

#[derive(Clone, Debug)]
pub struct Writes {
    queue: VecDeque<PendingWrite>,
    most: usize,
    stage: Stage,
    last: u64,
    /// Each request goes under a number of its own: late answers to an earlier one count for nothing.
    request: u64,
    usual: TimeDelta,
    backoff: Backoff,
    pub lost: u64,
}

impl Writes {
    /// At most `most` wait; `usual` is about what one takes.
    pub fn new(most: usize, usual: TimeDelta, backoff: Backoff) -> Self {
        Writes {
            queue: VecDeque::new(),
            most,
            stage: Stage::Idle,
            last: 0,
            request: 0,
            usual,
            backoff,
            lost: 0,
        }
    }

    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Takes one in turn; its id comes back with what came of it. `shows` is a key that it puts, with a value that
    /// nobody else puts there.
    ///
    /// # Errors
    /// When to return, where too many wait.
    pub fn push(
        &mut self,
        now: Timestamp,
        txn: Transaction,
        shows: usize,
        asks: &mut Vec<StoreRequest>,
    ) -> Result<u64, QueueFull> {
        if self.queue.len() >= self.most {
            let pause = if let Stage::Pause(until) = self.stage {
                until - now
            } else {
                TimeDelta::default()
            };
            return Err(QueueFull {
                return_after: pause + self.usual.times(self.queue.len() as f64),
            });
        }
        self.last += 1;
        let put = txn.puts.get(shows);
        let shows = put
            .map(|put| (put.key.clone(), put.value.clone().unwrap_or_default()))
            .unwrap_or_default();
        self.queue.push_back(PendingWrite {
            id: self.last,
            txn,
            shows,
            unsure: false,
            refused: false,
        });
        self.go(now, asks);
        Ok(self.last)
    }

    /// Those that have not been sent are given up; the ids of all that nothing will come of any more. One under
    /// way goes on until it is known.
    pub fn give_up(&mut self) -> Vec<u64> {
        let keep = usize::from(matches!(self.stage, Stage::Sent | Stage::Reading) || self.unsure());
        self.queue
            .split_off(keep.min(self.queue.len()))
            .into_iter()
            .map(|waiting| waiting.id)
            .collect()
    }

    fn unsure(&self) -> bool {
        self.queue.front().is_some_and(|first| first.unsure)
    }

    pub fn wake(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>) {
        match self.stage {
            Stage::Pause(until) if until <= now => {
                self.stage = Stage::Idle;
                self.go(now, asks);
            }
            Stage::Pause(until) => asks.push(StoreRequest::WakeAt(until)),
            _ => {}
        }
    }

    fn go(&mut self, _now: Timestamp, asks: &mut Vec<StoreRequest>) {
        let (Stage::Idle, Some(first)) = (self.stage, self.queue.front()) else {
            return;
        };
        self.request += 1;
        if first.unsure {
            self.stage = Stage::Reading;
            asks.push(StoreRequest::Get {
                id: self.request,
                key: first.shows.0.clone(),
            });
        } else {
            self.stage = Stage::Sent;
            asks.push(StoreRequest::Txn {
                id: self.request,
                txn: first.txn.clone(),
            });
        }
    }

    fn ended(
        &mut self,
        now: Timestamp,
        came: Came,
        to: &mut Vec<(u64, Came)>,
        asks: &mut Vec<StoreRequest>,
    ) {
        if let Some(first) = self.queue.pop_front() {
            to.push((first.id, came));
        }
        self.backoff.worked();
        self.stage = Stage::Idle;
        self.go(now, asks);
    }

    fn pause(&mut self, now: Timestamp, least: TimeDelta, asks: &mut Vec<StoreRequest>) {
        let until = now + self.backoff.failed().max(least);
        self.stage = Stage::Pause(until);
        asks.push(StoreRequest::WakeAt(until));
    }

    pub fn take(
        &mut self,
        now: Timestamp,
        answer: &Answer,
        to: &mut Vec<(u64, Came)>,
        asks: &mut Vec<StoreRequest>,
    ) {
        match answer {
            Answer::Done { id, revision } if self.sent(*id) => {
                self.ended(now, Came::Done(*revision), to, asks)
            }
            // A lost answer before it may have been of one that was carried out, so that its own guards refuse it.
            Answer::Refused { id } if self.sent(*id) => match self.queue.front_mut() {
                Some(first) if first.unsure => {
                    first.refused = true;
                    self.stage = Stage::Idle;
                    self.go(now, asks);
                }
                _ => self.ended(now, Came::Refused, to, asks),
            },
            Answer::Unknown { id } if self.sent(*id) => {
                self.lost += 1;
                if let Some(first) = self.queue.front_mut() {
                    first.unsure = true;
                }
                self.pause(now, TimeDelta::default(), asks);
            }
            Answer::Later { id, millis } if self.sent(*id) => {
                self.pause(now, TimeDelta::from_secs(*millis as f64 / 1e3), asks);
            }
            Answer::Unknown { id } if self.reading(*id) => {
                self.pause(now, TimeDelta::default(), asks)
            }
            Answer::Later { id, millis } if self.reading(*id) => {
                self.pause(now, TimeDelta::from_secs(*millis as f64 / 1e3), asks);
            }
            Answer::Got { id, pair, .. } if self.reading(*id) => {
                let Some(first) = self.queue.front() else {
                    return;
                };
                let there = pair.as_ref();
                if let Some(pair) = there.filter(|pair| pair.value == first.shows.1) {
                    // When it was carried out, not when it was looked for: what follows is guarded by that.
                    return self.ended(now, Came::Done(pair.changed), to, asks);
                }
                // Its guards tell whether it can still be carried out, by this request or by the lost one: at
                // most one of them is.
                let holds = |(key, expect): &(String, crate::transaction::Precondition)| {
                    key != &first.shows.0 || crate::codec::holds(there, expect)
                };
                let untouched = first.txn.guards.iter().all(holds);
                if untouched && !first.refused {
                    self.request += 1;
                    self.stage = Stage::Sent;
                    asks.push(StoreRequest::Txn {
                        id: self.request,
                        txn: first.txn.clone(),
                    });
                } else {
                    // Where nobody has written since, what is not there never was.
                    let came = if untouched {
                        Came::Refused
                    } else {
                        Came::Passed
                    };
                    self.ended(now, came, to, asks);
                }
            }
            _ => {}
        }
    }

    fn sent(&self, id: u64) -> bool {
        self.stage == Stage::Sent && self.request == id
    }

    fn reading(&self, id: u64) -> bool {
        self.stage == Stage::Reading && self.request == id
    }
}
