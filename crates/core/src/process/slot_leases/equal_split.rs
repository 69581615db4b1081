//! The slots that each node uses without a lease.

use crate::ids::{NodeId, ServerAddr};

/// Returns the equal split of `node`: the slots that it uses without a lease from the leader.
///
/// Each server's slots are divided evenly among the members. The remainders rotate through the members from
/// server to server, so the totals of two nodes differ by at most one. If all members have the same lists of
/// members and servers, their splits add up to each server's slots. If each of `n` nodes lists at least `m` of
/// them, the sum is at most `n × ceil(slots / m)`; completely isolated nodes use up to `n × slots`.
pub fn equal_split(
    servers: &[(ServerAddr, u32)],
    node: &NodeId,
    members: &[NodeId],
) -> Vec<(ServerAddr, u32)> {
    if !members.contains(node) {
        return Vec::new();
    }
    let count = members.len() as u32;
    let place = members.iter().filter(|&m| m < node).count() as u32;
    let mut servers = servers.to_vec();
    servers.sort_unstable();
    let mut first = 0;
    let mut share = |&(server, slots): &(ServerAddr, u32)| {
        let extra = slots % count;
        let own = slots / count + u32::from((place + count - first) % count < extra);
        first = (first + extra) % count;
        (server, own)
    };
    servers.iter().map(&mut share).filter(|&(_, slots)| slots > 0).collect()
}
