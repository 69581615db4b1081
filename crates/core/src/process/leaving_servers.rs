//! The servers that said in a response that they leave.

use crate::{
    process::{
        registration::Registration,
        start_marks::{ServerStart, StartMarks},
    },
    time::{Span, Timestamp},
};

/// A mark is kept for at least this long. The store may be behind by some seconds, and a snapshot of it by more.
const MIN_RETENTION: Span = Span::from_secs(120);

/// The starts of servers that said that they leave, with the time of the first such response.
#[derive(Clone, Debug, Default)]
pub(super) struct LeavingServers {
    marks: StartMarks,
}

impl LeavingServers {
    /// Marks a start as leaving, and returns whether it was not marked before.
    pub(super) fn mark(&mut self, now: Timestamp, start: &ServerStart) -> bool {
        self.marks.time_of(start).is_none() && self.marks.set(start, now)
    }

    /// Returns since when this start is known to leave.
    pub(super) fn since(&self, registration: &Registration) -> Option<Timestamp> {
        self.marks.time(registration)
    }

    /// Forgets old marks, except those of starts for which `is_registered` returns true.
    pub(super) fn tick(&mut self, now: Timestamp, is_registered: impl Fn(&ServerStart) -> bool) {
        self.marks.retain(|start, since| now.since(since) <= MIN_RETENTION || is_registered(start));
    }
}
