//! Reverse proxy of the edge.

mod app;
mod back;
mod flight;
mod front;
mod ready;
mod reports;
mod start;
mod streams;

use std::process::ExitCode;

fn main() -> ExitCode {
    let local = match start::read() {
        Ok(local) => local,
        Err(fault) => {
            eprintln!("lynxmill-edge-proxy: {fault}");
            return ExitCode::from(2);
        }
    };
    // One thread carries all requests: shared state needs no locks, and a wake-up serves many.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime.map(|runtime| runtime.block_on(tokio::task::LocalSet::new().run_until(front::run(local)))) {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(fault)) => {
            eprintln!("lynxmill-edge-proxy: {fault}");
            ExitCode::FAILURE
        }
        Err(fault) => {
            eprintln!("lynxmill-edge-proxy: {fault}");
            ExitCode::FAILURE
        }
    }
}
