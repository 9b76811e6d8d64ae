//! Contact with a majority: a member serves joins of edges only while a round trip to a majority holds,
//! counted from when it was asked. Member 0 may be cut off one way, runs a slow clock, and is replaced once
//! the others have not heard it for long.

use std::hash::{Hash, Hasher};

use lynxmill_consensus::{
    HeldLease, LEASE_DURATION, MembershipChange, MembershipMonitor, majority,
};
use lynxmill_protocol::{MemberStatus, Membership};
use lynxmill_time::Timestamp;

use crate::fingerprint::{Content, Fingerprint, Part};
use crate::search::Model;

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Bug {
    #[default]
    None,
    /// It serves while it has heard a majority lately, whether or not that hears it.
    HeardLately,
    /// An answer that comes late counts for a later question.
    LateAnswerCounts,
}

/// Passing times, in microseconds: they straddle the lease, the time of being heard lately and that of
/// silence.
const PAUSES: [i64; 3] = [790_000, 850_000, 1_700_000];
/// A clock may run slow by this part.
const SLOW_CLOCK: f64 = 0.98;

/// The model and its size.
pub struct ContactModel {
    pub bug: Bug,
    pub pauses: u8,
    pub questions: u8,
}

impl Content for HeldLease {
    fn feed(&self, into: &mut Fingerprint) {
        into.feed_debug(self);
    }
}

impl Content for MembershipMonitor {
    fn feed(&self, into: &mut Fingerprint) {
        into.feed_debug(self);
    }
}

/// A question of member 0 and who has answered it.
#[derive(Clone, Debug, Default, Hash)]
struct Question {
    asked: i64,
    /// Answers on their way, by member, and those that have arrived.
    on_way: Vec<usize>,
    arrived: Vec<usize>,
}

/// The state of all.
#[derive(Clone, Debug)]
pub struct State {
    now: i64,
    pauses_left: u8,
    /// What member 0 sends does not arrive any more.
    cut: bool,
    contact: Part<HeldLease>,
    questions: Vec<Question>,
    /// Of member 0 and of member 1, which proposes to replace it.
    monitors: Vec<Part<MembershipMonitor>>,
    /// When the others agreed to replace member 0.
    replaced: Option<i64>,
    /// When the last question was asked that a majority has answered, as the environment knows it.
    proven: Option<i64>,
}

impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (
            self.now,
            self.pauses_left,
            self.cut,
            &self.contact,
            &self.questions,
        )
            .hash(hasher);
        (&self.monitors, self.replaced, self.proven).hash(hasher);
    }
}

/// Something that may happen.
#[derive(Clone, Debug)]
pub enum Action {
    Pause {
        micros: i64,
    },
    Cut,
    /// Member 0 asks all whether they hear it.
    Ask,
    /// The question comes to another member, which answers while the asker is a member.
    Answer {
        question: usize,
        member: usize,
    },
    /// The answer comes to member 0.
    Arrive {
        question: usize,
        member: usize,
    },
    /// All tell each other that they are there.
    Tell,
    /// Another member looks whether member 0 is to be replaced.
    Replace,
}

fn ip(member: usize) -> String {
    format!("10.0.0.{}", member + 1)
}

fn members() -> Membership {
    Membership {
        epoch: 1,
        ips: (0..3).map(ip).collect(),
    }
}

fn status(member: usize) -> MemberStatus {
    MemberStatus {
        ip: ip(member),
        members: members(),
        learner_ready: member == 3,
        ..MemberStatus::default()
    }
}

impl State {
    fn clock(&self, member: usize) -> Timestamp {
        let rate = if member == 0 { SLOW_CLOCK } else { 1.0 };
        Timestamp::from_micros((self.now as f64 * rate) as i64)
    }

    fn ask(&mut self) {
        let clock = self.clock(0);
        self.contact.update(|contact| {
            contact.request(clock);
            contact.granted(&ip(0), &members());
        });
        self.questions.push(Question {
            asked: self.now,
            on_way: Vec::new(),
            arrived: vec![0],
        });
    }

    fn arrive(&mut self, bug: Bug, question: usize, member: usize) {
        let newest = question + 1 == self.questions.len();
        let asked = &mut self.questions[question];
        asked.on_way.retain(|other| *other != member);
        asked.arrived.push(member);
        if asked.arrived.len() >= majority(&members()) {
            self.proven = self.proven.max(Some(asked.asked));
        }
        if newest || bug == Bug::LateAnswerCounts {
            self.contact
                .update(|contact| contact.granted(&ip(member), &members()));
        }
    }

    fn tell(&mut self) {
        if !self.cut {
            // Statuses are answered by statuses: whoever hears all is heard by all.
            self.proven = Some(self.now);
        }
        for at in 0..self.monitors.len() {
            let now = self.clock(at);
            let heard = |from: &usize| *from != at && !(*from == 0 && self.cut);
            let statuses: Vec<MemberStatus> = (0..4).filter(heard).map(status).collect();
            self.monitors[at].update(|monitor| {
                statuses
                    .iter()
                    .for_each(|word| monitor.status_received(now, word))
            });
        }
    }

    fn replace(&mut self) {
        let due = self.monitors[1].due_change(self.clock(1), &ip(1), &members());
        if matches!(due, MembershipChange::To(next) if !next.ips.contains(&ip(0))) {
            self.replaced = self.replaced.or(Some(self.now));
        }
    }

    fn may_serve(&self, bug: Bug) -> bool {
        let now = self.clock(0);
        if bug != Bug::HeardLately {
            return self.contact.is_held(now);
        }
        let well = |ip: &&String| **ip == self::ip(0) || self.monitors[0].is_alive(now, ip);
        members().ips.iter().filter(well).count() >= majority(&members())
    }
}

impl Model for ContactModel {
    type State = State;
    type Action = Action;

    fn initial(&self) -> Vec<State> {
        let monitor = || Part::new(MembershipMonitor::new(Timestamp::default(), 3));
        vec![State {
            now: 0,
            pauses_left: self.pauses,
            cut: false,
            contact: Part::new(HeldLease::default()),
            questions: Vec::new(),
            monitors: (0..2).map(|_| monitor()).collect(),
            replaced: None,
            proven: None,
        }]
    }

    fn actions(&self, state: &State) -> Vec<Action> {
        let mut actions = vec![Action::Tell, Action::Replace];
        if state.pauses_left > 0 {
            actions.extend(PAUSES.map(|micros| Action::Pause { micros }));
        }
        if !state.cut {
            actions.push(Action::Cut);
        }
        if state.questions.len() < usize::from(self.questions) {
            actions.push(Action::Ask);
        }
        for (question, asked) in state.questions.iter().enumerate() {
            let fresh =
                |member: &usize| !asked.on_way.contains(member) && !asked.arrived.contains(member);
            let hears = (1..3)
                .filter(fresh)
                .filter(|_| !state.cut && state.replaced.is_none());
            actions.extend(hears.map(|member| Action::Answer { question, member }));
            actions.extend(asked.on_way.iter().map(|member| Action::Arrive {
                question,
                member: *member,
            }));
        }
        actions
    }

    fn step(&self, state: &State, action: &Action) -> Option<State> {
        let mut next = state.clone();
        match action {
            Action::Pause { micros } => {
                (next.now, next.pauses_left) = (state.now + micros, state.pauses_left - 1);
            }
            Action::Cut => next.cut = true,
            Action::Ask => next.ask(),
            Action::Answer { question, member } => {
                let heard_at = next.clock(*member);
                if let Some(monitor) = next.monitors.get_mut(*member) {
                    monitor.update(|monitor| monitor.status_received(heard_at, &status(0)));
                }
                next.questions[*question].on_way.push(*member);
                next.questions[*question].on_way.sort_unstable();
            }
            Action::Arrive { question, member } => next.arrive(self.bug, *question, *member),
            Action::Tell => next.tell(),
            Action::Replace => next.replace(),
        }
        Some(next)
    }

    /// An edge may join in any state. Whoever serves it has reached a majority within a lease, as the slowest
    /// clock counts it, and was not replaced longer ago than that.
    fn violation(&self, state: &State) -> Option<String> {
        if !state.may_serve(self.bug) {
            return None;
        }
        let longest = (LEASE_DURATION.micros() as f64 / SLOW_CLOCK) as i64 + 1;
        let within = |since: i64| state.now - since <= longest;
        if !state.replaced.is_none_or(within) {
            return Some("served a join after it was replaced".to_owned());
        }
        (!state.proven.is_some_and(within)).then(|| "served a join without contact".to_owned())
    }
}
