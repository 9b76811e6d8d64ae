//! Stand-ins for clients, tasks, the operator and the network, and the scripts of the review that use them.
//! `stand-ins CASE FOLDER`, at the root of the repository; `TROUBLE=0` leaves the disruption out.

mod clients;
mod http;
mod json;
mod link;
mod record;
mod sign_off;
mod site;
mod slow_reader;
mod take_back;
mod task;

use std::path::Path;
use std::process::ExitCode;

use record::Record;

fn run(case: &str, folder: &Path, trouble: bool) -> Result<bool, String> {
    let root = std::env::current_dir().map_err(|e| e.to_string())?;
    let record = Record::new(folder)?;
    record.tell(format!("{case}, with the disruption: {trouble}"));
    let held = match case {
        "sign-off" => sign_off::run(&root, trouble, &record),
        "take-back" => take_back::run(&root, trouble, &record),
        "slow-reader" => slow_reader::run(&root, trouble, &record),
        _ => Err(format!("there is no case {case}")),
    };
    match &held {
        Ok(true) => record.tell("the rule held"),
        Ok(false) => record.tell("the rule was broken"),
        Err(error) => record.tell(format!("the case could not run: {error}")),
    }
    held
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &words[..] else {
        eprintln!("stand-ins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    match run(case, Path::new(folder), trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
