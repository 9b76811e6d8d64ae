//! What a server knows of one caller's connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::watch;

/// One connection of a caller.
///
/// It knows a version that the server's state had reached before the caller sent its request. A request can't have been
/// sent before its connection was established, nor before the caller got the previous answer on it: callers don't send an
/// order behind one that is not answered (RFC 9112, section 9.3.2). How long the network held the request up, and whether
/// the caller still waits, does not matter to that.
#[derive(Debug)]
pub(crate) struct Connection {
    caller: SocketAddr,
    versions: watch::Receiver<u64>,
    sent_after: AtomicU64,
}

impl Connection {
    /// A connection that was established after the server's state had reached the version `established_after`.
    pub(crate) fn new(
        caller: SocketAddr,
        versions: watch::Receiver<u64>,
        established_after: u64,
    ) -> Self {
        Connection {
            caller,
            versions,
            sent_after: AtomicU64::new(established_after),
        }
    }

    /// The address of the caller.
    pub(crate) fn caller(&self) -> SocketAddr {
        self.caller
    }

    /// The version that was reached before the request that is being served was sent.
    pub(crate) fn sent_after(&self) -> u64 {
        self.sent_after.load(Ordering::Relaxed)
    }

    /// A request is about to be answered: the next one is sent after this.
    pub(crate) fn answers(&self) {
        let reached = *self.versions.borrow();
        self.sent_after.store(reached, Ordering::Relaxed);
    }
}
