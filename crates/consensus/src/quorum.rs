//! How many members form a quorum.

use std::collections::BTreeSet;

use lynxmill_protocol::Membership;

/// The size of a majority.
pub fn majority(members: &Membership) -> usize {
    members.ips.len() / 2 + 1
}

/// How many other members' registers a member has to copy so that every chosen value is among them:
/// n - q + 1, which is more than a majority q can leave out.
pub fn recovery_quorum(members: &Membership) -> usize {
    (members.ips.len() - majority(members)) + 1
}

pub(crate) fn has_majority(members: &Membership, voters: &BTreeSet<String>) -> bool {
    members.ips.iter().filter(|ip| voters.contains(*ip)).count() >= majority(members)
}

/// A member's number in ballots: its IPv4 address.
pub fn node_number(ip: &str) -> u32 {
    ip.parse::<std::net::Ipv4Addr>().map_or(0, u32::from)
}
