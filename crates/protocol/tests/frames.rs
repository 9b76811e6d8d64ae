//! Frames of a stream as they come in, and words on tasks merged.

use lynxmill_protocol::{
    FrameDecoder, FrameError, InstanceReport, MAX_FRAME_BYTES, MemberStatus, Membership,
    PeerRequest, RequestEnvelope, Task, TaskState, encode_frame,
};
use prop::collection::vec;
use prop::sample::Index;
use proptest::prelude::*;
use prost::Message;

fn packets() -> [RequestEnvelope; 3] {
    let members = Membership {
        epoch: 4,
        ips: vec!["10.0.0.1".to_owned(), "10.0.0.2".to_owned()],
    };
    let word = MemberStatus {
        ip: "10.0.0.1".to_owned(),
        members,
        merged: 300,
        ..MemberStatus::default()
    };
    let heard = InstanceReport {
        heartbeat_ids: vec!["i-1".to_owned()],
        heartbeat_sequences: vec![7],
        ..InstanceReport::default()
    };
    [
        RequestEnvelope {
            id: 1,
            body: Some(PeerRequest::MemberStatus(word)),
        },
        RequestEnvelope::default(), // its body has no bytes
        RequestEnvelope {
            id: u64::MAX,
            body: Some(PeerRequest::InstanceReport(heard)),
        },
    ]
}

fn all(frames: &mut FrameDecoder) -> Vec<RequestEnvelope> {
    std::iter::from_fn(|| frames.next_message::<RequestEnvelope>().unwrap()).collect()
}

#[test]
fn frames_come_whole_wherever_the_stream_is_cut() {
    let stream: Vec<u8> = packets().iter().flat_map(encode_frame).collect();
    for first in 0..=stream.len() {
        for second in first..=stream.len() {
            let (mut frames, mut got) = (FrameDecoder::default(), Vec::new());
            for piece in [&stream[..first], &stream[first..second], &stream[second..]] {
                frames.push(piece);
                got.extend(all(&mut frames));
            }
            assert_eq!(got, packets(), "cut at {first} and {second}");
        }
    }
}

#[test]
fn a_frame_too_long_is_refused_before_its_body_comes() {
    let mut frames = FrameDecoder::default();
    frames.push(&((MAX_FRAME_BYTES + 1) as u32).to_be_bytes());
    assert_eq!(
        frames.next_message::<RequestEnvelope>(),
        Err(FrameError::TooLong(MAX_FRAME_BYTES + 1))
    );
    let mut longest = FrameDecoder::default();
    longest.push(&(MAX_FRAME_BYTES as u32).to_be_bytes());
    assert_eq!(longest.next_message::<RequestEnvelope>(), Ok(None));
}

#[test]
fn a_frame_that_cant_be_read_is_told() {
    let mut frames = FrameDecoder::default();
    frames.push(&[0, 0, 0, 3, 0xff, 0xff, 0xff]);
    frames.push(&encode_frame(&packets()[2]));
    assert!(matches!(
        frames.next_message::<RequestEnvelope>(),
        Err(FrameError::Unreadable(_))
    ));
    assert_eq!(
        all(&mut frames),
        [packets()[2].clone()],
        "and those behind it are whole"
    );
}

fn task(seq: u64, state: TaskState) -> Task {
    Task {
        id: "i-1".to_owned(),
        call_seq: seq,
        state: state as i32,
        slots: seq as u32,
        ..Task::default()
    }
}

/// The word that stands after two, and whether the second changed anything.
fn after(first: &Task, second: &Task) -> (Task, bool) {
    let mut held = first.clone();
    let changed = held.merge(second);
    (held, changed)
}

#[test]
fn draining_and_gone_never_go_back() {
    let states = [TaskState::Ready, TaskState::Draining, TaskState::Gone];
    for (one, two) in states.iter().flat_map(|a| states.map(|b| (*a, b))) {
        for (seq, other) in [(1, 2), (2, 2), (3, 2)] {
            let (held, changed) = after(&task(seq, one), &task(other, two));
            assert_eq!(
                held.state,
                one.max(two) as i32,
                "{one:?} at {seq}, {two:?} at {other}"
            );
            assert_eq!(changed, two > one);
        }
    }
}

#[test]
fn a_late_beat_changes_nothing() {
    let new = Task {
        address: "10.0.0.9:80".to_owned(),
        warm_up_left_ms: 10,
        ..task(5, TaskState::Ready)
    };
    let old = Task {
        address: "10.0.0.8:80".to_owned(),
        warm_up_left_ms: 900,
        timed_out: true,
        ..task(4, TaskState::Ready)
    };
    assert_eq!(after(&new, &old), (new.clone(), false));
    assert_eq!(after(&old, &new).0, new, "whatever their order");
    let again = after(&new, &new);
    assert_eq!(again, (new, false));
}

#[test]
fn silence_holds_until_a_newer_beat() {
    let (beat, silent) = (
        task(5, TaskState::Ready),
        Task {
            timed_out: true,
            ..task(5, TaskState::Ready)
        },
    );
    assert_eq!(after(&beat, &silent), (silent.clone(), true));
    assert_eq!(after(&silent, &beat), (silent.clone(), false));
    assert_eq!(
        after(&silent, &task(6, TaskState::Ready)),
        (task(6, TaskState::Ready), true)
    );
    assert!(
        !after(&beat, &task(6, TaskState::Ready)).1,
        "a beat alone is no news"
    );
    assert!(
        after(
            &beat,
            &Task {
                warm_up_left_ms: 900,
                ..task(6, TaskState::Ready)
            }
        )
        .1,
        "that it is cold again is"
    );
}

#[test]
fn words_merge_to_the_same_in_any_order() {
    let words: Vec<Task> = (0..24)
        .map(|n| Task {
            timed_out: n % 2 == 1,
            ..task(
                n / 6,
                [TaskState::Ready, TaskState::Draining, TaskState::Gone][n as usize % 3],
            )
        })
        .collect();
    for (a, b) in words.iter().flat_map(|a| words.iter().map(move |b| (a, b))) {
        assert_eq!(after(a, b).0, after(b, a).0, "{a:?} {b:?}");
    }
}

/// Takes all messages until the stream has no whole one left, or an error.
fn until_broken(bytes: &[u8], piece: usize) -> (Vec<RequestEnvelope>, Option<FrameError>) {
    let (mut frames, mut got) = (FrameDecoder::default(), Vec::new());
    for part in bytes.chunks(piece.max(1)) {
        frames.push(part);
        loop {
            match frames.next_message::<RequestEnvelope>() {
                Ok(Some(message)) => got.push(message),
                Ok(None) => break,
                Err(fault) => return (got, Some(fault)),
            }
        }
    }
    (got, None)
}

/// Any envelope of a member's status.
fn envelope() -> impl Strategy<Value = RequestEnvelope> {
    let ips = vec("[0-9.]{1,15}", 0..6);
    (any::<u64>(), any::<u64>(), ips, any::<u64>()).prop_map(|(id, epoch, ips, merged)| {
        let members = Membership { epoch, ips };
        let status = MemberStatus {
            ip: "10.0.0.1".to_owned(),
            members,
            merged,
            ..MemberStatus::default()
        };
        RequestEnvelope {
            id,
            body: Some(PeerRequest::MemberStatus(status)),
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn a_stream_cut_short_gives_its_whole_messages_and_no_other(
        sent in vec(envelope(), 1..6), cut in any::<Index>(), piece in 1usize..64,
    ) {
        let stream: Vec<u8> = sent.iter().flat_map(encode_frame).collect();
        let cut = cut.index(stream.len());
        let mut ends = sent.iter().scan(0, |end, message| { *end += encode_frame(message).len(); Some(*end) });
        let whole = ends.by_ref().take_while(|end| *end <= cut).count();
        let (got, fault) = until_broken(&stream[..cut], piece);
        prop_assert_eq!(fault, None);
        prop_assert_eq!(&got[..], &sent[..whole]);
    }

    #[test]
    fn a_length_beyond_the_bound_is_an_error_at_once(
        sent in vec(envelope(), 0..4), over in 1u32..=u32::MAX - MAX_FRAME_BYTES as u32, rest in vec(any::<u8>(), 0..64),
    ) {
        let mut stream: Vec<u8> = sent.iter().flat_map(encode_frame).collect();
        let length = MAX_FRAME_BYTES as u32 + over;
        stream.extend(length.to_be_bytes());
        stream.extend(rest);
        let (got, fault) = until_broken(&stream, 7);
        prop_assert_eq!(got, sent);
        prop_assert_eq!(fault, Some(FrameError::TooLong(length as usize)));
    }

    /// A frame says how long it is, so what its body lacks is seen, and nothing of the next is taken for it.
    #[test]
    fn a_body_shorter_than_it_was_is_no_other_message(
        sent in envelope(), next in envelope(), lost in any::<Index>(),
    ) {
        let body = sent.encode_to_vec();
        let kept = &body[..lost.index(body.len())];
        let mut stream = (kept.len() as u32).to_be_bytes().to_vec();
        stream.extend(kept);
        stream.extend(encode_frame(&next));
        let (got, fault) = until_broken(&stream, 5);
        match fault {
            Some(FrameError::Unreadable(_)) => prop_assert!(got.is_empty()),
            // Cut between two fields it is a message of its own; the next one stays whole.
            None => {
                prop_assert_eq!(got.len(), 2);
                prop_assert_eq!(&got[1], &next);
                prop_assert_eq!(&got[0], &RequestEnvelope::decode(kept).unwrap());
            }
            Some(other) => prop_assert!(false, "{}", other),
        }
    }

    #[test]
    fn garbage_ends_in_an_error_or_waits_and_never_panics(
        bytes in vec(any::<u8>(), 0..400), piece in 1usize..64,
    ) {
        let (got, fault) = until_broken(&bytes, piece);
        // What was taken is what stood there, frame by frame.
        let mut rest = &bytes[..];
        for message in got {
            let (head, more) = rest.split_first_chunk::<4>().unwrap();
            let (body, after) = more.split_at(u32::from_be_bytes(*head) as usize);
            prop_assert_eq!(message, RequestEnvelope::decode(body).unwrap());
            rest = after;
        }
        // Without an error only a part of a frame is left.
        if let (None, Some((head, more))) = (fault, rest.split_first_chunk::<4>()) {
            let length = u32::from_be_bytes(*head) as usize;
            prop_assert!(length <= MAX_FRAME_BYTES && more.len() < length);
        }
    }
}
