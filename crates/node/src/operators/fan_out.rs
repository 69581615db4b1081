//! Sends a query to the other nodes of the fleet and merges their responses.

use super::{node_name, rows};
use crate::{control::view::MemberView, rpc, shared::Shared};
use jsonrpsee::{core::client::ClientT, rpc_params};
use redwingtrestle_wire::query::{Coverage, Query, QueryRequest, QueryResponse, QUERY_METHOD};
use std::{
    cmp::Reverse,
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// The timeout for the other nodes' responses. Operators wait this long if a node cannot be reached.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum number of concurrent calls of one query.
///
/// Each call takes a socket, and a process often has only 1,024, which callers and backend servers need as well.
/// It also takes memory for a response of up to [`MAX_BODY`](redwingtrestle_gateway::peer_rpc::MAX_BODY). A
/// fleet of 750 nodes takes 12 rounds. A round lasts a round trip rather than [`RESPONSE_TIMEOUT`], because the
/// nodes that are likely to respond are called first.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Answers a query for this node and all others.
pub(super) async fn query_fleet(shared: &Shared, query: &Query) -> QueryResponse {
    let deadline = Instant::now() + RESPONSE_TIMEOUT;
    let peers = peers(shared);
    let mut missing: BTreeSet<SocketAddr> = peers.iter().copied().collect();
    let mut waiting = peers.into_iter();
    let mut calls = JoinSet::new();
    let mut response = rows::local_response(shared, query);
    loop {
        for peer in waiting.by_ref().take(MAX_CONCURRENT_CALLS - calls.len()) {
            let query = query.clone();
            calls.spawn(async move { (peer, query_node(peer, query).await) });
        }
        let next = tokio::time::timeout_at(deadline.into(), calls.join_next()).await;
        let Ok(Some(done)) = next else { break };
        let Ok((peer, Some(other))) = done else { continue };
        if response.merge(other) {
            missing.remove(&peer);
        }
    }
    let missing = missing.into_iter().map(node_name).collect();
    response.coverage().merge(Coverage { answered: Vec::new(), missing });
    response
}

/// Returns the nodes to query: the peers that are not lost and the members that the log records.
///
/// A recorded member that is lost is queried as well, so that the response names it as missing until the log
/// records that it left. The peers with the latest direct heartbeats come first: calls to a lost data centre
/// last until the timeout and would hold up the calls to other nodes. Whether a link counts as usable
/// is not enough for this order, because a large fleet does not test every link.
fn peers(shared: &Shared) -> Vec<SocketAddr> {
    let view = shared.view.load();
    let log_view = shared.log_view.load();
    let mut heard: Vec<&MemberView> = view.members.iter().collect();
    heard.sort_by_key(|m| Reverse((m.last_heartbeat_at, m.usable)));
    let heard = heard.iter().map(|m| m.member.node.addr);
    let recorded = log_view.state.iter().flat_map(|s| s.members.keys()).map(|n| n.addr);
    let mut known = BTreeSet::from([shared.id.addr]);
    heard.chain(recorded).filter(|addr| known.insert(*addr)).collect()
}

async fn query_node(peer: SocketAddr, query: Query) -> Option<QueryResponse> {
    let request = QueryRequest { query, local: true };
    rpc::client(peer, RESPONSE_TIMEOUT)?.request(QUERY_METHOD, rpc_params![request]).await.ok()
}
