//! The operator raises the limit on the heads of requests, and callers use it on connections that they kept.

use crate::{
    backend::{Backend, Behaviour},
    caller::{self, Kept},
    fleet::{orders_to, Site, HOST, TIMEOUT_MS},
    gateway::bounds,
    Verdict,
};
use redwingtrestle_core::process::registration::RegistrationState;
use std::{net::SocketAddr, time::Duration};

const GATEWAYS: usize = 3;
const CALLERS: usize = 24;

/// `maxHeaderBytes` before and after the change.
const BEFORE: usize = 16 * 1024;
const AFTER: usize = 32 * 1024;

/// The length of the header that makes the heads of the later orders long.
const LONG_HEADER: usize = 20_000;

/// The time after the acknowledgement of the change until the long orders, more than `configApplyMs`.
const APPLY: Duration = Duration::from_millis(4_000);

/// Runs the case.
pub async fn run(site: &Site, has_trouble: bool) -> Result<Verdict, String> {
    let record = &site.record;
    let store = site.store().await?;
    let behaviour = Behaviour { work: Duration::from_millis(50), deadly: None };
    for number in 1..=4 {
        let names = [&*format!("i-{number}"), "orders", "a"];
        let backend = Backend::start(record, names, site.any_port(2), behaviour.clone()).await;
        let backend = backend.map_err(|e| e.to_string())?;
        store.register(&backend.registration(RegistrationState::Ready, 1));
    }
    let mut first = orders_to("orders", 1, &["orders"]);
    first.limits.head = if has_trouble { BEFORE } else { AFTER };
    store.publish(&first);
    let mut places = site.places(&["a"; GATEWAYS], &bounds())?;
    places.iter_mut().for_each(|place| place.store = store.addr());
    let gateways = site.start(places).await?;
    tokio::time::sleep(Duration::from_secs(4)).await;
    let entries: Vec<SocketAddr> = gateways.iter().map(|g| g.place.entry()).collect();
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let Some(mut kept) = Kept::connect(entries[number % entries.len()]).await else {
            return Err("a caller cannot connect".into());
        };
        let attempt = format!("short-{number}");
        let order = caller::request("POST", HOST, "/orders/1", &attempt, TIMEOUT_MS);
        record.line(&format!("sent {attempt}"));
        let status = kept.exchange(&order).await.map_or(0, |reply| reply.status);
        record.line(&format!("answered {attempt}: {status}"));
        callers.push(kept);
    }
    let mut second = orders_to("orders", 2, &["orders"]);
    second.limits.head = AFTER;
    store.publish(&second);
    record.say(&format!("the operator sets maxHeaderBytes to {AFTER}, acknowledged"));
    tokio::time::sleep(APPLY).await;
    let mut denied = 0;
    for (number, kept) in callers.iter_mut().enumerate() {
        denied += usize::from(send_long(site, kept, &format!("long-{number}")).await == 431);
    }
    let mut denied_new = 0;
    for (number, entry) in entries.iter().enumerate() {
        let Some(mut kept) = Kept::connect(*entry).await else {
            return Err("a caller cannot connect".into());
        };
        denied_new +=
            usize::from(send_long(site, &mut kept, &format!("new-{number}")).await == 431);
    }
    record.say(&format!(
        "431 for {denied} of {CALLERS} long orders on kept connections, and for {denied_new} of {GATEWAYS} on new ones"
    ));
    // More than 5 and one in 500 of all requests.
    let all = 2 * CALLERS + GATEWAYS;
    let is_broken = denied + denied_new > 5 + all / 500;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}

/// Sends an order with a long head, and returns the status of its answer, 0 without one.
async fn send_long(site: &Site, kept: &mut Kept, attempt: &str) -> u16 {
    let order = caller::request("POST", HOST, "/orders/1", attempt, TIMEOUT_MS);
    let long = format!("X-Context: {}\r\nX-Attempt-Id", "a".repeat(LONG_HEADER));
    let order = order.replacen("X-Attempt-Id", &long, 1);
    site.record.line(&format!("sent {attempt}, {} bytes", order.len()));
    let status = kept.exchange(&order).await.map_or(0, |reply| reply.status);
    site.record.line(&format!("answered {attempt}: {status}"));
    status
}
