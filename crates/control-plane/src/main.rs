//! Control plane and directory server of the core: sockets, threads, disk and clock around a `ControlNode`,
//! which decides everything.

mod connections;
mod control;
mod directory;
mod edge_streams;
mod error;
mod host;
mod http_server;
mod outbox;
mod peers;
mod serve;
mod shutdown;
mod start;
mod writer;

use std::process::ExitCode;

fn main() -> ExitCode {
    match start::read().and_then(serve::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lynxmill-control-plane: {error}");
            ExitCode::from(2)
        }
    }
}
