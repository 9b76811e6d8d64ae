//! How fast each client may ask: a bucket each, bounded in number. A bucket that is full again is as good as none.

use std::collections::BTreeMap;

use lynxmill_runtime_commands::{RateLimited, RateLimiter};
use lynxmill_time::{TimeDelta, Timestamp};

#[derive(Clone, Debug)]
pub struct RateLimits {
    per_second: u32,
    most: usize,
    /// By client; when it was last seen.
    known: BTreeMap<u64, (Timestamp, RateLimiter)>,
    /// The same by time, oldest first.
    order: BTreeMap<(Timestamp, u64), ()>,
}

/// A bucket holds a second's worth, so that one unseen for as long is full.
const FULL: TimeDelta = TimeDelta::from_micros(1_000_000);

impl RateLimits {
    /// `most` clients are told apart at a time.
    pub fn new(per_second: u32, most: usize) -> Self {
        RateLimits {
            per_second,
            most: most.max(1),
            known: BTreeMap::new(),
            order: BTreeMap::new(),
        }
    }

    pub fn len(&self) -> usize {
        self.known.len()
    }

    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn forget(&mut self, now: Timestamp) {
        while let Some((&(seen, client), ())) = self.order.first_key_value() {
            if now - seen < FULL && self.known.len() < self.most {
                return;
            }
            self.order.remove(&(seen, client));
            self.known.remove(&client);
        }
    }

    /// Takes one of a client's.
    ///
    /// # Errors
    /// When there will be one.
    pub fn take(&mut self, now: Timestamp, client: u64) -> Result<(), TimeDelta> {
        let (seen, mut pace) = match self.known.remove(&client) {
            Some(known) => known,
            None => {
                self.forget(now);
                (now, RateLimiter::new(self.per_second, now.micros()))
            }
        };
        self.order.remove(&(seen, client));
        let taken = pace.take(now.micros());
        self.order.insert((now, client), ());
        self.known.insert(client, (now, pace));
        taken.map_err(|RateLimited { return_ms }| TimeDelta::from_micros(return_ms as i64 * 1000))
    }
}
