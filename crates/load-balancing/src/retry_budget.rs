//! Retries and hedged requests, out of a budget that all edges share: each edge has its share of the slack,
//! and earns a fraction of a retry with each of its own requests.

/// The fraction of the allowed slack that is used: edges may learn of each other late.
const SLACK_SHARE: f64 = 0.55;
/// The fraction of the allowed ratio that is used: bursts of clients meet the edges unevenly.
const RATIO_SHARE: f64 = 0.7;

/// A token bucket: a retry costs one token.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

/// One edge's share of the slack, in tokens.
fn slack_share(slack: f64, edges: usize) -> f64 {
    slack * SLACK_SHARE / edges.max(1) as f64
}

impl RetryBudget {
    /// A full bucket of one of `edges` edges.
    pub fn new(slack: f64, edges: usize) -> Self {
        RetryBudget {
            tokens: slack_share(slack, edges),
        }
    }

    /// A request has arrived: it earns a fraction of a retry.
    pub fn request(&mut self, ratio: f64, slack: f64, edges: usize) {
        let capacity = slack_share(slack, edges).max(1.0);
        self.tokens = (self.tokens + ratio * RATIO_SHARE).min(capacity);
    }

    /// Takes a token; whether there was one.
    pub fn try_acquire(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
