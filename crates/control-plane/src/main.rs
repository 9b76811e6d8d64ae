//! Control plane and directory server of the core: sockets, threads, disk and clock around a `ControlNode`,
//! which decides everything.

mod connections;
mod control;
mod directory;
mod edge_streams;
mod error;
mod host;
mod http;
mod outbox;
mod peers;
mod serve;
mod shutdown;
mod signals;
mod start;
mod writer;

use std::process::ExitCode;

use crate::error::ProgramError;
use crate::signals::Signals;

fn run() -> Result<(), ProgramError> {
    let signals = Signals::install()?;
    serve::run(start::read()?, &signals)
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lynxmill-control-plane: {error}");
            ExitCode::from(2)
        }
    }
}
