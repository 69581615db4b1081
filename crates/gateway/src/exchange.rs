//! JSON-RPC between nodes, by which a node that the store does not answer learns what others know.

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

/// The method by which a node asks for what is newer than what it knows.
const STATE: &str = "gateway.state";

/// The largest call or answer in bytes; 4,900 routes and 9,100 servers take about 4 MB.
pub const MAX_BODY: u32 = 16 << 20;

/// The most connections of other nodes at once.
const MAX_CONNECTIONS: u32 = 64;

/// How long a call may take. The next tick tries another node.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);

/// `StateDoc` is what one node tells another.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StateDoc {
    /// The configuration, if it is newer than the asker's.
    #[serde(rename = "catalog")]
    routing_config: Option<RoutingConfigDoc>,
    /// The registrations up to `end`, if they are newer than the asker's.
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
    /// What changed since the asker's position.
    Since(Vec<ServerRecord>),
}

/// Returns the settings of a server of calls between processes.
pub fn config(max_connections: u32) -> ServerConfig {
    ServerConfig::builder()
        .max_request_body_size(MAX_BODY)
        .max_response_body_size(MAX_BODY)
        .max_connections(max_connections)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .http_only()
        .build()
}

/// Starts to answer calls of other nodes.
pub async fn serve(shared: Arc<Shared>) -> Result<ServerHandle> {
    let addr = shared.settings.peer;
    let mut module = RpcModule::new(shared);
    module
        .register_method(STATE, |params, shared, _| {
            let (version, servers): (u64, u64) = params.parse()?;
            Ok::<_, ErrorObjectOwned>(state(shared, version, servers))
        })
        .map_err(|e| Error::start("exchange", &e))?;
    let builder = jsonrpsee::server::Server::builder().set_config(config(MAX_CONNECTIONS));
    let server = builder.build(addr).await.map_err(|e| Error::listen("exchange", addr, e))?;
    Ok(server.start(module))
}

/// Returns what is newer than the asker's version and position.
fn state(shared: &Shared, version: u64, servers: u64) -> StateDoc {
    let routing_config = shared.routing_config.load();
    let routing_config =
        routing_config.as_ref().filter(|c| c.version() > version).map(|c| c.doc().clone());
    let fleet = shared.fleet();
    let end = fleet.servers.position().filter(|end| *end > servers);
    let servers = end.map(|end| {
        let since = (servers > 0).then(|| fleet.registry.since(servers)).flatten();
        let records = since
            .map_or_else(|| RecordsDoc::All(fleet.registry.registrations()), RecordsDoc::Since);
        ServersDoc { end, records }
    });
    StateDoc { routing_config, servers }
}

/// Asks the node at `addr` for what is newer than what this node knows.
pub async fn fetch(shared: Arc<Shared>, addr: SocketAddr) {
    let version = shared.routing_config.load().as_ref().map_or(0, |c| c.version());
    let known = shared.fleet().servers.position().unwrap_or(0);
    // A new client each time: a connection that went silent must not be used again.
    let client = HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .max_response_size(MAX_BODY)
        .build(format!("http://{addr}"));
    let client = match client {
        Ok(client) => client,
        Err(e) => {
            log::warn!(target: "peers", peer:% = addr; "cannot ask for newer state: {e}");
            return;
        }
    };
    let answer: std::result::Result<StateDoc, _> =
        client.request(STATE, rpc_params![version, known]).await;
    match answer {
        Ok(StateDoc { routing_config, servers }) => {
            if let Some(doc) = routing_config {
                shared.install(&doc, "peer");
            }
            if let Some(ServersDoc { end, records }) = servers {
                match records {
                    RecordsDoc::All(entries) => shared.register_all(end, entries, "peer"),
                    RecordsDoc::Since(records) => {
                        for (id, position, entry) in records {
                            shared.register(&id, position, entry, "peer");
                        }
                    }
                }
                shared.fleet().servers.relayed(end);
            }
        }
        Err(e) => log::warn!(target: "peers", peer:% = addr; "cannot ask for newer state: {e}"),
    }
}
