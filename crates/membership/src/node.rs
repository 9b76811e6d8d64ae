//! An instance as a whole: what comes is looked at (who, when, for whom, how much) before anything in it
//! counts, and what goes out is numbered, signed and kept under its ceiling.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use lynxmill_time::Timestamp;
use prost::Message as _;

use crate::codec::{Body, Datagram, Evidence, Payload, Row, Signed, VERSION, decode, encode};
use crate::config::Config;
use crate::evidence::{EvidenceLog, OwnObservation, Verdict, all_lost};
use crate::keys::Identity;
use crate::observation::Observation;
use crate::ownership_changes::Charges;
use crate::replay_window::{ReplayError, ReplayWindow};
use crate::swim::{Change, State, Swim, Transmission};
use crate::token_bucket::Bucket;

/// What signatures are for, beside claims.
const DATAGRAM: u8 = 1;
const EVIDENCE: u8 = 3;
/// Parts of a second's allowance that are kept: probes and answers go always while there is any, exchanges
/// and what one saw of servers only while there is so much left.
const KEPT: f64 = 0.25;
/// How far above the present one a life may be told to be: two days of milliseconds, for clocks that were put
/// right.
const AHEAD: u64 = 2 * 86_400_000;
/// Part of a second's bytes that words on servers may take of one half of an exchange.
const EXCHANGED: f64 = 0.2;
/// Rows that one says of servers, and how many times it is passed on.
const ROWS: usize = 24;
const EVIDENCE_PASSED: u32 = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transport {
    Datagram,
    /// A connection of its own, with one message in each direction.
    Exchange,
}

/// Bytes to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    pub to: SocketAddr,
    pub road: Transport,
    pub bytes: Vec<u8>,
}

/// Why something that came counts for nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refused {
    /// More than is looked at in a second.
    Crowded,
    Unreadable,
    Version,
    /// A name that nobody vouches for.
    Stranger,
    /// For another instance, or in this one's own name.
    NotForMe,
    Signature,
    /// Of an earlier life of its sender, or said before.
    Replayed,
}

impl Refused {
    pub fn code(self) -> &'static str {
        match self {
            Refused::Crowded => "crowded",
            Refused::Unreadable => "unreadable",
            Refused::Version => "version",
            Refused::Stranger => "stranger",
            Refused::NotForMe => "not-for-me",
            Refused::Signature => "signature",
            Refused::Replayed => "replayed",
        }
    }
}

/// Counts since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub sent: u64,
    pub sent_bytes: u64,
    /// Not sent, as the ceiling was reached.
    pub held_back: u64,
    pub heard: u64,
    pub refused: BTreeMap<&'static str, u64>,
}

struct GossipEntry {
    signed: Signed,
    passed: u32,
}

pub struct Node<S> {
    pub swim: Swim<S>,
    pub ledger: EvidenceLog,
    terms: Config,
    life: u64,
    number: u64,
    windows: BTreeMap<String, ReplayWindow>,
    bytes: Bucket,
    messages: Bucket,
    intake: Bucket,
    said: u64,
    /// What members said of servers last, by author, and how often it was passed on.
    spread: BTreeMap<String, GossipEntry>,
    /// Servers that this instance has told something of and has not yet taken back.
    told: BTreeSet<String>,
    /// Servers silent to own eyes when it looked last.
    silent: BTreeSet<String>,
    stirred: bool,
    /// Where members divide slices among them.
    pub charges: Option<Charges>,
    pub tally: Counters,
    sends: Vec<Transmission>,
}

impl<S: Identity> Node<S> {
    /// `life` is to be above that of every start before: the wall clock's milliseconds will do, and where
    /// they don't the first who is met tells.
    pub fn new(
        name: &str,
        at: SocketAddr,
        life: u64,
        terms: Config,
        seal: S,
        seed: u64,
        now: Timestamp,
    ) -> Self {
        let voters = seal.count();
        let of = (terms.slices, terms.vote_for, terms.period);
        let divides = terms.slices > 0 && voters > 0;
        let charges = divides.then(|| Charges::new(name, of, voters, life, seed, now));
        Node {
            swim: Swim::new(name, at, life, terms.clone(), seal, seed, now),
            ledger: EvidenceLog::new(terms.evidence_for),
            life,
            number: 0,
            windows: BTreeMap::new(),
            bytes: Bucket::new(terms.bytes_per_s, now),
            messages: Bucket::new(terms.messages_per_s, now),
            intake: Bucket::new(terms.intake_per_s, now),
            said: 0,
            spread: BTreeMap::new(),
            told: BTreeSet::new(),
            silent: BTreeSet::new(),
            stirred: false,
            charges,
            tally: Counters::default(),
            sends: Vec::new(),
            terms,
        }
    }

    /// Keys that have changed in service. Words signed by a key that is no longer trusted are not passed on
    /// any more.
    pub fn keys(&mut self, seal: S) {
        self.swim.sealed(seal);
        let (me, seal) = (self.swim.name(), &self.swim.seal);
        self.spread
            .retain(|author, _| author == me || seal.knows(author));
    }

    pub fn life(&self) -> u64 {
        self.life
    }

    pub fn wake(&self) -> Timestamp {
        let wake = self.swim.wake();
        self.charges
            .as_ref()
            .map_or(wake, |charges| charges.wake().min(wake))
    }

    /// A slice that was to be handed over is shut everywhere.
    pub fn released(&mut self, now: Timestamp, slice: u32, out: &mut Vec<Output>) {
        let asks = self
            .charges
            .as_mut()
            .map(|charges| charges.release(now, slice))
            .unwrap_or_default();
        self.ask_all(now, asks, out);
    }

    fn ask_all(&mut self, now: Timestamp, asks: Vec<Payload>, out: &mut Vec<Output>) {
        let mut sends = Vec::new();
        asks.into_iter()
            .for_each(|what| self.swim.tell_all(&what, &mut sends));
        self.go(now, &mut sends, out);
    }

    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.swim.changes)
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let mut sends = std::mem::take(&mut self.sends);
        self.swim.tick(now, &mut sends);
        self.go(now, &mut sends, out);
        self.sends = sends;
        if let Some(charges) = &mut self.charges {
            let asks = charges.tick(now, || self.swim.present_names());
            self.ask_all(now, asks, out);
        }
        let swim = &self.swim;
        let present = |name: &str| swim.member(name).is_some_and(|m| m.state.there());
        self.ledger.age(now, present);
        self.spread
            .retain(|author, _| author == swim.name() || present(author));
    }

    pub fn leave(&mut self, now: Timestamp, out: &mut Vec<Output>) {
        let mut sends = Vec::new();
        self.swim.leave(&mut sends);
        self.go(now, &mut sends, out);
    }

    /// What this instance saw of servers of late, to be told with what it sends: only those that look silent,
    /// and those that it said so of before. Returns whether one has fallen silent since it looked last.
    pub fn saw(&mut self, rows: impl IntoIterator<Item = (String, OwnObservation)>) -> bool {
        let mut told = Vec::new();
        let mut silent = BTreeSet::new();
        for (server, own) in rows {
            if all_lost(own.tries, own.lost) {
                silent.insert(server.clone());
            }
            let bad = own.tries > 0 && own.lost * 2 > own.tries;
            let asked =
                self.told.contains(&server) || self.ledger.servers().any(|known| known == server);
            if bad || asked {
                let quiet = own.quiet.map_or(u32::MAX, |quiet| {
                    (quiet.micros() / 1000).try_into().unwrap_or(u32::MAX)
                });
                told.push((
                    bad,
                    Row {
                        server,
                        tries: own.tries,
                        lost: own.lost,
                        quiet_ms: quiet,
                    },
                ));
            }
        }
        told.sort_by_key(|(bad, row)| (!bad, std::cmp::Reverse(row.lost), row.server.clone()));
        told.truncate(ROWS);
        let before = std::mem::take(&mut self.told);
        self.told = told
            .iter()
            .filter(|(bad, _)| *bad)
            .map(|(_, row)| row.server.clone())
            .collect();
        let fell = !silent.is_subset(&self.silent);
        self.silent = silent;
        if told.is_empty() && before.is_empty() {
            return false;
        }
        self.said += 1;
        let number = self.life.saturating_mul(1 << 16).saturating_add(self.said);
        let text = encode(&Evidence {
            number,
            rows: told.into_iter().map(|(_, row)| row).collect(),
        });
        let (author, key) = (self.swim.name().to_owned(), self.swim.seal.key());
        let signature = self.swim.seal.sign(EVIDENCE, &text);
        let signed = Signed {
            author: author.clone(),
            key,
            text,
            signature,
        };
        self.spread
            .insert(author, GossipEntry { signed, passed: 0 });
        fell
    }

    /// What to make of a server, with own eyes first.
    pub fn weigh(&self, now: Timestamp, server: &str, own: OwnObservation) -> Verdict {
        self.ledger.weigh(now, server, own)
    }

    /// What own eyes tell judges those who spoke of the same servers, and what all words come to is told:
    /// servers that have become doubtful, or are so no longer.
    pub fn look(
        &mut self,
        now: Timestamp,
        sight: &mut Observation,
        out: &mut Vec<Output>,
    ) -> Vec<(String, bool)> {
        let own = sight.all(now);
        for (server, own) in &own {
            self.ledger.judged(now, server, *own);
        }
        if self.saw(own) {
            // What is new is told some at once, not with the next probe.
            let mut sends = Vec::new();
            self.swim.tell_some(&mut sends);
            self.go(now, &mut sends, out);
        }
        self.doubts(now, sight)
    }

    /// Whether others have said anything new of servers since this was asked last.
    pub fn stirred(&mut self) -> bool {
        std::mem::take(&mut self.stirred)
    }

    /// What all words come to by now, and nothing else.
    pub fn doubts(&mut self, now: Timestamp, sight: &mut Observation) -> Vec<(String, bool)> {
        let ledger = &self.ledger;
        sight.doubts(now, ledger.servers(), |server, own| {
            ledger.weigh(now, server, own)
        })
    }

    /// Bytes that came on either road; what an exchange is answered with goes to whoever asked, on the same
    /// connection.
    ///
    /// # Errors
    /// Why they count for nothing.
    pub fn heard(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        road: Transport,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<Option<Vec<u8>>, Refused> {
        let taken = self.taken(now, from, road, bytes, out);
        match &taken {
            Ok(_) => self.tally.heard += 1,
            Err(refused) => *self.tally.refused.entry(refused.code()).or_default() += 1,
        }
        taken
    }

    fn taken(
        &mut self,
        now: Timestamp,
        from: SocketAddr,
        road: Transport,
        bytes: &[u8],
        out: &mut Vec<Output>,
    ) -> Result<Option<Vec<u8>>, Refused> {
        if !self.intake.has(now, 1.0, 0.0) {
            return Err(Refused::Crowded);
        }
        let datagram: Datagram = decode(bytes).map_err(|_| Refused::Unreadable)?;
        if datagram.version != VERSION {
            return Err(Refused::Version);
        }
        let (me, name) = (self.swim.name().to_owned(), datagram.from.clone());
        if !self.swim.seal.knows(&name) {
            return Err(Refused::Stranger);
        }
        let to_anybody = datagram.to.is_empty() && road == Transport::Exchange;
        if name == me || (datagram.to != me && !to_anybody) {
            return Err(Refused::NotForMe);
        }
        // Only what is looked at costs: a stranger's flood is over before.
        self.intake.take(1.0);
        let signature = &datagram.signature;
        if !self.swim.seal.holds(
            &name,
            datagram.key,
            DATAGRAM,
            &datagram.signed_text(),
            signature,
        ) {
            return Err(Refused::Signature);
        }
        let body: Body = decode(&datagram.body).map_err(|_| Refused::Unreadable)?;
        let window = self.windows.entry(name.clone()).or_default();
        match window.take(datagram.life, datagram.number) {
            Ok(()) => {}
            Err(ReplayError::Number) => return Err(Refused::Replayed),
            Err(ReplayError::Life(known)) => {
                // It may have lost its clock: it is told, and nothing else counts.
                let what = Some(Payload::Behind(known));
                let body = Body {
                    what,
                    ..Body::default()
                };
                let told = Transmission {
                    to: from,
                    name,
                    road: Transport::Datagram,
                    body,
                };
                if road == Transport::Exchange {
                    return Ok(self.wrapped(&told));
                }
                self.go(now, &mut vec![told], out);
                return Err(Refused::Replayed);
            }
        }
        if let Some(Payload::Behind(known)) = body.what {
            self.behind(known);
            return Ok(None);
        }
        for signed in &body.evidence {
            self.evidence(now, signed);
        }
        let mut sends = std::mem::take(&mut self.sends);
        self.swim.heard(now, &name, from, &body, &mut sends);
        self.go(now, &mut sends, out);
        self.sends = sends;
        let what = match (&mut self.charges, &body.what) {
            (Some(charges), Some(Payload::Ballots(ballots))) => {
                Some(charges.asked(now, &name, ballots))
            }
            (Some(charges), Some(Payload::Votes(votes))) => {
                charges.voted(now, &name, votes);
                None
            }
            _ => None,
        };
        if what.is_some() {
            let body = Body {
                what,
                ..Body::default()
            };
            let send = Transmission {
                to: from,
                name: name.clone(),
                road: Transport::Datagram,
                body,
            };
            self.go(now, &mut vec![send], out);
        }
        match body.what {
            Some(Payload::Exchange(true)) => {
                let body = Body {
                    evidence: self.all_evidence(),
                    ..self.swim.answer(&name)
                };
                let answer = Transmission {
                    to: from,
                    name,
                    road: Transport::Exchange,
                    body,
                };
                Ok(self.paid(now, &answer, KEPT))
            }
            _ => Ok(None),
        }
    }

    /// Somebody who is trusted knows this instance under a later life: it takes one above, within bounds.
    fn behind(&mut self, known: u64) {
        if known >= self.life && known - self.life <= AHEAD {
            (self.life, self.number) = (known + 1, 0);
        }
    }

    fn evidence(&mut self, now: Timestamp, signed: &Signed) {
        let Ok(said) = decode::<Evidence>(&signed.text) else {
            return;
        };
        if signed.author == self.swim.name() || !self.ledger.newer(&signed.author, said.number) {
            return;
        }
        let holds = self.swim.seal.holds(
            &signed.author,
            signed.key,
            EVIDENCE,
            &signed.text,
            &signed.signature,
        );
        let there = self
            .swim
            .member(&signed.author)
            .is_some_and(|m| m.state != State::Left);
        if holds && there {
            self.ledger
                .told(now, &signed.author, said.number, &said.rows);
            self.stirred = true;
            self.spread.insert(
                signed.author.clone(),
                GossipEntry {
                    signed: signed.clone(),
                    passed: 0,
                },
            );
        }
    }

    /// What members saw of servers, for an exchange: what has been passed on least first, as far as there is room.
    fn all_evidence(&self) -> Vec<Signed> {
        let mut order: Vec<&GossipEntry> = self.spread.values().collect();
        order.sort_by_key(|spread| spread.passed);
        let mut room = (self.terms.bytes_per_s * EXCHANGED) as usize;
        let fits = |spread: &&GossipEntry| {
            let size = spread.signed.encoded_len() + 4;
            let fits = size <= room;
            room -= if fits { size } else { 0 };
            fits
        };
        order
            .into_iter()
            .filter(fits)
            .map(|spread| spread.signed.clone())
            .collect()
    }

    // --- out ---

    /// What members saw of servers goes along where there is room, what has been passed on least first.
    fn along(&mut self, body: &mut Body, mut room: usize) {
        let mut order: Vec<(u32, String)> = self
            .spread
            .iter()
            .map(|(author, spread)| (spread.passed, author.clone()))
            .collect();
        order.sort();
        for (passed, author) in order {
            let Some(spread) = self
                .spread
                .get_mut(&author)
                .filter(|_| passed < EVIDENCE_PASSED)
            else {
                continue;
            };
            let size = spread.signed.encoded_len() + 4;
            if size <= room {
                room -= size;
                spread.passed += 1;
                body.evidence.push(spread.signed.clone());
            }
        }
    }

    fn go(&mut self, now: Timestamp, sends: &mut Vec<Transmission>, out: &mut Vec<Output>) {
        for mut send in sends.drain(..) {
            let exchange = send.road == Transport::Exchange;
            if exchange {
                send.body.evidence = self.all_evidence();
            } else if !matches!(send.body.what, Some(Payload::Behind(_))) {
                let used = send.body.encoded_len() + 200;
                self.along(&mut send.body, self.terms.datagram.saturating_sub(used));
            }
            if let Some(bytes) = self.paid(now, &send, if exchange { KEPT } else { 0.0 }) {
                out.push(Output {
                    to: send.to,
                    road: send.road,
                    bytes,
                });
            }
        }
    }

    /// The bytes of a message, where the ceiling lets it go.
    fn paid(&mut self, now: Timestamp, send: &Transmission, kept: f64) -> Option<Vec<u8>> {
        let bytes = self.wrapped(send)?;
        let size = bytes.len() as f64;
        if !self.messages.has(now, 1.0, kept) || !self.bytes.has(now, size, kept) {
            self.tally.held_back += 1;
            return None;
        }
        self.messages.take(1.0);
        self.bytes.take(size);
        (self.tally.sent, self.tally.sent_bytes) = (
            self.tally.sent + 1,
            self.tally.sent_bytes + bytes.len() as u64,
        );
        Some(bytes)
    }

    fn wrapped(&mut self, send: &Transmission) -> Option<Vec<u8>> {
        self.number += 1;
        let mut datagram = Datagram {
            version: VERSION,
            from: self.swim.name().to_owned(),
            to: send.name.clone(),
            key: self.swim.seal.key(),
            life: self.life,
            number: self.number,
            body: encode(&send.body),
            signature: Vec::new(),
        };
        datagram.signature = self.swim.seal.sign(DATAGRAM, &datagram.signed_text());
        let bytes = encode(&datagram);
        (send.road == Transport::Exchange || bytes.len() <= self.terms.datagram).then_some(bytes)
    }
}
