//! What is done to the processes of the system, and what they use.

use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use lynxmill_deployment::{Deployment, Machine, Signal, Size};
use tokio::time::{Instant, sleep};

use crate::error::SoakError;
use crate::ledger::{Ledger, MachineEvent, Usage};

/// Between two looks at a process that is to end.
const POLL: Duration = Duration::from_millis(20);
/// How long a settings file is only half there.
const HALF_WRITTEN: Duration = Duration::from_millis(60);
/// A killed process starts again after so long.
const DOWN: Duration = Duration::from_millis(400);
const BYTES_IN_MB: f64 = 1_048_576.0;
const PAGE_BYTES: f64 = 4096.0;

/// The processes of a system.
#[derive(Clone)]
pub(crate) struct Processes {
    system: Arc<Mutex<Deployment>>,
    ledger: Arc<Ledger>,
    size: Size,
    grace: Duration,
}

impl Processes {
    pub(crate) fn new(system: Deployment, ledger: Arc<Ledger>, size: Size, grace_s: f64) -> Self {
        Processes {
            system: Arc::new(Mutex::new(system)),
            ledger,
            size,
            grace: Duration::from_secs_f64(grace_s),
        }
    }

    pub(crate) fn system(&self) -> MutexGuard<'_, Deployment> {
        self.system.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, machine: Machine, event: MachineEvent) {
        let now = self.ledger.now();
        self.ledger.records().machine(machine, now, event);
    }

    fn signal(&self, machine: Machine, signal: Signal) -> Result<(), SoakError> {
        let sent = self.system().signal(machine, signal);
        sent.map_err(SoakError::Deployment)
    }

    fn start(&self, machine: Machine) -> Result<(), SoakError> {
        self.note(machine, MachineEvent::Started);
        let started = self.system().restart(machine);
        started.map_err(SoakError::Deployment)
    }

    /// SIGTERM, SIGKILL at the end of the grace, and a new start.
    pub(crate) async fn terminate(&self, machine: Machine) -> Result<(), SoakError> {
        self.note(machine, MachineEvent::Terminated);
        self.signal(machine, Signal::TERM)?;
        let until = Instant::now() + self.grace;
        loop {
            let exit = self.system().exit(machine);
            if let Some(status) = exit {
                let event = if status.success() {
                    MachineEvent::Ended
                } else {
                    MachineEvent::EndedBadly
                };
                self.note(machine, event);
                break;
            }
            if Instant::now() >= until {
                self.note(machine, MachineEvent::OutlastedGrace);
                break;
            }
            sleep(POLL).await;
        }
        self.system().kill(machine);
        self.start(machine)
    }

    /// SIGKILL, and a new start.
    pub(crate) async fn kill(&self, machine: Machine) -> Result<(), SoakError> {
        self.note(machine, MachineEvent::Killed);
        self.system().kill(machine);
        sleep(DOWN).await;
        self.start(machine)
    }

    /// SIGSTOP, and SIGCONT after some seconds.
    pub(crate) async fn freeze(&self, machine: Machine, lasts_s: f64) -> Result<(), SoakError> {
        self.note(machine, MachineEvent::Frozen);
        self.signal(machine, Signal::STOP)?;
        sleep(Duration::from_secs_f64(lasts_s)).await;
        self.note(machine, MachineEvent::Thawed);
        self.signal(machine, Signal::CONT)
    }

    /// SIGHUP while the settings file is half written, and once more when it is whole.
    pub(crate) async fn hang_up(&self, machine: Machine) -> Result<(), SoakError> {
        self.note(machine, MachineEvent::HungUp);
        let path = self.system().settings_path(machine);
        let whole = std::fs::read(&path)?;
        std::fs::write(&path, &whole[..whole.len() / 2])?;
        let sent = self.signal(machine, Signal::HUP);
        sleep(HALF_WRITTEN).await;
        std::fs::write(&path, &whole)?;
        sent?;
        self.signal(machine, Signal::HUP)
    }

    /// Notes processes that ended by themselves, each once.
    pub(crate) fn look(&self) {
        for machine in self.size.machines() {
            let exited = self.system().exit(machine).is_some();
            let mut records = self.ledger.records();
            let events = records
                .machines
                .get(&machine)
                .map_or(&[][..], Vec::as_slice);
            let runs = !matches!(
                events.last(),
                Some((
                    _,
                    MachineEvent::Terminated
                        | MachineEvent::Killed
                        | MachineEvent::Ended
                        | MachineEvent::EndedBadly
                        | MachineEvent::OutlastedGrace
                        | MachineEvent::EndedByItself
                ))
            );
            if exited && runs {
                let now = self.ledger.now();
                records.machine(machine, now, MachineEvent::EndedByItself);
            }
        }
    }

    /// Notes what all processes use; `callers` are the connections of tasks and operators at each member.
    pub(crate) fn measure(&self, callers: &[usize]) {
        let at = self.ledger.now();
        for machine in self.size.machines() {
            let Some(id) = self.system().process_id(machine) else {
                continue;
            };
            let callers = match machine {
                Machine::Member(n) => callers.get(n).copied().unwrap_or_default(),
                Machine::Edge(_) => 0,
            };
            if let Some(usage) = usage_of(id, at, callers) {
                let mut records = self.ledger.records();
                records.usage.entry((machine, id)).or_default().push(usage);
            }
        }
    }
}

fn usage_of(process: u32, at: f64, callers: usize) -> Option<Usage> {
    let folder = Path::new("/proc").join(process.to_string());
    let descriptors = std::fs::read_dir(folder.join("fd")).ok()?.count();
    let statm = std::fs::read_to_string(folder.join("statm")).ok()?;
    let pages: f64 = statm.split_whitespace().nth(1)?.parse().ok()?;
    Some(Usage {
        at,
        descriptors,
        callers,
        resident_mb: pages * PAGE_BYTES / BYTES_IN_MB,
    })
}
