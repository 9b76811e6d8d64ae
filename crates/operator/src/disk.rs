//! A control-plane node's disk without the node: shown, verified, exported, and made anew of exports. The
//! file is only read, by a temporary copy.

use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

use lynxmill_storage::inspect::{
    BallotExport, DiskExport, FILE_NAME, Finding, InspectError, Inspection, RecoveryError,
    RecoveryRequest, RegisterExport, RegisterValue, SurvivingDisk, inspect, plan_recovery, verify,
    write_recovery,
};

/// What keeps the tool from its work.
#[derive(Debug, thiserror::Error)]
pub enum DiskError {
    #[error("{0}: {1}")]
    Inspect(PathBuf, InspectError),
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    #[error("the export can't be written: {0}")]
    Output(#[from] std::io::Error),
    #[error("{0}: it is no export: {1}")]
    NoExport(PathBuf, serde_json::Error),
    #[error("the export can't be written: {0}")]
    Json(serde_json::Error),
    #[error(transparent)]
    Recovery(#[from] RecoveryError),
}

/// How a command ended that was able to do its work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskOutcome {
    Done,
    /// The disk has faults; they were told.
    Faults,
    /// A plan was printed and nothing was written: `--accept-loss` is missing.
    LossNotAccepted,
}

/// The file itself, or the one in a data folder.
fn read(path: &Path) -> Result<Inspection, DiskError> {
    let file = if path.is_dir() {
        path.join(FILE_NAME)
    } else {
        path.to_owned()
    };
    inspect(&file).map_err(|error| DiskError::Inspect(file, error))
}

fn ballot(of: BallotExport) -> String {
    if of == BallotExport::default() {
        "none".to_owned()
    } else {
        of.to_string()
    }
}

fn value(of: &RegisterValue) -> String {
    match of {
        RegisterValue::PendingChanges { last, changes } => {
            format!("last change {last}, {} still to be merged", changes.len())
        }
        RegisterValue::Membership(members) => format!("epoch {}", members.epoch),
        RegisterValue::ShardTable { term, slices, .. } => {
            format!("term {term}, {} slices", slices.len())
        }
        RegisterValue::Bytes(digits) => format!("{} bytes", digits.len() / 2),
    }
}

fn register_line(register: &RegisterExport) -> String {
    let RegisterExport {
        name,
        promised,
        accepted,
        ..
    } = register;
    let (promised, accepted) = (ballot(*promised), ballot(*accepted));
    format!(
        "register {name}: promised {promised}; accepted {accepted}; {}",
        value(&register.value)
    )
}

/// What a disk holds, line by line.
pub fn summary(disk: &DiskExport) -> Vec<String> {
    let dropped = disk.items.iter().filter(|item| item.dropped).count();
    let members = &disk.membership;
    let mut lines = vec![
        format!("format {}", disk.format),
        format!(
            "members in epoch {}: {}",
            members.epoch,
            members.addresses.join(" ")
        ),
        format!(
            "votes: {}",
            if disk.is_voter {
                "yes"
            } else {
                "no, it has to catch up"
            }
        ),
        format!("merged up to change {}", disk.merged),
        format!("{} items, {dropped} of them dropped", disk.items.len()),
        format!("{} registers", disk.registers.len()),
        format!("{} tasks", disk.tasks.len()),
    ];
    lines.extend(disk.registers.iter().map(register_line));
    lines
}

/// Whether a fault is among the findings.
fn outcome(findings: &[Finding]) -> DiskOutcome {
    let has_fault = findings.iter().any(|finding| finding.is_fault);
    if has_fault {
        DiskOutcome::Faults
    } else {
        DiskOutcome::Done
    }
}

fn finding_line(finding: &Finding) -> String {
    let kind = if finding.is_fault { "fault" } else { "remark" };
    format!("{kind}: {}", finding.text)
}

/// Prints what a disk holds; rows that can't be read are told beside it.
pub fn show(path: &Path) -> Result<DiskOutcome, DiskError> {
    let found = read(path)?;
    summary(&found.export)
        .iter()
        .for_each(|line| println!("{line}"));
    found
        .faults
        .iter()
        .for_each(|error| eprintln!("{}", finding_line(error)));
    Ok(outcome(&found.faults))
}

/// Prints all that is wrong with a disk, a line each.
pub fn check(path: &Path) -> Result<DiskOutcome, DiskError> {
    let found = read(path)?;
    let mut findings = found.faults;
    findings.extend(verify(&found.export));
    findings
        .iter()
        .for_each(|finding| println!("{}", finding_line(finding)));
    let ended = outcome(&findings);
    if ended == DiskOutcome::Done {
        println!("{}: no faults", path.display());
    }
    Ok(ended)
}

/// Writes all that can be read of a disk as JSON, to a file or to standard output.
pub fn export(path: &Path, to: Option<&Path>) -> Result<DiskOutcome, DiskError> {
    let found = read(path)?;
    let mut text = serde_json::to_vec_pretty(&found.export).map_err(DiskError::Json)?;
    text.push(b'\n');
    match to {
        Some(to) => {
            write_synced(to, &text).map_err(|error| DiskError::File(to.to_owned(), error))?
        }
        None => std::io::stdout().write_all(&text)?,
    }
    found
        .faults
        .iter()
        .for_each(|error| eprintln!("left out: {}", error.text));
    Ok(outcome(&found.faults))
}

fn write_synced(path: &Path, text: &[u8]) -> std::io::Result<()> {
    let mut file = File::create(path)?;
    file.write_all(text)?;
    file.sync_all()
}

fn read_export(path: &Path) -> Result<SurvivingDisk, DiskError> {
    let text = std::fs::read(path).map_err(|error| DiskError::File(path.to_owned(), error))?;
    let export = serde_json::from_slice(&text)
        .map_err(|error| DiskError::NoExport(path.to_owned(), error))?;
    Ok(SurvivingDisk {
        name: path.display().to_string(),
        export,
    })
}

/// Prints what a new disk of these exports would hold and lack; writes it only if that is accepted.
pub fn import(
    from: &[PathBuf],
    request: &RecoveryRequest,
    to: &Path,
    accept_loss: bool,
) -> Result<DiskOutcome, DiskError> {
    let disks = from
        .iter()
        .map(|path| read_export(path))
        .collect::<Result<Vec<_>, _>>()?;
    let plan = plan_recovery(&disks, request)?;
    plan.notes.iter().for_each(|note| println!("{note}"));
    if !accept_loss {
        println!("nothing was written: --accept-loss is missing");
        return Ok(DiskOutcome::LossNotAccepted);
    }
    write_recovery(&plan, to)?;
    let epoch = plan
        .batch
        .members
        .as_ref()
        .map_or(0, |members| members.epoch);
    println!(
        "{}: a new disk for {} in epoch {epoch}",
        to.display(),
        request.node
    );
    Ok(DiskOutcome::Done)
}
