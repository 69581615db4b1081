//! At which servers each node gets its slots.
//!
//! A slot that moves is idle until its holder has given it up, so every step starts from the current slots.

use super::Slots;

/// Reduces the slots of the nodes to what each server has now, and returns the slots that are free at each server.
///
/// Where more slots are in use than a server has, the largest holders give some up.
pub(super) fn trim_to_servers(nodes: &mut [Slots], available: &Slots) -> Slots {
    let mut free = Slots::new();
    for (&server, &limit) in available {
        let mut used: u32 = nodes.iter().filter_map(|slots| slots.get(&server)).sum();
        while used > limit {
            let largest = nodes.iter_mut().filter_map(|slots| slots.get_mut(&server)).max();
            let Some(slots) = largest else { break };
            *slots -= 1;
            used -= 1;
        }
        free.insert(server, limit - used);
    }
    free
}

/// Moves slots of a node above its total to `free`, from the servers where it has most.
pub(super) fn give_up(node: &mut Slots, total: u32, free: &mut Slots) {
    let mut sum: u32 = node.values().sum();
    while sum > total {
        let Some((server, slots)) = node.iter_mut().max_by_key(|(_, slots)| **slots) else { break };
        *slots -= 1;
        sum -= 1;
        *free.entry(*server).or_default() += 1;
    }
}

/// Moves slots from `free` to a node below its total, at the servers where it has fewest, of these where most are free.
pub(super) fn take_free(node: &mut Slots, total: u32, free: &mut Slots) {
    for _ in node.values().sum::<u32>()..total {
        let own = |server| node.get(server).copied().unwrap_or(0);
        let best = free
            .iter()
            .filter(|(_, &slots)| slots > 0)
            .min_by_key(|(server, &slots)| (own(*server), u32::MAX - slots))
            .map(|(&server, _)| server);
        let Some(server) = best else { break };
        *free.entry(server).or_default() -= 1;
        *node.entry(server).or_default() += 1;
    }
}
