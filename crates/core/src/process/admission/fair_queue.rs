//! The queue of one rank, in which workspaces take turns.

use super::request::{AdmissionRequest, AdmissionTicket, QueuedRequest};
use crate::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet, HashMap};

#[derive(Clone, Debug)]
struct WorkspaceQueue {
    turn: u64,
    /// The requests by sequence.
    queue: BTreeMap<u64, AdmissionTicket>,
}

/// The queued requests of one rank, by workspace.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    len: usize,
    workspaces: HashMap<u64, WorkspaceQueue>,
    /// The next turn of each workspace that was served in this round and has an empty queue now.
    served: HashMap<u64, u64>,
    /// The entries of `served`, ordered by turn.
    served_turns: BTreeSet<(u64, u64)>,
    /// The workspaces with queued requests, ordered by turn.
    turns: BTreeSet<(u64, u64)>,
    /// The same workspaces, ordered by queue length.
    lengths: BTreeSet<(usize, u64)>,
    deadlines: BTreeSet<(Timestamp, AdmissionTicket)>,
}

impl FairQueue {
    /// Returns the number of queued requests.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    pub(super) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of workspaces with queued requests.
    pub(super) fn workspaces(&self) -> usize {
        self.workspaces.len()
    }

    /// Returns the number of queued requests of a workspace.
    pub(super) fn workspace_len(&self, workspace: u64) -> usize {
        self.workspaces.get(&workspace).map_or(0, |w| w.queue.len())
    }

    /// Returns the workspace with the longest queue, and that queue's length.
    pub(super) fn longest(&self) -> Option<(usize, u64)> {
        self.lengths.last().copied()
    }

    /// Returns the workspace whose turn is next.
    pub(super) fn next_workspace(&self) -> Option<u64> {
        self.turns.first().map(|&(_, workspace)| workspace)
    }

    /// Returns the oldest request of a workspace.
    pub(super) fn oldest(&self, workspace: u64) -> Option<AdmissionTicket> {
        self.workspaces.get(&workspace)?.queue.first_key_value().map(|(_, &ticket)| ticket)
    }

    /// Returns the newest request of a workspace.
    pub(super) fn newest(&self, workspace: u64) -> Option<AdmissionTicket> {
        self.workspaces.get(&workspace)?.queue.last_key_value().map(|(_, &ticket)| ticket)
    }

    /// Returns the earliest deadline and its request.
    pub(super) fn first_deadline(&self) -> Option<(Timestamp, AdmissionTicket)> {
        self.deadlines.first().copied()
    }

    /// Adds a request; its workspace gets the turn `turn` at the latest.
    pub(super) fn add(&mut self, waiting: &QueuedRequest, turn: u64) {
        let AdmissionRequest { ticket, workspace, deadline, .. } = waiting.request;
        let entry = self
            .workspaces
            .entry(workspace)
            .or_insert_with(|| WorkspaceQueue { turn, queue: BTreeMap::new() });
        self.turns.remove(&(entry.turn, workspace));
        self.lengths.remove(&(entry.queue.len(), workspace));
        entry.turn = entry.turn.min(turn);
        entry.queue.insert(waiting.sequence, ticket);
        self.turns.insert((entry.turn, workspace));
        self.lengths.insert((entry.queue.len(), workspace));
        self.deadlines.insert((deadline, ticket));
        self.len += 1;
    }

    /// Removes a request.
    pub(super) fn remove(&mut self, waiting: &QueuedRequest) {
        let AdmissionRequest { ticket, workspace, deadline, .. } = waiting.request;
        let Some(entry) = self.workspaces.get_mut(&workspace) else { return };
        self.lengths.remove(&(entry.queue.len(), workspace));
        entry.queue.remove(&waiting.sequence);
        if entry.queue.is_empty() {
            self.turns.remove(&(entry.turn, workspace));
            if let Some(old) = self.served.insert(workspace, entry.turn) {
                self.served_turns.remove(&(old, workspace));
            }
            self.served_turns.insert((entry.turn, workspace));
            self.workspaces.remove(&workspace);
        } else {
            self.lengths.insert((entry.queue.len(), workspace));
        }
        self.deadlines.remove(&(deadline, ticket));
        self.len -= 1;
    }

    /// Returns the turn of a workspace that joins the round. It comes before all others, unless it was already
    /// served in this round; then it keeps its next turn.
    ///
    /// A place at the end of the round would make it wait for every workspace with queued requests. If a round
    /// takes longer than the deadlines, its queue would expire each time and it would lose its place.
    pub(super) fn first_turn(&mut self, workspace: u64, next: u64) -> u64 {
        if let Some(entry) = self.workspaces.get(&workspace) {
            return entry.turn;
        }
        let first = self.turns.first().map_or(next, |&(turn, _)| turn);
        self.forget_served(first);
        // Regular turns are even, so this odd one sorts just before the first.
        let Some(turn) = self.served.remove(&workspace) else { return (first - 1) | 1 };
        self.served_turns.remove(&(turn, workspace));
        turn
    }

    /// Moves `workspace` to the end of the round and returns its previous turn.
    pub(super) fn end_turn(&mut self, workspace: u64, next: u64) -> u64 {
        let Some(entry) = self.workspaces.get_mut(&workspace) else { return next };
        let turn = std::mem::replace(&mut entry.turn, next);
        self.turns.remove(&(turn, workspace));
        self.turns.insert((next, workspace));
        turn
    }

    /// Forgets the workspaces served in this round whose next turn is at the latest `until`.
    fn forget_served(&mut self, until: u64) {
        while let Some(&(turn, workspace)) =
            self.served_turns.first().filter(|(turn, _)| *turn <= until)
        {
            self.served_turns.remove(&(turn, workspace));
            self.served.remove(&workspace);
        }
    }
}
