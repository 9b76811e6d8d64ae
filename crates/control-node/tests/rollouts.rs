//! Orders of rollouts at any member, kept through losses, judged by each and never decided twice.

#[allow(dead_code)]
mod harness;

use harness::{Cluster, ip};
use lynxmill_configuration::{RolloutOrder, RolloutState, ValidationError, VersionAccess};
use lynxmill_control_node::{Answer, ControlRequest, Input, InstanceHeartbeat, StreamId};
use lynxmill_placement::TaskHoldings;
use lynxmill_protocol::{
    FromEdgeBody, Hello, LATENCY_BUCKETS, LoadReport, OutcomeCounts, RolloutObservation, Task,
    ToEdgeBody,
};

const SERVICE: &str = "s";
const TERM_S: f64 = 14.0;
const REPORT_S: f64 = 0.5;

fn order(version: &str, duration_s: f64) -> ControlRequest {
    ControlRequest::Rollout(RolloutOrder {
        service: SERVICE.to_owned(),
        target_version: version.to_owned(),
        duration_ms: (duration_s * 1000.0) as u64,
        base_versions: Vec::new(),
    })
}

fn state(cluster: &Cluster, number: usize, version: &str) -> Option<RolloutState> {
    let rollouts = cluster.machines[&number]
        .node
        .configuration()
        .rollouts(SERVICE)?;
    rollouts.of_version(version).map(|rollout| rollout.state)
}

fn access(cluster: &Cluster, number: usize, version: &str) -> VersionAccess {
    let rollouts = cluster.machines[&number]
        .node
        .configuration()
        .rollouts(SERVICE);
    rollouts.map_or(VersionAccess::Released, |all| all.access(version))
}

fn heartbeat(version: &str, n: usize, seq: u64) -> ControlRequest {
    let id = format!("{version}-{n}");
    let task = Task {
        id: id.clone(),
        service: SERVICE.to_owned(),
        version: version.to_owned(),
        call_seq: seq,
        ..Task::default()
    };
    let holdings = TaskHoldings {
        id,
        ..TaskHoldings::default()
    };
    ControlRequest::Heartbeat(InstanceHeartbeat { task, holdings })
}

/// A core with tasks of two versions and an edge that has a stream to each member.
struct Site {
    cluster: Cluster,
    streams: Vec<(usize, StreamId)>,
    beats: u64,
    /// What the edge has counted of the rollout.
    observation: RolloutObservation,
    /// The share of requests that fail at the new version.
    errors: f64,
}

impl Site {
    fn new(knows_versions: bool) -> Self {
        let mut cluster = Cluster::founded(3);
        cluster.run(1.0);
        let mut streams = Vec::new();
        for number in 1..=3 {
            let stream = StreamId(1000 + number as u64);
            let hello = Hello {
                name: "edge".to_owned(),
                incarnation: 1,
                knows_versions,
                ..Hello::default()
            };
            let message = FromEdgeBody::Hello(hello);
            cluster.step(number, Input::Edge { stream, message });
            streams.push((number, stream));
        }
        Site {
            cluster,
            streams,
            beats: 0,
            observation: RolloutObservation::default(),
            errors: 0.0,
        }
    }

    fn beat(&mut self, version: &str) {
        self.beats += 1;
        for n in 0..4 {
            let at = n % 3 + 1;
            if self.cluster.machines[&at].up {
                drop(self.cluster.call(at, heartbeat(version, n, self.beats)));
            }
        }
    }

    fn rollout(&self) -> Option<(u64, u64, f64)> {
        let newest = self.cluster.machines.values().filter(|machine| machine.up);
        let newest = newest.max_by_key(|machine| machine.node.merged())?;
        let (_, item, rollouts) = newest.node.configuration().all_rollouts().next()?;
        let rollout = rollouts.of_version("v2")?;
        Some((rollout.number, item, rollout.share))
    }

    /// Half a second of traffic, and the edge's report of it.
    fn report(&mut self) {
        let Some((number, item_version, share)) = self.rollout() else {
            return;
        };
        let requests = 400;
        let target = (f64::from(requests) * share) as u32;
        let seen = &mut self.observation;
        (seen.number, seen.item_version) = (number, item_version);
        seen.service = SERVICE.to_owned();
        seen.requests += u64::from(requests);
        seen.target_requests += u64::from(target);
        if seen.outcomes.is_empty() {
            let counts = |is_target| OutcomeCounts {
                route: "r".to_owned(),
                is_target,
                latencies: vec![0; LATENCY_BUCKETS],
                ..OutcomeCounts::default()
            };
            seen.outcomes = vec![counts(true), counts(false)];
        }
        for (counts, ended) in seen.outcomes.iter_mut().zip([target, requests - target]) {
            let errors = if counts.is_target { self.errors } else { 0.0 };
            let failed = (f64::from(ended) * errors) as u32;
            counts.ended += ended;
            counts.failed += failed;
            counts.latencies[10] += ended - failed;
        }
        let report = LoadReport {
            rollouts: vec![seen.clone()],
            ..LoadReport::default()
        };
        for (number, stream) in self.streams.clone() {
            if self.cluster.machines[&number].up {
                let message = FromEdgeBody::LoadReport(report.clone());
                self.cluster.step(number, Input::Edge { stream, message });
            }
        }
    }

    /// Goes on for so long, with heartbeats, traffic and reports.
    fn run(&mut self, seconds: f64) {
        let end = self.cluster.now.secs() + seconds;
        while self.cluster.now.secs() < end {
            self.beat("v1");
            self.beat("v2");
            self.report();
            self.cluster.run(REPORT_S);
        }
    }
}

/// Guards against an order that is acknowledged and then missing, or refused when it is sent again.
#[test]
fn an_order_is_known_at_every_member_and_acknowledged_again() {
    let mut cluster = Cluster::founded(3);
    cluster.run(1.0);
    assert_eq!(cluster.call(1, order("v2", TERM_S)), Some(Answer::Done));
    cluster.run(0.3);
    for number in 1..=3 {
        assert_eq!(
            state(&cluster, number, "v2"),
            Some(RolloutState::InProgress)
        );
        assert_eq!(
            cluster.call(number, order("v2", TERM_S)),
            Some(Answer::Done)
        );
    }
    let refused = cluster.call(2, order("v2", 5.0));
    assert!(
        matches!(
            refused,
            Some(Answer::Refused(ValidationError::RolloutUnderWay(..)))
        ),
        "{refused:?}"
    );
}

/// Guards against an order that is lost with a disk, while all others lose power.
#[test]
fn an_order_outlives_a_lost_disk_while_all_others_lose_power() {
    let mut cluster = Cluster::founded(3);
    cluster.run(1.0);
    assert_eq!(cluster.call(1, order("v2", TERM_S)), Some(Answer::Done));
    (1..=3).for_each(|number| cluster.kill(number));
    cluster.machines.get_mut(&1).expect("a machine").disk =
        lynxmill_storage::DiskContents::default();
    (1..=3).for_each(|number| cluster.restart(number));
    cluster.run(5.0);
    for number in 1..=3 {
        assert_eq!(
            state(&cluster, number, "v2"),
            Some(RolloutState::InProgress),
            "{}",
            ip(number)
        );
    }
}

/// Guards against an order that the network held up until a later one of the service was acknowledged.
#[test]
fn an_order_that_a_later_one_overtook_is_not_carried_out() {
    let mut cluster = Cluster::founded(3);
    cluster.run(1.0);
    let before = cluster.machines[&1].node.merged();
    assert_eq!(cluster.call(2, order("v3", TERM_S)), Some(Answer::Done));
    cluster.run(0.3);
    let late = cluster.send_call_after(1, order("v2", TERM_S), before);
    assert_eq!(
        cluster.answer_within_three_seconds(1, late),
        Some(Answer::Outdated)
    );
    assert_eq!(state(&cluster, 1, "v2"), None);
    assert_eq!(access(&cluster, 1, "v2"), VersionAccess::Released);
}

#[test]
fn a_sound_version_is_completed_and_a_bad_one_reverted() {
    for (errors, wanted) in [
        (0.0, RolloutState::Completed),
        (0.4, RolloutState::Reverted),
    ] {
        let mut site = Site::new(true);
        site.errors = errors;
        site.run(5.0);
        assert_eq!(
            site.cluster.call(1, order("v2", TERM_S)),
            Some(Answer::Done)
        );
        site.run(TERM_S);
        for number in 1..=3 {
            assert_eq!(state(&site.cluster, number, "v2"), Some(wanted), "{errors}");
        }
    }
}

/// Guards against a rollout that only one member could decide.
#[test]
fn a_rollout_is_decided_by_those_that_are_left() {
    for lost in 1..=3 {
        let mut site = Site::new(true);
        site.errors = 0.4;
        site.run(5.0);
        let at = lost % 3 + 1;
        assert_eq!(
            site.cluster.call(at, order("v2", TERM_S)),
            Some(Answer::Done)
        );
        site.run(1.0);
        site.cluster.kill(lost);
        site.run(6.0);
        assert_eq!(
            state(&site.cluster, at, "v2"),
            Some(RolloutState::Reverted),
            "without {lost}"
        );
    }
}

/// Guards against a version without a verdict that stays in the trial, or comes out of it.
#[test]
fn a_version_without_tasks_is_reverted_by_its_term() {
    let mut cluster = Cluster::founded(3);
    cluster.run(1.0);
    assert_eq!(cluster.call(1, order("v2", 4.0)), Some(Answer::Done));
    cluster.run(2.0);
    assert_eq!(state(&cluster, 1, "v2"), Some(RolloutState::InProgress));
    cluster.run(2.5);
    assert_eq!(state(&cluster, 1, "v2"), Some(RolloutState::Reverted));
}

/// Guards against tasks of an unreleased version that an edge of the program before sends all it likes to.
#[test]
fn an_edge_that_does_not_know_versions_is_not_told_of_tasks_that_are_not_released() {
    for knows_versions in [false, true] {
        let mut site = Site::new(knows_versions);
        site.run(5.0);
        assert_eq!(
            site.cluster.call(1, order("v3", TERM_S)),
            Some(Answer::Done)
        );
        site.cluster.run(0.5);
        site.beat("v3");
        site.cluster.run(0.5);
        let told = site.streams.iter().any(|(number, stream)| {
            let messages = site.cluster.edge_messages(*number, *stream);
            messages.iter().any(|message| match message {
                ToEdgeBody::TaskUpdate(update) => update.tasks.iter().any(|t| t.version == "v3"),
                _ => false,
            })
        });
        assert_eq!(told, knows_versions);
    }
}
