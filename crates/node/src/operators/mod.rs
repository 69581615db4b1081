//! Operators' queries and commands, by JSON-RPC on the peer port.
//!
//! Queries are answered from the state that other threads publish, so they wait neither for the log nor for
//! the control thread. Commands change the configuration through the log thread.

mod capacity;
mod commands;
mod fan_out;
mod rows;
pub mod token;

use crate::shared::Shared;
use jsonrpsee::{
    server::{RegisterMethodError, RpcModule},
    types::{ErrorObjectOwned, Params},
    Extensions,
};
use redwingtrestle_core::codes::ResultCode;
use redwingtrestle_wire::query::{
    CommandRequest, CommandResponse, Query, QueryRequest, QueryResponse, COMMAND_METHOD,
    QUERY_METHOD,
};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, sync::Arc};

/// The maximum size of a query's parameter. Texts of the operators' language have up to 4,096 bytes.
const MAX_QUERY_BYTES: usize = 8 << 10;

/// The maximum size of a command's parameter. A configuration of 4,900 routes takes about 1 MB.
const MAX_COMMAND_BYTES: usize = 4 << 20;

type RpcResult<T> = Result<T, ErrorObjectOwned>;

/// Registers the operators' methods.
pub(crate) fn register(module: &mut RpcModule<Arc<Shared>>) -> Result<(), RegisterMethodError> {
    module.register_async_method(QUERY_METHOD, |params, shared, _| async move {
        count(QUERY_METHOD, query(&params, &shared).await, |_| None)
    })?;
    module.register_async_method(COMMAND_METHOD, |params, shared, extensions| async move {
        let response = command(&params, &shared, &extensions).await;
        count(COMMAND_METHOD, response, |r| Some(r.code))
    })?;
    Ok(())
}

/// Counts a call by its method and result code, which is 0 for an answered query.
fn count<T>(
    method: &'static str,
    reply: RpcResult<T>,
    code: fn(&T) -> Option<u16>,
) -> RpcResult<T> {
    let code = match &reply {
        Ok(response) => code(response).unwrap_or(0).to_string(),
        Err(refusal) => refusal.code().to_string(),
    };
    metrics::counter!("redwing_operator_calls_total", "method" => method, "code" => code)
        .increment(1);
    reply
}

async fn query(params: &Params<'_>, shared: &Arc<Shared>) -> RpcResult<QueryResponse> {
    let request: QueryRequest = parse(params, MAX_QUERY_BYTES)?;
    if request.local {
        return Ok(rows::local_response(shared, &request.query));
    }
    check_declared(shared, &request.query)?;
    Ok(fan_out::query_fleet(shared, &request.query).await)
}

async fn command(
    params: &Params<'_>,
    shared: &Arc<Shared>,
    extensions: &Extensions,
) -> RpcResult<CommandResponse> {
    if !token::is_allowed(extensions) {
        log::warn!("operator's command refused: the token is missing or wrong");
        let what = "the operators' token is missing or wrong";
        return Err(refusal(ResultCode::Unauthorized, what));
    }
    let request: CommandRequest = parse(params, MAX_COMMAND_BYTES)?;
    commands::execute(shared, request).await
}

fn parse<T: DeserializeOwned>(params: &Params<'_>, limit: usize) -> RpcResult<T> {
    let length = params.len_bytes();
    if length > limit {
        let what = format!("the parameter has {length} bytes, more than {limit}");
        return Err(refusal(ResultCode::BadQuery, &what));
    }
    params.one().map_err(|e| {
        let what = e.data().map_or_else(|| e.message().to_string(), ToString::to_string);
        refusal(ResultCode::BadQuery, &what)
    })
}

/// Refuses a query for a service or server that the configuration does not declare.
fn check_declared(shared: &Shared, query: &Query) -> RpcResult<()> {
    let active = shared.active.load();
    let Some(active) = &*active else { return Ok(()) };
    let services = &active.spec.services;
    match query {
        Query::Ejected { service: Some(name) } | Query::Ranks { service: Some(name) }
            if !services.keys().any(|n| n.as_str() == name) =>
        {
            let what = format!("the service {name:?} is not declared");
            Err(refusal(ResultCode::BadQuery, &what))
        }
        Query::Why { server }
            if !services.values().flat_map(|s| &s.servers).any(|s| s.addr.0 == *server) =>
        {
            let what = format!("the server {server} is not declared");
            Err(refusal(ResultCode::BadQuery, &what))
        }
        _ => Ok(()),
    }
}

/// Returns the JSON-RPC error for a result code, with the message `what`.
fn refusal(code: ResultCode, what: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(i32::from(code.number()), what, None::<()>)
}

/// Returns the name of a node for operators, which is its peer address.
fn node_name(addr: SocketAddr) -> String {
    addr.to_string()
}
