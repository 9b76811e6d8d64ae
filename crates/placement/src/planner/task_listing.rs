//! Which tasks the assigner is told of, and since when they have run.

use lynxmill_assigner::{Listing, Standing};
use lynxmill_protocol::{Task, TaskState};
use lynxmill_time::{TimeDelta, Timestamp};

use super::PlacementPlanner;

impl PlacementPlanner {
    pub(super) fn listings(
        &mut self,
        now: Timestamp,
        tasks: &[Task],
        empty: &dyn Fn(&str) -> bool,
    ) -> Vec<Listing> {
        let mut listed = Vec::new();
        let service = self.parameters.service.clone();
        for task in tasks.iter().filter(|t| t.service == service) {
            let standing = match TaskState::try_from(task.state) {
                Ok(TaskState::Ready) if task.timed_out => Standing::Gone,
                Ok(TaskState::Ready) if empty(&task.zone) => Standing::Draining,
                Ok(TaskState::Ready) => Standing::Ready,
                Ok(TaskState::Draining) => Standing::Draining,
                _ => Standing::Gone,
            };
            let started = (task.warm_up_left_ms > 0).then(|| {
                let left = i64::from(task.warm_up_left_ms) * 1000;
                now + TimeDelta::from_micros(left - self.parameters.warm_up.micros())
            });
            let before = self.listed.get(&task.id).copied();
            // A start is known to the moment only once; what later beats tell differs by their way.
            let started = match (before, started) {
                (Some((_, Some(was))), Some(new)) if (new - was).secs().abs() < 1.0 => Some(was),
                (Some((_, was)), None) => was,
                (_, new) => new,
            };
            if before == Some((standing, started)) {
                continue;
            }
            self.listed.insert(task.id.clone(), (standing, started));
            let number = self.lease_holder(&task.id).number;
            let size = Some(f64::from(task.slots.max(1)));
            listed.push(Listing {
                task: number,
                lot: number,
                standing,
                size,
                started,
            });
        }
        listed
    }

    /// How many of these tasks can be given keys.
    pub(super) fn ready_count(&self, tasks: &[Task]) -> usize {
        let ready = |task: &&Task| {
            task.service == self.parameters.service
                && task.state == TaskState::Ready as i32
                && !task.timed_out
        };
        tasks.iter().filter(ready).count()
    }

    /// Whether tasks may still be missing after the first one: else all that nobody has owned yet
    /// would go to the first task that sends a heartbeat.
    pub(super) fn is_gathering(&mut self, now: Timestamp, tasks: &[Task]) -> bool {
        if self.slices.iter().any(|p| !p.slice.owner.is_empty()) {
            return false;
        }
        if self.first_listed.is_none() && tasks.iter().any(|t| t.service == self.parameters.service)
        {
            self.first_listed = Some(now);
        }
        self.first_listed
            .is_none_or(|at| now - at < self.parameters.heartbeat_grace)
    }
}
