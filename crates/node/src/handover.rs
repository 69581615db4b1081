//! Transfer of a leaving node's idempotency records to its successor. See `docs/stopping.md`.

use crate::{control::view::takes_callers, rpc, shared::Shared};
use jsonrpsee::{
    core::client::ClientT,
    http_client::HttpClient,
    rpc_params,
    types::{ErrorObjectOwned, Params},
};
use redwingtrestle_core::{
    codes::ResultCode,
    ids::NodeId,
    process::rendezvous::rendezvous,
    request::handover::Handover,
    time::{Span, Timestamp},
};
use redwingtrestle_wire::handover::{HandoverCall, METHOD};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{atomic::Ordering, Arc, Mutex, PoisonError},
    time::Duration,
};

/// The size of one part, in bytes. Base64 makes it a third larger, which is still far below the limit of a call.
const PART_BYTES: usize = 1 << 20;

/// The timeout of the call for one part. The call for the last part includes the import.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The wait between two attempts of a handover.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// The number of attempts with one successor before another one is tried. Sealed keys become `unknown` when
/// the successor changes.
const MAX_ATTEMPTS: u32 = 3;

/// The highest number of handovers that are received at the same time.
const MAX_TRANSFERS: usize = 2;

/// The largest handover that is received, in bytes. A full store has about 210 MB: 96 MB of responses, twice
/// 200,000 keys of 200 bytes and twice 1,000,000 seals of 16 bytes.
const MAX_BYTES: usize = 256 << 20;

/// An incomplete transfer is dropped after this long without a new part.
const IDLE_TIMEOUT: Span = Span::from_secs(15);

/// The handovers of which some parts have not arrived yet.
///
/// The store imports the records of a home only once, so nothing is imported before the last part.
#[derive(Debug, Default)]
pub struct IncomingHandovers(Mutex<HashMap<NodeId, Transfer>>);

#[derive(Debug)]
struct Transfer {
    handover: Handover,
    next_part: u32,
    bytes: usize,
    received_at: Timestamp,
}

/// Receives one part of a leaving node's records, and imports all of them after the last part.
pub fn receive(shared: &Shared, params: &Params<'_>) -> Result<(), ErrorObjectOwned> {
    let call: HandoverCall = params.one()?;
    let bad_request = |what: String| {
        let code = ResultCode::BadRequest;
        ErrorObjectOwned::owned(i32::from(code.number()), what, None::<()>)
    };
    if shared.leaving.load(Ordering::SeqCst) {
        return Err(rpc::refusal(ResultCode::NodeLeaving));
    }
    if !shared.ready.load(Ordering::SeqCst) {
        return Err(rpc::refusal(ResultCode::NotReady));
    }
    if !shared.view.load().members.iter().any(|m| m.member.node == call.node) {
        return Err(bad_request(format!("{} is not a member known here", call.node)));
    }
    if (call.successor, call.successor_start) != (shared.settings.entry_address(), shared.id.start)
    {
        return Err(bad_request("the handover is meant for another process".into()));
    }
    let handover = Handover::try_from(&call).map_err(|e| bad_request(e.to_string()))?;
    let now = shared.clock.now();
    let Some(whole) =
        shared.incoming_handovers.add_part(now, &call, handover).map_err(bad_request)?
    else {
        return Ok(());
    };
    let (keys, seals) = record_counts(&whole);
    shared.local_home.import(now, whole).map_err(|e| bad_request(e.to_string()))?;
    let millis = shared.clock.now().since(now).as_millis();
    log::info!(node:% = call.node, keys, seals, millis; "took over the keys of a leaving node");
    Ok(())
}

fn record_counts(handover: &Handover) -> (usize, usize) {
    let count = |f: fn(&_) -> usize| handover.generations.iter().map(f).sum();
    (count(|g| g.keys.len()), count(|g| g.seals.len()))
}

impl IncomingHandovers {
    /// Adds a part. Returns the whole handover if it was the last one.
    fn add_part(
        &self,
        now: Timestamp,
        call: &HandoverCall,
        part: Handover,
    ) -> Result<Option<Handover>, String> {
        let mut transfers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        transfers.retain(|node, t| {
            now.since(t.received_at) < IDLE_TIMEOUT && (call.part > 0 || *node != call.node)
        });
        if call.part == 0 {
            if transfers.len() >= MAX_TRANSFERS {
                return Err("other handovers are under way".into());
            }
            let first = Transfer { handover: part, next_part: 1, bytes: 0, received_at: now };
            transfers.insert(call.node, first);
            return Ok(None);
        }
        let Some(t) = transfers.get_mut(&call.node).filter(|t| t.next_part == call.part) else {
            return Err(format!("part {} is not the next one", call.part));
        };
        t.bytes += call.body.len() / 4 * 3;
        if t.bytes > MAX_BYTES {
            transfers.remove(&call.node);
            return Err(format!("the ledger has more than {MAX_BYTES} bytes"));
        }
        (t.next_part, t.received_at) = (t.next_part + 1, now);
        t.handover.join(part);
        let whole = if call.last { transfers.remove(&call.node) } else { None };
        Ok(whole.map(|t| t.handover))
    }
}

/// Returns the possible successors, the preferred one first.
///
/// Nodes of the same data centre come first. Apart from that, the order differs between leaving nodes, so that
/// several that leave at the same time do not all choose the same successor.
fn successor_candidates(shared: &Shared) -> Vec<(NodeId, SocketAddr)> {
    let view = shared.view.load();
    let key = shared.id.start.0.to_le_bytes();
    let mut found: Vec<_> = view
        .members
        .iter()
        .filter(|m| m.usable && takes_callers(&m.member))
        .filter_map(|m| {
            let (node, addresses) = (m.member.node, m.member.addresses.as_ref()?);
            let is_near = addresses.data_centre.0 == shared.settings.data_centre;
            Some(((is_near, rendezvous(&key, node)), (node, addresses.entry)))
        })
        .collect();
    found.sort_by_key(|(order, _)| std::cmp::Reverse(*order));
    found.into_iter().map(|(_, successor)| successor).collect()
}

/// Hands over the idempotency records and returns the successor. Retries until a node has acknowledged them.
pub async fn hand_over(shared: Arc<Shared>) -> NodeId {
    let mut attempts: HashMap<NodeId, u32> = HashMap::new();
    loop {
        let candidates = successor_candidates(&shared);
        let next = candidates
            .into_iter()
            .min_by_key(|c| attempts.get(&c.0).map_or(0, |n| n / MAX_ATTEMPTS));
        if let Some((successor, entry)) = next {
            let started_at = shared.clock.now();
            match send(&shared, successor, entry).await {
                Ok((keys, seals)) => {
                    let millis = shared.clock.now().since(started_at).as_millis();
                    log::info!(heir:% = successor, keys, seals, millis; "handed the keys over");
                    return successor;
                }
                Err(e) => {
                    log::warn!(heir:% = successor; "handover of the keys failed, retrying: {e}");
                }
            }
            *attempts.entry(successor).or_default() += 1;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

async fn send(
    shared: &Shared,
    successor: NodeId,
    entry: SocketAddr,
) -> Result<(usize, usize), String> {
    let client =
        rpc::client(successor.addr, CALL_TIMEOUT).ok_or("no HTTP client could be created")?;
    let call = |part, last, handover: &_| {
        HandoverCall::new(shared.id, part, last, handover).map_err(|e| e.to_string())
    };
    // Seals are exported only to the first successor for which an export is made, so the successor first has
    // to accept the empty part.
    let empty =
        Handover { successor: entry, successor_start: successor.start, generations: vec![] };
    send_part(&client, call(0, false, &empty)?).await?;
    let exported = shared.local_home.export(shared.clock.now(), entry, successor.start);
    let exported = exported.map_err(|e| e.to_string())?;
    let counts = record_counts(&exported);
    let parts = exported.split(PART_BYTES);
    let count = parts.len();
    for (part, number) in parts.into_iter().zip(1u32..) {
        send_part(&client, call(number, number as usize == count, &part)?).await?;
    }
    Ok(counts)
}

async fn send_part(client: &HttpClient, call: HandoverCall) -> Result<(), String> {
    client.request(METHOD, rpc_params![call]).await.map_err(|e| e.to_string())
}
