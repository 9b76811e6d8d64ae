//! What has happened, where anybody may look: kept only with a runtime socket or metrics, else a look at nothing.

use std::cell::RefCell;

use lynxmill_runtime_commands::EventLog;

use crate::start::Clock;

thread_local! {
    // The hub's thread, on which everything happens.
    static KEPT: RefCell<Option<(Clock, EventLog)>> = const { RefCell::new(None) };
}

pub(crate) fn begin(clock: Clock) {
    KEPT.set(Some((clock, EventLog::new(clock.now().micros()))));
}

/// Changes it, with the time.
pub(crate) fn note(change: impl FnOnce(i64, &mut EventLog)) {
    KEPT.with_borrow_mut(|kept| {
        if let Some((clock, happened)) = kept {
            change(clock.now().micros(), happened);
        }
    });
}

pub(crate) fn look<T>(look: impl FnOnce(i64, &EventLog) -> T) -> Option<T> {
    KEPT.with_borrow(|kept| {
        kept.as_ref()
            .map(|(clock, happened)| look(clock.now().micros(), happened))
    })
}
