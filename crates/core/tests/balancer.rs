//! The choice of a server, slow start, connection shares and carriers.

use redwingtrestle_core::{
    cases,
    connection::limits::{carrier, carrier_count, choose_carriers, connection_share},
    ids::{NodeId, ServerAddr, ServiceName, StartId},
    process::balancer::{slow_start, Balancer, ServerMode, ServerSlots, FULL_WEIGHT},
    time::Span,
};
use std::collections::HashMap;

fn server(i: u8) -> ServerAddr {
    ServerAddr(([127, 0, 1, i], 9000).into())
}

fn slots(i: u8, slots: u32, weight: u32, mode: ServerMode) -> ServerSlots {
    ServerSlots { server: server(i), slots, weight, mode }
}

fn nodes(count: u16) -> Vec<NodeId> {
    let node = |i: u16| NodeId {
        addr: ([127, 0, (i / 250) as u8, (i % 250) as u8], 7000).into(),
        start: StartId(u64::from(i)),
    };
    (0..count).map(node).collect()
}

fn usable((count, weight, mode): (u32, u32, ServerMode)) -> u32 {
    slots(1, count, weight, mode).usable()
}

cases! {
    usable;
    /// Guards against a full server that loses a slot to rounding.
    full_weight_uses_all_slots: (6, FULL_WEIGHT, ServerMode::Serving) => 6,
    /// Guards against a low weight that takes a server out of use, which only an ejection may do.
    low_weight_keeps_one_slot: (6, 50, ServerMode::Serving) => 1,
    /// Guards against a cold server that gets as many requests as a warm one.
    half_weight_uses_half_the_slots: (6, 500, ServerMode::Serving) => 3,
    /// Guards against a server in probation that gets more than one request at a time.
    probation_uses_one_slot: (6, FULL_WEIGHT, ServerMode::Probation) => 1,
    /// Guards against new requests for a leaving server.
    leaving_server_uses_no_slots: (6, FULL_WEIGHT, ServerMode::Leaving) => 0,
}

fn weight_after(seconds: u64) -> u32 {
    slow_start(Span::from_secs(seconds), Span::from_secs(10))
}

cases! {
    weight_after;
    /// Guards against a slow start that begins without requests and so never warms the server.
    slow_start_begins_above_zero: 0 => 100,
    /// Guards against a jump in the middle of the slow start.
    slow_start_is_linear: 5 => 550,
    /// Guards against a server that never returns to full weight.
    slow_start_ends_at_full_weight: 10 => FULL_WEIGHT,
}

/// Guards against a division by zero in a slow start of no length.
#[test]
fn slow_start_of_no_length_gives_full_weight() {
    assert_eq!(slow_start(Span::ZERO, Span::ZERO), FULL_WEIGHT);
}

/// Guards against picking a server without a free slot, and against not finding a free slot.
#[test]
fn every_slot_is_used_once() {
    let mut balancer = Balancer::new(1);
    let list: Vec<_> =
        (0..8).map(|i| slots(i, 1 + u32::from(i) % 3, 1000, ServerMode::Serving)).collect();
    balancer.set_servers(&list);
    for _ in 0..balancer.total() {
        let chosen = balancer.pick(None).expect("a free slot is left");
        assert!(balancer.acquire(chosen));
    }
    assert_eq!(balancer.pick(None), None);
    for s in &list {
        assert_eq!(balancer.in_flight(s.server), s.slots);
    }
}

/// Guards against uneven load: with the power of two choices no server is far above the mean.
#[test]
fn load_is_even_at_half_use() {
    let mut balancer = Balancer::new(2);
    let list: Vec<_> = (0..40).map(|i| slots(i, 6, 1000, ServerMode::Serving)).collect();
    balancer.set_servers(&list);
    for _ in 0..120 {
        let chosen = balancer.pick(None).expect("half of the slots are free");
        balancer.acquire(chosen);
    }
    // The mean is 3; two choices among 40 servers stay within log log 40 ≈ 2 of it.
    assert!(list.iter().all(|s| balancer.in_flight(s.server) <= 5));
}

/// Guards against sending a shed request to the same server again while another has a free slot.
#[test]
fn avoided_server_is_the_last_choice() {
    let mut balancer = Balancer::new(3);
    balancer.set_servers(&[
        slots(1, 2, 1000, ServerMode::Serving),
        slots(2, 1, 1000, ServerMode::Serving),
    ]);
    assert_eq!(balancer.pick(Some(server(1))), Some(server(2)));
    balancer.acquire(server(2));
    assert_eq!(balancer.pick(Some(server(1))), Some(server(1)));
}

/// Guards against losing the in-flight count of a server that leaves the list and returns.
#[test]
fn in_flight_counts_survive_new_server_lists() {
    let mut balancer = Balancer::new(4);
    let one = slots(1, 2, 1000, ServerMode::Serving);
    balancer.set_servers(&[one]);
    balancer.acquire(server(1));
    balancer.acquire(server(1));
    balancer.set_servers(&[]);
    assert_eq!((balancer.total(), balancer.in_flight(server(1))), (0, 2));
    balancer.set_servers(&[one]);
    assert_eq!(balancer.pick(None), None);
    balancer.release(server(1));
    assert_eq!(balancer.pick(None), Some(server(1)));
}

fn carriers_of((connections, slots): (u32, u32)) -> usize {
    carrier_count(connections, slots)
}

cases! {
    carriers_of;
    /// Guards against carriers that cannot open a connection for every slot.
    carriers_can_connect_for_every_slot: (330, 6) => 55,
    /// Guards against a service without a carrier.
    few_connections_still_give_one_carrier: (3, 6) => 1,
}

/// Guards against connection shares that add up to more, or to less, than the server accepts.
#[test]
fn connection_shares_add_up() {
    for (connections, count) in [(330, 16), (390, 17), (330, 55), (390, 750)] {
        let nodes = nodes(count);
        for i in 0..20 {
            let share = |n| connection_share(connections, &[i], n, &nodes);
            assert_eq!(nodes.iter().map(share).sum::<u32>(), connections);
        }
    }
}

/// Guards against a connection share for a node outside of the list.
#[test]
fn node_outside_the_list_gets_no_connections() {
    let all = nodes(17);
    assert_eq!(connection_share(330, &[1], &all[16], &all[..16]), 0);
}

/// Guards against nodes that carry far more services than others at the design size.
#[test]
fn carrier_subsets_are_balanced() {
    let nodes = nodes(750);
    let mut load: HashMap<NodeId, u32> = nodes.iter().map(|&n| (n, 0)).collect();
    for i in 0..210 {
        let name = ServiceName::from(format!("service-{i}").as_str());
        let chosen = choose_carriers(&name, &nodes, 55);
        assert_eq!(chosen.len(), 55);
        for node in chosen {
            *load.get_mut(&node).expect("a member") += 1;
        }
    }
    // The mean is 15.4 with a standard deviation of 3.8; six deviations allow for 750 nodes.
    let (least, most) = (load.values().min(), load.values().max());
    assert!(most <= Some(&38), "most loaded node carries {most:?}");
    assert!(least >= Some(&1), "least loaded node carries {least:?}");
}

/// Guards against a leaving node that moves services between the remaining nodes.
#[test]
fn leaving_node_replaces_one_carrier() {
    let all = nodes(750);
    for i in 0..210 {
        let name = ServiceName::from(format!("service-{i}").as_str());
        let before = choose_carriers(&name, &all, 55);
        let gone = all[(i * 3) % 750];
        let rest: Vec<_> = all.iter().copied().filter(|&n| n != gone).collect();
        let after = choose_carriers(&name, &rest, 55);
        let kept = before.iter().filter(|n| after.contains(n)).count();
        assert_eq!(kept, if before.contains(&gone) { 54 } else { 55 });
    }
}

/// Guards against subsets that depend on the order in which a node learnt of the others.
#[test]
fn subset_ignores_the_order_of_nodes() {
    let (all, name) = (nodes(100), ServiceName::from("orders"));
    let reversed: Vec<_> = all.iter().rev().copied().collect();
    assert_eq!(choose_carriers(&name, &all, 55), choose_carriers(&name, &reversed, 55));
    assert_eq!(choose_carriers(&name, &all, 500).len(), 100);
}

/// Guards against forwarded requests that go to few of the carriers.
#[test]
fn forwarded_work_is_spread_over_carriers() {
    let (all, name) = (nodes(750), ServiceName::from("orders"));
    let chosen = choose_carriers(&name, &all, 55);
    let mut load: HashMap<NodeId, u32> = HashMap::new();
    for node in &all {
        let to = carrier(&name, node, &chosen).expect("there are carriers");
        *load.entry(to).or_default() += 1;
    }
    // The mean is 13.6 with a standard deviation of 3.7; the limit is six deviations above.
    assert!(load.values().all(|&n| n <= 36));
    assert_eq!(carrier(&name, &all[0], &[]), None);
}

/// Guards against a server of low weight that gets no requests while the others are nearly idle, and so yields no
/// evidence. Four nodes had lowered a failing server before there was a leader, which then never ejected it.
#[test]
fn low_weight_server_gets_its_part() {
    let mut balancer = Balancer::new(7);
    let weight = |i| if i == 0 { 50 } else { FULL_WEIGHT };
    let servers: Vec<_> = (0..6).map(|i| slots(i, 6, weight(i), ServerMode::Serving)).collect();
    balancer.set_servers(&servers);
    let picks = (0..6_000).filter(|_| balancer.pick(None) == Some(server(0))).count();
    // A twentieth of an even part is 50 picks. An idle server that is one of the two drawn is picked at once.
    assert!((25..=150).contains(&picks), "{picks} of 6000");
}
