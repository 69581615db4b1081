//! What a node does while other nodes know newer state than it does.

use crate::{
    peer_rpc,
    shared::{Fleet, Shared},
};
use redwingtrestle_core::time::{Span, Timestamp};
use std::{
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
};

/// The shortest time between two restarts of this node's own watch. A large response needs some time to arrive.
const MIN_RESTART_INTERVAL: Span = Span::from_millis(2_000);

/// A node that stays behind others for this long watches the store itself.
const MAX_TIME_BEHIND: Span = Span::from_millis(600);

/// How long a node that watches the store and is behind a peer waits for the store before it asks the peer.
const STORE_GRACE: Span = Span::from_millis(300);

/// Since when this node is behind, and what it does about that.
#[derive(Debug, Default)]
pub(super) struct CatchUp {
    behind_since: Option<Timestamp>,
    last_restart: Timestamp,
    is_fetching: Arc<AtomicBool>,
}

impl CatchUp {
    /// Gets newer state from a peer that is ahead of this node.
    pub(super) fn fetch_newer_state(&mut self, now: Timestamp, shared: &Arc<Shared>) {
        let version = shared.config_version();
        let Some(peer) = newer_peer(now, version, shared) else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        if now.since(since) >= MAX_TIME_BEHIND {
            log::info!(target: "peers", peer:% = peer, version;
                "this node stays behind its peers and watches the store itself for a while");
            shared.watch_directly();
            self.behind_since = Some(now);
        }
        let is_reader = version > 0 && shared.is_reader();
        if is_reader && now.since(since) < STORE_GRACE {
            return;
        }
        if is_reader && now.since(self.last_restart) >= MIN_RESTART_INTERVAL {
            // The peer is ahead, so the response to this node's own watch was lost.
            self.last_restart = now;
            shared.restart_calls.notify_waiters();
        }
        self.fetch(peer, shared);
    }

    /// Asks a peer for its state, unless a call is open: a second one would only slow down the response to the first.
    fn fetch(&self, peer: SocketAddr, shared: &Arc<Shared>) {
        if self.is_fetching.swap(true, Ordering::SeqCst) {
            return;
        }
        let (shared, is_fetching) = (shared.clone(), self.is_fetching.clone());
        tokio::spawn(async move {
            peer_rpc::fetch(shared, peer).await;
            is_fetching.store(false, Ordering::SeqCst);
        });
    }
}

/// Returns a peer that knows a newer configuration or a later position of the registry.
fn newer_peer(now: Timestamp, version: u64, shared: &Shared) -> Option<SocketAddr> {
    let mut fleet = shared.fleet();
    let Fleet { peers, rng, server_watch, .. } = &mut *fleet;
    peers.newer_peer(now, version, server_watch.position().unwrap_or_default(), rng)
}
