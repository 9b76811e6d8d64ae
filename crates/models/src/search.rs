//! Breadth-first search over all states that a model can reach, in parallel, level by level.

use std::collections::HashSet;
use std::fmt::Debug;
use std::hash::Hash;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use crate::fingerprint::Fingerprint;

/// A system of states: where it starts, what may happen in a state, and what must hold in each.
pub trait Model: Sync {
    type State: Clone + Hash + Send + Sync;
    type Action: Clone + Debug + Send + Sync;

    /// The states that the search starts from.
    fn initial(&self) -> Vec<Self::State>;

    /// All that may happen in a state.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;

    /// The state after an action; none if the action comes to nothing.
    fn step(&self, state: &Self::State, action: &Self::Action) -> Option<Self::State>;

    /// The invariant that a state breaks.
    fn violation(&self, state: &Self::State) -> Option<String>;
}

/// An invariant that was broken and the shortest way there.
#[derive(Clone, Debug)]
pub struct Counterexample {
    pub violation: String,
    pub actions: Vec<String>,
}

/// What a search came to.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub states: usize,
    pub transitions: usize,
    pub depth: usize,
    pub took: Duration,
    /// Whether all states that can be reached were visited.
    pub complete: bool,
    pub counterexample: Option<Counterexample>,
}

impl Outcome {
    /// One line of sizes, states and time.
    pub fn print(&self, name: &str) {
        let found = self
            .counterexample
            .as_ref()
            .map_or("", |found| found.violation.as_str());
        let reach = if self.complete { "all" } else { "not all" };
        println!(
            "{name}: {} states ({reach}), {} transitions, depth {}, {:.2} s {found}",
            self.states,
            self.transitions,
            self.depth,
            self.took.as_secs_f64()
        );
    }

    /// Demands that every state was visited and none breaks an invariant.
    pub fn assert_holds(&self, name: &str) {
        self.print(name);
        if let Some(found) = &self.counterexample {
            panic!(
                "{name}: {}\n  {}",
                found.violation,
                found.actions.join("\n  ")
            );
        }
        assert!(
            self.complete,
            "{name}: the bound on states was met before all were visited"
        );
    }

    /// Demands that the invariant of this name was found broken.
    pub fn assert_finds(&self, name: &str, violation: &str) {
        self.print(name);
        let found = self
            .counterexample
            .as_ref()
            .unwrap_or_else(|| panic!("{name}: nothing was found"));
        println!("  {}", found.actions.join("\n  "));
        assert!(
            found.violation.contains(violation),
            "{name}: found something else: {}",
            found.violation
        );
    }
}

/// How many threads search, and after how many states a search ends unfinished.
const THREADS: usize = 4;
const MOST_STATES: usize = 60_000_000;
const SHARDS: usize = 256;

/// The actions that led to a state, newest first.
struct Trace<A> {
    action: A,
    before: Option<Arc<Trace<A>>>,
}

impl<A: Debug> Trace<A> {
    fn told(last: Option<&Arc<Trace<A>>>) -> Vec<String> {
        let chain = std::iter::successors(last, |trace| trace.before.as_ref());
        let mut actions: Vec<String> = chain.map(|trace| format!("{:?}", trace.action)).collect();
        actions.reverse();
        actions
    }
}

struct Entry<M: Model> {
    state: M::State,
    trace: Option<Arc<Trace<M::Action>>>,
}

/// Fingerprints of visited states, in shards that are locked one by one.
struct Visited {
    shards: Vec<Mutex<HashSet<u128>>>,
}

impl Visited {
    fn new() -> Self {
        Visited {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }

    /// Whether the state is new.
    fn insert(&self, fingerprint: u128) -> bool {
        let shard = &self.shards[fingerprint as usize % SHARDS];
        shard
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(fingerprint)
    }

    fn len(&self) -> usize {
        self.shards
            .iter()
            .map(|shard| shard.lock().unwrap_or_else(PoisonError::into_inner).len())
            .sum()
    }
}

/// Visits every state, up to a bound that only guards the machine's memory; ends at the first violation.
pub fn search<M: Model>(model: &M) -> Outcome {
    let started = Instant::now();
    let visited = Visited::new();
    let mut level: Vec<Entry<M>> = Vec::new();
    for state in model.initial() {
        if visited.insert(Fingerprint::of(&state)) {
            level.push(Entry { state, trace: None });
        }
    }
    let (mut transitions, mut depth, mut counterexample) = (0, 0, None);
    while !level.is_empty() && counterexample.is_none() && visited.len() < MOST_STATES {
        let (next, taken, found) = expand_level(model, &visited, &level);
        (level, counterexample) = (next, found);
        transitions += taken;
        depth += 1;
        if std::env::var_os("LYNXMILL_MODELS_LEVELS").is_some() {
            println!(
                "  level {depth}: {} states, {:.1} s",
                level.len(),
                started.elapsed().as_secs_f64()
            );
        }
    }
    Outcome {
        states: visited.len(),
        transitions,
        depth,
        took: started.elapsed(),
        complete: level.is_empty() && counterexample.is_none(),
        counterexample,
    }
}

type Expanded<M> = (Vec<Entry<M>>, usize, Option<Counterexample>);

fn expand_level<M: Model>(model: &M, visited: &Visited, level: &[Entry<M>]) -> Expanded<M> {
    let part = level.len().div_ceil(THREADS).max(64);
    let parts: Vec<Expanded<M>> = std::thread::scope(|scope| {
        let work = |entries| scope.spawn(move || expand(model, visited, entries));
        let running: Vec<_> = level.chunks(part).map(work).collect();
        running
            .into_iter()
            .filter_map(|thread| thread.join().ok())
            .collect()
    });
    assert_eq!(
        parts.len(),
        level.chunks(part).len(),
        "a thread of the search has panicked"
    );
    let (mut next, mut transitions, mut found) = (Vec::new(), 0, None);
    for (entries, taken, counterexample) in parts {
        next.extend(entries);
        transitions += taken;
        found = found.or(counterexample);
    }
    (next, transitions, found)
}

fn expand<M: Model>(model: &M, visited: &Visited, entries: &[Entry<M>]) -> Expanded<M> {
    let (mut next, mut transitions) = (Vec::new(), 0);
    for entry in entries {
        if let Some(violation) = model.violation(&entry.state) {
            let actions = Trace::told(entry.trace.as_ref());
            return (
                next,
                transitions,
                Some(Counterexample { violation, actions }),
            );
        }
        for action in model.actions(&entry.state) {
            let Some(state) = model.step(&entry.state, &action) else {
                continue;
            };
            transitions += 1;
            if visited.insert(Fingerprint::of(&state)) {
                let trace = Some(Arc::new(Trace {
                    action,
                    before: entry.trace.clone(),
                }));
                next.push(Entry { state, trace });
            }
        }
    }
    (next, transitions, None)
}

/// The size that a model is played at: the larger one only by hand, with `LYNXMILL_MODELS=large`.
pub fn large() -> bool {
    std::env::var("LYNXMILL_MODELS").is_ok_and(|size| size == "large")
}
