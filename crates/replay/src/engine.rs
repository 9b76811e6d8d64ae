//! The engine: plays a day's world against assigners, event by event, on the virtual clock. Decisions come from
//! the reducer and module that the daemon runs; what is modelled here is what they decide for.

mod assigners;
mod clients;
mod fleet;
mod gossip;

use std::collections::BTreeMap;
use std::rc::Rc;

use lynxmill_assigner_settings::DecodeError;
use lynxmill_assigner_state::Event;
use lynxmill_membership::Transport;
use lynxmill_recording::{
    Asks, Clients, Day, Head, Life, Link, Log, Operation, RecordedEvent, RecordedFault, RunDigest,
    World,
};
use lynxmill_time::{TimeDelta, Timestamp};
use serde_json::Value;

use crate::chance::{Chance, For};
use crate::checks::Checks;
use crate::clock::EventQueue;
use crate::driver::Driver;
use crate::figure::{Account, Report, ReportPart};
use crate::forwarder::{Forwarder, Message};
use crate::relay::{Call, Store};
use crate::server::Server;
use crate::terms::ReplayConfig;

use assigners::Node;
use clients::{Invocation, Try};
use gossip::Member;

/// Between two looks at slices that nobody serves.
const LOOK: TimeDelta = TimeDelta::from_micros(500_000);

/// Something put wrong on purpose, so that tests can see the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    /// Forwarders go on writing whatever has become of their stream.
    LeaseIgnored,
    /// A forwarder that is back writes on with what it holds, before it has read the store.
    WritesUnread,
    /// A client that got no answer sends a write again.
    WritesRepeated,
}

/// What a play is to be like.
#[derive(Clone, Debug, Default)]
pub struct Play {
    /// Settings that differ from the recorded ones, for the report.
    pub changed: Vec<(String, String)>,
    /// Digest of the day as it was recorded, where the one that is played was changed.
    pub digest: Option<String>,
    pub fault: Option<InjectedFault>,
    /// Keep what assigners heard and ordered.
    pub record: bool,
    /// Assigners tell each other what they see of servers.
    pub gossip: bool,
}

/// All that can fall due.
enum Due {
    Ask(usize),
    Send(usize),
    Arrive(u64),
    WaitOver(u64),
    GiveUp(u64),
    AtServer(u64),
    Done(u32, u64),
    Cancel(u32, u64),
    Failed(u64),
    Answer(u64),
    Tell(Life, Event),
    Wake(Life, Timestamp),
    Alive(Life),
    Carry(Life, Call),
    Held(Life, u32),
    Agent(usize, u64),
    Report(Life),
    Dial(usize, usize),
    Read(usize, usize, u32),
    Deliver(usize, usize, u32, Rc<Message>),
    Takeover(Life),
    GiveBack(Life),
    Trouble(usize),
    Look,
    Member(Life, Timestamp),
    Word {
        from: usize,
        to: usize,
        road: Transport,
        bytes: Vec<u8>,
        asks: bool,
    },
}

/// What stays as it was recorded.
struct Recorded<'a> {
    asks: &'a [Asks],
    troubles: &'a [RecordedFault],
    seed: u64,
    began_ms: f64,
    operations: Vec<Operation>,
    zones: Vec<String>,
    owners: Vec<u16>,
    link: Link,
    clients: Clients,
}

pub(crate) struct Engine<'a, D> {
    day: Recorded<'a>,
    configuration: Value,
    report_fields: Vec<String>,
    terms: ReplayConfig,
    fault: Option<InjectedFault>,
    driver: D,
    agenda: EventQueue<Due>,
    store: Store,
    nodes: Vec<Node>,
    forwarders: Vec<Forwarder>,
    died: Vec<Option<Timestamp>>,
    servers: Vec<Server>,
    names: BTreeMap<String, u32>,
    /// Discovery's list: each change with its version, which is its place.
    listed: Vec<(u32, lynxmill_assigner::Standing, f64)>,
    /// Discovery tells so much later until then.
    lag: (TimeDelta, Timestamp),
    invocations: BTreeMap<usize, Invocation>,
    tries: BTreeMap<u64, Try>,
    last_try: u64,
    account: Account,
    checks: Checks,
    course: RunDigest,
    log: Option<Vec<Log>>,
    gossips: bool,
    members: Vec<Option<Member>>,
    /// When servers fell silent, and when the last slice of each was shut or moved, so long after.
    silent: BTreeMap<u32, (Timestamp, Option<TimeDelta>)>,
    moves: u64,
    orders: u64,
    calls: u64,
}

/// What a play came to, with the log where one was asked for.
pub struct Played {
    pub report: Report,
    pub log: Vec<Log>,
    /// Servers that fell silent while they owned slices: their names, when, and how long after that the last of their slices
    /// had been shut.
    pub silent: Vec<(String, Timestamp, Option<TimeDelta>)>,
}

fn span(micros: i64) -> TimeDelta {
    TimeDelta::from_micros(micros)
}

fn moment(micros: i64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// A day's name by what it holds.
///
/// # Errors
/// Parts that can't be written.
pub fn digest(day: &Day) -> Result<String, DecodeError> {
    let bytes = lynxmill_recording::bytes(day).map_err(|e| e.to_string())?;
    Ok(lynxmill_recording::digest(&bytes))
}

/// Plays a day. `configuration` is the one in force, which may differ from the day's own.
///
/// # Errors
/// A day without a world, settings that don't fit it, or a driver that fails.
pub fn play<D: Driver>(
    day: &Day,
    configuration: &Value,
    play: &Play,
    driver: D,
) -> Result<Played, DecodeError> {
    let world = day
        .world
        .as_ref()
        .ok_or("the day holds no world: rebuild one from its log first")?;
    let mut engine = Engine::new(
        &day.head,
        world,
        &day.asks,
        &day.troubles,
        configuration,
        play,
        driver,
    )?;
    engine.begin()?;
    let end = moment(world.length);
    while let Some(due) = engine.agenda.next(end) {
        engine.due(due)?;
        if engine.account.whole.open != engine.invocations.len() as u64
            || !engine.account.whole.conserved()
        {
            return Err(format!(
                "the engine lost an invocation at {:.6} s",
                engine.agenda.now().secs()
            ));
        }
    }
    engine.look();
    engine.ended(day, configuration, play)
}

impl<'a, D: Driver> Engine<'a, D> {
    fn new(
        head: &Head,
        world: &World,
        asks: &'a [Asks],
        troubles: &'a [RecordedFault],
        configuration: &Value,
        play: &Play,
        driver: D,
    ) -> Result<Self, DecodeError> {
        let settings = lynxmill_assigner_settings::field(configuration, "settings")?;
        let terms = ReplayConfig::of(settings)?;
        let (slices, kinds, assigners) = (
            world.slices.len(),
            world.operations.len(),
            world.assigners.len(),
        );
        if terms.slices != slices || terms.forwarders < world.forwarders.len() {
            return Err(
                "the settings are for other numbers of slices or forwarders than the day has"
                    .into(),
            );
        }
        if !terms
            .operations
            .iter()
            .map(|o| &o.name)
            .eq(world.operations.iter().map(|o| &o.name))
        {
            return Err("the settings name other operations than the day".into());
        }
        let lease = if play.fault == Some(InjectedFault::LeaseIgnored) {
            span(i64::MAX / 4)
        } else {
            terms.lease
        };
        let forwarder = |f: &lynxmill_recording::Forwarder| {
            Forwarder::new(f.zone.into(), assigners, slices, kinds, lease)
        };
        let mut servers: Vec<Server> = world
            .servers
            .iter()
            .map(|kind| Server::new(kind.clone(), slices))
            .collect();
        for (slice, (_, server)) in world.slices.iter().enumerate() {
            servers[*server as usize].knows(slice);
        }
        let names = world
            .servers
            .iter()
            .enumerate()
            .map(|(i, s)| (s.name.clone(), i as u32))
            .collect();
        Ok(Engine {
            day: Recorded {
                asks,
                troubles,
                seed: head.seed,
                began_ms: head.began_ms,
                operations: world.operations.clone(),
                zones: world.zones.clone(),
                owners: world.slices.iter().map(|(assigner, _)| *assigner).collect(),
                link: world.link.clone(),
                clients: world.clients.clone(),
            },
            configuration: configuration.clone(),
            report_fields: lynxmill_assigner_settings::report_fields(settings)?,
            fault: play.fault,
            driver,
            agenda: EventQueue::new(),
            store: Store::new(world.slices.iter().map(|(_, server)| *server), kinds),
            nodes: world
                .assigners
                .iter()
                .map(|a| Node::new(a, world.forwarders.len()))
                .collect(),
            forwarders: world.forwarders.iter().map(forwarder).collect(),
            died: vec![None; world.forwarders.len()],
            servers,
            names,
            listed: Vec::new(),
            lag: (span(0), Timestamp::default()),
            invocations: BTreeMap::new(),
            tries: BTreeMap::new(),
            last_try: 0,
            account: Account::new(&terms, span(world.length)),
            checks: Checks::new(slices),
            course: RunDigest::default(),
            log: play.record.then(Vec::new),
            gossips: play.gossip,
            members: world.assigners.iter().map(|_| None).collect(),
            silent: BTreeMap::new(),
            moves: 0,
            orders: 0,
            calls: 0,
            terms,
        })
    }

    fn begin(&mut self) -> Result<(), DecodeError> {
        let now = self.agenda.now();
        for server in 0..self.servers.len() {
            if self.servers[server].kind().runs {
                self.listed
                    .push((server as u32, lynxmill_assigner::Standing::Ready, 0.0));
            }
        }
        let index = self.listed.len() as u64;
        self.nodes.iter_mut().for_each(|node| node.agent = index);
        for slice in 0..self.store.charge.len() {
            let owner = usize::from(self.day.owners[slice]);
            self.store.give(now, slice, Some(owner));
        }
        for assigner in 0..self.nodes.len() {
            self.start(assigner)?;
            for forwarder in 0..self.forwarders.len() {
                let mut draw =
                    Chance::of(self.day.seed, For::Delay, forwarder as u64, assigner as u64);
                let after = span(self.day.link.redial).times(draw.unit() * 0.1);
                self.agenda.at(now + after, Due::Dial(forwarder, assigner));
            }
        }
        if let Some(first) = self.day.asks.first() {
            self.agenda.at(moment(first.at), Due::Ask(0));
        }
        if let Some(first) = self.day.troubles.first() {
            self.agenda.at(moment(first.at), Due::Trouble(0));
        }
        self.agenda.at(now + LOOK, Due::Look);
        Ok(())
    }

    fn due(&mut self, due: Due) -> Result<(), DecodeError> {
        match due {
            Due::Ask(index) => self.ask(index),
            Due::Send(inv) => self.send(inv),
            Due::Arrive(id) => self.arrive(id),
            Due::WaitOver(id) => self.wait_over(id),
            Due::GiveUp(id) => self.give_up(id),
            Due::AtServer(id) => self.at_server(id),
            Due::Done(server, id) => self.done(server, id),
            Due::Cancel(server, id) => self.cancel(server, id),
            Due::Failed(id) => self.failed(id),
            Due::Answer(id) => self.answer(id),
            Due::Tell(of, event) => return self.tell(of, event),
            Due::Wake(of, at) => return self.wake(of, at),
            Due::Alive(of) => self.alive(of),
            Due::Carry(of, call) => self.carry(of, &call),
            Due::Held(of, asked) => self.held_long(of, asked),
            Due::Agent(assigner, index) => self.agent(assigner, index),
            Due::Report(of) => self.report(of),
            Due::Dial(forwarder, assigner) => self.dial(forwarder, assigner),
            Due::Read(forwarder, assigner, epoch) => self.read(forwarder, assigner, epoch),
            Due::Deliver(forwarder, assigner, epoch, message) => {
                self.deliver(forwarder, assigner, epoch, message);
            }
            Due::Takeover(of) => self.take_over(of),
            Due::GiveBack(of) => self.give_back(of),
            Due::Trouble(index) => return self.trouble(index),
            Due::Member(of, at) => return self.member_due(of, at),
            Due::Word {
                from,
                to,
                road,
                bytes,
                asks,
            } => self.word(from, to, road, bytes, asks),
            Due::Look => {
                self.look();
                self.agenda.at(self.agenda.now() + LOOK, Due::Look);
            }
        }
        Ok(())
    }

    /// One way between two zones.
    fn way(&self, one: usize, other: usize) -> TimeDelta {
        span(if one == other {
            self.day.link.same_zone
        } else {
            self.day.link.cross_zone
        })
    }

    fn draw(&self, what: For, one: u64, two: u64) -> Chance {
        Chance::of(self.day.seed, what, one, two)
    }

    fn ended(
        mut self,
        day: &Day,
        configuration: &Value,
        play: &Play,
    ) -> Result<Played, DecodeError> {
        if !self.account.conserved() {
            return Err("the engine's tallies don't add up".to_owned());
        }
        for node in 0..self.nodes.len() {
            self.driver.end(self.nodes[node].of(node));
        }
        let settings = configuration
            .get("settings")
            .cloned()
            .unwrap_or_default()
            .to_string();
        let behind =
            serde_json::to_string(&(&self.day.clients, &self.day.link)).unwrap_or_default();
        let parts = |names: Vec<String>, tallies: &[crate::figure::Tally]| {
            let part = |(name, tally): (String, &crate::figure::Tally)| ReportPart {
                name,
                service: tally.service(),
                tally: tally.clone(),
            };
            names.into_iter().zip(tallies).map(part).collect::<Vec<_>>()
        };
        let names = self
            .terms
            .operations
            .iter()
            .map(|o| o.name.clone())
            .collect();
        let windows = (0..self.account.windows.len())
            .map(|k| format!("{}-{} s", k * 10, k * 10 + 10))
            .collect();
        let mut windows = parts(windows, &self.account.windows);
        while windows.last().is_some_and(|last| last.tally.asked == 0) {
            windows.pop();
        }
        let asked = windows.iter().filter(|part| part.tally.asked > 0);
        let worst = asked
            .min_by(|a, b| a.service.total_cmp(&b.service))
            .map(|part| part.name.clone());
        let broken = self.checks.breaches();
        let report = Report {
            day: day.head.name.clone(),
            day_digest: play.digest.clone().map_or_else(|| digest(day), Ok)?,
            settings_digest: lynxmill_recording::digest((settings + &behind).as_bytes()),
            changed: play.changed.clone(),
            service: broken.is_empty().then(|| self.account.whole.service()),
            broken,
            whole: self.account.whole.clone(),
            operations: parts(names, &self.account.operations),
            windows,
            worst_window: worst,
            tries: self.last_try,
            moves: self.moves,
            orders: self.orders,
            calls: self.calls,
            most_waiting: self.checks.most_waiting,
            most_messages: self.checks.most_messages,
            longest_bare_s: self.checks.longest_bare.secs(),
            longest_drain_s: self.checks.longest_drain.secs(),
            course: self.course.end(),
        };
        let named = |(server, (at, rid)): (u32, (Timestamp, Option<TimeDelta>))| {
            (self.servers[server as usize].kind().name.clone(), at, rid)
        };
        let silent = self.silent.into_iter().map(named).collect();
        Ok(Played {
            report,
            log: self.log.unwrap_or_default(),
            silent,
        })
    }
}
