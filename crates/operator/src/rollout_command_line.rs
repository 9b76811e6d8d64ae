//! The words of `lynxmill system rollout`.

use std::ffi::OsString;
use std::time::Duration;

use crate::command_line::{DONE, FAILED, REFUSED, WRONG_LINE};
use crate::rollout::{self, RolloutError, RolloutStatus};

xflags::xflags! {
    /// Brings new versions of services in.
    cmd rollout {
        /// Orders that a service's traffic move to a version within a term.
        cmd start {
            /// Control addresses of members, separated by commas.
            required controls: String
            required service: String
            required version: String
            /// The term; 600 without it.
            optional --seconds seconds: f64
            /// Follows it to its end.
            optional --watch
        }
        /// How far the newest rollout of a service is.
        cmd show {
            /// Control addresses of members, separated by commas.
            required controls: String
            required service: String
        }
        /// Follows a rollout to its end; fails if the version is taken back.
        cmd watch {
            /// Control addresses of members, separated by commas.
            required controls: String
            required service: String
            required version: String
        }
    }
}

const DEFAULT_TERM_S: f64 = 600.0;

fn addresses(list: &str) -> Vec<String> {
    let addresses = list.split(',').map(str::trim);
    addresses
        .filter(|address| !address.is_empty())
        .map(str::to_owned)
        .collect()
}

fn tell(service: &str, status: &RolloutStatus) {
    println!("{service} to {}: {}", status.version, status.state);
}

fn watch(controls: &[String], service: &str, version: &str) -> Result<u8, RolloutError> {
    let completed = rollout::watch(controls, service, version, |status| tell(service, status))?;
    Ok(if completed { DONE } else { FAILED })
}

fn start(options: &Start) -> Result<u8, RolloutError> {
    let term_s = options.seconds.unwrap_or(DEFAULT_TERM_S);
    let Ok(term) = Duration::try_from_secs_f64(term_s) else {
        eprintln!("lynxmill system rollout: the term has to be a positive number of seconds");
        return Ok(WRONG_LINE);
    };
    let controls = addresses(&options.controls);
    rollout::start(&controls, &options.service, &options.version, term)?;
    println!("{} to {}: ordered", options.service, options.version);
    if options.watch {
        return watch(&controls, &options.service, &options.version);
    }
    Ok(DONE)
}

/// Carries out the words; the exit code.
pub(crate) fn run(words: Vec<OsString>) -> u8 {
    let rollout = match Rollout::from_vec(words) {
        Ok(rollout) => rollout,
        Err(error) => error.exit(),
    };
    let done = match rollout.subcommand {
        RolloutCmd::Start(options) => start(&options),
        RolloutCmd::Show(options) => {
            let status = rollout::status(&addresses(&options.controls), &options.service);
            status.map(|status| {
                tell(&options.service, &status);
                DONE
            })
        }
        RolloutCmd::Watch(options) => {
            let controls = addresses(&options.controls);
            watch(&controls, &options.service, &options.version)
        }
    };
    done.unwrap_or_else(|error| {
        eprintln!("lynxmill system rollout: {error}");
        match error {
            RolloutError::Refused(..) => REFUSED,
            _ => FAILED,
        }
    })
}
