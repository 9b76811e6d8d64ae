//! The words of `lynxmill system`.

use std::ffi::OsString;
use std::path::PathBuf;

use crate::{check, disk_command_line, explore, plan, rollout_command_line, show, soak, trial};

xflags::xflags! {
    /// The whole system: files checked, programs shown, changes planned, all of it tried on loopback.
    cmd system {
        /// Tells every fault of deploy files (.toml), settings files (.yaml) and configurations (.json).
        cmd check {
            repeated files: PathBuf
        }
        /// What a running program has counted and its state, from its control or readiness address.
        cmd show {
            required address: String
        }
        /// What a configuration would set, drop and leave, and whether it would be refused.
        cmd plan {
            /// What is in force: a file, or the control address of a running program.
            required current: String
            /// The change: a call's body, or a configuration as it is read back.
            required next: PathBuf
        }
        /// Starts a small system on loopback, sends requests of each kind and keeps serving until Ctrl-C.
        cmd try {
            /// Ends after so many seconds; `--for` says the same.
            optional --seconds seconds: u64
            /// Where lynxmill-control-plane and lynxmill-edge-proxy are; without it beside this program.
            optional --programs folder: PathBuf
            /// Leaves settings files, disks and logs where they are.
            optional --keep
        }
        /// Plays nodes of the control plane under seeded faults; a seed that breaks an invariant is made
        /// shorter.
        cmd explore {
            /// The first seed; 1 without it.
            optional --seed number: u64
            /// How many seeds are played; one where `--seed` stands alone, else 1000.
            optional --seeds count: u64
            /// Only these faults, by name and separated by commas.
            optional --fault names: String
            /// Seeds that are played at once; as many as there are cores without it.
            optional --jobs count: usize
            /// A bug put in on purpose, to see that it is found.
            optional --bug name: String
            /// Prints every step of the shortened plan, or of the one seed.
            optional --replay
            /// No clock creeps: with it a seed is as it was before the simulator had creeping clocks.
            optional --steady-clocks
            /// No versions of services are brought in: with it a seed is as it was before there were rollouts.
            optional --no-rollouts
            /// Prints a digest of all that nodes did: two builds with one digest behave alike.
            optional --digest
        }
        /// Runs a system on loopback whose processes are signalled, killed and started again while clients use it, and
        /// checks every rule.
        cmd soak {
            /// The first seed; 1 without it.
            optional --seed number: u64
            /// How many seeds are run, one after the other; one without it.
            optional --seeds count: u64
            /// Size, load and doses, as TOML; see docs/operations/soak.md.
            optional --settings file: PathBuf
            /// How long clients send in each; as the settings say without it.
            optional --seconds seconds: f64
            /// Where lynxmill-control-plane and lynxmill-edge-proxy are; without it beside this program.
            optional --programs folder: PathBuf
            /// Writes all reports to a file, as JSON.
            optional --report file: PathBuf
            /// Draws the latencies of each seed over time into a folder, as seed-N.svg.
            optional --plots folder: PathBuf
            /// Leaves settings files, disks and logs where they are.
            optional --keep
            /// Looks for a shorter schedule that breaks the same rule, at the first seed that breaks one; takes long.
            optional --shrink
        }
        /// Versions of services: start, show, watch; `rollout --help` tells of each.
        cmd rollout {
            repeated words: OsString
        }
        /// A control-plane node's disk: show, verify, export, import; `disk --help` tells of each.
        cmd disk {
            repeated words: OsString
        }
    }
}

/// Nothing to complain of.
pub(crate) const DONE: u8 = 0;
pub(crate) const FAILED: u8 = 1;
pub(crate) const WRONG_LINE: u8 = 2;
/// A file has faults.
pub(crate) const FAULTS: u8 = 4;
/// The change would be refused.
pub(crate) const REFUSED: u8 = 6;
/// A plan of a recovery was printed, and nothing written.
pub(crate) const LOSS_NOT_ACCEPTED: u8 = 8;

fn checked(files: &[PathBuf]) -> u8 {
    if files.is_empty() {
        eprintln!("lynxmill system check: no file is named");
        return WRONG_LINE;
    }
    let mut code = DONE;
    for file in files {
        let faults = check::file(file);
        if faults.is_empty() {
            println!("{}: right", file.display());
        }
        for error in faults {
            println!("{}: {error}", file.display());
            code = FAULTS;
        }
    }
    code
}

/// Carries out the words; the exit code.
pub fn run(words: Vec<OsString>) -> u8 {
    // The parser makes a field of each flag, and `for` can be none.
    let words = words.into_iter().map(|word| {
        if word == "--for" {
            "--seconds".into()
        } else {
            word
        }
    });
    let words: Vec<OsString> = words.collect();
    // Its commands have names that are taken here, so that it needs a parser of its own.
    if words.first().is_some_and(|word| word == "disk") {
        return disk_command_line::run(words[1..].to_vec());
    }
    if words.first().is_some_and(|word| word == "rollout") {
        return rollout_command_line::run(words[1..].to_vec());
    }
    let system = match System::from_vec(words) {
        Ok(system) => system,
        Err(error) => error.exit(),
    };
    let done = match system.subcommand {
        SystemCmd::Check(options) => Ok(checked(&options.files)),
        SystemCmd::Show(options) => show::run(&options.address).map(|()| DONE),
        SystemCmd::Plan(options) => {
            plan::run(&options.current, &options.next).map(|taken| match taken {
                true => DONE,
                false => REFUSED,
            })
        }
        SystemCmd::Explore(options) => {
            let options = explore::ExploreOptions {
                seed: options.seed,
                seeds: options.seeds,
                faults: options.fault,
                jobs: options.jobs,
                bug: options.bug,
                replay: options.replay,
                steady_clocks: options.steady_clocks,
                no_rollouts: options.no_rollouts,
                digest: options.digest,
            };
            explore::run(&options).map(|held| if held { DONE } else { FAILED })
        }
        SystemCmd::Soak(options) => {
            let options = soak::SoakOptions {
                first_seed: options.seed.unwrap_or(1),
                seeds: options.seeds.unwrap_or(1),
                settings: options.settings,
                seconds: options.seconds,
                programs: options.programs,
                report: options.report,
                keep: options.keep,
                plots: options.plots,
                shrink: options.shrink,
            };
            soak::run(&options).map(|held| if held { DONE } else { FAILED })
        }
        SystemCmd::Rollout(options) => return rollout_command_line::run(options.words),
        SystemCmd::Disk(options) => return disk_command_line::run(options.words),
        SystemCmd::Try(options) => {
            trial::run(options.seconds, options.programs, options.keep).map(|()| DONE)
        }
    };
    done.unwrap_or_else(|error| {
        eprintln!("lynxmill system: {error}");
        FAILED
    })
}
