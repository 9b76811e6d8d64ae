//! The users' worst days, each brought about on a scripted clock over the node that ships.

#[allow(dead_code)]
mod harness;

use harness::{Cluster, change, heartbeat, route};
use lynxmill_control_node::{Answer, ControlRequest, Input, Unavailable};
use lynxmill_protocol::TaskState;
use lynxmill_storage::DiskContents;

fn acknowledged(answer: Option<Answer>) -> bool {
    matches!(
        answer,
        Some(Answer::Done | Answer::Heartbeat(_) | Answer::Configuration(_))
    )
}

// --- 1. cut off ---

/// In whichever direction it is cut, a node opens no edge and confirms nothing from a second and a half on.
#[test]
fn a_node_that_is_cut_off_serves_no_join_and_confirms_nothing() {
    for (says, hears) in [(true, false), (false, true), (true, true)] {
        let mut cluster = Cluster::founded(3);
        assert_eq!(
            cluster.call(1, change(&[route("a", 2, 2.0)])),
            Some(Answer::Done)
        );
        cluster.run(0.5);
        cluster.cut(3, says, hears);
        cluster.run(1.5);
        let stream = cluster.join(3, "edge");
        assert_eq!(
            cluster.call(1, change(&[route("a", 3, 3.0)])),
            Some(Answer::Done)
        );
        assert!(!acknowledged(
            cluster.call(3, change(&[route("b", 2, 2.0)]))
        ));
        assert!(!acknowledged(
            cluster.call(3, lynxmill_control_node::ControlRequest::ReadBack)
        ));
        let beat = cluster.call(3, heartbeat("i-1", 1, TaskState::Ready));
        assert_eq!(beat, Some(Answer::Unavailable(Unavailable::NoContact)));
        cluster.run(10.0);
        assert_eq!(
            cluster.whole_configuration(3, stream),
            None,
            "says {says}, hears {hears}"
        );
        // Healed, it compares itself first; the edge that waited gets the newest.
        cluster.cuts.clear();
        cluster.run(2.0);
        let items = cluster
            .whole_configuration(3, stream)
            .expect("the whole configuration");
        assert!(
            items
                .iter()
                .any(|item| item.key == "r/a" && item.version == 3),
            "{items:?}"
        );
    }
}

/// An evacuation that is not agreed is told to edges all the same, also to those that come later: its tasks may
/// turn cold. It is in force nowhere.
#[test]
fn an_evacuation_that_is_only_asked_for_is_noticed_and_not_in_force() {
    let mut cluster = Cluster::founded(3);
    let before = cluster.join(1, "edge-0");
    cluster.run(1.0);
    cluster.kill(2);
    cluster.kill(3);
    cluster.run(2.0);
    let asked = ControlRequest::Evacuate {
        zone: "z".to_owned(),
        on: true,
    };
    let answer = cluster.call(1, asked);
    assert!(matches!(answer, Some(Answer::Unavailable(_))), "{answer:?}");
    let later = cluster.join(1, "edge-1");
    for stream in [before, later] {
        let notices = cluster.evacuation_notices(1, stream);
        assert!(notices.contains(&"z".to_owned()), "{notices:?}");
    }
    cluster.run(6.0);
    let after = cluster.join(1, "edge-2");
    assert!(cluster.evacuation_notices(1, after).is_empty());
    let evacuated = cluster.machines[&1]
        .node
        .configuration()
        .evacuated()
        .count();
    assert_eq!(evacuated, 0);
}

#[test]
fn a_cut_off_node_sends_callers_elsewhere_at_once() {
    let mut cluster = Cluster::founded(3);
    cluster.cut(3, true, true);
    cluster.run(1.5);
    let call = cluster.send_call(3, change(&[route("a", 2, 2.0)]));
    cluster.run(0.4);
    assert_eq!(
        cluster.answer(3, call),
        Some(Answer::Unavailable(Unavailable::NoContact))
    );
}

// --- 3. the second loss ---

/// A machine is lost, an empty one takes its place, then another disk is lost: writes go on, and all recover.
#[test]
fn a_second_loss_right_after_a_replacement_leaves_a_majority() {
    let mut cluster = Cluster::founded(3);
    assert_eq!(
        cluster.call(1, change(&[route("a", 2, 2.0)])),
        Some(Answer::Done)
    );
    cluster.kill(3);
    cluster.run(1.0);
    cluster.start(4, DiskContents::default(), false);
    cluster.run(4.0);
    assert_eq!(cluster.members(1), [1, 2, 4]);
    assert!(cluster.is_voter(4), "within four seconds of its start");
    cluster.kill(2);
    cluster.start(2, DiskContents::default(), false);
    cluster.run(0.5);
    let answer = cluster.call(1, change(&[route("b", 2, 2.0)]));
    assert_eq!(
        answer,
        Some(Answer::Done),
        "the newcomer holds what the lost disk held"
    );
    cluster.run(4.0);
    assert!(cluster.is_voter(2), "the wiped member has recovered");
    cluster.kill(1);
    cluster.run(2.0);
    assert_eq!(
        cluster.call(4, change(&[route("c", 2, 2.0)])),
        Some(Answer::Done)
    );
    let Some(Answer::Configuration(newest)) =
        cluster.call(2, lynxmill_control_node::ControlRequest::ReadBack)
    else {
        panic!("no read-back")
    };
    assert!(
        ["r/a", "r/b", "r/c"]
            .iter()
            .all(|key| newest.items.contains_key(*key))
    );
}

/// A planned replacement: the new one first; the old one ends only once it is out.
#[test]
fn a_member_that_leaves_ends_once_those_that_stay_hold_what_it_held() {
    let mut cluster = Cluster::founded(3);
    cluster.start(4, DiskContents::default(), false);
    cluster.run(2.0);
    assert_eq!(
        cluster.members(1),
        [1, 2, 3],
        "a newcomer waits for a place"
    );
    assert!(!cluster.is_voter(4));
    assert!(acknowledged(
        cluster.call(3, heartbeat("i-1", 1, TaskState::Draining))
    ));
    assert_eq!(
        cluster.call(3, change(&[route("a", 2, 2.0)])),
        Some(Answer::Done)
    );
    cluster.step(3, Input::Leave);
    cluster.run(1.5);
    assert!(cluster.machines[&3].left, "within its grace");
    assert_eq!(cluster.members(1), [1, 2, 4]);
    assert!(
        cluster.is_voter(4),
        "it votes by the time that the other is gone"
    );
    cluster.kill(3);
    for left in [1, 2, 4] {
        let registry = &cluster.machines[&left].disk.tasks;
        assert!(
            registry
                .iter()
                .any(|t| t.id == "i-1" && t.state == TaskState::Draining as i32),
            "node {left}"
        );
    }
}

/// Seed 7005272: a member leaves, a second one's disk is full, a third one's disk is lost. The third one votes
/// again by what the other two remember, and the newcomer takes the leaver's seat.
#[test]
fn a_lost_disk_beside_a_full_one_and_a_leaver_stops_nothing() {
    let mut cluster = Cluster::founded(3);
    cluster.start(4, DiskContents::default(), false);
    cluster.run(2.0);
    cluster.full_disks.insert(2);
    assert!(cluster.call(1, change(&[route("a", 2, 2.0)])).is_some());
    cluster.run(0.5);
    cluster.step(1, Input::Leave);
    cluster.run(0.2);
    cluster.start(3, DiskContents::default(), false);
    cluster.run(4.5);
    assert!(cluster.is_voter(3), "the lost disk has been recovered");
    assert_eq!(cluster.members(3), [2, 3, 4]);
    cluster.kill(1);
    assert_eq!(
        cluster.call(3, change(&[route("b", 2, 2.0)])),
        Some(Answer::Done)
    );
}

/// Seed 7006457: the newcomer is down, so that a leaver does not wait for it; a member that had acknowledged all
/// it held loses its disk before the leaver ends.
#[test]
fn a_leaver_stays_while_a_member_that_acknowledged_is_gone() {
    let mut cluster = Cluster::founded(3);
    cluster.start(4, DiskContents::default(), false);
    cluster.run(2.0);
    cluster.kill(4);
    cluster.run(0.5);
    cluster.step(1, Input::Leave);
    cluster.run(0.3);
    assert!(
        !cluster.machines[&1].left,
        "the newcomer was heard of lately"
    );
    cluster.kill(2);
    cluster.run(2.0);
    assert!(!cluster.machines[&1].left, "one other member is no quorum");
    cluster.start(2, DiskContents::default(), false);
    cluster.run(2.4);
    assert!(
        cluster.is_voter(2),
        "recovered from the leaver, among others"
    );
    assert!(cluster.machines[&1].left, "within its grace");
}

/// A newcomer whose seat has just been accepted, and which hears nothing, so that it never answers.
fn with_a_deaf_newcomer() -> Cluster {
    let mut cluster = Cluster::founded(3);
    cluster.start(4, DiskContents::default(), false);
    cluster.run(2.0);
    cluster.cut(4, false, true);
    cluster.step(3, Input::Leave);
    cluster.run(0.1);
    let order = cluster.call(1, change(&[route("a", 2, 2.0)]));
    assert_ne!(order, Some(Answer::Done), "the members are being changed");
    cluster
}

fn takes_orders_without_the_newcomers_answer(cluster: &mut Cluster) {
    assert_eq!(cluster.members(1), [1, 2, 4]);
    assert_eq!(
        cluster.call(1, change(&[route("a", 2, 2.0)])),
        Some(Answer::Done)
    );
}

/// Seed 5005455: a newcomer is lost once its seat has been accepted. Nothing is agreed until it is given up, so
/// that has to come when it is due, not after further rounds that compete with each other.
#[test]
fn a_newcomer_that_is_gone_holds_orders_up_for_four_seconds() {
    let mut cluster = with_a_deaf_newcomer();
    cluster.kill(4);
    cluster.run(4.3 - 1.0);
    takes_orders_without_the_newcomers_answer(&mut cluster);
}

/// One that is heard of and never answers is waited for a little longer.
#[test]
fn a_newcomer_that_is_deaf_holds_orders_up_for_six_seconds() {
    let mut cluster = with_a_deaf_newcomer();
    cluster.run(6.3 - 1.0);
    takes_orders_without_the_newcomers_answer(&mut cluster);
}

/// Seed 8027503: a newcomer was down while its seat was accepted and is back just before it is given up. It takes
/// the seat with all that a voter holds, not blank.
#[test]
fn a_newcomer_that_is_back_takes_its_seat_as_a_voter() {
    let mut cluster = Cluster::founded(3);
    cluster.start(4, DiskContents::default(), false);
    cluster.run(2.0);
    cluster.kill(4);
    cluster.step(3, Input::Leave);
    cluster.run(3.7);
    cluster.restart(4);
    cluster.run(0.6);
    assert_eq!(cluster.members(1), [1, 2, 4]);
    assert!(cluster.is_voter(4));
}

/// Seed 8027503, too: a member was cut off and lost its seat to a newcomer that went down, while another member
/// leaves. The leaver counts for nothing, so the newcomer is not added blank; back, it reads what it needs of the
/// member that was cut off.
#[test]
fn a_blank_newcomer_is_not_left_alone_by_a_leaver() {
    let mut cluster = Cluster::founded(3);
    cluster.start(4, DiskContents::default(), false);
    cluster.run(2.0);
    cluster.cut(1, true, true);
    cluster.run(2.4);
    cluster.cut(4, false, true);
    cluster.run(0.8);
    cluster.kill(4);
    cluster.step(2, Input::Leave);
    cluster.cuts.clear();
    cluster.run(4.9);
    assert_eq!(
        cluster.members(3),
        [1, 2, 3],
        "the newcomer was added blank"
    );
    cluster.kill(2);
    cluster.restart(4);
    cluster.run(6.0);
    assert!(cluster.is_voter(3));
    assert!(cluster.is_voter(4), "{:?}", cluster.members(3));
    assert_eq!(
        cluster.call(3, change(&[route("a", 2, 2.0)])),
        Some(Answer::Done)
    );
}

/// Nobody else can have it: the drain is not acknowledged, and the task asks another.
#[test]
fn a_drain_is_acknowledged_only_where_a_second_member_has_it() {
    let mut cluster = Cluster::founded(3);
    cluster.cut(1, true, false);
    let answer = cluster.call(1, heartbeat("i-1", 1, TaskState::Draining));
    assert_eq!(
        answer,
        Some(Answer::Unavailable(Unavailable::TooFewReplicas))
    );
    assert!(acknowledged(
        cluster.call(2, heartbeat("i-1", 2, TaskState::Draining))
    ));
}

// --- 4. hundreds of changes ---

fn many_changes(cluster: &mut Cluster, count: u64) {
    for n in 0..count {
        let item = route(&format!("r{}", n % 40), 10 + n, 2.0 + n as f64);
        assert_eq!(
            cluster.call(1, change(&[item])),
            Some(Answer::Done),
            "change {n}"
        );
    }
}

#[test]
fn a_member_that_was_down_through_hundreds_of_changes_catches_up() {
    let mut cluster = Cluster::founded(3);
    cluster.run(1.0);
    cluster.kill(3);
    many_changes(&mut cluster, 400);
    let report = cluster.machines[&1].node.report(cluster.now);
    assert!(
        report.pending_changes.0 < 4,
        "the register keeps {:?}",
        report.pending_changes
    );
    cluster.restart(3);
    let stream = cluster.join(3, "edge");
    cluster.run(2.0);
    let (behind, newest) = (&cluster.machines[&3].node, &cluster.machines[&1].node);
    assert_eq!(behind.configuration().items, newest.configuration().items);
    let items = cluster
        .whole_configuration(3, stream)
        .expect("the whole configuration");
    assert!(items.iter().any(|item| item.version == 409));
}

/// While a snapshot is half taken, nothing of it counts as whole.
#[test]
fn a_snapshot_that_breaks_off_raises_nothing_and_goes_on_later() {
    let mut cluster = Cluster::founded(3);
    cluster.run(1.0);
    cluster.kill(3);
    // Some four parts.
    let bulk = "x".repeat(4_000);
    for n in 0..120u64 {
        let mut item = route(&format!("r{n:03}"), 10, 2.0);
        item.body = item.body.replace("\"h\"", &format!("\"{bulk}\""));
        assert_eq!(cluster.call(1, change(&[item])), Some(Answer::Done));
    }
    let merged = cluster.machines[&1].node.report(cluster.now).merged;
    cluster.restart(3);
    let before = cluster.machines[&3].node.report(cluster.now).merged;
    let mut parts = 0;
    for _ in 0..200 {
        cluster.run(0.025);
        let report = cluster.machines[&3].node.report(cluster.now);
        if report
            .catching_up
            .is_some_and(|progress| progress.items > 0)
        {
            assert_eq!(report.merged, before, "half a snapshot counts for nothing");
            parts += 1;
            if parts == 1 {
                cluster.cut(3, true, true);
            }
        }
        if parts == 3 {
            break;
        }
    }
    assert!(parts > 0, "the snapshot came in one part");
    assert_eq!(cluster.machines[&3].node.report(cluster.now).merged, before);
    cluster.run(5.0);
    cluster.cuts.clear();
    cluster.run(4.0);
    assert_eq!(cluster.machines[&3].node.report(cluster.now).merged, merged);
}

// --- 2. two operators ---

/// Two orders under one version with different content, sent to two nodes at once: one is confirmed, one
/// refused.
#[test]
fn of_two_contents_under_one_version_one_is_confirmed() {
    for round in 0..20 {
        let mut cluster = Cluster::founded(3);
        let (one, other) = (route("a", 7, 2.0), route("a", 7, 3.0));
        let first = cluster.send_call(1, change(std::slice::from_ref(&one)));
        cluster.run(f64::from(round) * 0.025);
        let second = cluster.send_call(2, change(std::slice::from_ref(&other)));
        cluster.run(1.5);
        let answers = [cluster.answer(1, first), cluster.answer(2, second)];
        let confirmed = answers
            .iter()
            .filter(|answer| **answer == Some(Answer::Done))
            .count();
        let refused = answers
            .iter()
            .filter(|answer| matches!(answer, Some(Answer::Refused(_))))
            .count();
        assert_eq!((confirmed, refused), (1, 1), "round {round}: {answers:?}");
        // Sent again, to a third, each gets the same.
        let again = [
            cluster.call(3, change(&[one])),
            cluster.call(3, change(&[other])),
        ];
        assert_eq!(
            again.map(|answer| answer == Some(Answer::Done)),
            answers.map(|a| a == Some(Answer::Done))
        );
    }
}

/// The answer is lost; the same order is sent again, to any node, after later changes and a start of
/// everything.
#[test]
fn an_order_that_was_taken_is_confirmed_again_by_any_node() {
    let mut cluster = Cluster::founded(3);
    let order = change(&[route("a", 7, 2.0)]);
    assert_eq!(cluster.call(1, order.clone()), Some(Answer::Done));
    assert_eq!(
        cluster.call(2, change(&[route("a", 9, 3.0)])),
        Some(Answer::Done)
    );
    for node in [1, 2, 3] {
        assert_eq!(
            cluster.call(node, order.clone()),
            Some(Answer::Done),
            "node {node}"
        );
    }
    [1, 2, 3].iter().for_each(|node| cluster.kill(*node));
    [1, 2].iter().for_each(|node| cluster.restart(*node));
    cluster.start(3, DiskContents::default(), false);
    cluster.run(4.0);
    for node in [1, 2, 3] {
        assert_eq!(
            cluster.call(node, order.clone()),
            Some(Answer::Done),
            "node {node}, after the start"
        );
    }
}

/// An order whose caller goes while no majority can be reached is not carried out once one can.
#[test]
fn an_order_that_waits_is_dropped_as_its_caller_goes() {
    for abandoned in [false, true] {
        let mut cluster = Cluster::founded(3);
        cluster.run(1.0);
        cluster.kill(2);
        cluster.kill(3);
        let zone = "z".to_owned();
        let call = cluster.send_call(1, ControlRequest::Evacuate { zone, on: true });
        if abandoned {
            cluster.step(1, Input::Abandoned { call });
        }
        cluster.restart(2);
        cluster.restart(3);
        cluster.run(3.0);
        let answer = cluster.answer(1, call);
        let node = &cluster.machines[&1].node;
        let evacuated = node.configuration().evacuated().count();
        let expected = if abandoned {
            (None, 0)
        } else {
            (Some(Answer::Done), 1)
        };
        assert_eq!((answer, evacuated), expected);
    }
}
