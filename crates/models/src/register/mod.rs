//! The environment of the register protocol: members with their acceptors, proposers that go through rounds
//! as the control plane does, a network that reorders, loses and doubles, disks that are lost, a newcomer
//! that is seated.
//!
//! Requests stay in the network once they are sent: each may be delivered late, never or several times. A
//! reply is either taken by its proposer at once or lost. That covers replies that come late as well: what a
//! proposer does with one is seen by others only through what it sends next, and that may be delivered late
//! by itself.
//!
//! A prepare whose promise does not reach its proposer is left out: it only lets its acceptor refuse lower
//! ballots, which to their proposers is the same as a lost message. An accept whose reply is lost is played,
//! unless its proposer has no round left to begin after it.

mod model;
mod recovery;
mod rounds;
mod settle;
mod world;

pub use model::RegisterModel;
pub use world::{Bug, Goal, LateNewcomer, Phase, Setup, World};
