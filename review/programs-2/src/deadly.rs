//! A request that ends each server which begins to run it comes again and again. Its client retries it once.

use crate::{
    backend::{Backend, Behaviour},
    caller,
    fleet::{orders_and_documents_to, Site, HOST, TIMEOUT_MS},
    gateway::{bounds, Gateway},
    record::Recorder,
    Verdict,
};
use redwingtrestle_core::process::registration::RegistrationState;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

const GATEWAYS: usize = 5;
const SERVERS: usize = 12;

/// The path of the request.
const PATH: &str = "/documents/7";

/// The client comes again so often, after this time each.
const VISITS: u32 = 4;
const PAUSE: Duration = Duration::from_secs(7);

/// The time between two orders of other clients.
const ORDER_PAUSE: Duration = Duration::from_millis(50);

/// The client's retries of a failed request. Each is an attempt of its own, on a new connection.
const RETRIES: usize = 1;

/// The time from a client to a gateway and back, twice the 3 ms of the site.
const ROUND_TRIP: Duration = Duration::from_millis(6);

/// `stableWindowMs`, in seconds.
const STABLE_S: f64 = 3.0;

/// The rule counts what comes later than that after the third end of a server.
const ENDS: usize = 3;
const MOST: usize = 3;

/// Runs the case.
pub async fn run(site: &Site, has_trouble: bool) -> Result<Verdict, String> {
    let record = &site.record;
    let store = Arc::new(site.store().await?);
    let behaviour =
        Behaviour { work: Duration::from_millis(400), deadly: has_trouble.then(|| PATH.into()) };
    store.publish(&orders_and_documents_to("documents"));
    let mut backends = Vec::new();
    for number in 1..=SERVERS {
        let names = [&*format!("i-{number}"), "documents", "a"];
        let backend = Backend::start(record, names, site.any_port(2), behaviour.clone()).await;
        let backend = backend.map_err(|e| e.to_string())?.with_store(&store);
        store.register(&backend.registration(RegistrationState::Ready, 1));
        backends.push(backend);
    }
    let mut places = site.places(&["a"; GATEWAYS], &bounds())?;
    places.iter_mut().for_each(|place| place.store = store.addr());
    let gateways = site.start(places).await?;
    // Gateways hold retries only some seconds after their start.
    tokio::time::sleep(Duration::from_secs(10)).await;
    let entries = gateways.iter().map(|g| g.place.entry()).collect();
    let orders = tokio::spawn(send_orders(record.clone(), entries));
    for visit in 1..=VISITS {
        come(site, &gateways, visit).await;
        tokio::time::sleep(PAUSE).await;
    }
    let (sent, lost) = orders.await.map_err(|e| e.to_string())?;
    record.say(&format!("{lost} of {sent} orders of other clients got no answer of a server"));
    let arrivals = backends.iter().flat_map(Backend::arrivals);
    let visits = arrivals.filter(|arrival| arrival.attempt.starts_with("visit-"));
    let mut times: Vec<f64> = visits.map(|arrival| arrival.at).collect();
    times.sort_by(f64::total_cmp);
    record.say(&format!("the request reached servers {} times", times.len()));
    let Some(third) = times.get(ENDS - 1).filter(|_| has_trouble) else {
        return Ok(Verdict::Held);
    };
    let late = times.iter().filter(|at| **at > third + STABLE_S).count();
    record.say(&format!(
        "{late} times later than 3 s after the third server had ended under it, {MOST} allowed"
    ));
    Ok(if late > MOST { Verdict::Broken } else { Verdict::Held })
}

/// Sends orders of other clients, and returns how many were sent, and how many were not answered by a server.
async fn send_orders(record: Recorder, entries: Vec<SocketAddr>) -> (usize, usize) {
    let begun = Instant::now();
    let mut calls = Vec::new();
    while begun.elapsed() < PAUSE * VISITS {
        let number = calls.len();
        let entry = entries[number % entries.len()];
        let attempt = format!("order-{number}");
        let order = caller::request("POST", HOST, "/orders/1", &attempt, TIMEOUT_MS);
        let record = record.clone();
        calls.push(tokio::spawn(async move {
            record.line(&format!("sent {attempt}"));
            let reply = caller::send(entry, &order, Duration::from_secs(5)).await;
            let status = reply.map_or(0, |reply| reply.status);
            record.line(&format!("answered {attempt}: {status}"));
            status
        }));
        tokio::time::sleep(ORDER_PAUSE).await;
    }
    let (sent, mut lost) = (calls.len(), 0);
    for call in calls {
        lost += usize::from(call.await.unwrap_or_default() != 200);
    }
    (sent, lost)
}

/// Sends the request, and retries it after a failure, at another gateway.
async fn come(site: &Site, gateways: &[Gateway], visit: u32) {
    let record = &site.record;
    for number in 0..=RETRIES {
        let gateway = &gateways[(visit as usize + number) % gateways.len()];
        let attempt = format!("visit-{visit}-{number}");
        let request = caller::request("GET", HOST, PATH, &attempt, TIMEOUT_MS);
        // One round trip for the new connection, and one for the request and its answer.
        tokio::time::sleep(2 * ROUND_TRIP).await;
        record.line(&format!("sent {attempt} to {}", gateway.place.name));
        let reply = caller::send(gateway.place.entry(), &request, Duration::from_secs(5)).await;
        let status = reply.as_ref().map_or(0, |reply| reply.status);
        let wait = reply.as_ref().and_then(|reply| reply.header("retry-after")).unwrap_or("none");
        record.say(&format!("answered {attempt}: {status}, Retry-After {wait}"));
        // A refusal that names a time beyond a third of what is left ends the client's retries.
        if status < 500 || status == 503 {
            return;
        }
    }
}
