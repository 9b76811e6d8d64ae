//! One invocation from its arrival to its end: which server it goes to, how long it waits, whether it may be tried
//! again, and what its client is told once it is given up. No two tries are under way at once.

use lynxmill_registry::SliceView;
use lynxmill_time::{TimeDelta, Timestamp};

use crate::terms::{Effect, ForwarderConfig, Operation, RetryPolicy};

/// Part of an aim that must be left for another try.
const LITTLE: f64 = 0.25;

/// How far a try has come, as the bytes tell that the connection's writer took or its reader gave.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptProgress {
    /// No connection came up.
    Unconnected,
    /// The last byte of its head has not been handed on: no server can have begun.
    HeadPart,
    /// The head is whole: a server may have begun, whatever of the body has gone.
    HeadWhole,
    /// Something of an answer has come.
    Answered,
}

/// What became of a try that brought no answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFate {
    /// It came no further than this and broke off.
    Broke(AttemptProgress),
    /// The server says that it did not take it on.
    TurnedBack,
    /// Its patience is over.
    Late(AttemptProgress),
    /// No connection could be had from the pool in time.
    NoRoom,
}

impl AttemptFate {
    /// Nothing can have run. All else may have.
    pub fn never_ran(self) -> bool {
        match self {
            AttemptFate::TurnedBack | AttemptFate::NoRoom => true,
            AttemptFate::Broke(reach) | AttemptFate::Late(reach) => {
                reach < AttemptProgress::HeadWhole
            }
        }
    }
}

/// What its client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinalOutcome {
    pub status: u16,
    pub code: &'static str,
    /// Whether it may have run.
    pub may_have_run: bool,
    /// When to come again, where that makes sense.
    pub return_after: Option<TimeDelta>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Goes to this server, which has so long to begin its answer.
    Try {
        server: String,
        generation: u64,
        patience: TimeDelta,
    },
    /// Looks again when the tables change, or then.
    Wait {
        until: Timestamp,
    },
    End(FinalOutcome),
}

/// What is still there of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetainedBody {
    /// All that has been read of it is kept, so that it can be sent again.
    pub kept: bool,
    /// Its client has gone.
    pub gone: bool,
}

/// A try that was sent: where to, when.
#[derive(Clone, Debug, PartialEq)]
struct SentAttempt {
    server: String,
    at: Timestamp,
}

#[derive(Clone, Debug)]
pub struct RequestFlight {
    pub operation: usize,
    pub slice: usize,
    arrived: Timestamp,
    /// In 0..1, the client's own: who is not let in now is not let in at the next try either.
    draw: f64,
    tries: u32,
    last: Option<SentAttempt>,
    /// The one before it, and what became of that.
    before: Option<SentAttempt>,
    fate: Option<AttemptFate>,
    /// When the first try was sent that may have run.
    ran: Option<Timestamp>,
    return_after: TimeDelta,
}

impl RequestFlight {
    pub fn new(
        terms: &ForwarderConfig,
        operation: usize,
        slice: usize,
        arrived: Timestamp,
        draw: f64,
    ) -> Self {
        // Those who are told to return do so over the span of an interval, each at its own part of it.
        let return_after = terms.interval + terms.interval.times(draw);
        RequestFlight {
            operation,
            slice,
            arrived,
            draw,
            tries: 0,
            last: None,
            before: None,
            fate: None,
            ran: None,
            return_after,
        }
    }

    /// When its client gives up.
    pub fn deadline(&self, terms: &ForwarderConfig) -> Timestamp {
        self.arrived + terms.operations[self.operation].deadline
    }

    pub fn tries(&self) -> u32 {
        self.tries
    }

    fn end(&self, status: u16, code: &'static str) -> Step {
        // Whoever may have had an effect is not asked to come again.
        let may_have_run = self.ran.is_some();
        let return_after = Some(self.return_after).filter(|_| !may_have_run);
        Step::End(FinalOutcome {
            status,
            code,
            may_have_run,
            return_after,
        })
    }

    /// What to do before the first try, at its arrival and whenever the tables may have changed.
    pub fn look(&mut self, terms: &ForwarderConfig, now: Timestamp, sight: &SliceView<'_>) -> Step {
        let operation = &terms.operations[self.operation];
        if self.draw >= sight.level {
            return self.end(429, "level");
        }
        let write_off = operation.writes && !sight.writes;
        match sight.server.filter(|_| !write_off) {
            Some(server) => self.send(terms, now, server, sight.generation),
            None => {
                let until = (self.arrived + terms.hold).min(self.deadline(terms));
                match now < until {
                    true => Step::Wait { until },
                    false if write_off => self.end(503, "no-writes"),
                    false => self.end(503, "no-server"),
                }
            }
        }
    }

    fn send(
        &mut self,
        terms: &ForwarderConfig,
        now: Timestamp,
        server: &str,
        generation: u64,
    ) -> Step {
        let left = self.deadline(terms) - now;
        if left <= TimeDelta::default() {
            return self.end(504, "late");
        }
        self.tries += 1;
        self.before = self.last.replace(SentAttempt {
            server: server.to_owned(),
            at: now,
        });
        let operation = &terms.operations[self.operation];
        // Only a try that another may follow after its silence is cut short.
        let follows = matches!(terms.again, RetryPolicy::Once | RetryPolicy::Twice)
            && self.tries <= terms.again.most()
            && self.repeatable(operation, now + operation.aim.times(terms.first_wait), true);
        let patience = if follows {
            left.min(operation.aim.times(terms.first_wait))
        } else {
            left
        };
        // The fence counts on writes being settled by then.
        let patience = if operation.writes {
            patience.min(terms.settle)
        } else {
            patience
        };
        Step::Try {
            server: server.to_owned(),
            generation,
            patience,
        }
    }

    /// Whether what was decided still stands when the connection is there: the same owner, for writes of the same
    /// generation and under the lease, and let in.
    pub fn stands(
        &self,
        terms: &ForwarderConfig,
        now: Timestamp,
        server: &str,
        generation: u64,
        sight: &SliceView<'_>,
    ) -> bool {
        let writes = terms.operations[self.operation].writes;
        self.draw < sight.level
            && sight.server == Some(server)
            && (!writes || (sight.writes && sight.generation == generation))
            && now < self.deadline(terms)
    }

    /// Nothing of the last try was sent, as the tables had changed: it was none.
    pub fn overtaken(
        &mut self,
        terms: &ForwarderConfig,
        now: Timestamp,
        seen: RetainedBody,
        sight: &SliceView<'_>,
    ) -> Step {
        self.tries = self.tries.saturating_sub(1);
        self.last = self.before.take();
        match self.fate {
            // What may follow the one before is asked anew.
            Some(fate) => self.failed(terms, now, fate, seen, sight),
            None => self.look(terms, now, sight),
        }
    }

    /// Whether running it again then could do no harm, if the last try may have run.
    fn repeatable(&self, operation: &Operation, then: Timestamp, may_have_run: bool) -> bool {
        let ran = self.ran.or(self
            .last
            .as_ref()
            .filter(|_| may_have_run)
            .map(|last| last.at));
        match (operation.effect, ran) {
            (_, None) | (Effect::Safe, _) => true,
            (Effect::Keyed { window }, Some(first)) => then - first < window,
            (Effect::Unsafe, Some(_)) => false,
        }
    }

    /// What to do after a try that brought no answer to pass on.
    pub fn failed(
        &mut self,
        terms: &ForwarderConfig,
        now: Timestamp,
        fate: AttemptFate,
        seen: RetainedBody,
        sight: &SliceView<'_>,
    ) -> Step {
        let operation = &terms.operations[self.operation];
        let never_ran = fate.never_ran();
        self.fate = Some(fate);
        if !never_ran {
            self.ran = self.ran.or(self.last.as_ref().map(|last| last.at));
        }
        let ordered = match terms.again {
            RetryPolicy::Never => false,
            RetryPolicy::Unrun => never_ran,
            RetryPolicy::Once | RetryPolicy::Twice => true,
        };
        let in_time = self.deadline(terms) - now >= operation.aim.times(LITTLE);
        let elsewhere = sight
            .server
            .filter(|server| self.last.as_ref().is_none_or(|last| last.server != *server));
        let allowed = ordered
            && self.tries <= terms.again.most()
            && in_time
            && seen.kept
            && !seen.gone
            && self.draw < sight.level
            && (sight.writes || !operation.writes)
            && self.repeatable(operation, now, !never_ran);
        match elsewhere.filter(|_| allowed) {
            Some(server) => self.send(terms, now, server, sight.generation),
            None => self.give_up(fate),
        }
    }

    fn give_up(&self, fate: AttemptFate) -> Step {
        match fate {
            AttemptFate::TurnedBack => self.end(503, "turned-back"),
            AttemptFate::NoRoom => self.end(503, "no-room"),
            AttemptFate::Broke(AttemptProgress::Unconnected)
            | AttemptFate::Late(AttemptProgress::Unconnected) => self.end(502, "unreachable"),
            AttemptFate::Broke(AttemptProgress::HeadPart) => self.end(502, "not-sent"),
            AttemptFate::Broke(_) => self.end(502, "fate-unknown"),
            AttemptFate::Late(_) => self.end(504, "late"),
        }
    }
}
