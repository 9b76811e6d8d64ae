//! lynxmilld: the assigner on real sockets. One thread reads, decides and writes; actix-server's accept thread
//! only hands connections over.

mod accept;
mod close;
mod discovery;
mod encode;
mod hub;
mod reduce;
mod relay;
mod resp;
mod start;

use std::process::ExitCode;
use std::sync::{Arc, Mutex};

use actix_rt::signal::unix::{SignalKind, signal};
use actix_server::Server;
use actix_service::{fn_factory, fn_service};

use hub::Hub;
use start::Clock;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    // A panic must not leave half a program serving: it ends, and whoever started it sees so.
    std::panic::set_hook(Box::new(|panic| {
        log::error!("{panic}");
        std::process::abort();
    }));
    let clock = Clock::start();
    let start = match start::read() {
        Ok(start) => start,
        Err(fail) => {
            eprintln!("lynxmilld: {fail}");
            return ExitCode::FAILURE;
        }
    };
    match actix_rt::System::new().block_on(run(clock, start)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fail) => {
            eprintln!("lynxmilld: {fail}");
            ExitCode::FAILURE
        }
    }
}

async fn run(clock: Clock, start: start::Start) -> std::io::Result<()> {
    for kind in [SignalKind::terminate(), SignalKind::interrupt()] {
        let mut told = signal(kind)?;
        actix_rt::spawn(async move {
            told.recv().await;
            log::info!("told to end");
            std::process::exit(0);
        });
    }
    let (listen, sockets) = (start.listen, start.sockets);
    log::info!("{} listens on {listen}", start.name);
    // The one worker starts the hub, and everything else happens on its thread.
    let start = Arc::new(Mutex::new(Some(start)));
    let factory = move || {
        let start = start.clone();
        fn_factory(move || {
            let start = start.lock().ok().and_then(|mut start| start.take());
            let hub = start.map(|start| Hub::start(clock, start));
            async move {
                let hub = hub.ok_or(())?;
                Ok::<_, ()>(fn_service(move |stream| {
                    let hub = hub.clone();
                    async move {
                        accept::serve(stream, hub).await;
                        Ok::<_, ()>(())
                    }
                }))
            }
        })
    };
    let server = Server::build().workers(1).disable_signals().max_concurrent_connections(sockets);
    server.bind("assigner", listen, factory)?.run().await
}
