//! What gateways leave in the store for those that start later: where they are, and which servers fail.

use crate::{
    shared::Shared,
    store::{Store, StoreError},
};
use redwingtrestle_core::{
    process::registration::ServerId,
    time::{Span, Timestamp},
};
use serde::{Deserialize, Serialize};
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// The key of the servers that fail.
const SUSPECTS: &str = "suspects";

/// What the keys of nodes begin with; the peer address follows.
const NODE: &str = "node/";

/// How often the failing servers are saved. A failing phase lasts several seconds, so that a process which starts within
/// one still knows most of it.
const SAVE: Duration = Duration::from_secs(1);

/// The first and the longest pause before a failed read is tried again. Refused calls are priced too.
const READ_AGAIN: Duration = Duration::from_secs(1);
const LAST_READ_AGAIN: Duration = Duration::from_secs(8);

/// How often a node that hears no other one looks for nodes in the store.
const LONELY_CHECK: u32 = 3;

/// The age at which saved health estimates are no longer used. It also bounds the error of clocks that differ.
const OLD: Span = Span::from_secs(15);

/// `SuspectsDoc` is what is saved of failing servers.
#[derive(Debug, Default, Serialize, Deserialize)]
struct SuspectsDoc {
    /// When it was written, in Unix milliseconds of the writer's clock.
    at_ms: u64,
    /// The servers with the probability that they fail.
    servers: Vec<(ServerId, f64)>,
}

/// Reads what was saved, then saves what later processes need, until the process ends.
pub async fn run<S: Store>(shared: Arc<Shared>, store: S) {
    let mut pause = READ_AGAIN;
    while !read(&shared, &store).await {
        tokio::time::sleep(pause).await;
        pause = (2 * pause).min(LAST_READ_AGAIN);
    }
    let mut is_announced = false;
    let mut was_empty = true;
    let mut lonely = 0;
    loop {
        tokio::time::sleep(SAVE).await;
        let now = shared.now();
        let (is_writer, is_lonely) = {
            let fleet = shared.fleet();
            (fleet.peers.is_writer(now) && !fleet.servers.is_away(), fleet.peers.size(now) == 1)
        };
        lonely = if is_lonely { lonely + 1 } else { 0 };
        if lonely > 0 && lonely % LONELY_CHECK == 0 {
            read(&shared, &store).await;
        }
        if !is_announced && shared.is_reader() {
            let peer = shared.settings.peer.to_string();
            let result = store.save(&format!("{NODE}{peer}"), peer.as_bytes()).await;
            is_announced = is_done("announce this node", &result);
        }
        if is_writer {
            was_empty = save(&shared, &store, was_empty).await;
        }
    }
}

/// Saves the failing servers and returns whether there were none; an empty list is written once.
async fn save<S: Store>(shared: &Shared, store: &S, was_empty: bool) -> bool {
    let servers = shared.fleet().registry.suspects(shared.now());
    if servers.is_empty() && was_empty {
        return true;
    }
    let is_empty = servers.is_empty();
    let doc = SuspectsDoc { at_ms: unix_ms(), servers };
    let bytes = match serde_json::to_vec(&doc) {
        Ok(bytes) => bytes,
        Err(e) => {
            log::error!(target: "memory", servers = doc.servers.len(); "the failing servers cannot be written: {e}");
            return was_empty;
        }
    };
    is_done("save the failing servers", &store.save(SUSPECTS, &bytes).await) && is_empty
}

/// Returns whether a write succeeded, and logs why it did not. Writes that got no answer are simply repeated, as the
/// newest value of a key wins.
fn is_done(what: &str, result: &Result<(), StoreError>) -> bool {
    if let Err(e) = result {
        log::warn!(target: "memory", what; "the store did not take a value: {e}");
    }
    result.is_ok()
}

/// Reads what was saved and returns whether the store answered.
async fn read<S: Store>(shared: &Shared, store: &S) -> bool {
    let saved = match store.saved().await {
        Ok(saved) => saved,
        Err(e) => {
            log::warn!(target: "memory", what = "read saved values"; "the store does not answer: {e}");
            return false;
        }
    };
    let now = shared.now();
    for (key, value) in saved {
        if let Some(addr) = key.strip_prefix(NODE) {
            match addr.parse::<SocketAddr>() {
                Ok(addr) => {
                    shared.fleet().peers.add_address(now, addr);
                }
                Err(e) => {
                    log::warn!(target: "memory", key = key.as_str(); "a saved node is left out: {e}");
                }
            }
        } else if key == SUSPECTS {
            recall(shared, now, &value);
        }
    }
    true
}

fn recall(shared: &Shared, now: Timestamp, value: &[u8]) {
    let doc: SuspectsDoc = match serde_json::from_slice(value) {
        Ok(doc) => doc,
        Err(e) => {
            log::warn!(target: "memory", key = SUSPECTS; "saved beliefs are left out: {e}");
            return;
        }
    };
    let age = Span::from_millis(unix_ms().saturating_sub(doc.at_ms));
    if age >= OLD {
        return;
    }
    log::info!(target: "memory", servers = doc.servers.len(), age_ms = age.as_millis(); "failing servers recalled");
    let at = Timestamp::from_micros(now.as_micros() - age.as_micros());
    shared.fleet().registry.restore_suspects(at, doc.servers);
}

fn unix_ms() -> u64 {
    // A clock before 1970 is wrong; what it dates is too old to be used.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
