//! Orders to bring a new version of a service in, on real processes.

use std::path::Path;
use std::time::Duration;

use lynxmill_operator::{Deployment, agent, by_following, configuration};

const PATIENCE: Duration = Duration::from_secs(30);
const SERVICE: &str = "mill";
const ORDER: &[u8] = br#"{"Service":"mill","TargetVersion":"v2","DurationS":12}"#;

fn configured() -> Deployment {
    let programs = Path::new(env!("CARGO_BIN_EXE_lynxmill-control-plane"))
        .parent()
        .expect("a folder");
    let mut system = Deployment::start(programs).expect("the system starts");
    let (by, answer) = system
        .configure(&configuration(), PATIENCE)
        .expect("an answer");
    assert_eq!(answer.status, 200, "{by}: {}", answer.body);
    system
}

/// Guards against SHORT: rollouts that no member acknowledged.
#[test]
fn a_rollout_order_is_acknowledged_and_read_back_at_every_member() {
    let system = configured();
    let caller = agent(PATIENCE);
    let first = by_following(
        &caller,
        "POST",
        &system.controls()[0],
        "/v1/rollouts",
        ORDER,
    );
    let first = first.expect("an answer");
    assert_eq!(first.status, 200, "{}", first.body);
    for control in &system.controls() {
        let path = format!("/v1/rollouts/{SERVICE}");
        let answer = by_following(&caller, "GET", control, &path, b"").expect("an answer");
        assert_eq!(answer.status, 200, "{control}: {}", answer.body);
        let state = answer.json().expect("JSON");
        assert_eq!(state["State"], "in_progress", "{control}");
        assert_eq!(state["TargetVersion"], "v2", "{control}");
    }
}
