//! Keys of sharded services during a rollout. The owner of the shards treats tasks of a version that is not released as
//! draining, so that they get no keys. For a trial it lets a few of them have keys, and treats as many tasks of the
//! versions before as draining, so that their keys go over; in the end it does so with all of them. Keys change hands by
//! the moves that draining tasks bring about in any case.

use std::collections::BTreeSet;

use lynxmill_configuration::{Rollout, VersionAccess, rollout_rank};
use lynxmill_protocol::{Task, TaskState};
use lynxmill_time::Timestamp;

use crate::node::ControlNode;
use crate::rollouts::Followed;

/// The largest part of a service's tasks that one task may be to be replaced for a trial, as a multiple of the share.
const MAX_TRIAL_FACTOR: f64 = 3.0;
/// A task with more than so many times the mean rate is not replaced for a trial: the new version would get more than its
/// share.
const MAX_RELATIVE_RATE: f64 = 1.3;

/// How many of these tasks are replaced at a share, and a factor that makes the trial larger.
fn replaced_count(share: f64, factor: f64, tasks: usize) -> usize {
    let fair = share * tasks as f64;
    if fair * MAX_TRIAL_FACTOR < 1.0 {
        return 0;
    }
    ((fair * factor).ceil() as usize).min(tasks)
}

fn is_ready(task: &Task) -> bool {
    task.state == TaskState::Ready as i32 && !task.timed_out
}

impl ControlNode {
    /// Tasks that are to have no keys, because of a rollout, are told to the placement as draining.
    pub(crate) fn withhold_keys(&mut self, service: &str, tasks: &mut [Task]) {
        let Some((_, rollouts)) = self.rollouts.by_service.get(service) else {
            return;
        };
        let current = rollouts.in_progress().next().cloned();
        let (targets, replaced) = match &current {
            Some(rollout) => self.choose_tasks(service, rollout, tasks),
            None => Default::default(),
        };
        for task in tasks.iter_mut().filter(|task| task.service == service) {
            let may_hold = match self.rollouts.access(task) {
                VersionAccess::Released => !replaced.contains(&task.id),
                VersionAccess::Share(_) => targets.contains(&task.id),
                VersionAccess::Denied => false,
            };
            if !may_hold && task.state == TaskState::Ready as i32 {
                task.state = TaskState::Draining as i32;
            }
        }
    }

    /// Tasks of the new version that are to have keys, and those that they replace.
    fn choose_tasks(
        &mut self,
        service: &str,
        rollout: &Rollout,
        tasks: &[Task],
    ) -> (BTreeSet<String>, BTreeSet<String>) {
        let is_target = |task: &&Task| task.version == rollout.target_version;
        let of_service = tasks.iter().filter(|task| task.service == service);
        let (targets, others): (Vec<&Task>, Vec<&Task>) = of_service
            .filter(|task| is_ready(task))
            .partition(is_target);
        if rollout.share >= 1.0 {
            let ids = |tasks: Vec<&Task>| tasks.into_iter().map(|task| task.id.clone()).collect();
            return (ids(targets), ids(others));
        }
        // The placement gives keys of draining tasks to others than tasks that warm up.
        let mut targets: Vec<&Task> = targets;
        targets.retain(|task| task.warm_up_left_ms == 0);
        targets.sort_by_key(|task| rollout_rank(rollout.number, &task.id));
        let followed = self.rollouts.followed.get(&rollout.number);
        let factor = followed.map_or(1.0, Followed::trial_factor);
        let count = replaced_count(rollout.share, factor, others.len());
        let targets = targets.into_iter().take(count).map(|task| task.id.clone());
        let targets: BTreeSet<String> = targets.collect();
        let replaced = self.replaced_tasks(service, rollout, &others, targets.len());
        (targets, replaced)
    }

    /// Tasks whose keys go to the new version: those that were chosen before, and further ones.
    fn replaced_tasks(
        &mut self,
        service: &str,
        rollout: &Rollout,
        others: &[&Task],
        count: usize,
    ) -> BTreeSet<String> {
        let Some(followed) = self.rollouts.followed.get_mut(&rollout.number) else {
            return BTreeSet::new();
        };
        let replaced = &mut followed.replaced;
        if replaced.len() < count
            && let Some(planner) = self.ownership.planner_mut(service)
        {
            let rates = planner.request_rates();
            let mean = rates.values().sum::<f64>() / others.len().max(1) as f64;
            let rate = |task: &Task| rates.get(task.id.as_str()).copied().unwrap_or(0.0);
            let mut usual: Vec<&&Task> = others
                .iter()
                .filter(|task| rate(task) <= mean * MAX_RELATIVE_RATE)
                .collect();
            usual.sort_by_key(|task| rollout_rank(rollout.number, &task.id));
            let missing = count - replaced.len();
            let further = usual
                .into_iter()
                .filter(|task| !replaced.contains(&task.id));
            let further: Vec<String> = further.take(missing).map(|task| task.id.clone()).collect();
            replaced.extend(further);
        }
        replaced.clone()
    }

    /// Whether tasks of other versions hold keys, or may, as far as this member knows.
    pub(crate) fn others_hold_keys(
        &self,
        now: Timestamp,
        service: &str,
        rollout: &Rollout,
    ) -> bool {
        let Some(planner) = self.ownership.planner(now, service) else {
            return true;
        };
        let registry = &self.instances.registry;
        let is_other = |id: &str| {
            let task = registry.get(id).map(|known| &known.task);
            task.is_some_and(|task| task.version != rollout.target_version)
        };
        planner.holders(now).any(is_other)
    }
}
