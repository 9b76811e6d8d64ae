//! One soak from its start to its report.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use lynxmill_deployment::{BEAT_S, Deployment, Size, ZONES};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::clients::{self, ClientWorld};
use crate::error::SoakError;
use crate::ledger::{Change, Ledger};
use crate::links::Links;
use crate::operators::{HOST, Operator, SERVICES, first_configuration};
use crate::processes::Processes;
use crate::report::Report;
use crate::rollouts::{RolloutEvent, RolloutOperator, TaskVersion};
use crate::rules::{Bounds, check};
use crate::schedule::{Disruption, Planned, draw};
use crate::settings::SoakSettings;
use crate::tasks::{self, TaskEnd, TaskHandle, TaskOptions};
use crate::versions::Versions;

/// The version that tasks run at first.
const FIRST_VERSION: &str = "v1";
/// Until the first configuration is acknowledged and edges are ready.
const START_PATIENCE: Duration = Duration::from_secs(20);
/// Until all keys are granted, and tables are with the edges.
const SETTLE: Duration = Duration::from_secs(2);
/// After the clients, until all is calm again and measured.
const CALM: Duration = Duration::from_secs(4);
/// Tries to read the configuration back.
const READ_BACKS: u32 = 40;
const READ_BACK_PAUSE: Duration = Duration::from_millis(250);
/// Between two looks for processes that have ended by themselves.
const LOOK: Duration = Duration::from_millis(50);
/// A task that has ended is replaced after so long.
const REPLACED_AFTER: Duration = Duration::from_millis(500);
/// `LossSlackS`; the settings files of programs do not have it.
const LOSS_SLACK_S: f64 = 0.2;

/// What a soak runs on.
struct Soak {
    settings: SoakSettings,
    ledger: Arc<Ledger>,
    processes: Processes,
    operator: Arc<Operator>,
    rollouts: Arc<RolloutOperator>,
    /// What tasks are to do about rollouts.
    rollout_events: UnboundedReceiver<RolloutEvent>,
    versions: Versions,
    links: Arc<Links>,
    bounds: Bounds,
    tasks: Vec<Option<TaskHandle>>,
    /// Tasks that are about to end, with their places.
    ending: JoinSet<(usize, TaskOptions)>,
    /// Disruptions under way.
    disruptions: JoinSet<Result<(), SoakError>>,
    next_task: usize,
    next_member: usize,
}

/// Runs one soak with programs from a folder. Nothing of it is left running, also where the future is dropped.
///
/// # Errors
///
/// [`SoakError`] if it can't be run; broken rules are in the report.
pub async fn run(
    settings: &SoakSettings,
    seed: u64,
    programs: &Path,
    keep: bool,
) -> Result<Report, SoakError> {
    run_schedule(settings, seed, &draw(settings, seed), programs, keep).await
}

/// Runs one soak with another schedule than the seed's own.
pub(crate) async fn run_schedule(
    settings: &SoakSettings,
    seed: u64,
    schedule: &[Planned],
    programs: &Path,
    keep: bool,
) -> Result<Report, SoakError> {
    let mut soak = Soak::start(settings, programs, keep).await?;
    soak.measure().await;
    let world = Arc::new(ClientWorld {
        ledger: soak.ledger.clone(),
        fronts: soak.processes.system().fronts(),
        host: HOST,
        over: AtomicBool::new(false),
        seed,
    });
    let mut clients = JoinSet::new();
    for number in 0..settings.clients.0 {
        clients.spawn(clients::run(number, world.clone()));
    }
    soak.play(schedule).await?;
    world.over.store(true, Ordering::Relaxed);
    while clients.join_next().await.is_some() {}
    let seconds = soak.ledger.now();
    soak.settle().await?;
    let records = soak.ledger.records();
    let violations = check(&records, &soak.bounds);
    Ok(Report::new(
        seed,
        seconds,
        &records,
        schedule.to_vec(),
        violations,
    ))
}

impl Soak {
    async fn start(
        settings: &SoakSettings,
        programs: &Path,
        keep: bool,
    ) -> Result<Self, SoakError> {
        let size = Size {
            members: settings.members.0,
            edges: settings.edges.0,
        };
        let programs = programs.to_owned();
        let started = tokio::task::spawn_blocking(move || configured(&programs, size, keep));
        let system = started.await.map_err(std::io::Error::other)??;
        let told = system.bounds();
        let bounds = Bounds {
            contact_s: told.contact_s,
            grace_s: told.grace_s,
            drain_s: told.drain_s,
            evacuate_s: told.evacuate_s,
            config_apply_s: told.config_apply_s,
            loss_slack_s: LOSS_SLACK_S,
            exposure_share: told.exposure_share,
            exposure_slack: told.exposure_slack,
            deadline_s: clients::DEADLINE.as_secs_f64(),
        };
        let ledger = Arc::new(Ledger::default());
        ledger.records().changes.push(Change {
            version: 1,
            service: SERVICES[1],
            sent: 0.0,
            acknowledged: Some(0.0),
        });
        let controls = system.controls();
        let links = Arc::new(Links::open(&controls).await?);
        let options: Vec<TaskOptions> = (0..settings.tasks.0 * SERVICES.len())
            .map(|n| TaskOptions {
                service: SERVICES[n % SERVICES.len()],
                version: FIRST_VERSION.to_owned(),
                is_bad: false,
                zone: ZONES[n / SERVICES.len() % ZONES.len()],
                ip: system.site.task(n),
                controls: controls.clone(),
                beat: Duration::from_secs_f64(BEAT_S),
                drain_s: told.drain_s,
            })
            .collect();
        let mut tasks = Vec::new();
        for options in options {
            tasks.push(Some(tasks::start(options, &ledger, &links).await?));
        }
        let (events, rollout_events) = unbounded_channel();
        let rollouts = Arc::new(RolloutOperator {
            ledger: ledger.clone(),
            controls: controls.clone(),
            links: links.clone(),
            events,
        });
        let operator = Arc::new(Operator::new(ledger.clone(), controls, links.clone()));
        sleep(SETTLE).await;
        Ok(Soak {
            settings: settings.clone(),
            processes: Processes::new(system, ledger.clone(), size, told.grace_s),
            ledger,
            operator,
            rollouts,
            rollout_events,
            versions: Versions::default(),
            links,
            bounds,
            tasks,
            ending: JoinSet::new(),
            disruptions: JoinSet::new(),
            next_task: 0,
            next_member: 0,
        })
    }

    /// Plays the schedule to the end of the soak.
    async fn play(&mut self, schedule: &[Planned]) -> Result<(), SoakError> {
        let began = Instant::now();
        let mut next = schedule.iter().peekable();
        loop {
            self.processes.look();
            self.replace_tasks().await?;
            self.follow_rollouts().await?;
            while let Some(done) = self.disruptions.try_join_next() {
                done.map_err(std::io::Error::other)??;
            }
            let elapsed = began.elapsed().as_secs_f64();
            if elapsed >= self.settings.seconds.0 {
                return Ok(());
            }
            while let Some(planned) = next.next_if(|planned| planned.at_s <= elapsed) {
                self.disrupt(planned.disruption);
            }
            sleep_until(Instant::now() + LOOK).await;
        }
    }

    fn disrupt(&mut self, disruption: Disruption) {
        let processes = self.processes.clone();
        let operator = self.operator.clone();
        self.next_member += 1;
        let member = self.next_member;
        match disruption {
            Disruption::Terminate(machine) => {
                self.disruptions
                    .spawn(async move { processes.terminate(machine).await });
            }
            Disruption::Kill(machine) => {
                self.disruptions
                    .spawn(async move { processes.kill(machine).await });
            }
            Disruption::Freeze(machine, lasts_s) => {
                self.disruptions
                    .spawn(async move { processes.freeze(machine, lasts_s).await });
            }
            Disruption::HangUp(machine) => {
                self.disruptions
                    .spawn(async move { processes.hang_up(machine).await });
            }
            Disruption::Configure => {
                self.disruptions.spawn(async move {
                    operator.change(member).await;
                    Ok(())
                });
            }
            Disruption::Evacuate(zone, lasts_s, times) => {
                self.disruptions.spawn(async move {
                    operator.evacuate(member, zone, lasts_s, times).await;
                    Ok(())
                });
            }
            Disruption::BringIn(planned) => {
                let rollouts = self.rollouts.clone();
                self.disruptions.spawn(async move {
                    rollouts.bring_in(member, planned).await;
                    Ok(())
                });
            }
            Disruption::HoldCalls(held, lasts_s, behind_s) => {
                let lasts = Duration::from_secs_f64(lasts_s);
                let ends_behind = Duration::from_secs_f64(behind_s);
                let links = self.links.clone();
                self.disruptions.spawn(async move {
                    links.hold(held, lasts, ends_behind).await;
                    Ok(())
                });
            }
            Disruption::ResetCalls(member) => self.links.reset(member),
            Disruption::DrainTask => self.end_task(TaskEnd::Drain),
            Disruption::SignOffTask => self.end_task(TaskEnd::SignOffFirst),
            Disruption::CrashTask => self.end_task(TaskEnd::Crash),
        }
    }

    /// Ends the next task in turn, unless it is ending already.
    fn end_task(&mut self, end: TaskEnd) {
        let place = self.next_task % self.tasks.len();
        self.next_task += 1;
        self.end_task_at(place, end);
    }

    fn end_task_at(&mut self, place: usize, end: TaskEnd) {
        let Some(task) = self.tasks[place].take() else {
            return;
        };
        self.ending.spawn(async move {
            let _ = task.end.send(end);
            let _ = task.finished.await;
            sleep(REPLACED_AFTER).await;
            (place, task.options)
        });
    }

    async fn replace_tasks(&mut self) -> Result<(), SoakError> {
        while let Some(ended) = self.ending.try_join_next() {
            let (place, options) = ended.map_err(std::io::Error::other)?;
            if self.versions.is_wanted(&options) {
                self.tasks[place] = Some(tasks::start(options, &self.ledger, &self.links).await?);
            }
        }
        Ok(())
    }

    /// Starts and ends tasks as rollouts go.
    async fn follow_rollouts(&mut self) -> Result<(), SoakError> {
        while let Ok(event) = self.rollout_events.try_recv() {
            self.versions.follow(&event);
            match event {
                RolloutEvent::Acknowledged(version) => self.start_version(&version).await?,
                RolloutEvent::Completed(_) => self.end_unwanted(TaskEnd::Crash),
                RolloutEvent::Reverted(_) => self.end_unwanted(TaskEnd::Drain),
            }
        }
        Ok(())
    }

    /// As many tasks of a version as there are others of its service.
    async fn start_version(&mut self, version: &TaskVersion) -> Result<(), SoakError> {
        let running = self.tasks.iter().flatten().map(|task| &task.options);
        let of_service = running.filter(|options| options.service == version.service);
        let new: Vec<TaskOptions> = of_service
            .map(|options| TaskOptions {
                version: version.version.clone(),
                is_bad: version.is_bad,
                ..options.clone()
            })
            .collect();
        for options in new {
            let task = tasks::start(options, &self.ledger, &self.links).await?;
            self.tasks.push(Some(task));
        }
        Ok(())
    }

    /// Ends tasks of versions that are not to run any more.
    fn end_unwanted(&mut self, end: TaskEnd) {
        for place in 0..self.tasks.len() {
            let unwanted = |task: &TaskHandle| !self.versions.is_wanted(&task.options);
            if self.tasks[place].as_ref().is_some_and(unwanted) {
                self.end_task_at(place, end);
            }
        }
    }

    /// Waits until all disruptions are over and all is calm, reads the configuration back and measures.
    async fn settle(&mut self) -> Result<(), SoakError> {
        while !self.disruptions.is_empty() {
            while let Some(done) = self.disruptions.try_join_next() {
                done.map_err(std::io::Error::other)??;
            }
            self.follow_rollouts().await?;
            sleep(LOOK).await;
        }
        sleep(CALM).await;
        self.rollouts.read_back().await;
        self.processes.look();
        for _ in 0..READ_BACKS {
            let read_back = self.operator.read_back().await;
            if read_back.is_some() {
                self.ledger.records().read_back = read_back;
                break;
            }
            sleep(READ_BACK_PAUSE).await;
        }
        self.measure().await;
        self.end_all_tasks().await
    }

    /// Notes what all processes use.
    async fn measure(&self) {
        let callers = self.operator.callers_by_member().await;
        self.processes.measure(&callers);
    }

    async fn end_all_tasks(&mut self) -> Result<(), SoakError> {
        let tasks: Vec<TaskHandle> = self.tasks.iter_mut().filter_map(Option::take).collect();
        for task in tasks {
            let _ = task.end.send(TaskEnd::Crash);
            task.finished.await.map_err(std::io::Error::other)?;
        }
        while let Some(ended) = self.ending.join_next().await {
            ended.map_err(std::io::Error::other)?;
        }
        Ok(())
    }
}

/// A system with its first configuration, whose edges are ready.
fn configured(programs: &Path, size: Size, keep: bool) -> Result<Deployment, SoakError> {
    let mut system = Deployment::start_with(programs, size).map_err(SoakError::Deployment)?;
    system.keep = keep;
    let (by, answer) = system
        .configure(&first_configuration(), START_PATIENCE)
        .map_err(SoakError::Deployment)?;
    if answer.status != 200 {
        let text = format!("{by} answers {}: {}", answer.status, answer.body.trim());
        return Err(SoakError::Deployment(text));
    }
    system
        .wait_ready(START_PATIENCE)
        .map_err(SoakError::Deployment)?;
    Ok(system)
}
