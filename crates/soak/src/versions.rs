//! Which versions of services tasks are to run.

use std::collections::BTreeMap;

use crate::rollouts::RolloutEvent;
use crate::tasks::TaskOptions;

/// The versions of each service that has had a rollout.
#[derive(Debug, Default)]
pub(crate) struct Versions {
    /// The version that has taken over last, by service.
    released: BTreeMap<&'static str, String>,
    /// The version that is being brought in, by service.
    in_progress: BTreeMap<&'static str, String>,
    /// Versions that were taken back.
    reverted: Vec<(&'static str, String)>,
}

impl Versions {
    pub(crate) fn follow(&mut self, event: &RolloutEvent) {
        match event {
            RolloutEvent::Acknowledged(new) => {
                self.in_progress.insert(new.service, new.version.clone());
            }
            RolloutEvent::Completed(new) => {
                self.in_progress.remove(new.service);
                self.released.insert(new.service, new.version.clone());
            }
            RolloutEvent::Reverted(new) => {
                self.in_progress.remove(new.service);
                self.reverted.push((new.service, new.version.clone()));
            }
        }
    }

    /// Whether a task is to run.
    pub(crate) fn is_wanted(&self, options: &TaskOptions) -> bool {
        let is = |known: Option<&String>| known == Some(&options.version);
        let version = (options.service, options.version.clone());
        let service = options.service;
        if self.reverted.contains(&version) {
            return false;
        }
        let released = self.released.get(service);
        released.is_none() || is(released) || is(self.in_progress.get(service))
    }
}
