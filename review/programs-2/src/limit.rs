//! Callers come at once, one at each gateway, after a quiet time, to a server that names a limit.

use crate::{
    backend::{Backend, Behaviour},
    caller,
    fleet::{orders_to, Site, HOST, TIMEOUT_MS},
    gateway::{bounds, Gateway},
    Verdict,
};
use redwingtrestle_core::process::registration::RegistrationState;
use std::time::Duration;

const ZONES: [&str; 17] =
    ["a", "a", "a", "a", "a", "a", "b", "b", "b", "b", "b", "b", "c", "c", "c", "c", "c"];

/// The limit that the server names, in requests per second.
const LIMIT: f64 = 1.0;

/// The time without requests before each round.
const QUIET: Duration = Duration::from_secs(22);

/// The rounds in which one caller comes to each gateway.
const ROUNDS: u32 = 2;

/// `stableWindowMs`, in seconds.
const STABLE_S: f64 = 3.0;

/// The window of the rule, in seconds.
const WINDOW_S: f64 = 4.0;

/// Runs the case.
pub async fn run(site: &Site, has_trouble: bool) -> Result<Verdict, String> {
    let record = &site.record;
    let store = site.store().await?;
    let limit = has_trouble.then(|| LIMIT.to_string());
    let behaviour = Behaviour { work: Duration::from_millis(300), limit, deadly: None };
    let names = ["i-1", "orders", "a"];
    let backend = Backend::start(record, names, site.any_port(2), behaviour).await;
    let backend = backend.map_err(|e| e.to_string())?;
    store.publish(&orders_to("orders", 1, &["orders"]));
    store.register(&backend.registration(RegistrationState::Ready, 1));
    let mut places = site.places(&ZONES, &bounds())?;
    places.iter_mut().for_each(|place| place.store = store.addr());
    let gateways = site.start(places).await?;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let named_at = record.seconds();
    let passed_on = round(site, &gateways, 0).await;
    record.say(&format!(
        "{passed_on} of {} gateways passed on an answer with Server-Limit",
        gateways.len()
    ));
    if has_trouble && passed_on < gateways.len() {
        return Err("not every gateway passed on an answer with Server-Limit".into());
    }
    for number in 1..=ROUNDS {
        tokio::time::sleep(QUIET).await;
        round(site, &gateways, number).await;
    }
    if !has_trouble {
        return Ok(Verdict::Held);
    }
    let times: Vec<f64> = backend.arrivals().iter().map(|arrival| arrival.at).collect();
    let times: Vec<f64> = times.into_iter().filter(|at| *at >= named_at + STABLE_S).collect();
    let count =
        |from: f64| times.iter().filter(|at| **at >= from && **at < from + WINDOW_S).count();
    let most = times.iter().map(|from| count(*from)).max().unwrap_or(0);
    let allowed = 1.5 * LIMIT * WINDOW_S + 5.0;
    record.say(&format!("at most {most} requests in 4 s, {allowed} allowed"));
    Ok(if most as f64 > allowed { Verdict::Broken } else { Verdict::Held })
}

/// Sends one order to each gateway at once, and returns how many answers name a limit.
async fn round(site: &Site, gateways: &[Gateway], number: u32) -> usize {
    let record = &site.record;
    let mut calls = Vec::new();
    for gateway in gateways {
        let attempt = format!("order-{number}-{}", gateway.place.name);
        let order = caller::request("POST", HOST, "/orders/1", &attempt, TIMEOUT_MS);
        let (entry, record) = (gateway.place.entry(), record.clone());
        calls.push(tokio::spawn(async move {
            record.line(&format!("sent {attempt}"));
            let reply = caller::send(entry, &order, Duration::from_secs(6)).await;
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            record.line(&format!("answered {attempt}: {status}"));
            (status, reply.is_some_and(|reply| reply.header("server-limit").is_some()))
        }));
    }
    let (mut named, mut served) = (0, 0);
    for call in calls {
        let (status, is_named) = call.await.unwrap_or_default();
        named += usize::from(is_named);
        served += usize::from(status == 200);
    }
    record.say(&format!("round {number}: {served} of {} orders served", gateways.len()));
    named
}
