//! The client of the JSON-RPC methods `query` and `command`.

use crate::error::{Error, Result};
use jsonrpsee::{
    core::client::{ClientT, Error as RpcError},
    http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder},
    rpc_params,
};
use redwingtrestle_wire::query::{
    Command, CommandRequest, CommandResponse, Coverage, Query, QueryRequest, QueryResponse,
    COMMAND_METHOD, QUERY_METHOD,
};
use serde::{de::DeserializeOwned, Serialize};
use std::{fmt, net::SocketAddr, time::Duration};
use tokio::{net::TcpStream, task::JoinSet, time::timeout};

/// Timeout for connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout for a node's response. A command waits for the log, which may be slow.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A client of a given list of nodes.
#[derive(Clone)]
pub struct Client {
    nodes: Vec<SocketAddr>,
    headers: HeaderMap,
}

/// Omits the headers, because they contain the token.
impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client").field("nodes", &self.nodes).finish_non_exhaustive()
    }
}

/// The reason why a call to a node failed.
enum CallError {
    /// No connection was made, so the call was not sent.
    Unsent(String),
    /// The response is missing or cannot be decoded. The node may have executed the call.
    Lost(String),
    /// The node refused the call, with the number of the result code and a message.
    Refused(i32, String),
}

impl Client {
    /// Returns a client of `nodes` that sends `token` with each call.
    pub fn new(nodes: Vec<SocketAddr>, token: Option<String>) -> Result<Self> {
        if nodes.is_empty() {
            return Err(Error::usage("at least one --node ADDR is needed"));
        }
        let mut headers = HeaderMap::new();
        if let Some(token) = token {
            // The message omits the token, which is a secret.
            let mut value = HeaderValue::try_from(format!("Bearer {token}"))
                .map_err(|_| Error::usage("REDWING_TOKEN holds a character that is not allowed"))?;
            value.set_sensitive(true);
            headers.insert("authorization", value);
        }
        Ok(Client { nodes, headers })
    }

    /// Queries all nodes concurrently and merges their responses.
    ///
    /// Of rows with the same key from several nodes, only one is kept. Nodes that do not respond are listed as
    /// missing. The query fails if no node responds.
    pub async fn query(&self, query: &Query) -> Result<QueryResponse> {
        let mut calls = JoinSet::new();
        for (i, node) in self.nodes.iter().enumerate() {
            let (client, node) = (self.clone(), *node);
            let request = QueryRequest { query: query.clone(), local: false };
            calls.spawn(async move { (i, client.call(node, QUERY_METHOD, request).await) });
        }
        let mut results: Vec<(usize, Result<QueryResponse, CallError>)> =
            calls.join_all().await.into_iter().collect();
        results.sort_by_key(|(i, _)| *i);
        let (mut merged, mut missing, mut failures): (Option<QueryResponse>, _, _) =
            (None, Vec::new(), Vec::new());
        let mut refusal = None;
        for (i, result) in results {
            let node = self.nodes[i];
            match result {
                Ok(response) => match &mut merged {
                    None => merged = Some(response),
                    Some(sum) => {
                        if !sum.merge(response) {
                            return Err(response_mismatch(&node));
                        }
                    }
                },
                Err(CallError::Refused(number, what)) => {
                    missing.push(node.to_string());
                    refusal.get_or_insert(Error::Refused { node: node.to_string(), number, what });
                }
                Err(CallError::Unsent(what) | CallError::Lost(what)) => {
                    missing.push(node.to_string());
                    failures.push(format!("{node}: {what}"));
                }
            }
        }
        let Some(mut response) = merged else {
            return Err(refusal.unwrap_or(Error::NoResponse { what: failures.join("; ") }));
        };
        response.coverage().merge(Coverage { answered: Vec::new(), missing });
        Ok(response)
    }

    /// Returns the highest configuration version in force at the nodes that respond.
    pub async fn version(&self) -> Result<u64> {
        match self.query(&Query::Versions).await? {
            QueryResponse::Versions(rows) => rows
                .rows
                .iter()
                .map(|r| r.version)
                .max()
                .ok_or_else(|| Error::NoResponse { what: "no node reports a version".into() }),
            _ => Err(response_mismatch(&self.nodes[0])),
        }
    }

    /// Sends a command to the nodes in turn until one responds.
    ///
    /// If a response is lost, the command is repeated at the next node with the same request id and base. It still
    /// takes effect only once, because readers of the log recognise a repeated id.
    pub async fn command(
        &self,
        command: Command,
        base: u64,
        request_id: String,
        dry_run: bool,
    ) -> Result<CommandResponse> {
        let request = CommandRequest { command, base, request_id, dry_run };
        let (mut lost, mut failures) = (false, Vec::new());
        for node in &self.nodes {
            match self.call(*node, COMMAND_METHOD, request.clone()).await {
                Ok(response) => return Ok(response),
                // A refusal is final only if no earlier node may have executed the command.
                Err(CallError::Refused(number, what)) if !lost => {
                    return Err(Error::Refused { node: node.to_string(), number, what });
                }
                Err(CallError::Refused(number, what)) => {
                    failures.push(format!("{node}: {number}: {what}"));
                }
                Err(CallError::Unsent(what)) => failures.push(format!("{node}: {what}")),
                Err(CallError::Lost(what)) => {
                    lost = !dry_run;
                    failures.push(format!("{node}: {what}"));
                }
            }
        }
        let what = failures.join("; ");
        Err(if lost { Error::ResponseLost { what } } else { Error::NoResponse { what } })
    }

    async fn call<P, R>(&self, node: SocketAddr, method: &str, params: P) -> Result<R, CallError>
    where
        P: Serialize + Send,
        R: DeserializeOwned,
    {
        // Connects once in advance, because only a failure to connect proves that the call was not sent.
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(node)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => return Err(CallError::Unsent(error.to_string())),
            Err(_) => return Err(CallError::Unsent("no connection in time".into())),
        }
        let client: HttpClient = HttpClientBuilder::default()
            .set_headers(self.headers.clone())
            .request_timeout(CALL_TIMEOUT)
            .build(format!("http://{node}"))
            .map_err(|error| CallError::Unsent(error.to_string()))?;
        client.request(method, rpc_params![params]).await.map_err(|error| match error {
            RpcError::Call(refusal) => CallError::Refused(refusal.code(), refusal.message().into()),
            other => CallError::Lost(other.to_string()),
        })
    }
}

pub(crate) fn response_mismatch(node: &SocketAddr) -> Error {
    Error::NoResponse { what: format!("{node}: the answer belongs to another query") }
}
