//! The memory of a home that stops, on its way to its heir.

use crate::{
    codes::ResultCode,
    ids::StartId,
    request::{key::KeyPrefix, ledger::Answer},
    time::Span,
};
use std::{mem, net::SocketAddr, sync::Arc};

/// `Handover` is the memory of a leaving home, for its heir.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Handover {
    /// The entry address of the heir.
    pub heir: SocketAddr,
    /// The start of the heir; another process at its address must not take over.
    pub heir_start: StartId,
    /// The kept generations of the leaving home and of the homes it had taken over.
    pub generations: Vec<KeptGeneration>,
}

impl Handover {
    /// Splits the handover into parts of about `bytes` each; there is at least one.
    ///
    /// A generation may extend over several parts. A single key takes at most about 80 KiB.
    pub fn split(self, bytes: usize) -> Vec<Handover> {
        let Handover { heir, heir_start, generations } = self;
        let mut parts = vec![Handover { heir, heir_start, generations: vec![] }];
        let mut left = bytes;
        let mut append = |head: &KeptGeneration, size: usize, add: &mut dyn FnMut(&mut _)| {
            if size > left {
                parts.push(Handover { heir, heir_start, generations: vec![] });
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
                let size = mem::size_of::<KeptSeal>();
                append(&generation, size, &mut |g| g.seals.push(seal));
            }
        }
        parts
    }

    /// Adds the next part of a handover that was [split](Self::split).
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

/// `KeptGeneration` is one closed generation of a [`Handover`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptGeneration {
    /// The home and number of the generation.
    pub prefix: KeyPrefix,
    /// The time for which the generation is still to be kept.
    ///
    /// It is a span because timestamps of two processes share no origin.
    pub remaining: Span,
    /// The keys of the generation that ran or may have run, sorted by caller key.
    pub keys: Vec<KeptKey>,
    /// The seals of the generation, sorted by hash.
    pub seals: Vec<KeptSeal>,
    /// Whether another heir may run the sealed keys, which are then answered `unknown`.
    pub seals_void: bool,
}

/// `KeptSeal` is the memory of keys that were told `not_run`, by the hash of the caller's part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KeptSeal {
    /// The hash of the caller's part of the key.
    pub hash: u64,
    /// The folded fingerprint of the request; zero when its body was not read.
    pub fingerprint: u32,
    /// Attempts up to this one were told `not_run` and must never run.
    pub attempt: u32,
}

/// `KeptKey` is what is remembered of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptKey {
    /// The caller's part of the key.
    pub caller: Arc<str>,
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// What became of the request.
    pub fate: Fate,
}

impl KeptKey {
    fn bytes(&self) -> usize {
        let answer = match &self.fate {
            Fate::Answered(answer) => answer.bytes(),
            Fate::Unknown(_) => 0,
        };
        mem::size_of::<KeptKey>() + self.caller.len() + answer
    }
}

/// `Fate` is what became of a key that is not in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// The request ran and this is its answer.
    Answered(Arc<Answer>),
    /// The request may have run.
    Unknown(ResultCode),
}
