//! JSON-RPC between nodes and from operators, on the TCP side of the peer port.

use crate::{
    error::{Error, Result},
    handover,
    operators::{
        self,
        token::{CheckToken, Token},
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
use redwingtrestle_wire::{handover::METHOD, log::StateDoc};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::JoinHandle,
    time::Duration,
};

/// The method by which a node fetches the accepted state of another.
const FETCH: &str = "config.fetch";

/// The most connections at once.
const MAX_CONNECTIONS: u32 = 256;

/// How long a call to another node may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How often the thread looks whether the node stops.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// Starts the thread that answers calls.
pub fn start(shared: Arc<Shared>, stop: Arc<AtomicBool>) -> Result<JoinHandle<()>> {
    let fail = |e: std::io::Error| Error::start("rpc", e.to_string());
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(fail)?;
    let addr = shared.settings.peer;
    let config = peer_rpc::config(MAX_CONNECTIONS);
    let module = module(shared)?;
    let check = CheckToken::new(Token::from_env()?);
    let middleware = tower::ServiceBuilder::new().layer(check);
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
                    tokio::time::sleep(STOP_CHECK).await;
                }
                let _ = handle.stop();
            });
        })
        .map_err(fail)
}

fn module(shared: Arc<Shared>) -> Result<RpcModule<Arc<Shared>>> {
    let mut module = RpcModule::new(shared);
    module
        .register_method(FETCH, |_, shared, _| fetch(shared))
        .map_err(|e| Error::start("rpc", e.to_string()))?;
    operators::register(&mut module).map_err(|e| Error::start("rpc", e.to_string()))?;
    // Taking over a large idempotency store lasts long enough to delay other calls.
    module
        .register_blocking_method(METHOD, |params, shared, _| handover::receive(&shared, &params))
        .map_err(|e| Error::start("rpc", e.to_string()))?;
    Ok(module)
}

fn fetch(shared: &Shared) -> std::result::Result<StateDoc, ErrorObjectOwned> {
    let agreed = shared.agreed.load();
    let state = agreed.state.as_ref().ok_or_else(|| refusal(ResultCode::NotReady))?;
    Ok(StateDoc::from(&**state))
}

/// Returns the JSON-RPC error of a result code.
pub(crate) fn refusal(code: ResultCode) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(i32::from(code.number()), code.to_string(), None::<()>)
}

/// Fetches the accepted state of the node at `addr`.
pub async fn fetch_state(addr: SocketAddr) -> Option<StateDoc> {
    client(addr, CALL_TIMEOUT)?.request(FETCH, rpc_params![]).await.ok()
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
