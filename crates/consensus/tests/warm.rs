//! A warm task's beats are no news.

use lynxmill_consensus::InstanceRegistry;
use lynxmill_protocol::Task;
use lynxmill_time::{TimeDelta, Timestamp};

fn beat(seq: u64, warm_up_left_ms: u32) -> Task {
    Task {
        id: "i-1".to_owned(),
        call_seq: seq,
        warm_up_left_ms,
        ..Task::default()
    }
}

#[test]
fn only_a_start_and_a_return_to_the_cold_are_news() {
    let at = |s: f64| Timestamp::default() + TimeDelta::from_secs(s);
    let mut yard = InstanceRegistry::new(at(0.0), TimeDelta::from_secs(1.5));
    assert!(yard.update(at(0.0), &beat(1, 0)));
    for i in 1..20 {
        assert!(!yard.update(at(f64::from(i) * 1.5), &beat(1 + i as u64, 0)));
    }
    assert!(yard.update(at(30.0), &beat(40, 3000)));
    // The same cold spell, told again.
    assert!(!yard.update(at(31.5), &beat(41, 1500)));
}
