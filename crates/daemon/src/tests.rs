//! The codec with bytes in pieces, and the reducer with the clock in hand.

use std::time::Duration;

use actix_codec::Decoder;
use bytes::BytesMut;
use lynxmill_fake_servers::{CallOutcome, settings, words};
use lynxmill_random::Pcg;
use lynxmill_time::{TimeDelta, Timestamp};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::sync::mpsc::error::TryRecvError;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

use lynxmill_assigner_state::{
    Addresses, Asked, Effect, Event, Message, Met, News, Outbox, Outcome, Reason, Sets, Start,
    State, decode, mark, members, publish, shut,
};

use crate::relay::{Lines, outcome};
use crate::resp::{MemoryBudget, ProtocolError, Resp};
use crate::start::{Clock, File};

fn codec() -> Resp {
    Resp::new(MemoryBudget::new(1 << 20))
}

const MET: [&str; 13] = [
    "upstream_stats",
    "zone",
    "a",
    "server",
    "s-a",
    "tries",
    "12",
    "failed",
    "3",
    "mean_ms",
    "41.7",
    "span_ms",
    "1000.0",
];

#[test]
fn a_message_in_single_bytes_is_read_once_it_is_whole() {
    let mut bytes = [
        MET.as_slice(),
        &["novel", "x", "load", "outstanding:7,util:0.61"],
    ]
    .concat();
    bytes.extend(["color", "red"]);
    let (mut codec, mut buffer) = (codec(), BytesMut::new());
    let stream = [words(&bytes), words(&["hb"])].concat();
    let mut messages = Vec::new();
    for byte in stream {
        buffer.extend_from_slice(&[byte]);
        messages.extend(codec.decode(&mut buffer).expect("good bytes"));
    }
    let [Message::Met(met), Message::Heartbeat] = messages.as_slice() else {
        panic!("{messages:?}")
    };
    assert_eq!(
        (met.server.as_str(), met.tries, met.failed, met.mean_ms),
        ("s-a", 12.0, 3.0, 41.7)
    );
    assert_eq!(
        met.load,
        [("outstanding".to_owned(), 7.0), ("util".to_owned(), 0.61)]
    );
}

#[rstest]
#[case::no_array(b"+hb\r\n".to_vec(), Reason::BadFrame)]
#[case::inline(b"hb\r\n".to_vec(), Reason::BadFrame)]
#[case::empty(b"*0\r\n".to_vec(), Reason::BadFrame)]
#[case::null(b"*-1\r\n".to_vec(), Reason::BadFrame)]
#[case::null_word(b"*1\r\n$-1\r\n".to_vec(), Reason::BadFrame)]
#[case::no_digits(b"*\r\n".to_vec(), Reason::BadFrame)]
#[case::no_return(b"*1\n".to_vec(), Reason::BadFrame)]
#[case::endless_count(b"*11111111111111111111111111".to_vec(), Reason::BadFrame)]
#[case::no_line_end(b"*1\r\n$2\r\nhbxx".to_vec(), Reason::BadFrame)]
#[case::no_text(b"*1\r\n$2\r\n\xff\xfe\r\n".to_vec(), Reason::UnknownKind)]
#[case::long_word(b"*1\r\n$1048577\r\n".to_vec(), Reason::TooLong)]
#[case::many_words(b"*99999999\r\n".to_vec(), Reason::TooLong)]
#[case::long_together([b"*2\r\n$600000\r\n".as_slice(), &vec![b'x'; 600_000], b"\r\n$600000\r\n"].concat(),
    Reason::TooLong)]
#[case::kind(words(&["assign"]), Reason::UnknownKind)]
fn bad_input_is_told_by_its_reason(#[case] bytes: Vec<u8>, #[case] expected: Reason) {
    let (mut codec, mut buffer) = (codec(), BytesMut::from(bytes.as_slice()));
    match codec.decode(&mut buffer) {
        Err(ProtocolError::Bad(reason, _)) => assert_eq!(reason, expected),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[case::odd(&["hb", "x"])]
#[case::missing(&["telemetry"])]
#[case::no_number(&["range_stats", "slice", "x", "class", "lookup", "tries", "1", "span_ms", "9"])]
#[case::no_slice(&["range_stats", "slice", "1.5", "class", "lookup", "tries", "1", "span_ms", "9"])]
#[case::below_zero(&["range_stats", "slice", "1", "class", "lookup", "tries", "-1", "span_ms", "9"])]
#[case::not_a_number(&["range_stats", "slice", "1", "class", "l", "tries", "NaN", "span_ms", "9"])]
#[case::infinite(&["range_stats", "slice", "1", "class", "l", "tries", "inf", "span_ms", "9"])]
#[case::out_of_range(&["range_stats", "slice", "1", "class", "l", "tries", "38654705664", "span_ms", "9"])]
#[case::no_span(&["range_stats", "slice", "1", "class", "l", "tries", "1", "span_ms", "0"])]
#[case::load(&[MET.as_slice(), &["load", "outstanding"]].concat())]
#[case::load_below_zero(&[MET.as_slice(), &["load", "outstanding:-3"]].concat())]
#[case::more_failed_than_tried(&["upstream_stats", "zone", "a", "server", "s-a", "tries", "2", "failed", "3",
    "mean_ms", "1", "span_ms", "9"])]
fn a_spoilt_message_between_sound_ones_is_left_out_alone(#[case] spoilt: &[&str]) {
    let bytes = [words(&MET), words(spoilt), words(&MET)].concat();
    let (mut codec, mut buffer) = (codec(), BytesMut::from(bytes.as_slice()));
    let read: Vec<Message> =
        std::iter::from_fn(|| codec.decode(&mut buffer).expect("sound framing")).collect();
    let [Message::Met(_), Message::Spoilt(_), Message::Met(_)] = read.as_slice() else {
        panic!("{read:?}")
    };
}

#[test]
fn unfinished_messages_share_bounded_room_and_give_it_back() {
    let room = MemoryBudget::new(300_000);
    let long = || {
        BytesMut::from(
            [b"*1\r\n$900000\r\n".as_slice(), &vec![b'x'; 200_000]]
                .concat()
                .as_slice(),
        )
    };
    let mut first = Resp::new(room.clone());
    assert!(matches!(first.decode(&mut long()), Ok(None)));
    let crowded = Resp::new(room.clone()).decode(&mut long());
    assert!(
        matches!(crowded, Err(ProtocolError::Bad(Reason::Crowded, _))),
        "{crowded:?}"
    );
    let short = Resp::new(room.clone()).decode(&mut BytesMut::from(words(&["hb"]).as_slice()));
    assert!(matches!(short, Ok(Some(Message::Heartbeat))));
    drop(first);
    assert!(matches!(Resp::new(room).decode(&mut long()), Ok(None)));
}

#[test]
fn news_come_in_pieces_and_what_can_not_be_read_ends_the_watch() {
    let mut lines = Lines::default();
    let text =
        b"{}\n{\"type\":\"attach\",\"object\":{\"proxy\":17,\"zone\":\"a\",\"weight\":2.5,\"fresh\":true}}\n";
    let news: Vec<News> = text
        .iter()
        .flat_map(|byte| lines.take(&[*byte]).expect("good"))
        .collect();
    assert_eq!(news, [News::Alive, News::Attach { proxy: 17 }]);
    let unreadable = lines.take(b"{\"type\":\"attach\",\"object\":{\"proxy\":-1}}\n");
    assert_eq!(unreadable.expect_err("no proxy").reason, Reason::Unreadable);
    let endless = Lines::default().take(&vec![b' '; 2 << 20]);
    assert_eq!(endless.expect_err("endless").reason, Reason::TooLong);
}

#[test]
fn calls_are_cut_by_bytes_and_keep_the_order() {
    let mut outbox = Outbox::default();
    let name = "s-".repeat(400);
    (0..200).for_each(|slice| outbox.push(publish(slice, 0, 0, &name)));
    outbox.push(mark(7));
    let mut slices = Vec::new();
    while let Some((orders, body)) = outbox.call() {
        assert!(body.len() <= 60_000 && serde_json::from_str::<Value>(&body).is_ok());
        slices.extend(orders.iter().map(|order| order.sets.slice()));
    }
    assert_eq!(slices, (0..200).map(Some).chain([None]).collect::<Vec<_>>());
}

#[test]
fn of_orders_that_set_the_same_the_last_one_waits_in_its_own_turn() {
    let mut outbox = Outbox::default();
    for order in [
        shut(1, 0, "s-a"),
        mark(7),
        shut(2, 0, "s-a"),
        publish(1, 0, 0, "s-b"),
        mark(8),
    ] {
        outbox.push(order);
    }
    let (orders, _) = outbox.call().expect("a call");
    let (line, mark) = (
        Sets::Line {
            slice: 1,
            server: Some(0),
        },
        Sets::Mark { number: 8 },
    );
    let sets: Vec<Sets> = orders.iter().map(|order| order.sets).collect();
    assert_eq!(
        sets,
        [
            Sets::Line {
                slice: 2,
                server: None
            },
            line,
            mark
        ]
    );
}

#[rstest]
#[case::taken(true, "{\"taken\":2}", Outcome::Taken(2))]
#[case::cut_off(true, "{\"taken\":", Outcome::Unknown)]
#[case::throttled(false, "{\"error\":\"Throttling\"}", Outcome::Throttled)]
#[case::no_such_call(false, "{\"error\":\"ValidationError\"}", Outcome::Taken(0))]
#[case::failed(false, "{\"error\":\"InternalFailure\"}", Outcome::Unknown)]
fn an_answer_tells_what_came_of_a_call(
    #[case] ok: bool,
    #[case] text: &str,
    #[case] expected: Outcome,
) {
    assert_eq!(outcome(ok, text.as_bytes()).0, expected);
}

/// An assigner with three listed servers whose time is told by the test.
struct Bench {
    state: State,
    now: f64,
    effects: Vec<Effect>,
}

/// A configuration, as its file tells it.
fn told() -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:2", "seed": "1",
        "limits": {"memory_mb": 192, "sockets": 8}, "registry": {"address": "127.0.0.1:3"},
        "known": {"index": 1, "snapshot": true, "endpoints": []}, "settings": settings(),
    })
}

fn start() -> Start {
    decode(&told(), |_| None).expect("good settings")
}

impl Bench {
    fn begin(now: f64) -> Self {
        Bench::of(now, start())
    }

    fn of(now: f64, start: Start) -> Self {
        let state = State::new(Clock::start().epoch(), Timestamp::from_secs(now), start);
        let mut bench = Bench {
            state,
            now,
            effects: Vec::new(),
        };
        bench.tell(Event::Begin);
        bench
    }

    fn new() -> Self {
        let mut bench = Bench::begin(0.0);
        bench.list(&[("s-a", "ready"), ("s-b", "ready"), ("s-c", "ready")]);
        bench.tell(Event::WatchBegun);
        bench.pass(0.01);
        bench
    }

    /// One with these proxies joined, slice 0 at s-a and slice 1 at s-b, all told and settled.
    fn serving(proxies: &[u16]) -> Self {
        let mut bench = Bench::new();
        bench.news(
            proxies
                .iter()
                .map(|&proxy| News::Attach { proxy })
                .collect(),
        );
        bench.give(0, "s-a");
        bench.give(1, "s-b");
        bench.news(vec![News::Alive]);
        bench.pass(0.01);
        let mark = bench.taken();
        bench.done(proxies, mark);
        bench.pass(2.0);
        bench.drain_calls();
        bench
    }

    /// One whose slice 0 has been shut and may have its next owner.
    fn fenced() -> Self {
        let mut bench = Bench::serving(&[0]);
        bench.drains(&["s-a"]);
        let mark = bench.taken();
        bench.done(&[0], mark);
        bench.pass(0.1);
        bench
    }

    fn tell(&mut self, event: Event) {
        self.state
            .reduce(Timestamp::from_secs(self.now), event, &mut self.effects);
    }

    fn news(&mut self, news: Vec<News>) {
        self.tell(Event::News(news));
    }

    fn give(&mut self, slice: usize, server: &str) {
        self.news(vec![
            News::Owner { slice, on: true },
            News::Entry {
                slice,
                server: server.into(),
            },
        ]);
    }

    fn list(&mut self, servers: &[(&str, &str)]) {
        let entry =
            |(name, status): &(&str, &str)| json!({"name": name, "status": status, "weight": 1.0});
        let entries: Vec<Value> = servers.iter().map(entry).collect();
        let list = json!({"index": 1, "snapshot": false, "endpoints": entries});
        self.tell(Event::Listed(members(list).expect("a list")));
    }

    fn drains(&mut self, servers: &[&str]) {
        let servers: Vec<(&str, &str)> =
            servers.iter().map(|&server| (server, "draining")).collect();
        self.list(&servers);
        self.pass(0.01);
    }

    /// What stands is told by a new watch: proxy 0 and these slices.
    fn watch_again(&mut self, slices: &[(usize, &str)]) {
        self.tell(Event::WatchBegun);
        self.news(vec![News::Attach { proxy: 0 }]);
        slices
            .iter()
            .for_each(|(slice, server)| self.give(*slice, server));
        self.news(vec![News::Alive]);
    }

    fn done(&mut self, proxies: &[u16], mark: u16) {
        self.news(
            proxies
                .iter()
                .map(|&proxy| News::Done {
                    proxy,
                    mark,
                    took_ms: 0.0,
                })
                .collect(),
        );
    }

    /// Lets time go by, waking as often as asked for.
    fn pass(&mut self, seconds: f64) {
        let end = self.now + seconds;
        while self.now < end {
            self.now += 0.005;
            self.tell(Event::Wake);
        }
    }

    fn call(&mut self) -> Option<Vec<Value>> {
        let at = self
            .effects
            .iter()
            .position(|effect| matches!(effect, Effect::Call(_)))?;
        let Effect::Call(body) = self.effects.remove(at) else {
            return None;
        };
        let body: Value = serde_json::from_str(&body).expect("a body");
        body["ops"].as_array().cloned()
    }

    /// Answers the call made as taken whole and returns its mark.
    fn taken(&mut self) -> u16 {
        let ops = self.call().expect("a call");
        self.tell(Event::Called(Outcome::Taken(ops.len())));
        mark_of(&ops)
    }

    fn drain_calls(&mut self) {
        while let Some(ops) = self.call() {
            self.tell(Event::Called(Outcome::Taken(ops.len())));
        }
    }
}

fn mark_of(ops: &[Value]) -> u16 {
    ops.iter()
        .find_map(|op| op["nonce_out"].as_u64())
        .expect("a mark") as u16
}

fn line(op: &Value) -> Option<(u64, &str, f64)> {
    (op["op"] == "share").then(|| {
        Some((
            op["table"].as_u64()?,
            op["server"].as_str()?,
            op["weight"].as_f64()?,
        ))
    })?
}

fn lines(ops: &[Value]) -> Vec<(u64, &str, f64)> {
    ops.iter().filter_map(line).collect()
}

#[test]
fn a_slice_waits_for_its_line_in_the_store_that_comes_in_a_later_piece() {
    let mut bench = Bench::new();
    bench.news(vec![
        News::Attach { proxy: 0 },
        News::Owner { slice: 0, on: true },
    ]);
    bench.pass(0.3);
    assert_eq!(
        bench.call(),
        None,
        "without its line the slice would count as shut"
    );
    bench.news(vec![News::Entry {
        slice: 0,
        server: "s-a".into(),
    }]);
    bench.pass(0.01);
    assert_eq!(lines(&bench.call().expect("the owner")), [(0, "s-a", 1.0)]);
}

#[test]
fn a_slice_whose_line_was_cut_off_waits_for_the_next_watch() {
    let mut bench = Bench::new();
    bench.news(vec![News::Owner { slice: 0, on: true }]);
    bench.tell(Event::WatchEnded);
    bench.tell(Event::WatchBegun);
    bench.news(vec![News::Attach { proxy: 0 }]);
    bench.pass(0.3);
    assert_eq!(bench.call(), None);
    bench.give(0, "s-a");
    bench.news(vec![News::Alive]);
    bench.pass(0.01);
    assert_eq!(lines(&bench.call().expect("the owner")), [(0, "s-a", 1.0)]);
}

#[test]
fn a_slice_without_a_line_is_given_once_other_news_come() {
    let mut bench = Bench::new();
    bench.news(vec![News::Owner { slice: 0, on: true }, News::Alive]);
    bench.pass(1.0);
    let calls: Vec<Value> = std::iter::from_fn(|| {
        let ops = bench.call()?;
        bench.tell(Event::Called(Outcome::Taken(ops.len())));
        Some(ops)
    })
    .flatten()
    .collect();
    assert_eq!(lines(&calls).len(), 1, "an owner is found: {calls:?}");
}

#[rstest]
#[case::unknown(Outcome::Unknown)]
#[case::throttled(Outcome::Throttled)]
fn a_call_goes_again_before_later_ones_less_slices_no_longer_ours(#[case] outcome: Outcome) {
    let mut bench = Bench::serving(&[0]);
    bench.drains(&["s-a", "s-b"]);
    let first = bench.call().expect("both shut");
    assert_eq!(lines(&first), [(0, "s-a", 0.0), (1, "s-b", 0.0)]);
    bench.news(vec![News::Owner {
        slice: 0,
        on: false,
    }]);
    bench.give(2, "s-c");
    bench.tell(Event::Called(outcome));
    bench.pass(0.3);
    let again = bench.call().expect("the call again");
    assert_eq!(lines(&again), [(1, "s-b", 0.0), (2, "s-c", 1.0)]);
    assert_eq!(bench.call(), None, "one call at a time");
}

#[test]
fn an_answered_mark_shows_that_a_call_of_unknown_fate_was_carried_out() {
    let mut bench = Bench::serving(&[0]);
    bench.drains(&["s-a"]);
    let ops = bench.call().expect("a shut");
    let mark = mark_of(&ops);
    bench.tell(Event::Called(Outcome::Unknown));
    bench.done(&[0], mark);
    bench.pass(0.3);
    let next = bench.call().expect("the new owner");
    assert!(
        lines(&next)
            .iter()
            .all(|(slice, _, weight)| *slice == 0 && *weight == 1.0),
        "{next:?}"
    );
}

#[test]
fn a_call_of_unknown_fate_waits_for_an_answer_before_it_fills_the_channel_twice() {
    let mut told = told();
    told["settings"]["specifics"]["push_delay_max"] = json!(0.75);
    for carried_out in [true, false] {
        let mut bench = Bench::of(0.0, decode(&told, |_| None).expect("good settings"));
        bench.list(&[("s-a", "ready"), ("s-b", "ready")]);
        bench.tell(Event::WatchBegun);
        bench.news(vec![News::Attach { proxy: 0 }]);
        bench.give(0, "s-a");
        bench.news(vec![News::Alive]);
        bench.pass(0.01);
        let mark = mark_of(&bench.call().expect("its owner"));
        bench.tell(Event::Called(Outcome::Unknown));
        bench.pass(0.7);
        assert_eq!(bench.call(), None, "the answer may still come");
        if carried_out {
            bench.done(&[0], mark);
        }
        bench.pass(0.1);
        assert_eq!(
            bench.call().map(|ops| mark_of(&ops)),
            (!carried_out).then_some(mark)
        );
    }
}

#[test]
fn an_answered_mark_tells_of_its_own_call_though_newer_orders_wait() {
    let mut bench = Bench::serving(&[0]);
    bench.drains(&["s-a"]);
    let first = bench.call().expect("a shut");
    let mark = mark_of(&first);
    bench.list(&[("s-b", "draining")]);
    bench.pass(0.01);
    bench.tell(Event::Called(Outcome::Unknown));
    bench.done(&[0], mark);
    assert_eq!(
        lines(&bench.call().expect("what waited")),
        [(1, "s-b", 0.0)]
    );
    bench.tell(Event::Called(Outcome::Throttled));
    bench.pass(0.2);
    let next = bench.call().expect("both");
    assert_eq!(
        lines(&next),
        [(1, "s-b", 0.0), (0, "s-c", 1.0)],
        "the first slice moves on, it is not shut again"
    );
}

#[test]
fn an_answer_to_a_mark_of_nobody_counts_for_nothing() {
    let mut bench = Bench::serving(&[0]);
    bench.drains(&["s-a"]);
    let mark = bench.taken();
    bench.done(&[0], mark.wrapping_sub(9));
    bench.done(&[0], mark.wrapping_add(9));
    bench.pass(1.0);
    assert_eq!(bench.call(), None);
}

#[test]
fn a_slice_given_once_more_is_left_alone_until_its_line_has_come() {
    let mut bench = Bench::serving(&[0]);
    bench.news(vec![News::Owner { slice: 0, on: true }]);
    bench.list(&[("s-a", "draining")]);
    bench.pass(0.2);
    assert_eq!(bench.call(), None);
    bench.news(vec![News::Entry {
        slice: 0,
        server: "s-c".into(),
    }]);
    bench.pass(0.01);
    assert_eq!(lines(&bench.call().expect("its owner")), [(0, "s-c", 1.0)]);
}

#[test]
fn levels_of_before_are_taken_back_where_a_slice_begins_anew() {
    let mut bench = Bench::serving(&[0]);
    let met = |server: &str| Met {
        zone: "a".into(),
        server: server.into(),
        tries: 40.0,
        failed: 0.0,
        mean_ms: 2000.0,
        span_ms: 100.0,
        load: vec![("outstanding".into(), 80.0)],
    };
    let levelled = |ops: &[Value]| ops.iter().any(|op| op["op"] == "admit" && op["table"] == 0);
    let asked = |slice| {
        Message::Asked(Asked {
            slice,
            operation: "lookup".into(),
            tries: 40.0,
            span_ms: 100.0,
        })
    };
    let mut strained = false;
    for _ in 0..40 {
        for message in [Message::Met(met("s-a")), asked(0), asked(1)] {
            bench.tell(Event::Said(1, message));
        }
        bench.pass(0.1);
        while let Some(ops) = bench.call() {
            strained |= levelled(&ops);
            bench.tell(Event::Called(Outcome::Taken(ops.len())));
        }
    }
    assert!(strained);
    bench.tell(Event::WatchEnded);
    bench.watch_again(&[(0, "s-c"), (1, "s-b")]);
    let ops = bench.call().expect("levels");
    assert!(
        ops.iter()
            .any(|op| op["routes"] == json!(["*"]) && op["admit"] == 1.0),
        "{ops:?}"
    );
}

#[test]
fn an_agent_that_answers_at_once_with_nothing_is_not_asked_without_end() {
    let mut bench = Bench::new();
    for _ in 0..200 {
        bench.list(&[]);
        bench.pass(0.005);
    }
    let asked = bench
        .effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Ask(_)))
        .count();
    assert!((5..40).contains(&asked), "asked {asked} times in a second");
}

#[test]
fn what_the_relay_refuses_is_left_out_and_begins_anew() {
    let mut bench = Bench::serving(&[0]);
    bench.drains(&["s-a", "s-b"]);
    bench.call().expect("both shut");
    bench.tell(Event::Called(Outcome::Taken(0)));
    bench.pass(0.3);
    let rest = bench.call().expect("the rest");
    assert_eq!(
        lines(&rest),
        [(1, "s-b", 0.0), (0, "s-a", 0.0)],
        "the slice refused is shut once more"
    );
}

#[test]
fn a_refused_mark_goes_again_as_moves_wait_for_it() {
    let mut bench = Bench::serving(&[0]);
    bench.drains(&["s-a"]);
    bench.call().expect("a shut and a mark");
    bench.tell(Event::Called(Outcome::Taken(1)));
    bench.pass(0.2);
    let ops = bench.call().expect("the mark");
    assert_eq!((ops.len(), &ops[0]["op"]), (1, &json!("mark")));
}

#[rstest]
#[case::sent_again(false)]
#[case::shut_meanwhile(true)]
fn an_owner_refused_after_a_call_of_unknown_fate_may_stand_all_the_same(
    #[case] then_drained: bool,
) {
    let mut bench = Bench::fenced();
    let published = bench.call().expect("the new owner");
    bench.tell(Event::Called(Outcome::Unknown));
    if then_drained {
        bench.list(&[(lines(&published)[0].1, "draining")]);
    }
    bench.pass(0.2);
    let again = lines(&bench.call().expect("again or shut"))[0].2;
    assert_eq!(again, if then_drained { 0.0 } else { 1.0 });
    bench.list(&[(lines(&published)[0].1, "ready")]);
    bench.tell(Event::Called(Outcome::Taken(0)));
    bench.pass(0.2);
    bench.drain_calls();
    assert_eq!(bench.state.line(0), Some(lines(&published)[0].1));
}

#[test]
fn a_fence_counts_from_when_the_relay_got_the_shut() {
    let mut bench = Bench::serving(&[0]);
    bench.drains(&["s-a"]);
    for _ in 0..4 {
        bench.call().expect("the shut, again");
        bench.tell(Event::Called(Outcome::Throttled));
        bench.pass(0.2);
    }
    let mark = bench.taken();
    bench.done(&[0], mark);
    // Writes in hand settle within 50 ms of the shut, which the proxy applied only now.
    bench.pass(0.03);
    assert_eq!(bench.call(), None);
    bench.pass(0.04);
    assert_eq!(lines(&bench.call().expect("the new owner")).len(), 1);
}

#[test]
fn no_owner_is_published_around_a_shut_that_the_store_has_not_seen() {
    let mut bench = Bench::serving(&[]);
    bench.drains(&["s-a"]);
    bench.call().expect("a shut");
    bench.tell(Event::Called(Outcome::Throttled));
    // Without proxies the fence is a lease past the start, which is over: only the store can tell.
    for _ in 0..20 {
        bench.pass(0.02);
        if let Some(ops) = bench.call() {
            assert!(
                lines(&ops).iter().all(|(_, _, weight)| *weight == 0.0),
                "{ops:?}"
            );
            bench.tell(Event::Called(Outcome::Throttled));
        }
    }
}

#[test]
fn what_stands_after_a_gap_is_compared_with_what_was_held() {
    let mut bench = Bench::serving(&[0, 1]);
    bench.tell(Event::WatchEnded);
    bench.pass(0.5);
    assert!(bench.effects.contains(&Effect::Watch));
    // Proxy 1 has left, slice 0 stands as it was, slice 1 has gone, slice 2 is new.
    bench.watch_again(&[(0, "s-a"), (2, "s-b")]);
    bench.pass(0.01);
    assert_eq!(
        lines(&bench.call().expect("the new slice")),
        [(2, "s-b", 1.0)]
    );
    bench.tell(Event::Called(Outcome::Taken(2)));
    bench.drains(&["s-a", "s-b"]);
    let mark = {
        let ops = bench.call().expect("shuts");
        assert_eq!(lines(&ops), [(0, "s-a", 0.0), (2, "s-b", 0.0)]);
        bench.tell(Event::Called(Outcome::Taken(ops.len())));
        mark_of(&ops)
    };
    bench.done(&[0], mark);
    bench.pass(0.3);
    assert_eq!(bench.call(), None, "the lease of the proxy that left runs");
    bench.pass(0.4);
    assert_eq!(lines(&bench.call().expect("owners")).len(), 2);
}

#[test]
fn answers_lost_in_a_gap_are_asked_for_anew() {
    let mut bench = Bench::serving(&[0]);
    bench.drains(&["s-a"]);
    bench.taken();
    // The proxy answers while nobody listens.
    bench.tell(Event::WatchEnded);
    bench.tell(Event::WatchBegun);
    bench.news(vec![
        News::Attach { proxy: 0 },
        News::Owner { slice: 0, on: true },
    ]);
    bench.give(1, "s-b");
    bench.news(vec![News::Alive]);
    bench.pass(0.2);
    let mark = bench.taken();
    bench.done(&[0], mark);
    bench.pass(0.5);
    assert_eq!(lines(&bench.call().expect("the new owner")).len(), 1);
}

#[test]
fn what_waits_for_a_slice_that_leaves_does_not_go_out() {
    let mut bench = Bench::serving(&[0]);
    bench.drains(&["s-a", "s-b"]);
    bench.call().expect("both shut");
    bench.tell(Event::Called(Outcome::Throttled));
    bench.news(vec![News::Owner {
        slice: 0,
        on: false,
    }]);
    bench.pass(0.3);
    assert_eq!(lines(&bench.call().expect("the rest")), [(1, "s-b", 0.0)]);
}

#[test]
fn a_slice_that_was_in_other_hands_begins_anew() {
    let mut bench = Bench::serving(&[0]);
    bench.tell(Event::WatchEnded);
    bench.pass(0.5);
    bench.watch_again(&[(0, "s-c"), (1, "s-b")]);
    bench.pass(0.01);
    assert_eq!(lines(&bench.call().expect("its owner")), [(0, "s-c", 1.0)]);
}

#[test]
fn whatever_bytes_come_nothing_panics() {
    let mut chance = Pcg::new(7);
    let mut below = |most: usize| (chance.unit() * most as f64) as usize;
    let good = [
        words(&MET),
        words(&["hb"]),
        words(&["telemetry", "zone", "a"]),
    ]
    .concat();
    let news = b"{}\n{\"type\":\"done\",\"object\":{\"proxy\":1,\"mark\":2,\"took_ms\":0.5}}\n";
    for _ in 0..3000 {
        let (mut bytes, mut text) = (good.clone(), news.to_vec());
        for _ in 0..=below(4) {
            let (at, there) = (below(bytes.len()), below(text.len()));
            bytes[at] = below(256) as u8;
            text[there] = below(256) as u8;
        }
        let (mut codec, mut buffer) = (codec(), BytesMut::from(bytes.as_slice()));
        while let Ok(Some(_)) = codec.decode(&mut buffer) {}
        let _ = Lines::default().take(&text);
    }
}

/// A relay without sockets whose calls, proxies, slices and news go wrong by chance, and an assigner for it.
struct Walk {
    bench: Bench,
    world: lynxmill_fake_servers::State,
    told: Option<Told>,
    /// The watch at another address that a new configuration has named, and when the old ones are closed.
    next: Option<Told>,
    closes: usize,
    chance: Pcg,
    steps: usize,
    /// The outcome of a call, and when it is known.
    answer: Option<(f64, Outcome)>,
}

/// News that have come, and whole lines of them.
type Told = (UnboundedReceiver<lynxmill_fake_servers::WorldUpdate>, Lines);

const SERVERS: [&str; 3] = ["s-a", "s-b", "s-c"];

impl Walk {
    fn new(seed: u64) -> Self {
        let lease = settings()["specifics"]["lease"].as_f64().expect("a lease");
        let mut world = lynxmill_fake_servers::State::new(Duration::from_secs_f64(lease));
        SERVERS
            .iter()
            .for_each(|server| world.list(server, "ready", 0.0));
        (0..8).for_each(|slice| world.give(slice, Some(SERVERS[slice % 3])));
        (0..4).for_each(|px| world.attach(px));
        let bench = Bench::begin(0.0);
        let chance = Pcg::new(seed);
        let (told, next, answer) = (None, None, None);
        let mut walk = Walk {
            bench,
            world,
            told,
            next,
            closes: usize::MAX,
            chance,
            steps: 0,
            answer,
        };
        walk.list();
        walk
    }

    fn below(&mut self, most: usize) -> usize {
        (self.chance.unit() * most as f64) as usize
    }

    fn list(&mut self) {
        let list = members(self.world.members(None)).expect("a list");
        self.bench.tell(Event::Listed(list));
    }

    /// Killed outright and started again from nothing: its streams break.
    fn restart(&mut self) {
        (0..4).for_each(|px| self.world.detach(px));
        self.world.watches.clear();
        (self.told, self.next, self.answer, self.closes) = (None, None, None, usize::MAX);
        self.bench = Bench::begin(self.bench.now);
        self.list();
    }

    /// One thing goes wrong, or another way.
    fn stumble(&mut self) {
        if self.below(800) == 0 {
            self.restart();
        }
        let (px, slice) = (self.below(4) as u16, self.below(8));
        match self.below(40) {
            0 => self.world.detach(px),
            1..3 => self.world.attach(px),
            3 => self.world.slow(px, true),
            4..6 => self.world.slow(px, false),
            6 => self.world.take(slice),
            7 if !self.world.slices[&slice].mine => {
                let server = SERVERS.get(self.below(4)).copied();
                self.world.give(slice, server);
            }
            8 => {
                let (server, status) = (
                    SERVERS[self.below(3)],
                    ["ready", "draining", "gone"][self.below(3)],
                );
                self.world.list(server, status, 0.0);
                self.list();
            }
            9 => {
                self.world.out_of_reach = !self.world.out_of_reach;
                if self.world.out_of_reach {
                    self.world.cut();
                }
            }
            10 => {
                self.bench
                    .tell(Event::Moved(addresses(self.steps as u16, 2)));
                self.closes = self.steps + 75;
            }
            _ => {}
        }
    }

    /// What was asked for of the watches is done, in order.
    fn watch(&mut self) {
        for effect in std::mem::take(&mut self.bench.effects) {
            match effect {
                Effect::NextWatch => self.next = self.dial(),
                Effect::LeaveNext => self.next = None,
                Effect::LeaveWatch => self.told = None,
                Effect::Succeed => (self.told, self.closes) = (self.next.take(), usize::MAX),
                Effect::Watch if !self.world.out_of_reach => {
                    self.told = self.dial();
                    self.bench.tell(Event::WatchBegun);
                }
                Effect::Call(_) | Effect::Watch => self.bench.effects.push(effect),
                _ => {}
            }
        }
    }

    fn dial(&mut self) -> Option<Told> {
        let (tell, told) = unbounded_channel();
        let _ = tell.send(Ok(self.world.standing()));
        // The sign of life that ends what stands comes at once, or in its turn.
        if self.below(2) == 0 {
            let _ = tell.send(Ok("{}\n".into()));
        }
        self.world.watches.push(tell);
        (!self.world.out_of_reach).then(|| (told, Lines::default()))
    }

    /// A fiftieth of a second: what was asked for is done, or goes wrong.
    fn step(&mut self, rough: bool) {
        self.bench.now += 0.02;
        self.world.told_time = Duration::from_secs_f64(self.bench.now);
        self.steps += 1;
        if self.steps.is_multiple_of(50) && !self.world.out_of_reach {
            self.world
                .watches
                .retain(|watch| watch.send(Ok("{}\n".into())).is_ok());
        }
        if rough {
            self.stumble();
        }
        self.news();
        if self
            .answer
            .as_ref()
            .is_some_and(|(at, _)| *at <= self.bench.now)
            && let Some((_, outcome)) = self.answer.take()
        {
            self.bench.tell(Event::Called(outcome));
        }
        self.bench.tell(Event::Wake);
        if let Some(ops) = self.bench.call() {
            let ops = serde_json::from_value(Value::Array(ops)).expect("orders");
            if rough {
                let fate = match self.below(12) {
                    0 => CallOutcome::Throttled,
                    1 => CallOutcome::Broken(false),
                    2..4 => CallOutcome::Broken(true),
                    4 => CallOutcome::Takes(self.below(3)),
                    _ => CallOutcome::Answered,
                };
                self.world.fates.push_back(fate);
            }
            let outcome = match self.world.out_of_reach {
                true => Outcome::Unknown,
                false => match self.world.call(ops) {
                    (CallOutcome::Throttled, _) => Outcome::Throttled,
                    (CallOutcome::Broken(_), _) => Outcome::Unknown,
                    (_, taken) => Outcome::Taken(taken),
                },
            };
            self.world.fates.clear();
            let late = if rough { 0.1 * self.chance.unit() } else { 0.0 };
            self.answer = Some((self.bench.now + late, outcome));
        }
        if self.steps >= self.closes {
            // A next watch that has not told what stands by then never came up.
            (self.told, self.closes) = (None, usize::MAX);
            self.bench.tell(Event::WatchEnded);
        }
        self.watch();
    }

    fn news(&mut self) {
        for next in [false, true] {
            loop {
                self.watch();
                let Some((told, lines)) = (if next { &mut self.next } else { &mut self.told })
                else {
                    break;
                };
                match told.try_recv() {
                    Ok(Ok(text)) => {
                        // Now and then bytes come in two pieces.
                        let (first, second) = text.as_bytes().split_at(text.len() / 2);
                        let news = [first, second].map(|piece| lines.take(piece).expect("news"));
                        for news in news {
                            self.bench.tell(if next {
                                Event::NextNews(news)
                            } else {
                                Event::News(news)
                            });
                        }
                    }
                    Err(TryRecvError::Empty) => break,
                    Ok(Err(_)) | Err(TryRecvError::Disconnected) if next => {
                        self.next = None;
                        self.bench.tell(Event::NextEnded);
                    }
                    Ok(Err(_)) | Err(TryRecvError::Disconnected) => {
                        self.told = None;
                        self.bench.tell(Event::WatchEnded);
                    }
                }
            }
        }
    }
}

#[test]
fn whatever_goes_wrong_no_slice_is_torn_and_belief_and_store_come_together() {
    for seed in 0..24 {
        let mut walk = Walk::new(seed);
        (0..3000).for_each(|_| walk.step(true));
        walk.world.out_of_reach = false;
        SERVERS
            .iter()
            .for_each(|server| walk.world.list(server, "ready", 0.0));
        walk.list();
        (0..4).for_each(|px| walk.world.slow(px, false));
        (0..1000).for_each(|_| walk.step(false));
        assert!(
            walk.world.torn.is_empty(),
            "seed {seed}: {:?}",
            walk.world.torn
        );
        for (slice, held) in walk.world.slices.iter().filter(|(_, held)| held.mine) {
            assert!(
                held.line.is_some(),
                "seed {seed}: slice {slice} has no owner"
            );
            let believed = walk.bench.state.line(*slice);
            assert_eq!(believed, held.line.as_deref(), "seed {seed}: slice {slice}");
        }
    }
}

#[test]
fn the_watch_is_dialled_at_once_but_not_in_circles_nor_beside_a_call() {
    let mut bench = Bench::serving(&[0]);
    let dialled = |bench: &Bench| {
        bench
            .effects
            .iter()
            .filter(|effect| **effect == Effect::Watch)
            .count()
    };
    let before = dialled(&bench);
    bench.tell(Event::WatchEnded);
    assert_eq!(dialled(&bench), before + 1);
    bench.tell(Event::WatchEnded);
    assert_eq!(dialled(&bench), before + 1, "it ended at once: a pause");
    bench.pass(0.2);
    assert_eq!(dialled(&bench), before + 2);
    bench.watch_again(&[(0, "s-a"), (1, "s-b")]);
    bench.list(&[("s-a", "draining")]);
    bench.pass(0.2);
    bench.call().expect("a shut");
    bench.tell(Event::WatchEnded);
    bench.pass(0.1);
    assert_eq!(
        dialled(&bench),
        before + 2,
        "the call could change what stands while it is told"
    );
    bench.tell(Event::Called(Outcome::Unknown));
    assert_eq!(dialled(&bench), before + 3);
}

#[test]
fn a_proxy_may_have_come_and_gone_unseen_in_a_gap() {
    let mut bench = Bench::serving(&[0, 1]);
    bench.news(vec![News::Detach { proxy: 1 }]);
    bench.pass(1.0);
    bench.tell(Event::WatchEnded);
    bench.watch_again(&[(0, "s-a"), (1, "s-b")]);
    bench.drains(&["s-a"]);
    let mark = bench.taken();
    bench.done(&[0], mark);
    bench.pass(0.3);
    assert_eq!(
        bench.call(),
        None,
        "its lease of 0.4 s runs from the end of the gap"
    );
    bench.pass(0.3);
    assert_eq!(lines(&bench.call().expect("the new owner")).len(), 1);
}

#[test]
fn orders_of_an_earlier_charge_do_not_go_out_after_a_gap() {
    let mut bench = Bench::fenced();
    assert_eq!(lines(&bench.call().expect("the new owner")).len(), 1);
    bench.tell(Event::WatchEnded);
    bench.tell(Event::Called(Outcome::Throttled));
    bench.pass(0.5);
    assert_eq!(
        bench.call(),
        None,
        "nobody has told whose the slices are now"
    );
    // Meanwhile another assigner has had slice 0 and has moved it.
    bench.tell(Event::WatchBegun);
    bench.news(vec![News::Attach { proxy: 0 }]);
    bench.give(0, "s-b");
    bench.give(1, "s-b");
    bench.pass(0.5);
    assert_eq!(bench.call(), None);
    bench.news(vec![News::Alive]);
    bench.call().expect("what is left, a mark");
    bench.tell(Event::Called(Outcome::Taken(1)));
    bench.pass(0.01);
    assert_eq!(lines(&bench.call().expect("its owner")), [(0, "s-b", 1.0)]);
}

/// How many reports the reducer has passed on and left out.
fn counted(bench: &Bench) -> (Value, Value) {
    let status = serde_json::to_value(bench.state.status()).expect("a status");
    (status["reports"].clone(), status["reports_spoilt"].clone())
}

#[test]
fn only_who_has_joined_is_heard_and_only_what_exists_counts() {
    let mut bench = Bench::serving(&[0]);
    let asked = |slice: usize, operation: &str| {
        Message::Asked(Asked {
            slice,
            operation: operation.into(),
            tries: 4.0,
            span_ms: 500.0,
        })
    };
    let closed = |bench: &Bench, id, reason| bench.effects.contains(&Effect::Close(id, reason));
    (1..5).for_each(|id| bench.tell(Event::Opened(id)));
    bench.tell(Event::Said(1, asked(0, "lookup")));
    bench.tell(Event::Said(2, Message::Zone("nowhere".into())));
    bench.tell(Event::Said(3, Message::Spoilt("odd".into())));
    assert!(closed(&bench, 1, Reason::NotJoined) && closed(&bench, 2, Reason::NoSuchZone));
    assert!(closed(&bench, 3, Reason::BadFields));
    assert_eq!(counted(&bench), (json!(0), json!(0)));
    bench.tell(Event::Said(4, Message::Zone("a".into())));
    let good = Met {
        zone: "a".into(),
        server: "s-a".into(),
        tries: 4.0,
        failed: 0.0,
        mean_ms: 40.0,
        span_ms: 500.0,
        load: Vec::new(),
    };
    let stray = Met {
        zone: "nowhere".into(),
        ..good.clone()
    };
    for message in [
        asked(0, "lookup"),
        asked(8, "lookup"),
        asked(0, "dance"),
        Message::Met(stray),
        Message::Spoilt("odd".into()),
        Message::Met(good),
    ] {
        bench.tell(Event::Said(4, message));
    }
    assert_eq!(counted(&bench), (json!(2), json!(4)));
    assert!(
        !bench
            .effects
            .iter()
            .any(|effect| matches!(effect, Effect::Close(4, _)))
    );
}

#[test]
fn an_answer_of_more_orders_than_there_were_leaves_the_call_unknown() {
    let mut bench = Bench::serving(&[0]);
    bench.drains(&["s-a"]);
    let ops = bench.call().expect("a shut");
    bench.tell(Event::Called(Outcome::Taken(ops.len() + 1)));
    bench.pass(0.3);
    assert_eq!(lines(&bench.call().expect("again")), [(0, "s-a", 0.0)]);
}

/// Addresses of a new configuration, told apart by their ports.
fn addresses(relay: u16, discovery: u16) -> Addresses {
    let at = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    Addresses {
        relay: at(relay),
        discovery: at(discovery),
    }
}

fn asked_for(bench: &mut Bench) -> Vec<Effect> {
    let effects = std::mem::take(&mut bench.effects);
    effects
        .into_iter()
        .filter(|effect| !matches!(effect, Effect::WakeAt(_)))
        .collect()
}

#[test]
fn a_new_configuration_moves_the_watch_without_a_gap() {
    let mut bench = Bench::serving(&[0, 1]);
    bench.drains(&["s-a"]);
    let ops = bench.call().expect("a shut");
    let mark = mark_of(&ops);
    bench.effects.clear();
    let to = addresses(33, 32);
    (0..2).for_each(|_| bench.tell(Event::Moved(to)));
    let moves = [
        Effect::MoveRelay(to.relay),
        Effect::NextWatch,
        Effect::MoveDiscovery(to.discovery),
        Effect::Ask(Some(1)),
    ];
    assert_eq!(asked_for(&mut bench), moves, "told twice it moves once");
    bench.tell(Event::Called(Outcome::Taken(ops.len())));
    bench.done(&[0], mark);
    // Slice 1 has gone meanwhile and proxy 1 has answered, which only the new watch tells.
    let stands = [
        News::Attach { proxy: 0 },
        News::Attach { proxy: 1 },
        News::Owner { slice: 0, on: true },
    ];
    let answer = News::Done {
        proxy: 1,
        mark,
        took_ms: 0.0,
    };
    bench.tell(Event::NextNews(
        [stands.as_slice(), &[answer, News::Alive]].concat(),
    ));
    assert_eq!(asked_for(&mut bench), [Effect::Succeed]);
    bench.pass(0.1);
    assert_eq!(
        lines(&bench.call().expect("the new owner"))[0].0,
        0,
        "no answer is asked for anew"
    );
    bench.drain_calls();
    bench.drains(&["s-b"]);
    bench.pass(0.5);
    let shut: Vec<Value> = bench.call().unwrap_or_default();
    assert!(
        lines(&shut).iter().all(|(slice, _, _)| *slice == 0),
        "slice 1 is in other hands: {shut:?}"
    );
}

#[rstest]
#[case::the_new_one(Event::NextEnded, Effect::LeaveWatch)]
#[case::the_old_one(Event::WatchEnded, Effect::LeaveNext)]
fn where_one_of_two_watches_ends_too_soon_it_is_a_gap(#[case] ended: Event, #[case] left: Effect) {
    let mut bench = Bench::serving(&[0]);
    bench.tell(Event::Moved(addresses(33, 2)));
    bench.effects.clear();
    bench.tell(ended);
    assert_eq!(asked_for(&mut bench), [left, Effect::Watch]);
    bench.drains(&["s-a"]);
    assert_eq!(bench.call(), None, "nobody has told what stands");
    bench.watch_again(&[(0, "s-a"), (1, "s-b")]);
    bench.pass(0.1);
    assert_eq!(lines(&bench.call().expect("a shut")), [(0, "s-a", 0.0)]);
}

#[test]
fn servers_replaced_over_and_over_leave_no_trace() {
    let mut bench = Bench::serving(&[0]);
    let mut last = ["s-a", "s-b"].map(str::to_owned).to_vec();
    for turn in 0..200 {
        let next: Vec<String> = (0..2).map(|k| format!("s-{turn}-{k}")).collect();
        let entries = next.iter().map(|name| (name.as_str(), "ready"));
        bench.list(
            &entries
                .chain(last.iter().map(|name| (name.as_str(), "draining")))
                .collect::<Vec<_>>(),
        );
        for _ in 0..40 {
            bench.pass(0.05);
            while let Some(ops) = bench.call() {
                bench.tell(Event::Called(Outcome::Taken(ops.len())));
                bench.done(&[0], mark_of(&ops));
            }
        }
        bench.list(
            &last
                .iter()
                .map(|name| (name.as_str(), "gone"))
                .collect::<Vec<_>>(),
        );
        last = next;
    }
    let status = serde_json::to_value(bench.state.status()).expect("a status");
    assert!(
        status["servers"].as_u64().is_some_and(|kept| kept < 12),
        "{status}"
    );
    assert!((0..2).all(|slice| {
        bench
            .state
            .line(slice)
            .is_some_and(|owner| !owner.is_empty())
    }));
}

#[test]
fn strangers_make_room_for_collectors() {
    let mut bench = Bench::new();
    bench.tell(Event::Opened(1));
    bench.tell(Event::Said(1, Message::Zone("a".into())));
    (2..6).for_each(|id| bench.tell(Event::Opened(id)));
    let closed = |effect: &&Effect| matches!(effect, Effect::Close(..));
    let closed: Vec<&Effect> = bench.effects.iter().filter(closed).collect();
    assert_eq!(closed, [&Effect::Close(2, Reason::Crowded)]);
}

#[test]
fn wall_time_maps_to_the_clock_by_one_offset() {
    let clock = Clock::start().epoch();
    let (early, late) = (
        clock.since(1e12).expect("told"),
        clock.since(1e12 + 1500.0).expect("told"),
    );
    assert_eq!(late - early, TimeDelta::from_secs(1.5));
    assert_eq!(clock.since(0.0), None);
}

#[test]
fn variables_prevail_over_the_file() {
    let start = decode(&told(), |variable| {
        (variable == "PROXY_LISTEN").then(|| "127.0.0.9:7".to_owned())
    });
    let start = start.expect("good settings");
    assert_eq!(
        (start.listen, start.addresses.discovery.port()),
        ("127.0.0.9:7".parse().expect("an address"), 2)
    );
}

#[test]
fn a_file_read_again_moves_the_addresses_it_names_or_nothing() {
    let path = std::env::temp_dir().join(format!("lynxmilld-reread-{}.json", std::process::id()));
    let write = |text: &str| std::fs::write(&path, text).expect("a file");
    write(&told().to_string());
    let mut file = File::open(path.to_string_lossy().into_owned()).expect("a file");
    let mut next = told();
    (next["discovery"], next["registry"]["address"]) =
        (json!("127.0.0.1:32"), json!("127.0.0.1:33"));
    write(&next.to_string());
    assert_eq!(file.reread(), Ok((addresses(33, 32), vec![])));
    next["limits"]["sockets"] = json!(77);
    write(&next.to_string());
    assert_eq!(
        file.reread(),
        Ok((addresses(33, 32), vec!["limits".to_owned()]))
    );
    write(&next.to_string()[..90]);
    assert!(file.reread().is_err(), "half written");
    next["discovery"] = json!("nowhere");
    write(&next.to_string());
    assert!(file.reread().is_err(), "wrong");
    std::fs::remove_file(&path).expect("a file");
    assert!(file.reread().is_err(), "missing");
}

#[rstest]
#[case::seed("seed", json!("no hex"))]
#[case::listen("listen", json!("nowhere"))]
#[case::registry("registry", json!({}))]
#[case::limits("limits", json!({"sockets": 8}))]
#[case::known("known", json!({"index": "x"}))]
#[case::settings("settings", json!({"classes": []}))]
#[case::slices("settings", {
    let mut settings = settings();
    settings["specifics"]["shards"] = json!(1e12);
    settings
})]
fn a_wrong_configuration_is_told_by_its_key(#[case] key: &str, #[case] wrong: Value) {
    let mut told = told();
    assert!(decode(&told, |_| None).is_ok());
    told[key] = wrong;
    assert!(decode(&told, |_| None).is_err());
}
