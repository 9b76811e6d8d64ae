//! Messages to edges come through compression as they were, and what is broken is refused.

use lynxmill_protocol::{FrameError, MAX_FRAME_BYTES, Task, TaskUpdate, ToEdge, ToEdgeBody};
use prost::Message;

fn tasks(count: u32) -> ToEdge {
    let task = |number: u32| Task {
        id: format!(
            "i-{:010x}",
            u64::from(number).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24
        ),
        service: "fide26a".to_owned(),
        address: format!("10.{}.64.{}:8449", number % 10, number / 10),
        zone: format!("zone-{}", number % 10),
        slots: 4,
        call_seq: u64::from(number % 7),
        version: "v1".to_owned(),
        ..Task::default()
    };
    ToEdge::plain(ToEdgeBody::TaskUpdate(TaskUpdate {
        tasks: (0..count).map(task).collect(),
        is_complete: true,
    }))
}

#[test]
fn a_thousand_tasks_take_a_quarter_of_the_bytes_and_come_through() {
    let plain = tasks(1080);
    let compressed = plain.compressed().expect("it is long");
    let (before, after) = (plain.encoded_len(), compressed.encoded_len());
    assert!(after * 4 < before, "{after} of {before} bytes");
    assert_eq!(compressed.into_body(), Ok(plain.body));
}

#[test]
fn short_messages_stay_as_they_are() {
    assert_eq!(tasks(1).compressed(), None);
    assert_eq!(tasks(1).into_body(), Ok(tasks(1).body));
}

#[test]
fn what_is_broken_or_too_long_is_refused() {
    let good = tasks(100).compressed().expect("it is long");
    let too_long = ToEdge {
        plain_bytes: MAX_FRAME_BYTES as u32 + 1,
        ..good.clone()
    };
    assert_eq!(
        too_long.into_body(),
        Err(FrameError::TooLong(MAX_FRAME_BYTES + 1))
    );
    let mut cut = good.clone();
    cut.compressed.truncate(cut.compressed.len() / 2);
    let understated = ToEdge {
        plain_bytes: good.plain_bytes - 1,
        ..good
    };
    for broken in [cut, understated] {
        assert!(matches!(broken.into_body(), Err(FrameError::Unreadable(_))));
    }
}
