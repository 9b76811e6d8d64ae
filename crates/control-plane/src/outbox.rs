//! A queue of bytes before a connection, with a thread that writes them. Whoever reads too slowly is cut off.

use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};

const STACK: usize = 192 << 10;
/// Pieces that wait are written together, up to about this many bytes.
const WRITE_TOGETHER: usize = 64 << 10;

type Bytes = Arc<Vec<u8>>;

pub(crate) struct Outbox {
    queue: Sender<Bytes>,
    waiting: Arc<AtomicUsize>,
    stream: Arc<TcpStream>,
    /// Bytes that may wait before the connection is closed.
    most: usize,
}

impl Outbox {
    /// The connection has one descriptor, whoever else reads from it.
    pub(crate) fn new(stream: Arc<TcpStream>, name: &str, most: usize) -> std::io::Result<Self> {
        let (queue, queued) = channel();
        let waiting = Arc::new(AtomicUsize::new(0));
        let (other, counted) = (stream.clone(), waiting.clone());
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .stack_size(STACK);
        thread.spawn(move || write(other, &queued, &counted))?;
        Ok(Outbox {
            queue,
            waiting,
            stream,
            most,
        })
    }

    pub(crate) fn send(&self, bytes: Bytes) {
        if self.waiting.fetch_add(bytes.len(), Ordering::Relaxed) > self.most {
            self.close();
        }
        let _ = self.queue.send(bytes);
    }

    pub(crate) fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

fn write(stream: Arc<TcpStream>, queued: &Receiver<Bytes>, waiting: &AtomicUsize) {
    while let Ok(first) = queued.recv() {
        let mut bytes = first.to_vec();
        while bytes.len() < WRITE_TOGETHER
            && let Ok(more) = queued.try_recv()
        {
            bytes.extend_from_slice(&more);
        }
        waiting.fetch_sub(bytes.len(), Ordering::Relaxed);
        if (&*stream).write_all(&bytes).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
