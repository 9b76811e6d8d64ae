//! Benchmark runner: `capacity-bench libraries`.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(missing_docs)]

use lynxmill_capacity_bench::{ballots, heap::Counting, rollouts, routes, slices, tasks};

#[global_allocator]
static HEAP: Counting = Counting;

xflags::xflags! {
    /// Measures what the control plane costs at several sizes.
    cmd capacity-bench {
        /// Times the libraries, counts their memory and the bytes of their messages.
        cmd libraries {
            /// Runs of each measure; 30 if not told.
            optional --runs runs: usize
            /// Only series whose names begin so: tasks, choice, routes, slices, ballots, rollouts, disk.
            optional --only only: String
        }
    }
}

/// A name, and what measures it in so many runs.
type Series = (&'static str, fn(usize));

/// Runs of each measure, if not told, and at least.
const DEFAULT_RUNS: usize = 30;
const MIN_RUNS: usize = 3;

fn main() {
    let CapacityBenchCmd::Libraries(flags) = CapacityBench::from_env_or_exit().subcommand;
    let runs = flags.runs.unwrap_or(DEFAULT_RUNS).max(MIN_RUNS);
    let only = flags.only.unwrap_or_default();
    let all: [Series; 7] = [
        ("tasks", tasks::run),
        ("choice", tasks::choice),
        ("routes", routes::run),
        ("slices", slices::run),
        ("ballots", ballots::run),
        ("rollouts", rollouts::run),
        ("disk", ballots::disk),
    ];
    all.iter()
        .filter(|(name, _)| name.starts_with(&only))
        .for_each(|(_, run)| run(runs));
}
