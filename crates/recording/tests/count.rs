//! What is counted over the logs of several assigners, worked out by hand.

use lynxmill_assigner::Standing;
use lynxmill_assigner_state::{Asked, Endpoint, Event, Members, Message, News, Outcome};
use lynxmill_recording::{Entry, Life, Log, count};
use rstest::rstest;

#[derive(Default)]
struct Book(Vec<Log>);

impl Book {
    fn entry(&mut self, seconds: f64, assigner: u16, life: u16, entry: Entry) -> &mut Self {
        self.0.push(Log {
            at: (seconds * 1e6) as i64,
            of: Life { assigner, life },
            entry,
        });
        self
    }

    fn heard(&mut self, seconds: f64, assigner: u16, event: Event) -> &mut Self {
        self.entry(seconds, assigner, 1, Entry::Heard(event))
    }

    fn news(&mut self, seconds: f64, news: &[News]) -> &mut Self {
        self.heard(seconds, 0, Event::News(news.to_vec()))
    }

    fn call(&mut self, seconds: f64, ops: &str) -> &mut Self {
        self.entry(
            seconds,
            0,
            1,
            Entry::Ordered(format!("{{\"ops\":[{ops}]}}")),
        )
    }

    fn listed(&mut self, seconds: f64, assigner: u16, name: &str, standing: Standing) -> &mut Self {
        let endpoint = Endpoint {
            name: name.to_owned(),
            standing,
            weight: None,
            since_ms: 0.0,
        };
        let members = Members {
            index: 2,
            snapshot: false,
            endpoints: vec![endpoint],
        };
        self.heard(seconds, assigner, Event::Listed(members))
    }
}

fn shut(slice: usize) -> String {
    format!("{{\"op\":\"share\",\"table\":{slice},\"server\":\"old\",\"weight\":0.0}}")
}

fn owner(slice: usize) -> String {
    format!("{{\"op\":\"share\",\"table\":{slice},\"server\":\"new\",\"weight\":1.0}}")
}

fn mark(number: u16) -> String {
    format!("{{\"op\":\"mark\",\"nonce_out\":{number},\"on\":1}}")
}

fn done(proxy: u16, mark: u16) -> News {
    News::Done {
        proxy,
        mark,
        took_ms: 250.0,
    }
}

fn joined(proxies: u16) -> Vec<News> {
    (0..proxies).map(|proxy| News::Attach { proxy }).collect()
}

#[test]
fn a_slice_on_its_way_tells_who_was_waited_for() {
    let mut book = Book::default();
    book.news(0.0, &joined(3))
        .call(1.0, &format!("{},{},{}", shut(7), shut(8), mark(5)));
    book.heard(1.02, 0, Event::Called(Outcome::Taken(3)));
    // An answer to an earlier mark is none; one to a later mark is.
    book.news(1.5, &[done(0, 4), done(1, 5)])
        .news(2.2, &[News::Detach { proxy: 2 }])
        .news(2.6, &[done(0, 6)]);
    book.call(7.0, &format!("{},{}", owner(7), mark(7)));
    let counted = count(&book.0);
    let [seven, eight] = counted.bare.as_slice() else {
        panic!("{:?}", counted.bare)
    };
    assert_eq!(
        (seven.slice, seven.assigner, seven.from.as_str(), seven.shut),
        (7, 0, "old", 1_000_000)
    );
    assert_eq!(
        (seven.parted, seven.last_parted, seven.answered),
        (1, Some(2_200_000), Some(2_600_000))
    );
    assert_eq!(seven.to, Some(("new".to_owned(), 7_000_000)));
    assert_eq!(
        (eight.to.clone(), eight.left, eight.answered),
        (None, None, Some(2_600_000))
    );
    let bare = |second: i64| counted.seconds.get(&(second, 0)).map_or(0, |row| row.bare);
    assert_eq!(
        [0, 1, 2, 6, 7].map(bare),
        [0, 2, 2, 2, 0],
        "the log ends within second 7"
    );
    let row = counted.seconds[&(1, 0)];
    assert_eq!(
        (
            row.calls,
            row.shuts,
            row.owners,
            row.marks,
            row.answers,
            row.failed
        ),
        (1, 2, 0, 1, 2, 0)
    );
}

#[rstest]
#[case::not_all_taken(Outcome::Taken(1), 1)]
#[case::turned_back(Outcome::Throttled, 1)]
#[case::unknown(Outcome::Unknown, 1)]
#[case::whole(Outcome::Taken(2), 0)]
fn calls_that_failed_are_told_apart(#[case] outcome: Outcome, #[case] failed: u64) {
    let mut book = Book::default();
    book.call(1.0, &format!("{},{}", shut(1), mark(1)))
        .heard(1.1, 0, Event::Called(outcome));
    assert_eq!(count(&book.0).seconds[&(1, 0)].failed, failed);
}

#[test]
fn marks_count_on_past_their_last_number() {
    let mut book = Book::default();
    book.news(0.0, &joined(1))
        .call(1.0, &format!("{},{}", shut(1), mark(65_535)));
    book.news(2.0, &[done(0, 65_534)]).news(3.0, &[done(0, 0)]);
    assert_eq!(count(&book.0).bare[0].answered, Some(3_000_000));
}

#[test]
fn what_an_assigner_held_ends_with_its_life_or_its_charge() {
    let mut book = Book::default();
    book.call(1.0, &format!("{},{},{}", shut(1), shut(2), mark(1)));
    book.news(
        2.5,
        &[News::Owner {
            slice: 1,
            on: false,
        }],
    );
    book.entry(4.0, 0, 2, Entry::Started("{}".to_owned()));
    book.entry(
        9.0,
        0,
        2,
        Entry::Ordered(format!("{{\"ops\":[{}]}}", owner(2))),
    );
    let counted = count(&book.0);
    let left: Vec<_> = counted
        .bare
        .iter()
        .map(|bare| (bare.slice, bare.left, bare.to.clone()))
        .collect();
    assert_eq!(
        left,
        [(1, Some(2_500_000), None), (2, Some(4_000_000), None)]
    );
    let bare = |second: i64| counted.seconds.get(&(second, 0)).map_or(0, |row| row.bare);
    assert_eq!([bare(1), bare(2), bare(3), bare(4)], [2, 1, 1, 0]);
}

#[test]
fn each_assigner_knows_of_a_server_at_its_own_time() {
    let mut book = Book::default();
    book.listed(1.0, 0, "s", Standing::Draining)
        .listed(1.4, 1, "s", Standing::Draining);
    book.listed(3.0, 1, "s", Standing::Gone)
        .listed(5.0, 1, "s", Standing::Ready);
    let counted = count(&book.0);
    let known: Vec<_> = counted
        .known
        .iter()
        .map(|known| (known.what, known.by.clone()))
        .collect();
    assert_eq!(
        known[0],
        ("draining", [(0, 1_000_000), (1, 1_400_000)].into())
    );
    assert_eq!(known[1], ("gone", [(1, 3_000_000)].into()));
    assert_eq!(known.len(), 3);
    assert_eq!(counted.seconds[&(1, 0)].listed, 1);
}

#[test]
fn reports_joins_and_what_can_not_be_read_are_counted() {
    let mut book = Book::default();
    let asked = Asked {
        slice: 1,
        operation: "vote".to_owned(),
        tries: 3.0,
        span_ms: 500.0,
    };
    book.heard(0.1, 1, Event::Said(4, Message::Asked(asked)));
    book.heard(0.2, 1, Event::Said(4, Message::Spoilt("odd".to_owned())));
    book.news(0.3, &joined(2))
        .news(0.4, &joined(2))
        .call(0.5, "{\"op\":\"odd\"},{\"op\":\"admit\",\"table\":1}");
    book.entry(0.6, 0, 1, Entry::Ordered("no orders".to_owned()))
        .entry(0.7, 0, 1, Entry::Missing(9));
    let counted = count(&book.0);
    let (first, second) = (counted.seconds[&(0, 0)], counted.seconds[&(0, 1)]);
    assert_eq!((second.reports, second.spoilt), (1, 1));
    // Told to be joined once more, they have not joined again.
    assert_eq!((first.joined, first.calls, first.levels), (2, 2, 1));
    assert_eq!((counted.unread, counted.missing), (1, 9));
}
