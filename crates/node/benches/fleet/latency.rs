//! Measures the latency that one node adds, compared with direct requests to the same servers in the same run.

use crate::{
    cluster::{Cluster, ClusterPlan},
    phases::BenchOptions,
    probe,
    report::{number, Report},
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// The requests per second through the node. As many are sent directly to the servers.
const RATES: [f64; 5] = [100.0, 300.0, 1_000.0, 3_000.0, 6_000.0];

/// The service time of the backend servers.
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Measures all rates, up to the first one of which the node reaches less than 80%.
pub(crate) async fn run(options: &BenchOptions, report: &mut Report) {
    let plan = ClusterPlan {
        nodes: 1,
        workers: 4,
        services: vec![("stock", 4, SERVICE_TIME)],
        slots: 1_000,
        connections: 1_000,
        seed: options.seed,
        ..ClusterPlan::default()
    };
    let cluster = Cluster::start(&plan).await;
    let seconds = if options.quick { 1.5 } else { 4.0 };
    // Opens the first connections before the first measurement.
    measure_at_rate(&cluster, 100.0, 0.5, options.seed).await;
    for rate in RATES {
        let before = probe::read_usages(&cluster).await;
        let begun = Instant::now();
        let results = measure_at_rate(&cluster, rate, seconds, options.seed).await;
        let spent = begun.elapsed().as_secs_f64();
        let after = probe::read_usages(&cluster).await;
        let cost = probe::mean_cost(&cluster, &before, &after, spent, |_| true);
        let [direct, node] = &results;
        let millis = |us: u64| number(us as f64 / 1e3, 2);
        let at = |result: &LatencyResult, q| result.times.value_at_quantile(q);
        let added = |q| number((at(node, q) as f64 - at(direct, q) as f64) / 1e3, 2);
        let reached = node.times.len() as f64 / spent;
        report.add_row(
            "e. added latency",
            vec![
                ("rate/s", json!(rate)),
                ("reached/s", number(reached, 0)),
                ("errors", json!(node.errors + direct.errors)),
                ("direct p50 ms", millis(at(direct, 0.5))),
                ("direct p99 ms", millis(at(direct, 0.99))),
                ("node p50 ms", millis(at(node, 0.5))),
                ("node p99 ms", millis(at(node, 0.99))),
                ("added p50 ms", added(0.5)),
                ("added p99 ms", added(0.99)),
                ("node % of a core", number(cost.process, 0)),
            ],
        );
        if reached < 0.8 * rate {
            break;
        }
    }
}

#[derive(Debug)]
struct LatencyResult {
    times: Histogram<u64>,
    errors: u64,
}

/// Sends requests as a Poisson process, each at random either directly to a server or through the node. Returns
/// the results in this order.
async fn measure_at_rate(
    cluster: &Cluster,
    rate: f64,
    seconds: f64,
    seed: u64,
) -> [LatencyResult; 2] {
    let (arrive, mut arrivals) = mpsc::unbounded_channel();
    // A thread sleeps more precisely than the runtime's timers, which round up to a millisecond.
    let pacer = std::thread::spawn(move || {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (begun, mut offset) = (Instant::now(), 0.0);
        while offset < seconds {
            offset += -(1.0 - rng.random::<f64>()).ln() / (2.0 * rate);
            let intended = begun + Duration::from_secs_f64(offset);
            std::thread::sleep(intended.saturating_duration_since(Instant::now()));
            if arrive.send((intended, rng.random::<bool>(), rng.random::<u32>())).is_err() {
                return;
            }
        }
    });
    let (finish, mut finished) = mpsc::unbounded_channel();
    while let Some((intended, via_node, pick)) = arrivals.recv().await {
        let backends = &cluster.backends["stock"];
        let addr = match via_node {
            true => cluster.nodes[0].entry,
            false => backends[pick as usize % backends.len()].addr(),
        };
        let request = cluster.client.get(format!("http://{addr}/stock/normal"));
        let request = request.timeout(Duration::from_secs(3));
        let finish = finish.clone();
        tokio::spawn(async move {
            let is_complete = match request.send().await {
                Ok(response) if response.status() == 200 => response.bytes().await.is_ok(),
                _ => false,
            };
            let micros = is_complete.then(|| intended.elapsed().as_micros() as u64);
            let _ = finish.send((via_node, micros));
        });
    }
    drop(finish);
    // The upper bound, in microseconds, is longer than the timeout of a request.
    let times = || Histogram::new_with_bounds(1, 10_000_000, 3).expect("the bounds are valid");
    let empty = || LatencyResult { times: times(), errors: 0 };
    let mut results = [empty(), empty()];
    while let Some((via_node, micros)) = finished.recv().await {
        let result = &mut results[usize::from(via_node)];
        match micros {
            Some(micros) => result.times.saturating_record(micros),
            None => result.errors += 1,
        }
    }
    let _ = pacer.join();
    results
}
