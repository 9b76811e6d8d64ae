//! Digests tell copies apart, and what differs mends them.

use lynxmill_configuration::{Configuration, Item};
use lynxmill_storage::{RANGE_COUNT, differing_items, digests, range_of};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// What an item says follows from its name and version, as the operator's versions promise.
fn item(name: u16, version: u64) -> Item {
    let dropped = (u64::from(name) ^ version).is_multiple_of(5);
    Item {
        key: format!("r/r-{name}"),
        version,
        dropped,
        body: format!("{name}@{version}"),
        ..Item::default()
    }
}

fn copy(of: impl IntoIterator<Item = Item>) -> Configuration {
    Configuration {
        items: of
            .into_iter()
            .map(|item| (item.key.clone(), item))
            .collect(),
    }
}

/// Two copies that share most: items of one call after another, some of which either has missed.
#[derive(Clone, Debug)]
struct Pair(Configuration, Configuration);

impl Arbitrary for Pair {
    fn arbitrary(g: &mut Gen) -> Self {
        let (names, base) = (u16::arbitrary(g) % 300 + 1, u64::arbitrary(g) % 100);
        let whole = copy((0..names).map(|name| item(name, base)));
        let mut pair = [whole.clone(), whole];
        for _ in 0..u8::arbitrary(g) % 6 {
            let news = item(u16::arbitrary(g) % names, base + u64::arbitrary(g) % 4);
            pair[usize::from(bool::arbitrary(g))].merge(&news);
        }
        let [a, b] = pair;
        Pair(a, b)
    }
}

fn mend(to: &mut Configuration, from: &Configuration) -> usize {
    let items = differing_items(from, &digests(to));
    items.iter().filter(|item| to.merge(item)).count()
}

#[test]
fn digests_differ_only_where_copies_do() {
    fn holds(Pair(a, b): Pair) -> bool {
        let (one, two) = (digests(&a), digests(&b));
        let same = |r: usize| {
            let of = |m: &Configuration| {
                m.items
                    .values()
                    .filter(|i| range_of(&i.key) == r)
                    .cloned()
                    .collect::<Vec<_>>()
            };
            of(&a) == of(&b)
        };
        one.len() == RANGE_COUNT && (0..RANGE_COUNT).all(|r| (one[r] == two[r]) == same(r))
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Pair) -> bool);
}

#[test]
fn what_differs_mends_both() {
    fn holds(Pair(mut a, mut b): Pair) -> bool {
        mend(&mut a, &b);
        mend(&mut b, &a);
        a == b && differing_items(&a, &digests(&b)).is_empty()
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Pair) -> bool);
}

#[test]
fn a_call_that_was_missed_shows_for_any_two_of_its_items() {
    // Both go on by the same step, and often share a range.
    let whole = copy((0..400).map(|name| item(name, 7)));
    let told = digests(&whole);
    for (one, two) in (0..60).flat_map(|a| (a + 1..400).map(move |b| (a, b))) {
        let (a, b) = (item(one, 12), item(two, 12));
        if range_of(&a.key) != range_of(&b.key) {
            continue;
        }
        let mut next = whole.clone();
        next.merge(&a);
        next.merge(&b);
        assert!(
            !differing_items(&next, &told).is_empty(),
            "items {one} and {two}"
        );
    }
}

#[test]
fn a_drop_and_the_highest_version_have_digests_of_their_own() {
    let of = |version, dropped| {
        digests(&copy([Item {
            version,
            dropped,
            ..item(1, 0)
        }]))
    };
    let all = [
        of(0, false),
        of(0, true),
        of(1, false),
        of(u64::MAX, false),
        of(u64::MAX, true),
    ];
    for (n, one) in all.iter().enumerate() {
        assert!(all[n + 1..].iter().all(|other| other != one), "{n}");
    }
    assert_eq!(digests(&Configuration::default()), [0; RANGE_COUNT]);
    assert_eq!(
        differing_items(&copy((0..90).map(|name| item(name, 7))), &[]).len(),
        90,
        "who tells nothing gets all"
    );
}

#[test]
fn copies_that_differ_in_content_or_history_under_one_version_are_found_and_mended() {
    let of = |body: &str| Item {
        key: "r/a".to_owned(),
        version: 9,
        body: body.to_owned(),
        ..Item::default()
    };
    let gone = Item {
        dropped: true,
        ..of("")
    };
    let later = |version: u64| {
        let mut all = copy([Item {
            version,
            ..of("old")
        }]);
        all.merge(&of("one"));
        all.items.into_values().next().unwrap()
    };
    let copies = [of("one"), of("two"), gone, later(7), later(8)].map(|item| copy([item]));
    for (a, b) in copies
        .iter()
        .flat_map(|a| copies.iter().map(move |b| (a, b)))
    {
        let (mut one, mut two) = (a.clone(), b.clone());
        assert_eq!(digests(&one) == digests(&two), a == b, "{a:?} {b:?}");
        mend(&mut one, b);
        mend(&mut two, a);
        assert_eq!(one, two);
        assert_eq!(digests(&one), digests(&two));
    }
}
