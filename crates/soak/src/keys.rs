//! The keys that a task holds: granted by answers to its heartbeats, let go, or run out.

use lynxmill_deployment::heartbeat::{GrantRow, ReleasedRow, Row};

use crate::ledger::Hold;

const KEYS: usize = 1 << 16;
/// Work on keys that are let go takes no longer, in seconds.
const LONGEST_WORK_S: f64 = 0.1;

/// One key. Fence 0 is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Key {
    fence: u64,
    highest_fence: u64,
    since: f64,
    /// Left out of the last answer: released then.
    release_at: Option<f64>,
}

/// All keys of a task.
#[derive(Debug)]
pub(crate) struct HeldKeys {
    task: String,
    keys: Vec<Key>,
    /// When all holds run out.
    until: f64,
}

impl HeldKeys {
    pub(crate) fn new(task: &str) -> Self {
        HeldKeys {
            task: task.to_owned(),
            keys: vec![Key::default(); KEYS],
            until: 0.0,
        }
    }

    /// Whether it may begin work on a key.
    pub(crate) fn serves(&self, key: usize, now: f64) -> bool {
        let key = self.keys.get(key).copied().unwrap_or_default();
        key.fence > 0 && key.release_at.is_none() && now < self.until
    }

    /// Ranges of keys that are alike and for which something holds.
    fn ranges(&self, wanted: impl Fn(&Key) -> bool) -> Vec<(u32, u32, Key)> {
        let mut ranges: Vec<(u32, u32, Key)> = Vec::new();
        for (number, key) in self.keys.iter().enumerate() {
            if !wanted(key) {
                continue;
            }
            let number = number as u32;
            let alike = |other: &Key| (other.fence, other.since) == (key.fence, key.since);
            match ranges.last_mut() {
                Some((_, to, last)) if *to + 1 == number && alike(last) => *to = number,
                _ => ranges.push((number, number, *key)),
            }
        }
        ranges
    }

    /// What it holds or still works on.
    pub(crate) fn rows(&self) -> Vec<Row> {
        let held = self.ranges(|key| key.fence > 0);
        held.into_iter()
            .map(|(from, to, key)| (from, to, key.fence))
            .collect()
    }

    fn end(&mut self, ranges: &[(u32, u32, Key)], until: f64) -> Vec<Hold> {
        for (from, to, _) in ranges {
            for key in &mut self.keys[*from as usize..=*to as usize] {
                (key.fence, key.release_at) = (0, None);
            }
        }
        let hold = |(from, to, key): &(u32, u32, Key)| Hold {
            task: self.task.clone(),
            first: *from,
            last: *to,
            fence: key.fence,
            since: key.since,
            until,
        };
        ranges.iter().map(hold).collect()
    }

    /// Ends everything at a moment, or as it ran out before.
    pub(crate) fn end_all(&mut self, now: f64) -> Vec<Hold> {
        let held = self.ranges(|key| key.fence > 0);
        self.end(&held, now.min(self.until))
    }

    /// Ends what has run out.
    pub(crate) fn expire(&mut self, now: f64) -> Vec<Hold> {
        if now < self.until {
            return Vec::new();
        }
        self.end_all(now)
    }

    /// Releases what was left out of an answer and is not worked on any more.
    pub(crate) fn release_due(&mut self, now: f64) -> (Vec<Hold>, Vec<ReleasedRow>) {
        let due = self.ranges(|key| key.fence > 0 && key.release_at.is_some_and(|at| now >= at));
        let released = due
            .iter()
            .map(|(from, to, key)| (*from, *to, format!("{}-{}", self.task, key.fence)))
            .collect();
        (self.end(&due, now), released)
    }

    /// Whether something is yet to be released.
    pub(crate) fn is_releasing(&self) -> bool {
        self.keys.iter().any(|key| key.release_at.is_some())
    }

    /// Takes what an answer grants until a moment; whatever is left out is to be released.
    pub(crate) fn grant(&mut self, rows: &[GrantRow], now: f64, until: f64) {
        let mut kept = vec![false; KEYS];
        for (from, to, fence, _) in rows {
            let range = *from as usize..(*to as usize + 1).min(KEYS);
            let keys = &self.keys[range.clone()];
            // A higher fence was seen on one of its keys: the row is from before.
            if keys.iter().any(|key| key.highest_fence > *fence) {
                continue;
            }
            for number in range {
                kept[number] = true;
                let key = &mut self.keys[number];
                if key.fence == 0 {
                    key.since = now;
                }
                (key.fence, key.highest_fence, key.release_at) = (*fence, *fence, None);
            }
        }
        for (key, kept) in self.keys.iter_mut().zip(kept) {
            if key.fence > 0 && !kept && key.release_at.is_none() {
                key.release_at = Some(now + LONGEST_WORK_S);
            }
        }
        self.until = until;
    }
}
