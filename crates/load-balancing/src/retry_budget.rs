//! Further tries, out of a budget that all edges share: each edge has its part of the slack, and a part of
//! its own requests.

/// Parts of what the rule allows that are used: edges may know of each other late, and clients' bursts meet
/// the edges unevenly.
const SLACK_SHARE: f64 = 0.55;
const RATIO_SHARE: f64 = 0.7;

#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// One edge of `edges`, with its whole part of the slack.
    pub fn new(slack: f64, edges: usize) -> Self {
        RetryBudget {
            tokens: slack * SLACK_SHARE / edges.max(1) as f64,
        }
    }

    /// A request came: it earns a part of a further try.
    pub fn request(&mut self, ratio: f64, slack: f64, edges: usize) {
        let most = (slack * SLACK_SHARE / edges.max(1) as f64).max(1.0);
        self.tokens = (self.tokens + ratio * RATIO_SHARE).min(most);
    }

    pub fn try_acquire(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
