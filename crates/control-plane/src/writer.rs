//! The thread that writes: batches that wait go to disk together, and the node is told.

use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};

use lynxmill_control_node::Input;
use lynxmill_storage::{Batch, Store};

use crate::host::Host;

type Queued = (u64, Batch);

/// Batches on their way to the writer.
pub(crate) struct WriteQueue(Sender<Queued>);

impl WriteQueue {
    pub(crate) fn new() -> (Self, Receiver<Queued>) {
        let (queue, queued) = channel();
        (WriteQueue(queue), queued)
    }

    pub(crate) fn push(&self, ticket: u64, batch: Batch) {
        let _ = self.0.send((ticket, batch));
    }
}

/// Writes what is queued, all that waits at once, until the queue is gone.
pub(crate) fn run(host: &Arc<Host>, store: &Store, queued: &Receiver<Queued>) {
    while let Ok((first, batch)) = queued.recv() {
        let mut last = first;
        let mut written = store.enqueue(batch);
        while let Ok((ticket, batch)) = queued.try_recv() {
            last = ticket;
            written = store.enqueue(batch);
        }
        let failure = store.wait(written).err().map(|error| error.to_string());
        host.step(Input::Stored {
            ticket: last,
            failure,
        });
    }
}
