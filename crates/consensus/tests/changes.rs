//! The operator's changes against the register of calls: what is proposed, acknowledged again or refused.

use std::collections::BTreeMap;

use lynxmill_configuration::{
    Configuration, ConfigurationChange, Item, MAX_HISTORY, ValidationError, evacuation,
};
use lynxmill_consensus::{Decision, is_behind, validate};
use lynxmill_protocol::{Change, PendingChanges};
use quickcheck::{Arbitrary, Gen, QuickCheck};

fn route(name: &str, prefix: &str, version: u64) -> Item {
    let body = format!(r#"{{"Name":"{name}","Host":"h","PathPrefix":"{prefix}","Service":"s"}}"#);
    Item {
        key: format!("r/{name}"),
        version,
        body,
        ..Item::default()
    }
}

fn held() -> Configuration {
    let mut all = Configuration::default();
    let (key, body) = ("s/s".to_owned(), r#"{"Name":"s"}"#.to_owned());
    all.merge(&Item {
        key,
        version: 1,
        body,
        ..Item::default()
    });
    all
}

fn calls(last_number: u64, of: &[(u64, Item)]) -> PendingChanges {
    let call = |(number, item): &(u64, Item)| Change {
        number: *number,
        items: vec![item.clone()],
    };
    PendingChanges {
        last_number,
        changes: of.iter().map(call).collect(),
    }
}

fn judged(merged: u64, calls: PendingChanges, safe: u64, item: Item) -> Decision {
    validate(&held(), merged, calls, safe, |_| ConfigurationChange {
        items: vec![item],
    })
}

#[test]
fn of_two_calls_that_do_not_go_together_the_first_stands() {
    let first = calls(4, &[(4, route("a", "/x/", 9))]);
    let same = ValidationError::DuplicateRoute("a".to_owned(), "b".to_owned());
    assert_eq!(
        judged(
            3,
            PendingChanges {
                last_number: 3,
                ..PendingChanges::default()
            },
            3,
            route("b", "/x/", 9)
        ),
        { Decision::Propose(calls(4, &[(4, route("b", "/x/", 9))])) }
    );
    assert_eq!(
        judged(3, first.clone(), 3, route("b", "/x/", 9)),
        Decision::Refuse(same)
    );
    let both = calls(5, &[(4, route("a", "/x/", 9)), (5, route("b", "/y/", 9))]);
    assert_eq!(
        judged(3, first, 3, route("b", "/y/", 9)),
        Decision::Propose(both)
    );
}

#[test]
fn a_call_that_is_sent_again_makes_no_other() {
    let first = calls(4, &[(4, route("a", "/x/", 9))]);
    assert_eq!(
        judged(3, first.clone(), 3, route("a", "/x/", 9)),
        Decision::Unchanged(first.clone())
    );
    // A lower version changes nothing that stands, but its number is taken: once.
    let overtaken = judged(3, first.clone(), 3, route("a", "/y/", 8));
    let Decision::Propose(both) = overtaken else {
        panic!("{overtaken:?}")
    };
    let last = &both.changes[1].items[0];
    assert_eq!(
        (both.last_number, last.version, &last.body),
        (5, 9, &route("a", "/x/", 9).body)
    );
    assert_eq!(
        judged(3, both.clone(), 3, route("a", "/y/", 8)),
        Decision::Unchanged(both.clone())
    );
    assert_eq!(judged(3, both, 3, route("a", "/z/", 8)), taken("a", 8));
    assert_eq!(
        judged(3, first.clone(), 4, route("a", "/x/", 9)),
        Decision::Unchanged(calls(4, &[]))
    );
    // The lowest version there is counts as much as others.
    let lowest = judged(4, calls(4, &[]), 4, route("b", "/z/", 0));
    assert_eq!(
        lowest,
        Decision::Propose(calls(5, &[(5, route("b", "/z/", 0))]))
    );
}

#[test]
fn who_lacks_calls_before_the_register_is_behind() {
    let some = calls(6, &[(5, route("a", "/x/", 9)), (6, route("b", "/y/", 9))]);
    assert_eq!(
        [2, 3, 4, 5, 9].map(|merged| is_behind(merged, &some)),
        [true, true, false, false, false]
    );
    assert!(is_behind(5, &calls(6, &[])) && !is_behind(6, &calls(6, &[])));
    assert_eq!(judged(3, some, 0, route("c", "/z/", 9)), Decision::Behind);
}

#[test]
fn a_change_is_made_from_the_newest_state() {
    let first = calls(4, &[(4, evacuation("hal1", true, 0))]);
    let told = validate(&held(), 3, first, 4, |newest| {
        assert!(newest.evacuated().any(|zone| zone == "hal1"));
        ConfigurationChange {
            items: vec![evacuation("hal1", false, newest.version("e/hal1"))],
        }
    });
    assert_eq!(
        told,
        Decision::Propose(calls(5, &[(5, evacuation("hal1", false, 1))]))
    );
}

fn merged_with(held: Configuration, calls: &PendingChanges) -> Configuration {
    let mut all = held;
    for item in calls.changes.iter().flat_map(|call| &call.items) {
        all.merge(item);
    }
    all
}

fn taken(name: &str, version: u64) -> Decision {
    Decision::Refuse(ValidationError::VersionTaken(format!("r/{name}"), version))
}

fn propose(newest: &Configuration, merged: u64, items: Vec<Item>) -> Decision {
    let calls = PendingChanges {
        last_number: merged,
        ..PendingChanges::default()
    };
    validate(newest, merged, calls, merged, |_| ConfigurationChange {
        items,
    })
}

#[test]
fn of_two_orders_of_one_version_in_flight_the_first_is_confirmed() {
    let empty = PendingChanges {
        last_number: 3,
        ..PendingChanges::default()
    };
    let Decision::Propose(first) = judged(3, empty, 3, route("a", "/x/", 9)) else {
        panic!("refused")
    };
    for safe in [3, 4] {
        assert_eq!(
            judged(3, first.clone(), safe, route("a", "/y/", 9)),
            taken("a", 9)
        );
        let gone = Item {
            dropped: true,
            body: String::new(),
            ..route("a", "/x/", 9)
        };
        assert_eq!(judged(3, first.clone(), safe, gone), taken("a", 9));
    }
    assert_eq!(
        judged(3, first.clone(), 3, route("a", "/x/", 9)),
        Decision::Unchanged(first)
    );
}

#[test]
fn a_refused_call_proposes_no_item_of_it() {
    let newest = merged_with(held(), &calls(1, &[(1, route("a", "/x/", 9))]));
    assert_eq!(
        propose(&newest, 1, vec![route("b", "/y/", 3), route("a", "/z/", 9)]),
        taken("a", 9)
    );
}

#[test]
fn a_call_that_is_overtaken_in_flight_is_known_by_its_content() {
    let first = calls(4, &[(4, route("a", "/x/", 9))]);
    let Decision::Propose(both) = judged(3, first, 3, route("a", "/y/", 12)) else {
        panic!("refused")
    };
    assert_eq!(
        judged(3, both.clone(), 3, route("a", "/x/", 9)),
        Decision::Unchanged(both.clone())
    );
    assert_eq!(
        judged(3, both.clone(), 3, route("a", "/z/", 9)),
        taken("a", 9)
    );
    // Who only gets the last call knows as much.
    let last = PendingChanges {
        last_number: 5,
        changes: both.changes[1..].to_vec(),
    };
    assert_eq!(
        judged(4, last.clone(), 4, route("a", "/x/", 9)),
        Decision::Unchanged(last.clone())
    );
    assert_eq!(judged(4, last, 4, route("a", "/z/", 9)), taken("a", 9));
}

#[test]
fn a_call_is_acknowledged_again_whatever_stands_now() {
    // Its place and its service were taken by later changes.
    let first = route("a", "/x/", 9);
    let mut newest = merged_with(held(), &calls(1, &[(1, first.clone())]));
    for item in [route("a", "/y/", 10), route("b", "/x/", 10)] {
        newest.merge(&item);
    }
    assert_eq!(
        propose(&newest, 1, vec![first.clone()]),
        Decision::Unchanged(calls(1, &[]))
    );
    assert_eq!(
        propose(&newest, 1, vec![first, route("b", "/x/", 10)]),
        Decision::Unchanged(calls(1, &[]))
    );
}

#[test]
fn an_evacuation_that_is_sent_again_after_its_end_is_a_new_order() {
    let order = |newest: &Configuration, on| {
        let item = evacuation("hal1", on, newest.version("e/hal1"));
        propose(newest, 1, vec![item])
    };
    let mut newest = held();
    for (on, version) in [(true, 1), (false, 2), (true, 3)] {
        let Decision::Propose(next) = order(&newest, on) else {
            panic!("refused")
        };
        newest = merged_with(newest, &next);
        assert_eq!(
            (newest.evacuated().count() == 1, newest.version("e/hal1")),
            (on, version)
        );
        assert!(
            newest.items["e/hal1"].history.is_empty(),
            "nobody numbers it but us"
        );
    }
}

/// What happens among three members with one register.
#[derive(Clone, Debug)]
enum Step {
    /// An order reaches a member: a name, how far its version is below the next but one, which of two
    /// contents.
    Order {
        member: usize,
        name: u8,
        below: u64,
        content: bool,
    },
    /// A member merges what the register holds.
    Learn { member: usize },
    /// A member loses its disk and is filled by another.
    Lose { member: usize, from: usize },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (member, from) = (usize::arbitrary(g) % 3, usize::arbitrary(g) % 3);
        match u8::arbitrary(g) % 8 {
            0 | 1 => Step::Learn { member },
            2 => Step::Lose { member, from },
            _ => {
                let (name, below) = (u8::arbitrary(g) % 2, u64::arbitrary(g) % 20);
                Step::Order {
                    member,
                    name,
                    below,
                    content: bool::arbitrary(g),
                }
            }
        }
    }
}

/// Members with what each has merged, the register, and the orders that were confirmed because they were
/// taken.
struct World {
    members: [(Configuration, u64); 3],
    register: PendingChanges,
    taken: BTreeMap<(u8, u64), bool>,
}

impl World {
    fn learn(&mut self, member: usize) {
        let (configuration, merged) = &mut self.members[member];
        if !is_behind(*merged, &self.register) {
            *configuration = merged_with(configuration.clone(), &self.register);
            *merged = self.register.last_number;
        }
    }

    /// Whether the order was judged as it should be.
    fn order(&mut self, member: usize, name: u8, version: u64, content: bool) -> bool {
        let (held, merged) = &self.members[member];
        let mut all: Vec<u64> = self.members.iter().map(|(_, merged)| *merged).collect();
        all.sort_unstable();
        let item = route(&format!("n{name}"), &format!("/{name}/{content}/"), version);
        let change = ConfigurationChange { items: vec![item] };
        let told = validate(held, *merged, self.register.clone(), all[1], |_| change);
        let above = self
            .taken
            .range((name, version + 1)..=(name, u64::MAX))
            .count();
        let remembered = above < MAX_HISTORY;
        let before = self.taken.get(&(name, version)).copied();
        let other = before.is_some_and(|taken| taken != content);
        match told {
            Decision::Behind => true,
            Decision::Refuse(fault) => {
                let key = format!("r/n{name}");
                other && remembered && fault == ValidationError::VersionTaken(key, version)
            }
            Decision::Unchanged(next) => {
                self.register = next;
                !remembered || before == Some(content)
            }
            Decision::Propose(next) => {
                self.register = next;
                self.taken.insert((name, version), content);
                remembered && before.is_none()
            }
        }
    }

    fn step(&mut self, step: &Step) -> bool {
        match *step {
            Step::Order {
                member,
                name,
                below,
                content,
            } => {
                let highest = self.taken.range((name, 0)..=(name, u64::MAX)).next_back();
                let next = highest.map_or(60, |((_, version), _)| version + 2);
                self.order(member, name, next - below, content)
            }
            Step::Learn { member } => {
                self.learn(member);
                true
            }
            Step::Lose { member, from } => {
                // Filled from the member that has merged more, as a majority always has all that left the
                // register.
                if self.members[from].1 >= self.members[member].1 {
                    self.members[member] = self.members[from].clone();
                }
                true
            }
        }
    }
}

#[test]
fn an_order_that_was_taken_is_never_refused_and_its_number_never_confirmed_for_another() {
    fn holds(steps: Vec<Step>) -> bool {
        let members = [(); 3].map(|()| (held(), 0));
        let mut world = World {
            members,
            register: PendingChanges::default(),
            taken: BTreeMap::new(),
        };
        let judged = steps.iter().all(|step| world.step(step));
        (0..3).for_each(|member| world.learn(member));
        let newest: Vec<_> = world
            .members
            .iter()
            .filter(|(_, merged)| *merged == world.register.last_number)
            .collect();
        judged && newest.len() >= 2 && newest.iter().all(|(copy, _)| *copy == newest[0].0)
    }
    QuickCheck::new()
        .tests(3000)
        .rng(Gen::new(200))
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
