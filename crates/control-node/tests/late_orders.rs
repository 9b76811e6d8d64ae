//! Orders that arrive after a decision that they would undo, and were sent before it.

#[allow(dead_code)]
mod harness;

use harness::{Cluster, change, route};
use lynxmill_configuration::Item;
use lynxmill_control_node::{Answer, ControlRequest};

fn evacuation(on: bool) -> ControlRequest {
    let zone = "z".to_owned();
    ControlRequest::Evacuate { zone, on }
}

fn late_call(
    cluster: &mut Cluster,
    number: usize,
    request: ControlRequest,
    sent_after: u64,
) -> Option<Answer> {
    let call = cluster.send_call_after(number, request, sent_after);
    cluster.answer_within_three_seconds(number, call)
}

fn evacuated(cluster: &Cluster, number: usize) -> usize {
    let configuration = cluster.machines[&number].node.configuration();
    configuration.evacuated().count()
}

/// Guards against a late order that takes a zone back which was evacuated after it.
#[test]
fn an_evacuation_is_undone_only_by_an_order_that_was_sent_after_it() {
    let mut cluster = Cluster::founded(3);
    cluster.run(1.0);
    assert_eq!(cluster.call(1, evacuation(true)), Some(Answer::Done));
    cluster.run(0.5);
    let before = cluster.machines[&1].node.merged();
    assert_eq!(cluster.call(2, evacuation(false)), Some(Answer::Done));
    assert_eq!(cluster.call(2, evacuation(true)), Some(Answer::Done));
    cluster.run(0.5);
    let late = late_call(&mut cluster, 1, evacuation(false), before);
    assert_eq!((late, evacuated(&cluster, 1)), (Some(Answer::Outdated), 1));
    assert_eq!(cluster.call(1, evacuation(false)), Some(Answer::Done));
    assert_eq!(evacuated(&cluster, 1), 0);
}

/// Guards against a late order that was given up, where the state that it would undo was acknowledged again and had stood
/// before.
#[test]
fn an_evacuation_that_is_acknowledged_again_is_not_undone_by_an_order_in_between() {
    let mut cluster = Cluster::founded(3);
    cluster.run(1.0);
    assert_eq!(cluster.call(1, evacuation(true)), Some(Answer::Done));
    let between = cluster.machines[&1].node.merged();
    assert_eq!(cluster.call(2, evacuation(true)), Some(Answer::Done));
    cluster.run(0.5);
    let late = late_call(&mut cluster, 1, evacuation(false), between);
    assert_eq!((late, evacuated(&cluster, 1)), (Some(Answer::Outdated), 1));
}

/// Guards against a change that was refused at another member, and comes into force as its late copy has become valid.
#[test]
fn a_refused_change_is_taken_only_if_it_was_sent_after_the_refusal() {
    let mut cluster = Cluster::founded(3);
    cluster.run(1.0);
    let before = cluster.machines[&1].node.merged();
    let item = route("a", 2, 2.0);
    let missing = Item {
        body: item
            .body
            .replace(r#""Service":"s""#, r#""Service":"later""#),
        ..item
    };
    let refused = cluster.call(2, change(std::slice::from_ref(&missing)));
    assert!(matches!(refused, Some(Answer::Refused(_))), "{refused:?}");
    let service = Item {
        key: "s/later".to_owned(),
        version: 1,
        body: r#"{"Name":"later"}"#.to_owned(),
        ..Item::default()
    };
    assert_eq!(cluster.call(2, change(&[service])), Some(Answer::Done));
    cluster.run(0.5);
    let late = late_call(
        &mut cluster,
        1,
        change(std::slice::from_ref(&missing)),
        before,
    );
    assert_eq!(late, Some(Answer::Outdated));
    let routes = cluster.machines[&1].node.configuration().routes().count();
    assert_eq!(routes, 0);
    assert_eq!(cluster.call(1, change(&[missing])), Some(Answer::Done));
}

/// Orders that undo nothing are carried out, however late.
#[test]
fn a_late_order_for_what_stands_is_acknowledged() {
    let mut cluster = Cluster::founded(3);
    cluster.run(1.0);
    assert_eq!(cluster.call(1, evacuation(true)), Some(Answer::Done));
    assert_eq!(
        late_call(&mut cluster, 2, evacuation(true), 0),
        Some(Answer::Done)
    );
    let late = late_call(&mut cluster, 3, change(&[route("a", 2, 2.0)]), 0);
    assert_eq!(late, Some(Answer::Done));
}
