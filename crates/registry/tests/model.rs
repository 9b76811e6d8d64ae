//! Every order in which things can come about, in a small world: the library's own machines, two forwarders, and a
//! registry that breaks, mutes and compacts. What must never be is never; two faults put in on purpose are found.

mod explore;

use std::collections::{BTreeMap, BTreeSet};

use explore::{Model, Printed, explore, most};
use lynxmill_registry::layout::{Layout, Line, Mark, spell};
use lynxmill_registry::{
    Answer, Backoff, Change, KeyValue, Revision, StoreRequest, Tables, WatchEvent, WatchFollower,
    WatchStyle,
};
use lynxmill_time::{TimeDelta, Timestamp};

const LEASE: i64 = 2;
const LAST: i64 = 7;
const FORWARDERS: usize = 2;

/// A fault put in on purpose.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    /// A watch that is resumed begins at what is new by then, not at what was seen.
    ResumesAnywhere,
    /// A watch that stands again counts as a copy that is current.
    WritesBeforeTheReread,
}

#[derive(Clone, Hash)]
struct Forwarder {
    follow: Printed<WatchFollower>,
    tables: Printed<Tables>,
    asks: Vec<StoreRequest>,
    /// The stream: its turn, the next revision to tell, and whether it has fallen silent.
    stream: Option<(u64, u64, bool)>,
    /// The mark that it has answered.
    answered: u16,
    /// Changes it was told twice, or missed.
    wrong: bool,
}

#[derive(Clone, Hash)]
struct World {
    now: i64,
    /// The registry's history; a revision is its place, from 1 on.
    history: Vec<Vec<KeyValue>>,
    compacted: u64,
    forwarders: Vec<Forwarder>,
    /// When the slice was shut, and whether its next owner is out.
    shut: Option<i64>,
    published: bool,
    breaks: u8,
    mutes: u8,
    compactions: u8,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Step {
    Tick,
    Shut,
    Publish,
    Compact,
    Serve(usize, usize),
    Tell(usize),
    Break(usize),
    Mute(usize),
}

struct Small(Fault);

fn at(now: i64) -> Timestamp {
    Timestamp::from_micros(now * 1_000_000)
}

fn secs(seconds: i64) -> TimeDelta {
    TimeDelta::from_micros(seconds * 1_000_000)
}

fn pair(key: &str, value: Vec<u8>, revision: u64) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value,
        made: Revision(1),
        changed: Revision(revision),
        lease: None,
    }
}

fn line(server: Option<&str>, generation: u64, revision: u64) -> KeyValue {
    let line = Line {
        server: server.map(str::to_owned),
        generation,
        stamp: revision.to_string(),
    };
    pair("p/slices/00000/line", spell(&line), revision)
}

impl World {
    fn revision(&self) -> u64 {
        self.history.len() as u64
    }

    fn pairs(&self) -> Vec<KeyValue> {
        let mut all: BTreeMap<&str, &KeyValue> = BTreeMap::new();
        all.extend(
            self.history
                .iter()
                .flatten()
                .map(|pair| (pair.key.as_str(), pair)),
        );
        all.into_values().cloned().collect()
    }

    fn change(&mut self, line: KeyValue, mark: Option<u16>) {
        let mut pairs = vec![line];
        if let Some(mark) = mark {
            let mark = Mark {
                mark,
                life: "1".into(),
                stamp: "x".into(),
            };
            pairs.push(pair("p/marks/n0", spell(&mark), self.revision() + 1));
        }
        self.history.push(pairs);
    }

    fn take(&mut self, f: usize, answer: Answer, fault: Fault) {
        let now = at(self.now);
        let held: Vec<KeyValue> = self.pairs();
        let forwarder = &mut self.forwarders[f];
        let mut told = Vec::new();
        let stands = matches!(answer, Answer::Begun { .. });
        forwarder
            .follow
            .0
            .take(now, answer, &mut told, &mut forwarder.asks);
        if fault == Fault::WritesBeforeTheReread && stands {
            told.extend([
                WatchEvent::Whole {
                    revision: Revision(1),
                },
                WatchEvent::Current { as_of: now },
            ]);
        }
        for told in &told {
            // What is known to be current holds no less than the registry did then: nothing can be missing.
            if let (WatchEvent::Whole { revision }, Fault::None) = (told, fault) {
                let lacks = held.iter().any(|p| {
                    p.changed <= *revision && forwarder.follow.0.held().get(&p.key).is_none()
                });
                forwarder.wrong |= lacks;
            }
            for (_, mark) in forwarder.tables.0.take(now, told) {
                forwarder.answered = mark.mark;
            }
        }
        self.clean(f);
    }

    /// Timers are kept by `Tick`; leaving a stream takes effect at once.
    fn clean(&mut self, f: usize) {
        let forwarder = &mut self.forwarders[f];
        let left = forwarder
            .asks
            .iter()
            .any(|ask| matches!(ask, StoreRequest::Leave { .. }));
        if left {
            forwarder.stream = None;
        }
        forwarder
            .asks
            .retain(|ask| !matches!(ask, StoreRequest::WakeAt(_) | StoreRequest::Leave { .. }));
    }

    fn wake(&mut self, f: usize) {
        let now = at(self.now);
        let forwarder = &mut self.forwarders[f];
        if forwarder.tables.0.tick(now) {
            forwarder.follow.0.read_again(now, &mut forwarder.asks);
        }
        forwarder.follow.0.wake(now, &mut forwarder.asks);
        self.clean(f);
    }

    fn serve(&mut self, f: usize, ask: StoreRequest, fault: Fault) {
        let revision = Revision(self.revision());
        match ask {
            StoreRequest::Page { turn, .. } => {
                let pairs = self.pairs();
                self.take(
                    f,
                    Answer::Page {
                        turn,
                        revision,
                        pairs,
                        more: false,
                    },
                    fault,
                );
            }
            StoreRequest::Watch { turn, from } => {
                let resumed = self.forwarders[f]
                    .follow
                    .0
                    .seen()
                    .is_some_and(|seen| seen < revision);
                let from = if fault == Fault::ResumesAnywhere && resumed {
                    revision.0 + 1
                } else {
                    from.0
                };
                if from <= self.compacted {
                    let oldest = Revision(self.compacted + 1);
                    return self.take(f, Answer::Compacted { turn, oldest }, fault);
                }
                self.forwarders[f].stream = Some((turn, from, false));
                self.take(f, Answer::Begun { turn }, fault);
            }
            StoreRequest::Look { turn, since } => {
                // A registry that resumes anywhere does not show it by its looks either.
                let newest = self
                    .pairs()
                    .iter()
                    .map(|pair| pair.changed)
                    .filter(|at| *at > since)
                    .max();
                let newest = newest.filter(|_| fault != Fault::ResumesAnywhere);
                let count = self.pairs().len() as u64;
                let count = if fault == Fault::ResumesAnywhere {
                    self.forwarders[f].follow.0.held().len() as u64
                } else {
                    count
                };
                self.take(
                    f,
                    Answer::Looked {
                        turn,
                        revision,
                        newest,
                        count,
                    },
                    fault,
                );
            }
            _ => {}
        }
    }

    fn tell(&mut self, f: usize, fault: Fault) {
        let Some((turn, next, false)) = self.forwarders[f].stream else {
            return;
        };
        let Some(pairs) = self.history.get(next as usize - 1) else {
            return;
        };
        let changes = pairs.iter().cloned().map(Change::Put).collect();
        self.forwarders[f].stream = Some((turn, next + 1, false));
        self.take(
            f,
            Answer::Changes {
                turn,
                revision: Revision(next),
                changes,
            },
            fault,
        );
    }
}

impl Model for Small {
    type World = World;
    type Step = Step;

    fn first(&self) -> World {
        let forwarder = || Forwarder {
            follow: Printed(WatchFollower::new(
                WatchStyle::Stream,
                "p/",
                secs(0),
                Backoff::new(secs(1), secs(1), 1),
            )),
            tables: Printed(Tables::new(Layout::new("p"), secs(LEASE))),
            asks: Vec::new(),
            stream: None,
            answered: 0,
            wrong: false,
        };
        let mut world = World {
            now: 0,
            history: vec![vec![line(Some("s-a"), 1, 1)]],
            compacted: 0,
            forwarders: (0..FORWARDERS).map(|_| forwarder()).collect(),
            shut: None,
            published: false,
            breaks: 0,
            mutes: 0,
            compactions: 0,
        };
        // Both have begun: what follows is what goes wrong.
        for f in 0..FORWARDERS {
            world.wake(f);
            while let Some(ask) = world.forwarders[f].asks.pop() {
                world.serve(f, ask, Fault::None);
            }
        }
        world
    }

    fn steps(&self, world: &World, steps: &mut Vec<Step>) {
        if world.now < LAST {
            steps.push(Step::Tick);
        }
        match world.shut {
            None => steps.push(Step::Shut),
            Some(since) if !world.published => {
                // The fence: every answer, or a lease. Nobody can write by an older table after either.
                let answered = world.forwarders.iter().all(|f| f.answered == 1);
                if answered || world.now - since >= LEASE {
                    steps.push(Step::Publish);
                }
            }
            Some(_) => {}
        }
        if world.compactions < 1 && world.revision() > 1 {
            steps.push(Step::Compact);
        }
        for (f, forwarder) in world.forwarders.iter().enumerate() {
            steps.extend((0..forwarder.asks.len()).map(|ask| Step::Serve(f, ask)));
            if let Some((_, next, false)) = forwarder.stream {
                if next <= world.revision() {
                    steps.push(Step::Tell(f));
                }
                if world.mutes < 1 {
                    steps.push(Step::Mute(f));
                }
            }
            if forwarder.stream.is_some() && world.breaks < 1 {
                steps.push(Step::Break(f));
            }
        }
    }

    fn next(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Tick => {
                next.now += 1;
                (0..FORWARDERS).for_each(|f| next.wake(f));
            }
            Step::Shut => {
                next.shut = Some(next.now);
                let revision = next.revision() + 1;
                next.change(line(None, 1, revision), Some(1));
            }
            Step::Publish => {
                next.published = true;
                let revision = next.revision() + 1;
                next.change(line(Some("s-b"), 2, revision), None);
            }
            Step::Compact => {
                (next.compactions, next.compacted) = (next.compactions + 1, next.revision());
            }
            Step::Serve(f, ask) => {
                let ask = next.forwarders[f].asks.remove(ask);
                next.serve(f, ask, self.0);
            }
            Step::Tell(f) => next.tell(f, self.0),
            Step::Break(f) => {
                next.breaks += 1;
                let (turn, ..) = next.forwarders[f].stream.take()?;
                next.take(f, Answer::Failed { turn }, self.0);
            }
            Step::Mute(f) => {
                next.mutes += 1;
                let (turn, at, _) = next.forwarders[f].stream?;
                next.forwarders[f].stream = Some((turn, at, true));
            }
        }
        Some(next)
    }

    fn wrong(&self, world: &World) -> Option<&'static str> {
        let owners = owners(world);
        if owners.iter().any(|owner| *owner != owners[0]) {
            return Some("writes go to two owners");
        }
        world
            .forwarders
            .iter()
            .any(|f| f.wrong)
            .then_some("something is missing after a whole reading")
    }

    fn seen(&self, world: &World, to: &mut BTreeSet<&'static str>) {
        let owners = owners(world);
        if owners == ["s-b", "s-b"] {
            to.insert("both write to the next owner");
        }
        if world.breaks > 0 && owners.is_empty() {
            to.insert("a break ends writes");
        }
    }
}

fn owners(world: &World) -> Vec<String> {
    let now = at(world.now);
    let sees = |f: &Forwarder| {
        let sight = f.tables.0.see(now, 0, "vote");
        sight.server.filter(|_| sight.writes).map(str::to_owned)
    };
    world.forwarders.iter().filter_map(sees).collect()
}

#[test]
fn writes_never_go_to_two_owners_in_any_order() {
    let found = explore(&Small(Fault::None), most());
    assert!(found.wrong.is_none(), "{:?}", found.wrong);
    assert!(
        found.seen.len() == 2 && found.worlds > 10_000,
        "{} {:?}",
        found.worlds,
        found.seen
    );
}

#[test]
fn a_watch_resumed_without_its_revision_is_found() {
    let found = explore(&Small(Fault::ResumesAnywhere), most());
    assert!(found.wrong.is_some(), "{}", found.worlds);
}

#[test]
fn writes_resumed_before_the_reread_are_found() {
    let found = explore(&Small(Fault::WritesBeforeTheReread), most());
    assert!(
        found
            .wrong
            .is_some_and(|(what, _)| what.starts_with("writes")),
        "{}",
        found.worlds
    );
}
