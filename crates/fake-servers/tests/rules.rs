//! The checkers of the rules: each finds its breach, and leaves alone what comes close to it.

use std::collections::BTreeMap;
use std::time::Duration;

use lynxmill_fake_servers::rules::{Evidence, ReportedState, RuleLimits, check};
use lynxmill_fake_servers::worker::{ExecutedRequest, ExecutionLog, WorkerKind};
use rstest::rstest;

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn terms() -> RuleLimits {
    RuleLimits {
        bare: secs(10.0),
        grace: secs(4.0),
        slack: secs(0.3),
        tip_multiple: 2.5,
        tip_after: secs(2.0),
        messages: 3,
        span: secs(10.0),
    }
}

const NATURE: WorkerKind = WorkerKind {
    cores: 1,
    work: Duration::from_millis(100),
    write_work: Duration::from_millis(100),
    cold_from: 0.2,
    warm_after: Duration::from_secs(10),
    strange: 1.0,
    most: 10,
};

#[derive(Default)]
struct Day {
    ledger: ExecutionLog,
    told: Vec<ReportedState>,
    bare: Vec<(usize, Duration, Duration)>,
    marks: Vec<(String, Duration)>,
}

impl Day {
    /// A server that started then, and is ready.
    fn server(mut self, name: &str, started: f64) -> Self {
        self.ledger.started.insert(name.to_owned(), secs(started));
        self.told(name, started, true)
    }

    fn told(mut self, server: &str, at: f64, ready: bool) -> Self {
        self.told.push(ReportedState {
            at: secs(at),
            server: server.to_owned(),
            ready,
        });
        self
    }

    fn ran(mut self, id: &str, server: &str, generation: u64, began: f64, ended: f64) -> Self {
        self.ledger.ran.push(ExecutedRequest {
            server: server.to_owned(),
            id: id.to_owned(),
            operation: "vote".to_owned(),
            write: true,
            slice: 1,
            generation,
            began: secs(began),
            ended: secs(ended),
            work: ended - began,
        });
        self
    }

    fn bare(mut self, from: f64, to: f64) -> Self {
        self.bare.push((1, secs(from), secs(to)));
        self
    }

    fn marks(mut self, at: &[f64]) -> Self {
        self.marks
            .extend(at.iter().map(|at| ("n0".to_owned(), secs(*at))));
        self
    }
}

fn day() -> Day {
    Day::default()
}

#[rstest]
#[case::bare(day().server("s", 0.0).bare(1.0, 11.5), Some(1))]
#[case::bare_not_so_long(day().server("s", 0.0).bare(1.0, 11.2), None)]
#[case::bare_and_nobody_ready(day().server("s", 0.0).told("s", 0.5, false).bare(1.0, 20.0), None)]
#[case::bare_and_one_drained_meanwhile(day().server("s", 0.0).told("s", 5.0, false).bare(1.0, 20.0), None)]
#[case::bare_and_only_a_cold_one(day().server("s", 0.5).bare(1.0, 20.0), None)]
#[case::again(day().ran("v", "s", 1, 1.0, 1.1).ran("v", "s", 1, 2.0, 2.1), Some(2))]
#[case::both_at_once(day().ran("v", "s", 1, 1.0, 1.5).ran("w", "t", 2, 1.4, 1.6), Some(2))]
#[case::one_after_the_other(day().ran("v", "s", 1, 1.0, 1.4).ran("w", "t", 2, 1.4, 1.6), None)]
#[case::behind_a_shorter_one(
    day().ran("v", "s", 1, 1.0, 3.0).ran("w", "s", 1, 1.1, 1.2).ran("x", "t", 2, 2.0, 2.1), Some(2))]
#[case::former(day().ran("v", "s", 1, 1.0, 1.1).ran("w", "t", 2, 2.0, 2.1).ran("x", "s", 1, 3.0, 3.1), Some(2))]
#[case::back(day().ran("v", "s", 1, 1.0, 1.1).ran("w", "t", 2, 2.0, 2.1).ran("x", "s", 3, 3.0, 3.1), None)]
#[case::drained(day().server("s", 0.0).told("s", 1.0, false).ran("v", "s", 1, 5.4, 5.5), Some(3))]
#[case::within_the_grace(day().server("s", 0.0).told("s", 1.0, false).ran("v", "s", 1, 5.2, 5.3), None)]
#[case::told_twice(
    day().server("s", 0.0).told("s", 1.0, false).told("s", 4.0, false).ran("v", "s", 1, 5.4, 5.5), Some(3))]
#[case::ready_again(
    day().server("s", 0.0).told("s", 1.0, false).told("s", 5.0, true).ran("v", "s", 1, 6.0, 6.1), None)]
#[case::pushed_over(day().server("s", 1.0).ran("v", "s", 1, 1.5, 3.0), Some(4))]
#[case::pushed_by_many(
    day().server("s", 1.0).ran("v", "s", 1, 1.5, 2.0).ran("w", "s", 1, 1.6, 2.1).ran("x", "s", 1, 1.7, 2.2), Some(4))]
#[case::within_its_budget(day().server("s", 1.0).ran("v", "s", 1, 1.5, 2.0).ran("w", "s", 1, 3.6, 4.1), None)]
#[case::warm(day().server("s", 1.0).ran("v", "s", 1, 11.5, 18.0), None)]
#[case::messages(day().marks(&[1.0, 2.0, 3.0, 10.9]), Some(5))]
#[case::spread(day().marks(&[1.0, 2.0, 3.0, 11.0]), None)]
fn a_breach_is_found_and_what_comes_close_is_none(#[case] day: Day, #[case] rule: Option<u8>) {
    let natures = BTreeMap::from([("s".to_owned(), NATURE), ("t".to_owned(), NATURE)]);
    let evidence = Evidence {
        ledger: &day.ledger,
        told: &day.told,
        bare: &day.bare,
        marks: &day.marks,
        natures: &natures,
    };
    let found = check(&evidence, &terms());
    assert_eq!(found.first().map(|broken| broken.rule), rule, "{found:#?}");
    assert!(
        found.iter().all(|broken| Some(broken.rule) == rule),
        "{found:#?}"
    );
}
