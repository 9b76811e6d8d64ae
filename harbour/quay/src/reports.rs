//! Reports are made once a second and go to every member.

use std::collections::BTreeMap;
use std::time::Duration;

use lynxmill_tidings::Report;
use tokio::time::Instant;

use crate::app::App;

#[derive(Default)]
pub struct Reports {
    made: Option<Instant>,
    /// The newest report and its number.
    newest: Option<(u64, Report)>,
    sent: BTreeMap<String, u64>,
}

impl Reports {
    pub fn due(&mut self, app: &App, member: &str, every: Duration) -> Option<Report> {
        if self.made.is_none_or(|at| at.elapsed() >= every) {
            self.made = Some(Instant::now());
            let number = self.newest.as_ref().map_or(0, |(number, _)| *number) + 1;
            self.newest = Some((number, app.pilot.borrow_mut().report(app.now())));
        }
        let (number, report) = self.newest.as_ref()?;
        let sent = self.sent.insert(member.to_owned(), *number);
        (sent != Some(*number)).then(|| report.clone())
    }
}
