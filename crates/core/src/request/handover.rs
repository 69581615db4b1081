//! The idempotency records that a stopping home sends to its successor.

use crate::{
    codes::ResultCode,
    ids::StartId,
    request::{idempotency_store::StoredResponse, key::KeyPrefix},
    time::Span,
};
use std::{mem, net::SocketAddr, sync::Arc};

/// The idempotency records of a leaving home for its successor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// The entry address of the successor.
    pub successor: SocketAddr,
    /// The start id of the successor; another process at its address must not take over.
    pub successor_start: StartId,
    /// The generations of the leaving home and of the homes that it had taken over.
    pub generations: Vec<SavedGeneration>,
}

impl Handover {
    /// Splits the handover into one or more parts of about `bytes` each.
    ///
    /// A generation may span several parts. A single key takes up to about 80 KiB.
    pub fn split(self, bytes: usize) -> Vec<Handover> {
        let Handover { successor, successor_start, generations } = self;
        let mut parts = vec![Handover { successor, successor_start, generations: vec![] }];
        let mut left = bytes;
        let mut append = |head: &SavedGeneration, size: usize, add: &mut dyn FnMut(&mut _)| {
            if size > left {
                parts.push(Handover { successor, successor_start, generations: vec![] });
                left = bytes;
            }
            left = left.saturating_sub(size);
            let Some(part) = parts.last_mut() else { return };
            if part.generations.last().is_none_or(|g| g.prefix != head.prefix) {
                part.generations.push(head.clone());
            }
            part.generations.last_mut().into_iter().for_each(add);
        };
        for mut generation in generations {
            let keys = mem::take(&mut generation.keys);
            let seals = mem::take(&mut generation.seals);
            append(&generation, 0, &mut |_| {});
            for key in keys {
                append(&generation, key.bytes(), &mut |g| g.keys.push(key.clone()));
            }
            for seal in seals {
                let size = mem::size_of::<SavedSeal>();
                append(&generation, size, &mut |g| g.seals.push(seal));
            }
        }
        parts
    }

    /// Appends the next part of a [split](Self::split) handover.
    pub fn join(&mut self, part: Handover) {
        for next in part.generations {
            match self.generations.last_mut() {
                Some(last) if last.prefix == next.prefix => {
                    last.keys.extend(next.keys);
                    last.seals.extend(next.seals);
                }
                _ => self.generations.push(next),
            }
        }
    }
}

/// A closed key generation in a [`Handover`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedGeneration {
    /// The home and number of the generation.
    pub prefix: KeyPrefix,
    /// Remaining retention time. It is relative because the clocks of two processes share no origin.
    pub remaining: Span,
    /// The keys of the generation that ran or may have run, sorted by caller key.
    pub keys: Vec<SavedKey>,
    /// The seals of the generation, sorted by hash.
    pub seals: Vec<SavedSeal>,
    /// Whether another successor may run the sealed keys. They are then reported as `unknown`.
    pub seals_void: bool,
}

/// The seal of the keys with one hash, whose attempts were reported as `not_run`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SavedSeal {
    /// The hash of the caller's part of the key.
    pub hash: u64,
    /// The folded fingerprint of the request; 0 if its body was not read.
    pub fingerprint: u32,
    /// Attempts up to this one were reported as `not_run` and must never run.
    pub attempt: u32,
}

/// The record of a key that ran or may have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SavedKey {
    /// The caller's part of the key.
    pub caller: Arc<str>,
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The result of the request.
    pub outcome: KeyOutcome,
}

impl SavedKey {
    fn bytes(&self) -> usize {
        let response = match &self.outcome {
            KeyOutcome::Response(response) => response.bytes(),
            KeyOutcome::Unknown(_) => 0,
        };
        mem::size_of::<SavedKey>() + self.caller.len() + response
    }
}

/// The result of a key that is not in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The request ran and its response is known.
    Response(Arc<StoredResponse>),
    /// The request may have run; repeated requests get this code.
    Unknown(ResultCode),
}
