//! JSON-RPC between nodes, by which a node gets newer state from a peer that is ahead of it.

use crate::{
    error::{Error, Result},
    shared::Shared,
};
use jsonrpsee::{
    core::client::ClientT,
    http_client::HttpClientBuilder,
    rpc_params,
    server::{BatchRequestConfig, RpcModule, ServerConfig, ServerHandle},
    types::ErrorObjectOwned,
};
use redwingtrestle_core::{
    process::{
        registration::{Registration, ServerId},
        server_registry::ServerRecord,
        stream_position::{EraChange, StreamPosition},
    },
    version::routing_config::RoutingConfigDoc,
};
use serde::{Deserialize, Serialize};
use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};

/// The method that returns the state newer than the caller's.
const NEWER_STATE: &str = "gateway.state";

/// The largest call or response, in bytes. State with 4,900 routes and 9,100 servers takes about 4 MB.
pub const MAX_BODY: u32 = 16 << 20;

/// The largest number of concurrent connections from other nodes.
const MAX_CONNECTIONS: u32 = 64;

/// The timeout of a call. After it, the next tick of the gossip task tries another node.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// The response to [`NEWER_STATE`].
#[derive(Clone, Debug, Serialize, Deserialize)]
struct NewerStateDoc {
    /// The configuration, if it is newer than the calling node's.
    #[serde(rename = "catalog")]
    routing_config: Option<RoutingConfigDoc>,
    /// Whether the sender reads workspaces. Nodes of the version before drop them from the configuration, and would make
    /// requests without keys be served.
    #[serde(default)]
    reads_workspaces: bool,
    /// The registrations before position `end`, if they are newer than the calling node's.
    servers: Option<ServersDoc>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct ServersDoc {
    /// The era of all positions. Nodes of version 0.1 neither send nor read it.
    #[serde(default)]
    era: u64,
    end: u64,
    records: RecordsDoc,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum RecordsDoc {
    /// All registrations.
    All(Vec<(Registration, u64)>),
    /// The changes since the calling node's position.
    Since(Vec<(ServerId, u64, Option<Registration>)>),
}

impl ServersDoc {
    /// Encodes all registrations, or the changes if they are known.
    fn new(
        end: StreamPosition,
        since: Option<Vec<ServerRecord>>,
        all: impl FnOnce() -> Vec<(Registration, StreamPosition)>,
    ) -> Self {
        // A record that was read before the store was restored precedes all offsets of the era.
        let offset = |position: StreamPosition| {
            if position.era == end.era {
                position.offset
            } else {
                0
            }
        };
        let records = match since {
            Some(records) => {
                let rows = records.into_iter().map(|(id, at, record)| (id, offset(at), record));
                RecordsDoc::Since(rows.collect())
            }
            None => RecordsDoc::All(all().into_iter().map(|(r, at)| (r, offset(at))).collect()),
        };
        ServersDoc { era: end.era, end: end.offset, records }
    }

    /// Returns the position after the last record.
    fn end(&self) -> StreamPosition {
        StreamPosition::new(self.era, self.end)
    }

    /// Applies the records to the known servers.
    fn apply(self, shared: &Shared) {
        let end = self.end();
        if let EraChange::Outdated { .. } = shared.observe_era(end.era, "peer", Some(end)) {
            return;
        }
        let position = |offset| StreamPosition::new(end.era, offset);
        match self.records {
            RecordsDoc::All(rows) => {
                let rows = rows.into_iter().map(|(r, offset)| (r, position(offset)));
                shared.apply_registrations(end, rows.collect(), "peer");
            }
            RecordsDoc::Since(rows) => {
                for (id, offset, registration) in rows {
                    shared.apply_registration(&id, position(offset), registration, "peer");
                }
            }
        }
        shared.fleet().server_watch.advance_relayed(end);
    }
}

impl fmt::Display for RecordsDoc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecordsDoc::All(all) => write!(f, "all {}", all.len()),
            RecordsDoc::Since(changes) => write!(f, "{} changes", changes.len()),
        }
    }
}

/// Returns the settings of a JSON-RPC server for calls between nodes: size limits, no batches, HTTP only.
pub fn config(max_connections: u32) -> ServerConfig {
    ServerConfig::builder()
        .max_request_body_size(MAX_BODY)
        .max_response_body_size(MAX_BODY)
        .max_connections(max_connections)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .http_only()
        .build()
}

/// Starts the JSON-RPC server for other nodes.
pub async fn serve(shared: Arc<Shared>) -> Result<ServerHandle> {
    let addr = shared.settings.peer;
    let mut module = RpcModule::new(shared);
    module
        .register_method(NEWER_STATE, |params, shared, _| {
            let mut params = params.sequence();
            let (version, offset): (u64, u64) = (params.next()?, params.next()?);
            // Nodes of version 0.1 send no era.
            let era: Option<u64> = params.optional_next()?;
            let known = StreamPosition::new(era.unwrap_or_default(), offset);
            Ok::<_, ErrorObjectOwned>(newer_state(shared, version, known))
        })
        .map_err(|e| Error::start("exchange", &e))?;
    let builder = jsonrpsee::server::Server::builder().set_config(config(MAX_CONNECTIONS));
    let server = builder.build(addr).await.map_err(|e| Error::listen("exchange", addr, e))?;
    Ok(server.start(module))
}

/// Returns the state that is newer than the calling node's version and position.
fn newer_state(shared: &Shared, version: u64, known: StreamPosition) -> NewerStateDoc {
    let routing_config = shared.routing_config.load();
    let routing_config =
        routing_config.as_ref().filter(|c| c.version() > version).map(|c| c.doc().clone());
    let fleet = shared.fleet();
    let end = fleet.server_watch.position().filter(|end| *end > known);
    let servers = end.map(|end| {
        let since = (known.offset > 0).then(|| fleet.registry.changes_since(known)).flatten();
        ServersDoc::new(end, since, || fleet.registry.registrations())
    });
    NewerStateDoc { routing_config, reads_workspaces: true, servers }
}

/// Applies a configuration of a peer. One of a peer that does not read workspaces may lack them: beside workspaces it is
/// ignored, and otherwise this node reads the store itself to complete it.
fn apply_config(shared: &Shared, doc: &RoutingConfigDoc, reads_workspaces: bool, peer: SocketAddr) {
    let has_workspaces = shared.routing_config.load().as_ref().is_some_and(|c| c.has_workspaces());
    if reads_workspaces {
        shared.apply_config(doc, "peer");
    } else if has_workspaces {
        log::info!(target: "peers", peer:% = peer, version = doc.version;
            "a configuration of a node of an older version is ignored, as it may lack the workspaces");
    } else {
        shared.apply_partial_config(doc);
        shared.watch_directly();
    }
}

/// Gets the state that is newer than this node's from the node at `addr`, and applies it.
pub async fn fetch(shared: Arc<Shared>, addr: SocketAddr) {
    let version = shared.config_version();
    let (known, peer_era) = {
        let fleet = shared.fleet();
        (fleet.server_watch.position().unwrap_or_default(), fleet.peers.era_of(addr))
    };
    // A new client for each call, so that a dead connection is never reused.
    let client = HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_response_size(MAX_BODY)
        .build(format!("http://{addr}"));
    let client = match client {
        Ok(client) => client,
        Err(e) => {
            log::warn!(target: "peers", peer:% = addr;
                "cannot create a client to get newer state from the node: {e}");
            return;
        }
    };
    let StreamPosition { era, offset } = known;
    // Nodes of version 0.1 refuse a third parameter. Their registrations are of no known era, so beside a store that
    // sends its era they are asked for the configuration only.
    let params = match (era, peer_era) {
        (0, _) => rpc_params![version, offset],
        (_, 0) => rpc_params![version, u64::MAX],
        _ => rpc_params![version, offset, era],
    };
    let begun = shared.now();
    let response: std::result::Result<NewerStateDoc, _> = client.request(NEWER_STATE, params).await;
    let ms = shared.now().since(begun).as_millis();
    match response {
        Ok(NewerStateDoc { routing_config, reads_workspaces, servers }) => {
            if let Some(doc) = routing_config {
                apply_config(&shared, &doc, reads_workspaces, addr);
            }
            if let Some(servers) = servers {
                let end = servers.end();
                log::info!(target: "peers", peer:% = addr, before_era = era, before = offset,
                    era = end.era, end = end.offset, ms, records:% = servers.records;
                    "the node returned newer registrations");
                servers.apply(&shared);
            }
        }
        Err(e) => {
            log::warn!(target: "peers", peer:% = addr, era, before = offset, ms;
                "the node did not return its newer state: {e}");
        }
    }
}
