//! The gateway's own HTTP API: the directory of entries, readiness and metrics.

use crate::{
    error::{Error, Result},
    shared::{Fleet, Shared},
    telemetry,
};
use redwingtrestle_core::process::peer_table::NodeState;
use rocket::{get, http::Status, response::content::RawJson, routes, Build, Rocket, State};
use serde::Serialize;
use std::{net::SocketAddr, sync::Arc};

/// The largest number of entries in one response of the directory.
const MAX_ENTRIES: usize = 64;

/// The response of the directory: the entries to use, and how long to cache them in seconds.
#[derive(Debug, Serialize)]
struct EntriesDoc {
    entries: Vec<String>,
    ttl_s: u64,
}

#[get("/v1/entries?<zone>")]
fn entries(zone: Option<&str>, shared: &State<Arc<Shared>>) -> (Status, RawJson<String>) {
    let own = (shared.node_state() == NodeState::Ready).then_some(shared.settings.entry);
    let zone = zone.unwrap_or(shared.data_centre.as_str());
    let entries = {
        let mut fleet = shared.fleet();
        let Fleet { peers, rng, .. } = &mut *fleet;
        peers.entries(shared.now(), zone, own, MAX_ENTRIES, rng)
    };
    if entries.is_empty() {
        log::info!(target: "directory", zone; "no entry is ready, responding to the caller with 503");
        return (Status::ServiceUnavailable, RawJson("{}".into()));
    }
    let doc = EntriesDoc {
        entries: entries.iter().map(ToString::to_string).collect(),
        ttl_s: shared.settings.entries_ttl_s,
    };
    (Status::Ok, RawJson(serde_json::to_string(&doc).unwrap_or_default()))
}

#[get("/v1/health")]
fn health(shared: &State<Arc<Shared>>) -> Status {
    match shared.node_state() {
        NodeState::Ready => Status::Ok,
        NodeState::Starting | NodeState::Stopping => Status::ServiceUnavailable,
    }
}

#[get("/v1/metrics")]
fn metrics_text(shared: &State<Arc<Shared>>) -> String {
    metrics::gauge!("redwing_gateway_open_requests").set(shared.open_count() as f64);
    for (kind, memory) in
        [("requests", &shared.request_memory), ("responses", &shared.response_memory)]
    {
        metrics::gauge!("redwing_gateway_collected_bytes", "kind" => kind)
            .set(memory.used() as f64);
    }
    metrics::gauge!("redwing_quota_workspaces").set(shared.quotas().active_count() as f64);
    let (slowdown, typical) = {
        let peers = &shared.fleet().peers;
        (peers.slowdown(), peers.typical_share())
    };
    metrics::gauge!("redwing_gateway_message_slowdown").set(f64::from(slowdown.percent()) / 1e2);
    metrics::gauge!("redwing_gateway_typical_cores").set(f64::from(typical.thousandths()) / 1e3);
    telemetry::render()
}

fn rocket(addr: SocketAddr, shared: Arc<Shared>) -> Rocket<Build> {
    let figment = rocket::Config::figment()
        .merge(("address", addr.ip()))
        .merge(("port", addr.port()))
        .merge(("log_level", "off"))
        .merge(("cli_colors", false))
        .merge(("ident", false))
        .merge(("shutdown.ctrlc", false))
        .merge(("shutdown.signals", Vec::<String>::new()));
    rocket::custom(figment).manage(shared).mount("/", routes![entries, health, metrics_text])
}

/// Serves the API on each distinct address of the settings until the process ends.
pub async fn serve(shared: Arc<Shared>) -> Result<()> {
    let settings = &shared.settings;
    let mut addrs = vec![settings.directory, settings.health, settings.metrics];
    addrs.sort_unstable();
    addrs.dedup();
    for addr in addrs {
        let server = rocket(addr, shared.clone()).ignite().await;
        let server = server.map_err(|e| Error::start("calls", &format!("{addr}: {e}")))?;
        tokio::spawn(async move {
            match server.launch().await {
                Ok(_) => {
                    log::info!(target: "calls", addr:% = addr; "the HTTP API server ended");
                }
                Err(e) => {
                    log::error!(target: "calls", addr:% = addr; "the HTTP API server failed: {e}");
                }
            }
        });
    }
    Ok(())
}
