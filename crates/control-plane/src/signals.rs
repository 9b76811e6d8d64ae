//! Signals, caught from the start of the process on: one that comes before its handler ends the process.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use lynxmill_startup::ServeError;
use signal_hook::consts::{SIGHUP, SIGTERM};

use crate::error::ProgramError;

/// The signals that have come.
pub(crate) struct Signals {
    terminate: Arc<AtomicBool>,
    hang_up: Arc<AtomicBool>,
}

fn flag_on(name: &'static str, signal: i32) -> Result<Arc<AtomicBool>, ServeError> {
    let flag = Arc::new(AtomicBool::new(false));
    signal_hook::flag::register(signal, flag.clone())
        .map_err(|error| ServeError::Signal(name, error))?;
    Ok(flag)
}

impl Signals {
    /// Installs the handlers.
    pub(crate) fn install() -> Result<Self, ProgramError> {
        Ok(Signals {
            terminate: flag_on("SIGTERM", SIGTERM)?,
            hang_up: flag_on("SIGHUP", SIGHUP)?,
        })
    }

    /// Whether the process is to end.
    pub(crate) fn is_terminated(&self) -> bool {
        self.terminate.load(Ordering::Relaxed)
    }

    /// Whether SIGHUP has come since this was asked last.
    pub(crate) fn take_hang_up(&self) -> bool {
        self.hang_up.swap(false, Ordering::Relaxed)
    }
}
