//! Which slices an assigner has in its charge: it keeps a lease, claims slices whose charge nobody holds, and counts
//! as holding none once its lease may be over. Takes no part in who owns a slice.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_time::{TimeDelta, Timestamp};
use sha2::{Digest, Sha256};

use crate::backoff::Backoff;
use crate::transaction::{Answer, Lease, StoreRequest};

/// The lease is kept so many times in its span.
const TIMES: f64 = 3.0;
/// Share of the lease's span after which it no longer counts here, though the registry may still keep it.
const SURE: f64 = 0.8;

/// Whether this assigner may speak for its slices.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LiveMembers {
    /// It has no lease, or one that may be over.
    No,
    Yes(Lease),
}

/// The name among those that a slice likes best: highest random weight, so that only a dead one's slices move.
pub fn best<'a>(slice: usize, names: impl Iterator<Item = &'a String>) -> Option<&'a String> {
    names.max_by_key(|name| {
        let mut hash = Sha256::new();
        hash.update(name.as_bytes());
        hash.update((slice as u64).to_le_bytes());
        <[u8; 32]>::from(hash.finalize())
    })
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Pause(Timestamp),
    Granting {
        sent: Timestamp,
    },
    Held {
        lease: Lease,
        sure_until: Timestamp,
        keep_at: Timestamp,
        keeping: Option<Timestamp>,
    },
}

#[derive(Clone, Debug)]
pub struct ShardOwnership {
    name: String,
    seconds: u64,
    turn: u64,
    phase: Phase,
    backoff: Backoff,
    /// Slices whose charge nobody holds, and since when that has been seen.
    free: BTreeMap<usize, Timestamp>,
    claimed: BTreeSet<usize>,
    /// Others' slices are left to them for so long.
    patience: TimeDelta,
}

impl ShardOwnership {
    pub fn new(name: &str, seconds: u64, patience: TimeDelta, backoff: Backoff) -> Self {
        ShardOwnership {
            name: name.to_owned(),
            seconds: seconds.max(1),
            turn: 1 << 48,
            phase: Phase::Pause(Timestamp::default()),
            backoff,
            free: BTreeMap::new(),
            claimed: BTreeSet::new(),
            patience,
        }
    }

    fn span(&self, share: f64) -> TimeDelta {
        TimeDelta::from_secs(self.seconds as f64 * share)
    }

    pub fn live(&self, now: Timestamp) -> LiveMembers {
        match &self.phase {
            Phase::Held {
                lease, sure_until, ..
            } if now < *sure_until => LiveMembers::Yes(lease.clone()),
            _ => LiveMembers::No,
        }
    }

    pub fn wake(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>) {
        match &mut self.phase {
            Phase::Pause(until) if *until <= now => {
                self.turn += 1;
                self.phase = Phase::Granting { sent: now };
                asks.push(StoreRequest::Grant {
                    turn: self.turn,
                    seconds: self.seconds,
                });
            }
            Phase::Pause(until) => asks.push(StoreRequest::WakeAt(*until)),
            Phase::Granting { .. } => {}
            Phase::Held {
                lease,
                sure_until,
                keep_at,
                keeping,
            } => {
                if now >= *sure_until {
                    // Given back as far as it can be, so that others need not wait for its end.
                    asks.push(StoreRequest::Revoke {
                        lease: lease.clone(),
                    });
                    self.lost(now, asks);
                } else if keeping.is_none() && now >= *keep_at {
                    self.turn += 1;
                    *keeping = Some(now);
                    asks.extend([
                        StoreRequest::Keep {
                            turn: self.turn,
                            lease: lease.clone(),
                        },
                        StoreRequest::WakeAt(*sure_until),
                    ]);
                } else {
                    let next = if keeping.is_some() {
                        *sure_until
                    } else {
                        (*keep_at).min(*sure_until)
                    };
                    asks.push(StoreRequest::WakeAt(next));
                }
            }
        }
    }

    fn lost(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>) {
        self.turn += 1;
        self.claimed.clear();
        let until = now + self.backoff.failed();
        self.phase = Phase::Pause(until);
        asks.push(StoreRequest::WakeAt(until));
    }

    pub fn take(&mut self, now: Timestamp, answer: &Answer, asks: &mut Vec<StoreRequest>) {
        let (keep, sure) = (self.span(1.0 / TIMES), self.span(SURE));
        // Guards against a lease that counted as over and would count again by a late answer: whoever asked meanwhile has
        // let go of its slices, which nothing would bring back.
        if matches!(&self.phase, Phase::Held { sure_until, .. } if now >= *sure_until) {
            return self.wake(now, asks);
        }
        match answer {
            Answer::Granted { turn, lease } if *turn == self.turn => {
                let Phase::Granting { sent } = self.phase else {
                    return;
                };
                self.backoff.worked();
                // Counted from when it was asked for: the registry began it no earlier.
                let (sure_until, keep_at) = (sent + sure, sent + keep);
                self.phase = Phase::Held {
                    lease: lease.clone(),
                    sure_until,
                    keep_at,
                    keeping: None,
                };
                self.wake(now, asks);
            }
            Answer::Kept { turn } if *turn == self.turn => {
                if let Phase::Held {
                    sure_until,
                    keep_at,
                    keeping,
                    ..
                } = &mut self.phase
                    && let Some(sent) = keeping.take()
                {
                    (*sure_until, *keep_at) = (sent + sure, sent + keep);
                    self.backoff.worked();
                }
                self.wake(now, asks);
            }
            Answer::Expired { turn } if *turn == self.turn => self.lost(now, asks),
            Answer::Failed { turn } if *turn == self.turn => match &mut self.phase {
                Phase::Granting { .. } => self.lost(now, asks),
                Phase::Held {
                    keep_at, keeping, ..
                } => {
                    *keeping = None;
                    *keep_at = now + self.backoff.failed();
                    self.wake(now, asks);
                }
                Phase::Pause(_) => {}
            },
            _ => {}
        }
    }

    /// A slice's charge as the copy shows it.
    pub fn seen(&mut self, now: Timestamp, slice: usize, held: bool) {
        if held {
            self.free.remove(&slice);
            self.claimed.remove(&slice);
        } else {
            self.free.entry(slice).or_insert(now);
        }
    }

    /// A claim was refused or has failed: it may be made again once the copy shows how things stand.
    pub fn unclaimed(&mut self, now: Timestamp, slice: usize) {
        self.claimed.remove(&slice);
        if let Some(since) = self.free.get_mut(&slice) {
            *since = now;
        }
    }

    /// Slices to claim now: those it is the best for among the living, and after a while whatever is left.
    pub fn claims(&mut self, now: Timestamp, living: &BTreeSet<String>, most: usize) -> Vec<usize> {
        let (name, patience) = (&self.name, self.patience);
        let due = |(slice, since): &(&usize, &Timestamp)| {
            let own = best(**slice, living.iter()).is_none_or(|best| best == name);
            own || now - **since >= patience
        };
        let open = |(slice, _): &(&usize, &Timestamp)| !self.claimed.contains(slice);
        let due: Vec<usize> = self
            .free
            .iter()
            .filter(open)
            .filter(due)
            .map(|(slice, _)| *slice)
            .take(most)
            .collect();
        self.claimed.extend(&due);
        due
    }

    /// When slices that are left to others may be claimed.
    pub fn next(&self) -> Option<Timestamp> {
        let open = self
            .free
            .iter()
            .filter(|(slice, _)| !self.claimed.contains(slice));
        open.map(|(_, since)| *since + self.patience).min()
    }
}
