//! What the protocol goes by, from the settings. All else is a ratio to these.

use lynxmill_time::TimeDelta;

#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Between two probes of this instance; in as many of them as there are members each is probed once.
    pub period: TimeDelta,
    /// How long a direct answer may take.
    pub timeout: TimeDelta,
    /// Members that are asked to probe one that did not answer.
    pub helpers: usize,
    /// Between two exchanges of all that is known with somebody, over TCP.
    pub exchange_every: TimeDelta,
    /// How long what a peer told of a server counts.
    pub evidence_for: TimeDelta,
    /// Slices that members divide among them by votes, where nobody else does; 0 where they don't. And how
    /// long a vote lasts.
    pub slices: u32,
    pub vote_for: TimeDelta,
    /// Bytes of a datagram at most.
    pub datagram: usize,
    /// What this instance sends at most in a second, datagrams and exchanges together.
    pub bytes_per_s: f64,
    pub messages_per_s: f64,
    /// Datagrams a second whose signatures are looked at.
    pub intake_per_s: f64,
}

impl Default for Config {
    fn default() -> Self {
        Config {
            period: TimeDelta::from_secs(1.0),
            timeout: TimeDelta::from_secs(0.3),
            helpers: 3,
            exchange_every: TimeDelta::from_secs(30.0),
            evidence_for: TimeDelta::from_secs(10.0),
            slices: 0,
            vote_for: TimeDelta::from_secs(6.0),
            datagram: 1200,
            bytes_per_s: 24_000.0,
            messages_per_s: 40.0,
            intake_per_s: 400.0,
        }
    }
}
