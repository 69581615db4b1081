//! The two gateways that read the store for their zone are cut off from it without a sign, while the operator moves a
//! route to another service.

use crate::{
    backend::{Backend, Behaviour},
    caller,
    fleet::{orders_to, Site, HOST, TIMEOUT_MS},
    gateway::bounds,
    link::Link,
    Verdict,
};
use redwingtrestle_core::process::registration::RegistrationState;
use std::time::{Duration, Instant};

/// The gateways, all in one zone.
const NODES: usize = 5;

/// The gateways that are cut off, which have the lowest addresses.
const CUT: usize = 2;

/// `configApplyMs`, in seconds.
const APPLY_S: f64 = 2.0;

/// How long the gateways are cut off.
const CUT_TIME: Duration = Duration::from_millis(5_500);

/// The first wait of each gateway for records, which begins before it knows the others, has ended after this.
const SETTLE: Duration = Duration::from_secs(30);

/// The cut begins when both waits of the first gateway have begun no longer ago than this.
const FRESH: Duration = Duration::from_millis(500);

/// The time between two orders.
const ORDER_PAUSE: Duration = Duration::from_millis(50);

/// Runs the case.
pub async fn run(site: &Site, has_trouble: bool) -> Result<Verdict, String> {
    let record = &site.record;
    let store = site.store().await?;
    let behaviour = Behaviour { work: Duration::from_millis(100), deadly: None };
    let mut backends = Vec::new();
    for (id, service) in [("i-old", "old"), ("i-new", "new")] {
        let names = [id, service, "a"];
        let backend = Backend::start(record, names, site.any_port(2), behaviour.clone()).await;
        backends.push(backend.map_err(|e| e.to_string())?);
    }
    store.publish(&orders_to("old", 1, &["old", "new"]));
    backends.iter().for_each(|b| store.register(&b.registration(RegistrationState::Ready, 1)));
    let mut places = site.places(&["a"; NODES], &bounds())?;
    let mut links = Vec::new();
    for place in &mut places {
        let addr = (place.ip, place.ports.spare()).into();
        let link = Link::start(addr, store.addr()).await.map_err(|e| e.to_string())?;
        place.store = link.addr;
        links.push(link);
    }
    let gateways = site.start(places).await?;
    tokio::time::sleep(SETTLE).await;
    let begun = Instant::now();
    while links[0].longest_wait().is_none_or(|wait| wait > FRESH) {
        if begun.elapsed() > Duration::from_secs(40) {
            return Err("the first gateway does not watch the store as expected".into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    if has_trouble {
        links[..CUT].iter().for_each(|link| link.set_cut(true));
        record.say("the first two gateways are cut off from the store");
    }
    let cut_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let acked = record.seconds();
    store.publish(&orders_to("new", 2, &["old", "new"]));
    record
        .say("the operator moves the route from the service old to the service new, acknowledged");
    let mut calls = Vec::new();
    let mut number = 0;
    while cut_at.elapsed() < CUT_TIME {
        // Orders go only to gateways that nothing happened to.
        let gateway = &gateways[CUT + number % (NODES - CUT)];
        let attempt = format!("order-{number}-{}", gateway.place.name);
        let order = caller::request("POST", HOST, "/orders/1", &attempt, TIMEOUT_MS);
        let (entry, record) = (gateway.place.entry(), record.clone());
        calls.push(tokio::spawn(async move {
            let sent = record.seconds();
            record.line(&format!("sent {attempt}"));
            let reply = caller::send(entry, &order, Duration::from_secs(6)).await;
            let text = reply.map_or("no answer".to_string(), |reply| {
                format!("{} {}", reply.status, String::from_utf8_lossy(&reply.body))
            });
            record.line(&format!("answered {attempt}: {text}"));
            (attempt, sent)
        }));
        number += 1;
        tokio::time::sleep(ORDER_PAUSE).await;
    }
    links.iter().for_each(|link| link.set_cut(false));
    let mut sends = Vec::new();
    for call in calls {
        sends.push(call.await.map_err(|e| e.to_string())?);
    }
    let old: Vec<String> = backends[0].arrivals().into_iter().map(|a| a.attempt).collect();
    let ages =
        sends.iter().filter(|(attempt, _)| old.contains(attempt)).map(|(_, sent)| sent - acked);
    let late: Vec<f64> = ages.filter(|age| *age > APPLY_S).collect();
    let newest = late.iter().copied().fold(0.0, f64::max);
    record.say(&format!(
        "{} of {} orders that were sent more than 2 s after the acknowledgement ran at the service old, the last one {newest:.2} s after it",
        late.len(),
        sends.iter().filter(|(_, sent)| sent - acked > APPLY_S).count()
    ));
    Ok(if late.is_empty() { Verdict::Held } else { Verdict::Broken })
}
