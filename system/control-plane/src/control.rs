//! PendingChanges of tasks and operators, each declared beside its handler.

use std::io::Read;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use lynxmill_configuration::{ConfigurationChange, ValidationError, evacuation, evacuation_key};
use lynxmill_consensus::{BallotRound, Decision, validate};
use lynxmill_placement::Told;
use lynxmill_protocol::{InstanceReport, PeerRequest, PendingChanges, State, Task, Tasks, ToEdgeBody};
use lynxmill_storage::Batch;
use prost::Message;
use rouille::{Request, Response};
use serde::{Deserialize, Serialize};

use crate::agree::{AgreementError, ProposalDecision};
use crate::port::{ControlPlane, lock};

pub const CALLS: &str = "calls";
/// Callers wait a second; a change of many items may take longer.
const PATIENCE: Duration = Duration::from_millis(900);
const FOR_MANY: Duration = Duration::from_millis(2_500);
/// How long another member may take to have a drain.
const SECOND: Duration = Duration::from_millis(350);
/// The longest body that is read, in bytes.
const LONGEST: u64 = 16 << 20;

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
struct Refused {
    error: String,
}

fn refused(status: u16, error: impl ToString) -> Response {
    Response::json(&Refused { error: error.to_string() }).with_status_code(status)
}

fn unavailable(why: &str) -> Response {
    refused(503, why)
}

fn body(request: &Request) -> Result<Vec<u8>, Response> {
    let length = request.header("Content-Length").and_then(|v| v.parse::<usize>().ok());
    let mut bytes = Vec::new();
    let Some(reader) = request.data() else { return Err(refused(400, "the body has been read")) };
    if reader.take(LONGEST + 1).read_to_end(&mut bytes).is_err() {
        return Err(refused(400, "the body can't be read in full"));
    }
    if bytes.len() as u64 > LONGEST {
        return Err(refused(413, "the body is too long"));
    }
    if length.is_some_and(|length| length != bytes.len()) {
        return Err(refused(400, "the body is cut short"));
    }
    Ok(bytes)
}

// --- tasks ---

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Info {
    service: String,
    zone: String,
    #[serde(default)]
    version: String,
    #[serde(default)]
    slots: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Status {
    state: String,
    call_seq: u64,
    #[serde(default)]
    cold_left_s: f64,
}

/// `PUT /v1/instances/ID`: a task's beat.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Beat {
    address: String,
    info: Info,
    status: Status,
    /// From, to, fence.
    #[serde(default)]
    holdings: Vec<(u32, u32, u64)>,
    /// From, to, handover.
    #[serde(default)]
    released: Vec<(u32, u32, String)>,
}

/// Its answer; `Holdings` are from, to, fence, handover.
#[derive(Default, Serialize)]
#[serde(rename_all = "PascalCase")]
struct BeatAnswer {
    #[serde(skip_serializing_if = "Option::is_none")]
    beat_target: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    holdings: Option<Vec<(u32, u32, u64, String)>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    hold_s: Option<f64>,
}

fn beat(port: &Arc<ControlPlane>, id: &str, request: &Request) -> Result<Response, Response> {
    let bytes = body(request)?;
    let beat: Beat = serde_json::from_slice(&bytes).map_err(|e| refused(400, e))?;
    port.count("beats");
    let leaving = beat.status.state != "ready";
    let task = Task {
        id: id.to_owned(),
        service: beat.info.service,
        address: beat.address,
        zone: beat.info.zone,
        slots: beat.info.slots,
        state: if leaving { State::Draining as i32 } else { State::Ready as i32 },
        call_seq: beat.status.call_seq,
        cold_left_ms: (beat.status.cold_left_s.clamp(0.0, 3600.0) * 1000.0) as u32,
        silent: false,
        version: beat.info.version,
    };
    let now = port.now();
    let late = {
        let yard = lock(&port.yard);
        yard.get(id).is_some_and(|known| known.task.call_seq > task.call_seq)
    };
    // An overtaken beat may still be the first word here that the task drains: none is acknowledged untold.
    port.news(std::slice::from_ref(&task), leaving)?;
    if late {
        port.count("beats-late");
        return Ok(Response::json(&BeatAnswer::default()));
    }
    lock(&port.yard).beaten(now, id);
    // Cut off from a majority it tells its edges what it hears, but the others have to hear it as well.
    if !port.in_majority() {
        port.count("beats-cut-off");
        return Err(unavailable("no majority of the core"));
    }
    let sharded = lock(&port.core).sharded.iter().any(|s| s.name == task.service);
    let mut answer = BeatAnswer::default();
    if sharded {
        let told = Told { id: id.to_owned(), holdings: beat.holdings, released: beat.released };
        match port.grant(now, &task.service, &told) {
            Some((grants, hold)) => {
                let rows = grants.into_iter().map(|g| (g.from, g.to, g.fence, g.handover));
                (answer.holdings, answer.hold_s) = (Some(rows.collect()), Some(hold));
                answer.beat_target = Some(port.local.listen().control);
            }
            None => match port.custodian(&task.service) {
                Some(control) => answer.beat_target = Some(control),
                // Nobody may grant: the task asks again soon, at another, and not only with its next beat.
                None if !leaving => {
                    port.count("beats-no-custodian");
                    return Err(unavailable("the service has no custodian yet"));
                }
                None => {}
            },
        }
    }
    Ok(Response::json(&answer))
}

/// `DELETE /v1/instances/ID`: a task signs off.
fn sign_off(port: &Arc<ControlPlane>, id: &str) -> Result<Response, Response> {
    // One that has not been heard of here may be known elsewhere: its name alone is told.
    let unknown = || Task { id: id.to_owned(), state: State::Gone as i32, ..Task::default() };
    let task = lock(&port.yard).gone(id).unwrap_or_else(unknown);
    port.signed_off(&task.service, id);
    port.told_edges(std::slice::from_ref(&task));
    port.keep_tasks(std::slice::from_ref(&task));
    port.spread(&[task], true)?;
    Ok(Response::json(&BeatAnswer::default()))
}

impl ControlPlane {
    /// PeerStatus of tasks; what is new goes to edges and other members. A drain is acknowledged only once another has it.
    fn news(&self, tasks: &[Task], leaving: bool) -> Result<(), Response> {
        let now = self.now();
        let new: Vec<Task> = {
            let mut yard = lock(&self.yard);
            let new = tasks.iter().filter(|task| yard.word(now, task)).cloned();
            new.collect::<Vec<_>>()
        };
        if !new.is_empty() {
            self.told_edges(&new);
            self.keep_tasks(&new);
        }
        if !new.is_empty() || leaving {
            self.spread(if new.is_empty() { tasks } else { &new }, leaving)?;
        }
        Ok(())
    }

    /// On disk as soon as it comes: after a start of everything tasks are known before their next beats.
    pub fn keep_tasks(&self, tasks: &[Task]) {
        let warm = |task: &Task| Task { cold_left_ms: 0, silent: false, ..task.clone() };
        let _queued = self.store.put(Batch { tasks: tasks.iter().map(warm).collect(), ..Batch::default() });
    }

    pub fn told_edges(&self, tasks: &[Task]) {
        lock(&self.edges).push(ToEdgeBody::Tasks(Tasks { tasks: tasks.to_vec(), whole: false }));
    }

    fn spread(&self, tasks: &[Task], surely: bool) -> Result<(), Response> {
        let members = self.members();
        let others: Vec<&String> = members.ips.iter().filter(|ip| **ip != self.me).collect();
        let word = PeerRequest::InstanceReport(InstanceReport {
            tasks: tasks.to_vec(),
            ..InstanceReport::default()
        });
        if !surely {
            others.iter().for_each(|ip| self.peers.tell(ip, word.clone()));
            return Ok(());
        }
        let (waiting, answers) = channel();
        others.iter().for_each(|ip| self.peers.ask(ip, word.clone(), &waiting));
        drop(waiting);
        if others.is_empty() || answers.recv_timeout(SECOND).is_ok() {
            return Ok(());
        }
        self.count("drains-alone");
        Err(unavailable("no other member has it"))
    }
}

// --- the operator ---

/// What became of a change.
pub enum OrderOutcome {
    Agreed,
    Refused(ValidationError),
    Unavailable,
}

impl ControlPlane {
    /// Takes a change through the register of calls; `make` turns the newest state into it.
    pub fn change(
        &self,
        until: Instant,
        make: impl Fn(&lynxmill_configuration::Configuration) -> ConfigurationChange,
    ) -> OrderOutcome {
        let mut fault = None;
        let mut refuse_at = None;
        let agreed = self.agree(CALLS, until, |round: &BallotRound| {
            let calls =
                round.current().and_then(|value| PendingChanges::decode(value).ok()).unwrap_or_default();
            let (held, merged) = {
                let core = lock(&self.core);
                (core.configuration.clone(), core.merged)
            };
            let last = calls.last;
            match validate(&held, merged, calls.clone(), round.merged(), &make) {
                Decision::Propose(next) | Decision::Again(next) => {
                    fault = None;
                    ProposalDecision::Propose(next.encode_to_vec())
                }
                Decision::Refuse(why) => {
                    fault = Some(why);
                    // It was judged by calls that may not be agreed yet: they are, before the refusal counts.
                    if round.stands() || round.current().is_none() || refuse_at == Some(last) {
                        return ProposalDecision::Stop;
                    }
                    refuse_at = Some(last);
                    ProposalDecision::Propose(calls.encode_to_vec())
                }
                Decision::Behind => match round.foremost().filter(|(ip, _)| *ip != self.me) {
                    Some((ip, _)) => ProposalDecision::Pull(ip.to_owned()),
                    None => ProposalDecision::Stop,
                },
            }
        });
        match (agreed, fault) {
            (Ok(value), fault) => {
                let calls = PendingChanges::decode(value.as_slice()).unwrap_or_default();
                self.learn(&calls);
                let members = self.members();
                for ip in members.ips.iter().filter(|ip| **ip != self.me) {
                    self.peers.tell(ip, PeerRequest::Learn(calls.clone()));
                }
                fault.map_or(OrderOutcome::Agreed, OrderOutcome::Refused)
            }
            (Err(AgreementError::Stopped), Some(fault)) => OrderOutcome::Refused(fault),
            (Err(_), _) => OrderOutcome::Unavailable,
        }
    }

    /// Makes sure that all that was agreed is merged here.
    pub fn newest(&self, until: Instant) -> bool {
        matches!(self.change(until, |_| ConfigurationChange::default()), OrderOutcome::Agreed)
    }
}

/// `PATCH /v1/configuration`.
fn patch(port: &Arc<ControlPlane>, request: &Request) -> Result<Response, Response> {
    let bytes = body(request)?;
    let patch = ConfigurationChange::read(&bytes).map_err(|fault| {
        port.count("changes-refused");
        log::info!("a change was refused: {fault}");
        refused(400, fault)
    })?;
    let patience = if patch.items.len() > 100 { FOR_MANY } else { PATIENCE };
    match port.change(Instant::now() + patience, |_| patch.clone()) {
        OrderOutcome::Agreed => {
            port.count("changes");
            Ok(Response::json(&serde_json::json!({})))
        }
        OrderOutcome::Refused(fault) => {
            port.count("changes-refused");
            log::info!("a change was refused: {fault}");
            Err(refused(400, fault))
        }
        OrderOutcome::Unavailable => Err(unavailable("no majority of the core")),
    }
}

/// `GET /v1/configuration`.
fn read_back(port: &Arc<ControlPlane>) -> Result<Response, Response> {
    if !port.newest(Instant::now() + PATIENCE) {
        return Err(unavailable("no majority of the core"));
    }
    let body = lock(&port.core).configuration.read_back();
    Ok(Response::from_data("application/json", body.to_string()))
}

/// `POST` and `DELETE /v1/evacuation/ZONE`.
fn evacuate(port: &Arc<ControlPlane>, zone: &str, on: bool) -> Result<Response, Response> {
    if !port.local.zones.contains_key(zone) {
        return Err(refused(404, format!("zone {zone} is not known")));
    }
    let make = |newest: &lynxmill_configuration::Configuration| {
        let stands = newest.evacuated().any(|z| z == zone);
        let after = newest.version(&evacuation_key(zone));
        let item = (stands != on).then(|| evacuation(zone, on, after));
        ConfigurationChange { items: item.into_iter().collect() }
    };
    match port.change(Instant::now() + PATIENCE, make) {
        OrderOutcome::Agreed => {
            log::info!("zone {zone} is {}", if on { "to be empty" } else { "taken back" });
            Ok(Response::json(&serde_json::json!({})))
        }
        OrderOutcome::Refused(fault) => Err(refused(409, fault)),
        OrderOutcome::Unavailable => Err(unavailable("no majority of the core")),
    }
}

/// `GET /v1/counters`: what this process has counted.
fn counters(port: &Arc<ControlPlane>) -> Response {
    Response::from_data("application/json", serde_json::json!(port.counters()).to_string())
}

pub fn handle(port: &Arc<ControlPlane>, request: &Request) -> Response {
    let url = request.url();
    let parts: Vec<&str> = url.trim_matches('/').split('/').collect();
    let answer = match (request.method(), parts.as_slice()) {
        ("PUT", ["v1", "instances", id]) => beat(port, id, request),
        ("DELETE", ["v1", "instances", id]) => sign_off(port, id),
        ("PATCH", ["v1", "configuration"]) => patch(port, request),
        ("GET", ["v1", "configuration"]) => read_back(port),
        ("POST", ["v1", "evacuation", zone]) => evacuate(port, zone, true),
        ("DELETE", ["v1", "evacuation", zone]) => evacuate(port, zone, false),
        ("GET", ["v1", "counters"]) => Ok(counters(port)),
        _ => Err(refused(404, "there is no such call")),
    };
    answer.unwrap_or_else(|refusal| refusal)
}
