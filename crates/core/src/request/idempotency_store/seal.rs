//! Seals: what is kept of a key whose attempts were refused as `not_run`.

use crate::request::key::RequestKey;
use xxhash_rust::xxh3::xxh3_64;

/// The highest attempt that was reported as `not_run` for the keys with one hash.
///
/// Seals are stored by a 64-bit hash of the caller's part of the key. Keys with the same hash share a seal,
/// which can only cause an additional refusal: a seal is kept until its generation is dropped, its attempt
/// never decreases, and its fingerprint never changes once set.
#[derive(Clone, Copy, Debug)]
pub(super) struct Seal {
    pub(super) attempt: u32,
    /// 0 if the body of the request was not read; the seal then matches any request.
    pub(super) fingerprint: u32,
}

impl Seal {
    /// Returns whether the seal may be of a request with this fingerprint.
    pub(super) fn matches(self, fingerprint: Option<u64>) -> bool {
        let folded = fold(fingerprint);
        folded == 0 || self.fingerprint == 0 || self.fingerprint == folded
    }

    /// Extends the seal to another refused attempt.
    pub(super) fn extend(&mut self, attempt: u32, fingerprint: u32) {
        self.attempt = self.attempt.max(attempt);
        if self.fingerprint == 0 {
            self.fingerprint = fingerprint;
        }
    }
}

/// Returns the hash under which the seal of a key is kept.
pub(super) fn hash(key: &RequestKey) -> u64 {
    xxh3_64(key.caller().as_bytes())
}

/// Folds a fingerprint to 32 bits, which halves the size of a seal; 0 means no fingerprint.
///
/// Two requests with the same folded fingerprint count as the same request. Since a sealed key did not run, the worst
/// case is that the second request runs under the key instead of the first.
pub(super) fn fold(fingerprint: Option<u64>) -> u32 {
    fingerprint.map_or(0, |f| ((f ^ (f >> 32)) as u32).max(1))
}
