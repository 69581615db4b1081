//! How long ago the store last responded to some node of the fleet.
//!
//! Few nodes watch the store, and the others rely on them. A watch that hangs looks like one that waits, so no node can
//! tell by a call that is still open whether its readers would hear of a change. What counts is the age of the last
//! response ([docs/platform.md](../../../../docs/platform.md)): nodes tell each other the newest contact with the store
//! that they know of, and a node that knows of none that is recent asks the store itself.

use crate::time::{Span, Timestamp};
use rand::Rng;
use std::collections::HashMap;

/// A node asks the store itself when the newest contact that it knows of is older than this. A change must be in force two
/// seconds after the store has accepted it, also if the last contact came just before it.
pub const MAX_CONTACT_AGE: Span = Span::from_millis(1_300);

/// Up to this much is added at random on each node, so that the first one to ask can tell the others, which then need
/// not ask.
const MAX_PATIENCE: Span = Span::from_millis(250);

/// The most nodes whose contacts are told apart. Beyond it the contacts known before are forgotten.
const MAX_NODES: usize = 4_096;

/// A contact of a node with the store, as nodes tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ContactReport {
    /// Identifies one start of the node to which the store responded.
    pub node: u32,
    /// The number of the contact, which grows with each one of the node.
    pub number: u32,
    /// How long ago the store responded.
    pub age: Span,
}

#[derive(Clone, Copy, Debug)]
struct Contact {
    node: u32,
    number: u32,
    at: Timestamp,
}

/// The newest contacts with the store that a node knows of.
#[derive(Clone, Debug)]
pub struct StoreContacts {
    own: Contact,
    newest: Contact,
    /// The newest known number by node. A contact counts when it is first heard of: if it counted each time, the time
    /// that messages take would make it younger on its way around.
    known: HashMap<u32, u32>,
    patience: Span,
}

impl StoreContacts {
    /// Creates the contacts of a process that starts at `now` and has not called the store yet. `node` identifies the start.
    pub fn new(now: Timestamp, node: u32) -> Self {
        let own = Contact { node, number: 0, at: now };
        StoreContacts { own, newest: own, known: HashMap::new(), patience: Span::ZERO }
    }

    /// Records that the store responded to this node at `at`.
    pub fn record_own(&mut self, at: Timestamp, rng: &mut impl Rng) {
        if at <= self.own.at {
            return;
        }
        self.own = Contact { number: self.own.number.wrapping_add(1), at, ..self.own };
        self.patience = Span::from_micros(rng.random_range(0..=MAX_PATIENCE.as_micros()));
        self.take(self.own);
    }

    /// Records a contact that another node knows of.
    pub fn record_peer(&mut self, now: Timestamp, report: &ContactReport) {
        let ContactReport { node, number, age } = *report;
        let is_known = self.known.get(&node).is_some_and(|known| number <= *known);
        if node == self.own.node || is_known {
            return;
        }
        if self.known.len() >= MAX_NODES {
            self.known.clear();
        }
        self.known.insert(node, number);
        self.take(Contact { node, number, at: now - age });
    }

    fn take(&mut self, contact: Contact) {
        if contact.at > self.newest.at {
            self.newest = contact;
        }
    }

    /// Returns the newest contact that this node knows of, or `None` before the first one.
    pub fn newest(&self, now: Timestamp) -> Option<ContactReport> {
        let Contact { node, number, at } = self.newest;
        (number > 0).then(|| ContactReport { node, number, age: now.since(at) })
    }

    /// Returns the age of the newest contact, or of the process before the first one.
    pub fn age(&self, now: Timestamp) -> Span {
        now.since(self.newest.at)
    }

    /// Returns whether this node must ask the store itself.
    pub fn is_overdue(&self, now: Timestamp) -> bool {
        self.age(now) > MAX_CONTACT_AGE + self.patience
    }
}
