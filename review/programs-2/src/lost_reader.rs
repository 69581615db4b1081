//! The store gives no response for some seconds. Later the gateway with the lowest address is lost, and the operator moves
//! a route to another service.

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

/// The zones of the gateways.
const ZONES: [&str; 9] = ["a", "a", "a", "b", "b", "b", "c", "c", "c"];

/// `configApplyMs`, in seconds.
const APPLY_S: f64 = 2.0;

/// The first wait of each gateway for records, which begins before it knows the others, has ended after this.
const SETTLE: Duration = Duration::from_secs(30);

/// The time from a change that all gateways read to the outage.
const CALM: Duration = Duration::from_millis(800);

/// How long the store gives no response.
const DOWN_TIME: Duration = Duration::from_millis(4_500);

/// The time from the end of the outage to the loss of a gateway, and from that to the change of the route.
const BEFORE_LOSS: Duration = Duration::from_millis(4_500);
const BEFORE_CHANGE: Duration = Duration::from_millis(1_500);

/// How long orders are sent after the change.
const ORDER_TIME: Duration = Duration::from_secs(18);

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
    let mut places = site.places(&ZONES, &bounds())?;
    let mut links = Vec::new();
    for place in &mut places {
        let addr = (place.ip, place.ports.spare()).into();
        let link = Link::start(addr, store.addr()).await.map_err(|e| e.to_string())?;
        place.store = link.addr;
        links.push(link);
    }
    let mut gateways = site.start(places).await?;
    tokio::time::sleep(SETTLE).await;
    store.publish(&orders_to("old", 2, &["old", "new"]));
    let names = ["i-added", "new", "b"];
    let added = Backend::start(record, names, site.any_port(2), behaviour.clone()).await;
    let added = added.map_err(|e| e.to_string())?;
    store.register(&added.registration(RegistrationState::Ready, 1));
    record.say("the operator sends a version, and a server is added");
    tokio::time::sleep(CALM).await;
    if has_trouble {
        links.iter().for_each(|link| link.set_down(true));
        record.say("the store gives no response");
        tokio::time::sleep(DOWN_TIME).await;
        links.iter().for_each(|link| link.set_down(false));
        record.say("the store answers again");
        tokio::time::sleep(BEFORE_LOSS).await;
        drop(gateways.remove(0));
        record.say("the first gateway is lost");
        tokio::time::sleep(BEFORE_CHANGE).await;
    }
    let acked = record.seconds();
    store.publish(&orders_to("new", 3, &["old", "new"]));
    record
        .say("the operator moves the route from the service old to the service new, acknowledged");
    let begun = Instant::now();
    let mut calls = Vec::new();
    let mut number = 0;
    while begun.elapsed() < ORDER_TIME {
        let gateway = &gateways[number % gateways.len()];
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
