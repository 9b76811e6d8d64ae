//! What all connections of a forwarder share: tables, book, pool, gate, sums. Changes nothing by itself.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use lynxmill_forwarder::{
    AdmissionGate, ForwarderConfig, Grant, LoadSums, Pool, PooledConnection, RateLimits, Routes,
    ServerTable, Ticket,
};
use lynxmill_registry::layout::{Charge, KeyLocation, Layout, read};
use lynxmill_registry::{Member, Revision, SliceView};
use lynxmill_registry_transport::Runner;
use lynxmill_time::Timestamp;
use serde_json::{Value, json};
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use crate::back::ServerConnection;
use crate::start::{Clock, File, Options, SkippedGuard, millis};

/// Who has each slice in its charge, as of a revision.
type SliceAssignments = (Option<Revision>, Vec<Option<Rc<str>>>);

pub(crate) struct App {
    pub clock: Clock,
    pub wish: Options,
    pub terms: ForwarderConfig,
    pub routes: Routes,
    pub gate: RefCell<AdmissionGate>,
    pub paces: RefCell<Option<RateLimits>>,
    pub book: RefCell<ServerTable>,
    pub sums: RefCell<LoadSums>,
    /// The tables may have changed; or it has been told to end.
    pub changed: Notify,
    /// Cancelled once it has been told to end and the gate has its deadline.
    pub ending: CancellationToken,
    pub member: RefCell<Option<Rc<Runner<Member>>>>,
    layout: Layout,
    charges: RefCell<SliceAssignments>,
    pool: RefCell<Pool>,
    idle: RefCell<BTreeMap<PooledConnection, ServerConnection>>,
    tickets: RefCell<BTreeMap<Ticket, (String, oneshot::Sender<Grant>)>>,
    counts: RefCell<BTreeMap<&'static str, u64>>,
}

impl App {
    pub(crate) fn new(clock: Clock, file: File) -> Rc<Self> {
        let File {
            wish,
            terms,
            routes,
        } = file;
        let of = &wish.limits;
        let paces = (of.per_client_s > 0).then(|| RateLimits::new(of.per_client_s, of.clients));
        Rc::new(App {
            clock,
            gate: RefCell::new(AdmissionGate::new(of.connections, of.connections_each)),
            paces: RefCell::new(paces),
            book: RefCell::default(),
            sums: RefCell::new(LoadSums::new(&wish.zone, clock.now())),
            changed: Notify::new(),
            ending: CancellationToken::new(),
            member: RefCell::default(),
            layout: Layout::new(&wish.store.prefix),
            charges: RefCell::default(),
            pool: RefCell::new(Pool::new(wish.bounds())),
            idle: RefCell::default(),
            tickets: RefCell::default(),
            counts: RefCell::default(),
            terms,
            routes,
            wish,
        })
    }

    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// What an invocation finds now.
    pub(crate) fn see<T>(
        &self,
        slice: usize,
        operation: usize,
        look: impl FnOnce(Timestamp, &SliceView<'_>) -> T,
    ) -> T {
        let nothing = SliceView {
            server: None,
            generation: 0,
            level: 1.0,
            writes: false,
        };
        let now = self.now();
        match &*self.member.borrow() {
            None => look(now, &nothing),
            Some(runner) => runner.look(|member| {
                let mut sight = member.see(now, slice, &self.terms.operations[operation].name);
                if self.wish.fault == Some(SkippedGuard::WritesWithoutLease) {
                    sight.writes = true;
                }
                look(now, &sight)
            }),
        }
    }

    /// The assigner that has a slice in its charge.
    pub(crate) fn charge(&self, slice: usize) -> Option<Rc<str>> {
        let member = self.member.borrow().clone()?;
        let seen = member.look(|member| member.follow().seen());
        let mut charges = self.charges.borrow_mut();
        if charges.0 != seen || charges.1.len() != self.terms.slices {
            let by = |slice| {
                let key = self.layout.key(&KeyLocation::Charge(slice));
                let held = member.look(|member| {
                    member
                        .follow()
                        .held()
                        .get(&key)
                        .map(|pair| pair.value.clone())
                });
                read::<Charge>(&held?)
                    .ok()
                    .map(|charge| Rc::from(charge.by))
            };
            *charges = (seen, (0..self.terms.slices).map(by).collect());
        }
        charges.1.get(slice).cloned().flatten()
    }

    pub(crate) fn count(&self, code: &'static str) {
        *self.counts.borrow_mut().entry(code).or_default() += 1;
    }

    // --- connections to servers ---

    fn close(&self, shut: &[PooledConnection]) {
        let mut idle = self.idle.borrow_mut();
        shut.iter().for_each(|conn| drop(idle.remove(conn)));
    }

    pub(crate) fn take(&self, server: &str, fresh: bool) -> Grant {
        let mut shut = Vec::new();
        let grant = self
            .pool
            .borrow_mut()
            .take(self.now(), server, fresh, &mut shut);
        self.close(&shut);
        grant
    }

    /// Waits for a ticket's turn.
    pub(crate) async fn turn(
        self: &Rc<Self>,
        server: &str,
        ticket: Ticket,
        until: Timestamp,
    ) -> Option<Grant> {
        let (tell, told) = oneshot::channel();
        self.tickets
            .borrow_mut()
            .insert(ticket, (server.to_owned(), tell));
        let mut turn = QueueGuard {
            app: self.clone(),
            server: server.to_owned(),
            ticket,
            told: Some(told),
        };
        let told = turn.told.as_mut()?;
        let granted = tokio::time::timeout_at(self.clock.instant(until), told).await;
        let granted = granted.ok().and_then(Result::ok);
        if granted.is_some() {
            turn.told = None;
        }
        granted
    }

    /// An idle connection of the pool's.
    pub(crate) fn idle(&self, conn: PooledConnection) -> Option<ServerConnection> {
        self.idle.borrow_mut().remove(&conn)
    }

    pub(crate) fn give(
        &self,
        server: &str,
        conn: PooledConnection,
        wire: Option<ServerConnection>,
    ) {
        let mut due = vec![(server.to_owned(), conn, wire)];
        while let Some((server, conn, wire)) = due.pop() {
            let (keep, mut shut) = (wire.is_some(), Vec::new());
            if let Some(wire) = wire {
                self.idle.borrow_mut().insert(conn, wire);
            }
            let woken = self
                .pool
                .borrow_mut()
                .give(self.now(), &server, conn, keep, &mut shut);
            self.close(&shut);
            let Some((ticket, grant)) = woken else {
                continue;
            };
            let waits = self.tickets.borrow_mut().remove(&ticket);
            // Whoever waited may have gone in this very moment.
            let left = match waits {
                Some((server, tell)) => tell.send(grant).err().map(|_| server),
                None => None,
            };
            due.extend(left.and_then(|server| self.back(server, grant)));
        }
    }

    /// What is to be given back of a grant that nobody has used.
    fn back(
        &self,
        server: String,
        grant: Grant,
    ) -> Option<(String, PooledConnection, Option<ServerConnection>)> {
        match grant {
            Grant::Use(conn) => Some((server, conn, self.idle(conn))),
            Grant::Open(conn) => Some((server, conn, None)),
            Grant::Wait(..) | Grant::Full => None,
        }
    }

    pub(crate) fn sweep(&self) {
        let mut shut = Vec::new();
        self.pool.borrow_mut().sweep(self.now(), &mut shut);
        self.close(&shut);
    }

    /// How often it looks whether connections have been idle too long.
    pub(crate) fn sweeps(&self) -> std::time::Duration {
        std::time::Duration::from_secs_f64((self.wish.limits.idle_s / 4.0).clamp(0.05, 5.0))
    }

    pub(crate) fn stall(&self) -> (lynxmill_time::TimeDelta, u64) {
        (
            millis(self.wish.limits.stall_ms),
            self.wish.limits.stall_bytes,
        )
    }

    pub(crate) fn status(&self) -> Value {
        let now = self.now();
        let member = self.member.borrow().clone();
        let tables = member.map(|runner| {
            let (slices, writes) = runner.look(|member| {
                let line = |(slice, server, generation): (usize, Option<&str>, u64)| {
                    json!({"slice": slice, "server": server, "generation": generation})
                };
                (member.tables().slices().map(line).collect::<Vec<_>>(), member.tables().writes(now))
            });
            json!({"slices": slices, "writes": writes, "faults": runner.faults()})
        });
        let (gate, pool) = (self.gate.borrow(), self.pool.borrow());
        json!({"name": self.wish.name, "number": self.wish.number, "connections": gate.inside(),
            "invocations": gate.busy(), "ending": gate.ending(), "to_servers": pool.open(), "idle": pool.idle(),
            "waiting": pool.waiting(), "servers_known": self.book.borrow().len(), "ends": *self.counts.borrow(),
            "tables": tables})
    }
}

/// Whoever waits for a connection and goes away leaves the queue, and gives back what it was just given.
struct QueueGuard {
    app: Rc<App>,
    server: String,
    ticket: Ticket,
    told: Option<oneshot::Receiver<Grant>>,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        let Some(mut told) = self.told.take() else {
            return;
        };
        self.app.tickets.borrow_mut().remove(&self.ticket);
        match told.try_recv() {
            Ok(grant) => {
                let server = std::mem::take(&mut self.server);
                if let Some((server, conn, wire)) = self.app.back(server, grant) {
                    self.app.give(&server, conn, wire);
                }
            }
            Err(_) => self.app.pool.borrow_mut().leave(&self.server, self.ticket),
        }
    }
}
