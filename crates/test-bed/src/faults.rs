//! What goes wrong, and when, from a seed.

use std::time::Duration;

use lynxmill_fake_servers::worker::Misbehavior;
use lynxmill_random::Pcg;

use crate::world::TestBed;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A forwarder is killed and comes back; one stands still for longer than its lease; one gets a successor.
    KillForwarder,
    HaltForwarder,
    ReplaceForwarder,
    /// All watches break; the registry says nothing for a while.
    BreakWatches,
    Silence,
    /// A server falls silent, and is listed as gone some seconds later.
    SilentServer,
    /// One server after another drains, goes, and a new cold one takes its place.
    Deploy,
    /// An assigner is killed, in the middle of whatever it does, and comes back; or stands still.
    KillAssigner,
    HaltAssigner,
    /// Seven in ten forwarders are killed at once, or all assigners but one, in the middle of a drain; they come back
    /// one after the other.
    KillMostForwarders,
    KillMostAssigners,
}

impl Fault {
    pub const ALL: [(&'static str, Fault); 11] = [
        ("kill-forwarder", Fault::KillForwarder),
        ("halt-forwarder", Fault::HaltForwarder),
        ("replace-forwarder", Fault::ReplaceForwarder),
        ("break-watches", Fault::BreakWatches),
        ("silence", Fault::Silence),
        ("silent-server", Fault::SilentServer),
        ("deploy", Fault::Deploy),
        ("kill-assigner", Fault::KillAssigner),
        ("halt-assigner", Fault::HaltAssigner),
        ("kill-most-forwarders", Fault::KillMostForwarders),
        ("kill-most-assigners", Fault::KillMostAssigners),
    ];

    pub fn named(name: &str) -> Option<Fault> {
        Fault::ALL
            .iter()
            .find(|(known, _)| *known == name)
            .map(|(_, trouble)| *trouble)
    }
}

/// What is still to be done of a trouble that has begun.
enum ScheduledFault {
    StartForwarder(usize),
    GoOn(usize),
    Gone(String),
    Drained(String),
    Speak,
    StartAssigner(usize),
    AssignerGoesOn(usize),
    KillFormer,
}

impl ScheduledFault {
    /// Whether both are of one forwarder's or one assigner's return.
    fn strikes(&self, other: &ScheduledFault) -> bool {
        let of = |due: &ScheduledFault| match due {
            ScheduledFault::StartForwarder(at) | ScheduledFault::GoOn(at) => Some((true, *at)),
            ScheduledFault::StartAssigner(at) | ScheduledFault::AssignerGoesOn(at) => {
                Some((false, *at))
            }
            _ => None,
        };
        of(self).is_some() && of(self) == of(other)
    }
}

pub struct FaultSchedule {
    kinds: Vec<Fault>,
    chance: Pcg,
    every: Duration,
    next: Duration,
    due: Vec<(Duration, ScheduledFault)>,
    former: Vec<crate::process::Process>,
    /// What has begun, and when.
    pub begun: Vec<(Duration, Fault)>,
}

impl FaultSchedule {
    /// One of these begins about every so often, the first after as long.
    pub fn new(kinds: &[Fault], every: Duration, seed: u64) -> Self {
        FaultSchedule {
            kinds: kinds.to_vec(),
            chance: Pcg::new(seed),
            every,
            next: every,
            due: Vec::new(),
            former: Vec::new(),
            begun: Vec::new(),
        }
    }

    fn draw(&mut self, of: usize) -> usize {
        (self.chance.unit() * of.max(1) as f64) as usize
    }

    /// Does what is due; `since` counts from the beginning. `calm` begins nothing new.
    ///
    /// # Errors
    /// Something did not come back.
    pub fn step(&mut self, rig: &mut TestBed, since: Duration, calm: bool) -> Result<(), String> {
        let mut now = Vec::new();
        let mut later = Vec::new();
        for (at, due) in self.due.drain(..) {
            if at <= since {
                now.push(due)
            } else {
                later.push((at, due))
            }
        }
        self.due = later;
        for due in now {
            match due {
                ScheduledFault::StartForwarder(at) => rig.restart_forwarder(at)?,
                ScheduledFault::GoOn(at) => rig.forwarders[at].go_on(),
                ScheduledFault::AssignerGoesOn(at) => rig.assigners[at].go_on(),
                ScheduledFault::StartAssigner(at) => rig.restart_assigner(at)?,
                ScheduledFault::Speak => rig.registry.silence(false),
                ScheduledFault::Gone(name) => {
                    rig.list(&name, "gone");
                    rig.add_server(false)?;
                }
                ScheduledFault::Drained(name) => {
                    rig.list(&name, "gone");
                    rig.kill_server(&name);
                }
                ScheduledFault::KillFormer => self.former.clear(),
            }
        }
        if !calm && since >= self.next {
            self.next = since + self.every.mul_f64(0.7 + 0.6 * self.chance.unit());
            let at = self.draw(self.kinds.len());
            let kind = self.kinds[at];
            self.begin(rig, since, kind)?;
        }
        Ok(())
    }

    /// Nothing that has begun is still to be done.
    pub fn over(&self) -> bool {
        self.due.is_empty()
    }

    fn servers(rig: &TestBed) -> Vec<String> {
        let owners = rig.owners();
        let mut own: Vec<String> = owners.into_values().flatten().collect();
        own.sort();
        own.dedup();
        own.into_iter()
            .filter(|name| rig.servers.contains_key(name))
            .collect()
    }

    /// Never more than one server on its way out, so that slices have somewhere to go.
    fn leaving(&self) -> bool {
        self.due
            .iter()
            .any(|(_, due)| matches!(due, ScheduledFault::Gone(_) | ScheduledFault::Drained(_)))
    }

    /// A server drains and a cold one takes its place, unless one is on its way out already.
    fn drain(&mut self, rig: &mut TestBed, since: Duration) -> Result<(), String> {
        let names = Self::servers(rig);
        let at = self.draw(names.len());
        if let Some(name) = names.get(at).filter(|_| !self.leaving()) {
            rig.add_server(false)?;
            rig.list(name, "draining");
            self.due.push((
                since + Duration::from_secs(7),
                ScheduledFault::Drained(name.clone()),
            ));
        }
        Ok(())
    }

    pub fn begin(&mut self, rig: &mut TestBed, since: Duration, kind: Fault) -> Result<(), String> {
        let after = |secs: f64| since + Duration::from_secs_f64(secs);
        let forwarder = self.draw(rig.forwarders.len());
        let assigner = self.draw(rig.assigners.len());
        let struck = [
            ScheduledFault::StartForwarder(forwarder),
            ScheduledFault::StartAssigner(assigner),
        ];
        let busy = |due: &ScheduledFault| struck.iter().any(|of| due.strikes(of));
        if self.due.iter().any(|(_, due)| busy(due)) {
            return Ok(());
        }
        let most = |of: usize| of - (of * 3 / 10).max(1).min(of - 1);
        let leaving = self.leaving();
        match kind {
            Fault::KillForwarder => {
                rig.forwarders[forwarder].kill();
                self.due
                    .push((after(1.0), ScheduledFault::StartForwarder(forwarder)));
            }
            Fault::HaltForwarder => {
                rig.forwarders[forwarder].halt();
                self.due.push((
                    after(1.0 + 3.0 * self.chance.unit()),
                    ScheduledFault::GoOn(forwarder),
                ));
            }
            Fault::ReplaceForwarder => {
                self.former.push(rig.replace_forwarder(forwarder)?);
                self.due.push((after(4.0), ScheduledFault::KillFormer));
            }
            Fault::BreakWatches => rig.registry.break_watches(),
            Fault::Silence => {
                rig.registry.silence(true);
                self.due
                    .push((after(0.5 + 3.0 * self.chance.unit()), ScheduledFault::Speak));
            }
            Fault::SilentServer | Fault::Deploy if leaving => return Ok(()),
            Fault::SilentServer => {
                let names = Self::servers(rig);
                let Some(name) = names.get(self.draw(names.len())).cloned() else {
                    return Ok(());
                };
                rig.servers[&name].mood(Misbehavior::Silent);
                self.due.push((after(6.0), ScheduledFault::Gone(name)));
            }
            Fault::Deploy => self.drain(rig, since)?,
            Fault::KillMostForwarders | Fault::KillMostAssigners => {
                let forwarders = kind == Fault::KillMostForwarders;
                self.drain(rig, since)?;
                for at in 0..most(if forwarders {
                    rig.forwarders.len()
                } else {
                    rig.assigners.len()
                }) {
                    let due = if forwarders {
                        ScheduledFault::StartForwarder(at)
                    } else {
                        ScheduledFault::StartAssigner(at)
                    };
                    // One that stands still or is down already is left to what it waits for.
                    if self.due.iter().any(|(_, other)| other.strikes(&due)) {
                        continue;
                    }
                    if forwarders {
                        rig.forwarders[at].kill()
                    } else {
                        rig.assigners[at].kill()
                    }
                    self.due.push((after(1.0 + 0.4 * at as f64), due));
                }
            }
            Fault::KillAssigner => {
                rig.assigners[assigner].kill();
                self.due
                    .push((after(1.5), ScheduledFault::StartAssigner(assigner)));
            }
            Fault::HaltAssigner => {
                rig.assigners[assigner].halt();
                self.due.push((
                    after(1.0 + 3.0 * self.chance.unit()),
                    ScheduledFault::AssignerGoesOn(assigner),
                ));
            }
        }
        self.begun.push((since, kind));
        Ok(())
    }
}
