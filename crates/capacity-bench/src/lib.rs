//! Micro-benchmarks of the control plane's libraries at several sizes. What they found stands in
//! `docs/CAPACITY.md`.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    missing_docs,
    unsafe_code
)]

pub mod ballots;
pub mod fit;
pub mod heap;
pub mod made;
pub mod rollouts;
pub mod routes;
pub mod slices;
pub mod tasks;
