//! Locks that threads share: the standard library's, or those of `shuttle` in the tests that play
//! interleavings.

#[cfg(not(feature = "shuttle"))]
pub(crate) use std::sync::{Condvar, Mutex};

#[cfg(feature = "shuttle")]
pub(crate) use shuttle::sync::{Condvar, Mutex};

pub(crate) use std::sync::PoisonError;
