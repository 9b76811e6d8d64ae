//! How exports are merged into the content of a new disk, step by step, and what is told of each step.

use std::collections::{BTreeMap, BTreeSet};

use lynxmill_configuration::{Configuration, ConfigurationChange, Item, ROLLOUTS_PREFIX};
use lynxmill_protocol::{Ballot, Membership, PendingChanges, Register, ShardTable, Slice, Task};
use prost::Message;

use super::recovery::{
    EPOCH_STEP, FENCE_STEP, NoteKind, RecoveryError, RecoveryNote, RecoveryPlan, RecoveryRequest,
    SurvivingDisk,
};
use super::{
    BallotExport, CHANGES_REGISTER, ChangeExport, MEMBERSHIP_REGISTER, MembershipExport,
    RegisterExport, RegisterValue, SHARD_TABLE_PREFIX, verify,
};
use crate::store::Batch;

fn raised(number: u64, step: u64) -> Result<u64, RecoveryError> {
    number
        .checked_add(step)
        .ok_or(RecoveryError::TooHigh(number))
}

/// A plan in the making.
pub(super) struct Recovery<'a> {
    disks: Vec<&'a SurvivingDisk>,
    /// The newest members that any disk knows to be agreed.
    old_members: MembershipExport,
    /// The highest epoch on any disk; above that of the old members if a change of them may have been agreed.
    highest_epoch: u64,
    /// Above all ballots that any disk knows of, and of no process.
    ballot: Ballot,
    configuration: Configuration,
    batch: Batch,
    notes: Vec<RecoveryNote>,
}

impl<'a> Recovery<'a> {
    pub(super) fn new(disks: Vec<&'a SurvivingDisk>) -> Result<Self, RecoveryError> {
        let registers = || disks.iter().flat_map(|disk| &disk.export.registers);
        let in_registers = registers().filter_map(|register| match &register.value {
            RegisterValue::Membership(members) => Some(members.epoch),
            _ => None,
        });
        let newest = disks
            .iter()
            .map(|disk| &disk.export.membership)
            .max_by_key(|members| members.epoch);
        let old_members = newest.cloned().unwrap_or_default();
        let highest_epoch = in_registers.max().unwrap_or(0).max(old_members.epoch);
        let counts =
            registers().map(|register| register.promised.count.max(register.accepted.count));
        let count = raised(counts.max().unwrap_or(0), FENCE_STEP)?;
        Ok(Recovery {
            ballot: Ballot {
                count,
                ..Ballot::default()
            },
            disks,
            old_members,
            highest_epoch,
            configuration: Configuration::default(),
            batch: Batch::default(),
            notes: Vec::new(),
        })
    }

    fn note(&mut self, kind: NoteKind, text: String) {
        self.notes.push(RecoveryNote { kind, text });
    }

    fn old_majority(&self) -> usize {
        self.old_members.addresses.len() / 2 + 1
    }

    /// Disks whose word counts among the old members.
    fn voters(&self) -> usize {
        let voter = |disk: &&&SurvivingDisk| {
            disk.export.is_voter && disk.export.membership.epoch == self.old_members.epoch
        };
        self.disks.iter().filter(voter).count()
    }

    /// The last change that is merged on any disk.
    fn merged(&self) -> u64 {
        self.disks
            .iter()
            .map(|disk| disk.export.merged)
            .max()
            .unwrap_or(0)
    }

    /// Accepted values of a register and their disks, the highest ballot first.
    fn accepted(&self, name: &str) -> Vec<(&'a SurvivingDisk, &'a RegisterExport)> {
        let of = |disk: &'a SurvivingDisk| {
            let found = disk
                .export
                .registers
                .iter()
                .find(|register| register.name == name)?;
            (found.accepted != BallotExport::default()).then_some((disk, found))
        };
        let mut all: Vec<_> = self.disks.iter().copied().filter_map(of).collect();
        all.sort_by_key(|(_, register)| std::cmp::Reverse(register.accepted));
        all
    }

    pub(super) fn note_disks(&mut self) {
        let mut notes = Vec::new();
        for (n, disk) in self.disks.iter().enumerate() {
            let findings = verify(&disk.export).into_iter();
            notes.extend(findings.map(|finding| format!("{}: {}", disk.name, finding.text)));
            if let Some(same) = self.disks[..n]
                .iter()
                .find(|other| other.export == disk.export)
            {
                notes.push(format!(
                    "{} and {} are equal: are they of two members?",
                    same.name, disk.name
                ));
            }
            if !disk.export.is_voter {
                notes.push(format!(
                    "{}: it did not vote, as it had not caught up",
                    disk.name
                ));
            }
            for fact in disk.export.other_facts.keys() {
                notes.push(format!(
                    "{}: fact {fact} is not known here and is left out",
                    disk.name
                ));
            }
        }
        notes
            .into_iter()
            .for_each(|text| self.note(NoteKind::Uncertain, text));
        let (voters, epoch) = (self.voters(), self.old_members.epoch);
        let (members, majority) = (self.old_members.addresses.len(), self.old_majority());
        let told = format!("{voters} of {members} voting disks of epoch {epoch} are read");
        let (changing, highest) = (self.highest_epoch > epoch, self.highest_epoch);
        if changing {
            let told = format!("a change of the members to epoch {highest} may have been agreed");
            self.note(NoteKind::Uncertain, told);
        }
        if voters >= majority && changing {
            let told = format!("{told}, a majority, but not surely of the newest members");
            self.note(NoteKind::Uncertain, told);
        } else if voters >= majority {
            let told = format!("{told}, a majority: all that was acknowledged is among them");
            self.note(NoteKind::Kept, told);
        } else {
            let told = format!(
                "{told}, fewer than a majority ({majority}): changes that only the others acknowledged"
            );
            self.note(NoteKind::Lost, told);
        }
    }

    pub(super) fn merge_items(&mut self) {
        let mut from: BTreeMap<&str, &str> = BTreeMap::new();
        for disk in self.disks.clone() {
            for item in &disk.export.items {
                let copy = Item::from(item);
                let held = self.configuration.items.get(&item.key);
                let same = |held: &Item| held.without_history() == copy.without_history();
                let differs = |held: &Item| held.version == copy.version && !same(held);
                if held.is_some_and(differs) {
                    let key = item.key.as_str();
                    let told = format!(
                        "item {key}: version {:08x} has one content in {}, another in {}; the first is taken",
                        item.version, from[key], disk.name
                    );
                    self.note(NoteKind::Uncertain, told);
                    continue;
                }
                if self.configuration.merge(&copy) {
                    from.insert(&item.key, &disk.name);
                }
            }
        }
        let told = format!(
            "{} items, merged up to change {}",
            self.configuration.items.len(),
            self.merged()
        );
        self.note(NoteKind::Kept, told);
    }

    /// Changes that were accepted, but are merged on none of the disks: they may have been acknowledged.
    pub(super) fn merge_changes(&mut self) {
        let merged = self.merged();
        let values: Vec<(&SurvivingDisk, &RegisterExport, u64, &[ChangeExport])> = self
            .accepted(CHANGES_REGISTER)
            .into_iter()
            .filter_map(|(disk, register)| match &register.value {
                RegisterValue::PendingChanges { last, changes } => {
                    Some((disk, register, *last, changes.as_slice()))
                }
                _ => None,
            })
            .collect();
        let Some((_, newest, last, changes)) = values.first().copied() else {
            return;
        };
        self.note_ballot(newest);
        let first = changes
            .first()
            .map_or(last.saturating_add(1), |change| change.number);
        // Those that the newest value has left out were merged by a majority.
        for number in merged.saturating_add(1)..first {
            let older = values.iter().skip(1).find_map(|(disk, _, _, changes)| {
                Some((
                    &disk.name,
                    changes.iter().find(|change| change.number == number)?,
                ))
            });
            match older {
                Some((disk, change)) => {
                    let told = format!("change {number} is taken from an older ballot in {disk}");
                    self.note(NoteKind::Uncertain, told);
                    self.merge_change(change);
                }
                None => self.note(NoteKind::Lost, format!("change {number}: no disk holds it")),
            }
        }
        for change in changes.iter().filter(|change| change.number > merged) {
            self.merge_change(change);
        }
    }

    fn merge_change(&mut self, change: &ChangeExport) {
        for item in &change.items {
            self.configuration.merge(&item.into());
        }
        let keys: Vec<&str> = change.items.iter().map(|item| item.key.as_str()).collect();
        let told = format!(
            "change {} of {}, accepted and now merged",
            change.number,
            keys.join(", ")
        );
        self.note(NoteKind::Kept, told);
    }

    /// Tells of a register whose newest value may not have been agreed, or may not be the newest.
    fn note_ballot(&mut self, newest: &RegisterExport) {
        let mut same = self.accepted(&newest.name);
        same.retain(|(_, register)| register.accepted == newest.accepted);
        let accepted = same.iter().filter(|(disk, _)| disk.export.is_voter).count();
        let majority = self.old_majority();
        let ballot = newest.accepted;
        let name = &newest.name;
        if same.iter().any(|(_, other)| other.value != newest.value) {
            let told = format!("register {name}: ballot {ballot} has two values, one is taken");
            self.note(NoteKind::Uncertain, told);
        }
        if accepted < majority {
            let told = format!(
                "register {name}: ballot {ballot} is accepted by {accepted} of the voting \
                 disks, fewer than a majority ({majority})"
            );
            self.note(NoteKind::Uncertain, told);
        }
    }

    pub(super) fn check_configuration(&mut self) {
        let items = self.configuration.items.values().cloned().collect();
        if let Err(fault) = Configuration::default().check(&ConfigurationChange { items }) {
            self.note(
                NoteKind::Needed,
                format!("send a change that mends the configuration: {fault}"),
            );
        }
    }

    /// Evacuations and rollouts are versioned by the system itself: edges may hold versions that were lost.
    pub(super) fn raise_own_items(&mut self) -> Result<(), RecoveryError> {
        let own_items = self.configuration.items.values_mut();
        let own_items = own_items
            .filter(|item| item.key.starts_with("e/") || item.key.starts_with(ROLLOUTS_PREFIX));
        for item in own_items {
            item.version = raised(item.version, FENCE_STEP)?;
        }
        Ok(())
    }

    pub(super) fn write_changes_register(&mut self) -> Result<(), RecoveryError> {
        let registers = self.disks.iter().flat_map(|disk| &disk.export.registers);
        let lasts = registers.filter_map(|register| match &register.value {
            RegisterValue::PendingChanges { last, .. } => Some(*last),
            _ => None,
        });
        let last_number = raised(lasts.max().unwrap_or(0).max(self.merged()), FENCE_STEP)?;
        let value = PendingChanges {
            last_number,
            changes: Vec::new(),
        };
        self.write_register(CHANGES_REGISTER, value.encode_to_vec());
        self.batch.merged = Some(last_number);
        Ok(())
    }

    fn write_register(&mut self, name: &str, value: Vec<u8>) {
        let (promised, accepted) = (self.ballot, self.ballot);
        self.batch.registers.push(Register {
            name: name.to_owned(),
            promised,
            accepted,
            value,
        });
    }

    /// Shard tables, and registers that this program doesn't know.
    pub(super) fn merge_shard_tables(&mut self) -> Result<(), RecoveryError> {
        let all = self.disks.iter().flat_map(|disk| &disk.export.registers);
        let names: BTreeSet<&str> = all.map(|register| register.name.as_str()).collect();
        let own = [CHANGES_REGISTER, MEMBERSHIP_REGISTER];
        for name in names.into_iter().filter(|name| !own.contains(name)) {
            let values = self.accepted(name);
            if values.is_empty() {
                continue;
            }
            if !name.starts_with(SHARD_TABLE_PREFIX) {
                let newest = values[0].1;
                self.note_ballot(newest);
                self.note(
                    NoteKind::Uncertain,
                    format!("register {name} is not known here, kept as it is"),
                );
                self.write_register(name, newest.value.bytes());
                continue;
            }
            let is_table = |register: &RegisterExport| {
                matches!(register.value, RegisterValue::ShardTable { .. })
            };
            let newest = values
                .iter()
                .map(|(_, register)| *register)
                .find(|register| is_table(register));
            let newest = newest.ok_or_else(|| RecoveryError::NoShardTable(name.to_owned()))?;
            self.note_ballot(newest);
            if let Some(table) = raised_table(&newest.value)? {
                let told = format!(
                    "register {name}: {} slices, now in term {}",
                    table.slices.len(),
                    table.term
                );
                self.note(NoteKind::Kept, told);
                self.write_register(name, table.encode_to_vec());
            }
        }
        Ok(())
    }

    pub(super) fn write_membership(
        &mut self,
        request: &RecoveryRequest,
    ) -> Result<(), RecoveryError> {
        let epoch = raised(self.highest_epoch, EPOCH_STEP)?;
        let members = Membership {
            epoch,
            ips: request.members.clone(),
        };
        self.write_register(MEMBERSHIP_REGISTER, members.encode_to_vec());
        self.batch.members = Some(members);
        self.batch.is_voter = Some(true);
        Ok(())
    }

    pub(super) fn merge_tasks(&mut self) {
        let mut tasks: BTreeMap<&str, Task> = BTreeMap::new();
        for task in self.disks.iter().flat_map(|disk| &disk.export.tasks) {
            let told = Task::from(task);
            match tasks.get_mut(task.id.as_str()) {
                Some(held) => {
                    held.merge(&told);
                }
                None => drop(tasks.insert(&task.id, told)),
            }
        }
        self.batch.tasks = tasks.into_values().collect();
        let told = format!("{} tasks", self.batch.tasks.len());
        self.note(NoteKind::Kept, told);
    }

    pub(super) fn note_what_is_needed(&mut self, request: &RecoveryRequest) {
        let members = request.members.join(", ");
        let needed = [
            "none of the old disks may be started again, those that were exported neither".to_owned(),
            format!("all old members are down, the last for longer than MaxHoldS, before {members} start"),
            format!("a disk from the same exports for each of {members}, started with Bootstrap: false"),
            "restart the edges, one by one: they may hold items that are lost".to_owned(),
            "send the configuration from the operator's files, with higher versions where they were lost"
                .to_owned(),
        ];
        needed
            .into_iter()
            .for_each(|text| self.note(NoteKind::Needed, text));
    }

    pub(super) fn finish(mut self) -> RecoveryPlan {
        self.batch.items = self.configuration.items.into_values().collect();
        RecoveryPlan {
            batch: self.batch,
            notes: self.notes,
        }
    }
}

/// A shard table above all terms and generations that may have been granted by.
fn raised_table(value: &RegisterValue) -> Result<Option<ShardTable>, RecoveryError> {
    let RegisterValue::ShardTable {
        term,
        holder,
        slices,
    } = value
    else {
        return Ok(None);
    };
    let raise = |slice| {
        let slice = Slice::from(slice);
        Ok(Slice {
            generation: raised(slice.generation, FENCE_STEP)?,
            ..slice
        })
    };
    let slices = slices
        .iter()
        .map(raise)
        .collect::<Result<_, RecoveryError>>()?;
    Ok(Some(ShardTable {
        term: raised(*term, FENCE_STEP)?,
        owner: holder.clone(),
        slices,
    }))
}
