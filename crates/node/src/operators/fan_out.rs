//! Asks the other nodes of the fleet and merges their answers.

use super::{node_name, rows};
use crate::{control::view::MemberView, rpc, shared::Shared};
use jsonrpsee::{core::client::ClientT, rpc_params};
use redwingtrestle_wire::query::{Answer, Coverage, Query, QueryRequest, QUERY_METHOD};
use std::{
    cmp::Reverse,
    collections::BTreeSet,
    net::SocketAddr,
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// How long the other nodes have for their answers. Operators wait for it when a node is cut off.
const TIME: Duration = Duration::from_secs(1);

/// How many nodes one query asks at the same time.
///
/// Each call takes a socket, of which a process often has 1,024 for callers and backend servers too, and
/// may hold an answer of up to [`MAX_BODY`](redwingtrestle_gateway::peer_rpc::MAX_BODY). A fleet of 750 nodes is asked in 12 rounds, of which
/// each takes a round trip and not [`TIME`], since nodes that answer are asked first.
const PARALLEL: usize = 64;

/// Answers a query for this node and all others.
pub(super) async fn ask(shared: &Shared, query: &Query) -> Answer {
    let until = Instant::now() + TIME;
    let peers = peers(shared);
    let mut missing: BTreeSet<SocketAddr> = peers.iter().copied().collect();
    let mut waiting = peers.into_iter();
    let mut calls = JoinSet::new();
    let mut answer = rows::answer(shared, query);
    loop {
        for peer in waiting.by_ref().take(PARALLEL - calls.len()) {
            let query = query.clone();
            calls.spawn(async move { (peer, call(peer, query).await) });
        }
        let next = tokio::time::timeout_at(until.into(), calls.join_next()).await;
        let Ok(Some(done)) = next else { break };
        let Ok((peer, Some(other))) = done else { continue };
        if answer.merge(other) {
            missing.remove(&peer);
        }
    }
    let missing = missing.into_iter().map(node_name).collect();
    answer.coverage().merge(Coverage { answered: Vec::new(), missing });
    answer
}

/// Returns the nodes to ask: those that are heard, and those that the log records as members.
///
/// A recorded node that is not heard is asked as well, so that an answer names it as missing until the
/// log records that it left. Nodes that were heard directly come first, the newest before the others: calls to a lost
/// data centre last as long as the whole query, and would keep the others from being asked. A link that counts as
/// usable is no proof, since a large fleet does not test each of them.
fn peers(shared: &Shared) -> Vec<SocketAddr> {
    let view = shared.view.load();
    let agreed = shared.agreed.load();
    let mut heard: Vec<&MemberView> = view.members.iter().collect();
    heard.sort_by_key(|m| Reverse((m.heard_at, m.usable)));
    let heard = heard.iter().map(|m| m.member.node.addr);
    let recorded = agreed.state.iter().flat_map(|s| s.members.keys()).map(|n| n.addr);
    let mut known = BTreeSet::from([shared.id.addr]);
    heard.chain(recorded).filter(|addr| known.insert(*addr)).collect()
}

async fn call(peer: SocketAddr, query: Query) -> Option<Answer> {
    let request = QueryRequest { query, local: true };
    rpc::client(peer, TIME)?.request(QUERY_METHOD, rpc_params![request]).await.ok()
}
