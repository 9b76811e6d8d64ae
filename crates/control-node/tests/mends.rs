//! Faults that the simulator found, each at the one place that was mended.

use std::collections::BTreeMap;

use lynxmill_configuration::ConfigurationChange;
use lynxmill_control_node::{
    Answer, CallId, ControlNode, ControlRequest, Effect, Input, NodeOptions, StoredState, TICK,
    Unavailable,
};
use lynxmill_storage::{Batch, DiskContents};
use lynxmill_time::{TimeDelta, Timestamp};

/// A core of one node: it agrees with itself.
struct Alone {
    node: ControlNode,
    now: Timestamp,
    batches: BTreeMap<u64, Batch>,
    answers: BTreeMap<u64, Answer>,
}

impl Alone {
    fn new() -> Self {
        let ip = "10.0.0.1".to_owned();
        let seeds = vec![ip.clone()];
        let options = NodeOptions {
            ip,
            seeds,
            core_size: 1,
            heartbeat_interval_s: 1.0,
            incarnation: 7,
            bootstrap: true,
            ..NodeOptions::default()
        };
        let now = Timestamp::from_secs(100.0);
        let stored = StoredState::new(DiskContents::default(), &options);
        let node = ControlNode::new(now, options, stored);
        Alone {
            node,
            now,
            batches: BTreeMap::new(),
            answers: BTreeMap::new(),
        }
    }

    fn step(&mut self, input: Input) {
        for effect in self.node.step(self.now, input) {
            match effect {
                Effect::Store { ticket, batch } => drop(self.batches.insert(ticket, batch)),
                Effect::Answer { call, answer } => drop(self.answers.insert(call.0, answer)),
                _ => {}
            }
        }
    }

    /// Ticks for a while; whatever is written comes through.
    fn run(&mut self, seconds: f64) {
        let end = self.now + TimeDelta::from_secs(seconds);
        while self.now < end {
            self.now = self.now + TICK;
            self.step(Input::Tick);
            self.write_all();
        }
    }

    fn write_all(&mut self) {
        while let Some((ticket, _)) = self.batches.pop_first() {
            self.step(Input::Stored {
                ticket,
                failure: None,
            });
        }
    }

    fn order(&mut self, call: u64, version: u64) {
        let body = format!(
            "{{\"Upsert\":{{\"Services\":[{{\"Name\":\"shop\",\"HealthPath\":\"/{version}\",\"Version\":\"{version:08x}\"}}]}}}}"
        );
        let change = ConfigurationChange::read(body.as_bytes()).expect("it can be read");
        self.step(Input::Call {
            sent_after: 0,
            call: CallId(call),
            request: ControlRequest::Change(change),
        });
    }
}

#[test]
fn an_order_that_is_read_after_a_pause_of_the_process_is_not_begun() {
    let mut alone = Alone::new();
    alone.run(1.0);
    alone.now = alone.now + TimeDelta::from_secs(3.0);
    alone.order(1, 1);
    assert_eq!(
        alone.answers.get(&1),
        Some(&Answer::Unavailable(Unavailable::WasSuspended))
    );
    alone.run(0.2);
    alone.order(2, 1);
    alone.run(0.5);
    assert_eq!(alone.answers.get(&2), Some(&Answer::Done));
}

#[test]
fn the_disk_tells_of_no_change_whose_items_it_lacks() {
    let mut alone = Alone::new();
    alone.run(1.0);
    alone.order(1, 1);
    // The promise and what was accepted come through; the items of the change don't.
    while let Some((ticket, batch)) = alone.batches.pop_first() {
        let items = !batch.items.is_empty();
        let failure = items.then(|| "no space left on device".to_owned());
        alone.step(Input::Stored { ticket, failure });
        if items {
            break;
        }
    }
    assert_eq!(alone.answers.get(&1), Some(&Answer::Done));
    // All that follows comes through: until the items are there, no batch says that the change is merged.
    let end = alone.now + TimeDelta::from_secs(3.0);
    let mut healed = false;
    while alone.now < end {
        alone.now = alone.now + TICK;
        alone.step(Input::Tick);
        while let Some((ticket, batch)) = alone.batches.pop_first() {
            healed |= !batch.items.is_empty();
            assert!(
                healed || batch.merged.unwrap_or_default() == 0,
                "told of a change without its items"
            );
            alone.step(Input::Stored {
                ticket,
                failure: None,
            });
        }
    }
    assert!(healed, "all is written once more");
}
