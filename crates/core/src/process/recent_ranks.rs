//! Which ranks of work a service has at present, and how long more urgent work lets less urgent work wait.

use crate::time::{Span, Timestamp};

/// How long after its last request a rank still counts. A node sees some ranks less than once a second.
const RECENT: Span = Span::from_secs(3);

/// `RecentRanks` remembers the ranks of a service's newest requests.
#[derive(Clone, Debug, Default)]
pub struct RecentRanks {
    ranks: Vec<Seen>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    priority: u8,
    target: Span,
    at: Timestamp,
}

impl RecentRanks {
    /// Notes a request; the priority 0 is the most urgent.
    pub fn record(&mut self, now: Timestamp, priority: u8, target: Span) {
        self.ranks.retain(|seen| now.since(seen.at) < RECENT && seen.priority != priority);
        self.ranks.push(Seen { priority, target, at: now });
    }

    /// Returns the longest answer time at a server to which less urgent work may still be added.
    ///
    /// Servers take requests in the order in which they come. Work of this priority leaves their queues so short that
    /// more urgent work which comes next is answered within its target. Without such work there is no bound.
    pub fn bound(&self, now: Timestamp, priority: u8) -> Option<Span> {
        let urgent =
            self.ranks.iter().filter(|s| s.priority < priority && now.since(s.at) < RECENT);
        urgent.map(|seen| seen.target).min()
    }
}
