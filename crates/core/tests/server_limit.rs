//! Servers that name a limit on requests per second, on virtual time.

mod common {
    pub(crate) mod limited_fleet;
    pub(crate) mod servers;
}

use common::limited_fleet::{LimitedFleet, Plan};
use redwingtrestle_core::{cases, process::server_limit::parse_limit};

cases! {
    parse_limit;
    /// Guards against ignoring a fraction.
    fraction_is_read: "2.7" => Some(2.7),
    /// Guards against a limit below 0 that stops all work.
    negative_limit_is_ignored: "-1" => None,
    /// Guards against a limit of no number.
    no_number_is_ignored: "NaN" => None,
    /// Guards against a text that is read as a limit.
    text_is_ignored: "few" => None,
    /// Guards against a server that gets no request any more and so cannot end its limit.
    limit_of_nothing_leaves_a_trickle: "0" => Some(0.1),
}

/// A fleet of 17 nodes and 21 servers, one of which names a limit, under the load of an ordinary day.
const FLEET: Plan =
    Plan { seed: 1, nodes: 17, servers: 21, limited: 1, load: 84.0, delay_ms: 300, loss: 0.02 };

/// The time after the first response with a limit in which nodes must adapt to it, in ms.
const ADAPTATION_MS: u64 = 3_500;

/// Returns the most requests that a server with this limit may get in 4 s.
fn most_allowed(limit: f64) -> usize {
    (limit * 1.5 * 4.0 + 5.0) as usize
}

/// The seeds with which each case is run.
const SEEDS: u64 = 12;

/// Runs the fleet with each seed, and returns the most requests that the limited server got in 4 s.
fn most_in_window(plan: Plan, limit: f64, play: impl Fn(&mut LimitedFleet)) -> usize {
    let most = (0..SEEDS).map(|seed| {
        let mut fleet = LimitedFleet::start(Plan { seed, ..plan }, limit);
        fleet.run(ADAPTATION_MS);
        play(&mut fleet);
        fleet.most_in_window(0, ADAPTATION_MS)
    });
    most.max().unwrap_or(0)
}

macro_rules! keeps_limit {
    ($($(#[$doc:meta])* $name:ident: $plan:expr, $limit:expr, $play:expr;)+) => {
        $(
            $(#[$doc])*
            #[test]
            fn $name() {
                let most = most_in_window($plan, $limit, $play);
                assert!(most <= most_allowed($limit), "{most} requests, {} allowed", most_allowed($limit));
            }
        )+
    };
}

keeps_limit! {
    /// Guards against nodes that each send up to the limit.
    limit_is_kept_over_all_nodes: FLEET, 1.9, |fleet| fleet.run(30_000);
    /// Guards against parts of a limit below one request per node that add up to more than the limit.
    limit_below_the_number_of_nodes_is_kept: FLEET, 0.3, |fleet| fleet.run(60_000);
    /// Guards against a large fleet whose nodes each send one request at once.
    limit_is_kept_by_a_large_fleet: Plan { nodes: 178, servers: 40, load: 250.0, ..FLEET }, 2.0, |fleet| fleet.run(8_000);
    /// Guards against all nodes sending what they saved up in a calm time.
    saved_parts_are_not_sent_together: FLEET, 1.0, |fleet| {
        fleet.set_load(2.0);
        fleet.run(40_000);
        fleet.set_load(250.0);
        fleet.run(15_000);
    };
    /// Guards against restarted and added nodes that send beside the parts of the others.
    limit_is_kept_while_nodes_restart_and_join: FLEET, 1.9, |fleet| {
        for node in 0..17 {
            fleet.restart(node);
            fleet.run(1_000);
        }
        for _ in 0..6 {
            fleet.add();
            fleet.run(1_000);
        }
    };
    /// Guards against nodes that take the whole limit for themselves while they do not hear each other.
    limit_is_kept_while_nodes_are_cut_off: FLEET, 1.9, |fleet| {
        fleet.run(5_000);
        (0..6).for_each(|node| fleet.cut(node));
        fleet.run(20_000);
    };
    /// Guards against a fleet that takes its time to follow a limit that falls.
    falling_limit_is_kept: FLEET, 1.0, |fleet| {
        fleet.set_limit(Some(20.0));
        fleet.run(10_000);
        fleet.set_limit(Some(1.0));
        fleet.run(ADAPTATION_MS);
        fleet.arrivals.iter_mut().for_each(Vec::clear);
        fleet.run(20_000);
    };
}

/// Guards against a server that gets little more than nothing because it names a limit.
#[test]
fn limited_server_gets_most_of_what_it_takes() {
    let mut fleet = LimitedFleet::start(FLEET, 2.0);
    fleet.run(60_000);
    let received = fleet.received(0, ADAPTATION_MS);
    assert!((70..=115).contains(&received), "{received} of 113 requests");
}

/// Guards against refusing callers while the servers that all name limits have room.
#[test]
fn service_whose_servers_all_name_limits_is_used() {
    let mut fleet = LimitedFleet::start(Plan { limited: 21, ..FLEET }, 2.0);
    fleet.run(60_000);
    let received: usize = (0..21).map(|server| fleet.received(server, ADAPTATION_MS)).sum();
    // 21 servers take 2 requests a second each for 56.5 s.
    assert!(received >= 2_100, "{received} of 2373 requests");
    assert!(fleet.refused > 0);
}

/// Guards against a server that stays limited after it has stopped naming a limit.
#[test]
fn server_gets_its_usual_work_after_its_limit() {
    let mut fleet = LimitedFleet::start(FLEET, 0.5);
    fleet.run(20_000);
    fleet.set_limit(None);
    fleet.run(10_000);
    let received = fleet.received(0, 30_000 - 4_000);
    assert!(received >= 8, "{received} requests in 4 s");
}
