//! Reports are made once a second and go to every member.

use std::collections::BTreeMap;
use std::time::Duration;

use lynxmill_protocol::LoadReport;
use tokio::time::Instant;

use crate::app::App;

/// What was made and sent.
#[derive(Default)]
pub struct LoadReports {
    last_made: Option<Instant>,
    /// The newest report and its number.
    newest: Option<(u64, LoadReport)>,
    sent_to: BTreeMap<String, u64>,
    shard_owners: BTreeMap<String, String>,
}

impl LoadReports {
    /// The report that is due to a member, if one is.
    pub fn due(&mut self, app: &App, member: &str, every: Duration) -> Option<LoadReport> {
        if self.last_made.is_none_or(|at| at.elapsed() >= every) {
            self.last_made = Some(Instant::now());
            let number = self.newest.as_ref().map_or(0, |(number, _)| *number) + 1;
            self.newest = Some((
                number,
                app.load_balancer.borrow_mut().take_report(app.now()),
            ));
        }
        let (number, report) = self.newest.as_ref()?;
        let sent = self.sent_to.insert(member.to_owned(), *number);
        if sent == Some(*number) {
            return None;
        }
        // Who has custody of nothing gets no loads: that the edge is there, and how rollouts do.
        let custodian = self.shard_owners.values().any(|of| of == member);
        Some(if custodian {
            report.clone()
        } else {
            LoadReport {
                interval_ms: report.interval_ms,
                rollouts: report.rollouts.clone(),
                ..LoadReport::default()
            }
        })
    }

    /// A member told a service's table: it has custody.
    pub fn set_shard_owner(&mut self, service: &str, member: &str) {
        if self.shard_owners.get(service).is_none_or(|of| of != member) {
            self.shard_owners
                .insert(service.to_owned(), member.to_owned());
        }
    }
}
