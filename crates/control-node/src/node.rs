//! The node's state, and its step: one input in, effects out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lynxmill_configuration::{Configuration, Service};
use lynxmill_consensus::{Acceptor, InstanceRegistry, LeaseGrants, MembershipMonitor};
use lynxmill_protocol::{
    MemberStatus, Membership, PeerRequest, PeerResponse, RequestEnvelope, ResponseEnvelope,
    ToEdgeBody,
};
use lynxmill_random::Pcg;
use lynxmill_storage::{Batch, combined_digest};
use lynxmill_time::{TimeDelta, Timestamp};

use crate::catch_up::{CatchUp, SnapshotProgress};
use crate::contact::{Contact, PeerStatus};
use crate::departure::Departure;
use crate::edges::Edges;
use crate::evacuation_notices::EvacuationNotices;
use crate::event::Event;
use crate::instances::Instances;
use crate::membership::MembershipControl;
use crate::messages::{
    Answer, CallId, ConnectionId, ControlRequest, Effect, Input, StreamId, Unavailable,
};
use crate::options::{NodeOptions, StoredState};
use crate::orders::Orders;
use crate::ownership::Ownership;
use crate::pending_requests::{Awaited, PendingRequests};
use crate::proposals::{BallotSource, Proposals};
use crate::rollouts::Rollouts;
use crate::storage::StorageQueue;

/// Between two ticks.
pub const TICK: TimeDelta = TimeDelta::from_micros(25_000);

/// Without a step for so long the process was frozen: ticks come forty times as often.
const SUSPENSION_THRESHOLD: TimeDelta = TimeDelta::from_micros(500_000);
/// Calls that are read within this time after a freeze may be as old as it was long.
const STALE_CALLS: TimeDelta = TimeDelta::from_micros(100_000);

/// A node of the control plane.
pub struct ControlNode {
    pub(crate) options: NodeOptions,
    pub(crate) acceptor: Acceptor,
    pub(crate) configuration: Arc<Configuration>,
    /// The last change whose items are merged.
    pub(crate) merged: u64,
    /// The last change whose items, and all before them, are surely on disk.
    pub(crate) merged_on_disk: u64,
    /// Digest of all items, computed once for each change.
    pub(crate) items_digest: u64,
    /// Services whose keys are sharded, read of the items once for each change.
    pub(crate) sharded_services: Arc<Vec<Service>>,
    pub(crate) started: Timestamp,
    last_step: Timestamp,
    /// Calls that are read until then may be stale.
    stale_calls_until: Timestamp,
    pub(crate) contact: Contact,
    pub(crate) statuses: BTreeMap<String, PeerStatus>,
    pub(crate) monitor: MembershipMonitor,
    pub(crate) membership: MembershipControl,
    pub(crate) ballots: BallotSource,
    pub(crate) proposals: Proposals,
    pub(crate) orders: Orders,
    pub(crate) rollouts: Rollouts,
    pub(crate) catch_up: CatchUp,
    pub(crate) instances: Instances,
    pub(crate) edges: Edges,
    pub(crate) evacuation_notices: EvacuationNotices,
    pub(crate) leases: LeaseGrants,
    pub(crate) ownership: Ownership,
    pub(crate) departure: Option<Departure>,
    pub(crate) storage: StorageQueue,
    pub(crate) pending_requests: PendingRequests,
    known_peers: BTreeSet<String>,
    random: Pcg,
    counters: BTreeMap<&'static str, u64>,
    effects: Vec<Effect>,
}

/// The state of a node, for engineers on call.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeReport {
    /// A majority has answered lately.
    pub in_contact: bool,
    /// Compared with a majority since contact was found.
    pub synchronized: bool,
    /// It answers ballots.
    pub is_voter: bool,
    /// A write has failed, and not everything has been written again.
    pub storage_failed: bool,
    /// It shuts down gracefully.
    pub leaving: bool,
    /// The newest membership that it has adopted.
    pub members: Membership,
    /// The last change whose items are merged.
    pub merged: u64,
    /// Changes that the register still holds, and their size in bytes.
    pub pending_changes: (usize, usize),
    /// The snapshot that it reads.
    pub catching_up: Option<SnapshotProgress>,
    /// Sharded services whose lease it holds.
    pub held_leases: Vec<String>,
    /// Zones that are evacuated, as far as it knows.
    pub evacuated_zones: Vec<String>,
}

impl ControlNode {
    /// A node that starts now with what its disk holds.
    pub fn new(now: Timestamp, options: NodeOptions, stored: StoredState) -> Self {
        let founded = stored.founded;
        let mut registry =
            InstanceRegistry::new(now, TimeDelta::from_secs(options.heartbeat_interval_s));
        registry.restore(stored.tasks);
        let mut node = ControlNode {
            monitor: MembershipMonitor::new(now, options.core_size),
            ballots: BallotSource::new(&options.ip, options.incarnation),
            leases: LeaseGrants::new(now, founded),
            random: Pcg::new(options.incarnation),
            acceptor: stored.acceptor,
            configuration: Arc::new(stored.configuration),
            merged: stored.merged,
            merged_on_disk: stored.merged,
            items_digest: 0,
            sharded_services: Arc::default(),
            started: now,
            last_step: now,
            stale_calls_until: now,
            contact: Contact::default(),
            statuses: BTreeMap::new(),
            membership: MembershipControl::default(),
            proposals: Proposals::default(),
            orders: Orders::default(),
            rollouts: Rollouts::default(),
            catch_up: CatchUp::default(),
            instances: Instances::new(registry),
            edges: Edges::default(),
            evacuation_notices: EvacuationNotices::default(),
            ownership: Ownership::default(),
            departure: None,
            storage: StorageQueue::default(),
            pending_requests: PendingRequests::default(),
            known_peers: BTreeSet::new(),
            counters: BTreeMap::new(),
            effects: Vec::new(),
            options,
        };
        node.refresh_sharded_services();
        node.refresh_rollouts();
        node.items_digest = combined_digest(&node.configuration);
        if founded {
            let members = Some(node.acceptor.members.clone());
            node.store(Batch {
                members,
                is_voter: Some(true),
                ..Batch::default()
            });
        }
        let known: Vec<String> = node
            .options
            .seeds
            .iter()
            .chain(&node.acceptor.members.ips)
            .cloned()
            .collect();
        known.iter().for_each(|ip| node.connect(ip));
        node
    }

    /// Takes one input; returns what has to be done now, in this order.
    pub fn step(&mut self, now: Timestamp, input: Input) -> Vec<Effect> {
        if now - self.last_step >= SUSPENSION_THRESHOLD {
            self.stale_calls_until = now + STALE_CALLS;
        }
        self.last_step = now;
        self.update_contact(now);
        self.expire_proposals(now);
        match input {
            Input::Tick => self.tick(now),
            Input::Peer {
                connection,
                envelope,
            } => self.handle_request(now, connection, envelope),
            Input::Response { from, response } => self.handle_response(now, &from, response),
            Input::Call {
                call,
                request,
                sent_after,
            } => self.handle_call(now, call, request, sent_after),
            Input::Abandoned { call } => self.abandon_order(call),
            Input::Edge { stream, message } => self.handle_edge_message(now, stream, message),
            Input::EdgeClosed { stream } => self.edge_closed(now, stream),
            Input::Stored { ticket, failure } => self.stored(now, ticket, failure),
            Input::Seeds(seeds) => seeds.iter().for_each(|ip| self.connect(ip)),
            Input::Leave => self.leave(now),
        }
        self.update_contact(now);
        std::mem::take(&mut self.effects)
    }

    fn tick(&mut self, now: Timestamp) {
        self.pending_requests.drop_expired(now);
        self.send_heartbeats(now);
        self.expire_orders(now);
        self.advance_proposals(now);
        self.synchronize(now);
        self.advance_catch_up(now);
        self.advance_membership(now);
        self.advance_instances(now);
        self.serve_waiting_joins(now);
        self.advance_rollouts(now);
        self.advance_ownership(now);
        self.rewrite_after_failure(now);
        self.advance_departure(now);
    }

    fn handle_call(
        &mut self,
        now: Timestamp,
        call: CallId,
        request: ControlRequest,
        sent_after: u64,
    ) {
        if request.is_order() && now < self.stale_calls_until {
            self.count("orders-after-suspension");
            return self.answer(call, Answer::Unavailable(Unavailable::WasSuspended));
        }
        match request {
            ControlRequest::Change(change) => self.order_change(now, call, change, sent_after),
            ControlRequest::Evacuate { zone, on } => {
                self.order_evacuation(now, call, zone, on, sent_after)
            }
            ControlRequest::Rollout(order) => self.order_rollout(now, call, order, sent_after),
            ControlRequest::ReadBack => self.order_read_back(now, call),
            ControlRequest::Heartbeat(heartbeat) => self.instance_heartbeat(now, call, heartbeat),
            ControlRequest::SignOff(id) => self.instance_sign_off(now, call, &id),
        }
    }

    fn handle_request(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        envelope: RequestEnvelope,
    ) {
        let id = envelope.id;
        let Some(body) = envelope.body else { return };
        let response = match body {
            PeerRequest::Prepare(request) => return self.handle_prepare(connection, id, &request),
            PeerRequest::Accept(request) => return self.handle_accept(connection, id, &request),
            PeerRequest::Promote(request) => {
                return self.handle_promote(now, connection, id, request);
            }
            PeerRequest::Learn(pending) => PeerResponse::Acknowledged(self.learn(now, &pending)),
            PeerRequest::LeaseRequest(request) => {
                PeerResponse::Acknowledged(self.grant_lease(now, &request))
            }
            PeerRequest::MemberStatus(status) => {
                self.handle_status(now, &status);
                PeerResponse::MemberStatus(self.status(now))
            }
            PeerRequest::InstanceReport(report) => {
                PeerResponse::Acknowledged(self.handle_instance_report(now, &report))
            }
            PeerRequest::Snapshot(request) => PeerResponse::Snapshot(self.snapshot_chunk(&request)),
            PeerRequest::Registers(request) => {
                PeerResponse::Registers(self.registers_chunk(&request))
            }
        };
        self.respond(connection, id, response);
    }

    fn handle_response(&mut self, now: Timestamp, from: &str, response: ResponseEnvelope) {
        let Some(awaited) = self.pending_requests.take(response.id) else {
            return;
        };
        match (awaited, response.body) {
            (Awaited::Heartbeat { sent_at }, Some(PeerResponse::MemberStatus(status))) => {
                self.handle_heartbeat_response(now, from, sent_at, &status);
            }
            (Awaited::Ballot { register, attempt }, Some(PeerResponse::Promise(promise))) => {
                self.handle_promise(now, &register, attempt, from, promise);
            }
            (Awaited::Ballot { register, attempt }, Some(PeerResponse::Accepted(accepted))) => {
                self.handle_accepted(now, &register, attempt, from, accepted);
            }
            (Awaited::Promotion { attempt }, Some(PeerResponse::Acknowledged(true))) => {
                self.learner_promoted(now, attempt, from);
            }
            (Awaited::Lease { service, attempt }, Some(PeerResponse::Acknowledged(true))) => {
                self.lease_granted(&service, attempt, from);
            }
            (Awaited::Replication(number), Some(PeerResponse::Acknowledged(true))) => {
                self.replicated(now, number, from);
            }
            (Awaited::Snapshot(number), Some(PeerResponse::Snapshot(part))) => {
                self.handle_snapshot_chunk(now, number, from, &part);
            }
            (Awaited::Registers(number), Some(PeerResponse::Registers(part))) => {
                self.handle_registers_chunk(now, number, from, part);
            }
            (Awaited::DepartureReport { number }, Some(PeerResponse::Acknowledged(true))) => {
                self.departure_report_acknowledged(number, from)
            }
            _ => self.count("responses-unexpected"),
        }
    }

    // --- what the modules share ---

    pub(crate) fn is_member(&self) -> bool {
        self.acceptor.members.ips.contains(&self.options.ip)
    }

    pub(crate) fn is_self(&self, ip: &str) -> bool {
        ip == self.options.ip
    }

    /// All members but this one.
    pub(crate) fn other_members(&self) -> Vec<String> {
        self.acceptor
            .members
            .ips
            .iter()
            .filter(|ip| !self.is_self(ip))
            .cloned()
            .collect()
    }

    pub(crate) fn known_peers(&self) -> Vec<String> {
        self.known_peers.iter().cloned().collect()
    }

    pub(crate) fn connect(&mut self, ip: &str) {
        if !self.is_self(ip) && self.known_peers.insert(ip.to_owned()) {
            self.effects.push(Effect::Connect(ip.to_owned()));
        }
    }

    pub(crate) fn send_request(
        &mut self,
        now: Timestamp,
        to: &str,
        body: PeerRequest,
        awaited: Awaited,
    ) {
        let id = self.pending_requests.add(now, awaited);
        let envelope = RequestEnvelope {
            id,
            body: Some(body),
        };
        self.effects.push(Effect::Request {
            to: to.to_owned(),
            envelope,
        });
    }

    pub(crate) fn send_notification(&mut self, to: &str, body: PeerRequest) {
        let envelope = RequestEnvelope {
            id: 0,
            body: Some(body),
        };
        self.effects.push(Effect::Request {
            to: to.to_owned(),
            envelope,
        });
    }

    pub(crate) fn respond(&mut self, connection: ConnectionId, id: u64, body: PeerResponse) {
        if id != 0 {
            let response = ResponseEnvelope {
                id,
                body: Some(body),
            };
            self.effects.push(Effect::Respond {
                connection,
                response,
            });
        }
    }

    pub(crate) fn answer(&mut self, call: CallId, answer: Answer) {
        self.effects.push(Effect::Answer { call, answer });
    }

    pub(crate) fn effect(&mut self, effect: Effect) {
        self.effects.push(effect);
    }

    pub(crate) fn send_edges(&mut self, streams: Vec<StreamId>, body: ToEdgeBody) {
        if !streams.is_empty() {
            self.effects.push(Effect::SendEdges { streams, body });
        }
    }

    pub(crate) fn log(&mut self, event: Event) {
        self.effects.push(Effect::Log(event));
    }

    pub(crate) fn count(&mut self, what: &'static str) {
        *self.counters.entry(what).or_default() += 1;
    }

    /// A random number from 0 to 1.
    pub(crate) fn random_fraction(&mut self) -> f64 {
        self.random.unit()
    }

    /// This node's status, as others get it.
    pub(crate) fn status(&self, now: Timestamp) -> MemberStatus {
        MemberStatus {
            ip: self.options.ip.clone(),
            members: self.acceptor.members.clone(),
            merged: self.merged,
            leaving: self.departure.is_some(),
            catching_up: self.acceptor.catching_up,
            owned_services: self.owned_services(now),
            control_address: self.options.control_address.clone(),
            tasks_digest: self.instances.registry.digest(),
            items_digest: self.items_digest,
            learner_ready: self.is_ready_learner(now),
            heartbeats: self.instances.balancer.load(),
        }
    }

    pub(crate) fn refresh_sharded_services(&mut self) {
        self.sharded_services = Arc::new(
            self.configuration
                .services()
                .filter(|s| s.sharded)
                .collect(),
        );
    }

    pub(crate) fn is_sharded(&self, service: &str) -> bool {
        self.sharded_services
            .iter()
            .any(|sharded| sharded.name == service)
    }

    /// The last change whose items are merged.
    pub fn merged(&self) -> u64 {
        self.merged
    }

    /// The state of this node, for engineers on call.
    pub fn report(&self, now: Timestamp) -> NodeReport {
        NodeReport {
            in_contact: self.in_contact(now),
            synchronized: self.contact.synchronized,
            is_voter: !self.acceptor.catching_up && self.is_member(),
            storage_failed: self.storage.has_failed(),
            leaving: self.departure.is_some(),
            members: self.acceptor.members.clone(),
            merged: self.merged,
            pending_changes: self.pending_changes_size(),
            catching_up: self.catch_up.progress(),
            held_leases: self.held_leases(now),
            evacuated_zones: self.configuration.evacuated().map(str::to_owned).collect(),
        }
    }

    /// The configuration as it is merged here; whether it is the newest, only a read-back tells.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// What this node has counted since its start.
    pub fn counters(&self) -> &BTreeMap<&'static str, u64> {
        &self.counters
    }
}
