//! Requests to the registry on awc, each on a task of its own; what comes of them goes back to whoever asked. Times
//! out what takes too long and bounds what is read; decides nothing.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(missing_docs)]

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use actix_rt::time::timeout;
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::{Client, Connector, SendClientRequest};
use bytes::{Buf, BytesMut};
use futures_util::StreamExt;
use lynxmill_assigner_state::Event;
use lynxmill_registry::{
    Answer, Came, CodecError, Member, Protocol, RegistryStore, Reply, Request, StoreRequest,
    StoreStep, WatchEvent, WatchFollower, Writes,
};
use lynxmill_time::Timestamp;

/// The longest that a connection, and a reply beyond what the registry may hold it, may take.
const CONNECT: Duration = Duration::from_secs(1);
const REPLY: Duration = Duration::from_secs(2);
/// The longest reply, and line of a stream.
const LONGEST: usize = 32 << 20;
const LINE: usize = 4 << 20;

pub struct Registry {
    client: Client,
    at: SocketAddr,
    protocol: Box<dyn Protocol>,
    /// The watch under way, by its turn.
    watch: RefCell<Option<(u64, JoinHandle<()>)>>,
    faults: RefCell<BTreeMap<&'static str, u64>>,
}

type Tell = Rc<dyn Fn(Answer)>;

fn sending(e: &SendRequestError) -> CodecError {
    match e {
        SendRequestError::Connect(ConnectError::Disconnected) => CodecError::new("broken", e),
        // It never came up: nothing can have been done.
        SendRequestError::Connect(_) => CodecError {
            not_done: true,
            ..CodecError::new("unreachable", e)
        },
        SendRequestError::Timeout => CodecError::new("no-answer", e),
        SendRequestError::Response(_) => CodecError::new("unreadable", e),
        _ => CodecError::new("broken", e),
    }
}

impl Registry {
    pub fn new(at: SocketAddr, protocol: Box<dyn Protocol>) -> Rc<Self> {
        let connector = Connector::new().timeout(CONNECT).limit(0);
        Rc::new(Registry {
            client: Client::builder()
                .connector(connector)
                .disable_timeout()
                .disable_redirects()
                .finish(),
            at,
            protocol,
            watch: RefCell::default(),
            faults: RefCell::default(),
        })
    }

    pub fn protocol(&self) -> &dyn Protocol {
        &*self.protocol
    }

    /// How often each reason code was met.
    pub fn faults(&self) -> BTreeMap<&'static str, u64> {
        self.faults.borrow().clone()
    }

    fn send(&self, request: &Request) -> SendClientRequest {
        let method = match request.method {
            "POST" => Method::POST,
            "PUT" => Method::PUT,
            _ => Method::GET,
        };
        let call = self
            .client
            .request(method, format!("http://{}{}", self.at, request.path))
            .force_close();
        match &request.body {
            Some(body) => call
                .content_type("application/json")
                .send_body(body.clone()),
            None => call.send(),
        }
    }

    fn noted(&self, ask: &StoreRequest, error: &CodecError) {
        *self.faults.borrow_mut().entry(error.code).or_default() += 1;
        let road = match ask {
            StoreRequest::Watch { .. } => "watch",
            StoreRequest::Txn { .. } => "write",
            _ => "read",
        };
        log::info!(
            "registry {road} {} ended reason={} {}",
            self.at,
            error.code,
            error.detail
        );
    }

    async fn whole(&self, ask: &StoreRequest, request: &Request) -> Result<Answer, CodecError> {
        let read = async {
            let mut answer = self.send(request).await.map_err(|e| sending(&e))?;
            let index = answer
                .headers()
                .get("x-consul-index")
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned);
            let status = answer.status().as_u16();
            let body = answer.body().limit(LONGEST).await.map_err(|e| match e {
                awc::error::PayloadError::Overflow => CodecError::new("too-long", e),
                e => CodecError::new("broken", e),
            })?;
            self.protocol.reply(
                ask,
                &Reply {
                    status,
                    index: index.as_deref(),
                    body: &body,
                },
            )
        };
        let patience = REPLY + Duration::from_secs(request.held);
        timeout(patience, read)
            .await
            .unwrap_or_else(|_| Err(CodecError::new("no-answer", "in time")))
    }

    async fn stream(&self, ask: &StoreRequest, request: &Request, tell: &Tell) -> CodecError {
        let mut answer = match timeout(REPLY, self.send(request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(e)) => return sending(&e),
            Err(_) => return CodecError::new("no-answer", "to the watch"),
        };
        if !answer.status().is_success() {
            let code = if answer.status().is_redirection() {
                "redirected"
            } else {
                "turned-back"
            };
            return CodecError::new(code, answer.status());
        }
        let (mut waiting, mut looked) = (BytesMut::new(), 0);
        while let Some(piece) = answer.next().await {
            match piece {
                Ok(bytes) => waiting.extend_from_slice(&bytes),
                Err(e) => return CodecError::new("broken", e),
            }
            while let Some(end) = waiting[looked..].iter().position(|&b| b == b'\n') {
                let line = waiting.split_to(looked + end);
                waiting.advance(1);
                looked = 0;
                match self.protocol.piece(ask, &line) {
                    Ok(answer) => answer.into_iter().for_each(|answer| tell(answer)),
                    Err(error) => return error,
                }
            }
            looked = waiting.len();
            if looked > LINE {
                return CodecError::new("too-long", "a line of the watch");
            }
        }
        CodecError::new("peer-closed", "the watch")
    }

    async fn run(self: Rc<Self>, ask: StoreRequest, request: Request, tell: Tell) {
        let came = if request.stream {
            Err(self.stream(&ask, &request, &tell).await)
        } else {
            self.whole(&ask, &request).await
        };
        match came {
            Ok(answer) => tell(answer),
            Err(error) => {
                self.noted(&ask, &error);
                error
                    .answer(&ask)
                    .into_iter()
                    .for_each(|answer| tell(answer));
            }
        }
    }

    /// Ends the watch; what else is under way goes on and is heard by nobody.
    pub fn stop(&self) {
        if let Some((_, watch)) = self.watch.take() {
            watch.abort();
        }
    }

    /// Carries out what is asked; `tell` hears what came of it. Timers are for whoever drives the machines.
    pub fn ask(self: &Rc<Self>, ask: StoreRequest, tell: &Tell) {
        if let StoreRequest::Leave { turn } = ask {
            let watch = self.watch.take().filter(|(of, _)| *of == turn);
            return watch.into_iter().for_each(|(_, task)| task.abort());
        }
        let Some(request) = self.protocol.request(&ask) else {
            return;
        };
        let turn = if let StoreRequest::Watch { turn, .. } = ask {
            Some(turn)
        } else {
            None
        };
        let task = actix_rt::spawn(self.clone().run(ask, request, tell.clone()));
        if let Some(turn) = turn
            && let Some((_, before)) = self.watch.replace(Some((turn, task)))
        {
            before.abort();
        }
    }
}

/// A state machine that asks a registry and is told what came of it.
pub trait Machine: 'static {
    /// What it tells whoever runs it.
    type Out;

    fn wake(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>, out: &mut Vec<Self::Out>);

    fn take(
        &mut self,
        now: Timestamp,
        answer: Answer,
        asks: &mut Vec<StoreRequest>,
        out: &mut Vec<Self::Out>,
    );
}

impl Machine for Member {
    /// That its tables may have changed.
    type Out = ();

    fn wake(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>, out: &mut Vec<()>) {
        Member::wake(self, now, asks);
        out.push(());
    }

    fn take(
        &mut self,
        now: Timestamp,
        answer: Answer,
        asks: &mut Vec<StoreRequest>,
        out: &mut Vec<()>,
    ) {
        Member::take(self, now, answer, asks);
        out.push(());
    }
}

impl Machine for WatchFollower {
    type Out = WatchEvent;

    fn wake(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>, _: &mut Vec<WatchEvent>) {
        WatchFollower::wake(self, now, asks);
    }

    fn take(
        &mut self,
        now: Timestamp,
        answer: Answer,
        asks: &mut Vec<StoreRequest>,
        out: &mut Vec<WatchEvent>,
    ) {
        WatchFollower::take(self, now, answer, out, asks);
    }
}

impl Machine for Writes {
    type Out = (u64, Came);

    fn wake(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>, _: &mut Vec<Self::Out>) {
        Writes::wake(self, now, asks);
    }

    fn take(
        &mut self,
        now: Timestamp,
        answer: Answer,
        asks: &mut Vec<StoreRequest>,
        out: &mut Vec<Self::Out>,
    ) {
        Writes::take(self, now, &answer, out, asks);
    }
}

impl Machine for RegistryStore {
    type Out = Event;

    fn wake(&mut self, now: Timestamp, asks: &mut Vec<StoreRequest>, out: &mut Vec<Event>) {
        let mut step = StoreStep::default();
        RegistryStore::wake(self, now, &mut step);
        asks.append(&mut step.asks);
        out.append(&mut step.events);
    }

    fn take(
        &mut self,
        now: Timestamp,
        answer: Answer,
        asks: &mut Vec<StoreRequest>,
        out: &mut Vec<Event>,
    ) {
        let mut step = StoreStep::default();
        RegistryStore::take(self, now, answer, &mut step);
        asks.append(&mut step.asks);
        out.append(&mut step.events);
    }
}

/// Runs a machine: its asks go to the registry, its timers are kept, what it tells goes to `hear`.
pub struct Runner<M: Machine> {
    machine: RefCell<M>,
    registry: Rc<Registry>,
    clock: Box<dyn Fn() -> Timestamp>,
    hear: Box<dyn Fn(M::Out)>,
    wake_at: Cell<Option<Timestamp>>,
    timer: RefCell<Option<JoinHandle<()>>>,
    ended: Cell<bool>,
}

impl<M: Machine> Runner<M> {
    /// Begins at once. `clock` tells the machine's time, `hear` is told what comes of it in order.
    pub fn start(
        machine: M,
        registry: Rc<Registry>,
        clock: impl Fn() -> Timestamp + 'static,
        hear: impl Fn(M::Out) + 'static,
    ) -> Rc<Self> {
        let runner = Rc::new(Runner {
            machine: RefCell::new(machine),
            registry,
            clock: Box::new(clock),
            hear: Box::new(hear),
            wake_at: Cell::new(None),
            timer: RefCell::default(),
            ended: Cell::new(false),
        });
        runner.wake();
        runner
    }

    /// How often each reason code was met at its registry.
    pub fn faults(&self) -> BTreeMap<&'static str, u64> {
        self.registry.faults()
    }

    /// Looks at the machine.
    pub fn look<T>(&self, look: impl FnOnce(&M) -> T) -> T {
        look(&self.machine.borrow())
    }

    /// Does something with the machine and carries out what it asks for.
    pub fn step(
        self: &Rc<Self>,
        step: impl FnOnce(&mut M, Timestamp, &mut Vec<StoreRequest>, &mut Vec<M::Out>),
    ) {
        if self.ended.get() {
            return;
        }
        let (mut asks, mut out) = (Vec::new(), Vec::new());
        step(
            &mut self.machine.borrow_mut(),
            (self.clock)(),
            &mut asks,
            &mut out,
        );
        self.carry_out(asks, out);
    }

    fn carry_out(self: &Rc<Self>, asks: Vec<StoreRequest>, out: Vec<M::Out>) {
        for ask in asks {
            if let StoreRequest::WakeAt(at) = ask {
                self.wake_at(at);
                continue;
            }
            let runner = Rc::downgrade(self);
            let tell: Tell = Rc::new(move |answer| {
                if let Some(runner) = runner.upgrade() {
                    runner.take(answer);
                }
            });
            self.registry.ask(ask, &tell);
        }
        out.into_iter().for_each(|out| (self.hear)(out));
    }

    fn take(self: &Rc<Self>, answer: Answer) {
        self.step(|machine, now, asks, out| machine.take(now, answer, asks, out));
    }

    fn wake(self: &Rc<Self>) {
        self.step(|machine, now, asks, out| machine.wake(now, asks, out));
    }

    /// One timer for the earliest moment asked for.
    fn wake_at(self: &Rc<Self>, at: Timestamp) {
        if self.wake_at.get().is_some_and(|before| before <= at) {
            return;
        }
        self.wake_at.set(Some(at));
        let wait = (at - (self.clock)()).secs().clamp(0.0, 3600.0);
        let runner = Rc::downgrade(self);
        let timer = actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_secs_f64(wait)).await;
            if let Some(runner) = runner.upgrade() {
                runner.wake_at.set(None);
                runner.wake();
            }
        });
        if let Some(before) = self.timer.replace(Some(timer)) {
            before.abort();
        }
    }

    /// Ends it outright, as a kill would: nothing is given back.
    pub fn kill(&self) {
        self.ended.set(true);
        self.registry.stop();
        if let Some(timer) = self.timer.take() {
            timer.abort();
        }
    }
}
