//! Hands the records of a stopping home over to its successor.

use super::{
    generation::{Generation, KeyRecord, State},
    home_of,
    seal::Seal,
    IdempotencyStore, Stage, StoredResponse,
};
use crate::{
    error::{Error, Result},
    ids::StartId,
    request::{
        handover::{Handover, KeyOutcome, SavedGeneration, SavedKey, SavedSeal},
        key::KeyPrefix,
    },
    time::{Span, Timestamp},
};
use std::{cmp::Reverse, collections::BTreeSet, net::SocketAddr, sync::Arc};

impl IdempotencyStore {
    /// Exports all records to the successor with this entry address and start. No key may run here afterwards.
    ///
    /// Fails while keys are in flight. A repeated call returns the same records, for the same successor after a lost
    /// handover or for another one. Only the first successor may run sealed keys: it may have taken over although
    /// its acknowledgement was lost, and a sealed key with a higher attempt must not run at two nodes. Any other
    /// successor reports sealed keys as `unknown`.
    pub fn export(
        &mut self,
        now: Timestamp,
        successor: SocketAddr,
        successor_start: StartId,
    ) -> Result<Handover> {
        self.close_generations(now);
        let in_flight = self.in_flight();
        if in_flight > 0 {
            return Err(Error::key(format!(
                "{in_flight} keys are in flight and cannot be exported"
            )));
        }
        self.stage = Stage::Exported;
        let keeps_seals = *self.successor.get_or_insert((successor, successor_start))
            == (successor, successor_start);
        let generations = self.generations.iter();
        let generations =
            generations.map(|(prefix, g)| self.saved_generation(*prefix, g, keeps_seals)).collect();
        Ok(Handover { successor, successor_start, generations })
    }

    /// Imports the records of a leaving home. All its generations are closed to new keys.
    ///
    /// A home that was taken over before is skipped, because its records may have changed here since and an old
    /// copy must not overwrite them. Generations beyond the capacity are left out, those with the shortest remaining
    /// retention first; their keys become `unknown`.
    ///
    /// Fails if the handover is for another successor or another start of this node, and if this store was
    /// exported itself, because its own successor would not learn of the keys.
    pub fn import(&mut self, now: Timestamp, handover: Handover) -> Result<()> {
        self.tick(now);
        let own = (self.home, self.start);
        if (handover.successor, handover.successor_start) != own {
            return Err(Error::key("the handover is meant for another process"));
        }
        if self.stage == Stage::Exported {
            return Err(Error::key("the ledger was exported and takes over no keys"));
        }
        let homes: BTreeSet<_> = handover.generations.iter().map(|g| home_of(&g.prefix)).collect();
        let fresh: BTreeSet<_> =
            homes.into_iter().filter(|h| *h != own && !self.taken_over.contains(h)).collect();
        let mut generations = handover.generations;
        generations.sort_by_key(|g| Reverse((g.remaining, g.prefix)));
        for saved in generations {
            let known = self.generations.contains_key(&saved.prefix);
            if !known && fresh.contains(&home_of(&saved.prefix)) && self.has_room_for(&saved) {
                self.take_over(saved);
            }
        }
        self.taken_over.extend(fresh);
        Ok(())
    }

    fn saved_generation(
        &self,
        prefix: KeyPrefix,
        generation: &Generation,
        keeps_seals: bool,
    ) -> SavedGeneration {
        let mut keys: Vec<_> = generation.records.iter().filter_map(saved_key).collect();
        keys.sort_by(|a, b| a.caller.cmp(&b.caller));
        let mut seals: Vec<_> = generation.seals.iter().map(saved_seal).collect();
        seals.sort_unstable();
        let remaining = generation.drop_at.map_or(Span::ZERO, |at| at.since(self.now));
        let seals_void = generation.seals_void || !keeps_seals;
        SavedGeneration { prefix, remaining, keys, seals, seals_void }
    }

    /// Returns whether the capacity for keys taken over suffices for a generation.
    fn has_room_for(&self, saved: &SavedGeneration) -> bool {
        let room = self.options.capacity.saturating_sub(self.imported.records);
        let seal_room = self.options.seal_capacity.saturating_sub(self.imported.seals);
        saved.keys.len() <= room && saved.seals.len() <= seal_room
    }

    fn take_over(&mut self, saved: SavedGeneration) {
        let drop_at = Some(self.now + saved.remaining.min(self.options.horizon));
        let seal = |s: SavedSeal| (s.hash, Seal { attempt: s.attempt, fingerprint: s.fingerprint });
        let seals = saved.seals.into_iter().map(seal).collect();
        let seals_void = saved.seals_void;
        let mut generation = Generation { drop_at, seals, seals_void, ..Generation::default() };
        let mut left = self.options.total_bytes.saturating_sub(self.bytes);
        for SavedKey { caller, fingerprint, mut outcome } in saved.keys {
            if let KeyOutcome::Response(response) = &mut outcome {
                if response.bytes() > left {
                    let whole = StoredResponse::clone(response);
                    *response = Arc::new(whole.trimmed(self.options.body_limit, left));
                }
                left -= response.bytes();
                generation.bytes += response.bytes();
            }
            let fingerprint = Some(fingerprint);
            let record = KeyRecord { fingerprint, runs: 1, state: State::Done(outcome) };
            generation.records.insert(caller, record);
        }
        self.imported.records += generation.records.len();
        self.imported.seals += generation.seals.len();
        self.bytes += generation.bytes;
        self.generations.insert(saved.prefix, generation);
    }
}

fn saved_key((caller, record): (&Arc<str>, &KeyRecord)) -> Option<SavedKey> {
    let State::Done(outcome) = &record.state else { return None };
    Some(SavedKey {
        caller: caller.clone(),
        // Only copies refused at once have no fingerprint, and they leave no record.
        fingerprint: record.fingerprint.unwrap_or_default(),
        outcome: outcome.clone(),
    })
}

fn saved_seal((&hash, seal): (&u64, &Seal)) -> SavedSeal {
    SavedSeal { hash, fingerprint: seal.fingerprint, attempt: seal.attempt }
}
