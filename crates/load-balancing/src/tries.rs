//! A request's tries: where it went, whether it may go on, what may be promised of it.

/// Tasks that could not even be sent it, before it is given up.
const UNSENT: usize = 4;

/// Whether there is a further try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Further {
    /// Nothing of it has arrived anywhere yet: it costs nothing.
    Free,
    /// It has arrived somewhere: out of the budget.
    Budget,
    /// As many tasks were sent it as may be, or too many could not be reached.
    Over,
}

#[derive(Clone, Debug, Default)]
pub struct Tries {
    most: usize,
    arrived: usize,
    unsent: usize,
    tried: Vec<String>,
    /// Some task may have run it: no refusal is a promise any more.
    pub ran: bool,
}

impl Tries {
    /// `most`: the route's `MaxAttempts`.
    pub fn new(most: u32) -> Self {
        Tries {
            most: most.max(1) as usize,
            ..Tries::default()
        }
    }

    /// Tasks that it is not to go to again.
    pub fn tried(&self) -> &[String] {
        &self.tried
    }

    /// A task could not be sent it.
    pub fn unsent(&mut self, id: &str) {
        self.unsent += 1;
        self.tried.push(id.to_owned());
    }

    /// A task was sent it, whatever came of that.
    pub fn sent(&mut self, id: &str) {
        self.arrived += 1;
        self.tried.push(id.to_owned());
    }

    /// The try under way is the last that may be sent.
    pub fn last(&self) -> bool {
        self.arrived + 1 >= self.most
    }

    pub fn further(&self) -> Further {
        match () {
            () if self.arrived >= self.most || self.unsent >= UNSENT => Further::Over,
            () if self.arrived > 0 => Further::Budget,
            () => Further::Free,
        }
    }
}
