//! How commands are spelled, and how much may be asked for.

use lynxmill_assigner_state::hand::{Order, Want};
use lynxmill_runtime_commands::{Command, Level, RateLimited, RateLimiter, Show, parse};
use proptest::prelude::*;
use rstest::rstest;

fn one(line: &str) -> Command {
    let commands = parse(line).expect("a command");
    assert_eq!(commands.len(), 1);
    commands.into_iter().next().expect("one")
}

#[test]
fn orders_are_read_with_their_times_and_ids() {
    let order = Order::Server {
        server: "s-a".into(),
        want: Want::Drain,
    };
    let told = one("set server s-a state drain for 10m id night-7 wait 1500ms");
    let expected = Command::Give {
        order,
        id: Some("night-7".into()),
        lasts: Some(600_000_000),
        wait: Some(1_500_000),
    };
    assert_eq!(told, expected);
    let weight = Order::Weight {
        server: "a b".into(),
        weight: 0.5,
    };
    assert_eq!(
        one("set weight \"a b\" 0.5"),
        Command::Give {
            order: weight,
            id: None,
            lasts: None,
            wait: None
        }
    );
    let owner = Order::Owner {
        slice: 12,
        server: "s-b".into(),
    };
    assert_eq!(
        one("set slice 12 owner s-b wait 1h"),
        Command::Give {
            order: owner,
            id: None,
            lasts: None,
            wait: Some(3_600_000_000)
        }
    );
    let health = Order::Health {
        server: "s-c".into(),
        watched: false,
    };
    let given = Command::Give {
        order: health,
        id: None,
        lasts: Some(60_000_000),
        wait: None,
    };
    assert_eq!(one("disable health s-c for 1m"), given);
    assert_eq!(
        one("wait #3 5s"),
        Command::Wait {
            id: "#3".into(),
            most: 5_000_000
        }
    );
    assert_eq!(
        one("show servers json"),
        Command::Show {
            what: Show::Servers,
            json: true
        }
    );
}

#[test]
fn several_stand_on_a_line_and_a_fault_in_one_is_a_fault_of_all() {
    let commands = parse("  show info ; prompt;;help ").expect("commands");
    assert_eq!(
        commands,
        [
            Command::Show {
                what: Show::Info,
                json: false
            },
            Command::Prompt,
            Command::Help
        ]
    );
    assert_eq!(parse("").expect("nothing"), []);
    assert!(parse("show info; set server s-a state of").is_err());
}

#[rstest]
#[case::verb(
    "drop server x",
    1,
    "help, prompt, quit, reload, check, clear, shutdown, leave, enable, disable, show, set, wait"
)]
#[case::what("show all", 6, "info, servers")]
#[case::no_json("show info xml", 11, "json")]
#[case::state("set server s-a state up", 22, "ready, drain, maint")]
#[case::no_state("set server s-a", 15, "state")]
#[case::weight("set weight s-a 0", 16, "0.01 to 100")]
#[case::nan("set weight s-a NaN", 16, "0.01 to 100")]
#[case::slice("set slice x owner s-a", 11, "a slice's number")]
#[case::time("wait a 5", 8, "a time")]
#[case::long("wait a 31m40x", 8, "a time")]
#[case::months("wait a 9000h", 8, "a time")]
#[case::id("set server s-a state drain id a/b", 31, "an id")]
#[case::more("quit now", 6, "the end")]
#[case::level("set log-level loud", 15, "debug")]
#[case::bound("set limit connections 1001", 23, "1 to 1000")]
#[case::stream("shutdown stream x", 17, "a stream's number")]
#[case::payload("check settings", 15, "<<")]
#[case::quote("set server \"s-a state drain", 12, "a word")]
#[case::behind_blanks("  show   foo", 10, "info")]
fn a_fault_is_told_by_its_column(
    #[case] line: &str,
    #[case] column: usize,
    #[case] expected: &str,
) {
    let fault = parse(line).expect_err("wrong");
    assert_eq!(fault.column, column, "{fault}");
    assert!(fault.expected.contains(expected), "{fault}");
}

#[test]
fn orders_are_for_operators_and_looks_for_all() {
    assert_eq!(one("show info").level(), Level::User);
    assert_eq!(one("set slice 1 owner s").level(), Level::Operator);
    assert!(Level::User < Level::Operator && Level::Operator < Level::Admin);
}

#[test]
fn who_asks_too_much_is_told_when_to_return() {
    let mut pace = RateLimiter::new(10, 0);
    assert!((0..10).all(|_| pace.take(0).is_ok()));
    assert_eq!(pace.take(0), Err(RateLimited { return_ms: 100 }));
    assert!(pace.take(100_000).is_ok());
    assert!(pace.take(100_000).is_err());
    assert!((0..10).all(|_| pace.take(60_000_000).is_ok()));
    assert!(
        pace.take(60_000_000).is_err(),
        "no more than a second's worth is spared"
    );
    assert!(
        pace.take(1).is_err(),
        "a clock that goes back gives nothing"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_is_typed_nothing_panics(line in ".{0,80}", words in "((set|show|server|slice|state|wait|id|for|;|\"|[0-9.]{1,3}[smh]|x) ?){0,12}") {
        for line in [line, words] {
            if let Err(fault) = parse(&line) {
                prop_assert!(fault.column <= line.chars().count() + 1 && !fault.expected.is_empty());
            }
        }
    }
}
