//! Files that operators write: every fault is told, and what a change would do.

use lynxmill_operator::plan::{plan, read_configuration};
use lynxmill_operator::{check, configuration};
use rstest::rstest;
use serde_json::{Value, json};

const DEPLOY: &str = include_str!("../../../deploy/system.toml");
const SETTINGS: &str = r#"
NodeName: core-1
Serves: [control, directory]
Ip: 127.0.0.1
Zone: north
Zones: {north: vale}
ListenAddrs: {Control: "127.0.0.1:8146", Directory: "127.0.0.1:8147"}
InternalPorts: [7660, 7675]
SeedNodes: ["127.0.0.1:8146"]
DataPath: /data
BeatIntervalS: 1.5
NotKnown: 1
"#;

#[test]
fn sound_files_have_no_faults() {
    assert_eq!(check::deploy(DEPLOY), [""; 0]);
    assert_eq!(check::settings(SETTINGS), [""; 0]);
    assert_eq!(check::configuration(&configuration().to_string()), [""; 0]);
    // As it is read back.
    assert_eq!(
        check::configuration(&configuration()["Upsert"].to_string()),
        [""; 0]
    );
}

#[rstest]
#[case(
    "share = 1.0",
    "share = 1.5",
    "role control-plane: share is not over 0 and up to 1"
)]
#[case(
    "share = 1.0",
    "count = 0",
    "role control-plane: count is no whole number above 0"
)]
#[case(
    "share = 1.0",
    "",
    "role control-plane: neither share nor count is given"
)]
#[case(
    "run = \"target",
    "run = \"env target",
    "role control-plane: run uses the helper env; a program is started by itself"
)]
#[case(
    "on = \"core\"",
    "on = \"edge\"\nfoo = 1",
    "role control-plane: foo is not known"
)]
#[case("\"directory\"", "\"control\"", "no role serves directory")]
#[case("build = ", "make = ", "build is missing or empty")]
#[case("packages = [", "packages = [1, ", "packages is not a list of names")]
#[case("packages = [", "package = [", "package is not known")]
fn a_fault_of_a_deploy_file_is_told(#[case] from: &str, #[case] to: &str, #[case] fault: &str) {
    let faults = check::deploy(&DEPLOY.replacen(from, to, 1));
    assert!(faults.iter().any(|told| told == fault), "{faults:?}");
}

#[test]
fn all_faults_of_a_file_are_told_at_once() {
    let two = DEPLOY.replace("share = 1.0", "share = 2.0");
    assert_eq!(check::deploy(&two).len(), 2, "{:?}", check::deploy(&two));
    let settings = SETTINGS
        .replace("Zone: north", "Zone: west")
        .replace("DataPath: /data", "")
        .replace("[7660, 7675]", "[7660]")
        .replace("8147", "none");
    let told = check::settings(&settings);
    let wanted = [
        "Zone is not among Zones",
        "ListenAddrs.Directory is no IPv4 address with a port: 127.0.0.1:none",
        "DataPath is missing: the control state needs a disk",
        "InternalPorts leave fewer than the two ports that members listen on",
    ];
    assert_eq!(told, wanted);
}

/// The first configuration with one route changed.
fn with(change: impl Fn(&mut Value)) -> Value {
    let mut call = configuration();
    change(&mut call["Upsert"]["Routes"][0]);
    call
}

#[rstest]
#[case("TimeoutS", json!(0), "route r-read: TimeoutS is not above 0")]
#[case("TargetS", json!(65.0), "route r-read: TargetS is a minute or more above TimeoutS")]
#[case("MaxAttempts", json!(0), "route r-read: MaxAttempts is 0")]
#[case("Host", json!(""), "route r-read: Host is empty")]
#[case("Service", json!("gone"), "route r-read names service gone, which is not known")]
#[case("PathPrefix", json!("/order/"), "routes r-order and r-read have the same host and prefix")]
#[case("Version", json!("later"), "r/r-read: no Version of hexadecimal digits")]
fn a_fault_of_a_configuration_is_told(
    #[case] field: &str,
    #[case] value: Value,
    #[case] fault: &str,
) {
    let call = with(|route| route[field] = value.clone());
    assert_eq!(check::configuration(&call.to_string()), [fault]);
}

#[test]
fn faults_of_many_items_are_all_told() {
    let mut call = configuration();
    let routes = &mut call["Upsert"]["Routes"];
    (
        routes[0]["TimeoutS"],
        routes[1]["Service"],
        routes[2]["Service"],
    ) = (json!(0), json!("a"), json!("b"));
    call["Upset"] = json!({});
    let told = check::configuration(&call.to_string());
    assert_eq!(told.len(), 4, "{told:?}");
    assert_eq!(check::configuration("{\"Upsert\":").len(), 1);
    assert_eq!(check::configuration("[]").len(), 1);
}

#[test]
fn a_plan_tells_what_is_set_dropped_and_left() {
    let held = read_configuration(&configuration()).expect("a sound configuration");
    let mut routes = configuration()["Upsert"]["Routes"].clone();
    (routes[0]["TimeoutS"], routes[0]["Version"]) = (json!(7.0), json!("00000005"));
    (routes[1]["Name"], routes[1]["PathPrefix"]) = (json!("r-new"), json!("/new/"));
    (routes[2]["TimeoutS"], routes[2]["Version"]) = (json!(9.0), json!("00000000"));
    let rows = json!([routes[0], routes[1], routes[2], routes[3]]);
    let drops = json!([{"Name": "r-keyed", "Version": "00000002"}, {"Name": "r-none", "Version": "00000002"}]);
    let plan = plan(
        &held,
        &json!({"Upsert": {"Routes": rows}, "Remove": {"Routes": drops}}),
    );
    assert_eq!(
        plan.set,
        [
            "route r-read: version 00000001 -> 00000005, TimeoutS: 5.0 -> 7.0",
            "route r-new: new, version 00000001"
        ]
    );
    assert_eq!(plan.dropped, ["route r-keyed: version 00000002"]);
    assert_eq!(
        plan.left,
        [
            "route r-upload: version 00000000 is overtaken by 00000001",
            "route r-split: version 00000001 stands as it is",
            "route r-none: nothing to drop",
        ]
    );
    // A route, three services and the limits.
    assert_eq!((plan.untouched, plan.refused.len()), (5, 0), "{plan:?}");
}

#[test]
fn a_plan_tells_why_a_change_would_be_refused() {
    let held = read_configuration(&configuration()).expect("a sound configuration");
    // The services that it goes to are those that stand.
    let drop = json!({"Remove": {"Services": [{"Name": "mill-next", "Version": "00000002"}]}});
    let refused = plan(&held, &drop).refused;
    assert_eq!(
        refused,
        ["route r-split names service mill-next, which is not known"]
    );
    assert!(
        plan(&held, &drop)
            .render()
            .contains("it would be refused whole: route r-split")
    );
}
