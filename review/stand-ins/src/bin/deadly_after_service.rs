//! A request that was served at every machine before, and ends each server which runs it from then on.

use redwingtrestle_core::version::routing_config::RepeatPolicy;
use redwingtrestle_platform_fakes::store::Store;
use redwingtrestle_review::{
    client, configuration, deadly,
    gateways::{free_network, GatewayProcess},
    route,
    servers::{Request, Site, Work},
    Case, Verdict,
};
use std::{
    process::ExitCode,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::Duration,
};

const PERIOD: Duration = Duration::from_millis(2_500);
const REPEATS: u32 = 18;
const GATEWAYS: u8 = 10;
const ZONES: [&str; 3] = ["bzh-west-a", "bzh-west-b", "bzh-west-c"];

fn work(request: &Request, is_deadly: bool) -> Work {
    if request.path.starts_with("/issue/") {
        return Work { time: Duration::from_millis(400), body_length: 400, ..Work::default() };
    }
    Work {
        time: Duration::from_millis(80),
        body_length: 1_500,
        crashes_after: is_deadly.then_some(0),
        ..Work::default()
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let case = Case::from_args();
    let network = free_network();
    let store = Arc::new(Store::start(([127, 0, 0, 1], 0).into()).await.expect("a free port"));
    let routes = vec![
        route("/preview/", RepeatPolicy::Once, deadly::SERVICE, 6_000),
        route("/issue/", RepeatPolicy::Once, deadly::SERVICE, 6_000),
    ];
    store.publish(&configuration(1, routes));
    let is_deadly = Arc::new(AtomicBool::new(false));
    let switch = is_deadly.clone();
    let site = Site {
        store: store.clone(),
        record: case.record.clone(),
        seen: Arc::default(),
        work: Arc::new(move |_: &str, request: &Request| {
            work(request, switch.load(Ordering::SeqCst))
        }),
        down: Duration::from_secs(2),
    };
    deadly::start_servers(&site, network).await;
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
    tokio::time::sleep(Duration::from_secs(3)).await;
    for (number, gateway) in gateways.iter().enumerate() {
        let attempt = format!("before-{number}");
        let request = client::post("/preview/", &attempt, deadly::LIMIT_MS, "invoice=7");
        let reply = deadly::send(&case, gateway.entry, &attempt, request).await;
        if reply.map_or(0, |reply| reply.status) != 200 {
            return case.finish(Verdict::NotRun, "the request was not served before");
        }
    }
    is_deadly.store(case.has_trouble, Ordering::SeqCst);
    let orders = deadly::send_orders(&case, &gateways, PERIOD * REPEATS);
    for number in 0..REPEATS {
        let attempt = format!("deadly-{number}");
        let request = client::post("/preview/", &attempt, deadly::LIMIT_MS, "invoice=7");
        let gateway = &gateways[number as usize % gateways.len()];
        deadly::send(&case, gateway.entry, &attempt, request);
        tokio::time::sleep(PERIOD).await;
    }
    let lost_orders = orders.await.expect("the orders were sent");
    deadly::judge(&case, &site, lost_orders)
}
