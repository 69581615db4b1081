//! The records of one key generation.

use super::{decision::Waiter, seal::Seal};
use crate::{request::handover::KeyOutcome, time::Timestamp};
use std::{collections::HashMap, sync::Arc};

/// Whether a key is in flight.
#[derive(Debug)]
pub(super) enum State {
    Pending(Pending),
    Done(KeyOutcome),
}

/// A key in flight.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) ticket: u64,
    /// The highest attempt of the running copy and the waiting copies.
    pub(super) attempt: u32,
    pub(super) waiters: Vec<Waiter>,
}

/// A key that is in flight, ran or may have run.
#[derive(Debug)]
pub(super) struct KeyRecord {
    /// `None` for a copy that is refused before its body was read.
    pub(super) fingerprint: Option<u64>,
    /// Number of runs that did not end as `not_run`.
    pub(super) runs: u32,
    pub(super) state: State,
}

/// The keys of one generation of a home.
#[derive(Debug, Default)]
pub(super) struct Generation {
    pub(super) records: HashMap<Arc<str>, KeyRecord>,
    pub(super) seals: HashMap<u64, Seal>,
    /// Whether another successor may run the sealed keys.
    pub(super) seals_void: bool,
    pub(super) pending: usize,
    /// Total size of the kept responses.
    pub(super) bytes: usize,
    /// When the generation will be dropped; `None` while it is open.
    pub(super) drop_at: Option<Timestamp>,
}

impl Generation {
    /// Returns whether the generation accepts new keys.
    pub(super) fn is_open(&self) -> bool {
        self.drop_at.is_none()
    }

    /// Returns whether the generation can be dropped now. Copies may be waiting for a key in flight.
    pub(super) fn is_due(&self, now: Timestamp) -> bool {
        self.pending == 0 && self.drop_at.is_some_and(|at| at <= now)
    }
}

/// Record counts, kept separately for own keys and keys taken over.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecordCounts {
    pub(super) records: usize,
    pub(super) pending: usize,
    pub(super) seals: usize,
}
