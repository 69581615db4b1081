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
    process::{registration::Registration, server_registry::ServerRecord},
    version::routing_config::RoutingConfigDoc,
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc, time::Duration};

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
    /// The registrations before position `end`, if they are newer than the calling node's.
    servers: Option<ServersDoc>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct ServersDoc {
    end: u64,
    records: RecordsDoc,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum RecordsDoc {
    /// All registrations.
    All(Vec<(Registration, u64)>),
    /// The changes since the calling node's position.
    Since(Vec<ServerRecord>),
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
            let (version, servers): (u64, u64) = params.parse()?;
            Ok::<_, ErrorObjectOwned>(newer_state(shared, version, servers))
        })
        .map_err(|e| Error::start("exchange", &e))?;
    let builder = jsonrpsee::server::Server::builder().set_config(config(MAX_CONNECTIONS));
    let server = builder.build(addr).await.map_err(|e| Error::listen("exchange", addr, e))?;
    Ok(server.start(module))
}

/// Returns the state that is newer than the calling node's version and position.
fn newer_state(shared: &Shared, version: u64, servers: u64) -> NewerStateDoc {
    let routing_config = shared.routing_config.load();
    let routing_config =
        routing_config.as_ref().filter(|c| c.version() > version).map(|c| c.doc().clone());
    let fleet = shared.fleet();
    let end = fleet.server_watch.position().filter(|end| *end > servers);
    let servers = end.map(|end| {
        let since = (servers > 0).then(|| fleet.registry.changes_since(servers)).flatten();
        let records = since
            .map_or_else(|| RecordsDoc::All(fleet.registry.registrations()), RecordsDoc::Since);
        ServersDoc { end, records }
    });
    NewerStateDoc { routing_config, servers }
}

/// Gets the state that is newer than this node's from the node at `addr`, and applies it.
pub async fn fetch(shared: Arc<Shared>, addr: SocketAddr) {
    let version = shared.routing_config.load().as_ref().map_or(0, |c| c.version());
    let known = shared.fleet().server_watch.position().unwrap_or(0);
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
    let response: std::result::Result<NewerStateDoc, _> =
        client.request(NEWER_STATE, rpc_params![version, known]).await;
    match response {
        Ok(NewerStateDoc { routing_config, servers }) => {
            if let Some(doc) = routing_config {
                shared.apply_config(&doc, "peer");
            }
            if let Some(ServersDoc { end, records }) = servers {
                match records {
                    RecordsDoc::All(registrations) => {
                        shared.apply_registrations(end, registrations, "peer");
                    }
                    RecordsDoc::Since(records) => {
                        for (id, position, registration) in records {
                            shared.apply_registration(&id, position, registration, "peer");
                        }
                    }
                }
                shared.fleet().server_watch.advance_relayed(end);
            }
        }
        Err(e) => {
            log::warn!(target: "peers", peer:% = addr;
                "the node did not return its newer state: {e}");
        }
    }
}
