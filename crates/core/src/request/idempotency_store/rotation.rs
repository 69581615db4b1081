//! Opens, closes and drops key generations as time passes.

use super::{generation::Generation, home_of, IdempotencyStore, Stage};
use crate::time::Timestamp;

impl IdempotencyStore {
    /// Opens, closes and drops generations as due.
    ///
    /// A generation with keys in flight is kept until they finish, because copies may be waiting.
    pub fn tick(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        self.drop_due();
        if self.stage == Stage::Serving && self.is_opening_due() {
            self.open_generation();
        }
    }

    /// Closes all generations to new keys and stops opening new ones.
    ///
    /// Keys in flight continue, and a sealed key may still run with a higher attempt until the export.
    pub fn close_generations(&mut self, now: Timestamp) {
        self.tick(now);
        if self.stage == Stage::Serving {
            self.stage = Stage::Closing;
        }
        for generation in self.generations.values_mut() {
            generation.drop_at.get_or_insert(self.now + self.options.horizon);
        }
    }

    fn drop_due(&mut self) {
        let now = self.now;
        if !self.generations.values().any(|g| g.is_due(now)) {
            return;
        }
        let own = (self.home, self.start);
        self.generations.retain(|prefix, generation| {
            if !generation.is_due(now) {
                return true;
            }
            let counts = if home_of(prefix) == own { &mut self.own } else { &mut self.imported };
            counts.records -= generation.records.len();
            counts.seals -= generation.seals.len();
            self.bytes -= generation.bytes;
            false
        });
    }

    /// Returns whether a new generation should replace the newest one.
    ///
    /// A generation that was closed early because the store was full is replaced only once there is room. Otherwise
    /// each refusal would open another generation.
    fn is_opening_due(&self) -> bool {
        if self.now.since(self.opened) >= self.options.generation {
            return true;
        }
        let current = self.prefix(self.current);
        let is_open = self.generations.get(&current).is_some_and(Generation::is_open);
        !is_open && self.has_room()
    }

    /// Opens the next generation. The newest one so far stays open, and earlier ones are closed.
    fn open_generation(&mut self) {
        // After a process pause of two or more generation intervals the newest generation was already due to close.
        let is_overdue = self.now.since(self.opened) >= self.options.generation.times(2);
        let own = (self.home, self.start);
        for (prefix, generation) in &mut self.generations {
            let keep_open = prefix.generation() == self.current && !is_overdue;
            if home_of(prefix) == own && !keep_open && generation.is_open() {
                generation.drop_at = Some(self.now + self.options.horizon);
            }
        }
        self.current += 1;
        self.opened = self.now;
        self.generations.insert(self.prefix(self.current), Generation::default());
    }
}
