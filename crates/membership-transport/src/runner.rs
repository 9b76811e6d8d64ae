//! The sockets of one member.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

use actix_rt::task::JoinHandle;
use lynxmill_membership::{
    Change, Charge, Config, KeyRing, Node, Observation, Output, OwnObservation, Refused, State,
    Transport,
};
use lynxmill_time::{TimeDelta, Timestamp};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::files::{read_secret, read_trust};

/// Exchanges that others may have under way here.
const EXCHANGES: usize = 16;
/// Time between two lines of the log on what was refused for one reason, and between two looks at the key
/// files.
const TOLD_EVERY: TimeDelta = TimeDelta::from_micros(1_000_000);
const KEYS_EVERY: Duration = Duration::from_secs(1);
/// A datagram's bytes at most, whatever is sent.
const MOST: usize = 65_536;
/// Ports that are tried where the system chooses.
const CHOICES: usize = 32;

/// The key `membership` of the configuration.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransportOptions {
    /// UDP and TCP.
    pub listen: SocketAddr,
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    pub secret: PathBuf,
    pub trust: PathBuf,
    pub period_ms: u64,
    pub timeout_ms: u64,
    pub exchange_s: f64,
    pub evidence_s: f64,
    pub bytes_per_s: f64,
    pub messages_per_s: f64,
    pub intake_per_s: f64,
    /// Slices that members divide among them by votes, and how long a vote lasts; none where a store or the
    /// relay gives them.
    #[serde(default)]
    pub slices: u32,
    #[serde(default = "vote")]
    pub vote_s: f64,
}

fn vote() -> f64 {
    6.0
}

impl TransportOptions {
    fn terms(&self) -> Config {
        let ms = |ms: u64| TimeDelta::from_secs(ms as f64 / 1e3);
        Config {
            period: ms(self.period_ms),
            timeout: ms(self.timeout_ms),
            exchange_every: TimeDelta::from_secs(self.exchange_s),
            evidence_for: TimeDelta::from_secs(self.evidence_s),
            bytes_per_s: self.bytes_per_s,
            messages_per_s: self.messages_per_s,
            intake_per_s: self.intake_per_s,
            slices: self.slices,
            vote_for: TimeDelta::from_secs(self.vote_s),
            ..Config::default()
        }
    }

    fn keys(&self, name: &str) -> Result<KeyRing, String> {
        let (secret, trust) = (read_secret(&self.secret)?, read_trust(&self.trust)?);
        if !trust.knows(name) {
            return Err(format!("{}: no key of {name} itself", self.trust.display()));
        }
        Ok(KeyRing { secret, trust })
    }
}

/// What it tells whoever runs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransportEvent {
    Change(Change),
    /// Servers that have become doubtful by others' words, or are so no longer.
    Doubted(Vec<(String, bool)>),
    /// What has become of a slice that members divide among them.
    Charge(Charge),
}

/// Its sockets and keys, before it serves.
pub struct OpenSockets {
    wish: TransportOptions,
    name: String,
    keys: KeyRing,
    udp: std::net::UdpSocket,
    tcp: std::net::TcpListener,
}

impl OpenSockets {
    /// # Errors
    /// One line: a key file that can't be used, or an address that is taken.
    pub fn new(options: TransportOptions, name: &str) -> Result<Self, String> {
        let keys = options.keys(name)?;
        let taken = |e: io::Error| format!("{}: {e}", options.listen);
        let both = || {
            let udp = std::net::UdpSocket::bind(options.listen)?;
            let tcp = std::net::TcpListener::bind(udp.local_addr()?)?;
            Ok((udp, tcp))
        };
        // A port that the system chose for one road may be taken on the other.
        let tries = if options.listen.port() == 0 {
            CHOICES
        } else {
            1
        };
        let mut opened = both();
        for _ in 1..tries {
            opened = opened.or_else(|_| both());
        }
        let (udp, tcp) = opened.map_err(taken)?;
        udp.set_nonblocking(true)
            .and_then(|()| tcp.set_nonblocking(true))
            .map_err(taken)?;
        Ok(OpenSockets {
            name: name.to_owned(),
            keys,
            udp,
            tcp,
            wish: options,
        })
    }

    pub fn at(&self) -> io::Result<SocketAddr> {
        self.udp.local_addr()
    }
}

pub struct Runner {
    node: RefCell<Node<KeyRing>>,
    sight: RefCell<Observation>,
    name: String,
    wish: TransportOptions,
    at: SocketAddr,
    clock: Box<dyn Fn() -> Timestamp>,
    tell: Box<dyn Fn(TransportEvent)>,
    udp: UdpSocket,
    wake: Notify,
    exchanges: Cell<usize>,
    refused_at: RefCell<BTreeMap<&'static str, Timestamp>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
}

fn ended(at: SocketAddr, reason: &'static str, detail: &str) {
    log::info!(reason, peer:% = at; "exchange {at} ended reason={reason} {detail}");
}

async fn read(stream: &mut TcpStream, most: usize) -> io::Result<Vec<u8>> {
    let length = stream.read_u32().await? as usize;
    if length > most {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

async fn write(stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
    stream
        .write_all(&[&(bytes.len() as u32).to_be_bytes(), bytes].concat())
        .await
}

impl Runner {
    /// Begins to serve; `clock` is monotonous, `seed` is all its chance.
    ///
    /// # Errors
    /// The sockets can't be used.
    pub fn start(
        opened: OpenSockets,
        seed: u64,
        clock: impl Fn() -> Timestamp + 'static,
        tell: impl Fn(TransportEvent) + 'static,
    ) -> io::Result<Rc<Self>> {
        let OpenSockets {
            wish,
            name,
            keys,
            udp,
            tcp,
        } = opened;
        let (udp, tcp) = (UdpSocket::from_std(udp)?, TcpListener::from_std(tcp)?);
        let at = udp.local_addr()?;
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let terms = wish.terms();
        let sight = Observation::new(terms.evidence_for.times(0.5));
        let mut node = Node::new(
            &name,
            at,
            unix.as_millis() as u64,
            terms,
            keys,
            seed,
            clock(),
        );
        node.swim.join(&wish.seeds);
        let runner = Rc::new(Runner {
            node: RefCell::new(node),
            sight: RefCell::new(sight),
            name,
            at,
            clock: Box::new(clock),
            tell: Box::new(tell),
            udp,
            wake: Notify::new(),
            exchanges: Cell::new(0),
            refused_at: RefCell::default(),
            tasks: RefCell::default(),
            wish,
        });
        let tasks = [
            actix_rt::spawn(runner.clone().datagrams()),
            actix_rt::spawn(runner.clone().accept(tcp)),
            actix_rt::spawn(runner.clone().alarm()),
            actix_rt::spawn(runner.clone().looks()),
            actix_rt::spawn(runner.clone().reread()),
        ];
        runner.tasks.borrow_mut().extend(tasks);
        log::info!("member {} at {at}", runner.name);
        Ok(runner)
    }

    pub fn at(&self) -> SocketAddr {
        self.at
    }

    /// Ends without a word, as a crash does.
    pub fn stop(&self) {
        self.tasks
            .borrow_mut()
            .drain(..)
            .for_each(|task| task.abort());
    }

    /// Tells some others that this one goes by its own will; it still answers.
    pub fn leave(self: &Rc<Self>) {
        let mut out = Vec::new();
        self.node.borrow_mut().leave((self.clock)(), &mut out);
        self.carry(out);
        log::info!("member {} leaves", self.name);
    }

    /// A report of own proxies on a server.
    pub fn met(self: &Rc<Self>, server: &str, tries: f64, lost: f64) {
        let fell = self
            .sight
            .borrow_mut()
            .met((self.clock)(), server, tries, lost);
        if fell {
            self.look();
        }
    }

    fn look(self: &Rc<Self>) {
        let mut out = Vec::new();
        let doubts =
            self.node
                .borrow_mut()
                .look((self.clock)(), &mut self.sight.borrow_mut(), &mut out);
        self.carry(out);
        self.doubted(doubts);
    }

    fn doubted(&self, doubts: Vec<(String, bool)>) {
        for (server, doubted) in &doubts {
            let word = if *doubted {
                "doubted"
            } else {
                "no longer doubted"
            };
            log::warn!(server:% = server; "server {server} is {word} by others' words");
        }
        if !doubts.is_empty() {
            (self.tell)(TransportEvent::Doubted(doubts));
        }
    }

    fn heard(
        self: &Rc<Self>,
        from: SocketAddr,
        road: Transport,
        bytes: &[u8],
    ) -> Result<Option<Vec<u8>>, Refused> {
        let mut out = Vec::new();
        let now = (self.clock)();
        let taken = self
            .node
            .borrow_mut()
            .heard(now, from, road, bytes, &mut out);
        if let Err(refused) = taken {
            let mut told = self.refused_at.borrow_mut();
            if told
                .get(refused.code())
                .is_none_or(|at| now - *at >= TOLD_EVERY)
            {
                told.insert(refused.code(), now);
                let reason = refused.code();
                log::warn!(reason, peer:% = from; "message of {from} left out reason={reason}");
            }
        }
        self.carry(out);
        if self.node.borrow_mut().stirred() {
            let doubts = self
                .node
                .borrow_mut()
                .doubts((self.clock)(), &mut self.sight.borrow_mut());
            self.doubted(doubts);
        }
        self.changed();
        taken
    }

    fn changed(&self) {
        let changes = self.node.borrow_mut().changes();
        for change in changes {
            let told = |state: Option<State>| state.map_or("unknown", State::word);
            let (from, to) = (told(change.from), change.to.word());
            log::info!(member:% = change.name, state = to; "member {} was {from}, is {to}", change.name);
            (self.tell)(TransportEvent::Change(change));
        }
        let told = self
            .node
            .borrow_mut()
            .charges
            .as_mut()
            .map(|of| std::mem::take(&mut of.told));
        for charge in told.unwrap_or_default() {
            log::info!("{charge:?}");
            (self.tell)(TransportEvent::Charge(charge));
        }
        self.wake.notify_one();
    }

    /// A slice that was to be handed over is shut everywhere.
    pub fn released(self: &Rc<Self>, slice: u32) {
        let mut out = Vec::new();
        self.node
            .borrow_mut()
            .released((self.clock)(), slice, &mut out);
        self.carry(out);
    }

    /// Slices that it holds for sure by votes, with their generations.
    pub fn holds(&self) -> BTreeMap<u32, u64> {
        let node = self.node.borrow();
        node.charges
            .as_ref()
            .map(|of| of.holds((self.clock)()))
            .unwrap_or_default()
    }

    fn carry(self: &Rc<Self>, out: Vec<Output>) {
        for Output { to, road, bytes } in out {
            match road {
                // A datagram that can't go is a lost one.
                Transport::Datagram => drop(self.udp.try_send_to(&bytes, to)),
                Transport::Exchange => drop(actix_rt::spawn(self.clone().exchange(to, bytes))),
            }
        }
    }

    fn patience(&self) -> Duration {
        Duration::from_millis(self.wish.period_ms * 2)
    }

    fn most(&self) -> usize {
        self.wish.bytes_per_s as usize
    }

    async fn exchange(self: Rc<Self>, to: SocketAddr, bytes: Vec<u8>) {
        let talk = async {
            let mut stream = TcpStream::connect(to).await?;
            write(&mut stream, &bytes).await?;
            read(&mut stream, self.most()).await
        };
        match timeout(self.patience(), talk).await {
            Ok(Ok(answer)) => match self.heard(to, Transport::Exchange, &answer) {
                Ok(_) => ended(to, "done", ""),
                Err(refused) => ended(to, refused.code(), ""),
            },
            Ok(Err(e)) => ended(to, "broken", &e.to_string()),
            Err(_) => ended(to, "silent", ""),
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, from)) = listener.accept().await else {
                sleep(self.patience()).await;
                continue;
            };
            if self.exchanges.get() >= EXCHANGES {
                ended(from, "crowded", "");
                continue;
            }
            self.exchanges.set(self.exchanges.get() + 1);
            let runner = self.clone();
            actix_rt::spawn(async move {
                let served = timeout(runner.patience(), runner.serve(stream, from)).await;
                match served {
                    Ok(Ok(reason)) => ended(from, reason, ""),
                    Ok(Err(e)) => ended(from, "broken", &e.to_string()),
                    Err(_) => ended(from, "silent", ""),
                }
                runner.exchanges.set(runner.exchanges.get() - 1);
            });
        }
    }

    async fn serve(
        self: &Rc<Self>,
        mut stream: TcpStream,
        from: SocketAddr,
    ) -> io::Result<&'static str> {
        let bytes = read(&mut stream, self.most()).await?;
        match self.heard(from, Transport::Exchange, &bytes) {
            Ok(Some(answer)) => write(&mut stream, &answer).await.map(|()| "done"),
            Ok(None) => Ok("held-back"),
            Err(refused) => Ok(refused.code()),
        }
    }

    async fn datagrams(self: Rc<Self>) {
        let mut bytes = vec![0; MOST];
        loop {
            if let Ok((length, from)) = self.udp.recv_from(&mut bytes).await {
                let _ = self.heard(from, Transport::Datagram, &bytes[..length]);
            }
        }
    }

    async fn alarm(self: Rc<Self>) {
        loop {
            let now = (self.clock)();
            let due = self.node.borrow().wake();
            if due <= now {
                let mut out = Vec::new();
                self.node.borrow_mut().tick(now, &mut out);
                self.carry(out);
                self.changed();
            }
            let due = self
                .node
                .borrow()
                .wake()
                .max(now + TimeDelta::from_micros(1000));
            let wait = Duration::from_micros((due - (self.clock)()).micros().max(0) as u64);
            tokio::select! {
                () = sleep(wait) => {}
                () = self.wake.notified() => {}
            }
        }
    }

    async fn looks(self: Rc<Self>) {
        loop {
            sleep(Duration::from_millis(self.wish.period_ms)).await;
            self.look();
        }
    }

    /// Key files that have changed are taken over, both or none.
    async fn reread(self: Rc<Self>) {
        let stamp = |options: &TransportOptions| {
            [&options.secret, &options.trust]
                .map(|path| std::fs::metadata(path).and_then(|m| m.modified()).ok())
        };
        let mut known = stamp(&self.wish);
        loop {
            sleep(KEYS_EVERY).await;
            let now = stamp(&self.wish);
            if now == known {
                continue;
            }
            known = now;
            match self.wish.keys(&self.name) {
                Ok(keys) => {
                    log::info!(
                        "keys read again: {}, {} names trusted",
                        keys.secret.public(),
                        keys.trust.names().count()
                    );
                    self.node.borrow_mut().keys(keys);
                }
                Err(fail) => log::error!("{fail}; the keys of before serve on"),
            }
        }
    }

    /// All that it takes to be there, or to have been.
    pub fn members(&self) -> Value {
        let (now, node) = ((self.clock)(), self.node.borrow());
        let mut rows = vec![json!({"member": self.name, "at": self.at, "state": "self",
            "incarnation": node.swim.incarnation(), "seconds": Value::Null,
            "weight": Value::Null, "wrong": Value::Null})];
        rows.extend(node.swim.members().iter().map(|member| {
            json!({"member": member.name, "at": member.at, "state": member.state.word(),
                "incarnation": member.incarnation, "seconds": (now - member.since).secs().floor(),
                "weight": node.ledger.weight(&member.name),
                "wrong": node.swim.wrong.get(&member.name).copied().unwrap_or(0)})
        }));
        Value::Array(rows)
    }

    /// What is said of servers, with what own eyes see.
    pub fn evidence(&self) -> Value {
        let (now, node, sight) = ((self.clock)(), self.node.borrow(), self.sight.borrow());
        let doubted: BTreeMap<&str, Timestamp> = sight.doubted().collect();
        let row = |server: &str, author: &str, tries: u32, lost: u32, age: TimeDelta| {
            json!({"server": server, "by": author, "tries": tries, "lost": lost, "age_s": age.secs(),
                "doubted": doubted.contains_key(server)})
        };
        let mut rows = Vec::new();
        for server in node.ledger.servers() {
            let OwnObservation { tries, lost, .. } = sight.own(now, server);
            rows.push(row(server, &self.name, tries, lost, TimeDelta::default()));
            let said = node.ledger.of(now, server).into_iter();
            rows.extend(
                said.map(|(author, tries, lost, _, age)| row(server, &author, tries, lost, age)),
            );
        }
        Value::Array(rows)
    }

    /// Counts since the start, for metrics and `show limits`.
    pub fn tally(&self) -> Value {
        let node = self.node.borrow();
        let tally = &node.tally;
        json!({"members": node.swim.present(), "health": node.swim.health.patience(), "sent": tally.sent,
            "sent_bytes": tally.sent_bytes, "held_back": tally.held_back, "heard": tally.heard,
            "refused": tally.refused.values().sum::<u64>(),
            "refused_by_reason": tally.refused, "bytes_per_s_most": self.wish.bytes_per_s,
            "messages_per_s_most": self.wish.messages_per_s})
    }

    /// Looks at the member itself.
    pub fn with<T>(&self, look: impl FnOnce(&Node<KeyRing>, &Observation) -> T) -> T {
        look(&self.node.borrow(), &self.sight.borrow())
    }
}
