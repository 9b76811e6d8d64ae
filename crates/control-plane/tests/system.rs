//! The whole system as real processes on loopback. The edge proxy is taken from beside the control plane,
//! where a test of the workspace builds both.

use std::path::Path;
use std::time::Duration;

use lynxmill_operator::{
    Deployment, HOST, Kind, Machine, Sent, Task, agent, by, configuration, get, kinds, patch, send,
    tasks,
};
use serde_json::{Value, json};

const PATIENCE: Duration = Duration::from_secs(30);

fn programs() -> &'static Path {
    let folder = Path::new(env!("CARGO_BIN_EXE_lynxmill-control-plane"))
        .parent()
        .expect("a folder");
    let edge_proxy = folder.join("lynxmill-edge-proxy");
    assert!(
        edge_proxy.is_file(),
        "{}: `cargo build -p lynxmill-edge-proxy`, or test the whole workspace",
        edge_proxy.display()
    );
    folder
}

/// What stands as a member reads it back, its lists in order of names.
fn read_back(control: &str) -> Option<Value> {
    get(control, "/v1/configuration")
        .ok()
        .filter(|answer| answer.status == 200)?
        .json()
        .ok()
}

/// A call's items as they are to be read back.
fn laid_out(call: &Value) -> Value {
    let mut whole = call["Upsert"].clone();
    for list in ["Routes", "Services"] {
        let rows = whole[list].as_array_mut().expect("a list");
        rows.sort_by_key(|row| row["Name"].as_str().map(str::to_owned));
    }
    whole
}

/// A route that serves at another path.
fn route(name: &str, version: &str, service: &str) -> Value {
    json!({"Upsert": {"Routes": [{
        "Name": format!("r-{name}"), "Host": HOST, "PathPrefix": format!("/{name}/"), "RouteKind": "idempotent",
        "TimeoutS": 5.0, "TargetS": 1.0, "Priority": 1, "Service": service, "MaxAttempts": 2, "HomeRegions": [],
        "Version": version,
    }]}})
}

fn read(prefix: &'static str) -> Kind {
    Kind {
        prefix,
        ..kinds()[0]
    }
}

struct Running {
    system: Deployment,
    tasks: Vec<Task>,
}

/// A system that has acknowledged its first configuration and whose edges are ready.
fn started() -> Running {
    let mut system = Deployment::start(programs()).expect("the system starts");
    let tasks = tasks(&system).expect("tasks start");
    let (by, answer) = system
        .configure(&configuration(), PATIENCE)
        .expect("an answer");
    assert_eq!(answer.status, 200, "{by}: {}", answer.body);
    system.wait_ready(PATIENCE).expect("edges are ready");
    Running { system, tasks }
}

impl Running {
    /// Sends until one is served; a request may be refused while tables and slices come.
    fn served(&mut self, front: &str, kind: &Kind) -> Sent {
        let mut last = None;
        let what = format!("{} at {front}", kind.name);
        let waited = self.system.wait(&what, PATIENCE, || {
            let sent = send(front, kind).ok();
            let served = sent.as_ref().is_some_and(Sent::served);
            last = sent;
            served
        });
        waited.unwrap_or_else(|fault| panic!("{fault}; the last answer: {last:?}"));
        last.expect("an answer")
    }

    fn reads_back(&mut self, n: usize, wanted: &Value) {
        let control = self.system.controls()[n].clone();
        let mut last = None;
        let waited = self.system.wait("it reads back all", PATIENCE, || {
            last = read_back(&control);
            last.as_ref() == Some(wanted)
        });
        waited.unwrap_or_else(|fault| panic!("{fault}; the last: {last:?}, wanted: {wanted}"));
    }
}

#[test]
fn requests_of_each_kind_are_served_and_run_once() {
    let mut running = started();
    for front in running.system.fronts() {
        for kind in &kinds() {
            for _ in 0..8 {
                let sent = running.served(&front, kind);
                let wanted = format!(
                    "ran {} {} with {} bytes",
                    kind.method, sent.path, kind.bytes
                );
                assert!(sent.answer.body.contains(&wanted), "{sent:?}");
            }
        }
    }
    let runs = running.tasks.iter().flat_map(Task::runs);
    let mut by_attempt = std::collections::BTreeMap::<String, u32>::new();
    runs.for_each(|(attempt, times)| *by_attempt.entry(attempt).or_default() += times);
    let twice: Vec<_> = by_attempt.iter().filter(|(_, times)| **times > 1).collect();
    assert!(
        twice.is_empty(),
        "no task failed, yet these ran more than once: {twice:?}"
    );
    // Each key has one owner, once no slice is on its way.
    let tasks = &running.tasks;
    let held = || tasks.iter().map(Task::keys).sum::<usize>() == 65_536;
    running
        .system
        .wait("each key has one owner", PATIENCE, held)
        .expect("owners");
}

#[test]
fn an_invalid_change_is_refused_by_one_and_in_force_nowhere() {
    let mut running = started();
    let controls = running.system.controls();
    let wanted = laid_out(&configuration());
    let invalid = route("bad", "00000009", "nobody");
    let refused = patch(&controls[0], &invalid).expect("an answer");
    assert_eq!(refused.status, 400, "{}", refused.body);
    assert!(refused.body.contains("nobody"), "{}", refused.body);
    // Part of it is valid: it is refused whole.
    let mut mixed = route("half", "00000009", "mill");
    mixed["Remove"] = json!({"Services": [{"Name": "sorter", "Version": "00000009"}]});
    assert_eq!(patch(&controls[1], &mixed).expect("an answer").status, 400);
    for n in 0..controls.len() {
        running.reads_back(n, &wanted);
    }
    // A later change reaches all edges; by then nothing of those that were refused has.
    let (_, taken) = running
        .system
        .configure(&route("good", "0000000a", "mill"), PATIENCE)
        .expect("an answer");
    assert_eq!(taken.status, 200, "{}", taken.body);
    for front in running.system.fronts() {
        running.served(&front, &read("/good/"));
        for prefix in ["/bad/", "/half/"] {
            assert_eq!(
                send(&front, &read(prefix))
                    .expect("an answer")
                    .answer
                    .status,
                404,
                "{prefix}"
            );
        }
    }
}

#[test]
fn a_configuration_outlives_a_killed_member_and_a_kill_of_all() {
    let mut running = started();
    let front = running.system.fronts()[0].clone();
    running.system.kill(Machine::Member(0));
    // Two of three acknowledge.
    let (_, taken) = running
        .system
        .configure(&route("later", "00000002", "mill"), PATIENCE)
        .expect("an answer");
    assert_eq!(taken.status, 200, "{}", taken.body);
    running.served(&front, &read("/later/"));
    let mut whole = configuration();
    let later = route("later", "00000002", "mill")["Upsert"]["Routes"][0].clone();
    whole["Upsert"]["Routes"]
        .as_array_mut()
        .expect("a list")
        .push(later);
    let wanted = laid_out(&whole);
    running
        .system
        .restart(Machine::Member(0))
        .expect("it starts again");
    for n in 0..3 {
        running.reads_back(n, &wanted);
    }
    // With nobody left to ask, what is read back is what the disks hold.
    (0..3).for_each(|n| running.system.kill(Machine::Member(n)));
    assert!(read_back(&running.system.controls()[1]).is_none());
    for kind in kinds().iter().filter(|kind| !kind.keyed) {
        let sent = send(&front, kind).expect("an edge goes on by what it has");
        assert!(sent.served(), "{sent:?}");
    }
    (0..3).for_each(|n| {
        running
            .system
            .restart(Machine::Member(n))
            .expect("it starts again")
    });
    for n in 0..3 {
        running.reads_back(n, &wanted);
    }
    for kind in &kinds() {
        running.served(&front, kind);
    }
}

/// A beat that was overtaken on its way, but says first of all that its task drains.
#[test]
fn an_overtaken_beat_that_drains_is_told_before_it_is_acknowledged() {
    let mut running = started();
    let fronts = running.system.fronts();
    let kind = kinds()[0];
    let leaver = &running.tasks[0];
    let (id, service, zone) = (
        leaver.id().to_owned(),
        leaver.service().to_owned(),
        leaver.zone().to_owned(),
    );
    let body = json!({
        "Address": leaver.address,
        "Info": {"Service": service, "Version": "v1", "Zone": zone, "Slots": 4},
        "Status": {"State": "draining", "CallSeq": 0, "ColdLeftS": 0},
    });
    // Whoever hears it has heard later beats of the task.
    let ran = |sent: &Sent| sent.served() && sent.answer.body.contains(&id);
    let mut met = running.served(&fronts[0], &kind);
    for _ in 0..40 {
        if ran(&met) {
            break;
        }
        met = running.served(&fronts[0], &kind);
    }
    assert!(ran(&met), "{id} serves before: {met:?}");
    let (control, path) = (
        running.system.controls()[0].clone(),
        format!("/v1/instances/{id}"),
    );
    let answer = by(
        &agent(PATIENCE),
        "PUT",
        &control,
        &path,
        body.to_string().into_bytes(),
    )
    .expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.body);
    let mut left = 0;
    let waited = running.system.wait("edges leave it", PATIENCE, || {
        let all: Vec<Sent> = fronts
            .iter()
            .filter_map(|front| send(front, &kind).ok())
            .collect();
        left = if all.iter().any(ran) { 0 } else { left + 1 };
        left >= 30
    });
    waited.unwrap_or_else(|fault| panic!("{fault}"));
}

/// Two operators, two nodes, one number, at the same time: one is confirmed, the other refused; and what is
/// sent again is answered as before.
#[test]
fn two_contents_under_one_version_are_never_both_confirmed() {
    let running = started();
    let controls = running.system.controls();
    for round in 0..12 {
        let version = format!("{:08x}", 0x100 + round);
        let orders = ["mill", "sorter"].map(|service| route("raced", &version, service));
        let told: Vec<u16> = std::thread::scope(|scope| {
            let sent = orders.iter().zip(&controls);
            let sent: Vec<_> = sent
                .map(|(order, control)| scope.spawn(|| patch(control, order).expect("an answer")))
                .collect();
            sent.into_iter()
                .map(|thread| thread.join().expect("a thread").status)
                .collect()
        });
        let confirmed = told.iter().filter(|status| **status == 200).count();
        assert!(confirmed <= 1, "round {round}: {told:?}");
        for (order, status) in orders
            .iter()
            .zip(&told)
            .filter(|(_, status)| **status < 500)
        {
            let again = patch(&controls[2], order).expect("an answer");
            assert!(
                again.status == *status || again.status == 503,
                "round {round}: {told:?}, {again:?}"
            );
        }
    }
}
