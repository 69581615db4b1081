//! An upload in chunks that ends each server which runs it, beside good uploads to the same path.

use redwingtrestle_core::version::routing_config::RepeatPolicy;
use redwingtrestle_platform_fakes::store::Store;
use redwingtrestle_review::{
    client, configuration, deadly,
    gateways::{free_network, GatewayProcess},
    route,
    servers::{Request, Site, Work},
    Case, Verdict,
};
use std::{process::ExitCode, sync::Arc, time::Duration};

const PERIOD: Duration = Duration::from_millis(2_500);
const REPEATS: u32 = 14;
const BODY_LENGTH: usize = 300_000;

/// The uploads of other clients between two deadly ones.
const GOOD_UPLOADS: u32 = 2;

fn work(request: &Request, has_trouble: bool) -> Work {
    if request.path.starts_with("/issue/") {
        return Work { time: Duration::from_millis(400), body_length: 400, ..Work::default() };
    }
    let crashes = has_trouble && request.body.starts_with(b"deadly");
    Work {
        time: Duration::from_millis(80),
        body_length: 40,
        crashes_after: crashes.then_some(0),
        ..Work::default()
    }
}

fn upload(attempt: &str, kind: &str) -> Vec<u8> {
    let body: Vec<u8> = kind.bytes().cycle().take(BODY_LENGTH).collect();
    client::post_chunked("/upload/", attempt, deadly::LIMIT_MS, &body)
}

#[tokio::main]
async fn main() -> ExitCode {
    let case = Case::from_args();
    let has_trouble = case.has_trouble;
    let network = free_network();
    let store = Arc::new(Store::start(([127, 0, 0, 1], 0).into()).await.expect("a free port"));
    let routes = vec![
        route("/upload/", RepeatPolicy::Once, deadly::SERVICE, 6_000),
        route("/issue/", RepeatPolicy::Once, deadly::SERVICE, 6_000),
    ];
    store.publish(&configuration(1, routes));
    let site = Site {
        store: store.clone(),
        record: case.record.clone(),
        seen: Arc::default(),
        work: Arc::new(move |_: &str, request: &Request| work(request, has_trouble)),
        down: Duration::from_secs(2),
    };
    deadly::start_servers(&site, network).await;
    let gateways = [GatewayProcess::start(&case, network, 1, "bzh-west-a", store.addr(), 1)];
    if !gateways[0].wait_until_ready(&case.record).await {
        return case.finish(Verdict::NotRun, "the gateway did not get ready");
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let orders = deadly::send_orders(&case, &gateways, PERIOD * REPEATS);
    for number in 0..REPEATS {
        let attempt = format!("deadly-{number}");
        deadly::send(&case, gateways[0].entry, &attempt, upload(&attempt, "deadly."));
        for good in 0..GOOD_UPLOADS {
            tokio::time::sleep(PERIOD / (GOOD_UPLOADS + 1)).await;
            let attempt = format!("good-{number}-{good}");
            deadly::send(&case, gateways[0].entry, &attempt, upload(&attempt, "good."));
        }
        tokio::time::sleep(PERIOD / (GOOD_UPLOADS + 1)).await;
    }
    let lost_orders = orders.await.expect("the orders were sent");
    deadly::judge(&case, &site, lost_orders)
}
