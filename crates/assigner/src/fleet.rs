//! What is known of the servers, in parallel arrays under a dense index.

use std::collections::BTreeMap;

use crate::facts::Standing;
use lynxmill_time::{TimeDelta, Timestamp};

/// Declares parallel arrays under a dense index: a name, a type and the value that a new entry starts with.
/// The second group is what a server's restart makes worthless.
macro_rules! fleet {
    ($now:ident, $($kept:ident: $kind:ty = $first:expr,)* ; $($health:ident: $sort:ty = $start:expr,)*) => {
        /// What is known of the servers.
        #[derive(Default)]
        pub struct Fleet {
            index: BTreeMap<u32, usize>,
            $(pub $kept: Vec<$kind>,)*
            $(pub $health: Vec<$sort>,)*
        }

        impl Fleet {
            pub fn at(&mut self, task: u32, $now: Timestamp) -> usize {
                let next = self.task.len();
                let i = *self.index.entry(task).or_insert(next);
                if i == next {
                    $(self.$kept.push($first);)*
                    $(self.$health.push($start);)*
                    self.task[i] = task;
                }
                i
            }

            pub fn forget_health(&mut self, i: usize) {
                $(self.$health[i] = $start;)*
            }

            pub fn knows(&self, task: u32) -> bool {
                self.index.contains_key(&task)
            }

            /// Lets go of a server; the last one takes over its index.
            pub fn remove(&mut self, i: usize) {
                self.index.remove(&self.task[i]);
                $(self.$kept.swap_remove(i);)*
                $(self.$health.swap_remove(i);)*
                if let Some(&last) = self.task.get(i) {
                    self.index.insert(last, i);
                }
            }
        }
    };
}

fleet! { now,
    task: u32 = 0,
    standing: Standing = Standing::Gone,
    lot: u32 = 0,
    size: f64 = 1.0,
    started: Option<Timestamp> = None,
    heard: Timestamp = now,
    span: TimeDelta = TimeDelta::default(),
    cut: Timestamp = now,
    probed: Option<Timestamp> = None,
    proven: bool = false,
    dropped: bool = false,
    // What operators say: out of use, not to be judged, and a factor that its size holds.
    out: bool = false,
    trusted: bool = false,
    // Other assigners' word.
    doubted: bool = false,
    weight: f64 = 1.0,
    ;
    // Fading sums of what ended there: tries, lost ones, seconds of the others; tries never cut, their span.
    tries: f64 = 0.0,
    lost: f64 = 0.0,
    seconds: f64 = 0.0,
    ended: f64 = 0.0,
    over: f64 = 0.0,
    // Load report, if one came; losses in a row; share of successes before these.
    seen: Option<f64> = None,
    lost_run: f64 = 0.0,
    success: f64 = 1.0,
    suspect: Option<Timestamp> = None,
    slow_since: Option<Timestamp> = None,
    admit: f64 = 1.0,
}
