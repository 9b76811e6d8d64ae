//! EVAC: an order to take a zone back is held up by a cut, is given once more elsewhere, and arrives after the zone
//! was evacuated anew.

use std::io::Write;
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

use crate::clients::{Clients, Kind};
use crate::http::{self, Buffer};
use crate::link::Link;
use crate::record::Record;
use crate::site::{EVACUATE_S, SECOND, Site, ZONES};
use crate::task::Task;

const ZONE: &str = "arn-hal2";
/// As long as the site cuts a machine off.
const CUT: Duration = Duration::from_millis(5500);

const CONFIGURATION: &str = r#"{"Upsert":{"Routes":[
{"Name":"r-read","Host":"bank.example","PathPrefix":"/read/","RouteKind":"idempotent","TimeoutS":2.5,"TargetS":0.6,"Priority":2,"Service":"opdrachtbank","MaxAttempts":2,"HomeRegions":[],"Version":"00000001"}],
"Services":[{"Name":"opdrachtbank","HealthPath":"/health","MaxConns":130,"Protocol":"h1","Tls":false,"ColdStartS":3.0,"ColdPerS":3.9,"Version":"00000001"}],
"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15,"Version":"00000001"}},"Remove":{"Routes":[]}}"#;

const KINDS: [Kind; 1] = [Kind {
    method: "GET",
    path: "/read/page",
    host: "bank.example",
    sharded: false,
    work_ms: 60,
    deadline_ms: 2500,
    body_bytes: 0,
}];

/// The operator's kept connection to one machine.
struct Kept {
    stream: TcpStream,
    buffer: Buffer,
    at: String,
}

impl Kept {
    fn open(at: &str) -> Result<Self, String> {
        let stream = http::connect(at, SECOND).map_err(|e| format!("{at}: {e}"))?;
        Ok(Kept { stream, buffer: Buffer::default(), at: at.to_owned() })
    }

    /// The status, or none after a second of silence.
    fn order(&mut self, method: &str, record: &Record) -> Option<u16> {
        let path = format!("/v1/evacuation/{ZONE}");
        record.tell(format!("operator: {method} {path} on its connection to {}", self.at));
        let asked = self.stream.write_all(&http::request(method, &path, &self.at, &[], b""));
        let head = asked.ok().and_then(|()| self.buffer.head(&mut self.stream).ok().flatten());
        let status = head.map(|head| {
            let _ = self.buffer.body(&mut self.stream, &head, false);
            head.status()
        });
        record.tell(format!("operator: answered with {status:?}"));
        status
    }
}

fn order(at: &str, method: &str, record: &Record) -> Result<(), String> {
    let path = format!("/v1/evacuation/{ZONE}");
    let status = http::control(at, method, &path, "", SECOND).map_or(0, |a| a.status);
    record.tell(format!("operator: {method} {path} at {at}: {status}"));
    (status == 200).then_some(()).ok_or_else(|| format!("{method} was not acknowledged"))
}

pub fn run(root: &Path, trouble: bool, record: &Record) -> Result<bool, String> {
    let mut site = Site::start(root, 4, record)?;
    let mut tasks = Vec::new();
    for n in 0..8 {
        let (id, zone) = (format!("i-task-{}", n + 1), ZONES[n % 4].0);
        tasks.push(Task::start(&id, "opdrachtbank", zone, false, &site.task_ip(n), site.controls(), record)?);
    }
    let there: Vec<_> = tasks.iter().filter(|t| t.0.zone == ZONE).map(|t| t.0.clone()).collect();
    let arrived = || there.iter().map(|t| t.arrivals.load(std::sync::atomic::Ordering::SeqCst)).sum::<u64>();
    site.configure(CONFIGURATION, record)?;
    site.wait_ready()?;
    let link = Link::new(&site.other_ip(), site.control(0), record)?;
    let fronts: Vec<String> = (0..4).map(|n| site.front(n)).collect();
    std::thread::sleep(Duration::from_secs(5));
    let clients = Clients::start(&fronts, &KINDS, 12, Duration::from_millis(200), record);
    std::thread::sleep(Duration::from_secs(2));
    if arrived() == 0 {
        return Err("the zone got no requests before".to_owned());
    }
    // The zone is emptied.
    let mut kept = Kept::open(&link.address)?;
    if kept.order("POST", record) != Some(200) {
        return Err("the evacuation was not acknowledged".to_owned());
    }
    std::thread::sleep(Duration::from_secs_f64(EVACUATE_S + 1.0));
    // The operator takes it back, while the way to that machine is cut.
    link.set_cut(trouble);
    let begun = Instant::now();
    if trouble {
        record.tell("the way from the operator to core-1 is cut");
    }
    std::thread::sleep(Duration::from_millis(300));
    let answer = kept.order("DELETE", record);
    // After a second of silence it goes on to another machine.
    drop(kept);
    if answer != Some(200) {
        order(&site.control(1), "DELETE", record)?;
    }
    std::thread::sleep(Duration::from_millis(1500));
    // The zone is emptied anew.
    order(&site.control(1), "POST", record)?;
    let acknowledged = Instant::now();
    std::thread::sleep(CUT.saturating_sub(begun.elapsed()));
    link.set_cut(false);
    if trouble {
        record.tell("the cut has healed");
    }
    std::thread::sleep(Duration::from_secs_f64(EVACUATE_S).saturating_sub(acknowledged.elapsed()));
    let before = arrived();
    record.tell(format!("{EVACUATE_S} s after the acknowledgement: {before} requests so far in {ZONE}"));
    let watched = Instant::now();
    while watched.elapsed() < Duration::from_secs(15) {
        site.all_run()?;
        std::thread::sleep(Duration::from_millis(100));
    }
    let after = arrived() - before;
    order(&site.control(1), "DELETE", record)?;
    let sent = clients.end();
    let served = sent.iter().filter(|s| s.status == 200).count();
    record.tell(format!(
        "{} requests, {served} served; {after} arrived in {ZONE} later than {EVACUATE_S} s after its evacuation was \
         acknowledged and before it was taken back",
        sent.len()
    ));
    if served * 2 < sent.len() {
        return Err("too little was served".to_owned());
    }
    Ok(after == 0)
}
