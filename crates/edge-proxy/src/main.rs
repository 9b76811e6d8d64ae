//! Reverse proxy of the edge: the program.

use std::process::ExitCode;

use lynxmill_edge_proxy::{server, start};

fn main() -> ExitCode {
    let local = match start::read() {
        Ok(local) => local,
        Err(fault) => {
            eprintln!("lynxmill-edge-proxy: {fault}");
            return ExitCode::from(2);
        }
    };
    // One thread carries all requests: shared state needs no locks, and a wake-up serves many.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    match runtime
        .map(|runtime| runtime.block_on(tokio::task::LocalSet::new().run_until(server::run(local))))
    {
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
