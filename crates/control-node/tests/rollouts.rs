//! Orders of rollouts at any member, kept through losses, judged by each and never decided twice.

#[allow(dead_code)]
mod harness;

use std::collections::{BTreeMap, BTreeSet};

use harness::{Cluster, change, ip};
use lynxmill_configuration::{Item, RolloutOrder, RolloutState, ValidationError, VersionAccess};
use lynxmill_control_node::{
    Answer, ControlRequest, GrantedHoldings, HeartbeatAnswer, Input, InstanceHeartbeat, StreamId,
};
use lynxmill_placement::{HeldShard, ReleasedShard, TaskHoldings};
use lynxmill_protocol::{
    FromEdgeBody, Hello, LATENCY_BUCKETS, LoadReport, OutcomeCounts, RolloutObservation,
    SliceObservation, TableAcknowledgement, Task, ToEdgeBody,
};

const SERVICE: &str = "s";
const TERM_S: f64 = 14.0;
const REPORT_S: f64 = 0.5;
const TASKS: usize = 20;
const ALL_KEYS: u32 = 65_536;

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

fn heartbeat(version: &str, seq: u64, holdings: TaskHoldings) -> ControlRequest {
    let task = Task {
        id: holdings.id.clone(),
        service: SERVICE.to_owned(),
        version: version.to_owned(),
        call_seq: seq,
        ..Task::default()
    };
    ControlRequest::Heartbeat(InstanceHeartbeat { task, holdings })
}

/// A core with tasks of two versions and an edge that has a stream to each member.
struct Site {
    cluster: Cluster,
    streams: Vec<(usize, StreamId)>,
    beats: u64,
    /// Keys that tasks hold, by `InstanceId`.
    held: BTreeMap<String, Vec<HeldShard>>,
    /// First keys of the slices that the edge knows.
    slices: BTreeSet<u32>,
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
            held: BTreeMap::new(),
            slices: BTreeSet::new(),
            observation: RolloutObservation::default(),
            errors: 0.0,
        }
    }

    fn beat(&mut self, version: &str) {
        self.beats += 1;
        for n in 0..TASKS {
            self.beat_of(version, n);
        }
    }

    /// A task's heartbeat to any member, and to the owner of its shards if there is another.
    fn beat_of(&mut self, version: &str, n: usize) {
        let id = format!("{version}-{n}");
        for number in 1..=3 {
            let at = (n + number) % 3 + 1;
            if !self.cluster.machines[&at].up {
                continue;
            }
            let holdings = TaskHoldings {
                id: id.clone(),
                held: self.held.get(&id).cloned().unwrap_or_default(),
                released: Vec::new(),
            };
            let answer = self
                .cluster
                .call(at, heartbeat(version, self.beats, holdings));
            match answer {
                Some(Answer::Heartbeat(HeartbeatAnswer { holdings, .. })) => {
                    if let Some(granted) = holdings {
                        self.take_keys(at, version, &id, granted);
                    }
                    return;
                }
                _ => continue,
            }
        }
    }

    /// The task holds what it is granted, and tells at once what it has let go.
    fn take_keys(&mut self, at: usize, version: &str, id: &str, granted: GrantedHoldings) {
        let rows = granted.grants.iter().map(|grant| HeldShard {
            from: grant.from,
            to: grant.to,
            generation: grant.generation,
        });
        let held: Vec<HeldShard> = rows.collect();
        let before = self
            .held
            .insert(id.to_owned(), held.clone())
            .unwrap_or_default();
        let gone = before.into_iter().filter(|row| !held.contains(row));
        let released: Vec<ReleasedShard> = gone
            .map(|row| ReleasedShard {
                from: row.from,
                to: row.to,
                handover: "h".to_owned(),
            })
            .collect();
        if !released.is_empty() {
            self.beats += 1;
            let holdings = TaskHoldings {
                id: id.to_owned(),
                held,
                released,
            };
            drop(
                self.cluster
                    .call(at, heartbeat(version, self.beats, holdings)),
            );
        }
    }

    /// The edge has all tables in force that it was sent.
    fn acknowledge_tables(&mut self) {
        for (number, stream) in self.streams.clone() {
            let messages = self.cluster.edge_messages(number, stream).to_vec();
            for message in messages {
                if let ToEdgeBody::ShardTableUpdate(table) = message {
                    self.slices
                        .extend(table.entries.iter().map(|entry| entry.from));
                    let acknowledgement = TableAcknowledgement {
                        service: table.service,
                        term: table.term,
                        sequence: table.sequence,
                    };
                    let message = FromEdgeBody::TableAcknowledgement(acknowledgement);
                    self.cluster.step(number, Input::Edge { stream, message });
                }
            }
        }
    }

    /// Keys that tasks of a version hold.
    fn keys_of(&self, version: &str) -> u32 {
        let tasks = self.held.iter().filter(|(id, _)| id.starts_with(version));
        let rows = tasks.flat_map(|(_, rows)| rows);
        rows.map(|row| row.to - row.from + 1).sum()
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
        self.observe_rollout();
        let requests = 10;
        let slice = |from: &u32| SliceObservation {
            service: SERVICE.to_owned(),
            from: *from,
            requests,
        };
        let seen = &self.observation;
        let report = LoadReport {
            interval_ms: (REPORT_S * 1000.0) as u32,
            tasks: Vec::new(),
            slices: self.slices.iter().map(slice).collect(),
            rollouts: if seen.number == 0 {
                Vec::new()
            } else {
                vec![seen.clone()]
            },
        };
        for (number, stream) in self.streams.clone() {
            if self.cluster.machines[&number].up {
                let message = FromEdgeBody::LoadReport(report.clone());
                self.cluster.step(number, Input::Edge { stream, message });
            }
        }
    }

    fn observe_rollout(&mut self) {
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
    }

    /// Goes on for so long, with heartbeats, traffic and reports.
    fn run(&mut self, seconds: f64) {
        let end = self.cluster.now.secs() + seconds;
        while self.cluster.now.secs() < end {
            self.beat("v1");
            self.beat("v2");
            self.acknowledge_tables();
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

/// Guards against a version that gets keys before its trial, or keeps some after it was reverted.
#[test]
fn keys_go_to_a_sound_version_as_a_whole_and_to_a_bad_one_for_its_trial_only() {
    for (errors, wanted) in [
        (0.0, RolloutState::Completed),
        (0.4, RolloutState::Reverted),
    ] {
        let mut site = Site::new(true);
        let sharded = Item {
            version: 2,
            body: r#"{"Name":"s","Sharded":true,"WarmupS":1,"Grants":"heartbeat"}"#.to_owned(),
            ..harness::service()
        };
        assert_eq!(site.cluster.call(1, change(&[sharded])), Some(Answer::Done));
        for _ in 0..20 {
            site.beat("v1");
            site.acknowledge_tables();
            site.report();
            site.cluster.run(REPORT_S);
        }
        assert_eq!(site.keys_of("v1"), ALL_KEYS);
        assert_eq!(site.cluster.call(1, order("v2", 30.0)), Some(Answer::Done));
        let mut most = 0;
        for _ in 0..8 {
            site.run(1.0);
            most = most.max(site.keys_of("v2"));
        }
        assert!(0 < most && most <= ALL_KEYS / 5, "{most} keys in the trial");
        site.errors = errors;
        site.run(26.0);
        assert_eq!(state(&site.cluster, 1, "v2"), Some(wanted), "{errors}");
        let holder = if wanted == RolloutState::Completed {
            "v2"
        } else {
            "v1"
        };
        assert_eq!(site.keys_of(holder), ALL_KEYS, "{wanted:?}");
    }
}
