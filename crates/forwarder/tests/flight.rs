//! One invocation: where it goes, when it is tried again, what its client is told.

use lynxmill_forwarder::{
    AttemptFate, AttemptProgress, Effect, ForwarderConfig, Operation, RequestFlight, RetainedBody,
    RetryPolicy, Step,
};
use lynxmill_registry::SliceView;
use lynxmill_time::{TimeDelta, Timestamp};
use proptest::prelude::*;
use rstest::rstest;

const KEPT: RetainedBody = RetainedBody {
    kept: true,
    gone: false,
};

fn secs(seconds: f64) -> TimeDelta {
    TimeDelta::from_secs(seconds)
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_secs(seconds)
}

/// A read that may run often, one that servers know again for a second, and a vote.
fn terms(again: RetryPolicy) -> ForwarderConfig {
    let operation = |name: &str, effect, writes| Operation {
        name: name.to_owned(),
        effect,
        writes,
        aim: secs(0.4),
        deadline: secs(2.0),
    };
    ForwarderConfig {
        operations: vec![
            operation("lookup", Effect::Safe, false),
            operation("rename", Effect::Keyed { window: secs(1.0) }, true),
            operation("vote", Effect::Unsafe, true),
        ],
        slices: 4,
        lease: secs(4.0),
        settle: secs(1.5),
        hold: secs(0.5),
        first_wait: 1.5,
        again,
        interval: secs(0.5),
        zones: vec!["a".to_owned()],
    }
}

fn sight(server: Option<&str>) -> SliceView<'_> {
    SliceView {
        server,
        generation: 3,
        level: 1.0,
        writes: true,
    }
}

fn end(step: Step) -> (u16, &'static str, bool, bool) {
    match step {
        Step::End(end) => (
            end.status,
            end.code,
            end.may_have_run,
            end.return_after.is_some(),
        ),
        other => panic!("{other:?}"),
    }
}

fn to(step: &Step) -> &str {
    match step {
        Step::Try { server, .. } => server,
        other => panic!("{other:?}"),
    }
}

#[test]
fn it_goes_to_the_owner_and_waits_for_one_as_long_as_the_settings_say() {
    let terms = terms(RetryPolicy::Never);
    let mut flight = RequestFlight::new(&terms, 0, 1, at(1.0), 0.2);
    assert_eq!(
        flight.look(&terms, at(1.0), &sight(None)),
        Step::Wait { until: at(1.5) }
    );
    assert_eq!(to(&flight.look(&terms, at(1.2), &sight(Some("s")))), "s");
    let mut late = RequestFlight::new(&terms, 0, 1, at(1.0), 0.2);
    assert_eq!(
        end(late.look(&terms, at(1.5), &sight(None))),
        (503, "no-server", false, true)
    );
}

#[test]
fn writes_wait_for_the_lease_and_reads_do_not() {
    let terms = terms(RetryPolicy::Never);
    let lapsed = SliceView {
        writes: false,
        ..sight(Some("s"))
    };
    assert_eq!(
        to(&RequestFlight::new(&terms, 0, 1, at(1.0), 0.2).look(&terms, at(1.0), &lapsed)),
        "s"
    );
    let mut vote = RequestFlight::new(&terms, 2, 1, at(1.0), 0.2);
    assert_eq!(
        vote.look(&terms, at(1.0), &lapsed),
        Step::Wait { until: at(1.5) }
    );
    assert_eq!(
        end(vote.look(&terms, at(1.6), &lapsed)),
        (503, "no-writes", false, true)
    );
}

#[test]
fn a_level_refuses_by_the_clients_own_draw_also_while_it_waits() {
    let terms = terms(RetryPolicy::Never);
    let level = |level| SliceView {
        level,
        ..sight(None)
    };
    let mut flight = RequestFlight::new(&terms, 0, 1, at(1.0), 0.6);
    assert!(matches!(
        flight.look(&terms, at(1.0), &level(0.7)),
        Step::Wait { .. }
    ));
    assert_eq!(
        end(flight.look(&terms, at(1.1), &level(0.5))),
        (429, "level", false, true)
    );
    let Step::End(told) = flight.look(&terms, at(1.1), &level(0.0)) else {
        panic!("let in")
    };
    assert_eq!(
        told.return_after,
        Some(secs(0.8)),
        "spread over an interval by the draw"
    );
}

/// What is ordered, what happened, whether a read, a repeat that servers know and a vote are tried again.
#[rstest]
#[case::never(RetryPolicy::Never, AttemptFate::TurnedBack, [false; 3])]
#[case::unconnected(RetryPolicy::Unrun, AttemptFate::Broke(AttemptProgress::Unconnected), [true; 3])]
#[case::head_part(RetryPolicy::Unrun, AttemptFate::Broke(AttemptProgress::HeadPart), [true; 3])]
#[case::turned_back(RetryPolicy::Unrun, AttemptFate::TurnedBack, [true; 3])]
#[case::head_whole(RetryPolicy::Unrun, AttemptFate::Broke(AttemptProgress::HeadWhole), [false; 3])]
#[case::answered(RetryPolicy::Unrun, AttemptFate::Broke(AttemptProgress::Answered), [false; 3])]
#[case::late_unsent(RetryPolicy::Unrun, AttemptFate::Late(AttemptProgress::HeadPart), [true; 3])]
#[case::once_may(RetryPolicy::Once, AttemptFate::Broke(AttemptProgress::HeadWhole), [true, true, false])]
#[case::once_late(RetryPolicy::Once, AttemptFate::Late(AttemptProgress::HeadWhole), [true, true, false])]
#[case::once_unrun(RetryPolicy::Once, AttemptFate::Broke(AttemptProgress::Unconnected), [true; 3])]
fn another_try_is_made_only_on_order_and_where_it_can_do_no_harm(
    #[case] again: RetryPolicy,
    #[case] fate: AttemptFate,
    #[case] expected: [bool; 3],
) {
    let terms = terms(again);
    for (operation, expected) in expected.into_iter().enumerate() {
        let mut flight = RequestFlight::new(&terms, operation, 1, at(1.0), 0.2);
        flight.look(&terms, at(1.0), &sight(Some("s")));
        let mut same = flight.clone();
        let step = flight.failed(&terms, at(1.1), fate, KEPT, &sight(Some("t")));
        assert_eq!(
            matches!(step, Step::Try { .. }),
            expected,
            "{operation}: {step:?}"
        );
        let (_, _, ran, again) = end(same.failed(&terms, at(1.1), fate, KEPT, &sight(Some("s"))));
        assert_eq!(
            (ran, again),
            (!fate.never_ran(), fate.never_ran()),
            "never at the same server"
        );
    }
}

#[rstest]
#[case::no_time(1.0 + 1.95, KEPT, sight(Some("t")))]
#[case::body_gone(1.1, RetainedBody { kept: false, gone: false }, sight(Some("t")))]
#[case::client_gone(1.1, RetainedBody { kept: true, gone: true }, sight(Some("t")))]
#[case::no_other(1.1, KEPT, sight(None))]
#[case::not_let_in(1.1, KEPT, SliceView { level: 0.1, ..sight(Some("t")) })]
#[case::no_writes(1.1, KEPT, SliceView { writes: false, ..sight(Some("t")) })]
fn no_other_try_is_made_without(
    #[case] now: f64,
    #[case] seen: RetainedBody,
    #[case] sight: SliceView<'_>,
) {
    let terms = terms(RetryPolicy::Once);
    let mut flight = RequestFlight::new(&terms, 2, 1, at(1.0), 0.2);
    flight.look(&terms, at(1.0), &self::sight(Some("s")));
    end(flight.failed(&terms, at(now), AttemptFate::TurnedBack, seen, &sight));
}

#[test]
fn tries_end_with_their_number_and_with_the_window() {
    let terms = terms(RetryPolicy::Twice);
    let mut flight = RequestFlight::new(&terms, 0, 1, at(1.0), 0.2);
    assert_eq!(to(&flight.look(&terms, at(1.0), &sight(Some("s")))), "s");
    let broke = AttemptFate::Broke(AttemptProgress::HeadWhole);
    assert_eq!(
        to(&flight.failed(&terms, at(1.1), broke, KEPT, &sight(Some("t")))),
        "t"
    );
    assert_eq!(
        to(&flight.failed(&terms, at(1.2), broke, KEPT, &sight(Some("s")))),
        "s"
    );
    assert_eq!(
        end(flight.failed(&terms, at(1.3), broke, KEPT, &sight(Some("t")))),
        (502, "fate-unknown", true, false)
    );
    let mut keyed = RequestFlight::new(&terms, 1, 1, at(1.0), 0.2);
    keyed.look(&terms, at(1.0), &sight(Some("s")));
    assert_eq!(
        to(&keyed.failed(&terms, at(1.9), broke, KEPT, &sight(Some("t")))),
        "t"
    );
    end(keyed.failed(&terms, at(2.05), broke, KEPT, &sight(Some("s"))));
}

/// A try that another may follow is cut short, one that none may follow lasts as long as its client waits, and a write
/// no longer than the fence counts on.
#[rstest]
#[case::read(RetryPolicy::Once, 0, 0.6)]
#[case::alone(RetryPolicy::Unrun, 0, 2.0)]
#[case::write(RetryPolicy::Once, 2, 1.5)]
fn a_try_is_given_its_time(
    #[case] again: RetryPolicy,
    #[case] operation: usize,
    #[case] seconds: f64,
) {
    let terms = terms(again);
    let mut flight = RequestFlight::new(&terms, operation, 1, at(1.0), 0.2);
    let step = flight.look(&terms, at(1.0), &sight(Some("s")));
    assert!(
        matches!(step, Step::Try { patience, generation: 3, .. } if patience == secs(seconds)),
        "{step:?}"
    );
}

#[test]
fn what_the_tables_overtook_before_it_was_sent_was_no_try() {
    let terms = terms(RetryPolicy::Unrun);
    let mut flight = RequestFlight::new(&terms, 2, 1, at(1.0), 0.2);
    flight.look(&terms, at(1.0), &sight(Some("s")));
    let moved = SliceView {
        generation: 4,
        ..sight(Some("s"))
    };
    assert!(flight.stands(&terms, at(1.1), "s", 3, &sight(Some("s"))));
    for no in [
        moved,
        sight(Some("t")),
        sight(None),
        SliceView {
            writes: false,
            ..sight(Some("s"))
        },
    ] {
        assert!(!flight.stands(&terms, at(1.1), "s", 3, &no), "{no:?}");
    }
    assert!(matches!(
        flight.overtaken(&terms, at(1.1), KEPT, &sight(None)),
        Step::Wait { .. }
    ));
    assert_eq!(to(&flight.look(&terms, at(1.2), &sight(Some("t")))), "t");
    assert_eq!(flight.tries(), 1);
    // Overtaken at its second try, what may follow the first is asked anew.
    assert_eq!(
        to(&flight.failed(
            &terms,
            at(1.3),
            AttemptFate::TurnedBack,
            KEPT,
            &sight(Some("u"))
        )),
        "u"
    );
    let back = flight.overtaken(&terms, at(1.3), KEPT, &sight(Some("t")));
    assert_eq!(
        end(back),
        (503, "turned-back", false, true),
        "not at the one that turned it back"
    );
}

fn fates() -> impl Strategy<Value = AttemptFate> {
    let reach = prop::sample::select(vec![
        AttemptProgress::Unconnected,
        AttemptProgress::HeadPart,
        AttemptProgress::HeadWhole,
        AttemptProgress::Answered,
    ]);
    prop_oneof![
        Just(AttemptFate::TurnedBack),
        Just(AttemptFate::NoRoom),
        reach.clone().prop_map(AttemptFate::Broke),
        reach.prop_map(AttemptFate::Late)
    ]
}

proptest! {
    /// Whatever is ordered, happens and stands in the tables: a vote that may have run is never sent again, no more is
    /// tried than is ordered, and never twice in a row at one server.
    #[test]
    fn a_vote_that_may_have_run_is_never_sent_again(
        again in 0..4_u64, operation in 0..3_usize,
        happened in prop::collection::vec((fates(), 0..4_usize, 0.0..0.6_f64, any::<bool>()), 1..8),
    ) {
        let again = RetryPolicy::numbered(again).expect("a number of an order");
        let terms = terms(again);
        let names = [None, Some("s"), Some("t"), Some("u")];
        let mut now = at(1.0);
        let mut flight = RequestFlight::new(&terms, operation, 0, now, 0.0);
        let mut step = flight.look(&terms, now, &sight(Some("s")));
        let (mut sent, mut last, mut ran) = (0, None, false);
        for (fate, server, after, overtaken) in happened {
            let Step::Try { server: to, .. } = &step else { break };
            if !overtaken {
                prop_assert!(last.as_ref() != Some(to), "twice in a row at {to}");
                prop_assert!(operation != 2 || !ran);
                sent += 1;
                last = Some(to.clone());
                ran |= !fate.never_ran();
            }
            now = now + secs(after);
            let sight = sight(names[server]);
            step = if overtaken {
                flight.overtaken(&terms, now, KEPT, &sight)
            } else {
                flight.failed(&terms, now, fate, KEPT, &sight)
            };
        }
        prop_assert!(sent <= again.most() + 1);
        if let Step::End(told) = step {
            prop_assert_eq!(told.may_have_run, ran);
            prop_assert!(!(ran && told.return_after.is_some()));
        }
    }
}
