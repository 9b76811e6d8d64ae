//! Assigners that find each other and tell each other what they saw of servers. No I/O and no clock: whoever
//! drives a `Node` hands in what came and the time, and carries out what it asks for.
//!
//! `swim`: who is there (probes, indirect probes, suspicion, refutation, rumours, full exchanges). `health`:
//! how far this instance trusts its own eyes. `sight`: what this one sees of servers, `evidence`: what all
//! saw of them, and when that is enough. `keys`, `codec`, `window`: who said it, in which bytes, and whether
//! it was said before. `bucket`: how much may be said. `node`: all of it together.
//! `custody`: who holds which slice where no store tells it; `charges`: the same among members that are met.

mod bucket;
mod charges;
mod codec;
mod custody;
mod evidence;
mod health;
mod keys;
mod node;
mod sight;
mod swim;
mod terms;
mod window;

pub use bucket::Bucket;
pub use charges::{Charge, Charges};
pub use codec::{
    Ask, BallotKind, BallotRow, Ballots, Body, Claim, Datagram, Evidence, Kind, Row, Signed,
    VERSION, VoteRow, Votes, What, decode, encode,
};
pub use custody::{Asked, Ballot, Holder, Step, Voted, Voter, division, mixed};
pub use evidence::{Ledger, Own, Verdict};
pub use health::Health;
pub use keys::{BadKey, Keys, Public, Seal, Secret, Trust};
pub use node::{Node, Out, Refused, Road, Tally};
pub use sight::Sight;
pub use swim::{Change, Member, Send, State, Swim};
pub use terms::Terms;
pub use window::{Old, Window};
