//! Positions in the store's streams, which stay comparable after the store was restored from an older copy.

/// A position in a stream of the store. Positions of a later era follow all positions of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamPosition {
    /// How often the store was restored from a copy before.
    pub era: u64,
    /// The number of the record in the stream. A restored store gives numbers out again.
    pub offset: u64,
}

impl StreamPosition {
    /// Returns the position of the record number `offset` in the era `era`.
    pub const fn new(era: u64, offset: u64) -> Self {
        StreamPosition { era, offset }
    }

    /// Returns the position after this one in the same era.
    pub fn next(self) -> Self {
        StreamPosition { offset: self.offset.saturating_add(1), ..self }
    }

    /// Returns the position before this one in the same era, or the first one of the era.
    pub fn previous(self) -> Self {
        StreamPosition { offset: self.offset.saturating_sub(1), ..self }
    }
}

/// What the era of a response says about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraChange {
    /// The era is the known one, or the first that the node hears of.
    Current,
    /// The store was restored from a copy since the last response. All streams must be read from a snapshot.
    Restored {
        /// The era known until now.
        before: u64,
    },
    /// The response is older than the newest restore. It says nothing about the current records.
    Outdated {
        /// The known era.
        known: u64,
    },
}

/// The newest known era of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreEra(Option<u64>);

impl StoreEra {
    /// Returns the newest era that a response carried, or `None` before the first response.
    pub fn known(self) -> Option<u64> {
        self.0
    }

    /// Records the era of a response. The known era never goes back.
    pub fn observe(&mut self, era: u64) -> EraChange {
        match self.0 {
            Some(known) if era < known => return EraChange::Outdated { known },
            Some(known) if era == known => return EraChange::Current,
            _ => {}
        }
        self.0.replace(era).map_or(EraChange::Current, |before| EraChange::Restored { before })
    }
}
