//! Connections to servers: how many, which are used again, who waits for one. A connection that has been idle is one
//! that its server may be about to close, so that what must not run twice goes on a new one.

use std::collections::{BTreeMap, VecDeque};

use lynxmill_time::{TimeDelta, Timestamp};

/// A connection, by a number of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PooledConnection(pub u64);

/// Somebody who waits for a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// Connections in all, and to one server.
    pub most: usize,
    pub each: usize,
    /// A connection closes when it was idle for so long, or this old at the end of an exchange.
    pub idle: TimeDelta,
    pub age: TimeDelta,
    /// How many may wait for one, and how long.
    pub waiting: usize,
    pub patience: TimeDelta,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// One that stands idle, or one to be opened.
    Use(PooledConnection),
    Open(PooledConnection),
    /// `give` names the ticket when there is one; until then at the latest.
    Wait(Ticket, Timestamp),
    /// Too many wait.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Idle {
    conn: PooledConnection,
    born: Timestamp,
    since: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct PoolRequest {
    ticket: Ticket,
    fresh: bool,
    until: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Server {
    open: usize,
    /// The latest used last, which is used first.
    idle: Vec<Idle>,
    waits: VecDeque<PoolRequest>,
}

#[derive(Clone, Debug)]
pub struct Pool {
    bounds: PoolLimits,
    servers: BTreeMap<String, Server>,
    busy: BTreeMap<PooledConnection, Timestamp>,
    open: usize,
    waiting: usize,
    last: u64,
}

impl Pool {
    pub fn new(bounds: PoolLimits) -> Self {
        Pool {
            bounds,
            servers: BTreeMap::new(),
            busy: BTreeMap::new(),
            open: 0,
            waiting: 0,
            last: 0,
        }
    }

    pub fn open(&self) -> usize {
        self.open
    }

    pub fn waiting(&self) -> usize {
        self.waiting
    }

    pub fn idle(&self) -> usize {
        self.servers.values().map(|server| server.idle.len()).sum()
    }

    fn number(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// A connection to a server; `fresh` for what must not meet one that its server may be closing. What is to be
    /// closed goes into `shut`.
    pub fn take(
        &mut self,
        now: Timestamp,
        server: &str,
        fresh: bool,
        shut: &mut Vec<PooledConnection>,
    ) -> Grant {
        self.sweep_one(now, server, shut);
        if let Some(grant) = self.grant(now, server, fresh, shut) {
            return grant;
        }
        if self.waiting >= self.bounds.waiting {
            return Grant::Full;
        }
        let (ticket, until) = (Ticket(self.number()), now + self.bounds.patience);
        self.waiting += 1;
        self.servers
            .entry(server.to_owned())
            .or_default()
            .waits
            .push_back(PoolRequest {
                ticket,
                fresh,
                until,
            });
        Grant::Wait(ticket, until)
    }

    fn grant(
        &mut self,
        now: Timestamp,
        name: &str,
        fresh: bool,
        shut: &mut Vec<PooledConnection>,
    ) -> Option<Grant> {
        let bounds = self.bounds;
        let server = self.servers.entry(name.to_owned()).or_default();
        if !fresh && let Some(idle) = server.idle.pop() {
            self.busy.insert(idle.conn, idle.born);
            return Some(Grant::Use(idle.conn));
        }
        if server.open >= bounds.each {
            // An idle one makes room for a new one.
            if server.idle.is_empty() {
                return None;
            }
            let oldest = server.idle.remove(0);
            shut.push(oldest.conn);
            server.open -= 1;
            self.open -= 1;
        } else if self.open >= bounds.most && !self.evict(shut) {
            return None;
        }
        let conn = PooledConnection(self.number());
        self.servers.entry(name.to_owned()).or_default().open += 1;
        self.open += 1;
        self.busy.insert(conn, now);
        Some(Grant::Open(conn))
    }

    /// The one idle for longest, at any server.
    fn evict(&mut self, shut: &mut Vec<PooledConnection>) -> bool {
        let longest = |server: &Server| server.idle.first().map(|idle| idle.since);
        let oldest = self
            .servers
            .iter()
            .filter_map(|(name, of)| Some((longest(of)?, name.clone())))
            .min();
        let Some((_, name)) = oldest else {
            return false;
        };
        let Some(server) = self.servers.get_mut(&name) else {
            return false;
        };
        shut.push(server.idle.remove(0).conn);
        server.open -= 1;
        self.open -= 1;
        true
    }

    /// An exchange is over; `keep` where the connection can be used again. Whoever waited and what it gets.
    pub fn give(
        &mut self,
        now: Timestamp,
        server: &str,
        conn: PooledConnection,
        keep: bool,
        shut: &mut Vec<PooledConnection>,
    ) -> Option<(Ticket, Grant)> {
        let born = self.busy.remove(&conn)?;
        let keep = keep && now - born < self.bounds.age;
        let of = self.servers.entry(server.to_owned()).or_default();
        if keep {
            of.idle.push(Idle {
                conn,
                born,
                since: now,
            });
        } else {
            shut.push(conn);
            of.open -= 1;
            self.open -= 1;
        }
        let woken = self.serve(now, server, shut).or_else(|| {
            // Room in all is room for those who wait for other servers.
            let others = self.servers.iter().filter(|(_, of)| !of.waits.is_empty());
            let first = others.min_by_key(|(_, of)| of.waits.front().map(|wish| wish.ticket));
            let name = first.map(|(name, _)| name.clone());
            name.and_then(|name| self.serve(now, &name, shut))
        });
        self.tidy(server);
        woken
    }

    /// The first who waits for a server and whose time is not over, if there is a connection for it.
    fn serve(
        &mut self,
        now: Timestamp,
        name: &str,
        shut: &mut Vec<PooledConnection>,
    ) -> Option<(Ticket, Grant)> {
        loop {
            let wish = *self.servers.get(name)?.waits.front()?;
            let over = now >= wish.until;
            let granted = if over {
                None
            } else {
                Some(self.grant(now, name, wish.fresh, shut)?)
            };
            self.servers.get_mut(name)?.waits.pop_front();
            self.waiting -= 1;
            if let Some(granted) = granted {
                return Some((wish.ticket, granted));
            }
        }
    }

    /// Whoever waited has gone.
    pub fn leave(&mut self, server: &str, ticket: Ticket) {
        if let Some(of) = self.servers.get_mut(server) {
            let before = of.waits.len();
            of.waits.retain(|wish| wish.ticket != ticket);
            self.waiting -= before - of.waits.len();
        }
        self.tidy(server);
    }

    fn sweep_one(&mut self, now: Timestamp, name: &str, shut: &mut Vec<PooledConnection>) {
        let bounds = self.bounds;
        let Some(server) = self.servers.get_mut(name) else {
            return;
        };
        let before = server.idle.len();
        server.idle.retain(|idle| {
            let keep = now - idle.since < bounds.idle && now - idle.born < bounds.age;
            if !keep {
                shut.push(idle.conn);
            }
            keep
        });
        let gone = before - server.idle.len();
        server.open -= gone;
        self.open -= gone;
    }

    /// Closes what has been idle too long or is too old.
    pub fn sweep(&mut self, now: Timestamp, shut: &mut Vec<PooledConnection>) {
        let names: Vec<String> = self.servers.keys().cloned().collect();
        for name in names {
            self.sweep_one(now, &name, shut);
            self.tidy(&name);
        }
    }

    /// Servers without connections and waits are forgotten.
    fn tidy(&mut self, name: &str) {
        if self
            .servers
            .get(name)
            .is_some_and(|of| of.open == 0 && of.waits.is_empty())
        {
            self.servers.remove(name);
        }
    }
}
