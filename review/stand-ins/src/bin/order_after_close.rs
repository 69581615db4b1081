//! Orders that a server refuses after some time in its queue, and whose clients have left meanwhile.

use redwingtrestle_core::version::routing_config::RepeatPolicy;
use redwingtrestle_platform_fakes::store::Store;
use redwingtrestle_review::{
    client, configuration,
    gateways::{address, free_network, GatewayProcess},
    route,
    servers::{self, Request, Run, Site, Work},
    Case, Verdict,
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    process::ExitCode,
    sync::Arc,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

const SERVICE: &str = "facture-issue";
const SERVERS: u8 = 17;
const GATEWAYS: u8 = 3;
const ZONES: [&str; 3] = ["bzh-west-a", "bzh-west-b", "bzh-west-c"];

/// The time limit of a client that stays.
const LIMIT_MS: u64 = 8_000;

/// Orders come so fast for so long: more than the servers run (102 a second), so that some wait in the queues.
const STEP: Duration = Duration::from_millis(100);
const ORDERS_PER_STEP: u32 = 16;
const STEPS: u32 = 34;

/// How long an order runs.
const WORK: Duration = Duration::from_millis(1_000);

/// From so long after the first order on, for so long, the servers refuse this share of the orders.
const REFUSING_FROM: Duration = Duration::from_millis(3_600);
const REFUSING_FOR: Duration = Duration::from_millis(8_500);
const REFUSED_PERCENT: u64 = 55;

/// The orders come in rounds, each with its refusals.
const ROUNDS: u32 = 3;
const ROUND: Duration = Duration::from_secs(14);

/// When the first order is sent, after the start of the case.
const FIRST_ORDER: Duration = Duration::from_secs(4);

/// This share of the clients leaves so early.
const LEAVING_PERCENT: u32 = 30;
const LEAVES_AFTER: Duration = Duration::from_millis(300);

/// The rule: after so long, not more than a few requests reach a server. Read as ten.
const GONE_S: f64 = 0.5;
const A_FEW: usize = 10;

/// Returns a number from 0 to 99 that depends on the text only.
fn percent(text: &str) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(1_099_511_628_211);
    (text.bytes().fold(14_695_981_039_346_656_037, mix) >> 32) % 100
}

#[tokio::main]
async fn main() -> ExitCode {
    let case = Case::from_args();
    let network = free_network();
    let store = Arc::new(Store::start(([127, 0, 0, 1], 0).into()).await.expect("a free port"));
    let mut issue = route("/issue/", RepeatPolicy::Once, SERVICE, 8_000);
    issue.priority = 2;
    store.publish(&configuration(1, vec![issue]));
    let begun = Instant::now();
    let work = move |_: &str, request: &Request| {
        let time = begun.elapsed().saturating_sub(FIRST_ORDER).as_micros() % ROUND.as_micros();
        let time = Duration::from_micros(time as u64);
        let refuses = time > REFUSING_FROM && time < REFUSING_FROM + REFUSING_FOR;
        // The draw changes with time, so that another server may take what one refused.
        let draw = percent(&format!("{}-{}", request.attempt, time.as_micros()));
        let is_refused = refuses && draw < REFUSED_PERCENT;
        Work {
            time: if is_refused { Duration::ZERO } else { WORK },
            body_length: 400,
            is_refused,
            ..Work::default()
        }
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
    let mut clients = JoinSet::new();
    for number in 0..ROUNDS * STEPS * ORDERS_PER_STEP {
        if number % (STEPS * ORDERS_PER_STEP) == 0 {
            let round_begins = FIRST_ORDER + ROUND * (number / (STEPS * ORDERS_PER_STEP));
            tokio::time::sleep(round_begins.saturating_sub(begun.elapsed())).await;
        }
        let entry = gateways[number as usize % gateways.len()].entry;
        let leaves = case.has_trouble && (number * 7) % 100 < LEAVING_PERCENT;
        let (case, attempt) = (case.clone(), format!("order-{number}"));
        clients.spawn(async move {
            let limit = if leaves { LEAVES_AFTER } else { Duration::from_millis(LIMIT_MS) };
            let request = client::post("/issue/1", &attempt, LIMIT_MS, "total=120");
            let reply = client::call(entry, &request, limit).await;
            if leaves && reply.status == 0 {
                case.record.line(&format!("client of {attempt} leaves"));
                return Some((attempt, case.record.now()));
            }
            case.record.line(&format!("client of {attempt} got {reply}"));
            None
        });
        if number % ORDERS_PER_STEP == ORDERS_PER_STEP - 1 {
            tokio::time::sleep(STEP).await;
        }
    }
    let left: HashMap<String, f64> = clients.join_all().await.into_iter().flatten().collect();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let seen = site.seen.lock().expect("no server panicked").clone();
    judge(&case, &left, &seen.arrivals, &seen.runs)
}

/// Counts the requests that reached a server later than half a second after their client had closed its connection.
fn judge(case: &Case, left: &HashMap<String, f64>, arrivals: &[Run], runs: &[Run]) -> ExitCode {
    let is_late = |run: &&Run| left.get(&run.attempt).is_some_and(|at| run.at > at + GONE_S);
    let late: Vec<&Run> = arrivals.iter().filter(is_late).collect();
    for run in &late {
        let after = run.at - left[&run.attempt];
        case.record.line(&format!(
            "{} reaches {} {after:.3} s after its client left",
            run.attempt, run.server
        ));
    }
    let ran = late.iter().filter(|arrival| {
        let is_same = |run: &&Run| run.attempt == arrival.attempt && run.server == arrival.server;
        runs.iter().any(|run| is_same(&run))
    });
    let text = format!(
        "{} clients left; {} of their orders reached a server later than {GONE_S} s after that, and {} of these ran; \
         more than {A_FEW} break the rule",
        left.len(),
        late.len(),
        ran.count()
    );
    let verdict = if late.len() > A_FEW { Verdict::Broken } else { Verdict::Held };
    case.finish(verdict, &text)
}
