//! For each rule a ledger that breaks it, and ones that just do not.

use lynxmill_deployment::Machine;
use lynxmill_soak::ledger::{
    Change, Evacuation, Hold, MachineEvent, Outcome, Records, RolloutEnd, RolloutRecord, Run,
    TaskFault, TaskLife, Try, Usage,
};
use lynxmill_soak::rules::{Bounds, Rule, check};
use rstest::rstest;

const BOUNDS: Bounds = Bounds {
    contact_s: 5.0,
    grace_s: 3.0,
    drain_s: 2.0,
    evacuate_s: 5.0,
    config_apply_s: 4.0,
    loss_slack_s: 0.2,
    exposure_share: 0.1,
    exposure_slack: 50.0,
    deadline_s: 2.0,
};
const EDGE: Machine = Machine::Edge(0);
const MEMBER: Machine = Machine::Member(0);

fn served() -> Outcome {
    answered(200, "i-a.r")
}

fn answered(status: u16, seal: &str) -> Outcome {
    Outcome::Answered {
        status,
        seal: seal.to_owned(),
        is_own: true,
    }
}

fn sent(kind: &'static str, at: f64, outcome: Outcome) -> Try {
    Try {
        id: "r".to_owned(),
        kind,
        repeatable: kind != "order",
        edge: 0,
        sent: at,
        sent_whole: at + 0.01,
        ended: at + 0.5,
        outcome,
    }
}

fn run(task: &str, begun: f64) -> Run {
    Run {
        id: "r".to_owned(),
        task: task.to_owned(),
        begun,
        ended: Some(begun + 0.1),
        fault: TaskFault::None,
    }
}

/// A try with its runs, at two tasks of two services in two zones.
fn records(tries: Vec<Try>, runs: Vec<Run>) -> Records {
    let life = |service, zone| TaskLife {
        service,
        version: "v1".to_owned(),
        zone,
        leave_acknowledged: None,
        ended: None,
    };
    let mut records = Records {
        tries,
        ..Records::default()
    };
    records
        .tasks
        .insert("i-a".to_owned(), life("mill", "north"));
    records
        .tasks
        .insert("i-b".to_owned(), life("press", "south"));
    if !runs.is_empty() {
        records.runs.insert("r".to_owned(), runs);
    }
    records
}

fn broken(records: &Records) -> Vec<Rule> {
    let mut rules: Vec<Rule> = check(records, &BOUNDS).iter().map(|v| v.rule).collect();
    rules.dedup();
    rules
}

#[rstest]
#[case::after_sigterm(MachineEvent::Terminated, 99.0, &[Rule::Lost])]
#[case::after_sighup(MachineEvent::HungUp, 99.0, &[Rule::Lost])]
#[case::long_after_it(MachineEvent::Terminated, 95.9, &[])]
#[case::without_planned_work(MachineEvent::Started, 99.0, &[])]
fn a_cut_around_planned_work_is_lost(
    #[case] event: MachineEvent,
    #[case] at: f64,
    #[case] rules: &[Rule],
) {
    let mut records = records(
        vec![sent("read", 100.0, Outcome::Cut)],
        vec![run("i-a", 100.1)],
    );
    records.machine(EDGE, at, event);
    assert_eq!(broken(&records), rules);
}

#[rstest]
#[case::not_read(|r: &mut Records| { r.runs.clear(); r.tries[0].ended = 100.2; }, &[])]
#[case::read_without_a_run(|r: &mut Records| r.runs.clear(), &[Rule::Lost])]
#[case::task_broke_off(|r: &mut Records| r.runs.get_mut("r").unwrap()[0].fault = TaskFault::Cut, &[])]
#[case::task_ended(|r: &mut Records| r.runs.get_mut("r").unwrap()[0].ended = None, &[])]
#[case::deadline(|r: &mut Records| r.tries[0].ended = 102.0, &[])]
#[case::worked_late(|r: &mut Records| r.runs.get_mut("r").unwrap()[0].ended = Some(100.6), &[])]
#[case::killed_before(|r: &mut Records| r.machine(EDGE, 95.1, MachineEvent::Killed), &[])]
#[case::member_frozen(|r: &mut Records| r.machine(MEMBER, 100.2, MachineEvent::Frozen), &[])]
#[case::other_edge_killed(|r: &mut Records| r.machine(Machine::Edge(1), 99.0, MachineEvent::Killed), &[Rule::Lost])]
#[case::a_later_try_worked_late(|r: &mut Records| r.runs.get_mut("r").unwrap().push(run("i-a", 103.0)), &[Rule::Lost])]
#[case::client_left(|r: &mut Records| r.tries[0].outcome = Outcome::Left, &[])]
fn what_excuses_a_cut(#[case] change: fn(&mut Records), #[case] rules: &[Rule]) {
    let mut records = records(
        vec![sent("read", 100.0, Outcome::Cut)],
        vec![run("i-a", 100.1)],
    );
    records.machine(EDGE, 99.0, MachineEvent::Terminated);
    change(&mut records);
    assert_eq!(broken(&records), rules);
}

#[rstest]
#[case::once("order", 1, &[])]
#[case::twice("order", 2, &[Rule::Twice])]
#[case::repeatable("read", 2, &[])]
fn what_may_run_once(#[case] kind: &'static str, #[case] count: usize, #[case] rules: &[Rule]) {
    let runs = vec![run("i-a", 100.1); count];
    assert_eq!(
        broken(&records(vec![sent(kind, 100.0, served())], runs)),
        rules
    );
}

#[test]
fn a_run_that_no_client_asked_for() {
    assert_eq!(
        broken(&records(Vec::new(), vec![run("i-a", 1.0)])),
        [Rule::Unasked]
    );
}

#[rstest]
#[case::no_seal(200, "", true, &[Rule::Mixed])]
#[case::anothers(200, "i-a.r", false, &[Rule::Mixed])]
#[case::failure_of_the_edge(502, "", false, &[])]
#[case::own(200, "i-a.r", true, &[])]
fn a_success_is_the_tasks_own(
    #[case] status: u16,
    #[case] seal: &str,
    #[case] is_own: bool,
    #[case] rules: &[Rule],
) {
    let outcome = Outcome::Answered {
        status,
        seal: seal.to_owned(),
        is_own,
    };
    let records = records(vec![sent("read", 100.0, outcome)], vec![run("i-a", 100.1)]);
    assert_eq!(broken(&records), rules);
}

#[rstest]
#[case::ran_before("order", 503, 100.1, None, &[Rule::Refused])]
#[case::ran_later("order", 408, 107.0, None, &[Rule::Refused])]
#[case::ran_by_the_next_try("order", 503, 101.1, Some(101.0), &[])]
#[case::no_promise("order", 502, 100.1, None, &[])]
#[case::repeatable("read", 503, 100.1, None, &[])]
fn a_promise_is_kept(
    #[case] kind: &'static str,
    #[case] status: u16,
    #[case] begun: f64,
    #[case] next: Option<f64>,
    #[case] rules: &[Rule],
) {
    let mut tries = vec![sent(kind, 100.0, answered(status, ""))];
    tries.extend(next.map(|at| sent(kind, at, served())));
    assert_eq!(broken(&records(tries, vec![run("i-a", begun)])), rules);
}

#[rstest]
#[case::few(5, None, &[])]
#[case::many(6, None, &[Rule::Denied])]
#[case::not_in_touch(6, Some(98.0), &[])]
fn proper_requests_are_not_denied(
    #[case] count: usize,
    #[case] disturbed: Option<f64>,
    #[case] rules: &[Rule],
) {
    let mut records = records(
        vec![sent("read", 100.0, answered(404, "")); count],
        Vec::new(),
    );
    if let Some(at) = disturbed {
        records.machine(MEMBER, at, MachineEvent::Killed);
    }
    assert_eq!(broken(&records), rules);
}

fn hold(task: &str, first: u32, since: f64, until: f64) -> Hold {
    Hold {
        task: task.to_owned(),
        first,
        last: first + 99,
        fence: 1,
        since,
        until,
    }
}

#[rstest]
#[case::both_for_long(50, 9.4, "mill", &[Rule::Owner])]
#[case::both_for_half_a_second(50, 9.5, "mill", &[])]
#[case::other_keys(100, 9.0, "mill", &[])]
#[case::other_service(50, 9.0, "press", &[])]
fn a_key_has_one_holder(
    #[case] first: u32,
    #[case] since: f64,
    #[case] service: &'static str,
    #[case] rules: &[Rule],
) {
    let mut records = records(Vec::new(), Vec::new());
    records.tasks.get_mut("i-b").unwrap().service = service;
    records.holds = vec![hold("i-a", 0, 0.0, 10.0), hold("i-b", first, since, 20.0)];
    assert_eq!(broken(&records), rules);
}

#[rstest]
#[case::late(102.1, None, &[Rule::Drain])]
#[case::within_the_drain(101.9, None, &[])]
#[case::edge_not_in_touch(102.1, Some(EDGE), &[])]
#[case::core_not_settled(102.1, Some(MEMBER), &[])]
fn nothing_reaches_a_task_that_has_left(
    #[case] at: f64,
    #[case] disturbed: Option<Machine>,
    #[case] rules: &[Rule],
) {
    let mut records = records(
        vec![sent("read", at - 0.05, served())],
        vec![run("i-a", at)],
    );
    records.tasks.get_mut("i-a").unwrap().leave_acknowledged = Some(100.0);
    if let Some(machine) = disturbed {
        records.machine(machine, 98.0, MachineEvent::Thawed);
    }
    assert_eq!(broken(&records), rules);
}

#[rstest]
#[case::late(105.1, None, &[Rule::Evac])]
#[case::in_time(104.9, None, &[])]
#[case::taken_back(105.1, Some(105.0), &[])]
fn nothing_arrives_in_an_evacuated_zone(
    #[case] at: f64,
    #[case] taken_back: Option<f64>,
    #[case] rules: &[Rule],
) {
    let mut records = records(
        vec![sent("read", at - 0.05, served())],
        vec![run("i-a", at)],
    );
    records.evacuations.push(Evacuation {
        zone: "north",
        acknowledged: Some(100.0),
        taken_back,
    });
    assert_eq!(broken(&records), rules);
}

#[rstest]
#[case::old_service(104.1, None, "moving", &[Rule::Config])]
#[case::within_the_bound(103.9, None, "moving", &[])]
#[case::a_next_change_was_sent(104.1, Some(104.05), "moving", &[])]
#[case::another_route(104.1, None, "read", &[])]
fn an_acknowledged_change_is_in_force(
    #[case] at: f64,
    #[case] next: Option<f64>,
    #[case] kind: &'static str,
    #[case] rules: &[Rule],
) {
    let mut records = records(vec![sent(kind, at, served())], vec![run("i-a", at + 0.05)]);
    let change = |version, sent, acknowledged| Change {
        version,
        service: "press",
        sent,
        acknowledged,
    };
    records.changes.push(change(2, 99.0, Some(100.0)));
    records
        .changes
        .extend(next.map(|sent| change(3, sent, None)));
    assert_eq!(broken(&records), rules);
}

#[rstest]
#[case::forgotten(Some(1), &[Rule::Config])]
#[case::read_back(Some(2), &[])]
#[case::nobody_answers(None, &[])]
fn an_acknowledged_change_is_read_back(#[case] read_back: Option<u64>, #[case] rules: &[Rule]) {
    let mut records = records(Vec::new(), Vec::new());
    records.changes.push(Change {
        version: 2,
        service: "press",
        sent: 1.0,
        acknowledged: Some(1.1),
    });
    records.read_back = read_back;
    assert_eq!(broken(&records), rules);
}

#[rstest]
#[case::by_itself(MachineEvent::EndedByItself, &[Rule::Process])]
#[case::badly(MachineEvent::EndedBadly, &[Rule::Process])]
#[case::too_late(MachineEvent::OutlastedGrace, &[Rule::Process])]
#[case::in_order(MachineEvent::Ended, &[])]
fn processes_end_in_order(#[case] event: MachineEvent, #[case] rules: &[Rule]) {
    let mut records = records(Vec::new(), Vec::new());
    records.machine(EDGE, 10.0, event);
    assert_eq!(broken(&records), rules);
}

#[rstest]
#[case::descriptors(73, 20.0, &[Rule::Leak])]
#[case::memory(40, 117.0, &[Rule::Leak])]
#[case::a_little_more(72, 116.0, &[])]
fn what_a_process_uses_does_not_grow(
    #[case] descriptors: usize,
    #[case] resident_mb: f64,
    #[case] rules: &[Rule],
) {
    let mut records = records(Vec::new(), Vec::new());
    let first = Usage {
        at: 0.0,
        descriptors: 40,
        callers: 0,
        resident_mb: 20.0,
    };
    let last = Usage {
        at: 60.0,
        descriptors,
        callers: 0,
        resident_mb,
    };
    records.usage.insert((EDGE, 1), vec![first, last]);
    assert_eq!(broken(&records), rules);
}

/// Tasks go from one member to another; connections that stay behind them do not pass.
#[rstest]
#[case::moved(10, 110, 40, &[])]
#[case::a_little_more(24, 110, 72, &[])]
#[case::left_behind(25, 110, 40, &[Rule::Leak])]
#[case::not_of_callers(10, 90, 73, &[Rule::Leak])]
fn connections_of_callers_are_as_many_as_tasks(
    #[case] at_the_first: usize,
    #[case] at_the_second: usize,
    #[case] others: usize,
    #[case] rules: &[Rule],
) {
    let mut records = records(Vec::new(), Vec::new());
    for number in 0..100 {
        let life = TaskLife {
            service: "mill",
            version: "v1".to_owned(),
            zone: "north",
            leave_acknowledged: None,
            ended: None,
        };
        records.tasks.insert(format!("i-{number}"), life);
    }
    let usage = |at, others, callers| Usage {
        at,
        descriptors: others + callers,
        callers,
        resident_mb: 20.0,
    };
    let members = [
        (Machine::Member(0), 80, at_the_first),
        (Machine::Member(1), 20, at_the_second),
    ];
    for (member, before, after) in members {
        let usage = vec![usage(0.0, 40, before), usage(60.0, others, after)];
        records.usage.insert((member, 1), usage);
    }
    assert_eq!(broken(&records), rules);
}

/// Requests at a version of `mill` that runs at `i-new`, some of them bad, and at the one before, one each 10 ms from 100 s on.
fn rollout(new: usize, bad: usize, old: usize, pause_s: f64) -> Records {
    let mut records = records(Vec::new(), Vec::new());
    let life = TaskLife {
        service: "mill",
        version: "v2".to_owned(),
        zone: "north",
        leave_acknowledged: None,
        ended: None,
    };
    records.tasks.insert("i-new".to_owned(), life);
    for n in 0..new + old {
        let task = if n < new { "i-new" } else { "i-a" };
        let at = 100.0 + n as f64 * pause_s;
        let id = format!("r{n}");
        let fault = if n < bad {
            TaskFault::BadVersion
        } else {
            TaskFault::None
        };
        records.tries.push(Try {
            id: id.clone(),
            ..sent("read", at, served())
        });
        let run = Run {
            id: id.clone(),
            fault,
            ..run(task, at + 0.001)
        };
        records.runs.insert(id, vec![run]);
    }
    records.rollouts.push(RolloutRecord {
        service: "mill",
        version: "v2".to_owned(),
        is_bad: true,
        term_s: 20.0,
        ordered: 99.0,
        acknowledged: Some(99.5),
        ended: Some((115.0, RolloutEnd::Reverted)),
        read_back: Some(RolloutEnd::Reverted),
    });
    records
}

#[rstest]
#[case::within_share_and_slack(140, 40, 860, 0.01, &[])]
#[case::beyond(160, 40, 840, 0.01, &[Rule::Exposure])]
#[case::after_the_fiftieth_bad_answer(80, 50, 900, 0.02, &[])]
#[case::late_after_it(150, 50, 1000, 0.1, &[Rule::Exposure])]
fn a_bad_version_gets_little_and_not_for_long(
    #[case] new: usize,
    #[case] bad: usize,
    #[case] old: usize,
    #[case] pause_s: f64,
    #[case] rules: &[Rule],
) {
    assert_eq!(broken(&rollout(new, bad, old, pause_s)), rules);
}

#[rstest]
#[case::taken_back(Some(RolloutEnd::Reverted), Some(RolloutEnd::Reverted), &[])]
#[case::completed(Some(RolloutEnd::Completed), None, &[Rule::Rollout])]
#[case::told_otherwise_later(Some(RolloutEnd::Reverted), Some(RolloutEnd::Completed), &[Rule::Rollout])]
#[case::never_ended(None, None, &[Rule::Rollout])]
fn a_rollout_ends_once_and_rightly(
    #[case] end: Option<RolloutEnd>,
    #[case] read_back: Option<RolloutEnd>,
    #[case] rules: &[Rule],
) {
    let mut records = rollout(10, 5, 90, 0.01);
    records.rollouts[0].ended = end.map(|end| (115.0, end));
    records.rollouts[0].read_back = read_back;
    assert_eq!(broken(&records), rules);
}
