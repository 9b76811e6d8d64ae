//! What happens to forwarders, streams and servers, and what the rules say about it.

use std::rc::Rc;

use lynxmill_assigner::Standing;
use lynxmill_assigner_settings::DecodeError;
use lynxmill_assigner_state::News;
use lynxmill_time::Timestamp;

use super::{Due, Engine, InjectedFault, RecordedEvent, moment, span};
use crate::chance::For;
use crate::driver::Driver;
use crate::forwarder::{ForwarderAction, Message};
use crate::server::ServerHealth;

impl<D: Driver> Engine<'_, D> {
    pub(super) fn trouble(&mut self, index: usize) -> Result<(), DecodeError> {
        let now = self.agenda.now();
        if let Some(next) = self.day.troubles.get(index + 1) {
            self.agenda.at(moment(next.at), Due::Trouble(index + 1));
        }
        let link = self.day.link.clone();
        match self.day.troubles[index].what.clone() {
            RecordedEvent::ForwarderDies(f) => self.forwarder_dies(f.into()),
            RecordedEvent::ForwarderReturns(f) => {
                let f = usize::from(f);
                if !self.forwarders[f].alive {
                    self.forwarders[f].come_back(now);
                    self.died[f] = None;
                    self.dial_all(f, span(link.redial).times(0.25));
                }
            }
            RecordedEvent::ForwarderStalls(f, length) => {
                let forwarder = &mut self.forwarders[usize::from(f)];
                forwarder.stalled_until = forwarder.stalled_until.max(now + span(length));
            }
            RecordedEvent::StreamBreaks(f, a) => self.part(f.into(), a.into(), span(link.redial)),
            RecordedEvent::CutOff(f, length) => {
                for a in 0..self.nodes.len() {
                    self.forwarders[usize::from(f)].streams[a].cut_off_until = now + span(length);
                    self.part(f.into(), a, span(length + link.redial));
                }
            }
            RecordedEvent::AssignerDies(a) => self.assigner_dies(a.into()),
            RecordedEvent::AssignerReturns(a) => return self.assigner_returns(a.into()),
            RecordedEvent::AssignerStalls(a, length) => {
                let node = &mut self.nodes[usize::from(a)];
                node.stalled_until = node.stalled_until.max(now + span(length));
            }
            RecordedEvent::ServerStarts(s) => {
                // One that runs loses what it has in hand.
                self.server_down(s, ServerHealth::Down);
                self.servers[s as usize].start(now);
                let since = self.day.began_ms + now.micros() as f64 / 1e3;
                self.list(s, Standing::Ready, since, link.listed);
            }
            RecordedEvent::ServerDrains(s) => self.list(s, Standing::Draining, 0.0, link.dropped),
            RecordedEvent::ServerEnds(s) => {
                self.server_down(s, ServerHealth::Down);
                self.list(s, Standing::Gone, 0.0, link.dropped);
            }
            RecordedEvent::ServerFallsSilent(s) => {
                if self.owns(s) {
                    self.silent.insert(s, (now, None));
                }
                for job in self.servers[s as usize].end(ServerHealth::Silent) {
                    self.write_ended(s, job);
                }
                self.list(s, Standing::Gone, 0.0, link.missed);
            }
            RecordedEvent::ChannelSlows(a, factor, length) => {
                self.nodes[usize::from(a)]
                    .channel
                    .slow(factor, now + span(length));
            }
            RecordedEvent::CallLost(a, done) => {
                self.nodes[usize::from(a)].lost_calls.push_back(done)
            }
            RecordedEvent::ServerSlows(s, factor, length) => {
                self.servers[s as usize].slow(factor, now + span(length));
            }
            RecordedEvent::ServerRefuses(s, length) => {
                self.servers[s as usize].refuse(now + span(length))
            }
            RecordedEvent::ListLags(later, length) => self.lag = (span(later), now + span(length)),
            RecordedEvent::ReportsSpoil(a, share, length) => {
                self.nodes[usize::from(a)].spoil = (share, now + span(length));
            }
        }
        Ok(())
    }

    // --- forwarders ---

    fn forwarder_dies(&mut self, f: usize) {
        if !self.forwarders[f].alive {
            return;
        }
        self.forwarders[f].die();
        self.died[f] = Some(self.agenda.now());
        for a in 0..self.nodes.len() {
            self.part(f, a, span(0));
        }
        self.lose_all_of(f);
    }

    pub(super) fn dial_all(&mut self, f: usize, after: lynxmill_time::TimeDelta) {
        for a in 0..self.nodes.len() {
            self.agenda.at(self.agenda.now() + after, Due::Dial(f, a));
        }
    }

    /// A stream breaks; its forwarder dials again after a while.
    pub(super) fn part(&mut self, f: usize, a: usize, redial: lynxmill_time::TimeDelta) {
        let now = self.agenda.now();
        if self.forwarders[f].streams[a].joined {
            self.forwarders[f].part(now, a);
            let node = &mut self.nodes[a];
            node.channel.forget(f);
            let told = now + span(self.day.link.notice);
            node.parting[f] = told;
            self.news_at(a, told, News::Detach { proxy: f as u16 });
        }
        if self.forwarders[f].alive {
            self.agenda.at(now + redial, Due::Dial(f, a));
        }
    }

    pub(super) fn dial(&mut self, f: usize, a: usize) {
        let now = self.agenda.now();
        let (forwarder, node) = (&mut self.forwarders[f], &self.nodes[a]);
        let stream = &forwarder.streams[a];
        if !forwarder.alive || stream.joined || !node.alive {
            return;
        }
        let later = stream.cut_off_until.max(forwarder.stalled_until);
        if later > now {
            return self.agenda.at(later, Due::Dial(f, a));
        }
        let epoch = forwarder.join(now, a);
        if self.fault == Some(InjectedFault::WritesUnread) {
            forwarder.trust(a);
        }
        // One that parted a moment ago is told to have left before it is told to have joined.
        let told = (now + span(self.day.link.same_zone)).max(node.parting[f]);
        self.news_at(a, told, News::Attach { proxy: f as u16 });
        self.read_later(f, a, epoch);
    }

    pub(super) fn read_later(&mut self, f: usize, a: usize, epoch: u32) {
        let now = self.agenda.now();
        let mut draw = self.draw(For::Read, f as u64, now.micros() as u64);
        let after = span(self.day.link.read).times(draw.between(0.2, 1.0));
        self.agenda.at(now + after, Due::Read(f, a, epoch));
    }

    /// The store is read, for all slices of the stream's assigner.
    pub(super) fn read(&mut self, f: usize, a: usize, epoch: u32) {
        let now = self.agenda.now();
        let forwarder = &mut self.forwarders[f];
        if !forwarder.alive || forwarder.streams[a].epoch != epoch || !forwarder.streams[a].joined {
            return;
        }
        if forwarder.stalled_until > now {
            return self
                .agenda
                .at(forwarder.stalled_until, Due::Read(f, a, epoch));
        }
        let mut asks = Vec::new();
        for slice in self.store.in_charge(a) {
            asks.extend(forwarder.store(now, slice, a, &self.store.slices[slice]));
        }
        forwarder.has_read(a, &mut asks);
        self.asked(f, asks);
    }

    pub(super) fn deliver(&mut self, f: usize, a: usize, epoch: u32, message: Rc<Message>) {
        let now = self.agenda.now();
        let forwarder = &mut self.forwarders[f];
        if !forwarder.alive || forwarder.streams[a].epoch != epoch {
            return;
        }
        if forwarder.stalled_until > now {
            return self
                .agenda
                .at(forwarder.stalled_until, Due::Deliver(f, a, epoch, message));
        }
        let mut asks = Vec::new();
        forwarder.apply(now, a, &message, &mut asks);
        // It stands still while it applies them.
        let still = span(self.day.link.apply * message.changes.len() as i64);
        forwarder.stalled_until = forwarder.stalled_until.max(now + still);
        self.asked(f, asks);
    }

    fn asked(&mut self, f: usize, asks: Vec<ForwarderAction>) {
        let now = self.agenda.now();
        for ask in asks {
            match ask {
                ForwarderAction::Again(ids) => self.retake(ids),
                ForwarderAction::Answer {
                    assigner,
                    mark,
                    ordered,
                } => {
                    let way = self.way(self.forwarders[f].zone, self.nodes[assigner].zone);
                    let took_ms = (now - ordered).micros() as f64 / 1e3;
                    self.news_at(
                        assigner,
                        now + way,
                        News::Done {
                            proxy: f as u16,
                            mark,
                            took_ms,
                        },
                    );
                }
            }
        }
    }

    /// Slices have another assigner: where the stream to it stands, the store is read afresh.
    pub(super) fn handed(&mut self, f: usize, slices: &[(usize, Option<usize>)]) {
        let now = self.agenda.now();
        let mut to: Vec<usize> = Vec::new();
        for &(slice, charge) in slices {
            if self.store.charge[slice] == charge {
                self.forwarders[f].handed(now, slice, charge);
                to.extend(charge);
            }
        }
        to.sort_unstable();
        to.dedup();
        for a in to {
            let stream = &mut self.forwarders[f].streams[a];
            if stream.joined {
                stream.read = false;
                let epoch = stream.epoch;
                self.read_later(f, a, epoch);
            }
        }
    }

    // --- servers ---

    pub(super) fn server_down(&mut self, server: u32, running: ServerHealth) {
        let now = self.agenda.now();
        let lost = self.servers[server as usize].end(running);
        for job in lost {
            self.write_ended(server, job);
            self.agenda.at(now + self.way(0, 0), Due::Failed(job.id));
        }
    }

    // --- rules ---

    pub(super) fn check_drain(&mut self, f: usize, slice: usize, server: u32) {
        let now = self.agenda.now();
        let Some(a) = self.store.charge[slice] else {
            return;
        };
        let stream = &self.forwarders[f].streams[a];
        let node = &self.nodes[a];
        let Some(&told) = node.informed.get(&server).filter(|_| stream.joined) else {
            return;
        };
        let from: Timestamp = told.max(stream.since).max(self.store.given[slice]);
        let grace = self.terms.grace.times(node.channel.slower(now)) + self.terms.slack;
        let names = || {
            let name = &self.servers[server as usize].kind().name;
            format!("forwarder {f} sends to {name} for slice {slice}")
        };
        self.checks.sent(now, from, grace, names);
    }

    /// Slices that a joined forwarder has no server for, while one is listed that is ready and warm.
    pub(super) fn look(&mut self) {
        let now = self.agenda.now();
        for (f, forwarder) in self.forwarders.iter().enumerate().filter(|(_, f)| f.alive) {
            for (slice, a, since) in forwarder.bare() {
                let since = since.max(self.store.given[slice]);
                let node = &self.nodes[a];
                let fit = |server: &ServerHealth, started: Option<Timestamp>| {
                    *server == ServerHealth::Up
                        && started.is_none_or(|at| now - at >= self.terms.warm_after)
                };
                let listed = |s: &usize| {
                    fit(&self.servers[*s].running, self.servers[*s].started)
                        && !node.informed.contains_key(&(*s as u32))
                };
                if (0..self.servers.len()).any(|s| listed(&s)) {
                    let most = self.terms.bare.times(node.channel.slower(now)) + self.terms.slack;
                    self.checks
                        .bare(now, since, most, || format!("forwarder {f}, slice {slice}"));
                }
            }
        }
    }
}
