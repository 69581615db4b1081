//! JSON-RPC between nodes and from operators, over TCP on the peer port.

use crate::{
    error::{Error, Result},
    handover,
    operators::{
        self,
        token::{Token, TokenLayer},
    },
    shared::Shared,
};
use jsonrpsee::{
    core::client::ClientT,
    http_client::{HttpClient, HttpClientBuilder},
    rpc_params,
    server::RpcModule,
    types::ErrorObjectOwned,
};
use redwingtrestle_core::codes::ResultCode;
use redwingtrestle_gateway::peer_rpc::{self, MAX_BODY};
use redwingtrestle_wire::{handover::METHOD as HANDOVER_METHOD, log::StateDoc};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::JoinHandle,
    time::Duration,
};

/// The method with which a node fetches the state of another.
const FETCH_METHOD: &str = "config.fetch";

/// The maximum number of open connections.
const MAX_CONNECTIONS: u32 = 256;

/// The timeout of a state fetch from another node.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval at which the thread checks whether the node is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Starts the thread of the JSON-RPC server.
pub fn start(shared: Arc<Shared>, stop: Arc<AtomicBool>) -> Result<JoinHandle<()>> {
    let start_error = |e: std::io::Error| Error::start("rpc", e.to_string());
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(start_error)?;
    let addr = shared.settings.peer;
    let config = peer_rpc::config(MAX_CONNECTIONS);
    let module = module(shared)?;
    let token_layer = TokenLayer::new(Token::from_env()?);
    let middleware = tower::ServiceBuilder::new().layer(token_layer);
    let builder =
        jsonrpsee::server::Server::builder().set_config(config).set_http_middleware(middleware);
    let server =
        runtime.block_on(builder.build(addr)).map_err(|e| Error::listen("rpc", addr, e))?;
    std::thread::Builder::new()
        .name("rpc".into())
        .spawn(move || {
            runtime.block_on(async {
                let handle = server.start(module);
                while !stop.load(Ordering::SeqCst) {
                    tokio::time::sleep(STOP_CHECK_INTERVAL).await;
                }
                let _ = handle.stop();
            });
        })
        .map_err(start_error)
}

fn module(shared: Arc<Shared>) -> Result<RpcModule<Arc<Shared>>> {
    let mut module = RpcModule::new(shared);
    module
        .register_method(FETCH_METHOD, |_, shared, _| local_state(shared))
        .map_err(|e| Error::start("rpc", e.to_string()))?;
    operators::register(&mut module).map_err(|e| Error::start("rpc", e.to_string()))?;
    // Importing a large idempotency store takes long enough to delay other calls.
    module
        .register_blocking_method(HANDOVER_METHOD, |params, shared, _| {
            handover::receive(&shared, &params)
        })
        .map_err(|e| Error::start("rpc", e.to_string()))?;
    Ok(module)
}

fn local_state(shared: &Shared) -> std::result::Result<StateDoc, ErrorObjectOwned> {
    let log_view = shared.log_view.load();
    let state = log_view.state.as_ref().ok_or_else(|| refusal(ResultCode::NotReady))?;
    Ok(StateDoc::from(&**state))
}

/// Returns the JSON-RPC error for a result code.
pub(crate) fn refusal(code: ResultCode) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(i32::from(code.number()), code.to_string(), None::<()>)
}

/// Fetches the state of the node at `addr`. Returns `None` if the call fails.
pub async fn fetch_state(addr: SocketAddr) -> Option<StateDoc> {
    client(addr, FETCH_TIMEOUT)?.request(FETCH_METHOD, rpc_params![]).await.ok()
}

/// Returns a client for calls to the node at `addr`.
pub(crate) fn client(addr: SocketAddr, timeout: Duration) -> Option<HttpClient> {
    HttpClientBuilder::default()
        .request_timeout(timeout)
        .max_request_size(MAX_BODY)
        .max_response_size(MAX_BODY)
        .build(format!("http://{addr}"))
        .ok()
}
