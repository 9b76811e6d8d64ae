//! The tables in a key-value registry, as state machines that neither read nor write and know no clock.
//!
//! `Follow` keeps a copy of all below a prefix, resumes after a break and rereads after a compaction; `Writes`
//! carries out compare-and-set transactions and finds out what came of those whose answer was lost; `Custody`
//! keeps a lease and claims slices; `Tables` is the forwarder's side; `Depot` puts them together in the place of
//! the relay for the assigner's reducer. `etcd` and `consul` spell what is asked in two published protocols.

mod backoff;
mod codec;
pub mod consul;
mod custody;
mod depot;
pub mod dump;
pub mod etcd;
mod follow;
pub mod layout;
mod member;
mod pair;
mod spelling;
mod tables;
mod writes;

pub use backoff::Backoff;
pub use codec::{Fault, Protocol, Reply, Request};
pub use custody::{Custody, Live, best};
pub use depot::{Depot, Step};
pub use follow::{Follow, Style, Told};
pub use member::Member;
pub use pair::{Answer, Ask, Change, Expect, Lease, Pair, Put, Revision, Txn};
pub use spelling::Spelling;
pub use tables::{Sight, Tables};
pub use writes::{Came, Full, Writes};
