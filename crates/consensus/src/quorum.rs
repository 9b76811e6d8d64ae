//! How many members are enough.

use std::collections::BTreeSet;

use lynxmill_protocol::Membership;

pub fn majority(members: &Membership) -> usize {
    members.ips.len() / 2 + 1
}

/// Whose copies a member that catches up has to merge so that every acknowledged write is among them: n - q +
/// 1 others.
pub fn recovery_quorum(members: &Membership) -> usize {
    (members.ips.len() - majority(members)) + 1
}

pub(crate) fn has_majority(members: &Membership, voters: &BTreeSet<String>) -> bool {
    members.ips.iter().filter(|ip| voters.contains(*ip)).count() >= majority(members)
}

/// A member's number in ballots.
pub fn node_number(ip: &str) -> u32 {
    ip.parse::<std::net::Ipv4Addr>().map_or(0, u32::from)
}
