//! Control plane and directory server of the core: beats, configuration, evacuations, placement, tables to edges.

mod agree;
mod control;
mod custody;
mod directory;
mod edges;
mod members;
mod peers;
mod port;
mod serve;
mod start;
mod tick;

use std::process::ExitCode;

fn main() -> ExitCode {
    match start::read().and_then(serve::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("lynxmill-control-plane: {fault}");
            ExitCode::from(2)
        }
    }
}
