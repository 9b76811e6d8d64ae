//! Whoever plays the assigners: the reducer in this process, or a started assigner over loopback.

use std::collections::BTreeMap;

use lynxmill_assigner_settings::DecodeError;
use lynxmill_assigner_state::{Effect, Epoch, Event, State, decode};
use lynxmill_recording::Life;
use lynxmill_time::Timestamp;

pub trait Driver {
    /// A life begins from this configuration.
    ///
    /// # Errors
    /// One line; so for `tell`.
    fn start(
        &mut self,
        of: Life,
        now: Timestamp,
        epoch: Epoch,
        configuration: &str,
    ) -> Result<(), DecodeError>;

    fn tell(
        &mut self,
        of: Life,
        now: Timestamp,
        event: Event,
        effects: &mut Vec<Effect>,
    ) -> Result<(), DecodeError>;

    fn end(&mut self, of: Life);
}

/// Assigners in this process.
#[derive(Default)]
pub struct Memory {
    states: BTreeMap<Life, State>,
}

/// A life's state from its configuration, as the daemon reads one.
///
/// # Errors
/// One line that names the key.
pub(crate) fn state(
    now: Timestamp,
    epoch: Epoch,
    configuration: &str,
) -> Result<State, DecodeError> {
    let told = serde_json::from_str(configuration).map_err(|e| format!("configuration: {e}"))?;
    Ok(State::new(epoch, now, decode(&told, |_| None)?))
}

impl Driver for Memory {
    fn start(
        &mut self,
        of: Life,
        now: Timestamp,
        epoch: Epoch,
        configuration: &str,
    ) -> Result<(), DecodeError> {
        self.states.insert(of, state(now, epoch, configuration)?);
        Ok(())
    }

    fn tell(
        &mut self,
        of: Life,
        now: Timestamp,
        event: Event,
        effects: &mut Vec<Effect>,
    ) -> Result<(), DecodeError> {
        if let Some(state) = self.states.get_mut(&of) {
            state.reduce(now, event, effects);
        }
        Ok(())
    }

    fn end(&mut self, of: Life) {
        self.states.remove(&of);
    }
}
