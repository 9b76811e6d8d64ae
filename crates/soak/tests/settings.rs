//! Settings files and the schedules that are drawn by them.

use lynxmill_deployment::{Machine, Site, Size};
use lynxmill_soak::schedule::{Disruption, Planned, draw};
use lynxmill_soak::settings::{SoakSettings, parse};
use rstest::rstest;

#[rstest]
#[case::unknown_field("seconds = 10\nmembres = 3\n", 2, 1, "membres")]
#[case::unknown_dose(
    "[doses]\nedge_terminate = 1\nedge_explode = 1\n",
    3,
    1,
    "edge_explode"
)]
#[case::too_often("[doses]\nedge_kill = 500.0\n", 2, 13, "500")]
#[case::too_few_members("members = 1\n", 1, 11, "1 is not within 3 to 9")]
#[case::too_long("seconds = 1e9\n", 1, 11, "seconds")]
#[case::no_toml("seconds = \n", 1, 11, "")]
fn a_fault_is_told_by_line_and_column(
    #[case] text: &str,
    #[case] line: usize,
    #[case] column: usize,
    #[case] word: &str,
) {
    let error = parse(text).unwrap_err();
    assert_eq!((error.line, error.column), (line, column), "{error}");
    assert!(error.message.contains(word), "{error}");
}

#[test]
fn what_is_left_out_is_as_it_was() {
    assert_eq!(parse(""), Ok(SoakSettings::default()));
    let told = parse("clients = 100\n[doses]\ntask_crash = 0.0\n").unwrap();
    assert_eq!(told.clients.0, 100);
    assert_eq!(
        told.doses.edge_kill,
        SoakSettings::default().doses.edge_kill
    );
}

#[test]
fn a_seed_draws_the_same_again_and_another_something_else() {
    let settings = parse("seconds = 120.0").unwrap();
    let first = draw(&settings, 7);
    assert_eq!(first, draw(&settings, 7));
    assert_ne!(first, draw(&settings, 8));
    assert!(first.is_sorted_by(|a, b| a.at_s <= b.at_s));
}

fn machine(planned: &Planned) -> Option<Machine> {
    match planned.disruption {
        Disruption::Terminate(machine)
        | Disruption::Kill(machine)
        | Disruption::Freeze(machine, _)
        | Disruption::HangUp(machine) => Some(machine),
        _ => None,
    }
}

/// More members in trouble at once than the system bears would break rules by themselves.
#[test]
fn one_member_is_in_trouble_at_a_time() {
    let doses = "[doses]\nmember_kill = 60.0\nmember_terminate = 60.0\nmember_freeze = 60.0\n";
    let settings = parse(&format!("seconds = 300.0\n{doses}")).unwrap();
    let members: Vec<f64> = draw(&settings, 3)
        .iter()
        .filter(|planned| matches!(machine(planned), Some(Machine::Member(_))))
        .map(|planned| planned.at_s)
        .collect();
    assert!(members.len() > 20);
    assert!(members.windows(2).all(|pair| pair[1] - pair[0] >= 9.0));
}

/// Guards against a size that the settings allow and for which there are no addresses.
#[test]
fn the_largest_system_has_addresses() {
    let settings = parse("members = 9\nedges = 60\ntasks = 60\n").unwrap();
    let size = Size {
        members: settings.members.0,
        edges: settings.edges.0,
    };
    let site = Site::free(size).unwrap();
    let machines = size.machines().map(|machine| site.machine(machine));
    let tasks = (0..settings.tasks.0 * 3).map(|n| site.task(n));
    let parses = |address: String| address.parse::<std::net::Ipv4Addr>().is_ok();
    assert!(machines.chain(tasks).all(parses));
}
