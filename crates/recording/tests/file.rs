//! The file of a day: read back as written, and sound up to its damage whatever the damage is.

use lynxmill_assigner_state::{Event, News, Outcome};
use lynxmill_recording::{
    Asks, Day, Entry, FrameError, Head, Life, Log, RecordedEvent, RecordedFault, Ring, Source,
    Writer, bytes, merge, read,
};
use proptest::prelude::*;
use rstest::rstest;

fn head(source: Source) -> Head {
    Head {
        name: "d".into(),
        source,
        seed: 7,
        began_ms: 1.5e12,
        configuration: "{}".into(),
    }
}

fn log(at: i64, text: &str) -> Log {
    Log {
        at,
        of: Life {
            assigner: 0,
            life: 1,
        },
        entry: Entry::Ordered(text.into()),
    }
}

/// A day of the log alone, in frames of two entries each.
fn frames(count: i64) -> (Vec<u8>, Vec<usize>) {
    let mut writer = Writer::new(Vec::new(), &head(Source::Assigner)).expect("room");
    let mut ends = vec![writer.to().len()];
    for at in 0..count {
        writer.log(&[log(at, "a"), log(at, "b")]).expect("room");
        ends.push(writer.to().len());
    }
    (writer.end().expect("room"), ends)
}

fn entries(bytes: &[u8]) -> usize {
    read(bytes).expect("a head").0.log.len()
}

#[test]
fn a_day_cut_at_any_byte_keeps_all_whole_frames() {
    let (file, ends) = frames(20);
    for cut in ends[0]..=file.len() {
        let whole = ends.iter().filter(|&&end| end <= cut).count() - 1;
        let (day, extent) = read(&file[..cut]).expect("a head");
        assert_eq!(
            (day.log.len(), extent.damage),
            (whole * 2, None),
            "cut at {cut}"
        );
        assert_eq!(extent.whole, cut == file.len());
    }
    for cut in 1..10 {
        assert_eq!(read(&file[..cut]), Err(FrameError::NoDay), "cut at {cut}");
    }
    for cut in 10..ends[0] {
        assert_eq!(read(&file[..cut]), Err(FrameError::Empty), "cut at {cut}");
    }
}

#[test]
fn a_bit_that_flips_anywhere_is_seen_and_what_was_before_is_kept() {
    let (file, ends) = frames(6);
    for at in ends[0]..file.len() {
        for bit in 0..8 {
            let mut bad = file.clone();
            bad[at] ^= 1 << bit;
            let (day, extent) = read(&bad).expect("a head");
            let before = ends.iter().filter(|&&end| end <= at).count() - 1;
            assert_eq!(day.log.len(), before * 2, "byte {at}, bit {bit}");
            // A length that grows past the end of the file looks like one that was cut off.
            assert!(!extent.whole, "byte {at}, bit {bit}");
        }
    }
}

#[test]
fn frames_out_of_order_twice_or_missing_are_told_with_their_place() {
    let (file, ends) = frames(4);
    let frame = |k: usize| &file[ends[k]..ends[k + 1]];
    let swapped = [&file[..ends[1]], frame(2), frame(1), &file[ends[3]..]].concat();
    let twice = [&file[..ends[2]], frame(1), &file[ends[2]..]].concat();
    let missing = [&file[..ends[1]], &file[ends[2]..]].concat();
    for (bad, sound) in [(swapped, 1), (twice, 2), (missing, 1)] {
        let (day, extent) = read(&bad).expect("a head");
        assert_eq!(day.log.len(), sound * 2);
        let Some(FrameError::Damaged { at, what }) = extent.damage else {
            panic!("{extent:?}")
        };
        assert_eq!(at, ends[sound], "{what}");
    }
    let more = [file.as_slice(), b"x"].concat();
    assert!(
        read(&more).expect("a head").1.damage.is_some(),
        "more after its end"
    );
}

#[rstest]
#[case::empty(b"".to_vec(), FrameError::Empty)]
#[case::text(b"{\"settings\":{}}".to_vec(), FrameError::NoDay)]
#[case::newer([b"lynxday\n".as_slice(), &[2, 0]].concat(), FrameError::Newer(2))]
#[case::much_newer([b"lynxday\n".as_slice(), &[255, 255, 1, 2, 3]].concat(), FrameError::Newer(65535))]
#[case::nothing([b"lynxday\n".as_slice(), &[1, 0]].concat(), FrameError::Empty)]
fn what_is_no_day_is_told(#[case] bytes: Vec<u8>, #[case] fault: FrameError) {
    assert_eq!(read(&bytes), Err(fault));
}

fn world() -> lynxmill_recording::World {
    let operation = |name: &str, writes| lynxmill_recording::Operation {
        name: name.into(),
        writes,
        safe: !writes,
        deadline: 600_000,
    };
    let server = lynxmill_recording::Server {
        name: "s-a".into(),
        zone: 0,
        cores: 4,
        speed: 1.0,
        queue: 8,
        weight: 1.0,
        cold_from: 0.3,
        cold_for: 1,
        gain: 0.0,
        memory: 1,
        runs: true,
    };
    lynxmill_recording::World {
        length: 1_000_000,
        zones: vec!["a".into()],
        operations: vec![operation("lookup", false), operation("vote", true)],
        servers: vec![server],
        forwarders: vec![lynxmill_recording::Forwarder { zone: 0 }],
        assigners: vec![lynxmill_recording::Assigner {
            name: "n0".into(),
            zone: 0,
        }],
        slices: vec![(0, 0)],
        ..lynxmill_recording::World::default()
    }
}

fn asks(at: i64) -> Asks {
    Asks {
        at,
        client: 1,
        zone: 0,
        slice: 0,
        operation: 0,
        work: 5,
    }
}

fn whole() -> Day {
    Day {
        head: head(Source::Engine),
        world: Some(world()),
        asks: vec![asks(1), asks(2)],
        troubles: vec![RecordedFault {
            at: 5,
            what: RecordedEvent::StreamBreaks(0, 0),
        }],
        log: vec![log(3, "x")],
    }
}

#[rstest]
#[case::slice(|day: &mut Day| day.asks[0].slice = 9)]
#[case::operation(|day: &mut Day| day.asks[0].operation = 2)]
#[case::zone(|day: &mut Day| day.asks[0].zone = 1)]
#[case::back_in_time(|day: &mut Day| day.asks[0].at = 7)]
#[case::nobody(|day: &mut Day| day.troubles[0].what = RecordedEvent::ForwarderDies(1))]
#[case::no_assigner(|day: &mut Day| day.troubles[0].what = RecordedEvent::AssignerDies(4))]
#[case::quicker_channel(|day: &mut Day| day.troubles[0].what = RecordedEvent::ChannelSlows(0, 0.5, 9))]
#[case::no_owner(|day: &mut Day| day.world = Some(lynxmill_recording::World { slices: vec![(0, 3)], ..world() }))]
#[case::no_length(|day: &mut Day| day.world = Some(lynxmill_recording::World { length: 0, ..world() }))]
fn parts_that_contradict_each_other_are_no_day(#[case] spoil: fn(&mut Day)) {
    let mut day = whole();
    assert_eq!(read(&bytes(&day).expect("a file")).expect("a day").0, day);
    spoil(&mut day);
    assert!(matches!(
        read(&bytes(&day).expect("a file")),
        Err(FrameError::Odd(_))
    ));
}

#[test]
fn a_ring_keeps_the_last_in_its_bound_and_tells_what_has_gone() {
    let mut ring = Ring::new(&head(Source::Assigner), 600).expect("a head");
    for at in 0..100 {
        ring.push(&[log(at, "one"), log(at, "two")]).expect("room");
        assert!(ring.held() <= 600);
    }
    let (day, extent) = read(&ring.file().expect("a file")).expect("a day");
    assert!(extent.whole);
    let Entry::Missing(gone) = day.log[0].entry else {
        panic!("{:?}", day.log[0])
    };
    assert_eq!(gone as usize + day.log.len() - 1, 200);
    assert_eq!(day.log.last().map(|last| last.at), Some(99));
}

#[test]
fn recordings_of_one_day_are_one_by_the_wall_clock() {
    let recording = |began_ms: f64, at: i64| {
        let mut day = whole();
        (day.head, day.world) = (
            Head {
                began_ms,
                ..head(Source::Assigner)
            },
            None,
        );
        (day.asks, day.troubles, day.log) = (vec![], vec![], vec![log(at, "x")]);
        day
    };
    let merged = merge(vec![recording(1e12 + 2.0, 10), recording(1e12, 500)]).expect("a day");
    let at: Vec<(u16, i64)> = merged
        .log
        .iter()
        .map(|log| (log.of.assigner, log.at))
        .collect();
    assert_eq!(at, [(1, 500), (0, 2010)]);
    assert!(merge(vec![]).is_err());
    assert!(
        merge(vec![recording(1e12, 1), recording(2e12, 1)]).is_err(),
        "other days"
    );
    assert!(merge(vec![whole()]).is_err(), "no recording");
}

fn entry() -> impl Strategy<Value = Entry> {
    let news = prop_oneof![
        any::<u16>().prop_map(|proxy| News::Attach { proxy }),
        (any::<u16>(), any::<u16>(), 0.0..1e6).prop_map(|(proxy, mark, took_ms)| News::Done {
            proxy,
            mark,
            took_ms
        }),
        (0..99_usize, "[a-z]{0,9}").prop_map(|(slice, server)| News::Entry { slice, server }),
        Just(News::Alive),
    ];
    let event = prop_oneof![
        Just(Event::Wake),
        proptest::collection::vec(news, 0..4).prop_map(Event::News),
        (0..99_usize).prop_map(|taken| Event::Called(Outcome::Taken(taken))),
        Just(Event::Called(Outcome::Unknown)),
    ];
    prop_oneof![
        event.prop_map(Entry::Heard),
        ".{0,40}".prop_map(Entry::Ordered),
        any::<u64>().prop_map(Entry::Missing),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn what_is_written_is_read_back(entries in proptest::collection::vec((any::<i64>(), entry()), 0..40)) {
        let of = Life { assigner: 3, life: 2 };
        let log = entries.into_iter().map(|(at, entry)| Log { at, of, entry }).collect();
        let day = Day { log, ..whole() };
        let file = bytes(&day).expect("a file");
        let (read, extent) = read(&file).expect("a day");
        prop_assert_eq!(&read, &day);
        prop_assert!(extent.whole && extent.damage.is_none());
        prop_assert_eq!(bytes(&read).expect("a file"), file);
    }

    #[test]
    fn whatever_bytes_come_nothing_panics(
        at in 0..2000_usize, junk in proptest::collection::vec(any::<u8>(), 0..60)
    ) {
        let (mut file, _) = frames(12);
        let at = at % file.len();
        let end = (at + junk.len()).min(file.len());
        file.splice(at..end, junk);
        let _ = read(&file);
        let _ = read(&file[at..]);
    }
}

#[test]
fn a_day_of_no_entries_is_whole() {
    let (file, _) = frames(0);
    assert_eq!(entries(&file), 0);
    assert!(read(&file).expect("a day").1.whole);
}
