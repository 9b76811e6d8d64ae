//! How many members are enough.

use std::collections::BTreeSet;

use lynxmill_protocol::Membership;

pub fn majority(members: &Membership) -> usize {
    members.ips.len() / 2 + 1
}

/// Whose copies a member that catches up has to merge so that every acknowledged write is among them: n - q +
/// 1 others.
pub fn enough_to_merge(members: &Membership) -> usize {
    (members.ips.len() - majority(members)) + 1
}

pub(crate) fn holds(members: &Membership, who: &BTreeSet<String>) -> bool {
    members.ips.iter().filter(|ip| who.contains(*ip)).count() >= majority(members)
}

/// A member's number in ballots.
pub fn node(ip: &str) -> u32 {
    ip.parse::<std::net::Ipv4Addr>().map_or(0, u32::from)
}
