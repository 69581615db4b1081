//! What the cases about a request that ends servers share: the servers, the request that comes again, and the check.

use crate::{
    client::{self, Reply},
    gateways::{address, GatewayProcess},
    servers::{self, Site},
    Case, Verdict,
};
use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    time::Duration,
};
use tokio::task::{JoinHandle, JoinSet};

/// The service of all routes.
pub const SERVICE: &str = "facture-issue";

/// The number of servers of the service.
pub const SERVERS: u8 = 6;

/// The client's time limit.
pub const LIMIT_MS: u64 = 6_000;

/// `stableWindowMs`: later retries count.
const STABLE_WINDOW_S: f64 = 3.0;

/// The retries that the rule allows.
const ALLOWED_RETRIES: usize = 3;

/// The pause between two orders.
const ORDER_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the servers of the service.
pub async fn start_servers(site: &Site, network: [u8; 3]) {
    for number in 1..=SERVERS {
        let addr = SocketAddr::new(address(network, 100 + number), 8_185);
        servers::start(site.clone(), format!("i-{number}"), SERVICE, addr).await;
    }
}

/// Sends a request at `entry` and records what its client gets.
pub fn send(case: &Case, entry: SocketAddr, attempt: &str, request: Vec<u8>) -> JoinHandle<Reply> {
    let (record, attempt) = (case.record.clone(), attempt.to_string());
    tokio::spawn(async move {
        record.line(&format!("client sends {attempt} to {entry}"));
        let mut reply = client::call(entry, &request, Duration::from_millis(LIMIT_MS)).await;
        reply.at = record.now();
        record.line(&format!("client of {attempt} got {reply}"));
        reply
    })
}

/// Sends orders of other callers to the gateways in turn until `time` has passed, and returns how many got no success.
pub fn send_orders(case: &Case, gateways: &[GatewayProcess], time: Duration) -> JoinHandle<usize> {
    let record = case.record.clone();
    let entries: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.entry).collect();
    tokio::spawn(async move {
        let lost = Arc::new(AtomicUsize::new(0));
        let mut clients = JoinSet::new();
        let count = (time.as_millis() / ORDER_INTERVAL.as_millis()) as usize;
        for number in 0..count {
            let (record, lost) = (record.clone(), lost.clone());
            let entry = entries[number % entries.len()];
            clients.spawn(async move {
                let attempt = format!("order-{number}");
                let request = client::post("/issue/1", &attempt, LIMIT_MS, "total=120");
                let reply = client::call(entry, &request, Duration::from_millis(LIMIT_MS)).await;
                if reply.status != 200 || !reply.is_complete {
                    record.line(&format!("client of {attempt} got {reply}"));
                    lost.fetch_add(1, Ordering::SeqCst);
                }
            });
            tokio::time::sleep(ORDER_INTERVAL).await;
        }
        clients.join_all().await;
        lost.load(Ordering::SeqCst)
    })
}

/// Checks the rule: after the third end of a server under the request, and `stableWindowMs`, at most three retries of it
/// reach servers. A retry is counted once, even if it was sent to several servers.
pub fn judge(case: &Case, site: &Site, lost_orders: usize) -> ExitCode {
    let seen = site.seen.lock().expect("no server panicked").clone();
    let crashes = seen.crashes.len();
    let Some((third, _)) = seen.crashes.get(2) else {
        let text = format!("{crashes} servers crashed, {lost_orders} orders got no success");
        return case.finish(Verdict::Held, &text);
    };
    let is_late = |at: f64| at > third + STABLE_WINDOW_S;
    let mut late: Vec<&str> = seen
        .runs
        .iter()
        .filter(|run| run.attempt.starts_with("deadly") && is_late(run.at))
        .map(|run| run.attempt.as_str())
        .collect();
    late.sort_unstable();
    late.dedup();
    let text = format!(
        "{} retries reached servers later than {STABLE_WINDOW_S} s after the third crash, {ALLOWED_RETRIES} are allowed; \
         {crashes} crashes in all; {lost_orders} orders of others got no success",
        late.len()
    );
    let verdict = if late.len() > ALLOWED_RETRIES { Verdict::Broken } else { Verdict::Held };
    case.finish(verdict, &text)
}
