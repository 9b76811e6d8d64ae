//! Connections to tasks that are kept open between exchanges.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Sends requests on one connection.
pub type Sender = SendRequest<Full<Bytes>>;

/// An open connection and the task that drives it. When it is dropped it is closed at once, whatever is
/// still to be written: nobody waits for that.
pub struct Connection {
    sender: Sender,
    driver: AbortHandle,
}

impl Connection {
    /// `driver` runs the connection of `sender`.
    pub fn new(sender: Sender, driver: AbortHandle) -> Self {
        Connection { sender, driver }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// An idle connection that its task may be about to close carries nothing that may run only once.
const VERIFIED_IDLE: Duration = Duration::from_millis(4_000);
/// What is idle for longer is closed.
pub const MAX_IDLE: Duration = Duration::from_millis(8_000);

struct Idle {
    connection: Connection,
    since: Instant,
    /// How long its task said that it keeps it.
    keep_alive: Duration,
}

/// Connections to one task.
#[derive(Default)]
struct TaskPool {
    idle: VecDeque<Idle>,
    /// All that are open, idle or not.
    open: usize,
}

/// Connections to all tasks.
#[derive(Default)]
pub struct Pools {
    tasks: BTreeMap<String, TaskPool>,
}

impl Pools {
    /// The connection used last, if one is fit for what is sent.
    fn take_idle(&mut self, id: &str, once: bool) -> Option<Connection> {
        let pool = self.tasks.get_mut(id)?;
        while let Some(idle) = pool.idle.pop_back() {
            let age = idle.since.elapsed();
            let fit = idle.connection.sender.is_ready()
                && age
                    < idle
                        .keep_alive
                        .min(if once { VERIFIED_IDLE } else { MAX_IDLE });
            if fit {
                return Some(idle.connection);
            }
            pool.open -= 1;
        }
        None
    }

    /// Counts one more connection, if there may be one.
    fn reserve(&mut self, id: &str, most: usize) -> bool {
        let pool = self.tasks.entry(id.to_owned()).or_default();
        let room = pool.open < most;
        pool.open += usize::from(room);
        room
    }

    fn give_back(&mut self, id: &str, connection: Connection, keep_alive: Duration) {
        if let Some(pool) = self.tasks.get_mut(id) {
            pool.idle.push_back(Idle {
                connection,
                since: Instant::now(),
                keep_alive,
            });
        }
    }

    fn closed(&mut self, id: &str) {
        if let Some(pool) = self.tasks.get_mut(id) {
            pool.open = pool.open.saturating_sub(1);
        }
    }

    /// Closes what has been idle for long.
    pub fn sweep(&mut self) {
        for pool in self.tasks.values_mut() {
            let before = pool.idle.len();
            pool.idle.retain(|idle| {
                !idle.connection.sender.is_closed()
                    && idle.since.elapsed() < idle.keep_alive.min(MAX_IDLE)
            });
            pool.open -= before - pool.idle.len();
        }
        self.tasks.retain(|_, pool| pool.open > 0);
    }
}

/// A place among a task's connections, held by one exchange. The connection is closed, and the place free
/// again, unless the exchange says that it is to be kept.
pub struct Checkout<'a> {
    pools: &'a RefCell<Pools>,
    id: &'a str,
    /// None while it is being opened.
    connection: Option<Connection>,
}

impl<'a> Checkout<'a> {
    /// An idle connection.
    pub fn idle(pools: &'a RefCell<Pools>, id: &'a str, once: bool) -> Option<Self> {
        let connection = pools.borrow_mut().take_idle(id, once)?;
        Some(Checkout {
            pools,
            id,
            connection: Some(connection),
        })
    }

    /// A place for a new connection, if there are fewer than `most`.
    pub fn reserve(pools: &'a RefCell<Pools>, id: &'a str, most: usize) -> Option<Self> {
        let room = pools.borrow_mut().reserve(id, most);
        room.then(|| Checkout {
            pools,
            id,
            connection: None,
        })
    }

    /// The new connection is open.
    pub fn opened(&mut self, connection: Connection) {
        self.connection = Some(connection);
    }

    /// Sends requests on it, once it is open.
    pub fn sender(&mut self) -> Option<&mut Sender> {
        self.connection
            .as_mut()
            .map(|connection| &mut connection.sender)
    }

    /// Keeps the connection for later exchanges, unless it is still busy with this one: then its task
    /// answered before it had read the request.
    pub fn return_to_pool(mut self, keeps: Duration) {
        if let Some(connection) = self
            .connection
            .take_if(|connection| connection.sender.is_ready())
        {
            self.pools
                .borrow_mut()
                .give_back(self.id, connection, keeps);
            std::mem::forget(self);
        }
    }
}

impl Drop for Checkout<'_> {
    fn drop(&mut self) {
        self.pools.borrow_mut().closed(self.id);
    }
}
