//! Reverse proxy of the edge: the program.

use std::process::ExitCode;

use lynxmill_edge_proxy::{server, start};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// The exit code of a program that was started wrongly.
const WRONG_START: u8 = 2;

fn failed(error: impl std::fmt::Display, code: ExitCode) -> ExitCode {
    eprintln!("lynxmill-edge-proxy: {error}");
    code
}

fn main() -> ExitCode {
    let settings = match start::read() {
        Ok(settings) => settings,
        Err(error) => return failed(error, ExitCode::from(WRONG_START)),
    };
    // One thread carries all requests: shared state needs no locks, and a wake-up serves many.
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return failed(error, ExitCode::FAILURE),
    };
    match runtime.block_on(LocalSet::new().run_until(server::run(settings))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(error, ExitCode::FAILURE),
    }
}
