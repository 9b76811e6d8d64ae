//! A request's tries: where it went, whether it may go on, what may be promised of it.

/// Tasks that could not even be sent it, before it is given up.
const UNSENT: usize = 4;

/// Whether there is a further try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Nothing of it has arrived anywhere yet: it costs nothing.
    Allowed,
    /// It has arrived somewhere: out of the budget.
    NeedsBudget,
    /// As many tasks were sent it as may be, or too many could not be reached.
    Exhausted,
}

#[derive(Clone, Debug, Default)]
pub struct Attempts {
    max: usize,
    sent_count: usize,
    unsent_count: usize,
    tasks: Vec<String>,
    /// Some task may have run it: no refusal is a promise any more.
    pub may_have_run: bool,
}

impl Attempts {
    /// `most`: the route's `MaxAttempts`.
    pub fn new(most: u32) -> Self {
        Attempts {
            max: most.max(1) as usize,
            ..Attempts::default()
        }
    }

    /// Tasks that it is not to go to again.
    pub fn tried(&self) -> &[String] {
        &self.tasks
    }

    /// A task could not be sent it.
    pub fn unsent(&mut self, id: &str) {
        self.unsent_count += 1;
        self.tasks.push(id.to_owned());
    }

    /// A task was sent it, whatever came of that.
    pub fn sent(&mut self, id: &str) {
        self.sent_count += 1;
        self.tasks.push(id.to_owned());
    }

    /// The try under way is the last that may be sent.
    pub fn is_last(&self) -> bool {
        self.sent_count + 1 >= self.max
    }

    pub fn retry(&self) -> RetryDecision {
        match () {
            () if self.sent_count >= self.max || self.unsent_count >= UNSENT => {
                RetryDecision::Exhausted
            }
            () if self.sent_count > 0 => RetryDecision::NeedsBudget,
            () => RetryDecision::Allowed,
        }
    }
}
