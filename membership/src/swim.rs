//! Who is there. Each member probes one other in a period, by itself and then through helpers; one that stays
//! silent is suspected, and dead once its time to answer for itself is over. Suspicions and signs of life
//! travel with probes and answers, in their authors' own signed words. Nobody is dead before this instance
//! has probed for itself once more, and nobody by one other's word alone.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use lynxmill::{Moment, Span};
use prost::Message as _;
use rand_core::Rng;
use rand_pcg::Pcg32;

use crate::codec::{Ask, Body, Claim, Kind, Signed, What, decode, encode};
use crate::health::Health;
use crate::keys::Seal;
use crate::node::Road;
use crate::terms::Terms;

/// What a claim's signature is for.
pub const CLAIM: u8 = 2;

/// Periods that a suspect has at least to answer for itself, for each tenfold of members; what it has at
/// first, as a multiple of that; and others that must suspect it too until it has the least.
const LEAST: f64 = 4.0;
const FIRST: f64 = 6.0;
const FELLOWS: usize = 3;
/// Times that it is probed once more before that time is over.
const LOOKS: u8 = 3;
/// How often something is passed on, for each tenfold of members.
const PASSED: f64 = 4.0;
/// Part of the timeout after which a helper says that it has no answer yet.
const NACK_AFTER: f64 = 0.8;
/// Periods without a look at the clock after which this instance has stood still.
const STALLED: f64 = 2.0;
/// Part of a second's bytes that one half of an exchange may take, and of the time between two that is waited
/// while more are there than are known.
const EXCHANGED: f64 = 0.5;
const SOON: f64 = 1.0 / 16.0;
/// Rumours that are looked at for one datagram, which holds fewer.
const AT_ONCE: usize = 32;
/// Part of a datagram's bytes that its head and signature take.
const HEAD: usize = 200;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    Alive,
    Suspect,
    Dead,
    Left,
}

impl State {
    /// Whether one in it counts as being there.
    pub fn there(self) -> bool {
        matches!(self, State::Alive | State::Suspect)
    }

    pub fn word(self) -> &'static str {
        match self {
            State::Alive => "alive",
            State::Suspect => "suspect",
            State::Dead => "dead",
            State::Left => "left",
        }
    }
}

/// Another member as this instance sees it.
#[derive(Clone, Debug)]
pub struct Member {
    pub name: String,
    pub at: SocketAddr,
    pub state: State,
    pub incarnation: u64,
    /// When it came to be in this state.
    pub since: Moment,
    /// Its own word that it is alive, or has left.
    word: Signed,
    /// Who suspects it in this incarnation, in their own words.
    by: BTreeMap<String, Signed>,
    deadline: Moment,
    /// How often it has been probed here once more before its time to answer is over.
    looks: u8,
}

/// A member is seen otherwise than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub name: String,
    pub from: Option<State>,
    pub to: State,
}

/// Something to be said to somebody; the name is empty for a seed that is not known by name yet.
#[derive(Clone, Debug, PartialEq)]
pub struct Send {
    pub to: SocketAddr,
    pub name: String,
    pub road: Road,
    pub body: Body,
}

struct Probe {
    number: u64,
    about: usize,
    /// Of whom it is probed: what comes of it tells nothing of a later one.
    incarnation: u64,
    /// Then helpers are asked, and then it is over.
    helped_at: Moment,
    over_at: Moment,
    /// Helpers were due, whether or not there were any.
    asked: bool,
    helpers: u32,
    nacks: u32,
}

/// A probe on behalf of another.
struct Favour {
    number: u64,
    of: usize,
    its_number: u64,
    nack_at: Moment,
    over_at: Moment,
}

/// What a rumour is about, of what kind, and whose where several may say it: a newer one takes its place.
type Key = (String, i32, String);

/// How often it was passed on, then which was said last.
type Place = (u32, Reverse<u64>);

/// Something to be passed on with whatever is sent.
struct Rumour {
    signed: Signed,
    place: Place,
}

pub struct Swim<S> {
    pub seal: S,
    terms: Terms,
    chance: Pcg32,
    name: String,
    at: SocketAddr,
    incarnation: u64,
    word: Signed,
    members: Vec<Member>,
    by_name: BTreeMap<String, usize>,
    /// Who is suspected, and how many others are there, so that nothing looks at all of them for each
    /// message.
    suspects: BTreeSet<usize>,
    there: usize,
    order: Vec<usize>,
    next: usize,
    probe_at: Moment,
    exchange_at: Moment,
    probes: Vec<Probe>,
    favours: Vec<Favour>,
    rumours: BTreeMap<Key, Rumour>,
    due: BTreeMap<Place, Key>,
    told: u64,
    seeds: Vec<SocketAddr>,
    /// As many as somebody lately took to be there.
    heard_of: u32,
    number: u64,
    last: Moment,
    left: bool,
    pub health: Health,
    pub changes: Vec<Change>,
    /// How often another's suspicion turned out to be wrong, by who said so.
    pub wrong: BTreeMap<String, u32>,
}

fn claim(about: &str, kind: Kind, incarnation: u64, at: &str) -> Claim {
    Claim { about: about.to_owned(), kind: kind as i32, incarnation, at: at.to_owned() }
}

impl<S: Seal> Swim<S> {
    /// `incarnation` is to be above that of any start before: the wall clock's milliseconds will do.
    pub fn new(
        name: &str,
        at: SocketAddr,
        incarnation: u64,
        terms: Terms,
        seal: S,
        seed: u64,
        now: Moment,
    ) -> Self {
        let mut chance = Pcg32::new(seed, 0x6d65_6d62);
        let _ = (chance.next_u32(), chance.next_u32());
        let mut swim = Swim {
            seal,
            probe_at: now,
            exchange_at: now,
            terms,
            chance,
            name: name.to_owned(),
            at,
            incarnation,
            word: Signed::default(),
            members: Vec::new(),
            by_name: BTreeMap::new(),
            suspects: BTreeSet::new(),
            there: 0,
            order: Vec::new(),
            next: 0,
            probes: Vec::new(),
            favours: Vec::new(),
            rumours: BTreeMap::new(),
            due: BTreeMap::new(),
            told: 0,
            seeds: Vec::new(),
            heard_of: 0,
            number: 0,
            last: now,
            left: false,
            health: Health::default(),
            changes: Vec::new(),
            wrong: BTreeMap::new(),
        };
        swim.say(Kind::Alive);
        swim
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    /// Others' keys and its own are other ones from now on; its own word is said anew under the new key.
    pub fn sealed(&mut self, seal: S) {
        let before = std::mem::replace(&mut self.seal, seal).key();
        if before != self.seal.key() && !self.left {
            self.incarnation += 1;
            self.say(Kind::Alive);
        }
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub fn members(&self) -> &[Member] {
        &self.members
    }

    pub fn member(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name).map(|&i| &self.members[i])
    }

    /// Those who are there, this instance among them.
    pub fn present(&self) -> usize {
        1 + self.there
    }

    fn unit(&mut self) -> f64 {
        f64::from(self.chance.next_u32()) / 4_294_967_296.0
    }

    fn below(&mut self, most: usize) -> usize {
        (self.unit() * most as f64) as usize
    }

    fn tenfolds(&self) -> f64 {
        (self.present() as f64).log10().max(1.0)
    }

    // --- words ---

    fn sign(&self, claim: &Claim) -> Signed {
        let text = encode(claim);
        let signature = self.seal.sign(CLAIM, &text);
        Signed { author: self.name.clone(), key: self.seal.key(), text, signature }
    }

    /// This instance's own word about itself, to be passed on.
    fn say(&mut self, kind: Kind) {
        let at = self.at.to_string();
        self.word = self.sign(&claim(&self.name, kind, self.incarnation, &at));
        self.pass(self.name.clone(), Kind::Alive, self.word.clone());
    }

    fn pass(&mut self, about: String, kind: Kind, signed: Signed) {
        let by = if kind == Kind::Suspect { signed.author.clone() } else { String::new() };
        let key = (about, kind as i32, by);
        // A sign of life makes the suspicions that it answers needless.
        let answered: Vec<Key> = match kind {
            Kind::Alive => {
                let from = (key.0.clone(), i32::MIN, String::new());
                self.rumours
                    .range(from..)
                    .take_while(|(of, _)| of.0 == key.0)
                    .map(|(of, _)| of.clone())
                    .collect()
            }
            _ => vec![key.clone()],
        };
        for key in answered {
            if let Some(rumour) = self.rumours.remove(&key) {
                self.due.remove(&rumour.place);
            }
        }
        self.told += 1;
        let place = (0, Reverse(self.told));
        self.due.insert(place, key.clone());
        self.rumours.insert(key, Rumour { signed, place });
    }

    /// What has been passed on least goes along, the newest first, as far as there is room.
    fn claims(&mut self, mut room: usize) -> Vec<Signed> {
        let most = (PASSED * self.tenfolds()).ceil() as u32;
        let first: Vec<(Place, Key)> =
            self.due.iter().take(AT_ONCE).map(|(place, key)| (*place, key.clone())).collect();
        let mut claims = Vec::new();
        for ((passed, number), key) in first {
            let Some(rumour) = self.rumours.get_mut(&key) else { continue };
            let size = rumour.signed.encoded_len() + 4;
            if size > room {
                continue;
            }
            room -= size;
            claims.push(rumour.signed.clone());
            self.due.remove(&(passed, number));
            if passed + 1 < most {
                rumour.place = (passed + 1, number);
                self.due.insert(rumour.place, key);
            } else {
                self.rumours.remove(&key);
            }
        }
        claims
    }

    fn send(&mut self, to: usize, what: What, out: &mut Vec<Send>) {
        // Who is suspected is told so first of all, to answer for itself.
        let accused = self.members[to].by.values().next().filter(|_| matches!(what, What::Ping(_)));
        let first = accused.cloned();
        self.send_with(to, what, first, out);
    }

    fn send_with(&mut self, to: usize, what: What, first: Option<Signed>, out: &mut Vec<Send>) {
        let (at, name) = (self.members[to].at, self.members[to].name.clone());
        let mut room = self.terms.datagram.saturating_sub(HEAD + self.name.len() + name.len());
        room = room.saturating_sub(first.as_ref().map_or(0, |signed| signed.encoded_len() + 4));
        let mut claims: Vec<Signed> = first.into_iter().collect();
        claims.extend(self.claims(room));
        out.push(Send {
            to: at,
            name,
            road: Road::Datagram,
            body: Body { what: Some(what), claims, ..Body::default() },
        });
    }

    /// What is known, for an exchange: this instance's own word, and as many others as there is room for,
    /// from anywhere on. One that is taken for dead here is told so first, so that it can answer for itself.
    fn everything(&mut self, of: &str, want: bool) -> Body {
        let from = self.below(self.members.len());
        let mut room = (self.terms.bytes_per_s * EXCHANGED) as usize;
        let mut claims = Vec::new();
        let mut take = |signed: &Signed| {
            let size = signed.encoded_len() + 4;
            let fits = size <= room;
            if fits {
                room -= size;
                claims.push(signed.clone());
            }
            fits
        };
        take(&self.word);
        let met = self.by_name.get(of).map(|&i| &self.members[i]).filter(|m| m.state == State::Dead);
        met.into_iter().flat_map(|member| member.by.values()).all(&mut take);
        let (before, after) = self.members.split_at(from);
        for member in after.iter().chain(before) {
            let suspected = member.by.values().filter(|_| member.state == State::Suspect);
            if !std::iter::once(&member.word).chain(suspected).all(&mut take) {
                break;
            }
        }
        let present = self.present() as u32;
        Body { what: Some(What::Exchange(want)), claims, evidence: Vec::new(), present }
    }

    // --- time ---

    /// Seeds are met until somebody is known, and again whenever nobody is left.
    pub fn join(&mut self, seeds: &[SocketAddr]) {
        self.seeds = seeds.iter().copied().filter(|seed| *seed != self.at).collect();
    }

    /// Tells everybody whom it meets from now on that it goes by its own will; returns what to say at once.
    pub fn leave(&mut self, out: &mut Vec<Send>) {
        self.left = true;
        self.incarnation += 1;
        self.say(Kind::Left);
        let mut there = self.present_ones(None);
        for _ in 0..(self.terms.helpers * 2).min(there.len()) {
            let at = self.below(there.len());
            let to = there.swap_remove(at);
            self.send(to, What::News(true), out);
        }
    }

    /// Something to some others at once, with whatever is to be told.
    pub fn tell_some(&mut self, out: &mut Vec<Send>) {
        let mut there = self.present_ones(None);
        for _ in 0..self.terms.helpers.min(there.len()) {
            let at = self.below(there.len());
            let to = there.swap_remove(at);
            self.send(to, What::News(true), out);
        }
    }

    /// To all who are there.
    pub fn tell_all(&mut self, what: &What, out: &mut Vec<Send>) {
        for member in self.members.iter().filter(|m| m.state.there()) {
            let body = Body { what: Some(what.clone()), ..Body::default() };
            out.push(Send { to: member.at, name: member.name.clone(), road: Road::Datagram, body });
        }
    }

    /// Names of those who are there, this instance among them unless it leaves.
    pub fn present_names(&self) -> BTreeSet<String> {
        let there = self.members.iter().filter(|m| m.state.there());
        let own = (!self.left).then(|| self.name.clone());
        there.map(|m| m.name.clone()).chain(own).collect()
    }

    pub fn wake(&self) -> Moment {
        let probes = self.probes.iter().map(|p| if p.asked { p.over_at } else { p.helped_at.min(p.over_at) });
        let favours = self.favours.iter().map(|f| f.nack_at);
        let suspects = self.suspects.iter().map(|&i| &self.members[i]);
        let suspects =
            suspects.map(|m| if m.looks >= LOOKS { m.deadline } else { self.look_at(m.looks, m.deadline) });
        // One that has left probes nobody any more; it only answers.
        let own = [self.probe_at, self.exchange_at].into_iter().filter(|_| !self.left);
        let idle = self.last + self.terms.exchange_every;
        probes.chain(favours).chain(suspects).chain(own).fold(idle, Moment::min)
    }

    pub fn tick(&mut self, now: Moment, out: &mut Vec<Send>) {
        self.stood(now);
        self.last = now;
        self.favours_due(now, out);
        self.probes_due(now, out);
        self.suspects_due(now, out);
        if self.left {
            return;
        }
        if now >= self.probe_at {
            self.probe_at = now + self.terms.period.times(self.health.patience());
            if let Some(about) = self.whom() {
                self.probe(now, about, out);
            }
        }
        if now >= self.exchange_at {
            self.exchange(now, out);
        }
    }

    /// One that stood still has heard nobody: what it waited for tells nothing, and nobody's time to answer
    /// has run.
    fn stood(&mut self, now: Moment) {
        if now > self.last + self.terms.period.times(STALLED * self.health.patience()) {
            let still = now - self.last;
            self.health.worse(2);
            self.probes.clear();
            self.favours.clear();
            for &about in &self.suspects {
                self.members[about].deadline = self.members[about].deadline + still;
            }
        }
    }

    /// Each in its turn, in an order drawn anew for each turn.
    fn whom(&mut self) -> Option<usize> {
        for _ in 0..=self.order.len() {
            if self.next >= self.order.len() {
                self.next = 0;
                for i in (1..self.order.len()).rev() {
                    let j = self.below(i + 1);
                    self.order.swap(i, j);
                }
            }
            let about = *self.order.get(self.next)?;
            self.next += 1;
            let busy = self.probes.iter().any(|probe| probe.about == about);
            if self.members[about].state.there() && !busy {
                return Some(about);
            }
        }
        None
    }

    fn probe(&mut self, now: Moment, about: usize, out: &mut Vec<Send>) {
        self.number += 1;
        let number = self.number;
        let patience = self.health.patience();
        let helped_at = now + self.terms.timeout.times(patience);
        let over_at = now + self.terms.period.times(patience);
        let incarnation = self.members[about].incarnation;
        self.probes.push(Probe {
            number,
            about,
            incarnation,
            helped_at,
            over_at,
            asked: false,
            helpers: 0,
            nacks: 0,
        });
        self.send(about, What::Ping(number), out);
    }

    fn present_ones(&self, but: Option<usize>) -> Vec<usize> {
        (0..self.members.len()).filter(|&i| Some(i) != but && self.members[i].state == State::Alive).collect()
    }

    fn probes_due(&mut self, now: Moment, out: &mut Vec<Send>) {
        for k in 0..self.probes.len() {
            let Probe { number, about, helped_at, asked: false, .. } = self.probes[k] else { continue };
            if now < helped_at {
                continue;
            }
            self.probes[k].asked = true;
            let mut there = self.present_ones(Some(about));
            for _ in 0..self.terms.helpers.min(there.len()) {
                let at = self.below(there.len());
                let helper = there.swap_remove(at);
                self.probes[k].helpers += 1;
                let about = self.members[about].name.clone();
                self.send(helper, What::Ask(Ask { number, about }), out);
            }
        }
        let (over, still): (Vec<Probe>, Vec<Probe>) =
            std::mem::take(&mut self.probes).into_iter().partition(|probe| now >= probe.over_at);
        self.probes = still;
        for probe in over {
            // Helpers that are well say at least that they have no answer: where they don't, it may be this
            // instance.
            let silent = probe.helpers - probe.nacks.min(probe.helpers);
            self.health.worse(if probe.helpers == 0 { 1 } else { silent.min(2) });
            if self.members[probe.about].incarnation == probe.incarnation {
                self.suspect(now, probe.about);
            }
        }
    }

    fn favours_due(&mut self, now: Moment, out: &mut Vec<Send>) {
        for k in 0..self.favours.len() {
            if now >= self.favours[k].nack_at && now < self.favours[k].over_at {
                let (of, number) = (self.favours[k].of, self.favours[k].its_number);
                self.favours[k].nack_at = self.favours[k].over_at;
                self.send(of, What::Nack(number), out);
            }
        }
        self.favours.retain(|favour| now < favour.over_at);
    }

    // --- suspicion ---

    /// This instance's own probe brought nothing.
    fn suspect(&mut self, now: Moment, about: usize) {
        let member = &self.members[about];
        if !member.state.there() || member.by.contains_key(&self.name) {
            return;
        }
        let signed = self.sign(&claim(&member.name, Kind::Suspect, member.incarnation, ""));
        self.accused(now, about, signed);
    }

    /// One more suspects a member, in its present incarnation.
    fn accused(&mut self, now: Moment, about: usize, signed: Signed) {
        let name = self.members[about].name.clone();
        if self.members[about].state == State::Alive {
            self.become_(now, about, State::Suspect);
            self.members[about].looks = 0;
        }
        let since = self.members[about].since;
        self.members[about].by.insert(signed.author.clone(), signed.clone());
        let patience = self.time_to_answer(self.members[about].by.len());
        self.members[about].deadline = since + patience;
        // Enough have said so: more would not end it sooner.
        if self.members[about].by.len() <= FELLOWS + 1 {
            self.pass(name, Kind::Suspect, signed);
        }
    }

    /// From the first suspicion on, by how many suspect it.
    fn time_to_answer(&self, by: usize) -> Span {
        let least = self.terms.period.times(LEAST * self.tenfolds());
        let fellows = FELLOWS.min(self.present().saturating_sub(2));
        if fellows == 0 {
            return least;
        }
        let part = (by.max(1) as f64).ln() / (fellows as f64 + 1.0).ln();
        least.times(FIRST - (FIRST - 1.0) * part.min(1.0))
    }

    fn suspects_due(&mut self, now: Moment, out: &mut Vec<Send>) {
        for about in self.suspects.iter().copied().collect::<Vec<_>>() {
            let Member { state: State::Suspect, deadline, looks, ref by, .. } = self.members[about] else {
                continue;
            };
            if looks >= LOOKS && now >= deadline {
                let others = by.keys().filter(|name| **name != self.name).count();
                if by.contains_key(&self.name) || others >= 2 {
                    self.become_(now, about, State::Dead);
                } else {
                    // The looks brought an answer, or the suspicion would be this instance's as well.
                    self.cleared(now, about);
                }
            } else if looks < LOOKS && now >= self.look_at(looks, deadline) {
                self.members[about].looks += 1;
                self.members[about].deadline = deadline.max(now + self.looking(looks));
                self.probe(now, about, out);
            }
        }
    }

    /// What the looks that are still to come take, before anybody is taken for dead: one a period.
    fn looking(&self, looks: u8) -> Span {
        self.terms.period.times(f64::from(LOOKS - looks) * self.health.patience())
    }

    fn look_at(&self, looks: u8, deadline: Moment) -> Moment {
        Moment::from_micros(deadline.micros().saturating_sub(self.looking(looks).micros()))
    }

    /// It has answered this instance itself: those who suspected it alone were wrong.
    fn cleared(&mut self, now: Moment, about: usize) {
        for author in std::mem::take(&mut self.members[about].by).into_keys() {
            *self.wrong.entry(author).or_default() += 1;
        }
        self.become_(now, about, State::Alive);
    }

    fn become_(&mut self, now: Moment, about: usize, to: State) {
        let member = &mut self.members[about];
        if member.state != to {
            self.there = self.there + usize::from(to.there()) - usize::from(member.state.there());
            if to == State::Suspect {
                self.suspects.insert(about);
            } else {
                self.suspects.remove(&about);
            }
            self.changes.push(Change { name: member.name.clone(), from: Some(member.state), to });
            (member.state, member.since) = (to, now);
        }
        if to != State::Suspect {
            member.looks = 0;
        }
    }

    // --- what is heard ---

    /// Takes in a message of a member, whose signature has been found to be its own.
    pub fn heard(&mut self, now: Moment, from: &str, from_at: SocketAddr, body: &Body, out: &mut Vec<Send>) {
        let mut accused = false;
        for signed in &body.claims {
            accused |= self.claimed(now, signed);
        }
        let Some(&by) = self.by_name.get(from) else { return };
        match &body.what {
            Some(What::Ping(number)) => {
                // Where it speaks from now counts for the answer.
                let at = std::mem::replace(&mut self.members[by].at, from_at);
                // Who asks with a suspicion has missed what was said to it, or is told so now.
                let word = (accused || self.left).then(|| self.word.clone());
                self.send_with(by, What::Ack(*number), word, out);
                self.members[by].at = at;
            }
            Some(What::Ask(ask)) => self.asked(now, by, ask, out),
            Some(What::Ack(number)) => self.acked(now, by, *number, out),
            Some(What::Nack(number)) => {
                if let Some(probe) = self.probes.iter_mut().find(|probe| probe.number == *number) {
                    probe.nacks += 1;
                }
            }
            Some(What::Exchange(_)) => {
                self.heard_of = body.present;
                if (self.present() as u32) < self.heard_of {
                    let soon = self.last + self.terms.exchange_every.times(SOON * (0.75 + 0.5 * self.unit()));
                    self.exchange_at = self.exchange_at.min(soon);
                }
            }
            Some(What::Behind(_) | What::News(_) | What::Ballots(_) | What::Votes(_)) | None => {}
        }
    }

    fn asked(&mut self, now: Moment, of: usize, ask: &Ask, out: &mut Vec<Send>) {
        let Some(&about) = self.by_name.get(&ask.about) else { return };
        self.number += 1;
        let number = self.number;
        let nack_at = now + self.terms.timeout.times(NACK_AFTER);
        let over_at = now + self.terms.period;
        self.favours.push(Favour { number, of, its_number: ask.number, nack_at, over_at });
        self.send(about, What::Ping(number), out);
    }

    fn acked(&mut self, now: Moment, by: usize, number: u64, out: &mut Vec<Send>) {
        if let Some(k) = self.favours.iter().position(|favour| favour.number == number) {
            let favour = self.favours.remove(k);
            return self.send(favour.of, What::Ack(favour.its_number), out);
        }
        let Some(k) = self.probes.iter().position(|probe| probe.number == number) else { return };
        let probe = self.probes.remove(k);
        self.health.better();
        // A sign of life, if not yet its own new word: it has its time to answer anew, and one suspected by
        // others alone is cleared.
        if self.members[probe.about].state == State::Suspect {
            let own = self.members[probe.about].by.contains_key(&self.name);
            if probe.about == by && !own && self.members[by].looks > 0 {
                self.cleared(now, by);
            } else if self.members[probe.about].looks > 0 {
                let anew = now + self.terms.period.times(LEAST * self.tenfolds());
                let member = &mut self.members[probe.about];
                (member.looks, member.deadline) = (0, member.deadline.max(anew));
            }
        }
    }

    /// A claim in its author's own words; it counts only if its author wrote it, and only if it tells
    /// something new. Returns whether it suspects this instance.
    fn claimed(&mut self, now: Moment, signed: &Signed) -> bool {
        let Ok(said) = decode::<Claim>(&signed.text) else { return false };
        let kind = Kind::try_from(said.kind).unwrap_or(Kind::Unknown);
        let mine = said.about == self.name;
        if self.news(&said, kind, signed)
            && self.seal.holds(&signed.author, signed.key, CLAIM, &signed.text, &signed.signature)
        {
            if mine { self.about_me(kind, &said) } else { self.about_other(now, kind, &said, signed) }
        }
        mine && kind == Kind::Suspect
    }

    fn about_other(&mut self, now: Moment, kind: Kind, said: &Claim, signed: &Signed) {
        let Ok(at) = said.at.parse::<SocketAddr>() else {
            if kind == Kind::Suspect
                && let Some(&about) = self.by_name.get(&said.about)
            {
                self.accused(now, about, signed.clone());
            }
            return;
        };
        self.of_itself(now, kind, said, at, signed);
    }

    /// Whether a claim would change anything: most don't, and need no look at their signatures.
    fn news(&self, said: &Claim, kind: Kind, signed: &Signed) -> bool {
        let own = signed.author == said.about;
        if said.about == self.name {
            return match kind {
                Kind::Suspect => !own && said.incarnation == self.incarnation,
                Kind::Alive | Kind::Left => {
                    own && said.incarnation >= self.incarnation && *signed != self.word
                }
                Kind::Unknown => false,
            };
        }
        let known = self.by_name.get(&said.about).map(|&i| &self.members[i]);
        match (kind, known) {
            (Kind::Alive | Kind::Left, None) => own,
            (Kind::Alive, Some(member)) => own && said.incarnation > member.incarnation,
            (Kind::Left, Some(member)) => {
                own && said.incarnation >= member.incarnation && member.state != State::Left
            }
            (Kind::Suspect, Some(member)) => {
                member.state.there()
                    && !own
                    && said.incarnation == member.incarnation
                    && !member.by.contains_key(&signed.author)
            }
            _ => false,
        }
    }

    /// A suspicion is answered with a new incarnation; a word of an earlier start of this instance is
    /// outdone.
    fn about_me(&mut self, kind: Kind, said: &Claim) {
        if self.left {
            return;
        }
        if kind == Kind::Suspect {
            self.health.worse(1);
        }
        self.incarnation = said.incarnation.saturating_add(1);
        self.say(Kind::Alive);
    }

    fn of_itself(&mut self, now: Moment, kind: Kind, said: &Claim, at: SocketAddr, signed: &Signed) {
        let state = if kind == Kind::Left { State::Left } else { State::Alive };
        let about = match self.by_name.get(&said.about) {
            Some(&about) => about,
            None => self.enter(now, said, at, signed, state),
        };
        let member = &mut self.members[about];
        (member.incarnation, member.at, member.word) = (said.incarnation, at, signed.clone());
        member.by.clear();
        self.become_(now, about, state);
        self.pass(said.about.clone(), Kind::Alive, signed.clone());
    }

    fn enter(&mut self, now: Moment, said: &Claim, at: SocketAddr, signed: &Signed, state: State) -> usize {
        let about = self.members.len();
        self.members.push(Member {
            name: said.about.clone(),
            at,
            state,
            incarnation: said.incarnation,
            since: now,
            word: signed.clone(),
            by: BTreeMap::new(),
            deadline: now,
            looks: 0,
        });
        self.by_name.insert(said.about.clone(), about);
        self.there += usize::from(state == State::Alive);
        let place = self.below(self.order.len() + 1);
        self.order.insert(place, about);
        self.changes.push(Change { name: said.about.clone(), from: None, to: state });
        about
    }

    // --- exchanges ---

    /// With anybody, with a seed that is no known member, and now and then with one that is taken for dead: a
    /// partition heals only if somebody tries. Soon again while there are more than are known here.
    fn exchange(&mut self, now: Moment, out: &mut Vec<Send>) {
        let there = self.present_ones(None);
        let gone: Vec<usize> =
            (0..self.members.len()).filter(|&i| self.members[i].state == State::Dead).collect();
        let known = |seed: &SocketAddr| self.members.iter().any(|m| m.at == *seed);
        let strange: Vec<SocketAddr> = self.seeds.iter().copied().filter(|seed| !known(seed)).collect();
        let behind = there.is_empty() || (self.present() as u32) < self.heard_of;
        let part = if behind {
            SOON
        } else if !strange.is_empty() {
            SOON.sqrt()
        } else {
            1.0
        };
        self.exchange_at = now + self.terms.exchange_every.times(part * (0.75 + 0.5 * self.unit()));
        let mut met: Vec<(SocketAddr, String)> = Vec::new();
        for of in [&there, &gone] {
            if !of.is_empty() {
                let at = self.below(of.len());
                let to = &self.members[of[at]];
                met.push((to.at, to.name.clone()));
            }
        }
        if !strange.is_empty() {
            let at = self.below(strange.len());
            met.push((strange[at], String::new()));
        }
        for (to, name) in met {
            let body = self.everything(&name, true);
            out.push(Send { to, name, road: Road::Exchange, body });
        }
    }

    /// The other half of an exchange.
    pub fn answer(&mut self, to: &str) -> Body {
        self.everything(to, false)
    }

    /// What every claim that is not passed on any more leaves: nothing. For tests and the status.
    pub fn rumours(&self) -> usize {
        self.rumours.len()
    }
}
