//! Operators: changes of the configuration and evacuations, sent again until they are acknowledged, and the read-back at the
//! end.

use std::sync::Arc;
use std::time::Duration;

use lynxmill_deployment::{REGION, ZONES};
use serde_json::{Value, json};
use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::http::{Answer, Caller};
use crate::ledger::{Change, Evacuation, Ledger};
use crate::links::Links;

/// Where clients think they send to.
pub(crate) const HOST: &str = "soak.example";
/// The services; the last is sharded.
pub(crate) const SERVICES: [&str; 3] = ["mill", "press", "sorter"];
/// A call is made at another member after so long.
const PATIENCE: Duration = Duration::from_secs(1);
const LARGE_PATIENCE: Duration = Duration::from_secs(3);
/// An order follows so many redirects.
const MAX_REDIRECTS: usize = 2;
const AGAIN_AFTER: Duration = Duration::from_millis(250);
/// Orders that are no changes are sent again for so long.
const EVACUATION_PATIENCE_S: f64 = 5.0;

/// Sends orders to members.
pub(crate) struct Operator {
    ledger: Arc<Ledger>,
    controls: Vec<String>,
    links: Arc<Links>,
    /// One change at a time, so that the order of versions is the order of sending. Its connection is kept.
    changes: Mutex<Caller>,
    /// One evacuation at a time, on a connection that is kept.
    evacuations: Mutex<Caller>,
}

fn version_text(version: u64) -> String {
    format!("{version:08}")
}

fn moving_route(version: u64) -> Value {
    route("moving", "idempotent", moving_service(version), version)
}

/// The service that `/moving/` goes to by a version.
fn moving_service(version: u64) -> &'static str {
    SERVICES[(version % 2) as usize]
}

fn route(name: &str, kind: &str, service: &str, version: u64) -> Value {
    json!({
        "Name": format!("r-{name}"), "Host": HOST, "PathPrefix": format!("/{name}/"), "RouteKind": kind,
        "TimeoutS": 2.5, "TargetS": 0.5, "Priority": 1, "MaxAttempts": 3, "HomeRegions": [REGION],
        "Service": service, "Version": version_text(version),
    })
}

fn service(name: &str) -> Value {
    let mut service = json!({
        "Name": name, "HealthPath": "/health", "MaxConns": 256, "Protocol": "h1", "Tls": false,
        "ColdStartS": 0.5, "ColdPerS": 50.0, "Version": version_text(1),
    });
    if name == SERVICES[2] {
        (service["Sharded"], service["WarmupS"], service["Grants"]) =
            (json!(true), json!(0.2), json!("heartbeat"));
    }
    service
}

/// The first configuration.
pub(crate) fn first_configuration() -> Value {
    json!({
        "Upsert": {
            "Routes": [
                route("read", "idempotent", SERVICES[0], 1),
                route("order", "non_idempotent", SERVICES[0], 1),
                route("upload", "upload", SERVICES[0], 1),
                route("keyed", "idempotent", SERVICES[2], 1),
                moving_route(1),
            ],
            "Services": SERVICES.map(service),
            "Limits": {
                "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15,
                "Version": version_text(1),
            },
        },
        "Remove": {"Routes": []},
    })
}

impl Operator {
    pub(crate) fn new(ledger: Arc<Ledger>, controls: Vec<String>, links: Arc<Links>) -> Self {
        Operator {
            ledger,
            controls,
            changes: Mutex::new(Caller::new(links.clone())),
            evacuations: Mutex::new(Caller::new(links.clone())),
            links,
        }
    }

    async fn order(
        &self,
        caller: &mut Caller,
        place: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<Answer> {
        let control = &self.controls[place % self.controls.len()];
        let mut answer = caller.call(control, method, path, body, PATIENCE).await;
        for _ in 0..MAX_REDIRECTS {
            let answered = answer.ok()?;
            let Some((address, path)) = answered.redirect() else {
                return Some(answered);
            };
            answer = caller.call(address, method, path, body, PATIENCE).await;
        }
        answer.ok()
    }

    /// Moves the route to the other service, until it is acknowledged.
    pub(crate) async fn change(&self, first_member: usize) {
        let mut caller = self.changes.lock().await;
        let sent = self.ledger.now();
        let (place, version) = {
            let mut records = self.ledger.records();
            let version = records.changes.last().map_or(1, |last| last.version) + 1;
            records.changes.push(Change {
                version,
                service: moving_service(version),
                sent,
                acknowledged: None,
            });
            (records.changes.len() - 1, version)
        };
        let body = json!({"Upsert": {"Routes": [moving_route(version)]}}).to_string();
        for member in first_member.. {
            let path = "/v1/configuration";
            let answer = self.order(&mut caller, member, "PATCH", path, &body).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                let now = self.ledger.now();
                self.ledger.records().changes[place].acknowledged = Some(now);
                return;
            }
            sleep(AGAIN_AFTER).await;
        }
    }

    async fn evacuation_order(&self, first_member: usize, method: &str, zone: &str) -> bool {
        let path = format!("/v1/evacuation/{zone}");
        let began = self.ledger.now();
        let mut caller = self.evacuations.lock().await;
        for member in first_member.. {
            let answer = self.order(&mut caller, member, method, &path, "").await;
            if answer.is_some_and(|answer| (200..300).contains(&answer.status)) {
                return true;
            }
            if self.ledger.now() - began > EVACUATION_PATIENCE_S {
                break;
            }
            sleep(AGAIN_AFTER).await;
        }
        false
    }

    /// Evacuates a zone and takes it back after some seconds, so often in a row.
    pub(crate) async fn evacuate(
        &self,
        first_member: usize,
        zone: usize,
        lasts_s: f64,
        times: usize,
    ) {
        for _ in 0..times {
            self.evacuate_once(first_member, ZONES[zone], lasts_s).await;
        }
    }

    async fn evacuate_once(&self, first_member: usize, zone: &'static str, lasts_s: f64) {
        let place = {
            let mut records = self.ledger.records();
            records.evacuations.push(Evacuation {
                zone,
                acknowledged: None,
                taken_back: None,
            });
            records.evacuations.len() - 1
        };
        if self.evacuation_order(first_member, "POST", zone).await {
            let now = self.ledger.now();
            self.ledger.records().evacuations[place].acknowledged = Some(now);
        }
        sleep(Duration::from_secs_f64(lasts_s)).await;
        let now = self.ledger.now();
        self.ledger.records().evacuations[place].taken_back = Some(now);
        while !self.evacuation_order(first_member, "DELETE", zone).await {
            sleep(AGAIN_AFTER).await;
        }
    }

    /// Connections of callers that each member counts; 0 for one that does not answer.
    pub(crate) async fn callers_by_member(&self) -> Vec<usize> {
        let mut counts = Vec::new();
        for control in &self.controls {
            let mut caller = Caller::new(self.links.clone());
            let path = "/v1/counters";
            let answer = caller.call(control, "GET", path, "", LARGE_PATIENCE).await;
            let counters = answer
                .ok()
                .and_then(|answer| serde_json::from_slice::<Value>(&answer.body).ok());
            let count = counters.and_then(|counters| counters["connections-control"].as_u64());
            counts.push(count.unwrap_or_default() as usize);
        }
        counts
    }

    /// The version of the moving route that a member reads back.
    pub(crate) async fn read_back(&self) -> Option<u64> {
        let mut caller = Caller::new(self.links.clone());
        for control in &self.controls {
            let path = "/v1/configuration";
            let answer = caller.call(control, "GET", path, "", LARGE_PATIENCE).await;
            let Some(answer) = answer.ok().filter(|answer| answer.status == 200) else {
                continue;
            };
            let newest: Value = serde_json::from_slice(&answer.body).ok()?;
            let routes = newest["Routes"].as_array()?;
            let moving = routes.iter().find(|route| route["Name"] == "r-moving")?;
            return moving["Version"].as_str()?.parse().ok();
        }
        None
    }
}
