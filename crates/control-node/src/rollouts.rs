//! Rollouts of service versions. Orders and decisions are changes in the register of changes; each member judges each
//! rollout in progress by what all edges report to it, and has what is due agreed on, the first in order at once and
//! each further one a while later. So no member owns a rollout, and none is missed where one is lost.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_configuration::{
    Rollout, RolloutDecision, RolloutOrder, RolloutState, RolloutStep, ServiceRollouts,
    VersionAccess, fnv1a,
};
use lynxmill_protocol::{RolloutObservation, Task, TaskState};
use lynxmill_rollout::{
    Decided, EdgeState, ExposureBounds, RolloutController, Surroundings, TrafficDivision, WaitsFor,
};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::event::Event;
use crate::node::ControlNode;

/// Between two looks at the rollouts in progress.
const JUDGEMENT_INTERVAL: TimeDelta = TimeDelta::from_micros(100_000);
/// How much later each further member has a decision agreed on.
const RANK_DELAY: TimeDelta = TimeDelta::from_micros(400_000);
/// For so long after its stream has ended an edge may still send requests by what it knew.
const LOST_EDGE_TIMEOUT: TimeDelta = TimeDelta::from_micros(2_600_000);

/// A rollout in progress, followed by this member.
pub(crate) struct Followed {
    controller: RolloutController,
    /// Since when a decision is due that was not agreed on yet.
    due_since: Option<Timestamp>,
    /// What it was last said to wait for.
    logged_wait: Option<WaitsFor>,
    /// Tasks of a sharded service whose keys go to the new version, by `InstanceId`.
    pub(crate) replaced: BTreeSet<String>,
}

impl Followed {
    /// By how much a trial by key is to be larger than its share says.
    pub(crate) fn trial_factor(&self) -> f64 {
        self.controller.trial_factor()
    }
}

/// The rollouts that this member knows.
#[derive(Default)]
pub(crate) struct Rollouts {
    /// By service, with the version of the item.
    pub(crate) by_service: BTreeMap<String, (u64, ServiceRollouts)>,
    /// Those in progress, by the number of their order.
    pub(crate) followed: BTreeMap<u64, Followed>,
    last_look: Timestamp,
    last_edge_lost: Option<Timestamp>,
}

impl Rollouts {
    pub(crate) fn edge_lost(&mut self, now: Timestamp) {
        self.last_edge_lost = Some(now);
    }

    /// What a task's version may be sent.
    pub(crate) fn access(&self, task: &Task) -> VersionAccess {
        let rollouts = self.by_service.get(&task.service);
        rollouts.map_or(VersionAccess::Released, |(_, all)| {
            all.access(&task.version)
        })
    }

    pub(crate) fn is_released(&self, task: &Task) -> bool {
        self.access(task) == VersionAccess::Released
    }
}

impl ControlNode {
    /// Reads the rollouts of the items, once for each change of one.
    pub(crate) fn refresh_rollouts(&mut self) {
        let before = std::mem::take(&mut self.rollouts.by_service);
        let all = self.configuration.all_rollouts();
        self.rollouts.by_service = all
            .map(|(service, version, rollouts)| (service.to_owned(), (version, rollouts)))
            .collect();
        let mut changes = Vec::new();
        for (service, (_, rollouts)) in &self.rollouts.by_service {
            let known = before.get(service).map(|(_, rollouts)| rollouts);
            for rollout in &rollouts.rollouts {
                let same = |r: &&Rollout| r.number == rollout.number;
                let was = known.and_then(|all| all.rollouts.iter().find(same));
                if was.is_none_or(|was| (was.state, was.share) != (rollout.state, rollout.share)) {
                    changes.push(Event::RolloutAdvanced {
                        service: service.clone(),
                        version: rollout.target_version.clone(),
                        decision: describe(rollout),
                    });
                }
            }
        }
        changes.into_iter().for_each(|event| self.log(event));
        let open: BTreeSet<u64> = self
            .rollouts
            .by_service
            .values()
            .flat_map(|(_, rollouts)| rollouts.in_progress().map(|rollout| rollout.number))
            .collect();
        self.rollouts
            .followed
            .retain(|number, _| open.contains(number));
    }

    /// Versions of a service that run now, without the one that is to be brought in; none if this member has not heard
    /// of all tasks yet.
    pub(crate) fn running_versions(&self, now: Timestamp, order: &RolloutOrder) -> Vec<String> {
        let registry = &self.instances.registry;
        if !registry.is_complete(now) {
            return Vec::new();
        }
        let tasks = registry.all().map(|known| &known.task);
        let running = tasks.filter(|task| {
            task.service == order.service
                && task.state != TaskState::Gone as i32
                && task.version != order.target_version
        });
        let versions: BTreeSet<&String> = running.map(|task| &task.version).collect();
        versions.into_iter().cloned().collect()
    }

    /// An edge's reports on rollouts.
    pub(crate) fn observe_rollouts(
        &mut self,
        edge: &str,
        incarnation: u64,
        observations: Vec<RolloutObservation>,
    ) {
        for observation in observations {
            if let Some(followed) = self.rollouts.followed.get_mut(&observation.number) {
                followed.controller.observe(edge, incarnation, observation);
            }
        }
    }

    /// Judges rollouts in progress, and has what is due agreed on.
    pub(crate) fn advance_rollouts(&mut self, now: Timestamp) {
        let open = |(_, rollouts): &(u64, ServiceRollouts)| rollouts.in_progress().next().is_some();
        if now - self.rollouts.last_look < JUDGEMENT_INTERVAL
            || !self.rollouts.by_service.values().any(open)
        {
            return;
        }
        self.rollouts.last_look = now;
        let services: Vec<String> = self.rollouts.by_service.keys().cloned().collect();
        for service in services {
            self.advance_service(now, &service);
        }
    }

    fn advance_service(&mut self, now: Timestamp, service: &str) {
        let Some((item_version, rollouts)) = self.rollouts.by_service.get(service).cloned() else {
            return;
        };
        let mut waits_for_earlier = false;
        for rollout in rollouts.in_progress() {
            let surroundings = Surroundings {
                waits_for_earlier,
                item_version,
                ..self.surroundings(now, service, rollout)
            };
            waits_for_earlier = true;
            match self.follow(now, service, rollout, &surroundings) {
                Some(decided) if self.is_next_to_decide(now, service, rollout.number) => {
                    self.order_decision(now, service, rollout, decided);
                }
                Some(_) => {}
                None => self.log_wait(service, rollout),
            }
        }
    }

    fn surroundings(&self, now: Timestamp, service: &str, rollout: &Rollout) -> Surroundings {
        let is_sharded = self.is_sharded(service);
        // Only the owner of a service's shards hands keys over, and knows how far that is.
        let hands_over = !is_sharded || self.owned_services(now).iter().any(|s| s == service);
        let (mut target_tasks, mut other_tasks) = (0, 0);
        for known in self.instances.registry.all() {
            let task = &known.task;
            if task.service != service || task.state != TaskState::Ready as i32 || task.timed_out {
                continue;
            }
            if task.version == rollout.target_version {
                target_tasks += 1;
            } else {
                other_tasks += 1;
            }
        }
        let edge_lost = self.rollouts.last_edge_lost;
        Surroundings {
            edges: self.edges.states(),
            edge_lost_lately: edge_lost.is_some_and(|at| now - at < LOST_EDGE_TIMEOUT),
            target_tasks: if hands_over { target_tasks } else { 0 },
            others_hold_keys: is_sharded && self.others_hold_keys(now, service, rollout),
            other_tasks,
            ..Surroundings::default()
        }
    }

    /// Steps the controller of a rollout.
    fn follow(
        &mut self,
        now: Timestamp,
        service: &str,
        rollout: &Rollout,
        surroundings: &Surroundings,
    ) -> Option<Decided> {
        let bounds = ExposureBounds {
            share: self.options.bounds.exposure_share,
            slack: self.options.bounds.exposure_slack,
        };
        let division = if self.is_sharded(service) {
            TrafficDivision::ByKey
        } else {
            TrafficDivision::ByRequest
        };
        let followed = self.rollouts.followed.entry(rollout.number);
        let followed = followed.or_insert_with(|| Followed {
            controller: RolloutController::new(now, rollout, bounds, division),
            due_since: None,
            logged_wait: None,
            replaced: BTreeSet::new(),
        });
        let decided = followed.controller.step(now, rollout, surroundings);
        if decided.is_none() {
            followed.due_since = None;
        } else {
            followed.due_since.get_or_insert(now);
        }
        decided
    }

    /// A line for each change of what a rollout waits for.
    fn log_wait(&mut self, service: &str, rollout: &Rollout) {
        let Some(followed) = self.rollouts.followed.get_mut(&rollout.number) else {
            return;
        };
        let waits_for = followed.controller.waits_for();
        if followed.logged_wait.replace(waits_for) == Some(waits_for) {
            return;
        }
        self.log(Event::RolloutWaits {
            service: service.to_owned(),
            version: rollout.target_version.clone(),
            waits_for: waits_for.to_string(),
        });
    }

    /// Whether it is this member's turn to have a decision agreed on.
    fn is_next_to_decide(&self, now: Timestamp, service: &str, number: u64) -> bool {
        if !self.in_contact(now) || self.departure.is_some() || !self.is_member() {
            return false;
        }
        if self.ownership.planner(now, service).is_some() {
            return true;
        }
        let rank = |ip: &str| fnv1a(number.to_be_bytes().into_iter().chain(ip.bytes()));
        let mine = rank(&self.options.ip);
        let others = self.other_members();
        let before = others
            .iter()
            .filter(|ip| self.answers_lately(now, ip) && rank(ip) < mine)
            .count();
        let since = self
            .rollouts
            .followed
            .get(&number)
            .and_then(|f| f.due_since);
        since.is_some_and(|since| now - since >= RANK_DELAY.times(before as f64))
    }

    fn order_decision(
        &mut self,
        now: Timestamp,
        service: &str,
        rollout: &Rollout,
        decided: Decided,
    ) {
        let step = RolloutStep {
            service: service.to_owned(),
            number: rollout.number,
            from_share: rollout.share,
            decision: decided.decision,
            elapsed_ms: (decided.elapsed.micros() / 1000).max(0) as u64,
        };
        if self.order_rollout_step(now, step) {
            self.count("rollout-decisions");
            self.log(Event::RolloutDecided {
                service: service.to_owned(),
                version: rollout.target_version.clone(),
                decision: describe_decision(decided.decision),
                reason: decided.reason.to_string(),
            });
        }
    }
}

fn describe(rollout: &Rollout) -> String {
    match rollout.state {
        RolloutState::InProgress => format!("in progress, a share of {:.3}", rollout.share),
        RolloutState::Completed => "completed".to_owned(),
        RolloutState::Reverted => "reverted".to_owned(),
    }
}

fn describe_decision(decision: RolloutDecision) -> String {
    match decision {
        RolloutDecision::Share(share) => format!("a share of {share:.3}"),
        RolloutDecision::Complete => "to complete it".to_owned(),
        RolloutDecision::Revert => "to revert it".to_owned(),
    }
}

impl crate::edges::Edges {
    /// The edges that have a stream to this member.
    fn states(&self) -> Vec<EdgeState> {
        let state = |hello: &lynxmill_protocol::Hello| EdgeState {
            name: hello.name.clone(),
            incarnation: hello.incarnation,
            knows_versions: hello.knows_versions,
        };
        self.hellos().map(state).collect()
    }
}
