//! Gateways whose bounds have a fraction, as `DEPLOY.md` allows.

use crate::{
    backend::{Backend, Behaviour},
    caller,
    fleet::{orders_to, Site, HOST, TIMEOUT_MS},
    gateway::{bounds, Gateway},
    Verdict,
};
use redwingtrestle_core::process::registration::RegistrationState;
use std::time::{Duration, Instant};

/// The platform starts an ended process again after this.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// How long the platform keeps starting the processes.
const WAIT: Duration = Duration::from_secs(12);

/// Starts two gateways, keeps starting them as the platform does, and sends one order to each.
pub async fn run(site: &Site, has_trouble: bool) -> Result<Verdict, String> {
    let record = &site.record;
    let mut bounds = bounds();
    if has_trouble {
        bounds["graceS"] = serde_json::json!(6.5);
    }
    record.say(&format!("graceS of the platform is {}", bounds["graceS"]));
    let store = site.store().await?;
    let behaviour = Behaviour { work: Duration::from_millis(50), deadly: None };
    let names = ["i-1", "orders", "a"];
    let backend = Backend::start(record, names, site.any_port(2), behaviour).await;
    let backend = backend.map_err(|e| e.to_string())?;
    store.publish(&orders_to("orders", 1, &["orders"]));
    store.register(&backend.registration(RegistrationState::Ready, 1));
    let mut served = 0;
    let places = site.places(&["a", "a"], &bounds)?;
    let count = places.len();
    for mut place in places {
        place.store = store.addr();
        let begun = Instant::now();
        let (mut starts, mut is_ready) = (0, false);
        let mut gateway = None;
        while !is_ready && begun.elapsed() < WAIT {
            // The process that ended goes first, as its addresses are used again.
            drop(gateway.take());
            let mut started = Gateway::start(&site.root, &site.temp, place.clone())?;
            starts += 1;
            is_ready = started.wait_ready(WAIT, record).await;
            gateway = Some(started);
            if !is_ready {
                tokio::time::sleep(RESTART_PAUSE).await;
            }
        }
        record.say(&format!("{}: {starts} starts, ready: {is_ready}", place.name));
        let attempt = format!("order-{}", place.name);
        let order = caller::request("POST", HOST, "/orders/1", &attempt, TIMEOUT_MS);
        record.line(&format!("sent {attempt} to {}", place.name));
        let reply = caller::send(place.entry(), &order, Duration::from_secs(5)).await;
        let status = reply.map_or("no answer".to_string(), |reply| reply.status.to_string());
        record.say(&format!("answered {attempt}: {status}"));
        served += usize::from(status == "200");
    }
    record.say(&format!("{served} of {count} gateways started and served their order"));
    Ok(if served == count { Verdict::Held } else { Verdict::Broken })
}
