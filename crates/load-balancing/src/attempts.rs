//! The attempts of one request: where it was sent, and whether it may be sent on.

/// After so many tasks that could not be sent the request, it is given up.
const MAX_UNSENT: usize = 4;

/// Whether a request may be sent to a further task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Nothing of it has reached a task yet: the attempt costs nothing.
    Allowed,
    /// It has reached a task: the attempt is taken out of the retry budget.
    NeedsBudget,
    /// It was sent to as many tasks as its route allows, or too many could not be reached.
    Exhausted,
}

/// The attempts of one request so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    max: usize,
    sent_count: usize,
    unsent_count: usize,
    tasks: Vec<String>,
    /// Some task may have run it: a refusal no longer says that it was not executed.
    pub may_have_run: bool,
}

impl Attempts {
    /// No attempt yet; at most `max` tasks may be sent the request, at least one.
    pub fn new(max: u32) -> Self {
        Attempts {
            max: max.max(1) as usize,
            ..Attempts::default()
        }
    }

    /// Tasks that it is not to be sent to again, by `InstanceId`.
    pub fn tried(&self) -> &[String] {
        &self.tasks
    }

    /// The task could not be sent it.
    pub fn unsent(&mut self, id: &str) {
        self.unsent_count += 1;
        self.tasks.push(id.to_owned());
    }

    /// The task was sent it, whatever became of that.
    pub fn sent(&mut self, id: &str) {
        self.sent_count += 1;
        self.tasks.push(id.to_owned());
    }

    /// Whether the attempt under way is the last one that the route allows.
    pub fn is_last(&self) -> bool {
        self.sent_count + 1 >= self.max
    }

    /// Whether there may be a further attempt.
    pub fn retry(&self) -> RetryDecision {
        if self.sent_count >= self.max || self.unsent_count >= MAX_UNSENT {
            RetryDecision::Exhausted
        } else if self.sent_count > 0 {
            RetryDecision::NeedsBudget
        } else {
            RetryDecision::Allowed
        }
    }
}
