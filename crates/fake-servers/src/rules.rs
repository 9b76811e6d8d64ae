//! The rules, checked against what really ran at servers, what discovery told and what the store held. Knows nothing of
//! what assigners or forwarders think.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::worker::{ExecutedRequest, ExecutionLog, WorkerKind, warmth};

/// The figures of the rules.
#[derive(Clone, Copy, Debug)]
pub struct RuleLimits {
    /// Longest time that a slice may have nobody while a warm server is ready.
    pub bare: Duration,
    /// How long after it was told something may still go to a server that drains.
    pub grace: Duration,
    /// What a rule's time limits are longer by on sockets.
    pub slack: Duration,
    pub tip_multiple: f64,
    pub tip_after: Duration,
    /// Marks from one assigner within a span; 0: any number.
    pub messages: usize,
    pub span: Duration,
}

/// What discovery told of a server, and when.
#[derive(Clone, Debug)]
pub struct ReportedState {
    pub at: Duration,
    pub server: String,
    pub ready: bool,
}

/// What there is to be checked.
pub struct Evidence<'a> {
    pub ledger: &'a ExecutionLog,
    pub told: &'a [ReportedState],
    /// Slices that had nobody in the store, from and to.
    pub bare: &'a [(usize, Duration, Duration)],
    /// Marks that assigners wrote.
    pub marks: &'a [(String, Duration)],
    pub natures: &'a BTreeMap<String, WorkerKind>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct BrokenRule {
    pub rule: u8,
    pub at: Duration,
    pub what: String,
}

fn broken(rule: u8, at: Duration, what: String) -> BrokenRule {
    BrokenRule { rule, at, what }
}

/// 1: no slice without anybody for longer than allowed while a server that is warm was ready all along.
fn bare(of: &Evidence<'_>, terms: &RuleLimits) -> Vec<BrokenRule> {
    let ready = |from: Duration, to: Duration| {
        of.ledger.started.iter().any(|(server, started)| {
            let warm = of
                .natures
                .get(server)
                .is_none_or(|n| started.is_zero() || from >= *started + n.warm_after);
            let mut state = false;
            let mut always = true;
            for told in of.told.iter().filter(|told| told.server == *server) {
                if told.at > from && told.at < to {
                    always &= told.ready && state;
                } else if told.at <= from {
                    state = told.ready;
                }
            }
            warm && state && always
        })
    };
    let long = |(_, from, to): &&(usize, Duration, Duration)| {
        *to - *from > terms.bare + terms.slack && ready(*from, *to)
    };
    let told = |(slice, from, to): &(usize, Duration, Duration)| {
        broken(
            1,
            *to,
            format!("slice {slice} had nobody from {from:?} to {to:?}"),
        )
    };
    of.bare.iter().filter(long).map(told).collect()
}

/// 2: no effect twice, no write of a slice at two servers at once or at a former owner.
fn twice(of: &Evidence<'_>) -> Vec<BrokenRule> {
    let mut found = Vec::new();
    let mut seen: BTreeMap<&str, &ExecutedRequest> = BTreeMap::new();
    for ran in of.ledger.ran.iter().filter(|ran| ran.write) {
        if let Some(first) = seen.insert(&ran.id, ran) {
            found.push(broken(
                2,
                ran.began,
                format!(
                    "{} ran at {} and again at {}",
                    ran.id, first.server, ran.server
                ),
            ));
        }
    }
    let mut slices: BTreeMap<usize, Vec<&ExecutedRequest>> = BTreeMap::new();
    for ran in of.ledger.ran.iter().filter(|ran| ran.write) {
        slices.entry(ran.slice).or_default().push(ran);
    }
    for (slice, writes) in slices {
        // The write that lasts longest so far, and the newest generation with its owner.
        let (mut last, mut newest): (Option<&ExecutedRequest>, Option<&ExecutedRequest>) =
            (None, None);
        for ran in writes {
            if let Some(held) =
                last.filter(|held| held.server != ran.server && held.ended > ran.began)
            {
                found.push(broken(
                    2,
                    ran.began,
                    format!(
                        "slice {slice} written at {} and {}",
                        held.server, ran.server
                    ),
                ));
            }
            if let Some(owner) =
                newest.filter(|o| o.server != ran.server && o.generation >= ran.generation)
            {
                let what = format!(
                    "slice {slice} written at {} of {}, {} of {} had writes",
                    ran.server, ran.generation, owner.server, owner.generation
                );
                found.push(broken(2, ran.began, what));
            }
            if last.is_none_or(|held| ran.ended >= held.ended) {
                last = Some(ran);
            }
            if newest.is_none_or(|owner| ran.generation >= owner.generation) {
                newest = Some(ran);
            }
        }
    }
    found
}

/// 3: nothing goes to a server once the grace after its drain was told is over.
fn drains(of: &Evidence<'_>, terms: &RuleLimits) -> Vec<BrokenRule> {
    let mut found = Vec::new();
    for (at, drain) in of.told.iter().enumerate().filter(|(_, told)| !told.ready) {
        let earlier = of.told[..at]
            .iter()
            .rev()
            .find(|told| told.server == drain.server);
        if earlier.is_some_and(|earlier| !earlier.ready) {
            continue;
        }
        let back = of.told[at..]
            .iter()
            .find(|told| told.server == drain.server && told.ready);
        let until = back.map_or(Duration::MAX, |back| back.at);
        let from = drain.at + terms.grace + terms.slack;
        let late = of
            .ledger
            .ran
            .iter()
            .find(|ran| ran.server == drain.server && ran.began > from && ran.began < until);
        found.extend(late.map(|ran| {
            broken(
                3,
                ran.began,
                format!(
                    "{} got {} {:?} after its drain",
                    ran.server,
                    ran.id,
                    ran.began - drain.at
                ),
            )
        }));
    }
    found
}

/// 4: what a cold server gets within a span stays under the multiple of what it can do then.
fn cold(of: &Evidence<'_>, terms: &RuleLimits) -> Vec<BrokenRule> {
    let mut found = Vec::new();
    for (server, started) in of
        .ledger
        .started
        .iter()
        .filter(|(_, started)| !started.is_zero())
    {
        let Some(nature) = of.natures.get(server) else {
            continue;
        };
        let own = of
            .ledger
            .ran
            .iter()
            .filter(|ran| ran.server == *server && ran.began >= *started);
        let own: Vec<&ExecutedRequest> = own
            .take_while(|ran| ran.began < *started + nature.warm_after)
            .collect();
        let mut first = 0;
        for (at, ran) in own.iter().enumerate() {
            while own[first].began + terms.tip_after < ran.began {
                first += 1;
            }
            let work: f64 = own[first..=at].iter().map(|ran| ran.work).sum();
            let can = nature.cores as f64
                * warmth(nature, ran.began - *started)
                * terms.tip_after.as_secs_f64();
            if work > terms.tip_multiple * can {
                let what =
                    format!("{server} got {work:.2} s of work for {can:.2} s that it could do");
                found.push(broken(4, ran.began, what));
                break;
            }
        }
    }
    found
}

/// 5: no more marks from one assigner within a span than messages are allowed.
fn messages(of: &Evidence<'_>, terms: &RuleLimits) -> Vec<BrokenRule> {
    let mut found = Vec::new();
    let mut by: BTreeMap<&str, Vec<Duration>> = BTreeMap::new();
    of.marks
        .iter()
        .for_each(|(assigner, at)| by.entry(assigner).or_default().push(*at));
    for (assigner, marks) in by.into_iter().filter(|_| terms.messages > 0) {
        let most = terms.messages;
        let over = marks
            .windows(most + 1)
            .find(|some| some[most] - some[0] < terms.span);
        found.extend(over.map(|some| {
            broken(
                5,
                some[most],
                format!("{assigner} sent {} messages", most + 1),
            )
        }));
    }
    found
}

/// All breaches, by time.
pub fn check(of: &Evidence<'_>, terms: &RuleLimits) -> Vec<BrokenRule> {
    let mut found = bare(of, terms);
    found.extend(twice(of));
    found.extend(drains(of, terms));
    found.extend(cold(of, terms));
    found.extend(messages(of, terms));
    found.sort_by_key(|broken| broken.at);
    found
}
