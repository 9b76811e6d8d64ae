//! Custody of sharded services: leases asked for and renewed, turns of placement carried out.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use lynxmill::{Moment, Span};
use lynxmill_configuration::{Service, fnv1a};
use lynxmill_consensus::{ElectionStep, LeaseElection};
use lynxmill_placement::{Grant, PlacementPlanner, PlacementStep, Terms, Told, fresh};
use lynxmill_protocol::{LeaseRequest, Membership, PeerRequest, PeerResponse, ShardTable, Task, ToEdgeBody};
use prost::Message;

use crate::agree::ProposalDecision;
use crate::port::{ControlPlane, lock};

/// Between turns of placement.
const TURN: Duration = Duration::from_millis(25);
/// Past the end of a dropped stream.
const LEASE: Span = Span::from_micros(2_500_000);
/// How long a task holds a slice from a beat, in seconds, within what the settings allow.
const HOLD: f64 = 5.0;
/// Slices that a service is divided into at first.
const SLICES: u32 = 64;
/// Slices that it may come to: their rows have to fit into a beat's answer of 4 KiB.
const MOST: usize = 100;
const WRITE: Duration = Duration::from_millis(700);

/// A service that this member has custody of, or would like to have.
#[derive(Default)]
pub struct Custody {
    pub claim: LeaseElection,
    pub plan: Option<PlacementPlanner>,
    answers: Option<Receiver<(String, PeerResponse)>>,
}

fn register(service: &str) -> String {
    format!("berth/{service}")
}

/// A member's place in a service's order.
fn rank(service: &str, ip: &str) -> u64 {
    let mixed = fnv1a(service.bytes().chain([0]).chain(ip.bytes()));
    (mixed ^ (mixed >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl ControlPlane {
    fn hold(&self) -> f64 {
        let most = self.local.bounds().max_hold_s;
        if most > 0.0 { HOLD.min(most) } else { HOLD }
    }

    fn terms(&self, service: &Service) -> Terms {
        let bounds = self.local.bounds();
        let chart = lynxmill_configuration::Chart::new(&lock(&self.core).configuration);
        Terms {
            service: service.name.clone(),
            aim: Span::from_secs(chart.aim(&service.name).unwrap_or(0.5)),
            hold: Span::from_secs(self.hold()),
            longest_hold: Span::from_secs(self.hold()),
            lease: LEASE,
            interval: Span::from_secs(1.0),
            drain: Span::from_secs(bounds.drain_s.max(1.0)),
            gather: Span::from_secs(self.local.beat_interval_s * 1.3),
            warm_after: Span::from_secs(service.cold_start_s.max(0.1)),
            most: MOST,
        }
    }

    /// What a task is to hold, if this member has custody and its lease still runs.
    pub fn grant(&self, now: Moment, service: &str, told: &Told) -> Option<(Vec<Grant>, f64)> {
        let mut plans = lock(&self.plans);
        let custody = plans.get_mut(service)?;
        let plan = custody.plan.as_mut()?;
        if !custody.claim.holds(self.now()) {
            return None;
        }
        // As the plan counts it.
        let (grants, hold) = (plan.beat(now, told), plan.hold().secs());
        // Guards against a freeze between the look and the grant.
        custody.claim.holds(self.now()).then_some((grants, hold))
    }

    pub fn signed_off(&self, service: &str, id: &str) {
        let mut plans = lock(&self.plans);
        plans.get_mut(service).and_then(|c| c.plan.as_mut()).into_iter().for_each(|p| p.signed_off(id));
    }

    /// Where a service's tasks should send their beats.
    pub fn custodian(&self, service: &str) -> Option<String> {
        let now = self.now();
        let words = lock(&self.words);
        let lately = Span::from_secs(1.5);
        let has =
            |w: &&crate::port::PeerStatus| now - w.at < lately && w.custody.iter().any(|s| s == service);
        words.values().find(has).map(|word| word.control.clone())
    }

    /// Services that this member has custody of.
    pub fn in_custody(&self) -> Vec<String> {
        let now = self.now();
        let plans = lock(&self.plans);
        let own = plans.iter().filter(|(_, c)| c.plan.is_some() && c.claim.holds(now));
        own.map(|(service, _)| service.clone()).collect()
    }

    fn ask_lease(&self, service: &str, back: bool) -> Receiver<(String, PeerResponse)> {
        let (waiting, answers) = channel();
        let members = self.members();
        let (holder, epoch) = (self.me.clone(), members.epoch);
        let asked = LeaseRequest { service: service.to_owned(), holder, life: self.life, epoch, back };
        for ip in members.ips.iter().filter(|ip| **ip != self.me) {
            self.peers.ask(ip, PeerRequest::LeaseRequest(asked.clone()), &waiting);
        }
        if members.ips.contains(&self.me) {
            let yes = lock(&self.leases).ask(self.now(), &asked, &members);
            let _ = waiting.send((self.me.clone(), PeerResponse::Yes(yes)));
        }
        answers
    }

    /// Whether another may hold a lease, or this member may have none.
    fn taken(&self, now: Moment, service: &str, members: &Membership) -> bool {
        let leases = lock(&self.leases);
        let other = leases.holder(now, service).is_some_and(|holder| holder != self.me);
        let none = self.leaving() || lock(&self.core).acceptor.catching_up || !members.ips.contains(&self.me);
        none || other || !leases.open(now)
    }

    fn claim(&self, now: Moment, service: &Service) {
        let members = self.members();
        let name = service.name.as_str();
        let taken = self.taken(now, name, &members);
        let mine = rank(name, &self.me);
        let before = members.ips.iter().filter(|ip| rank(name, ip) < mine).count();
        let mut plans = lock(&self.plans);
        let custody = plans.entry(name.to_owned()).or_default();
        if let Some(answers) = &custody.answers {
            while let Ok((from, said)) = answers.try_recv() {
                if said == PeerResponse::Yes(true) {
                    custody.claim.yes(&from, &members);
                }
            }
        }
        if !custody.claim.holds(now) && custody.plan.take().is_some() {
            log::warn!("custody of {name} has run out");
            self.count("custody-lost");
        }
        match custody.claim.step(now, taken, before, self.drawn()) {
            ElectionStep::Wait => {}
            ElectionStep::Ask => custody.answers = Some(self.ask_lease(name, false)),
            ElectionStep::GiveBack => {
                (custody.answers, custody.plan) = (None, None);
                let _ = self.ask_lease(name, true);
                self.count("claims-given-back");
            }
        }
        let take_over = custody.claim.holds(now) && custody.plan.is_none();
        drop(plans);
        if take_over {
            self.take_over(service);
        }
    }

    fn take_over(&self, service: &Service) {
        let me = self.me.clone();
        let next = |held: Option<&[u8]>| {
            let held = held.and_then(|value| ShardTable::decode(value).ok()).unwrap_or_default();
            let slices = if held.slices.is_empty() { fresh(SLICES) } else { held.slices };
            ShardTable { term: held.term + 1, holder: me.clone(), slices }
        };
        let agreed = self.agree(&register(&service.name), Instant::now() + WRITE, |round| {
            ProposalDecision::Propose(next(round.current()).encode_to_vec())
        });
        let Some(berth) = agreed.ok().and_then(|value| ShardTable::decode(value.as_slice()).ok()) else {
            self.count("custody-not-taken");
            return;
        };
        let now = self.now();
        let terms = self.terms(service);
        let mut plans = lock(&self.plans);
        let Some(custody) = plans.get_mut(&service.name).filter(|c| c.claim.holds(now)) else { return };
        log::info!("custody of {} in term {}", service.name, berth.term);
        self.count("custody-taken");
        let mut plan = PlacementPlanner::new(now, self.life ^ berth.term, terms, berth);
        let mut edges = lock(&self.edges);
        for (name, _) in edges.streams.iter() {
            plan.edge_joined(name);
        }
        edges.push(ToEdgeBody::Table(plan.whole_table()));
        custody.plan = Some(plan);
        drop((edges, plans));
        self.tell_members();
    }

    /// One turn of a service's placement: decide, write, tell.
    fn turn(&self, service: &str, tasks: &[Task], evacuated: &[String]) {
        let empty = |zone: &str| evacuated.iter().any(|z| z == zone);
        let (put, term) = {
            let mut plans = lock(&self.plans);
            let Some(plan) = plans.get_mut(service).and_then(|c| c.plan.as_mut()) else { return };
            let put = plan.turn(self.now(), tasks, &empty);
            if let Some(table) = put.table.clone() {
                lock(&self.edges).push(ToEdgeBody::Table(table));
            }
            (put, plan.term())
        };
        let PlacementStep { write: Some(wanted), moves, stays, .. } = put else { return };
        (0..moves).for_each(|_| self.count("slices-placed"));
        (0..stays).for_each(|_| self.count("slices-stay"));
        let agreed = self.agree(&register(service), Instant::now() + WRITE, |round| {
            let held = round.current().and_then(|value| ShardTable::decode(value).ok());
            match held {
                Some(held) if held.term == term => ProposalDecision::Propose(wanted.encode_to_vec()),
                _ => ProposalDecision::Stop,
            }
        });
        let mut plans = lock(&self.plans);
        let Some(custody) = plans.get_mut(service) else { return };
        let Some(plan) = custody.plan.as_mut().filter(|plan| plan.term() == term) else { return };
        match agreed {
            Ok(_) => plan.written(wanted),
            Err(crate::agree::AgreementError::NoMajority) => plan.unwritten(),
            Err(crate::agree::AgreementError::Stopped) => {
                log::warn!("another has custody of {service}");
                custody.plan = None;
                custody.claim.end();
            }
        }
    }

    /// Gives all leases back, before it leaves.
    pub fn give_back(&self) {
        let own = self.in_custody();
        let mut plans = lock(&self.plans);
        for service in own {
            if let Some(custody) = plans.get_mut(&service) {
                custody.plan = None;
                custody.claim.end();
            }
            let _ = self.ask_lease(&service, true);
        }
    }
}

/// Placement, turn by turn.
pub fn run(port: Arc<ControlPlane>) {
    loop {
        std::thread::sleep(TURN);
        let now = port.now();
        let (sharded, evacuated) = {
            let core = lock(&port.core);
            (core.sharded.clone(), core.configuration.evacuated().map(str::to_owned).collect::<Vec<_>>())
        };
        if sharded.is_empty() || port.leaving() {
            continue;
        }
        for service in sharded.iter() {
            port.claim(now, service);
        }
        let own = port.in_custody();
        if own.is_empty() {
            continue;
        }
        let tasks: Vec<Task> = {
            let yard = lock(&port.yard);
            yard.all().filter(|k| own.contains(&k.task.service)).map(|k| k.told(now)).collect()
        };
        own.iter().for_each(|service| port.turn(service, &tasks, &evacuated));
    }
}
