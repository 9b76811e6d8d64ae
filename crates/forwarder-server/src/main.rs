//! `lynxforward`: an HTTP/1.1 forwarder that follows the published tables. One thread reads, decides and writes; many
//! copies run beside each other.

mod app;
mod back;
mod front;
mod invoke;
mod keep;
mod start;
mod status;

use std::process::ExitCode;
use std::rc::Rc;

use actix_rt::signal::unix::{SignalKind, signal};
use lynxmill_time::TimeDelta;

use app::App;
use start::{Clock, File};

fn main() -> ExitCode {
    let filter = env_logger::Env::default().default_filter_or("info,actix_http=off");
    env_logger::Builder::from_env(filter)
        .format_key_values(|_, _| Ok(()))
        .init();
    let path = match std::env::args().collect::<Vec<_>>().as_slice() {
        [_, path] if !path.starts_with('-') => path.clone(),
        _ => {
            eprintln!("usage: lynxforward FILE");
            return ExitCode::FAILURE;
        }
    };
    let served = File::read(&path).and_then(|file| {
        actix_rt::System::new()
            .block_on(run(Clock::start(), file))
            .map_err(|e| e.to_string())
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(fail) => {
            eprintln!("lynxforward: {fail}");
            ExitCode::FAILURE
        }
    }
}

async fn run(clock: Clock, file: File) -> std::io::Result<()> {
    let mut terms = signal(SignalKind::terminate())?;
    let listener = front::listen(file.wish.listen, file.wish.shared_port)?;
    let told = file
        .wish
        .status
        .map(|at| front::listen(at, false))
        .transpose()?;
    let app = App::new(clock, file);
    keep::tables(&app);
    actix_rt::spawn(keep::book(app.clone()));
    actix_rt::spawn(keep::reports(app.clone()));
    if let Some(told) = told {
        log::info!("status at {}", told.local_addr()?);
        actix_rt::spawn(status::serve(app.clone(), told));
    }
    let sweeps = app.clone();
    actix_rt::spawn(async move {
        loop {
            tokio::time::sleep(sweeps.sweeps()).await;
            sweeps.sweep();
        }
    });
    let ends = app.clone();
    actix_rt::spawn(async move {
        terms.recv().await;
        let now = ends.now();
        ends.gate
            .borrow_mut()
            .end_by(now, now + TimeDelta::from_secs(ends.wish.drain_s));
        log::info!("ends, with {} connections", ends.gate.borrow().inside());
        ends.ending.cancel();
    });
    log::info!("{} listens on {}", app.wish.name, listener.local_addr()?);
    let served = front::serve(Rc::clone(&app), listener).await;
    if let Some(member) = app.member.take() {
        member.kill();
    }
    served
}
