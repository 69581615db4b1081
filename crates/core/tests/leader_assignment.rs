//! The assignment of leaders: even spread, and progress while nodes have different views.

use quickcheck::QuickCheck;
use rand::{
    seq::{IndexedRandom, SliceRandom},
    Rng, SeedableRng,
};
use rand_chacha::ChaCha8Rng;
use redwingtrestle_core::{
    ids::{NodeId, ServiceName, StartId},
    process::leader_assignment::assign_leaders,
};
use std::collections::{BTreeMap, BTreeSet};

fn nodes(count: u64, seed: u64) -> Vec<NodeId> {
    let node = |i| NodeId { addr: ([127, 0, 0, 1], 7000 + i as u16).into(), start: StartId(seed) };
    (0..count).map(node).collect()
}

fn services(count: usize) -> Vec<ServiceName> {
    (0..count).map(|i| ServiceName::from(&*format!("service-{i:03}"))).collect()
}

fn count_by_node(leaders: impl IntoIterator<Item = NodeId>) -> BTreeMap<NodeId, u32> {
    let mut leader_counts = BTreeMap::new();
    leaders.into_iter().for_each(|node| *leader_counts.entry(node).or_default() += 1);
    leader_counts
}

/// Guards against services whose leaders are at few nodes, at the start and after the services of a lost node are
/// assigned again.
#[test]
fn leaders_are_spread_over_nodes() {
    for seed in 0..50 {
        let (nodes, services) = (nodes(16, seed), services(40));
        let mut leaders = assign_leaders(&services, &BTreeMap::new(), &nodes, |_, _| true);
        let leader_counts = count_by_node(leaders.values().copied());
        assert!(
            leader_counts.len() == 16 && leader_counts.values().all(|n| [2, 3].contains(n)),
            "{leader_counts:?}"
        );
        leaders.retain(|_, node| *node != nodes[0]);
        let vacant = services.iter().filter(|s| !leaders.contains_key(s));
        let more = assign_leaders(
            vacant,
            &count_by_node(leaders.values().copied()),
            &nodes[1..],
            |_, _| true,
        );
        let leader_counts = count_by_node(leaders.values().chain(more.values()).copied());
        assert!(
            leader_counts.len() == 15 && leader_counts.values().all(|n| [2, 3].contains(n)),
            "{leader_counts:?}"
        );
    }
}

/// Guards against services without a leader, or leaders at few nodes, when each node proposes only itself and
/// nodes know different members or have read different parts of the log.
#[test]
fn each_service_gets_a_leader_despite_differing_views() {
    fn property(seed: u64) -> bool {
        let rng = &mut ChaCha8Rng::seed_from_u64(seed);
        let (nodes, services) = (nodes(rng.random_range(1..8), seed), services(20));
        let pairs = nodes.iter().flat_map(|a| nodes.iter().map(|b| (a.addr, b.addr)));
        let cut_share = *[0.0, 0.3].choose(rng).expect("a share");
        let cut: BTreeSet<_> = pairs.filter(|_| rng.random_bool(cut_share)).collect();
        let mut log: Vec<(&ServiceName, NodeId)> = Vec::new();
        for _ in 0..services.len() {
            let mut appended = Vec::new();
            for proposer in &nodes {
                let knows = |n: &&NodeId| *n == proposer || !cut.contains(&(proposer.addr, n.addr));
                let eligible: Vec<NodeId> = nodes.iter().filter(knows).copied().collect();
                // Half of the nodes have not read the last records; the whole log decides who leads.
                let read = log.len() - if rng.random() { 0 } else { log.len().min(3) };
                let known = &log[..read];
                let vacant = services.iter().filter(|s| known.iter().all(|(k, _)| k != s));
                let chosen = assign_leaders(
                    vacant,
                    &count_by_node(known.iter().map(|(_, n)| *n)),
                    &eligible,
                    |_, _| true,
                );
                appended.extend(chosen.into_iter().filter(|(_, node)| node == proposer));
            }
            appended.shuffle(rng);
            for (service, node) in appended {
                if log.iter().all(|(s, _)| *s != service) {
                    log.push((service, node));
                }
            }
        }
        let leader_counts = count_by_node(log.iter().map(|(_, node)| *node));
        let most = leader_counts.values().max().copied().unwrap_or(0);
        log.len() == services.len()
            && (cut_share > 0.0 || most <= 20u32.div_ceil(nodes.len() as u32) + 1)
    }
    QuickCheck::new().tests(500).quickcheck(property as fn(u64) -> bool);
}
