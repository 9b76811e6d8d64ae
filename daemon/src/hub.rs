//! Carries out what the reducer asks for: timers, calls, the watch, the list. All on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::{Client, Connector};
use lynxmill::Moment;
use tokio::sync::{Notify, oneshot};

use crate::close::{Reason, ended};
use crate::reduce::{Effect, Event, State, Status};
use crate::resp::Room;
use crate::start::{Clock, Start};
use crate::{discovery, relay};

pub struct Hub {
    clock: Clock,
    state: RefCell<State>,
    client: Client,
    relay: SocketAddr,
    discovery: SocketAddr,
    wake_at: Cell<Option<Moment>>,
    wake: Notify,
    room: Room,
    last_id: Cell<u64>,
    open: RefCell<BTreeMap<u64, oneshot::Sender<Reason>>>,
}

impl Hub {
    pub fn start(clock: Clock, start: Start) -> Rc<Self> {
        let connector = Connector::new().timeout(Duration::from_secs(1)).limit(0);
        let hub = Rc::new(Hub {
            clock,
            client: Client::builder().connector(connector).disable_timeout().finish(),
            // A quarter of the memory is for what strangers may leave unfinished.
            room: Room::new(start.memory / 4),
            relay: start.relay,
            discovery: start.discovery,
            state: RefCell::new(State::new(clock, clock.now(), start)),
            wake_at: Cell::new(None),
            wake: Notify::new(),
            last_id: Cell::new(0),
            open: RefCell::default(),
        });
        actix_rt::spawn(hub.clone().alarm());
        hub.tell(Event::Begin);
        hub
    }

    pub fn tell(self: &Rc<Self>, event: Event) {
        log::trace!("{event:?}");
        let mut effects = Vec::new();
        self.state.borrow_mut().reduce(self.clock.now(), event, &mut effects);
        for effect in effects {
            log::trace!("{effect:?}");
            match effect {
                Effect::WakeAt(at) => {
                    if self.wake_at.replace(Some(at)) != Some(at) {
                        self.wake.notify_one();
                    }
                }
                Effect::Watch => drop(actix_rt::spawn(self.clone().watch())),
                Effect::Call(body) => drop(actix_rt::spawn(self.clone().call(body))),
                Effect::Ask(from) => drop(actix_rt::spawn(self.clone().ask(from))),
                Effect::Close(id, reason) => {
                    if let Some(close) = self.open.borrow_mut().remove(&id) {
                        let _ = close.send(reason);
                    }
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

    async fn watch(self: Rc<Self>) {
        let hub = self.clone();
        let failed = relay::watch(&self.client, self.relay, move |news| match news {
            None => hub.tell(Event::WatchBegun),
            Some(news) => hub.tell(Event::News(news)),
        })
        .await;
        ended("watch", self.relay, failed.reason, failed.detail);
        self.tell(Event::WatchEnded);
    }

    async fn call(self: Rc<Self>, body: String) {
        let (outcome, failed) = relay::call(&self.client, self.relay, body).await;
        let (reason, detail) = failed.map_or((Reason::Done, String::new()), |f| (f.reason, f.detail));
        ended("call", self.relay, reason, format!("{detail} {outcome:?}"));
        self.tell(Event::Called(outcome));
    }

    async fn ask(self: Rc<Self>, from: Option<u64>) {
        match discovery::ask(&self.client, self.discovery, from).await {
            Ok(members) => {
                ended("list", self.discovery, Reason::Done, format!("index={}", members.index));
                self.tell(Event::Listed(members));
            }
            Err(failed) => {
                ended("list", self.discovery, failed.reason, failed.detail);
                self.tell(Event::ListFailed);
            }
        }
    }

    /// Ends all connections with their lines, then the program.
    pub async fn end(self: Rc<Self>) {
        for close in std::mem::take(&mut *self.open.borrow_mut()).into_values() {
            let _ = close.send(Reason::Stopping);
        }
        ended("watch", self.relay, Reason::Stopping, "");
        tokio::task::yield_now().await;
        std::process::exit(0);
    }

    pub fn room(&self) -> Room {
        self.room.clone()
    }

    pub fn status(&self) -> Status {
        self.state.borrow().status()
    }

    pub fn open(self: &Rc<Self>) -> (u64, oneshot::Receiver<Reason>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let (close, closed) = oneshot::channel();
        self.open.borrow_mut().insert(id, close);
        self.tell(Event::Opened(id));
        (id, closed)
    }

    pub fn closed(self: &Rc<Self>, id: u64) {
        self.open.borrow_mut().remove(&id);
        self.tell(Event::Ended(id));
    }
}
