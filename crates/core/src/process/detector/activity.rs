//! Whether at least two nodes, or two workspaces, are active.

use crate::time::{Span, Timestamp};

/// A node or workspace counts as active for this long after its last outcome.
const ACTIVE_WINDOW: Span = Span::from_secs(10);

/// Up to two active nodes or workspaces, with the times of their last outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Activity([Option<(u32, Timestamp)>; 2]);

impl Activity {
    /// Records an outcome of the node or workspace `id`.
    pub(super) fn mark(&mut self, now: Timestamp, id: u32) {
        if let Some((_, at)) = self.0.iter_mut().flatten().find(|(known, _)| *known == id) {
            *at = now;
        } else if let Some(free) = self.0.iter_mut().find(|entry| !is_active(entry, now)) {
            *free = Some((id, now));
        }
    }

    /// Returns whether two are active.
    pub(super) fn has_two(&self, now: Timestamp) -> bool {
        self.0.iter().all(|entry| is_active(entry, now))
    }
}

fn is_active(entry: &Option<(u32, Timestamp)>, now: Timestamp) -> bool {
    entry.is_some_and(|(_, at)| now.since(at) <= ACTIVE_WINDOW)
}
