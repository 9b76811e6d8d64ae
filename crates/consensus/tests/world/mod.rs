//! Membership of a core, their disks and their network, all from one seed; rounds go as in the control plane.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_consensus::{
    Acceptor, BallotRound, RECOVERY_DELAY, RegisterCopy, RoundOutcome, majority, node_number,
    recovery_quorum,
};
use lynxmill_protocol::{Accept, Accepted, Ballot, Membership, Prepare, Promise, Register};
use lynxmill_random::Pcg;
use lynxmill_time::{TimeDelta, Timestamp};
use prost::Message;

const LIST: &str = "list";
const MEMBERS: &str = "members";

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Bug {
    #[default]
    None,
    AcksBeforeSync,
    BlankVotes,
    IgnoresHighest,
    NewMajorityOnly,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Seen {
    pub acknowledged: usize,
    pub changes: usize,
    pub filled: usize,
    pub wiped: usize,
    /// Agreed once more after all was well again.
    pub settled: bool,
    /// So many disks were lost that no majority stands.
    pub stuck: bool,
}

#[derive(Clone)]
enum Word {
    Prepare(Prepare),
    Promise(Promise),
    Accept(Accept),
    Accepted(Accepted),
    Membership(Membership),
    Whole,
    Copy(RegisterCopy),
}

enum Event {
    /// From, to, the question that is asked or answered.
    Word(usize, usize, u64, Word),
    /// At, in which life, what the disk holds, whether a bare one is filled by it, the reply behind it.
    Synced(usize, u64, Disk, bool, Option<(usize, u64, Word)>),
    Wake(usize, u64),
    /// At, in which life: answers to a question are no longer waited for, or a pause is over.
    Late(usize, u64, u64),
    Chaos,
}

#[derive(Clone, Default)]
struct Disk {
    registers: BTreeMap<String, Register>,
    members: Membership,
    is_voter: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Pause,
    Prepare,
    Joint,
    Accept,
    Fill,
}

struct Op {
    /// To be added to the list; none where only the members change.
    element: Option<u16>,
    target: Option<Membership>,
    phase: Phase,
    ask: u64,
    until: Timestamp,
    members: Membership,
    round: BallotRound,
    lost: u64,
    value: Vec<u8>,
    /// The longest list that had been agreed when the round began.
    floor: Vec<u8>,
    dumps: Vec<RegisterCopy>,
}

#[derive(Default)]
struct Node {
    up: bool,
    acceptor: Acceptor,
    disk: Disk,
    /// Its disk was lost and has not been filled since.
    bare: bool,
    life: u64,
    born: Timestamp,
    synced: Timestamp,
    count: u64,
    op: Option<Op>,
}

#[derive(Default)]
pub(crate) struct World {
    now: Timestamp,
    chance: Pcg,
    bug: Bug,
    /// Whether a vote of a bare disk is told at once.
    pub watch_votes: bool,
    size: usize,
    nodes: Vec<Node>,
    events: BTreeMap<(Timestamp, u64), Event>,
    number: u64,
    elements: u16,
    calm: bool,
    cut: BTreeSet<usize>,
    loss: f64,
    longest: Vec<u8>,
    epochs: BTreeMap<u64, Membership>,
    pub seen: Seen,
    broken: Option<String>,
}

fn ip(n: usize) -> String {
    format!("10.0.0.{}", n + 1)
}

fn index(ip: &str) -> usize {
    node_number(ip) as usize % 256 - 1
}

fn millis(ms: f64) -> TimeDelta {
    TimeDelta::from_secs(ms / 1000.0)
}

impl World {
    pub(crate) fn new(seed: u64, size: usize, bug: Bug) -> Self {
        // Some worlds begin with the one more that there may be.
        let founders = size + seed as usize % 2;
        let first = Membership {
            epoch: 1,
            ips: (0..founders).map(ip).collect(),
        };
        let mut world = World {
            chance: Pcg::new(seed),
            bug,
            watch_votes: true,
            size,
            loss: 0.05,
            epochs: BTreeMap::from([(1, first.clone())]),
            ..World::default()
        };
        for n in 0..size + 2 {
            let founder = n < founders;
            let members = if founder {
                first.clone()
            } else {
                Membership::default()
            };
            let disk = Disk {
                members,
                is_voter: founder,
                ..Disk::default()
            };
            world.nodes.push(Node {
                disk,
                bare: !founder,
                ..Node::default()
            });
            world.start(n);
        }
        world.after(300.0, Event::Chaos);
        world
    }

    /// Plays trouble, then calm; what was broken, if anything.
    pub(crate) fn play(mut self) -> Result<Seen, String> {
        self.until(9.0);
        self.calm = true;
        (self.loss, self.cut) = (0.0, BTreeSet::new());
        self.restart(1.0);
        let before = self.seen.acknowledged;
        self.until(16.0);
        self.seen.settled = self.seen.acknowledged > before;
        let newest = self.newest();
        let standing = newest
            .ips
            .iter()
            .filter(|ip| !self.nodes[index(ip)].acceptor.catching_up)
            .count();
        self.seen.stuck = standing < majority(&newest);
        self.broken.map_or(Ok(self.seen), Err)
    }

    fn until(&mut self, secs: f64) {
        while self.broken.is_none()
            && let Some(((at, _), event)) = self.events.pop_first()
        {
            self.now = at;
            self.step(event);
            if at > Timestamp::from_secs(secs) {
                break;
            }
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        (self.chance.unit() * below as f64) as usize
    }

    fn next(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn after(&mut self, ms: f64, event: Event) {
        let key = (self.now + millis(ms), self.next());
        self.events.insert(key, event);
    }

    fn newest(&self) -> Membership {
        self.epochs
            .values()
            .next_back()
            .cloned()
            .unwrap_or_default()
    }

    fn fail(&mut self, what: String) {
        self.broken
            .get_or_insert(format!("at {} s: {what}", self.now.secs()));
    }

    // --- processes, disks, network ---

    fn start(&mut self, n: usize) {
        let incarnation = self.next();
        let node = &mut self.nodes[n];
        (node.up, node.life, node.born, node.synced, node.count) =
            (true, incarnation, self.now, self.now, 0);
        let Disk {
            registers,
            members,
            is_voter,
        } = node.disk.clone();
        node.acceptor = Acceptor {
            ip: ip(n),
            incarnation,
            members,
            catching_up: !is_voter,
            registers,
        };
        self.after(1.0, Event::Wake(n, incarnation));
    }

    fn send(&mut self, from: usize, to: usize, ask: u64, word: Word) {
        let lost =
            self.cut.contains(&from) != self.cut.contains(&to) || self.chance.unit() < self.loss;
        if from != to && lost {
            return;
        }
        let slow = if !self.calm && self.chance.unit() < 0.03 {
            1500.0
        } else {
            12.0
        };
        let ms = if from == to {
            0.0
        } else {
            self.chance.unit() * slow
        };
        self.after(ms, Event::Word(from, to, ask, word));
    }

    /// Writes come to disk in their order; a reply goes out behind its own.
    fn write(&mut self, at: usize, filled: bool, reply: Option<(usize, u64, Word)>) {
        let early = self.bug == Bug::AcksBeforeSync;
        let reply = match reply {
            Some((to, ask, word)) if early => {
                self.send(at, to, ask, word);
                None
            }
            other => other,
        };
        let ms = 0.2 + self.chance.unit() * if early { 250.0 } else { 8.0 };
        let node = &mut self.nodes[at];
        node.synced = node.synced.max(self.now + millis(ms)) + TimeDelta::from_micros(1);
        let Acceptor {
            registers,
            members,
            catching_up,
            incarnation,
            ..
        } = node.acceptor.clone();
        let disk = Disk {
            registers,
            members,
            is_voter: filled || !catching_up,
        };
        let key = (node.synced, self.next());
        self.events
            .insert(key, Event::Synced(at, incarnation, disk, filled, reply));
    }

    fn chaos(&mut self) {
        let n = self.draw(self.nodes.len());
        match self.draw(10) {
            0..3 if self.nodes[n].up => self.crash(n, false),
            3 | 4 if self.may_lose(n) => self.crash(n, true),
            5 | 6 => {
                self.cut = (0..self.nodes.len())
                    .filter(|_| self.chance.unit() < 0.5)
                    .collect()
            }
            7 => self.loss = self.chance.unit() * 0.4,
            8.. => (self.loss, self.cut) = (0.02, BTreeSet::new()),
            _ => {}
        }
        self.restart(0.4);
    }

    fn restart(&mut self, share: f64) {
        for n in 0..self.nodes.len() {
            if !self.nodes[n].up && self.chance.unit() < share {
                self.start(n);
            }
        }
    }

    fn crash(&mut self, n: usize, wipe: bool) {
        let life = self.next();
        let node = &mut self.nodes[n];
        (node.up, node.life, node.op) = (false, life, None);
        if wipe {
            (node.disk, node.bare) = (Disk::default(), true);
            self.seen.wiped += 1;
        }
    }

    /// As many disks as the members bear may be lost at once.
    fn may_lose(&self, n: usize) -> bool {
        let newest = self.newest();
        let falls = |ip: &&String| {
            index(ip) == n
                || self.nodes[index(ip)].bare
                || self.nodes[index(ip)].acceptor.catching_up
        };
        newest.ips.iter().filter(falls).count() < recovery_quorum(&newest)
    }

    // --- events ---

    fn step(&mut self, event: Event) {
        let alive = |node: &Node, life: u64| node.up && node.life == life;
        match event {
            Event::Chaos if !self.calm => {
                self.chaos();
                self.after(250.0, Event::Chaos);
            }
            Event::Chaos => {}
            Event::Wake(at, life) if alive(&self.nodes[at], life) => self.wake(at),
            Event::Late(at, life, ask)
                if alive(&self.nodes[at], life)
                    && self.nodes[at].op.as_ref().is_some_and(|op| op.ask == ask) =>
            {
                self.late(at);
            }
            Event::Synced(at, life, disk, filled, reply) if alive(&self.nodes[at], life) => {
                let node = &mut self.nodes[at];
                node.disk = disk;
                if filled {
                    (node.bare, node.acceptor.catching_up) = (false, false);
                    self.seen.filled += 1;
                }
                if let Some((to, ask, word)) = reply {
                    self.send(at, to, ask, word);
                }
            }
            Event::Word(from, to, ask, word) if self.nodes[to].up => self.word(from, to, ask, word),
            _ => {}
        }
    }

    fn word(&mut self, from: usize, to: usize, ask: u64, word: Word) {
        let node = &mut self.nodes[to];
        let honest = node.acceptor.catching_up;
        node.acceptor.catching_up &= self.bug != Bug::BlankVotes;
        let (said, write, yes) = match &word {
            Word::Prepare(asked) => {
                let (promise, write) = node.acceptor.prepare(asked, 0);
                (Some(Word::Promise(promise.clone())), write, promise.ok)
            }
            Word::Accept(asked) => {
                let (accepted, write) = node.acceptor.accept(asked);
                (Some(Word::Accepted(accepted.clone())), write, accepted.ok)
            }
            _ => (None, None, false),
        };
        node.acceptor.catching_up = honest;
        if yes && node.bare && self.watch_votes {
            self.fail(format!("{} votes, and its disk is bare", ip(to)));
        }
        match (said, write) {
            (Some(said), Some(_)) => return self.write(to, false, Some((from, ask, said))),
            (Some(said), None) => return self.send(to, from, ask, said),
            _ => {}
        }
        match word {
            Word::Membership(members) => return self.learn(to, &members),
            Word::Whole => {
                let Acceptor {
                    registers,
                    members,
                    catching_up,
                    ..
                } = self.nodes[to].acceptor.clone();
                let registers = registers.into_values().collect();
                let dump = RegisterCopy {
                    registers,
                    members,
                    catching_up,
                    storage_failed: false,
                    from: ip(to),
                    pending_membership: None,
                };
                return self.send(to, from, ask, Word::Copy(dump));
            }
            _ => {}
        }
        let Some(op) = self.nodes[to].op.as_mut().filter(|op| op.ask == ask) else {
            return;
        };
        let turn = match (word, op.phase) {
            (Word::Promise(promise), Phase::Prepare | Phase::Joint) => {
                op.round.promised(&ip(from), promise)
            }
            (Word::Accepted(accepted), Phase::Accept) => op.round.accepted(&ip(from), accepted),
            (Word::Copy(dump), Phase::Fill) => {
                op.dumps.push(dump);
                RoundOutcome::Pending
            }
            _ => RoundOutcome::Pending,
        };
        self.turn(to, turn);
    }

    fn learn(&mut self, n: usize, members: &Membership) {
        let node = &mut self.nodes[n];
        if node.acceptor.adopt_membership(members) {
            self.write(n, false, None);
        }
    }

    /// Now and then each tells who the members are, and begins something if it has nothing to do.
    fn wake(&mut self, n: usize) {
        let life = self.nodes[n].life;
        let ms = 120.0 + self.chance.unit() * 300.0;
        self.after(ms, Event::Wake(n, life));
        let Acceptor {
            members,
            catching_up,
            ..
        } = self.nodes[n].acceptor.clone();
        for to in (0..self.nodes.len()).filter(|to| *to != n) {
            self.send(n, to, 0, Word::Membership(members.clone()));
        }
        if members.ips.is_empty() || self.nodes[n].op.is_some() {
            return;
        }
        let seated = members.ips.contains(&ip(n));
        let target = if seated && !catching_up && !self.calm && self.chance.unit() < 0.4 {
            self.target(n)
        } else {
            None
        };
        let phase = if catching_up && seated && self.now - self.nodes[n].born > RECOVERY_DELAY {
            Phase::Fill
        } else {
            Phase::Pause
        };
        let element = (target.is_none() && phase != Phase::Fill).then(|| {
            self.elements += 1;
            self.elements
        });
        let ask = self.next();
        let round = BallotRound::new(Ballot::default(), &members);
        let until = self.now + millis(if target.is_some() { 1500.0 } else { 900.0 });
        let (value, floor, dumps, lost) = (Vec::new(), Vec::new(), Vec::new(), 0);
        let op = Op {
            element,
            target,
            phase,
            ask,
            until,
            members: members.clone(),
            round,
            lost,
            value,
            floor,
            dumps,
        };
        self.nodes[n].op = Some(op);
        if phase == Phase::Fill {
            for other in members
                .ips
                .iter()
                .map(|ip| index(ip))
                .filter(|other| *other != n)
            {
                self.send(n, other, ask, Word::Whole);
            }
            return self.after(400.0, Event::Late(n, life, ask));
        }
        self.begin(n);
    }

    /// A swap, one more, or one fewer, as the roll asks for them.
    fn target(&mut self, n: usize) -> Option<Membership> {
        let Membership { epoch, mut ips } = self.nodes[n].acceptor.members.clone();
        let outside = |new: &usize| !ips.contains(&ip(*new)) && self.nodes[*new].up;
        let outsiders: Vec<usize> = (0..self.nodes.len()).filter(outside).collect();
        let new = if outsiders.is_empty() {
            None
        } else {
            Some(ip(outsiders[self.draw(outsiders.len())]))
        };
        let out = ips[self.draw(ips.len())].clone();
        if ips.len() > self.size && self.chance.unit() < 0.6 {
            return None;
        }
        match (new, ips.len() > self.size) {
            (Some(new), true) if self.chance.unit() < 0.3 => ips.push(new),
            (Some(new), false) => ips.push(new),
            (None, false) => return None,
            _ => {}
        }
        if (ips.len() > self.size + 1 || self.chance.unit() < 0.5) && ips.len() > self.size {
            ips.retain(|ip| *ip != out);
        }
        (out != ip(n) && ips != self.nodes[n].acceptor.members.ips).then_some(Membership {
            epoch: epoch + 1,
            ips,
        })
    }

    // --- rounds ---

    fn begin(&mut self, n: usize) {
        let floor = self.longest.clone();
        let node = &mut self.nodes[n];
        let Some(op) = node.op.as_mut() else { return };
        if self.now >= op.until {
            return node.op = None;
        }
        let register = if op.element.is_none() || op.target.is_some() {
            MEMBERS
        } else {
            LIST
        };
        op.members = node.acceptor.members.clone();
        node.count = node
            .count
            .max(op.lost)
            .max(node.acceptor.highest_ballot(register).count)
            + 1;
        let ballot = Ballot {
            count: node.count,
            node: lynxmill_consensus::node_number(&ip(n)),
            incarnation: node.life as u32,
        };
        let asked = op
            .target
            .as_ref()
            .filter(|_| self.bug == Bug::NewMajorityOnly)
            .unwrap_or(&op.members);
        (op.round, op.floor) = (BallotRound::new(ballot, asked), floor);
        self.ask(n, Phase::Prepare);
    }

    /// Asks all of a round, each behind the same clock.
    fn ask(&mut self, n: usize, phase: Phase) {
        let ask = self.next();
        let node = &mut self.nodes[n];
        let Some(op) = node.op.as_mut() else { return };
        (op.phase, op.ask) = (phase, ask);
        let register = if op.element.is_none() || op.target.is_some() {
            MEMBERS
        } else {
            LIST
        }
        .to_owned();
        let (ballot, members, value) = (op.round.ballot, op.members.clone(), op.value.clone());
        let asked = |to: &String| match phase {
            Phase::Accept => Word::Accept(Accept {
                register: register.clone(),
                ballot,
                members: members.clone(),
                value: value.clone(),
                incarnation: op.round.incarnation(to),
            }),
            _ => Word::Prepare(Prepare {
                register: register.clone(),
                ballot,
                members: members.clone(),
            }),
        };
        let words: Vec<_> = op
            .round
            .recipients()
            .iter()
            .map(|to| (index(to), asked(to)))
            .collect();
        let life = node.life;
        words
            .into_iter()
            .for_each(|(to, word)| self.send(n, to, ask, word));
        self.after(350.0, Event::Late(n, life, ask));
    }

    fn late(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        let Some(op) = node.op.as_mut() else { return };
        match op.phase {
            Phase::Pause => self.begin(n),
            Phase::Fill => {
                let dumps = std::mem::take(&mut op.dumps);
                node.op = None;
                if node.acceptor.catching_up && node.acceptor.recover(&dumps) {
                    node.acceptor.catching_up = true;
                    self.write(n, true, None);
                }
            }
            _ => self.pause(n),
        }
    }

    fn pause(&mut self, n: usize) {
        let (ask, ms) = (self.next(), self.chance.unit() * 40.0);
        let node = &mut self.nodes[n];
        let Some(op) = node.op.as_mut() else { return };
        (op.phase, op.ask) = (Phase::Pause, ask);
        let life = node.life;
        self.after(ms, Event::Late(n, life, ask));
    }

    fn turn(&mut self, n: usize, turn: RoundOutcome) {
        let bug = self.bug;
        let node = &mut self.nodes[n];
        let Some(op) = node.op.as_mut() else { return };
        match turn {
            RoundOutcome::Pending => {}
            RoundOutcome::Propose if op.phase == Phase::Joint => {
                op.value = op
                    .target
                    .as_ref()
                    .map(Membership::encode_to_vec)
                    .unwrap_or_default();
                self.ask(n, Phase::Accept);
            }
            RoundOutcome::Propose if op.element.is_none() || op.target.is_some() => {
                let held = op
                    .round
                    .accepted_value()
                    .and_then(|value| Membership::decode(value).ok());
                let pending = held.filter(|held| held.epoch > op.members.epoch);
                let wanted = op
                    .target
                    .take()
                    .filter(|to| to.epoch == op.members.epoch + 1);
                op.target = pending.or(wanted);
                let Some(target) = op.target.clone() else {
                    node.op = None;
                    return;
                };
                match bug {
                    Bug::NewMajorityOnly => op.round = BallotRound::new(op.round.ballot, &target),
                    _ => op.round.require_majority_of_both(&target),
                }
                self.ask(n, Phase::Joint);
            }
            RoundOutcome::Propose => {
                let own = node.acceptor.value(LIST);
                let current = if bug == Bug::IgnoresHighest {
                    own
                } else {
                    op.round.accepted_value()
                };
                op.value = current.unwrap_or_default().to_vec();
                let element = op.element.unwrap_or_default().to_be_bytes();
                if !op.value.chunks(2).any(|held| held == element) {
                    op.value.extend(element);
                }
                self.ask(n, Phase::Accept);
            }
            RoundOutcome::Chosen => match op.target.clone() {
                Some(target) => {
                    node.op = None;
                    self.agreed_members(&target);
                    self.learn(n, &target);
                }
                None => {
                    let (value, floor) = (op.value.clone(), op.floor.clone());
                    node.op = None;
                    self.agreed_list(value, &floor);
                }
            },
            RoundOutcome::Preempted(ballot) => {
                op.lost = ballot.count;
                self.pause(n);
            }
            RoundOutcome::MembershipChanged(members) => {
                self.learn(n, &members);
                self.pause(n);
            }
            RoundOutcome::MembershipChanging => {
                // To be finished first; what was to be added may come again.
                op.element = None;
                self.pause(n);
            }
        }
    }

    // --- what must hold ---

    fn agreed_list(&mut self, list: Vec<u8>, floor: &[u8]) {
        self.seen.acknowledged += 1;
        if !list.starts_with(floor) {
            return self.fail(format!("lost: {floor:?} was agreed, then {list:?}"));
        }
        let (short, long) = if list.len() < self.longest.len() {
            (&list, &self.longest)
        } else {
            (&self.longest, &list)
        };
        if !long.starts_with(short) {
            return self.fail(format!("two values: {short:?} and {long:?}"));
        }
        self.longest = long.clone();
    }

    fn agreed_members(&mut self, members: &Membership) {
        self.seen.changes += 1;
        let first = self
            .epochs
            .entry(members.epoch)
            .or_insert_with(|| members.clone())
            .clone();
        if first != *members {
            self.fail(format!("two sets of members: {first:?} and {members:?}"));
        }
    }
}
