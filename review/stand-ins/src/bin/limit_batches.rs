//! Batches of requests, one after the other with a pause, at a service whose servers name a limit.

use redwingtrestle_core::version::routing_config::RepeatPolicy;
use redwingtrestle_platform_fakes::store::Store;
use redwingtrestle_review::{
    client, configuration, deadly,
    gateways::{address, free_network, GatewayProcess},
    route,
    servers::{self, Request, Run, Site, Work},
    Case, Verdict,
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    time::Duration,
};

const SERVICE: &str = "archive-export";
const GATEWAYS: u8 = 15;
const ZONES: [&str; 3] = ["bzh-west-a", "bzh-west-b", "bzh-west-c"];
const SERVERS: u8 = 2;

/// `Server-Limit`, in requests a second.
const LIMIT: f64 = 1.0;

const BATCHES: u32 = 4;
const PERIOD: Duration = Duration::from_secs(20);

/// The requests of a batch at each gateway.
const BATCH_PER_GATEWAY: u32 = 4;

/// The rule's window and bound, `stableWindowMs`, and the time after which a machine that passed on an answer counts.
const WINDOW_S: f64 = 4.0;
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
const STABLE_WINDOW_S: f64 = 3.0;
const PASSED_ON_S: f64 = 0.5;

#[tokio::main]
async fn main() -> ExitCode {
    let case = Case::from_args();
    let has_trouble = case.has_trouble;
    let network = free_network();
    let store = Arc::new(Store::start(([127, 0, 0, 1], 0).into()).await.expect("a free port"));
    let routes = vec![route("/archive/", RepeatPolicy::Idempotent, SERVICE, 6_000)];
    store.publish(&configuration(1, routes));
    let work = move |_: &str, _: &Request| Work {
        time: Duration::from_millis(100),
        body_length: 400,
        notice: if has_trouble { format!("Server-Limit: {LIMIT}\r\n") } else { String::new() },
        ..Work::default()
    };
    let site = Site {
        store: store.clone(),
        record: case.record.clone(),
        seen: Arc::default(),
        work: Arc::new(work),
        down: Duration::from_secs(2),
    };
    for number in 1..=SERVERS {
        let addr = SocketAddr::new(address(network, 100 + number), 8_185);
        servers::start(site.clone(), format!("i-{number}"), SERVICE, addr).await;
    }
    let gateways: Vec<GatewayProcess> = (1..=GATEWAYS)
        .map(|host| {
            let zone = ZONES[usize::from(host) % ZONES.len()];
            GatewayProcess::start(&case, network, host, zone, store.addr(), GATEWAYS)
        })
        .collect();
    for gateway in &gateways {
        if !gateway.wait_until_ready(&case.record).await {
            return case.finish(Verdict::NotRun, "a gateway did not get ready");
        }
    }
    tokio::time::sleep(Duration::from_secs(4)).await;
    let mut clients = Vec::new();
    for batch in 0..BATCHES {
        for (machine, gateway) in gateways.iter().enumerate() {
            for number in 0..BATCH_PER_GATEWAY {
                let attempt = format!("m{machine}-{batch}-{number}");
                let request =
                    client::get(&format!("/archive/{attempt}"), &attempt, deadly::LIMIT_MS);
                let sending = deadly::send(&case, gateway.entry, &attempt, request);
                clients.push((attempt, sending));
            }
        }
        tokio::time::sleep(PERIOD).await;
    }
    let mut answered = HashMap::new();
    for (attempt, sending) in clients {
        let reply = sending.await.expect("the client ended");
        if reply.status == 200 {
            answered.insert(attempt, reply.at);
        }
    }
    let runs = site.seen.lock().expect("no server panicked").runs.clone();
    judge(&case, &runs, &answered)
}

/// Returns the machine that a client sent its attempt to.
fn machine(attempt: &str) -> &str {
    attempt.split('-').next().unwrap_or_default()
}

/// Checks the rule for each server. `answered` has the times at which the clients had their answers.
fn judge(case: &Case, runs: &[Run], answered: &HashMap<String, f64>) -> ExitCode {
    let mut by_server: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_server.entry(&run.server).or_default().push(run);
    }
    let mut most = 0;
    for (server, runs) in by_server {
        // When each machine first passed on an answer of this server.
        let mut passed_on: HashMap<&str, f64> = HashMap::new();
        for run in &runs {
            let Some(at) = answered.get(&run.attempt) else { continue };
            let first = passed_on.entry(machine(&run.attempt)).or_insert(*at);
            *first = first.min(*at);
        }
        let first_named = passed_on.values().copied().fold(f64::INFINITY, f64::min);
        let mut times: Vec<f64> = runs
            .iter()
            .filter(|run| {
                let since = passed_on.get(machine(&run.attempt));
                since.is_some_and(|since| run.at > since + PASSED_ON_S)
            })
            .map(|run| run.at)
            .filter(|at| *at > first_named + STABLE_WINDOW_S)
            .collect();
        times.sort_by(f64::total_cmp);
        for (index, from) in times.iter().enumerate() {
            let count = times[index..].iter().filter(|at| **at < from + WINDOW_S).count();
            if count > most {
                most = count;
                let machines = passed_on.len();
                case.record.line(&format!(
                    "server {server}: {count} requests in {WINDOW_S} s from {from:.3}, of {machines} machines"
                ));
            }
        }
    }
    let allowed = FACTOR * LIMIT * WINDOW_S + SLACK;
    let text = format!("a server got {most} requests in {WINDOW_S} s, its limit allows {allowed}");
    let is_broken = case.has_trouble && most as f64 > allowed;
    case.finish(if is_broken { Verdict::Broken } else { Verdict::Held }, &text)
}
