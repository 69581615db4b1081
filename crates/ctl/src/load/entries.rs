//! A caller's cache of the response to `GET /v1/entries`.

use super::send::read;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;
use redwingtrestle_wire::caller::EntriesReply;
use reqwest::Client;
use std::{
    net::SocketAddr,
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

/// Timeout of `GET /v1/entries`.
const ENTRIES_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum time for which a response to `GET /v1/entries` is cached. Without it, a ttl of 0 would double the number
/// of requests.
const MIN_TTL: Duration = Duration::from_millis(100);

/// The maximum number of entries that are asked for one refresh.
const MAX_TRIES: usize = 4;

/// A cached response to `GET /v1/entries`, with the entry that sent it.
#[derive(Clone, Debug)]
pub(super) struct CachedEntries {
    pub(super) entries: Vec<SocketAddr>,
    pub(super) prefix: String,
    pub(super) source: SocketAddr,
    expires: Instant,
}

impl CachedEntries {
    fn new(response: EntriesReply, source: SocketAddr) -> Self {
        let ttl = Duration::from_millis(response.ttl_ms).max(MIN_TTL);
        CachedEntries {
            entries: response.entries,
            prefix: response.key_prefix,
            source,
            expires: Instant::now() + ttl,
        }
    }

    fn is_usable(&self, now: Instant) -> bool {
        self.expires > now && !self.entries.is_empty()
    }
}

/// A caller, which caches a response to `GET /v1/entries` for its ttl.
pub(super) struct Caller {
    initial_entries: Vec<SocketAddr>,
    cached: Mutex<Option<CachedEntries>>,
    refresh: tokio::sync::Mutex<()>,
}

impl Caller {
    /// Creates a caller that knows only some entries.
    pub(super) fn new(initial_entries: Vec<SocketAddr>) -> Self {
        Caller { initial_entries, cached: Mutex::new(None), refresh: tokio::sync::Mutex::new(()) }
    }

    fn cached_entries(&self) -> Option<CachedEntries> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the cached response, and refreshes it first if it has expired or has no entries left.
    ///
    /// If no entry responds, returns the expired response. Only one request at a time refreshes it. Meanwhile other
    /// requests use the expired response if there is one.
    pub(super) async fn current_entries(
        &self,
        http: &Client,
        rng: &mut ChaCha8Rng,
    ) -> Option<CachedEntries> {
        let now = Instant::now();
        let old = self.cached_entries();
        if old.as_ref().is_some_and(|c| c.is_usable(now)) {
            return old;
        }
        let _guard = match (self.refresh.try_lock(), &old) {
            (Ok(guard), _) => guard,
            (Err(_), Some(c)) if !c.entries.is_empty() => return old,
            (Err(_), _) => self.refresh.lock().await,
        };
        let fresh = self.cached_entries();
        if fresh.as_ref().is_some_and(|c| c.is_usable(now)) {
            return fresh;
        }
        let known = old.iter().flat_map(|c| c.entries.clone()).collect();
        match self.fetch(http, known, rng).await {
            Some(fresh) => {
                *self.cached.lock().unwrap_or_else(PoisonError::into_inner) = Some(fresh.clone());
                Some(fresh)
            }
            None => old,
        }
    }

    /// Asks a few entries, the `known` ones and the initial ones, until one returns a list.
    async fn fetch(
        &self,
        http: &Client,
        known: Vec<SocketAddr>,
        rng: &mut ChaCha8Rng,
    ) -> Option<CachedEntries> {
        let mut candidates = known;
        candidates.extend(&self.initial_entries);
        candidates.sort();
        candidates.dedup();
        candidates.shuffle(rng);
        for entry in candidates.into_iter().take(MAX_TRIES) {
            let Some(response) = fetch_entries(http, entry).await else { continue };
            if !response.entries.is_empty() {
                return Some(CachedEntries::new(response, entry));
            }
        }
        None
    }

    /// Removes `entry` from the cached response, so that it is not used until the next refresh.
    pub(super) fn remove_entry(&self, entry: SocketAddr) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = cached.as_mut() {
            cached.entries.retain(|e| *e != entry);
        }
    }

    /// Replaces the cached key prefix with one from a refusal by `source`.
    pub(super) fn set_prefix(&self, prefix: &str, source: SocketAddr) {
        let mut cached = self.cached.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(cached) = cached.as_mut() {
            cached.prefix = prefix.into();
            cached.source = source;
        }
    }
}

async fn fetch_entries(http: &Client, entry: SocketAddr) -> Option<EntriesReply> {
    let request = http.get(format!("http://{entry}/v1/entries")).timeout(ENTRIES_TIMEOUT);
    let response = request.send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    let body = read(response).await.ok()?;
    serde_json::from_slice(&body).ok()
}
