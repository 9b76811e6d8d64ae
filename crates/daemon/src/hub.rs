//! Carries out what the reducer asks for: timers, calls, the watch, the list. All on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use awc::{Client, Connector};
use lynxmill_assigner_state::hand::{Record, Stage};
use lynxmill_assigner_state::{Effect, Event, Start, State, Status};
use lynxmill_membership_transport::{OpenSockets, Runner, TransportEvent};
use lynxmill_runtime_commands::journal::Journal;
use lynxmill_time::Timestamp;
use tokio::sync::{Notify, mpsc, oneshot};

use crate::close::{Reason, ended};
use crate::journal::{JournalThread, OnDisk};
use crate::record::Recorder;
use crate::resp::MemoryBudget;
use crate::runtime::{self, Listening, Runtime};
use crate::start::Clock;
use crate::store::{Deployment, Store};
use crate::{BackgroundTasks, discovery, happened, relay};

/// What is under way at an address.
type Task = (JoinHandle<()>, SocketAddr);

/// How a connection at the assigner's address is ended, and whose it is.
type Stream = (oneshot::Sender<Reason>, Option<SocketAddr>);

/// The runtime socket and, where one is kept, the journal of its orders with what stood in it.
pub(crate) struct Operators {
    pub wish: runtime::RuntimeOptions,
    pub listening: Vec<Listening>,
    pub journal: Option<runtime::Opened>,
    pub reload: Option<Reload>,
}

/// Asks for the file to be read again, and is told what came of it.
pub(crate) type Reload = mpsc::UnboundedSender<oneshot::Sender<String>>;

pub(crate) struct Hub {
    clock: Clock,
    state: RefCell<State>,
    client: Client,
    relay: Cell<SocketAddr>,
    discovery: Cell<SocketAddr>,
    watching: Cell<Option<Task>>,
    /// A watch that is to succeed the one that serves, and whether it has yet to.
    next: Cell<Option<(Task, Rc<Cell<bool>>)>>,
    asking: Cell<Option<Task>>,
    wake_at: Cell<Option<Timestamp>>,
    wake: Notify,
    room: MemoryBudget,
    last_id: Cell<u64>,
    open: RefCell<BTreeMap<u64, Stream>>,
    /// Whether metrics are told at the assigner's address.
    pub metrics: bool,
    recorder: Option<Recorder>,
    /// The registry in the relay's place, where there is one.
    store: RefCell<Option<Rc<Store>>>,
    runtime: RefCell<Option<Rc<Runtime>>>,
    keeper: RefCell<Option<JournalThread>>,
    /// Other assigners, where they are told.
    members: RefCell<Option<Rc<Runner>>>,
}

impl Hub {
    pub(crate) fn start(clock: Clock, start: Start, beside: BackgroundTasks) -> Rc<Self> {
        let BackgroundTasks {
            recorder,
            store: wish,
            operators,
            members,
            metrics,
        } = beside;
        if operators.is_some() || metrics {
            happened::begin(clock);
        }
        let deployment = Deployment {
            name: start.name.clone(),
            operations: start
                .facts
                .operations
                .iter()
                .map(|o| o.name.clone())
                .collect(),
            slices: start.facts.slices,
            seed: start.seed,
        };
        let now = clock.now();
        let recorder = recorder.map(|(recorder, configuration)| {
            recorder.started(now, configuration);
            recorder
        });
        let connector = Connector::new().timeout(Duration::from_secs(1)).limit(0);
        let hub = Rc::new(Hub {
            clock,
            client: Client::builder()
                .connector(connector)
                .disable_timeout()
                .finish(),
            // A quarter of the memory is for what strangers may leave unfinished.
            room: MemoryBudget::new(start.memory / 4),
            relay: Cell::new(start.addresses.relay),
            discovery: Cell::new(start.addresses.discovery),
            watching: Cell::new(None),
            next: Cell::new(None),
            asking: Cell::new(None),
            state: RefCell::new(State::new(clock.epoch(), now, start)),
            wake_at: Cell::new(None),
            wake: Notify::new(),
            last_id: Cell::new(0),
            open: RefCell::default(),
            metrics,
            recorder,
            store: RefCell::default(),
            runtime: RefCell::default(),
            keeper: RefCell::default(),
            members: RefCell::default(),
        });
        if let Some(Operators {
            wish,
            listening,
            journal,
            reload,
        }) = operators
        {
            if let Some((journal, stood)) = journal {
                hub.keep(journal, stood);
            }
            *hub.runtime.borrow_mut() = Some(Runtime::start(wish, listening, reload, clock, &hub));
        }
        if let Some(opened) = members {
            hub.meet(opened, deployment.seed);
        }
        if let Some(options) = wish {
            let store = Store::start(&options, deployment, clock, &hub);
            *hub.store.borrow_mut() = Some(Rc::new(store));
        }
        actix_rt::spawn(hub.clone().alarm());
        hub.tell(Event::Begin);
        hub
    }

    pub(crate) fn tell(self: &Rc<Self>, event: Event) {
        log::trace!("{event:?}");
        let mut effects = Vec::new();
        let now = self.clock.now();
        match &event {
            Event::WatchBegun => happened::note(|at, h| h.event(at, "watch", "begun".to_owned())),
            Event::ListFailed => happened::note(|at, h| h.event(at, "list", "failed".to_owned())),
            Event::Moved(to) => happened::note(|at, h| h.event(at, "moved", format!("{to:?}"))),
            _ => {}
        }
        if let Some(recorder) = &self.recorder {
            recorder.heard(now, &event);
        }
        self.state.borrow_mut().reduce(now, event, &mut effects);
        for effect in effects {
            log::trace!("{effect:?}");
            match effect {
                Effect::WakeAt(at) => {
                    if self.wake_at.replace(Some(at)) != Some(at) {
                        self.wake.notify_one();
                    }
                }
                Effect::Watch => match self.store() {
                    Some(store) => store.watch(),
                    None => self.watching.set(Some(self.dial(Rc::default()))),
                },
                Effect::NextWatch => {
                    let next = Rc::new(Cell::new(true));
                    self.next.set(Some((self.dial(next.clone()), next)));
                }
                Effect::LeaveNext => leave("watch", self.next.take().map(|(task, _)| task), ""),
                Effect::LeaveWatch => leave("watch", self.watching.take(), ""),
                Effect::Succeed => {
                    let (task, next) = self.next.take().unzip();
                    next.iter().for_each(|next| next.set(false));
                    leave(
                        "watch",
                        self.watching.replace(task),
                        "another has taken its place",
                    );
                }
                Effect::Call(body) => {
                    if let Some(recorder) = &self.recorder {
                        recorder.ordered(now, &body);
                    }
                    match self.store() {
                        Some(store) => store.call(&body),
                        None => drop(actix_rt::spawn(self.clone().call(body))),
                    }
                }
                Effect::Ask(from) => {
                    let at = self.discovery.get();
                    self.asking
                        .set(Some((actix_rt::spawn(self.clone().ask(at, from)), at)));
                }
                Effect::MoveRelay(to) => self.relay.set(to),
                Effect::MoveDiscovery(to) => {
                    self.discovery.set(to);
                    leave("list", self.asking.take(), "");
                }
                Effect::HandTold(order, said) => {
                    if let Some(runtime) = &*self.runtime.borrow() {
                        runtime.told(order, said);
                    }
                }
                Effect::Keep(record) => {
                    if let Some(keeper) = &*self.keeper.borrow() {
                        keeper.keep(record);
                    }
                }
                Effect::Saw {
                    server,
                    tries,
                    lost,
                } => {
                    if let Some(members) = &*self.members.borrow() {
                        members.met(&server, tries, lost);
                    }
                }
                Effect::HandStep(entry) => {
                    happened::note(|at, happened| {
                        if entry.stage == Stage::Done {
                            happened.order((now - entry.at).micros());
                        }
                        happened.event(at, "order", lynxmill_runtime_commands::entry(&entry));
                    });
                    if let Some(runtime) = &*self.runtime.borrow() {
                        runtime.step();
                    }
                }
                Effect::Close(id, reason) => {
                    self.shut(id, reason);
                }
            }
        }
    }

    async fn alarm(self: Rc<Self>) {
        loop {
            let Some(at) = self.wake_at.get() else {
                self.wake.notified().await;
                continue;
            };
            let sleep = actix_rt::time::sleep_until(self.clock.instant(at).into());
            tokio::select! {
                () = sleep => {
                    self.wake_at.set(None);
                    self.tell(Event::Wake);
                }
                () = self.wake.notified() => {}
            }
        }
    }

    fn dial(self: &Rc<Self>, next: Rc<Cell<bool>>) -> Task {
        let at = self.relay.get();
        (actix_rt::spawn(self.clone().watch(at, next)), at)
    }

    async fn watch(self: Rc<Self>, at: SocketAddr, next: Rc<Cell<bool>>) {
        let hub = self.clone();
        let failed = relay::watch(&self.client, at, |news| match news {
            None if next.get() => {}
            None => hub.tell(Event::WatchBegun),
            Some(news) if next.get() => hub.tell(Event::NextNews(news)),
            Some(news) => hub.tell(Event::News(news)),
        })
        .await;
        ended("watch", at, failed.reason, failed.detail);
        self.tell(if next.get() {
            Event::NextEnded
        } else {
            Event::WatchEnded
        });
    }

    async fn call(self: Rc<Self>, body: String) {
        let at = self.relay.get();
        let (outcome, failed) = relay::call(&self.client, at, body).await;
        let (reason, detail) =
            failed.map_or((Reason::Done, String::new()), |f| (f.reason, f.detail));
        ended("call", at, reason, format!("{detail} {outcome:?}"));
        self.tell(Event::Called(outcome));
    }

    async fn ask(self: Rc<Self>, at: SocketAddr, from: Option<u64>) {
        match discovery::ask(&self.client, at, from).await {
            Ok(members) => {
                ended("list", at, Reason::Done, format!("index={}", members.index));
                self.tell(Event::Listed(members));
            }
            Err(failed) => {
                ended("list", at, failed.reason, failed.detail);
                self.tell(Event::ListFailed);
            }
        }
    }

    /// Ends all connections with their lines, then the program.
    pub(crate) async fn end(self: Rc<Self>) {
        for (close, _) in std::mem::take(&mut *self.open.borrow_mut()).into_values() {
            let _ = close.send(Reason::Stopping);
        }
        ended("watch", self.relay.get(), Reason::Stopping, "");
        tokio::task::yield_now().await;
        std::process::exit(0);
    }

    pub(crate) fn room(&self) -> MemoryBudget {
        self.room.clone()
    }

    /// Takes up what stood in the journal, and writes there from now on.
    fn keep(self: &Rc<Self>, journal: Journal<OnDisk>, stood: Vec<Record>) {
        let (tell, mut told) = mpsc::unbounded_channel();
        match JournalThread::start(journal, tell) {
            Ok(keeper) => *self.keeper.borrow_mut() = Some(keeper),
            Err(e) => return log::error!("no journal of orders by hand: {e}"),
        }
        let hub = self.clone();
        actix_rt::spawn(async move {
            while let Some(event) = told.recv().await {
                hub.tell(event);
            }
        });
        self.tell(Event::Journal(stood));
    }

    /// Meets other assigners; what they say of servers comes in as any event does.
    fn meet(self: &Rc<Self>, opened: OpenSockets, seed: u64) {
        let (clock, (tell, mut told)) = (self.clock, mpsc::unbounded_channel());
        let note = move |told: TransportEvent| drop(tell.send(told));
        match Runner::start(opened, seed, move || clock.now(), note) {
            Ok(runner) => *self.members.borrow_mut() = Some(runner),
            Err(e) => return log::error!("no other assigners: {e}"),
        }
        self.state.borrow_mut().share();
        let hub = self.clone();
        actix_rt::spawn(async move {
            while let Some(told) = told.recv().await {
                match told {
                    TransportEvent::Doubted(servers) => hub.tell(Event::Doubted(servers)),
                    // No road of the daemon's takes its charges from votes: its settings know none.
                    TransportEvent::Charge(_) => {}
                    TransportEvent::Change(change) => happened::note(|at, happened| {
                        happened.event(
                            at,
                            "member",
                            format!("{} is {}", change.name, change.to.word()),
                        );
                    }),
                }
            }
        });
    }

    pub(crate) fn members(&self) -> Option<Rc<Runner>> {
        self.members.borrow().clone()
    }

    /// Looks at the state.
    pub(crate) fn with_state<T>(&self, look: impl FnOnce(&State) -> T) -> T {
        look(&self.state.borrow())
    }

    fn store(&self) -> Option<Rc<Store>> {
        self.store.borrow().clone()
    }

    /// What the ring of a recording holds.
    pub(crate) async fn day(&self) -> Option<Vec<u8>> {
        match &self.recorder {
            Some(recorder) => recorder.show().await,
            None => None,
        }
    }

    pub(crate) fn status(&self) -> Status {
        self.state.borrow().status()
    }

    /// Connections at the assigner's address, by number.
    pub(crate) fn streams(&self) -> Vec<(u64, Option<SocketAddr>)> {
        self.open
            .borrow()
            .iter()
            .map(|(id, (_, peer))| (*id, *peer))
            .collect()
    }

    /// Ends a connection; false where there is none of this number.
    pub(crate) fn shut(&self, id: u64, reason: Reason) -> bool {
        let close = self.open.borrow_mut().remove(&id);
        close.is_some_and(|(close, _)| close.send(reason).is_ok())
    }

    pub(crate) fn open(
        self: &Rc<Self>,
        peer: Option<SocketAddr>,
    ) -> (u64, oneshot::Receiver<Reason>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (close, closed) = oneshot::channel();
        self.open.borrow_mut().insert(id, (close, peer));
        self.tell(Event::Opened(id));
        (id, closed)
    }

    pub(crate) fn closed(self: &Rc<Self>, id: u64) {
        self.open.borrow_mut().remove(&id);
        self.tell(Event::Ended(id));
    }
}

/// Ends what is under way at an address that is no longer to be used.
fn leave(road: &'static str, task: Option<Task>, detail: &str) {
    if let Some((task, at)) = task.filter(|(task, _)| !task.is_finished()) {
        task.abort();
        ended(road, at, Reason::Moved, detail);
    }
}
