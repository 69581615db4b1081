//! Measures the latency that a node adds, compared with direct requests to the same servers in the same run.
//!
//! `REDWING_LATENCY=<seconds>` runs the measurement. Use `cargo test --release` for meaningful figures.

mod common;

use common::{wait_for, Fleet};
use hdrhistogram::Histogram;
use redwingtrestle_fakes::backend::{Backend, BackendOptions};
use redwingtrestle_wire::{caller, caller::EntriesReply, config::ConfigDoc};
use std::time::{Duration, Instant};
use tokio::time::MissedTickBehavior;

/// The compared request paths. Every second request goes directly to a server, so of 600 requests/s in total, 300/s
/// pass through the nodes.
const PATHS: [&str; 6] = [
    "direct",
    "view",
    "keyed order at its home",
    "keyed order forwarded",
    "view at its only carrier",
    "view forwarded to its carrier",
];

/// The order in which the paths take turns, as positions in the list of paths.
const SCHEDULE: [usize; 10] = [0, 1, 0, 2, 0, 3, 0, 4, 0, 5];

/// Returns the usual configuration plus the service `lists`, which only one node carries.
fn config_with_single_carrier(servers: &[Backend]) -> ConfigDoc {
    let mut config = common::config(servers);
    let (mut service, mut route) = (config.services["orders"].clone(), config.routes[0].clone());
    service.servers.iter_mut().for_each(|s| s.connections = s.slots);
    (route.path, route.service) = ("/lists".into(), "lists".into());
    config.services.insert("lists".into(), service);
    config.routes.push(route);
    config
}

/// Guards against a path on which requests fail. Prints the latencies without a bound, as they depend on the machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn added_latency_is_measured_when_enabled() {
    let Ok(seconds) = std::env::var("REDWING_LATENCY") else { return };
    let seconds: u64 = seconds.parse().expect("REDWING_LATENCY is a number of seconds");
    let options = BackendOptions { slots: 1000, ..BackendOptions::default() };
    let fleet = Fleet::start_config(2, 3, options, "", config_with_single_carrier).await;
    let lists_carrier = wait_for("one node carries the lists", || async {
        let url = fleet.nodes[0].url("/v1/entries?path=/lists");
        let bytes = fleet.client.get(url).send().await.ok()?.bytes().await.ok()?;
        let entries = serde_json::from_slice::<EntriesReply>(&bytes).ok()?.entries;
        fleet.nodes.iter().position(|n| entries == [n.entry])
    })
    .await;
    let prefix = fleet.entries(0).await.key_prefix;
    let mut ticks = tokio::time::interval(Duration::from_micros(1_000_000 / 600));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut sends = Vec::new();
    for i in 0..seconds as usize * 600 {
        ticks.tick().await;
        let path = SCHEDULE[i % SCHEDULE.len()];
        let server = fleet.servers[i % fleet.servers.len()].addr();
        let request = match path {
            0 => fleet.client.get(format!("http://{server}/stock/{i}")),
            1 => fleet.client.get(fleet.nodes[0].url(&format!("/stock/{i}"))),
            4 => fleet.client.get(fleet.nodes[lists_carrier].url(&format!("/lists/{i}"))),
            5 => fleet.client.get(fleet.nodes[1 - lists_carrier].url(&format!("/lists/{i}"))),
            _ => {
                let order = fleet.client.post(fleet.nodes[path - 2].url("/orders")).body("whips");
                order.header(caller::IDEMPOTENCY_KEY, format!("{prefix}.{i}"))
            }
        };
        sends.push(tokio::spawn(async move {
            let start = Instant::now();
            let response = request.send().await.expect("a response");
            assert_eq!(response.status(), 200);
            response.bytes().await.expect("a whole response");
            (path, start.elapsed())
        }));
    }
    let mut times = PATHS.map(|_| Histogram::<u64>::new(3).expect("3 digits are allowed"));
    for send in sends {
        let (path, time) = send.await.expect("the request got a response");
        times[path].record(time.as_micros() as u64).expect("the time is in range");
    }
    let at = |path: usize, q| times[path].value_at_quantile(q);
    for (path, name) in PATHS.iter().enumerate() {
        let added = |q| at(path, q) as i64 - at(0, q) as i64;
        println!(
            "{name}: {} requests, p50 {} us ({:+}), p99 {} us ({:+})",
            times[path].len(),
            at(path, 0.5),
            added(0.5),
            at(path, 0.99),
            added(0.99),
        );
    }
}
