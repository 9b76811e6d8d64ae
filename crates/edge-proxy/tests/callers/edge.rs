//! The shipping proxy in a thread of its own, as in its program, between sockets on loopback.

use std::collections::{BTreeMap, HashMap};
use std::sync::PoisonError;
use std::thread::JoinHandle;

use lynxmill_configuration::{Bounds, ConfigurationChange, NodeSettings, ResourceLimits};
use lynxmill_edge_proxy::app::App;
use lynxmill_edge_proxy::downstream;
use lynxmill_protocol::Task;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

const CONFIGURATION: &str = r#"{"Upsert":{
 "Routes":[
  {"Name":"get","Host":"h","PathPrefix":"/idempotent/","RouteKind":"idempotent","TimeoutS":0.5,"TargetS":0.2,
   "Service":"s","MaxAttempts":3,"Version":"1"},
  {"Name":"once","Host":"h","PathPrefix":"/non_idempotent/","RouteKind":"non_idempotent","TimeoutS":0.5,
   "TargetS":0.2,"Service":"s","MaxAttempts":3,"Version":"1"},
  {"Name":"upload","Host":"h","PathPrefix":"/upload/","RouteKind":"upload","TimeoutS":0.5,"TargetS":0.2,
   "Service":"s","MaxAttempts":3,"Version":"1"}],
 "Services":[{"Name":"s","HealthPath":"/health","MaxConns":20,"Version":"1"}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":300000,
  "HeaderTimeoutS":1,"IdleTimeoutS":1,"Version":"1"}}}"#;

/// The most tasks that one request may be sent to.
pub(crate) const MOST_ATTEMPTS: usize = 3;
/// A longer body is refused.
pub(crate) const LONGEST_BODY: usize = 300_000;

/// What it counted, by name.
pub(crate) type Counters = BTreeMap<&'static str, u64>;

/// The proxy and how to end it.
pub(crate) struct Edge {
    pub address: String,
    end: oneshot::Sender<()>,
    thread: JoinHandle<Counters>,
}

fn settings() -> NodeSettings {
    NodeSettings {
        node_name: "edge-1".to_owned(),
        zone: "z".to_owned(),
        region: "r".to_owned(),
        zones: HashMap::from([("z".to_owned(), "r".to_owned())]),
        limits: Some(ResourceLimits {
            memory_mb: 400.0,
            ..ResourceLimits::default()
        }),
        bounds: Some(Bounds {
            retry_ratio: 1.0,
            retry_slack: 1e6,
            ..Bounds::default()
        }),
        ..NodeSettings::default()
    }
}

fn configure(app: &App, tasks: &[(String, String)]) {
    for item in ConfigurationChange::read(CONFIGURATION.as_bytes())
        .expect("a configuration")
        .items
    {
        app.configuration.borrow_mut().merge(&item);
    }
    app.is_configured.set(true);
    app.apply_configuration(false);
    for (id, address) in tasks {
        let task = Task {
            id: id.clone(),
            service: "s".to_owned(),
            address: address.clone(),
            zone: "z".to_owned(),
            slots: 64,
            ..Task::default()
        };
        app.load_balancer
            .borrow_mut()
            .update_task(app.now(), "core-1", &task);
    }
}

async fn serve(
    tasks: Vec<(String, String)>,
    told: oneshot::Sender<String>,
    end: oneshot::Receiver<()>,
) -> Counters {
    let app = App::new(settings());
    configure(&app, &tasks);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    told.send(listener.local_addr().expect("an address").to_string())
        .expect("a listener");
    let (_open, ends) = watch::channel(false);
    let accepting = tokio::task::spawn_local(downstream::accept(app.clone(), listener, ends));
    let _ = end.await;
    accepting.abort();
    app.health
        .counters
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone()
}

impl Edge {
    /// Starts it; `tasks` are ids and addresses.
    pub(crate) async fn start(tasks: Vec<(String, String)>) -> Edge {
        let (told, address) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            tokio::task::LocalSet::new().block_on(&runtime, serve(tasks, told, ended))
        });
        Edge {
            address: address.await.expect("an address"),
            end,
            thread,
        }
    }

    /// Ends it; what it counted.
    pub(crate) fn end(self) -> Counters {
        let _ = self.end.send(());
        self.thread.join().expect("an edge that stands")
    }
}
