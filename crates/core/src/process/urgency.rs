//! Which ranks of work a service has at present, and how long more urgent work lets less urgent work wait.

use crate::time::{Span, Timestamp};

/// How long after its last request a rank still counts. A node sees some ranks less than once a second.
const ACTIVE_WINDOW: Span = Span::from_secs(3);

/// `Urgency` remembers the ranks of a service's newest requests.
#[derive(Clone, Debug, Default)]
pub struct Urgency {
    ranks: Vec<ActiveRank>,
}

#[derive(Clone, Copy, Debug)]
struct ActiveRank {
    priority: u8,
    target: Span,
    at: Timestamp,
}

impl Urgency {
    /// Notes a request; the priority 0 is the most urgent.
    pub fn note(&mut self, now: Timestamp, priority: u8, target: Span) {
        self.ranks.retain(|rank| now.since(rank.at) < ACTIVE_WINDOW && rank.priority != priority);
        self.ranks.push(ActiveRank { priority, target, at: now });
    }

    /// Returns the longest answer time at a server to which less urgent work may still be added.
    ///
    /// Servers take requests in the order in which they come. Work of this priority leaves their queues so short that
    /// more urgent work which comes next is answered within its target. Without such work there is no bound.
    pub fn bound(&self, now: Timestamp, priority: u8) -> Option<Span> {
        let urgent =
            self.ranks.iter().filter(|r| r.priority < priority && now.since(r.at) < ACTIVE_WINDOW);
        urgent.map(|rank| rank.target).min()
    }
}
