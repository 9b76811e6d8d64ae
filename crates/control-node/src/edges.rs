//! Streams of edges: which edges there are, what goes out to them, what they report. An edge gets
//! the whole configuration only from a node that is in contact with a majority and has compared
//! itself with it; until then it waits.

use std::collections::BTreeMap;

use lynxmill_configuration::Item;
use lynxmill_protocol::{
    ConfigurationUpdate, EdgeInfo, EdgeList, EdgeWelcome, FromEdgeBody, Hello, LoadReport,
    ReportAcknowledgement, Task, TaskUpdate, ToEdgeBody,
};
use lynxmill_time::Timestamp;

use crate::event::Event;
use crate::messages::{Effect, StreamId};
use crate::node::ControlNode;

/// Addresses that an answer of the directory has at most.
const MAX_ADDRESSES: usize = 64;
/// How long an answer of the directory may be used, in seconds.
const DIRECTORY_TTL_S: f64 = 5.0;
/// The same without contact with a majority: this node may miss edges, so clients ask again soon.
const DIRECTORY_TTL_WITHOUT_CONTACT_S: f64 = 1.0;

/// An edge's stream.
#[derive(Debug)]
struct EdgeStream {
    hello: Hello,
    ready: bool,
    /// The whole configuration was sent on this stream.
    has_configuration: bool,
}

/// All streams of edges.
#[derive(Debug, Default)]
pub(crate) struct Edges {
    streams: BTreeMap<StreamId, EdgeStream>,
    /// The list of edges as it was last sent to them.
    last_sent_list: Option<EdgeList>,
}

impl Edges {
    pub(crate) fn all(&self) -> Vec<StreamId> {
        self.streams.keys().copied().collect()
    }

    pub(crate) fn names(&self) -> Vec<String> {
        self.streams
            .values()
            .map(|edge| edge.hello.name.clone())
            .collect()
    }

    pub(crate) fn hellos(&self) -> impl Iterator<Item = &Hello> {
        self.streams.values().map(|edge| &edge.hello)
    }

    fn list(&self) -> EdgeList {
        let edge = |e: &EdgeStream| EdgeInfo {
            name: e.hello.name.clone(),
            zone: e.hello.zone.clone(),
        };
        let mut edges: Vec<EdgeInfo> = self.streams.values().map(edge).collect();
        edges.sort_by(|a, b| a.name.cmp(&b.name));
        EdgeList { edges }
    }
}

impl ControlNode {
    pub(crate) fn handle_edge_message(
        &mut self,
        now: Timestamp,
        stream: StreamId,
        message: FromEdgeBody,
    ) {
        match message {
            FromEdgeBody::Hello(hello) => self.edge_joined(now, stream, hello),
            FromEdgeBody::Readiness(ready) => {
                if let Some(edge) = self.edges.streams.get_mut(&stream) {
                    edge.ready = ready.ready;
                }
            }
            FromEdgeBody::TableAcknowledgement(answer) => {
                let name = self
                    .edges
                    .streams
                    .get(&stream)
                    .map(|edge| edge.hello.name.clone());
                let planner = self.ownership.planner_mut(&answer.service);
                if let (Some(name), Some(planner)) = (name, planner) {
                    planner.edge_acknowledged(&name, answer.term, answer.sequence);
                }
            }
            FromEdgeBody::LoadReport(report) => self.handle_load_report(stream, report),
        }
    }

    fn handle_load_report(&mut self, stream: StreamId, report: LoadReport) {
        let Some(edge) = self.edges.streams.get(&stream) else {
            return;
        };
        let (name, incarnation) = (edge.hello.name.clone(), edge.hello.incarnation);
        self.ownership
            .planners_mut()
            .for_each(|planner| planner.report(&report));
        self.observe_rollouts(&name, incarnation, report.rollouts);
        self.send_edges(
            vec![stream],
            ToEdgeBody::ReportAcknowledgement(ReportAcknowledgement {}),
        );
    }

    /// An edge's first message: it gets all that it needs to begin with; an older stream of it is
    /// closed.
    fn edge_joined(&mut self, now: Timestamp, stream: StreamId, hello: Hello) {
        if self.edges.streams.contains_key(&stream) {
            return;
        }
        let name = hello.name.clone();
        let older: Vec<StreamId> = self
            .edges
            .streams
            .iter()
            .filter(|(_, e)| e.hello.name == name)
            .map(|(id, _)| *id)
            .collect();
        for id in older {
            self.edges.streams.remove(&id);
            self.effect(Effect::CloseEdge(id));
        }
        let members = self.acceptor.members.ips.clone();
        let welcome = EdgeWelcome {
            name: self.options.name.clone(),
            members,
        };
        self.send_edges(vec![stream], ToEdgeBody::EdgeWelcome(welcome));
        let registry = &self.instances.registry;
        let tasks: Vec<Task> = registry.all().map(|known| known.as_of(now)).collect();
        let is_complete = registry.is_complete(now) && self.in_contact(now);
        let tasks = self.tasks_for(&hello, tasks);
        self.send_edges(
            vec![stream],
            ToEdgeBody::TaskUpdate(TaskUpdate { tasks, is_complete }),
        );
        let mut tables = Vec::new();
        for planner in self.ownership.planners_mut() {
            planner.edge_joined(&name);
            tables.push(planner.complete_update());
        }
        tables
            .into_iter()
            .for_each(|table| self.send_edges(vec![stream], ToEdgeBody::ShardTableUpdate(table)));
        let edge = EdgeStream {
            hello,
            ready: false,
            has_configuration: false,
        };
        self.edges.streams.insert(stream, edge);
        self.send_evacuation_notices(now, vec![stream]);
        self.log(Event::EdgeJoined(name));
        // Who the edges are is told by the tick: where all join at once, once.
        self.edges.last_sent_list = None;
        self.serve_waiting_joins(now);
    }

    /// Those of these tasks that an edge is told of. One that does not keep versions apart would send to all of them.
    fn tasks_for(&self, hello: &Hello, mut tasks: Vec<Task>) -> Vec<Task> {
        if !hello.knows_versions {
            tasks.retain(|task| self.rollouts.is_released(task));
        }
        tasks
    }

    /// Tells all edges of tasks that have changed.
    pub(crate) fn send_changed_tasks(&mut self, tasks: Vec<Task>) {
        let (knowing, others): (Vec<_>, Vec<_>) = self
            .edges
            .streams
            .iter()
            .partition(|(_, edge)| edge.hello.knows_versions);
        let ids = |streams: Vec<(&StreamId, &EdgeStream)>| -> Vec<StreamId> {
            streams.into_iter().map(|(id, _)| *id).collect()
        };
        let (knowing, others) = (ids(knowing), ids(others));
        let released: Vec<Task> = tasks
            .iter()
            .filter(|task| !others.is_empty() && self.rollouts.is_released(task))
            .cloned()
            .collect();
        let update = |tasks| {
            let is_complete = false;
            ToEdgeBody::TaskUpdate(TaskUpdate { tasks, is_complete })
        };
        self.send_edges(knowing, update(tasks));
        if !released.is_empty() {
            self.send_edges(others, update(released));
        }
    }

    /// Edges that wait for the whole configuration get it, if this node may serve it.
    pub(crate) fn serve_waiting_joins(&mut self, now: Timestamp) {
        let waits = |edge: &EdgeStream| !edge.has_configuration;
        if !self.edges.streams.values().any(waits) {
            return;
        }
        if !self.may_serve_joins(now) {
            self.count("joins-waiting");
            return;
        }
        let mut waiting = Vec::new();
        for (stream, edge) in self
            .edges
            .streams
            .iter_mut()
            .filter(|(_, edge)| !edge.has_configuration)
        {
            edge.has_configuration = true;
            waiting.push(*stream);
        }
        let items = self
            .configuration
            .items
            .values()
            .map(Item::without_history)
            .collect();
        let update = ConfigurationUpdate {
            items,
            is_complete: true,
        };
        self.send_edges(waiting, ToEdgeBody::ConfigurationUpdate(update));
    }

    pub(crate) fn edge_closed(&mut self, now: Timestamp, stream: StreamId) {
        let Some(edge) = self.edges.streams.remove(&stream) else {
            return;
        };
        self.rollouts.edge_lost(now);
        let name = edge.hello.name;
        self.ownership
            .planners_mut()
            .for_each(|planner| planner.edge_parted(&name));
        self.log(Event::EdgeLeft(name));
    }

    /// Sends all edges the list of edges, if it has changed.
    pub(crate) fn send_edge_list(&mut self) {
        let fleet = self.edges.list();
        if self.edges.last_sent_list.as_ref() != Some(&fleet) {
            self.send_edges(self.edges.all(), ToEdgeBody::EdgeList(fleet.clone()));
            self.edges.last_sent_list = Some(fleet);
        }
    }

    /// Where clients go: the addresses of edges that are ready, near ones first, and for how many
    /// seconds they may be used. Without contact it goes by its own streams, each of which is
    /// alive: an edge that is missing costs a client nothing, and turning all clients away while
    /// the core has no majority would.
    pub fn resolve(
        &self,
        now: Timestamp,
        zone: Option<&str>,
        region: Option<&str>,
    ) -> (Vec<String>, f64) {
        let most = self.options.bounds.ttl_max_s;
        let holds = if self.in_contact(now) {
            DIRECTORY_TTL_S
        } else {
            DIRECTORY_TTL_WITHOUT_CONTACT_S
        };
        let ttl = if most > 0.0 { holds.min(most) } else { holds };
        if self.departure.is_some() {
            return (Vec::new(), ttl);
        }
        let near = |fits: &dyn Fn(&Hello) -> bool| -> Vec<String> {
            let ready = self
                .edges
                .streams
                .values()
                .filter(|edge| edge.ready && fits(&edge.hello));
            ready.map(|edge| edge.hello.front.clone()).collect()
        };
        let mut addresses = near(&|hello| zone == Some(hello.zone.as_str()));
        if addresses.is_empty() {
            addresses = near(&|hello| region == Some(hello.region.as_str()));
        }
        if addresses.is_empty() {
            addresses = near(&|_| true);
        }
        addresses.sort();
        addresses.truncate(MAX_ADDRESSES);
        (addresses, ttl)
    }
}
