//! Checks of what a disk holds, row by row and between rows.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use lynxmill_configuration::{
    Configuration, ConfigurationChange, Item, Limits, REFUSALS_KEY, ROLLOUTS_PREFIX, Route,
    Service, ServiceRollouts,
};
use lynxmill_protocol::TaskState;

use super::{
    BallotExport, CHANGES_REGISTER, ChangeExport, DiskExport, EXPORT_VERSION, ItemExport,
    MEMBERSHIP_REGISTER, MembershipExport, RegisterExport, RegisterValue, SHARD_TABLE_PREFIX,
    SliceExport,
};

/// Keys of a sharded service go from 0 to this.
const LAST_KEY: u32 = 65_535;

/// Something that was found on a disk, in one line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// It can't come of a program that works on a disk that works. Else it may: a member that had fallen
    /// behind, or a proposal that was overtaken, looks like this, and is mended by the other members.
    pub is_fault: bool,
    /// For the operator.
    pub text: String,
}

impl Finding {
    pub(super) fn fault(text: String) -> Self {
        Finding {
            is_fault: true,
            text,
        }
    }

    fn remark(text: String) -> Self {
        Finding {
            is_fault: false,
            text,
        }
    }
}

/// All that is wrong, or worth a look, with what a disk holds.
pub fn verify(disk: &DiskExport) -> Vec<Finding> {
    let mut faults = Vec::new();
    if disk.export_version > EXPORT_VERSION {
        let told = disk.export_version;
        faults.push(format!(
            "the export is of version {told}, this program reads up to {EXPORT_VERSION}"
        ));
    }
    faults.extend(membership_faults("membership", &disk.membership));
    faults.extend(disk.items.iter().flat_map(item_faults));
    faults.extend(
        disk.registers
            .iter()
            .flat_map(|register| register_faults(disk, register)),
    );
    faults.extend(task_faults(disk));
    let mut findings: Vec<Finding> = faults.into_iter().map(Finding::fault).collect();
    findings.extend(configuration_finding(disk));
    findings.extend(pending_changes_findings(disk));
    findings
}

fn membership_faults(what: &str, members: &MembershipExport) -> Vec<String> {
    let mut faults = Vec::new();
    if members.epoch == 0 && !members.addresses.is_empty() {
        faults.push(format!("{what}: members in epoch 0"));
    }
    for address in members
        .addresses
        .iter()
        .filter(|address| address.parse::<Ipv4Addr>().is_err())
    {
        faults.push(format!("{what}: {address} is no IPv4 address"));
    }
    let different: BTreeSet<&String> = members.addresses.iter().collect();
    if different.len() < members.addresses.len() {
        faults.push(format!("{what}: an address stands more than once"));
    }
    faults
}

/// Whether a body can be read as what its key says, under the key's name.
fn body_fault(item: &ItemExport) -> Option<String> {
    let (prefix, name) = item.key.split_at_checked(2)?;
    let read = match prefix {
        "r/" => serde_json::from_str::<Route>(&item.body).map(|route| route.name),
        "s/" => serde_json::from_str::<Service>(&item.body).map(|service| service.name),
        "l/" => serde_json::from_str::<Limits>(&item.body).map(|_| name.to_owned()),
        ROLLOUTS_PREFIX => {
            serde_json::from_str::<ServiceRollouts>(&item.body).map(|_| name.to_owned())
        }
        _ => return None,
    };
    match read {
        Ok(told) if told == name => None,
        Ok(told) => Some(format!("item {}: its body is of {told}", item.key)),
        Err(fault) => Some(format!("item {}: {fault}", item.key)),
    }
}

fn item_faults(item: &ItemExport) -> Vec<String> {
    let key = item.key.as_str();
    let mut faults = Vec::new();
    let is_of_operators = ["r/", "s/", "l/", "e/", ROLLOUTS_PREFIX]
        .iter()
        .any(|prefix| key.starts_with(prefix));
    if !is_of_operators && key != REFUSALS_KEY {
        faults.push(format!(
            "item {key}: neither route, service, limits, evacuation nor rollouts"
        ));
    }
    if key.starts_with("e/") && item.version == 0 {
        faults.push(format!("item {key}: an evacuation in version 0"));
    }
    if !item.dropped {
        faults.extend(body_fault(item));
    }
    faults
}

fn register_faults(disk: &DiskExport, register: &RegisterExport) -> Vec<String> {
    let RegisterExport {
        name,
        promised,
        accepted,
        value,
    } = register;
    let mut faults = Vec::new();
    if accepted > promised {
        faults.push(format!(
            "register {name}: accepted a higher ballot than it promised"
        ));
    }
    let is_accepted = *accepted != BallotExport::default();
    if !is_accepted && !value.bytes().is_empty() {
        faults.push(format!(
            "register {name}: a value, but no ballot was accepted"
        ));
    }
    let is_known = [CHANGES_REGISTER, MEMBERSHIP_REGISTER].contains(&name.as_str())
        || name.starts_with(SHARD_TABLE_PREFIX);
    match value {
        RegisterValue::Bytes(_) if is_known => {
            faults.push(format!("register {name}: its value can't be read in full"));
        }
        RegisterValue::PendingChanges { last, changes } => {
            faults.extend(change_number_fault(*last, changes));
            faults.extend(
                changes
                    .iter()
                    .flat_map(|change| &change.items)
                    .flat_map(item_faults),
            );
        }
        RegisterValue::Membership(members) if is_accepted => {
            faults.extend(membership_faults("register members", members));
            if members.epoch > disk.membership.epoch + 1 {
                faults.push(format!(
                    "register members: epoch {} leaves one out",
                    members.epoch
                ));
            }
        }
        RegisterValue::ShardTable { term, slices, .. } if is_accepted => {
            if *term == 0 {
                faults.push(format!("register {name}: term 0"));
            }
            faults.extend(slice_faults(name, slices));
        }
        _ => {}
    }
    faults
}

/// Changes follow each other by one, up to the last.
fn change_number_fault(last: u64, changes: &[ChangeExport]) -> Option<String> {
    let follows = changes
        .windows(2)
        .all(|pair| pair[0].number.checked_add(1) == Some(pair[1].number));
    let ends = changes.last().is_none_or(|change| change.number == last);
    (!follows || !ends).then(|| {
        let numbers: Vec<String> = changes
            .iter()
            .map(|change| change.number.to_string())
            .collect();
        format!(
            "register calls: changes {} don't lead one by one to {last}",
            numbers.join(", ")
        )
    })
}

/// Slices cover all keys once, and whoever owns one has a generation.
fn slice_faults(register: &str, slices: &[SliceExport]) -> Vec<String> {
    let mut faults = Vec::new();
    let mut next = 0;
    for slice in slices {
        if slice.from != next || slice.to < slice.from {
            faults.push(format!(
                "register {register}: slice {} to {} after {next}",
                slice.from, slice.to
            ));
        }
        if !slice.owner.is_empty() && slice.fence == 0 {
            faults.push(format!(
                "register {register}: slice {} is owned in generation 0",
                slice.from
            ));
        }
        next = slice.to.saturating_add(1);
    }
    if next != LAST_KEY + 1 {
        faults.push(format!(
            "register {register}: slices end before {next}, not at {LAST_KEY}"
        ));
    }
    faults
}

fn task_faults(disk: &DiskExport) -> Vec<String> {
    let unknown = disk
        .tasks
        .iter()
        .filter(|task| TaskState::try_from(task.state).is_err());
    unknown
        .map(|task| format!("task {}: state {} is not known", task.id, task.state))
        .collect()
}

/// Whether what stands goes together. A member that still catches up may hold a part.
fn configuration_finding(disk: &DiskExport) -> Option<Finding> {
    let items = disk.items.iter().map(Item::from).collect();
    let fault = Configuration::default()
        .check(&ConfigurationChange { items })
        .err()?;
    let text = format!("configuration: {fault}");
    Some(if disk.is_voter {
        Finding::fault(text)
    } else {
        Finding::remark(text)
    })
}

/// Whether the changes that count as merged are among the items.
fn pending_changes_findings(disk: &DiskExport) -> Vec<Finding> {
    let value = disk
        .registers
        .iter()
        .find(|register| register.name == CHANGES_REGISTER);
    let Some(RegisterValue::PendingChanges { last, changes }) =
        value.map(|register| &register.value)
    else {
        return Vec::new();
    };
    let merged = disk.merged;
    let first = changes
        .first()
        .map_or(last.saturating_add(1), |change| change.number);
    let mut findings = Vec::new();
    if merged.saturating_add(1) < first {
        findings.push(Finding::remark(format!(
            "changes {} to {} are missing here: it had fallen behind",
            merged + 1,
            first - 1
        )));
    }
    if merged > *last {
        findings.push(Finding::remark(format!(
            "merged up to {merged}, the register's last change is {last}"
        )));
    }
    let held: BTreeMap<&str, &ItemExport> = disk
        .items
        .iter()
        .map(|item| (item.key.as_str(), item))
        .collect();
    for change in changes.iter().filter(|change| change.number <= merged) {
        for item in &change.items {
            let stands = held.get(item.key.as_str());
            let number = change.number;
            if stands.is_none_or(|stands| stands.version < item.version) {
                findings.push(Finding::remark(format!(
                    "change {number} counts as merged, yet {} is not in version {:08x}: lost, or overtaken",
                    item.key, item.version
                )));
            } else if stands.is_some_and(|stands| stands.version == item.version && *stands != item)
            {
                findings.push(Finding::remark(format!(
                    "change {number} has {} in version {:08x} with other content than is held",
                    item.key, item.version
                )));
            }
        }
    }
    findings
}
