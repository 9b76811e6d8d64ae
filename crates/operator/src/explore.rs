//! `lynxmill system explore`: many seeds of faults against nodes of the control plane, and what breaks made
//! shorter.

use lynxmill_simulator::{
    Exploration, FaultKind, Found, Plan, Progress, RunOptions, Sabotage, explore, run as play,
    shrink,
};

const SEEDS: u64 = 1000;
/// After so many seeds that break an invariant, the rest is not played.
const MOST_FOUND: usize = 20;

/// What is to be played.
pub(crate) struct ExploreOptions {
    pub seed: Option<u64>,
    pub seeds: Option<u64>,
    pub faults: Option<String>,
    pub jobs: Option<usize>,
    pub bug: Option<String>,
    pub replay: bool,
    /// No clock creeps: plans are as they were before clocks did.
    pub steady_clocks: bool,
    /// No versions of services are brought in: plans are as they were before there were rollouts.
    pub no_rollouts: bool,
    /// Prints a digest of all that nodes did.
    pub digest: bool,
}

fn kinds(names: Option<&str>) -> Result<Vec<FaultKind>, String> {
    let names = names
        .unwrap_or_default()
        .split(',')
        .map(str::trim)
        .filter(|name| !name.is_empty());
    names.map(str::parse).collect()
}

fn exploration(options: &ExploreOptions) -> Result<Exploration, String> {
    let sabotage = options
        .bug
        .as_deref()
        .map(str::parse::<Sabotage>)
        .transpose()?;
    let cores = || std::thread::available_parallelism().map_or(1, usize::from);
    Ok(Exploration {
        first: options.seed.unwrap_or(1),
        seeds: options
            .seeds
            .unwrap_or(if options.seed.is_some() { 1 } else { SEEDS }),
        jobs: options.jobs.unwrap_or_else(cores),
        kinds: kinds(options.faults.as_deref())?,
        options: RunOptions {
            trace: false,
            sabotage,
            digest: options.digest,
            sign_offs_first: true,
            late_orders: true,
            rollouts: !options.no_rollouts,
        },
        clock_faults: !options.steady_clocks,
        most_found: MOST_FOUND,
    })
}

fn progress_line(progress: &Progress) -> String {
    format!(
        "{} seeds, {:.1} a second, {:.0} simulated hours an hour, {} broke an invariant",
        progress.seeds,
        progress.seeds_per_s(),
        progress.hours_per_hour(),
        progress.found
    )
}

/// The steps of a plan, one a line.
fn replay(plan: &Plan, options: &RunOptions) {
    let report = play(
        plan,
        &RunOptions {
            trace: true,
            ..options.clone()
        },
    );
    report.trace.iter().for_each(|line| println!("{line}"));
}

fn show(found: &Found, options: &RunOptions, steps: bool) {
    println!(
        "seed {} at {:.3} s: {}",
        found.plan.seed,
        found.at.secs(),
        found.violation
    );
    let plan = shrink(&found.plan, options);
    println!("the shortest plan found that breaks the same:\n{plan}");
    if steps {
        replay(&plan, options);
    }
}

/// Plays the seeds; whether all invariants held.
pub(crate) fn run(options: &ExploreOptions) -> Result<bool, String> {
    let exploration = exploration(options)?;
    if exploration.seeds == 1 && options.replay {
        let plan = Plan::drawn(exploration.first, &exploration.kinds);
        println!("{plan}");
        if play(&plan, &exploration.options).violation.is_none() {
            replay(&plan, &exploration.options);
        }
    }
    let (found, end) = explore(&exploration, |progress| {
        eprintln!("{}", progress_line(&progress))
    });
    // Of each invariant that broke, one seed is made shorter.
    let mut shown = Vec::new();
    for one in &found {
        if shown.contains(&one.violation.kind()) {
            println!(
                "seed {} at {:.3} s: {}",
                one.plan.seed,
                one.at.secs(),
                one.violation
            );
        } else {
            shown.push(one.violation.kind());
            show(one, &exploration.options, options.replay);
        }
    }
    println!("{}", progress_line(&end));
    if options.digest {
        println!("digest {:032x}", end.digest);
    }
    Ok(found.is_empty())
}
