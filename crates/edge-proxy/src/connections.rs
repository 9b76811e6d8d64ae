//! The connections of clients that are open, and the answers on them that are not written yet.
//!
//! An answer that was handed to the HTTP library is not written: its client may read slowly. Whoever ends the
//! process asks here what would be cut.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::rc::Rc;

use lynxmill_lingering_close::WriteObserver;
use tokio::sync::Notify;

use crate::app::App;
use crate::response::HeldAnswer;

/// What clients still wait for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Open connections, idle ones among them.
    pub connections: usize,
    /// Requests without an answer yet.
    pub requests: usize,
    /// Answers that are being written.
    pub answers: usize,
}

impl fmt::Display for PendingWork {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "connections={} requests={} answers={}",
            self.connections, self.requests, self.answers
        )
    }
}

/// All connections of clients.
#[derive(Default)]
pub struct ClientConnections {
    open: Cell<usize>,
    unwritten_answers: Cell<usize>,
    /// The last open connection has ended.
    none_open: Notify,
}

impl ClientConnections {
    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Answers that are being written.
    pub fn unwritten_answers(&self) -> usize {
        self.unwritten_answers.get()
    }

    /// Waits until no connection is open.
    pub async fn wait_until_none(&self) {
        while self.open.get() > 0 {
            self.none_open.notified().await;
        }
    }
}

/// One open connection. Its end is counted when it is dropped.
pub(crate) struct OpenConnection {
    app: Rc<App>,
    written_bytes: Cell<u64>,
    /// What was written before the answer that is being written, in bytes.
    answer_begins_at: Cell<Option<u64>>,
    /// The memory of answers that are being written.
    held: RefCell<Vec<HeldAnswer>>,
}

impl OpenConnection {
    pub(crate) fn new(app: &Rc<App>) -> Rc<Self> {
        let open = &app.connections.open;
        open.set(open.get() + 1);
        Rc::new(OpenConnection {
            app: app.clone(),
            written_bytes: Cell::new(0),
            answer_begins_at: Cell::new(None),
            held: RefCell::default(),
        })
    }

    /// An answer has been handed to the HTTP library.
    pub(crate) fn answer_begun(&self, held: Option<HeldAnswer>) {
        self.held.borrow_mut().extend(held);
        let before = self
            .answer_begins_at
            .replace(Some(self.written_bytes.get()));
        if before.is_none() {
            let unwritten = &self.app.connections.unwritten_answers;
            unwritten.set(unwritten.get() + 1);
        }
    }

    fn answer_ended(&self) {
        self.held.borrow_mut().clear();
        if self.answer_begins_at.take().is_some() {
            let unwritten = &self.app.connections.unwritten_answers;
            unwritten.set(unwritten.get() - 1);
        }
    }
}

/// The socket of a client's connection tells how far its answers are written.
pub(crate) struct WrittenAnswers(pub Rc<OpenConnection>);

impl WriteObserver for WrittenAnswers {
    fn wrote(&self, bytes: usize) {
        let written = &self.0.written_bytes;
        written.set(written.get() + bytes as u64);
    }

    fn flushed(&self) {
        let begins_at = self.0.answer_begins_at.get();
        if begins_at.is_some_and(|begins_at| self.0.written_bytes.get() > begins_at) {
            self.0.answer_ended();
        }
    }

    fn stalled(&self) {
        self.0.app.count("client-stalled");
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        if self.answer_begins_at.get().is_some() {
            self.app.count("answers-cut");
        }
        self.answer_ended();
        let connections = &self.app.connections;
        connections.open.set(connections.open.get() - 1);
        if connections.open.get() == 0 {
            connections.none_open.notify_waiters();
        }
    }
}
