//! The limits and retention times of the idempotency store.

use crate::time::Span;

/// Capacity limits and retention times of the idempotency store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdempotencyOptions {
    /// Interval at which a new generation is opened.
    pub generation: Span,
    /// Retention time of a closed generation, in which repeated requests find their responses.
    pub horizon: Span,
    /// Maximum number of keys of this home that are in flight or ran. The same limit applies separately to keys
    /// taken over from other homes.
    pub capacity: usize,
    /// Maximum number of sealed keys of this home. The same limit applies separately to seals taken over from
    /// other homes.
    ///
    /// A seal takes 17 bytes in a hash table that is at least 7/16 full: 36 MB for 1,000,000 seals. Seals are that
    /// small, so a flood of refused keys gets its own limit, five times that of the keys that ran.
    pub seal_capacity: usize,
    /// Maximum size of a kept response body, in bytes.
    pub body_limit: usize,
    /// Maximum total size of all kept bodies and headers, in bytes.
    ///
    /// Bodies of the maximum size for every key would need 13 GB, far more than a node's 256 MB. Responses beyond
    /// this total are kept without headers and body.
    pub total_bytes: usize,
    /// Maximum number of copies that wait for one key in flight.
    pub waiters: usize,
}

impl Default for IdempotencyOptions {
    fn default() -> Self {
        IdempotencyOptions {
            generation: Span::from_secs(300),
            horizon: Span::from_secs(600),
            capacity: 200_000,
            seal_capacity: 1_000_000,
            body_limit: 64 * 1024,
            total_bytes: 96 * 1024 * 1024,
            waiters: 64,
        }
    }
}
