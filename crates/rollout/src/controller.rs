//! What becomes of a rollout in progress, by its evidence, its schedule and its term.

use std::fmt;

use lynxmill_configuration::{Rollout, RolloutDecision};
use lynxmill_protocol::RolloutObservation;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::evidence::Evidence;
use crate::judge::{Judge, RouteShares, Verdict, shares_by_route};
use crate::schedule::{ExposureBounds, Schedule, TrafficDivision};
use crate::trial_size::TrialSize;

/// Keys of tasks that have just started take so long to change hands: before that a trial's size says nothing.
const FIRST_HANDOVER: TimeDelta = TimeDelta::from_micros(3_000_000);
/// The least time at one share: reports of it have to come in.
const MIN_STEP: TimeDelta = TimeDelta::from_micros(1_000_000);
/// Requests at the new version that a first verdict takes.
const MIN_EVIDENCE: u64 = 30;
/// Tasks of the new version that a share needs, as a part of those before it.
const MIN_CAPACITY: f64 = 0.6;
/// Once all requests go to the new version, how long requests at the others are waited for.
const DRAIN_TIMEOUT: TimeDelta = TimeDelta::from_micros(3_000_000);
/// The part of the term after which it is recorded how much has passed: where all members lose power, the term is counted
/// on from there.
const RECORD_INTERVAL: f64 = 0.25;
/// So long before its term a rollout comes to its end, whatever that is.
const LAST_CALL: TimeDelta = TimeDelta::from_micros(800_000);

/// An edge that has a stream to this member.
#[derive(Clone, Debug)]
pub struct EdgeState {
    /// `NodeName`.
    pub name: String,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// It keeps versions apart.
    pub knows_versions: bool,
}

/// What a rollout is judged by besides its evidence.
#[derive(Clone, Debug, Default)]
pub struct Surroundings {
    /// Edges that have a stream to this member.
    pub edges: Vec<EdgeState>,
    /// An edge's stream has ended lately: it may still send to other versions.
    pub edge_lost_lately: bool,
    /// Tasks of the new version that are ready.
    pub target_tasks: usize,
    /// Tasks of the other versions that are ready.
    pub other_tasks: usize,
    /// Tasks of other versions hold keys, or may, as far as this member knows.
    pub others_hold_keys: bool,
    /// An earlier rollout of the service is in progress: this one stays in its trial.
    pub waits_for_earlier: bool,
    /// The version of the rollouts' item.
    pub item_version: u64,
}

/// Why something was decided.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// The rollout begins.
    Trial,
    /// Nothing speaks against the version: bad requests by route.
    Sound(Vec<RouteShares>),
    /// The version is worse than those before it.
    Bad(RouteShares),
    /// No verdict by the term: bad requests by route.
    TermReached(Vec<RouteShares>),
    /// Nothing changes: the time since the order is recorded.
    TimePassed,
    /// The version got as many requests as a bad one may, and could not take over.
    ExposureUsed(u64),
    /// No edge in touch sends to the other versions, and nothing runs there.
    TakenOver,
}

fn write_routes(out: &mut fmt::Formatter<'_>, routes: &[RouteShares]) -> fmt::Result {
    write!(out, "; bad requests")?;
    routes
        .iter()
        .try_for_each(|route| write!(out, "; on {route}"))
}

impl fmt::Display for Reason {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Reason::Trial => write!(out, "the trial begins"),
            Reason::Sound(routes) => {
                write!(out, "sound")?;
                write_routes(out, routes)
            }
            Reason::Bad(route) => write!(out, "bad on {route}"),
            Reason::TermReached(routes) => {
                write!(out, "no verdict by its term")?;
                write_routes(out, routes)
            }
            Reason::TimePassed => write!(out, "time has passed"),
            Reason::ExposureUsed(sent) => {
                write!(
                    out,
                    "no verdict after {sent} requests, as many as it may get"
                )
            }
            Reason::TakenOver => write!(out, "the version has taken over"),
        }
    }
}

/// What a rollout waits for before its share rises.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitsFor {
    /// The next step is not due yet.
    Schedule,
    /// An earlier rollout of the service.
    EarlierRollout,
    /// A clear judgement: something speaks against the version.
    Judgement,
    /// More requests at the new version.
    Evidence,
    /// More tasks of the new version, or the owner of the service's shards.
    Tasks,
    /// The bound on what a bad version may get.
    Bound,
    /// Edges, tasks and keys that still use the other versions.
    Others,
}

impl fmt::Display for WaitsFor {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(match self {
            WaitsFor::Schedule => "its next step",
            WaitsFor::EarlierRollout => "an earlier rollout of the service",
            WaitsFor::Judgement => "a clear judgement: something speaks against the version",
            WaitsFor::Evidence => "more requests at the new version",
            WaitsFor::Tasks => "more tasks of the new version, or the owner of the shards",
            WaitsFor::Bound => "the bound on what a bad version may get",
            WaitsFor::Others => "edges, tasks and keys that still use the other versions",
        })
    }
}

/// A decision that is due.
#[derive(Clone, Debug, PartialEq)]
pub struct Decided {
    /// What is decided.
    pub decision: RolloutDecision,
    /// Why.
    pub reason: Reason,
    /// Time since the order.
    pub elapsed: TimeDelta,
}

/// One rollout in progress, as a member follows it.
#[derive(Clone, Debug)]
pub struct RolloutController {
    schedule: Schedule,
    ordered_at: Timestamp,
    share: f64,
    share_since: Timestamp,
    evidence: Evidence,
    judge: Judge,
    waits_for: WaitsFor,
    trial_size: TrialSize,
}

impl RolloutController {
    /// Follows a rollout that this member has just heard of.
    pub fn new(
        now: Timestamp,
        rollout: &Rollout,
        bounds: ExposureBounds,
        division: TrafficDivision,
    ) -> Self {
        RolloutController {
            schedule: Schedule::new(millis(rollout.duration_ms), bounds, division),
            ordered_at: before(now, rollout.elapsed_ms),
            share: rollout.share,
            share_since: now,
            evidence: Evidence::default(),
            judge: Judge::default(),
            waits_for: WaitsFor::Schedule,
            trial_size: TrialSize::default(),
        }
    }

    /// What it waited for at the last step.
    pub fn waits_for(&self) -> WaitsFor {
        self.waits_for
    }

    /// By how much a trial by key is to be larger than its share says.
    pub fn trial_factor(&self) -> f64 {
        self.trial_size.factor()
    }

    /// An edge reports.
    pub fn observe(&mut self, edge: &str, incarnation: u64, observation: RolloutObservation) {
        self.evidence.observe(edge, incarnation, observation);
    }

    /// What was reported so far.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// What is to be decided now; the same again until it is agreed on.
    pub fn step(
        &mut self,
        now: Timestamp,
        rollout: &Rollout,
        surroundings: &Surroundings,
    ) -> Option<Decided> {
        self.follow(now, rollout);
        let elapsed = now - self.ordered_at;
        let lately = self.evidence.take_unjudged();
        let is_alone = self.share >= 1.0;
        if !is_alone && now - self.share_since >= FIRST_HANDOVER {
            let (requests, sent) = (self.evidence.requests, self.evidence.target_requests);
            self.trial_size.observe(now, self.share, requests, sent);
        }
        let totals = &self.evidence.totals;
        let verdict = self.judge.judge(now, &lately, totals, is_alone);
        let decided = |decision, reason| {
            Some(Decided {
                decision,
                reason,
                elapsed,
            })
        };
        if let Verdict::Bad(bad) = verdict {
            return decided(RolloutDecision::Revert, Reason::Bad(bad));
        }
        let is_last_call = elapsed + LAST_CALL >= self.schedule.duration();
        if self.share >= 1.0 {
            let may_complete = surroundings.edges.iter().all(|edge| edge.knows_versions);
            let is_due = is_last_call && !surroundings.others_hold_keys;
            if may_complete && (is_due || self.has_taken_over(now, surroundings)) {
                return decided(RolloutDecision::Complete, Reason::TakenOver);
            }
        }
        if is_last_call && self.share < 1.0 || elapsed >= self.schedule.duration() {
            let reason = Reason::TermReached(shares_by_route(&self.evidence.totals));
            return decided(RolloutDecision::Revert, reason);
        }
        if self.share <= 0.0 {
            let trial = self.schedule.trial_share();
            return decided(RolloutDecision::Share(trial), Reason::Trial);
        }
        match self.next_share(now, elapsed, &verdict, surroundings) {
            Ok(next) => {
                let reason = Reason::Sound(shares_by_route(&self.evidence.totals));
                decided(RolloutDecision::Share(next), reason)
            }
            Err(_) if self.is_used_up(elapsed) => {
                let reason = Reason::ExposureUsed(self.evidence.target_requests);
                decided(RolloutDecision::Revert, reason)
            }
            Err(waits_for) => {
                self.waits_for = waits_for;
                let share = RolloutDecision::Share(self.share);
                let is_due = self.is_record_due(rollout, elapsed);
                is_due.then_some(Decided {
                    decision: share,
                    reason: Reason::TimePassed,
                    elapsed,
                })
            }
        }
    }

    fn is_record_due(&self, rollout: &Rollout, elapsed: TimeDelta) -> bool {
        let since_record = elapsed - millis(rollout.elapsed_ms);
        since_record >= self.schedule.duration().times(RECORD_INTERVAL)
    }

    fn follow(&mut self, now: Timestamp, rollout: &Rollout) {
        // What another member had measured may be longer than what this one did.
        self.ordered_at = self.ordered_at.min(before(now, rollout.elapsed_ms));
        if self.share != rollout.share {
            (self.share, self.share_since) = (rollout.share, now);
        }
    }

    /// Whether the version got as many requests as a bad one may, and does not take over.
    fn is_used_up(&self, elapsed: TimeDelta) -> bool {
        let (requests, sent) = (self.evidence.requests, self.evidence.target_requests);
        self.share < 1.0 && self.schedule.is_used_up(requests, sent, elapsed)
    }

    /// The share that the version may rise to now, or what it waits for.
    fn next_share(
        &self,
        now: Timestamp,
        elapsed: TimeDelta,
        verdict: &Verdict,
        surroundings: &Surroundings,
    ) -> Result<f64, WaitsFor> {
        if self.share >= 1.0 {
            return Err(WaitsFor::Others);
        }
        if surroundings.waits_for_earlier {
            return Err(WaitsFor::EarlierRollout);
        }
        let (next, begins) = self.schedule.next_step(self.share);
        let (requests, sent) = (self.evidence.requests, self.evidence.target_requests);
        let is_early = elapsed < begins && !self.schedule.may_hurry(requests, sent, elapsed);
        if is_early || now - self.share_since < MIN_STEP {
            return Err(WaitsFor::Schedule);
        }
        match verdict {
            Verdict::Sound if self.evidence.target_ended() >= MIN_EVIDENCE => {}
            Verdict::Sound | Verdict::Unknown => return Err(WaitsFor::Evidence),
            Verdict::Suspicious | Verdict::Bad(_) => return Err(WaitsFor::Judgement),
        }
        let needed = surroundings.other_tasks as f64 * next * MIN_CAPACITY;
        if (surroundings.target_tasks as f64) < needed {
            return Err(WaitsFor::Tasks);
        }
        if next < 1.0 && !self.schedule.keeps_bound(next, requests, sent, elapsed) {
            return Err(WaitsFor::Bound);
        }
        Ok(next)
    }

    /// Whether no edge in touch sends to other versions, and nothing runs there, or has for too long.
    fn has_taken_over(&self, now: Timestamp, surroundings: &Surroundings) -> bool {
        let since = now - self.share_since;
        if since < MIN_STEP {
            return false;
        }
        let in_force = |edge: &EdgeState| {
            let last = self.evidence.last_of(&edge.name, edge.incarnation);
            last.filter(|report| report.item_version >= surroundings.item_version)
        };
        let reports: Vec<Option<&RolloutObservation>> =
            surroundings.edges.iter().map(in_force).collect();
        let all_know = !surroundings.edge_lost_lately && reports.iter().all(Option::is_some);
        let in_flight: u32 = reports
            .into_iter()
            .flatten()
            .map(|r| r.others_in_flight)
            .sum();
        let is_handed_over = all_know && !surroundings.others_hold_keys;
        is_handed_over && (in_flight == 0 || since >= DRAIN_TIMEOUT)
    }
}

/// The moment so many milliseconds before another.
fn before(now: Timestamp, ms: u64) -> Timestamp {
    Timestamp::from_micros(now.micros() - millis(ms).micros())
}

fn millis(ms: u64) -> TimeDelta {
    TimeDelta::from_micros(
        i64::try_from(ms)
            .unwrap_or(i64::MAX / 1000)
            .saturating_mul(1000),
    )
}
