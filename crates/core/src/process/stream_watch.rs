//! How a node follows a stream of records in the platform's store.

use crate::time::Span;
use rand::Rng;

/// The first pause after a failed call.
const FIRST_PAUSE: Span = Span::from_millis(150);

/// The longest pause between calls to a store that does not answer. Calls are priced also when they are refused, and
/// a configuration must be in force within two seconds of the store's return.
const LAST_PAUSE: Span = Span::from_millis(1_000);

/// `Step` is the next call of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the newest record of each key.
    Newest,
    /// Wait for records from this position on.
    Watch(u64),
}

/// `StreamWatch` decides what a follower asks next, and refuses answers that lead back.
#[derive(Clone, Debug, Default)]
pub struct StreamWatch {
    position: Option<u64>,
    lost: bool,
    failures: u32,
}

impl StreamWatch {
    /// Returns the position after the last record that is known, if any was read.
    pub fn position(&self) -> Option<u64> {
        self.position
    }

    /// Returns whether the last call failed.
    pub fn is_away(&self) -> bool {
        self.failures > 0
    }

    /// Returns the next call.
    pub fn step(&self) -> Step {
        match self.position {
            Some(position) if !self.lost => Step::Watch(position),
            _ => Step::Newest,
        }
    }

    /// Takes a snapshot that ends at `end` and returns whether it may be used.
    ///
    /// A store that has just dropped its history may answer from an older state for some seconds. Such a snapshot
    /// would bring back servers that have left, so it is refused and read again.
    pub fn snapshot(&mut self, end: u64) -> bool {
        if self.position.is_some_and(|known| end < known) {
            self.failures += 1;
            return false;
        }
        self.position = Some(end);
        self.lost = false;
        self.failures = 0;
        true
    }

    /// Takes records that end at `end`.
    pub fn changes(&mut self, end: u64) {
        self.position = Some(self.position.map_or(end, |known| known.max(end)));
        self.failures = 0;
    }

    /// Takes a position up to which another node has passed its records on.
    pub fn relayed(&mut self, end: u64) {
        self.position = Some(self.position.map_or(end, |known| known.max(end)));
    }

    /// Notes that the records at the position are gone, so that a snapshot is needed.
    pub fn expired(&mut self) {
        self.lost = true;
    }

    /// Notes a failed call and returns the pause before the next one.
    ///
    /// The pause doubles, and a random quarter keeps the nodes of a fleet from calling all at once.
    pub fn failed(&mut self, rng: &mut impl Rng) -> Span {
        let doubled = FIRST_PAUSE.times(1 << self.failures.min(3));
        self.failures = self.failures.saturating_add(1);
        let pause = doubled.min(LAST_PAUSE).as_micros();
        Span::from_micros(pause - pause / 4 + rng.random_range(0..=pause / 4))
    }
}
