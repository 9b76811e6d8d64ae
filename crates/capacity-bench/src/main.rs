//! Benchmark runner: `capacity-bench libraries` and `capacity-bench hollow`.

// Not yet documented and split as the workspace lints ask: see docs/ROADMAP.md.
#![allow(missing_docs)]

use std::process::ExitCode;

use lynxmill_capacity_bench::{ballots, heap::Counting, hollow, routes, slices, tasks};

#[global_allocator]
static HEAP: Counting = Counting;

xflags::xflags! {
    /// Measures what the control plane costs at several sizes.
    cmd capacity-bench {
        /// Times the libraries, counts their memory and the bytes of their messages.
        cmd libraries {
            /// Runs of each measure; 30 if not told.
            optional --runs runs: usize
            /// Only series whose names begin so: tasks, choice, routes, slices, ballots, disk.
            optional --only only: String
        }
        /// Starts three members of the core on loopback and lets hollow edges and tasks at them.
        cmd hollow {
            optional --edges edges: usize
            optional --tasks tasks: usize
            optional --services services: usize
            optional --sharded sharded: usize
            optional --routes routes: usize
            /// Lines of an edge's report of each second.
            optional --rows rows: usize
            /// Seconds that are measured.
            optional --seconds seconds: f64
        }
    }
}

/// A name, and what measures it in so many runs.
type Series = (&'static str, fn(usize));

fn main() -> ExitCode {
    let done = match CapacityBench::from_env_or_exit().subcommand {
        CapacityBenchCmd::Libraries(flags) => {
            let (runs, only) = (
                flags.runs.unwrap_or(30).max(3),
                flags.only.unwrap_or_default(),
            );
            let all: [Series; 6] = [
                ("tasks", tasks::run),
                ("choice", tasks::choice),
                ("routes", routes::run),
                ("slices", slices::run),
                ("ballots", ballots::run),
                ("disk", ballots::disk),
            ];
            all.iter()
                .filter(|(name, _)| name.starts_with(&only))
                .for_each(|(_, run)| run(runs));
            Ok(())
        }
        CapacityBenchCmd::Hollow(flags) => {
            let load = hollow::Load {
                edges: flags.edges.unwrap_or(12).min(1_000),
                tasks: flags.tasks.unwrap_or(40).min(4_000),
                services: flags.services.unwrap_or(200).clamp(1, 400),
                sharded: flags.sharded.unwrap_or(2),
                routes: flags.routes.unwrap_or(200).min(3_000),
                rows: flags.rows.unwrap_or(40),
                seconds: flags.seconds.unwrap_or(8.0).clamp(1.0, 60.0),
            };
            hollow::run(&load)
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("capacity-bench: {fault}");
            ExitCode::FAILURE
        }
    }
}
