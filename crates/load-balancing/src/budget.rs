//! Further tries, out of a budget that all edges share: each edge has its part of the slack, and a part of
//! its own requests.

/// Parts of what the rule allows that are used: edges may know of each other late, and clients' bursts meet
/// the edges unevenly.
const OF_SLACK: f64 = 0.55;
const OF_RATIO: f64 = 0.7;

#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
}

impl Budget {
    /// One edge of `edges`, with its whole part of the slack.
    pub fn new(slack: f64, edges: usize) -> Self {
        Budget {
            tokens: slack * OF_SLACK / edges.max(1) as f64,
        }
    }

    /// A request came: it earns a part of a further try.
    pub fn request(&mut self, ratio: f64, slack: f64, edges: usize) {
        let most = (slack * OF_SLACK / edges.max(1) as f64).max(1.0);
        self.tokens = (self.tokens + ratio * OF_RATIO).min(most);
    }

    pub fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}
