//! A server that starts again under its id while the store is down, and asks for a pause before its registration is known.

use redwingtrestle_core::version::routing_config::RepeatPolicy;
use redwingtrestle_platform_fakes::store::{Mode, Store};
use redwingtrestle_review::{
    client, configuration,
    gateways::{address, free_network, GatewayProcess},
    route,
    servers::{self, Request, Run, Site, Work},
    Case, Verdict,
};
use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};
use tokio::task::JoinSet;

const SERVICE: &str = "facture-issue";
const SERVERS: u8 = 3;
const RESTARTED: &str = "i-1";

/// The pause that the server asks for when it is back, and how long it takes to say so.
const PAUSE_S: f64 = 10.0;
const REFUSAL_TIME: Duration = Duration::from_millis(800);

const STORE_DOWN: Duration = Duration::from_secs(6);
const ORDER_INTERVAL: Duration = Duration::from_millis(8);
const ORDERS: u32 = 1_900;

/// The rule: from half a second after the refusal to the end of the pause, at most two requests.
const FROM_S: f64 = 0.5;
const ALLOWED: usize = 2;

#[tokio::main]
async fn main() -> ExitCode {
    let case = Case::from_args();
    let has_trouble = case.has_trouble;
    let network = free_network();
    let store = Arc::new(Store::start(([127, 0, 0, 1], 0).into()).await.expect("a free port"));
    store.publish(&configuration(1, vec![route("/issue/", RepeatPolicy::Once, SERVICE, 6_000)]));
    let is_back = Arc::new(AtomicBool::new(false));
    let switch = is_back.clone();
    let work = move |id: &str, request: &Request| {
        let crashes_after = request.path.starts_with("/crash").then_some(0);
        let is_refused = has_trouble && id == RESTARTED && switch.load(Ordering::SeqCst);
        let notice = if is_refused { format!("Retry-After: {PAUSE_S}\r\n") } else { String::new() };
        let time = if is_refused { REFUSAL_TIME } else { Duration::from_millis(50) };
        Work { time, body_length: 400, crashes_after, notice, is_refused }
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
    let gateway = GatewayProcess::start(&case, network, 1, "bzh-west-a", store.addr(), 1);
    if !gateway.wait_until_ready(&case.record).await {
        return case.finish(Verdict::NotRun, "the gateway did not get ready");
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    if has_trouble {
        store.set_mode(Mode::Refuse(503));
        case.record.line("the store is down");
        let addr = SocketAddr::new(address(network, 101), 8_185);
        let crash = client::get("/crash", "crash", 1_000);
        client::call(addr, &crash, Duration::from_millis(500)).await;
        is_back.store(true, Ordering::SeqCst);
        let (store, record) = (store.clone(), case.record.clone());
        tokio::spawn(async move {
            tokio::time::sleep(STORE_DOWN).await;
            store.set_mode(Mode::Serve);
            record.line("the store is back");
        });
    }
    let mut clients = JoinSet::new();
    for number in 0..ORDERS {
        let entry = gateway.entry;
        clients.spawn(async move {
            let request = client::post("/issue/1", &format!("order-{number}"), 6_000, "total=120");
            client::call(entry, &request, Duration::from_secs(6)).await
        });
        tokio::time::sleep(ORDER_INTERVAL).await;
    }
    clients.join_all().await;
    let seen = site.seen.lock().expect("no server panicked").clone();
    judge(&case, &seen.arrivals)
}

fn judge(case: &Case, arrivals: &[Run]) -> ExitCode {
    // The first order that the server got after its start is the one that it refused first.
    let at_server: Vec<&Run> = arrivals.iter().filter(|run| run.server == RESTARTED).collect();
    let crashed = at_server.iter().find(|run| run.attempt == "crash").map(|run| run.at);
    let Some(first) = crashed.and_then(|at| at_server.iter().find(|run| run.at > at)) else {
        return case.finish(Verdict::Held, "no pause was asked for");
    };
    let refused = first.at + REFUSAL_TIME.as_secs_f64();
    let in_pause = |run: &&&Run| run.at > refused + FROM_S && run.at < refused + PAUSE_S;
    let count = at_server.iter().filter(in_pause).count();
    let text = format!("{count} requests in the pause of {PAUSE_S} s, {ALLOWED} are allowed");
    case.finish(if count > ALLOWED { Verdict::Broken } else { Verdict::Held }, &text)
}
