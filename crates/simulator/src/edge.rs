//! A scripted edge: a stream to each member that it knows of. It merges as `crates/edge-proxy` does and goes
//! by the shipping load-balancing policy for tasks and tables.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_configuration::{Bounds, Configuration, RoutingTable};
use lynxmill_load_balancing::{LoadBalancer, Locality};
use lynxmill_protocol::{
    EdgeReadiness, FromEdgeBody, Hello, LoadReport, TableAcknowledgement, TaskUpdate, ToEdgeBody,
};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::client_traffic::{ClientTraffic, SentRequests};

/// Between tries to reach a member.
const PAUSE: TimeDelta = TimeDelta::from_micros(200_000);
const REPORT: TimeDelta = TimeDelta::from_micros(1_000_000);
/// While rollouts are in progress.
const ROLLOUT_REPORT: TimeDelta = TimeDelta::from_micros(500_000);
/// A stream that is silent for so long is a dead one.
const SILENT: TimeDelta = TimeDelta::from_micros(2_600_000);
/// Between two looks at the streams.
pub(crate) const LOOK: TimeDelta = TimeDelta::from_micros(250_000);

#[derive(Debug)]
struct EdgeStream {
    id: u64,
    last_message: Timestamp,
    next_report: Timestamp,
}

pub(crate) struct EdgeActor {
    pub name: String,
    pub incarnation: u64,
    pub started: Timestamp,
    streams: BTreeMap<usize, EdgeStream>,
    retry: BTreeMap<usize, Timestamp>,
    members: BTreeSet<usize>,
    pub configuration: Configuration,
    known: BTreeMap<usize, BTreeSet<String>>,
    is_synchronized: bool,
    /// It got a whole configuration in this life.
    pub open: bool,
    load_balancer: LoadBalancer,
    /// Clients' requests, where a run has any.
    clients: Option<ClientTraffic>,
}

/// What an edge does.
#[derive(Clone, Debug)]
pub(crate) enum EdgeAction {
    Open {
        machine: usize,
        stream: u64,
    },
    Say {
        machine: usize,
        stream: u64,
        message: FromEdgeBody,
    },
    Close {
        machine: usize,
        stream: u64,
    },
}

/// What a message has led to.
#[derive(Debug, Default)]
pub(crate) struct EdgeOutcome {
    pub actions: Vec<EdgeAction>,
    /// It opened just now.
    pub opened: bool,
}

impl EdgeActor {
    pub(crate) fn new(index: usize, incarnation: u64, now: Timestamp, seeds: &[usize]) -> Self {
        let name = format!("edge-{index}");
        let place = Locality {
            name: name.clone(),
            zone: "north".to_owned(),
            ..Locality::default()
        };
        EdgeActor {
            name,
            incarnation,
            started: now,
            streams: BTreeMap::new(),
            retry: BTreeMap::new(),
            members: seeds.iter().copied().collect(),
            configuration: Configuration::default(),
            known: BTreeMap::new(),
            is_synchronized: false,
            open: false,
            load_balancer: LoadBalancer::new(now, place, Bounds::default()),
            clients: None,
        }
    }

    /// Clients send it requests.
    pub(crate) fn with_clients(mut self, seed: u64) -> Self {
        self.clients = Some(ClientTraffic::new(seed, &self.name));
        self
    }

    /// What clients sent it since the last look, if it is open.
    pub(crate) fn serve_clients(&mut self, now: Timestamp) -> SentRequests {
        let clients = self.clients.as_mut().filter(|_| self.open);
        clients.map_or_else(SentRequests::default, |clients| {
            clients.send(now, &mut self.load_balancer)
        })
    }

    /// The next report, and when the one after it is due.
    fn report(&mut self, now: Timestamp) -> (LoadReport, Timestamp) {
        if self.clients.is_some() && self.load_balancer.has_rollouts() {
            return (self.load_balancer.take_report(now), now + ROLLOUT_REPORT);
        }
        let report = LoadReport {
            interval_ms: 1000,
            ..LoadReport::default()
        };
        (report, now + REPORT)
    }

    /// Streams that it has, with their members.
    pub(crate) fn streams(&self) -> Vec<(usize, u64)> {
        self.streams
            .iter()
            .map(|(machine, stream)| (*machine, stream.id))
            .collect()
    }

    /// Whether requests may go to a task, as far as this edge knows.
    pub(crate) fn is_usable(&self, now: Timestamp, task: &str) -> bool {
        self.load_balancer
            .endpoint(task)
            .is_some_and(|seen| seen.is_usable(now))
    }

    pub(crate) fn wake(
        &mut self,
        now: Timestamp,
        mut next_stream: impl FnMut() -> u64,
    ) -> Vec<EdgeAction> {
        let mut actions = Vec::new();
        let dead: Vec<usize> = self
            .streams
            .iter()
            .filter(|(_, s)| now - s.last_message > SILENT)
            .map(|(m, _)| *m)
            .collect();
        for machine in dead {
            let Some(stream) = self.streams.get(&machine).map(|stream| stream.id) else {
                continue;
            };
            self.stream_closed(now, machine, stream);
            actions.push(EdgeAction::Close { machine, stream });
        }
        for machine in self.members.clone() {
            let due = self.retry.get(&machine).is_none_or(|at| now >= *at);
            if due && !self.streams.contains_key(&machine) {
                let stream = next_stream();
                actions.push(EdgeAction::Open { machine, stream });
                actions.extend(self.hello_messages(machine, stream));
                let next_report = now + REPORT;
                self.streams.insert(
                    machine,
                    EdgeStream {
                        id: stream,
                        last_message: now,
                        next_report,
                    },
                );
            }
        }
        actions.extend(self.reports(now));
        actions
    }

    /// The reports that are due.
    fn reports(&mut self, now: Timestamp) -> Vec<EdgeAction> {
        if !self
            .streams
            .values()
            .any(|stream| now >= stream.next_report)
        {
            return Vec::new();
        }
        let (report, next_report) = self.report(now);
        let due = self
            .streams
            .iter_mut()
            .filter(|(_, stream)| now >= stream.next_report);
        let say = due.map(|(machine, stream)| {
            stream.next_report = next_report;
            EdgeAction::Say {
                machine: *machine,
                stream: stream.id,
                message: FromEdgeBody::LoadReport(report.clone()),
            }
        });
        say.collect()
    }

    fn hello_messages(&self, machine: usize, stream: u64) -> Vec<EdgeAction> {
        let hello = Hello {
            name: self.name.clone(),
            zone: "north".to_owned(),
            region: "east".to_owned(),
            front: "10.1.0.35:8144".to_owned(),
            incarnation: self.incarnation,
            reads_compressed: false,
            knows_versions: true,
        };
        let say = |message| EdgeAction::Say {
            machine,
            stream,
            message,
        };
        vec![
            say(FromEdgeBody::Hello(hello)),
            say(FromEdgeBody::Readiness(EdgeReadiness { ready: self.open })),
        ]
    }

    /// A stream has ended.
    pub(crate) fn stream_closed(&mut self, now: Timestamp, machine: usize, stream: u64) {
        if self
            .streams
            .get(&machine)
            .is_some_and(|open| open.id == stream)
        {
            self.streams.remove(&machine);
            self.retry.insert(machine, now + PAUSE);
            self.load_balancer.member_lost(&machine.to_string());
        }
    }

    /// A member speaks. `machine_of` finds the machine of an address.
    pub(crate) fn message_received(
        &mut self,
        now: Timestamp,
        machine: usize,
        stream: u64,
        body: ToEdgeBody,
        machine_of: impl Fn(&str) -> Option<usize>,
    ) -> EdgeOutcome {
        let mut news = EdgeOutcome::default();
        let Some(open) = self
            .streams
            .get_mut(&machine)
            .filter(|open| open.id == stream)
        else {
            return news;
        };
        open.last_message = now;
        self.load_balancer.member_heard(now);
        match body {
            ToEdgeBody::EdgeWelcome(welcome) => {
                self.members
                    .extend(welcome.members.iter().filter_map(|ip| machine_of(ip)));
            }
            ToEdgeBody::ConfigurationUpdate(update) => {
                for item in &update.items {
                    self.configuration.merge(item);
                }
                if self.clients.is_some() {
                    self.load_balancer
                        .set_routes(RoutingTable::new(&self.configuration));
                }
                self.is_synchronized |= update.is_complete;
                let whole = self.is_synchronized && !self.configuration.items.is_empty();
                news.opened = whole && !std::mem::replace(&mut self.open, whole);
            }
            ToEdgeBody::TaskUpdate(tasks) => self.apply_tasks(now, machine, &tasks),
            ToEdgeBody::ShardTableUpdate(table) => {
                if self.load_balancer.apply_shard_table(&table) && table.sequence > 0 {
                    let (service, term, sequence) = (table.service, table.term, table.sequence);
                    let message = FromEdgeBody::TableAcknowledgement(TableAcknowledgement {
                        service,
                        term,
                        sequence,
                    });
                    news.actions.push(EdgeAction::Say {
                        machine,
                        stream,
                        message,
                    });
                }
            }
            ToEdgeBody::EdgeList(fleet) => self.load_balancer.set_edges(fleet),
            ToEdgeBody::ReportAcknowledgement(_) => {}
            ToEdgeBody::EvacuationNotice(notice) => {
                self.load_balancer.evacuation_requested(now, &notice);
            }
        }
        news
    }

    fn apply_tasks(&mut self, now: Timestamp, machine: usize, tasks: &TaskUpdate) {
        let member = machine.to_string();
        self.load_balancer.update_tasks(now, &member, &tasks.tasks);
        let ids = tasks.tasks.iter().map(|task| task.id.clone());
        if tasks.is_complete {
            self.known.insert(machine, ids.collect());
            let all: BTreeSet<&String> = self.known.values().flatten().collect();
            self.load_balancer
                .retain_members(|id| all.contains(&id.to_owned()));
        } else if let Some(known) = self.known.get_mut(&machine) {
            known.extend(ids);
        }
    }
}
