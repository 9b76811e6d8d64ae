//! Orders to bring a new version of a service in, on real processes.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use lynxmill_operator::rollout::{self, RolloutError};
use lynxmill_operator::{
    Deployment, FIRST_VERSION, Machine, Task, TaskOptions, agent, by_following, kinds, send, tasks,
};
use rstest::rstest;

use common::{PATIENCE, configured};

const SERVICE: &str = "mill";
const ORDER: &[u8] = br#"{"Service":"mill","TargetVersion":"v2","DurationS":12}"#;

/// Guards against SHORT: rollouts that no member acknowledged.
#[test]
fn a_rollout_order_is_acknowledged_and_read_back_at_every_member() {
    let system = configured();
    let caller = agent(PATIENCE);
    let first = by_following(
        &caller,
        "POST",
        &system.controls()[0],
        "/v1/rollouts",
        ORDER,
    );
    let first = first.expect("an answer");
    assert_eq!(first.status, 200, "{}", first.body);
    for control in &system.controls() {
        let path = format!("/v1/rollouts/{SERVICE}");
        let answer = by_following(&caller, "GET", control, &path, b"").expect("an answer");
        assert_eq!(answer.status, 200, "{control}: {}", answer.body);
        let state = answer.json().expect("JSON");
        assert_eq!(state["State"], "in_progress", "{control}");
        assert_eq!(state["TargetVersion"], "v2", "{control}");
    }
}

const TERM: Duration = Duration::from_secs(14);
const CLIENTS: usize = 12;
/// Between two requests of a client.
const PAUSE: Duration = Duration::from_millis(20);
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const NEW_VERSION: &str = "v2";

/// Clients that send requests to a service until they are dropped.
struct Clients {
    end: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Clients {
    fn start(system: &Deployment) -> Self {
        let end = Arc::new(AtomicBool::new(false));
        let fronts = system.fronts();
        let start = |n: usize| {
            let (end, front) = (end.clone(), fronts[n % fronts.len()].clone());
            std::thread::spawn(move || {
                while !end.load(Ordering::Relaxed) {
                    // What becomes of single requests is not what is tested here.
                    let _ = send(&front, &kinds()[0]);
                    std::thread::sleep(PAUSE);
                }
            })
        };
        let threads = (0..CLIENTS).map(start).collect();
        Clients { end, threads }
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        self.threads
            .drain(..)
            .for_each(|thread| drop(thread.join()));
    }
}

/// As many tasks of the new version as of the one before.
fn new_tasks(system: &Deployment, before: &[Task], fails_after: Option<Duration>) -> Vec<Task> {
    let of_service = before.iter().filter(|task| task.service() == SERVICE);
    let start = |(n, zone): (usize, &'static str)| {
        let options = TaskOptions {
            service: SERVICE,
            version: NEW_VERSION,
            fails_after,
            zone,
            sharded: false,
            ip: system.site.task(before.len() + n),
            controls: system.controls(),
            beat: Duration::from_millis(500),
        };
        Task::start(options).expect("a task starts")
    };
    let zones = ["north", "south"];
    of_service
        .zip(zones)
        .map(|(_, zone)| zone)
        .enumerate()
        .map(start)
        .collect()
}

fn runs(tasks: &[Task], version: &str) -> usize {
    let of_service = tasks.iter().filter(|task| task.service() == SERVICE);
    let of_version = of_service.filter(|task| task.version() == version);
    of_version.map(|task| task.runs().len()).sum()
}

#[rstest]
#[case::sound(None, None, true)]
#[case::bad(Some(0.0), None, false)]
#[case::bad_later_and_a_member_killed(Some(3.0), Some(0), false)]
fn a_version_is_completed_or_taken_back(
    #[case] fails_after_s: Option<f64>,
    #[case] killed: Option<usize>,
    #[case] completed: bool,
) {
    let mut system = configured();
    system.wait_ready(PATIENCE).expect("edges are ready");
    let mut all = tasks(&system).expect("tasks start");
    let clients = Clients::start(&system);
    let controls = system.controls();
    rollout::start(&controls, SERVICE, NEW_VERSION, TERM).expect("an acknowledged order");
    let fails_after = fails_after_s.map(Duration::from_secs_f64);
    all.extend(new_tasks(&system, &all, fails_after));
    if let Some(member) = killed {
        system.kill(Machine::Member(member));
    }
    let mut told = Vec::new();
    let end = rollout::watch(&controls, SERVICE, NEW_VERSION, |status| {
        told.push(status.state.clone());
    });
    assert_eq!(end.expect("an end"), completed, "{told:?}");
    drop(clients);
    let (new, old) = (runs(&all, NEW_VERSION), runs(&all, FIRST_VERSION));
    if completed {
        assert!(new > old / 10, "{new} of {} requests", new + old);
    } else {
        // Clients would have gone on to the term.
        let allowed = (new + old) as f64 * EXPOSURE_SHARE + EXPOSURE_SLACK;
        assert!(new as f64 <= allowed, "{new} of {} requests", new + old);
    }
    let newest = rollout::status(&controls, SERVICE).expect("a rollout");
    assert_eq!(newest.version, NEW_VERSION);
    let other = rollout::start(&controls, "unknown", NEW_VERSION, TERM);
    assert!(
        matches!(other, Err(RolloutError::Refused(400, _))),
        "{other:?}"
    );
}
