//! Which changes of the registrations a registry can relay in full to another node.
//!
//! A node that is behind asks another one for the changes since its own position. The list must name every registration
//! that ended since then: the asking node takes it as complete, and would use a missing server for good.

use crate::{
    process::{registration::ServerId, stream_position::StreamPosition},
    time::{Span, Timestamp},
};
use std::{collections::HashMap, ops::Range};

/// The end of a registration that the registry holds no server for.
#[derive(Clone, Copy, Debug)]
struct UnknownEnd {
    position: StreamPosition,
    received: Timestamp,
}

/// The positions since which a registry has a record of every registration that ended.
#[derive(Clone, Debug, Default)]
pub(super) struct RelayableChanges {
    /// Before this position, ended registrations may have been removed.
    pruned_to: StreamPosition,
    /// The positions that the newest snapshot skipped. It does not list registrations that began and ended there.
    skipped: Range<StreamPosition>,
    /// The position after the last record that was applied.
    applied_to: StreamPosition,
    /// Whether a server was removed whose end the next snapshot would not show.
    has_removals: bool,
    unknown_ends: HashMap<ServerId, UnknownEnd>,
}

impl RelayableChanges {
    /// Returns whether the registry has a record of every registration that ended at or after `position`.
    ///
    /// At the first skipped position it has: a node there knows no server that this registry did not know before the
    /// snapshot, and the snapshot ended those that it does not list.
    pub(super) fn are_complete_since(&self, position: StreamPosition) -> bool {
        let is_skipped = position > self.skipped.start && position < self.skipped.end;
        position >= self.pruned_to && !is_skipped
    }

    /// Records that the record at `position` was applied.
    pub(super) fn record_applied(&mut self, position: StreamPosition) {
        self.applied_to = self.applied_to.max(position.next());
    }

    /// Records that a snapshot up to `end` is applied.
    pub(super) fn record_snapshot(&mut self, end: StreamPosition) {
        if end <= self.applied_to {
            return;
        }
        let start = if self.has_removals { StreamPosition::default() } else { self.applied_to };
        self.pruned_to = self.pruned_to.max(self.skipped.end);
        self.skipped = start..end;
        self.applied_to = end;
        self.has_removals = false;
    }

    /// Records that a server was removed although its registration had not ended.
    pub(super) fn record_removal(&mut self) {
        self.has_removals = true;
    }

    /// Records the end of a registration that the registry holds no server for. Other nodes may hold it.
    pub(super) fn record_unknown_end(
        &mut self,
        now: Timestamp,
        id: &ServerId,
        position: StreamPosition,
    ) {
        let end = UnknownEnd { position, received: now };
        self.unknown_ends.insert(id.clone(), end);
    }

    /// Returns whether a server that the registry does not hold ended after the record at `position`. The newest
    /// snapshot would list it otherwise; a list that a peer sends may arrive after that snapshot.
    pub(super) fn has_ended(&self, id: &ServerId, position: StreamPosition) -> bool {
        let is_end_known = self.unknown_ends.get(id).is_some_and(|end| end.position > position);
        is_end_known || position < self.skipped.end
    }

    /// Forgets the end of a server that registered again.
    pub(super) fn remove_unknown_end(&mut self, id: &ServerId) {
        self.unknown_ends.remove(id);
    }

    /// Returns the ends at or after `position` of registrations that the registry holds no server for.
    pub(super) fn unknown_ends(
        &self,
        position: StreamPosition,
    ) -> impl Iterator<Item = (ServerId, StreamPosition)> + '_ {
        let ends = self.unknown_ends.iter().map(|(id, end)| (id.clone(), end.position));
        ends.filter(move |(_, end)| *end >= position)
    }

    /// Records that the server which ended at `position` was removed.
    pub(super) fn record_pruned(&mut self, position: StreamPosition) {
        self.pruned_to = self.pruned_to.max(position.next());
    }

    /// Removes the ends that were received more than `retention` ago.
    pub(super) fn prune(&mut self, now: Timestamp, retention: Span) {
        let is_old = |end: &UnknownEnd| now.since(end.received) > retention;
        let old =
            self.unknown_ends.values().filter(|end| is_old(end)).map(|end| end.position.next());
        self.pruned_to = old.fold(self.pruned_to, StreamPosition::max);
        self.unknown_ends.retain(|_, end| !is_old(end));
    }
}
