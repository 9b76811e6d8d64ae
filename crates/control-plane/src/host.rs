//! What carries a node: the clock, the lock around it, and the queues that its effects go to. A step and the
//! queueing of its effects happen under one lock, so that effects keep their order; nothing under the lock
//! waits for I/O.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use lynxmill_configuration::NodeSettings;
use lynxmill_control_node::{
    Answer, CallId, ControlNode, ControlRequest, Effect, Event, Input, NodeOptions, StoredState,
    Unavailable,
};
use lynxmill_http_server::OpenConnections;
use lynxmill_time::Timestamp;
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use crate::connections::Connections;
use crate::edge_streams::EdgeStreams;
use crate::peers::Peers;
use crate::writer::WriteQueue;

/// A node answers every call by itself long before this.
const LONGEST_CALL: Duration = Duration::from_millis(4_000);

/// An order that has waited for the node this long may be out of date.
const LONGEST_WAIT: Duration = Duration::from_millis(100);

/// A node and what it runs on.
pub(crate) struct Host {
    pub settings: NodeSettings,
    born: Instant,
    node: Mutex<ControlNode>,
    pub peers: Peers,
    pub connections: Connections,
    pub edges: EdgeStreams,
    writes: WriteQueue,
    calls: Mutex<BTreeMap<CallId, oneshot::Sender<Answer>>>,
    last_number: AtomicU64,
    merged: watch::Sender<u64>,
    left: AtomicBool,
    counters: Mutex<BTreeMap<&'static str, u64>>,
    open_connections: Mutex<BTreeMap<&'static str, OpenConnections>>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Host {
    pub(crate) fn new(
        settings: NodeSettings,
        life: u64,
        born: Instant,
        stored: StoredState,
        writes: WriteQueue,
    ) -> Self {
        let options = NodeOptions::new(&settings, life);
        let now = Timestamp::from_micros(born.elapsed().as_micros() as i64);
        let node = ControlNode::new(now, options, stored);
        Host {
            peers: Peers::new(settings.internal_port() + 1),
            connections: Connections::default(),
            edges: EdgeStreams::default(),
            merged: watch::Sender::new(node.merged()),
            node: Mutex::new(node),
            calls: Mutex::new(BTreeMap::new()),
            last_number: AtomicU64::new(0),
            left: AtomicBool::new(false),
            counters: Mutex::new(BTreeMap::new()),
            open_connections: Mutex::new(BTreeMap::new()),
            settings,
            born,
            writes,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.born.elapsed().as_micros() as i64)
    }

    /// A number that this process has not used before, for connections, streams and calls.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(crate) fn count(&self, what: &'static str) {
        *lock(&self.counters).entry(what).or_default() += 1;
    }

    pub(crate) fn counters(&self) -> BTreeMap<&'static str, u64> {
        let mut all = self.with_node(|_, node| node.counters().clone());
        all.extend(lock(&self.counters).iter().map(|(what, n)| (*what, *n)));
        all.extend(self.edges.bytes_sent());
        all.extend(self.open_connections());
        all
    }

    /// From now on the connections of a server are counted, under this name.
    pub(crate) fn count_connections(&self, server: &'static str, open: OpenConnections) {
        lock(&self.open_connections).insert(server, open);
    }

    /// Connections that are open now, by kind.
    fn open_connections(&self) -> BTreeMap<&'static str, u64> {
        let servers = lock(&self.open_connections);
        let count = |server| {
            servers
                .get(server)
                .map_or(0, |open: &OpenConnections| open.count())
        };
        let counts = [
            ("connections-control", count("control")),
            ("connections-directory", count("directory")),
            ("connections-edges", self.edges.count()),
            ("connections-members", self.connections.count()),
        ];
        counts
            .into_iter()
            .map(|(kind, count)| (kind, count as u64))
            .collect()
    }

    /// One line with all that was counted.
    pub(crate) fn log_counters(&self) {
        let all: Vec<String> = self
            .counters()
            .iter()
            .map(|(what, n)| format!("{what}={n}"))
            .collect();
        log::info!("counted {}", all.join(" "));
    }

    /// Looks at the node as it stands now.
    pub(crate) fn with_node<T>(&self, look: impl FnOnce(Timestamp, &ControlNode) -> T) -> T {
        let node = lock(&self.node);
        look(self.now(), &node)
    }

    pub(crate) fn has_left(&self) -> bool {
        self.left.load(Ordering::Relaxed)
    }

    /// Gives the node an input and queues what follows. The clock is read under the lock.
    pub(crate) fn step(self: &Arc<Self>, input: Input) {
        let mut node = lock(&self.node);
        let effects = node.step(self.now(), input);
        self.tell_merged(&node);
        effects
            .into_iter()
            .for_each(|effect| self.carry_out(effect));
    }

    /// The last change that is merged here, as it rises.
    pub(crate) fn merged_changes(&self) -> watch::Receiver<u64> {
        self.merged.subscribe()
    }

    /// Before the answers that follow from it: a caller's next call is known to be sent after it.
    fn tell_merged(&self, node: &ControlNode) {
        self.merged.send_if_modified(|merged| {
            let rises = node.merged() > *merged;
            *merged = node.merged().max(*merged);
            rises
        });
    }

    /// Gives the node a call; false if it is an order that has waited for too long.
    fn begin(
        self: &Arc<Self>,
        call: CallId,
        request: ControlRequest,
        sent_after: u64,
        arrived: Instant,
    ) -> bool {
        let mut node = lock(&self.node);
        if request.is_order() && arrived.elapsed() > LONGEST_WAIT {
            self.count("orders-too-late");
            return false;
        }
        let input = Input::Call {
            call,
            request,
            sent_after,
        };
        let effects = node.step(self.now(), input);
        self.tell_merged(&node);
        effects
            .into_iter()
            .for_each(|effect| self.carry_out(effect));
        true
    }

    /// Only queues: whoever reads the queue does the I/O.
    fn carry_out(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Connect(ip) => self.peers.connect(self, &ip),
            Effect::Request { to, envelope } => self.peers.send(&to, &envelope),
            Effect::Respond {
                connection,
                response,
            } => self.connections.send(connection, &response),
            Effect::Answer { call, answer } => {
                if let Some(caller) = lock(&self.calls).remove(&call) {
                    let _ = caller.send(answer);
                }
            }
            Effect::Store { ticket, batch } => self.writes.push(ticket, batch),
            Effect::SendEdges { streams, body } => self.edges.send(&streams, body),
            Effect::CloseEdge(stream) => self.edges.close(stream),
            Effect::Log(event) => log_event(&event),
            Effect::Exit => self.left.store(true, Ordering::Relaxed),
        }
    }

    /// A call of a task or an operator, and its answer. An order that waited here for long is not begun: its
    /// caller may have asked another node meanwhile, and acted on what that one answered. An order whose future is
    /// dropped is abandoned unless it has been proposed. `sent_after` is the last change that was merged here at some
    /// moment before the caller sent it.
    pub(crate) async fn call(self: &Arc<Self>, request: ControlRequest, sent_after: u64) -> Answer {
        let arrived = Instant::now();
        let call = CallId(self.next_number());
        let (answer, answered) = oneshot::channel();
        lock(&self.calls).insert(call, answer);
        let _open = OpenCall {
            host: self.clone(),
            call,
        };
        if !self.begin(call, request, sent_after, arrived) {
            return Answer::Unavailable(Unavailable::NoMajority);
        }
        match timeout(LONGEST_CALL, answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => Answer::Unavailable(Unavailable::NoMajority),
        }
    }
}

/// A call that has not been answered yet.
struct OpenCall {
    host: Arc<Host>,
    call: CallId,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        let unanswered = lock(&self.host.calls).remove(&self.call).is_some();
        if unanswered {
            self.host.step(Input::Abandoned { call: self.call });
        }
    }
}

fn log_event(event: &Event) {
    if event.is_warning() {
        log::warn!("{event}");
    } else {
        log::info!("{event}");
    }
}
