//! The gossip updates that wait to be sent.

use crate::{
    ids::NodeId,
    process::heartbeat::{GossipUpdate, MAX_GOSSIP_UPDATES},
};
use std::collections::{BTreeSet, HashMap};

/// The subject of a gossip update: the node and the kind of update.
type Subject = (NodeId, u8);

/// Updates in the order in which to send them, those sent least often first.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipQueue {
    /// The updates with the number of times each was sent.
    updates: HashMap<Subject, (u32, GossipUpdate)>,
    order: BTreeSet<(u32, Subject)>,
}

impl GossipQueue {
    /// Queues an update. It replaces an older one of the same kind about the same node.
    pub(super) fn push(&mut self, update: GossipUpdate) {
        let subject = subject(&update);
        if let Some((sent, _)) = self.updates.insert(subject, (0, update)) {
            self.order.remove(&(sent, subject));
        }
        self.order.insert((0, subject));
    }

    /// Returns the updates for the next heartbeat. Each is sent `copies` times, and `refresh` adapts it before each.
    pub(super) fn next(
        &mut self,
        copies: u32,
        refresh: impl Fn(&mut GossipUpdate),
    ) -> Vec<GossipUpdate> {
        let next: Vec<_> = self.order.iter().take(MAX_GOSSIP_UPDATES).copied().collect();
        let mut list = Vec::new();
        for (sent, subject) in next {
            self.order.remove(&(sent, subject));
            let Some((count, update)) = self.updates.get_mut(&subject) else { continue };
            refresh(update);
            list.push(update.clone());
            *count = sent + 1;
            if *count < copies {
                self.order.insert((*count, subject));
            } else {
                self.updates.remove(&subject);
            }
        }
        list
    }
}

fn subject(update: &GossipUpdate) -> Subject {
    match update {
        GossipUpdate::Member { node, .. } => (*node, 0),
        // Reports of silence and of life replace each other.
        GossipUpdate::Silent { node, .. } | GossipUpdate::Alive { node, .. } => (*node, 1),
        GossipUpdate::Successor { node, .. } => (*node, 2),
    }
}
