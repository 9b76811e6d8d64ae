//! Looks at every world that can come about, nearest first. The package registry at hand refuses the library that is
//! known for this; what is needed here is a queue and a set.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Debug;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Something whose state is told by what it prints.
#[derive(Clone)]
pub(crate) struct Printed<T>(pub T);

impl<T: Debug> Debug for Printed<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

impl<T: Debug> Hash for Printed<T> {
    fn hash<H: Hasher>(&self, to: &mut H) {
        format!("{:?}", self.0).hash(to);
    }
}

pub(crate) trait Model {
    type World: Clone + Hash;
    type Step: Clone + Debug;

    fn first(&self) -> Self::World;

    fn steps(&self, world: &Self::World, to: &mut Vec<Self::Step>);

    fn next(&self, world: &Self::World, step: Self::Step) -> Option<Self::World>;

    /// What must never be and is.
    fn wrong(&self, world: &Self::World) -> Option<&'static str>;

    /// What should come about at some time, and does here.
    fn seen(&self, world: &Self::World, to: &mut BTreeSet<&'static str>);
}

#[derive(Debug)]
pub(crate) struct Found<S> {
    pub worlds: usize,
    /// The first wrong, and the steps to it.
    pub wrong: Option<(&'static str, Vec<S>)>,
    pub seen: BTreeSet<&'static str>,
}

fn digest(world: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    world.hash(&mut hasher);
    hasher.finish()
}

/// Up to so many worlds; ends at the first that is wrong.
pub(crate) fn explore<M: Model>(model: &M, most: usize) -> Found<M::Step> {
    let mut found = Found {
        worlds: 0,
        wrong: None,
        seen: BTreeSet::new(),
    };
    let first = model.first();
    let mut met = BTreeSet::from([digest(&first)]);
    let mut from: BTreeMap<u64, (u64, M::Step)> = BTreeMap::new();
    let mut due = VecDeque::from([first]);
    let mut steps = Vec::new();
    while let Some(world) = due.pop_front() {
        found.worlds += 1;
        let here = digest(&world);
        if let Some(what) = model.wrong(&world) {
            let (mut way, mut at) = (Vec::new(), here);
            while let Some((before, step)) = from.get(&at) {
                way.insert(0, step.clone());
                at = *before;
            }
            found.wrong = Some((what, way));
            return found;
        }
        if found.worlds >= most {
            return found;
        }
        model.seen(&world, &mut found.seen);
        model.steps(&world, &mut steps);
        for step in steps.drain(..) {
            if let Some(next) = model.next(&world, step.clone())
                && met.insert(digest(&next))
            {
                from.insert(digest(&next), (here, step));
                due.push_back(next);
            }
        }
    }
    found
}

/// Worlds looked at; by hand more with WORLDS.
pub(crate) fn most() -> usize {
    std::env::var("WORLDS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(60_000)
}
