//! Stands in for a key-value registry: one revisioned store with history, spelled in two published protocols, that
//! misbehaves by chance from a seed.

mod consul;
mod etcd;
mod store;

use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::{Request, Response, StatusCode};
use actix_server::{Server, ServerHandle};
use bytes::Bytes;
use futures_util::stream;
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use crate::serve::{body, hang_up, http};

pub use store::{Guard, Kv, Operation, Store};

/// How often, as shares of requests or lines, what goes wrong; all by chance from the seed.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub seed: u64,
    /// A request breaks off before it is carried out, or after.
    pub lose_request: f64,
    pub lose_answer: f64,
    /// A watch breaks off in the middle of a line, or falls silent.
    pub break_watch: f64,
    pub mute_watch: f64,
    /// A line of a watch comes twice.
    pub repeat: f64,
    /// A request is held for up to so long.
    pub delay: Duration,
    /// A change is followed by a compaction of all before.
    pub compact: f64,
    /// A page is answered as it stood some revisions ago.
    pub stale: f64,
}

/// A small permuted generator: this package knows nothing of the module.
struct Generator(u64);

impl Generator {
    fn unit(&mut self) -> f64 {
        let old = self.0;
        self.0 = old
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let mixed = ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32);
        f64::from(mixed) / 4_294_967_296.0
    }
}

struct Shared {
    store: Mutex<Store>,
    changed: Notify,
    draws: Mutex<Generator>,
    faults: Mutex<Faults>,
    /// Out of reach: nothing is answered.
    silent: Mutex<bool>,
    watches: Mutex<Vec<UnboundedSender<std::io::Error>>>,
}

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn draw(&self) -> f64 {
        locked(&self.draws).unit()
    }

    fn strikes(&self, share: impl Fn(&Faults) -> f64) -> bool {
        let share = share(&locked(&self.faults));
        share > 0.0 && self.draw() < share
    }

    fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        let (result, compacted) = {
            let mut store = locked(&self.store);
            let before = store.revision;
            let result = change(&mut store);
            let grown = store.revision > before;
            (result, grown && self.strikes(|faults| faults.compact))
        };
        if compacted {
            let mut store = locked(&self.store);
            let at = store.revision;
            store.compact(at);
        }
        self.changed.notify_waiters();
        result
    }
}

/// What a handler makes of a request.
enum Reply {
    Whole(u16, Option<u64>, String),
    Stream(etcd::Watch),
}

pub struct Registry {
    shared: Arc<Shared>,
    served: ServerHandle,
    pub at: SocketAddr,
}

impl Registry {
    /// Serves both protocols at one address, on a thread of its own until the program ends.
    pub fn start(faults: Faults) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let at = listener.local_addr()?;
        let shared = Arc::new(Shared {
            store: Mutex::new(Store::default()),
            changed: Notify::new(),
            draws: Mutex::new(Generator(faults.seed.wrapping_mul(2) | 1)),
            faults: Mutex::new(faults),
            silent: Mutex::new(false),
            watches: Mutex::default(),
        });
        let (tell, told) = std::sync::mpsc::channel();
        let serving = shared.clone();
        std::thread::spawn(move || run(&serving, listener, &tell));
        let served = told.recv().map_err(std::io::Error::other)?;
        Ok(Registry { shared, served, at })
    }

    pub fn store(&self) -> MutexGuard<'_, Store> {
        locked(&self.shared.store)
    }

    /// Changes what stands, as a client of its own would.
    pub fn change<T>(&self, change: impl FnOnce(&mut Store) -> T) -> T {
        self.shared.change(change)
    }

    pub fn faults(&self, faults: Faults) {
        *locked(&self.shared.faults) = faults;
    }

    /// Breaks all watches off.
    pub fn break_watches(&self) {
        for watch in locked(&self.shared.watches).drain(..) {
            let _ = watch.send(std::io::ErrorKind::ConnectionReset.into());
        }
    }

    /// Out of reach: requests are taken and never answered.
    pub fn silence(&self, silent: bool) {
        *locked(&self.shared.silent) = silent;
        if silent {
            return;
        }
        self.break_watches();
    }

    pub fn close(&self) {
        drop(self.served.stop(false));
    }
}

fn run(shared: &Arc<Shared>, listener: TcpListener, tell: &std::sync::mpsc::Sender<ServerHandle>) {
    let serving = actix_rt::System::new().block_on(async {
        let expiring = shared.clone();
        actix_rt::spawn(async move {
            loop {
                actix_rt::time::sleep(Duration::from_millis(20)).await;
                if locked(&expiring.store).due() {
                    expiring.change(Store::expire);
                }
            }
        });
        let server = Server::build().workers(1).disable_signals();
        let server = server
            .listen("registry", listener, http(shared, serve))?
            .run();
        let _ = tell.send(server.handle());
        server.await
    });
    if let Err(fail) = serving {
        eprintln!("stand-in registry: {fail}");
    }
}

async fn serve(shared: Arc<Shared>, mut asked: Request) -> Response<BoxBody> {
    let text = body(&mut asked).await;
    let delay = locked(&shared.faults).delay;
    if !delay.is_zero() {
        let part = shared.draw();
        actix_rt::time::sleep(delay.mul_f64(part)).await;
    }
    if *locked(&shared.silent) {
        return nothing(&shared, &asked).await;
    }
    if shared.strikes(|faults| faults.lose_request) {
        return nothing(&shared, &asked).await;
    }
    let (path, query) = (
        asked.path().to_owned(),
        asked.uri().query().unwrap_or_default().to_owned(),
    );
    let reply = if path.starts_with("/v3/") {
        etcd::answer(&shared, &path, &text)
    } else {
        consul::answer(&shared, asked.method().as_str(), &path, &query, &text).await
    };
    match reply {
        // Silence that began while a request was held.
        _ if *locked(&shared.silent) => nothing(&shared, &asked).await,
        Reply::Stream(watch) => stream_of(&shared, watch),
        Reply::Whole(status, index, text) => {
            if shared.strikes(|faults| faults.lose_answer) {
                return nothing(&shared, &asked).await;
            }
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            let mut answer = Response::build(status);
            if let Some(index) = index {
                answer.insert_header(("X-Consul-Index", index.to_string()));
            }
            answer.body(text).map_into_boxed_body()
        }
    }
}

/// The connection ends without an answer, after the silence where there is one: one that was kept for ever would hold
/// its descriptors for ever.
async fn nothing(shared: &Shared, asked: &Request) -> Response<BoxBody> {
    while *locked(&shared.silent) {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    hang_up(asked);
    // Nobody reads it: the connection is shut.
    Response::new(StatusCode::SERVICE_UNAVAILABLE)
}

/// Lines of a watch as the store changes, until it ends by itself or by chance.
fn stream_of(shared: &Arc<Shared>, mut watch: etcd::Watch) -> Response<BoxBody> {
    let (tell, told) = unbounded_channel::<Result<Bytes, std::io::Error>>();
    let (breaks, mut broken) = unbounded_channel();
    locked(&shared.watches).push(breaks);
    let shared = shared.clone();
    actix_rt::spawn(async move {
        let mut mute = false;
        loop {
            let changed = shared.changed.notified();
            let lines = watch.lines(&locked(&shared.store));
            for line in lines {
                mute =
                    mute || *locked(&shared.silent) || shared.strikes(|faults| faults.mute_watch);
                if mute {
                    continue;
                }
                if shared.strikes(|faults| faults.break_watch) {
                    let half = line.len() / 2;
                    let _ = tell.send(Ok(Bytes::copy_from_slice(&line.as_bytes()[..half])));
                    let _ = tell.send(Err(std::io::ErrorKind::ConnectionReset.into()));
                    return;
                }
                let times = if shared.strikes(|faults| faults.repeat) {
                    2
                } else {
                    1
                };
                for _ in 0..times {
                    if tell.send(Ok(Bytes::from(line.clone()))).is_err() {
                        return;
                    }
                }
            }
            if watch.ended {
                return;
            }
            tokio::select! {
                () = changed => {}
                error = broken.recv() => {
                    let _ = tell.send(Err(error.unwrap_or_else(|| std::io::ErrorKind::ConnectionReset.into())));
                    return;
                }
                () = tell.closed() => return,
            }
        }
    });
    let lines = stream::unfold(told, async |mut told| Some((told.recv().await?, told)));
    Response::ok()
        .set_body(BodyStream::new(lines))
        .map_body(|_, body| body.boxed())
}
