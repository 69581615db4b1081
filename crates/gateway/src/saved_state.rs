//! State that gateways save in the store for processes that start later: peer addresses and failing servers.

use crate::{
    shared::Shared,
    store::{Saved, Store, StoreError},
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

/// The key of the list of failing servers.
const SUSPECTS_KEY: &str = "suspects";

/// The prefix of the keys of nodes, before the peer address.
const NODE_PREFIX: &str = "node/";

/// How often the failing servers are saved. A failing phase lasts several seconds, so a process that starts during one
/// finds a recent list.
const SAVE_INTERVAL: Duration = Duration::from_secs(1);

/// The first and the longest pause before a failed read is retried. Refused calls are paid for too.
const FIRST_READ_PAUSE: Duration = Duration::from_secs(1);
const MAX_READ_PAUSE: Duration = Duration::from_secs(8);

/// A node without a live peer reads the saved nodes again after this many intervals [`SAVE_INTERVAL`].
const ISOLATED_READ_INTERVALS: u32 = 3;

/// A saved list of this age is ignored. The limit also bounds the effect of clocks that differ.
const MAX_AGE: Span = Span::from_secs(15);

/// The saved list of failing servers.
#[derive(Debug, Default, Serialize, Deserialize)]
struct SuspectsDoc {
    /// The time of writing, in Unix milliseconds of the writer's clock.
    at_ms: u64,
    /// The servers, each with the probability that it is failing.
    servers: Vec<(ServerId, f64)>,
}

/// Reads the saved state, then keeps this node's part of it up to date until the process ends.
pub async fn run<S: Store>(shared: Arc<Shared>, store: S) {
    let mut pause = FIRST_READ_PAUSE;
    while !read(&shared, &store).await {
        tokio::time::sleep(pause).await;
        pause = (2 * pause).min(MAX_READ_PAUSE);
    }
    let mut announced_era: Option<u64> = None;
    let mut was_empty = true;
    let mut saved_era = shared.fleet().era();
    let mut isolated_intervals = 0;
    loop {
        tokio::time::sleep(SAVE_INTERVAL).await;
        let now = shared.now();
        let (is_writer, is_isolated) = {
            let fleet = shared.fleet();
            (
                fleet.peers.is_writer(now) && !fleet.server_watch.is_failing(),
                fleet.peers.live_count(now) == 1,
            )
        };
        isolated_intervals = if is_isolated { isolated_intervals + 1 } else { 0 };
        if isolated_intervals > 0 && isolated_intervals % ISOLATED_READ_INTERVALS == 0 {
            read(&shared, &store).await;
        }
        // A restored store may have lost what this node saved there.
        let era = shared.fleet().era();
        if announced_era.is_none_or(|announced| announced < era) && shared.is_reader() {
            let peer = shared.settings.peer.to_string();
            let result = store.save(&format!("{NODE_PREFIX}{peer}"), peer.as_bytes()).await;
            if check_write(&shared, "announce this node", &result) {
                announced_era = Some(era);
            }
        }
        if is_writer {
            was_empty &= saved_era == era;
            saved_era = era;
            was_empty = save(&shared, &store, was_empty).await;
        }
    }
}

/// Saves the failing servers, and returns whether an empty list is saved now. An empty list is written only once.
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
            log::error!(target: "memory", servers = doc.servers.len();
                "cannot encode the list of failing servers, it is not saved: {e}");
            return was_empty;
        }
    };
    check_write(shared, "save the failing servers", &store.save(SUSPECTS_KEY, &bytes).await)
        && is_empty
}

/// Returns whether a write succeeded, and logs a failure. A write without a response can be repeated, as the newest
/// value of a key wins.
fn check_write(shared: &Shared, what: &str, result: &Result<u64, StoreError>) -> bool {
    let era = result.as_ref().map_or_else(StoreError::era, |era| Some(*era));
    if let Some(era) = era {
        shared.observe_era(era, what, None);
    }
    if let Err(e) = result {
        log::warn!(target: "memory", what; "a write to the store failed: {e}");
    }
    result.is_ok()
}

/// Reads and applies the saved state, and returns whether the store responded.
async fn read<S: Store>(shared: &Shared, store: &S) -> bool {
    let Saved { values, era } = match store.read_saved().await {
        Ok(saved) => saved,
        Err(e) => {
            if let Some(era) = e.era() {
                shared.observe_era(era, "read saved values", None);
            }
            log::warn!(target: "memory", what = "read saved values";
                "the saved state cannot be read from the store: {e}");
            return false;
        }
    };
    shared.observe_era(era, "read saved values", None);
    let now = shared.now();
    for (key, value) in values {
        if let Some(addr) = key.strip_prefix(NODE_PREFIX) {
            match addr.parse::<SocketAddr>() {
                Ok(addr) => {
                    shared.fleet().peers.add_address(now, addr);
                }
                Err(e) => {
                    log::warn!(target: "memory", key = key.as_str();
                        "a saved node address is invalid and ignored: {e}");
                }
            }
        } else if key == SUSPECTS_KEY {
            restore_suspects(shared, now, &value);
        }
    }
    true
}

fn restore_suspects(shared: &Shared, now: Timestamp, value: &[u8]) {
    let doc: SuspectsDoc = match serde_json::from_slice(value) {
        Ok(doc) => doc,
        Err(e) => {
            log::warn!(target: "memory", key = SUSPECTS_KEY;
                "the saved list of failing servers is invalid and ignored: {e}");
            return;
        }
    };
    let age = Span::from_millis(unix_ms().saturating_sub(doc.at_ms));
    if age >= MAX_AGE {
        return;
    }
    log::info!(target: "memory", servers = doc.servers.len(), age_ms = age.as_millis();
        "failing servers restored from the store");
    let at = Timestamp::from_micros(now.as_micros() - age.as_micros());
    shared.fleet().registry.restore_suspects(at, doc.servers);
}

fn unix_ms() -> u64 {
    // A clock before 1970 is wrong. A list that is saved with time zero counts as too old and is ignored.
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}
