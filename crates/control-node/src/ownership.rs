//! Ownership of the shards of sharded services: leases asked for and renewed, turns of placement carried out.
//! Only the owner grants holdings; its term fences what it writes and what it tells edges.

use std::collections::BTreeMap;

use lynxmill_configuration::{RoutingTable, Service, fnv1a};
use lynxmill_consensus::{BallotRound, ElectionStep, LeaseElection};
use lynxmill_placement::{Parameters, PlacementPlanner, PlacementStep, initial_slices};
use lynxmill_protocol::{LeaseRequest, PeerRequest, ShardTable, Task, ToEdgeBody};
use lynxmill_time::{TimeDelta, Timestamp};
use prost::Message;

use crate::contact::STATUS_MAX_AGE;
use crate::event::Event;
use crate::messages::{GrantedHoldings, HeartbeatAnswer, InstanceHeartbeat};
use crate::node::ControlNode;
use crate::pending_requests::Awaited;
use crate::proposals::{Choice, Purpose};

/// Past the end of an edge's stream.
const EDGE_LEASE: TimeDelta = TimeDelta::from_micros(2_500_000);
/// How long a task holds a slice from a heartbeat, in seconds, within what the settings allow.
const SHARD_LEASE_S: f64 = 5.0;
/// Slices that a service is divided into at first.
const INITIAL_SLICES: u32 = 64;
/// Slices that it may come to: their rows have to fit into a heartbeat's answer of 4 KiB.
const MAX_SLICES: usize = 100;
/// How long a write of a shard table is tried.
const WRITE_TIMEOUT: TimeDelta = TimeDelta::from_micros(700_000);

/// A service whose shards this node owns, or would like to.
#[derive(Default)]
struct ShardOwnership {
    election: LeaseElection,
    planner: Option<PlacementPlanner>,
    /// Promises for other questions than this one are late.
    attempt: u64,
}

#[derive(Default)]
pub(crate) struct Ownership {
    services: BTreeMap<String, ShardOwnership>,
    last_attempt: u64,
}

impl Ownership {
    pub(crate) fn planner_mut(&mut self, service: &str) -> Option<&mut PlacementPlanner> {
        self.services.get_mut(service)?.planner.as_mut()
    }

    /// The placement of a service whose shards this node owns now.
    pub(crate) fn planner(&self, now: Timestamp, service: &str) -> Option<&PlacementPlanner> {
        let ownership = self.services.get(service)?;
        let planner = ownership.planner.as_ref();
        planner.filter(|_| ownership.election.is_held(now))
    }

    pub(crate) fn planners_mut(&mut self) -> impl Iterator<Item = &mut PlacementPlanner> {
        self.services
            .values_mut()
            .filter_map(|ownership| ownership.planner.as_mut())
    }
}

fn register(service: &str) -> String {
    format!("berth/{service}")
}

/// A member's place in a service's order.
fn rank(service: &str, ip: &str) -> u64 {
    let mixed = fnv1a(service.bytes().chain([0]).chain(ip.bytes()));
    (mixed ^ (mixed >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl ControlNode {
    /// What a task is to hold, if this node owns the shards and its lease still runs; else who does. None if
    /// nobody is known to.
    pub(crate) fn grant(
        &mut self,
        now: Timestamp,
        heartbeat: &InstanceHeartbeat,
    ) -> Option<HeartbeatAnswer> {
        let service = &heartbeat.task.service;
        if let Some(ownership) = self.ownership.services.get_mut(service)
            && let Some(planner) = ownership.planner.as_mut()
            && ownership.election.is_held(now)
        {
            let grants = planner.heartbeat(now, &heartbeat.holdings);
            let lease_s = planner.lease_duration().secs();
            let beat_target = Some(self.options.control_address.clone());
            return Some(HeartbeatAnswer {
                beat_target,
                holdings: Some(GrantedHoldings { grants, lease_s }),
            });
        }
        let beat_target = Some(self.owner(now, service)?);
        Some(HeartbeatAnswer {
            beat_target,
            holdings: None,
        })
    }

    /// Where a service's tasks should send their heartbeats.
    fn owner(&self, now: Timestamp, service: &str) -> Option<String> {
        let mut peers = self
            .statuses
            .values()
            .filter(|peer| now - peer.received < STATUS_MAX_AGE);
        let owns = peers.find(|peer| peer.status.owned_services.iter().any(|s| s == service));
        owns.map(|peer| peer.status.control_address.clone())
    }

    /// Services whose shards this node owns.
    pub(crate) fn owned_services(&self, now: Timestamp) -> Vec<String> {
        let services = self.ownership.services.iter();
        let owned = services.filter(|(_, own)| own.planner.is_some() && own.election.is_held(now));
        owned.map(|(service, _)| service.clone()).collect()
    }

    /// Services whose lease this node holds, whether or not its ownership has been written.
    pub(crate) fn held_leases(&self, now: Timestamp) -> Vec<String> {
        let services = self.ownership.services.iter();
        let held = services.filter(|(_, ownership)| ownership.election.is_held(now));
        held.map(|(service, _)| service.clone()).collect()
    }

    /// A task that had drained has signed off. One that signs off first may serve on for as long as a drain takes: it
    /// keeps what it was granted until its lease runs out.
    pub(crate) fn drained_task_ended(&mut self, task: &Task) {
        if let Some(planner) = self.ownership.planner_mut(&task.service) {
            planner.sign_off(&task.id);
        }
    }

    pub(crate) fn advance_ownership(&mut self, now: Timestamp) {
        let sharded = self.sharded_services.clone();
        if sharded.is_empty() || self.departure.is_some() {
            return;
        }
        sharded.iter().for_each(|service| self.claim(now, service));
        let owned = self.owned_services(now);
        if owned.is_empty() {
            return;
        }
        let all = self
            .instances
            .registry
            .all()
            .filter(|known| owned.contains(&known.task.service));
        let mut tasks: Vec<Task> = all.map(|known| known.as_of(now)).collect();
        owned
            .iter()
            .for_each(|service| self.withhold_keys(service, &mut tasks));
        let evacuated: Vec<String> = self.configuration.evacuated().map(str::to_owned).collect();
        owned
            .iter()
            .for_each(|service| self.run_placement(now, service, &tasks, &evacuated));
    }

    // --- the lease ---

    /// Whether another may hold the lease, or this node may have none.
    fn is_owned_by_another(&self, now: Timestamp, service: &str) -> bool {
        let other = self
            .leases
            .holder(now, service)
            .is_some_and(|holder| !self.is_self(holder));
        other || self.acceptor.catching_up || !self.is_member() || !self.leases.grants_leases(now)
    }

    fn claim(&mut self, now: Timestamp, service: &Service) {
        let name = service.name.as_str();
        let held = self
            .ownership
            .services
            .get(name)
            .is_some_and(|ownership| ownership.election.is_held(now));
        // While the members change a lease may run on, but nobody can get one.
        let changing = !held && !self.acceptor.may_grant_leases();
        let taken = changing || self.is_owned_by_another(now, name);
        let mine = rank(name, &self.options.ip);
        let before = self
            .acceptor
            .members
            .ips
            .iter()
            .filter(|ip| rank(name, ip) < mine)
            .count();
        let drawn = self.random_fraction();
        let ownership = self.ownership.services.entry(name.to_owned()).or_default();
        let lost = !ownership.election.is_held(now) && ownership.planner.take().is_some();
        let step = ownership.election.step(now, taken, before, drawn);
        let (holds, planned) = (ownership.election.is_held(now), ownership.planner.is_some());
        if lost {
            self.log(Event::OwnershipLost(name.to_owned()));
            self.count("ownership-lost");
        }
        match step {
            ElectionStep::Wait => {}
            ElectionStep::Request => self.request_lease(now, name, false),
            ElectionStep::Release => {
                self.count("leases-withdrawn");
                self.drop_planner(name);
                self.request_lease(now, name, true);
            }
        }
        if holds && !planned && step != ElectionStep::Release {
            self.propose(
                now,
                &register(name),
                Purpose::TakeOwnership(name.to_owned()),
                now + WRITE_TIMEOUT,
            );
        }
    }

    fn drop_planner(&mut self, service: &str) {
        if let Some(ownership) = self.ownership.services.get_mut(service) {
            ownership.planner = None;
            ownership.attempt = 0;
        }
    }

    fn request_lease(&mut self, now: Timestamp, service: &str, release: bool) {
        self.ownership.last_attempt += 1;
        let attempt = self.ownership.last_attempt;
        if let Some(ownership) = self.ownership.services.get_mut(service) {
            ownership.attempt = if release { 0 } else { attempt };
        }
        let (holder, epoch, incarnation) = (
            self.options.ip.clone(),
            self.acceptor.members.epoch,
            self.options.incarnation,
        );
        let request = LeaseRequest {
            service: service.to_owned(),
            holder,
            incarnation,
            epoch,
            release,
        };
        for ip in self.other_members() {
            let awaited = Awaited::Lease {
                service: service.to_owned(),
                attempt,
            };
            self.send_request(
                now,
                &ip,
                PeerRequest::LeaseRequest(request.clone()),
                awaited,
            );
        }
        if self.is_member() && self.grant_lease(now, &request) && !release {
            let me = self.options.ip.clone();
            self.lease_granted(service, attempt, &me);
        }
    }

    /// Grants, renews or takes back a lease; whether this node did. Giving one back never does harm.
    pub(crate) fn grant_lease(&mut self, now: Timestamp, request: &LeaseRequest) -> bool {
        let may_grant = request.release || self.acceptor.may_grant_leases();
        may_grant && self.leases.grant(now, request, &self.acceptor.members)
    }

    pub(crate) fn lease_granted(&mut self, service: &str, attempt: u64, from: &str) {
        let members = &self.acceptor.members;
        if let Some(ownership) = self.ownership.services.get_mut(service)
            && ownership.attempt == attempt
        {
            ownership.election.granted(from, members);
        }
    }

    /// Gives all leases back, before this node leaves.
    pub(crate) fn release_leases(&mut self, now: Timestamp) {
        for service in self.owned_services(now) {
            self.drop_planner(&service);
            if let Some(ownership) = self.ownership.services.get_mut(&service) {
                ownership.election.reset();
            }
            self.request_lease(now, &service, true);
        }
    }

    // --- the shard table ---

    /// A new owner's table: the stored owners in a higher term.
    pub(crate) fn choose_ownership(&self, round: &BallotRound) -> Choice {
        let held = round
            .accepted_value()
            .and_then(|value| ShardTable::decode(value).ok())
            .unwrap_or_default();
        let slices = if held.slices.is_empty() {
            initial_slices(INITIAL_SLICES)
        } else {
            held.slices
        };
        let table = ShardTable {
            term: held.term + 1,
            owner: self.options.ip.clone(),
            slices,
        };
        Choice::Propose(table.encode_to_vec())
    }

    /// Only the owner of the term that stands writes; a deposed one finds a higher term.
    pub(crate) fn choose_shard_table(
        round: &BallotRound,
        term: u64,
        wanted: &ShardTable,
    ) -> Choice {
        let held = round
            .accepted_value()
            .and_then(|value| ShardTable::decode(value).ok());
        match held {
            Some(held) if held.term == term => Choice::Propose(wanted.encode_to_vec()),
            _ => Choice::End,
        }
    }

    pub(crate) fn ownership_chosen(&mut self, now: Timestamp, name: &str, value: &[u8]) {
        let Ok(table) = ShardTable::decode(value) else {
            return;
        };
        let Some(service) = self
            .sharded_services
            .iter()
            .find(|service| service.name == name)
            .cloned()
        else {
            return;
        };
        let terms = self.placement_parameters(&service);
        let (edges, term) = (self.edges.names(), table.term);
        let seed = self.options.incarnation ^ term;
        let Some(ownership) = self
            .ownership
            .services
            .get_mut(name)
            .filter(|ownership| ownership.election.is_held(now))
        else {
            return;
        };
        let mut planner = PlacementPlanner::new(now, seed, terms, table);
        edges.iter().for_each(|edge| planner.edge_joined(edge));
        let whole = planner.complete_update();
        ownership.planner = Some(planner);
        // What was told before may have been told by a node that nobody heard.
        self.instances.registry.restart_timeouts(now, name);
        self.count("ownership-taken");
        self.log(Event::OwnershipTaken {
            service: name.to_owned(),
            term,
        });
        self.send_edges(self.edges.all(), ToEdgeBody::ShardTableUpdate(whole));
        self.broadcast_status(now);
    }

    fn placement_parameters(&self, service: &Service) -> Parameters {
        let bounds = &self.options.bounds;
        let routes = RoutingTable::new(&self.configuration);
        let hold = if bounds.max_hold_s > 0.0 {
            SHARD_LEASE_S.min(bounds.max_hold_s)
        } else {
            SHARD_LEASE_S
        };
        Parameters {
            service: service.name.clone(),
            latency_target: TimeDelta::from_secs(
                routes.latency_target(&service.name).unwrap_or(0.5),
            ),
            lease_duration: TimeDelta::from_secs(hold),
            max_lease_duration: TimeDelta::from_secs(hold),
            edge_lease: EDGE_LEASE,
            interval: TimeDelta::from_secs(1.0),
            drain: TimeDelta::from_secs(bounds.drain_s.max(1.0)),
            heartbeat_grace: TimeDelta::from_secs(self.options.heartbeat_interval_s * 1.3),
            warm_up: TimeDelta::from_secs(service.cold_start_s.max(0.1)),
            max_slices: MAX_SLICES,
        }
    }

    /// One turn of a service's placement: decide, write, tell.
    fn run_placement(
        &mut self,
        now: Timestamp,
        service: &str,
        tasks: &[Task],
        evacuated: &[String],
    ) {
        let empty = |zone: &str| evacuated.iter().any(|z| z == zone);
        let Some(planner) = self.ownership.planner_mut(service) else {
            return;
        };
        let PlacementStep {
            write,
            table,
            stays,
            moves,
        } = planner.step(now, tasks, &empty);
        let term = planner.term();
        if let Some(table) = table {
            self.send_edges(self.edges.all(), ToEdgeBody::ShardTableUpdate(table));
        }
        let Some(table) = write else { return };
        (0..moves).for_each(|_| self.count("slices-placed"));
        (0..stays).for_each(|_| self.count("slices-staying"));
        let purpose = Purpose::WriteShards {
            service: service.to_owned(),
            term,
            table,
        };
        let register = register(service);
        if self.proposals.is_open(&register) {
            return self.shard_table_write_failed(service, term);
        }
        self.propose(now, &register, purpose, now + WRITE_TIMEOUT);
    }

    pub(crate) fn shard_table_written(&mut self, service: &str, term: u64, table: ShardTable) {
        if let Some(planner) = self.planner_of_term(service, term) {
            planner.written(table);
        }
    }

    pub(crate) fn shard_table_write_failed(&mut self, service: &str, term: u64) {
        if let Some(planner) = self.planner_of_term(service, term) {
            planner.write_failed();
        }
    }

    pub(crate) fn ownership_deposed(&mut self, service: &str, term: u64) {
        if self.planner_of_term(service, term).is_none() {
            return;
        }
        self.log(Event::OwnershipDeposed(service.to_owned()));
        self.drop_planner(service);
        if let Some(ownership) = self.ownership.services.get_mut(service) {
            ownership.election.reset();
        }
    }

    fn planner_of_term(&mut self, service: &str, term: u64) -> Option<&mut PlacementPlanner> {
        self.ownership
            .planner_mut(service)
            .filter(|planner| planner.term() == term)
    }
}
