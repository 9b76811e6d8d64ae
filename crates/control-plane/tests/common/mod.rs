//! A system of real processes, as most tests begin with.

use std::path::Path;
use std::time::Duration;

use lynxmill_operator::{Deployment, configuration};

/// Until what has to come about has.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// Where the programs are.
fn programs() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_lynxmill-control-plane"))
        .parent()
        .expect("a folder")
}

/// A system whose first configuration is acknowledged.
pub(crate) fn configured() -> Deployment {
    let mut system = Deployment::start(programs()).expect("the system starts");
    let (by, answer) = system
        .configure(&configuration(), PATIENCE)
        .expect("an answer");
    assert_eq!(answer.status, 200, "{by}: {}", answer.body);
    system
}
