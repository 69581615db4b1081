//! The active ranks of a service, which limit the queues that less urgent work may build at servers.

use crate::{
    process::picker::LATE_FROM,
    time::{Span, Timestamp},
};

/// A rank counts as active for this long after its last request. A node sees some ranks less than once a second.
const ACTIVE_WINDOW: Span = Span::from_secs(3);

/// The active ranks of a service with the target of their newest request.
#[derive(Clone, Debug, Default)]
pub struct RecentRanks {
    ranks: Vec<ActiveRank>,
}

#[derive(Clone, Copy, Debug)]
struct ActiveRank {
    rank: u8,
    target: Span,
    at: Timestamp,
}

impl RecentRanks {
    /// Records a request; rank 0 is the most urgent.
    pub fn record(&mut self, now: Timestamp, rank: u8, target: Span) {
        self.ranks.retain(|r| now.since(r.at) < ACTIVE_WINDOW && r.rank != rank);
        self.ranks.push(ActiveRank { rank, target, at: now });
    }

    /// Returns the maximum expected response time at a server that may get work of this rank.
    ///
    /// Servers run requests in order of arrival, so less urgent work must keep their queues short enough for the next
    /// more urgent request not to look late there. That request would go to a failing server instead, while the less
    /// urgent ones, whose target is usually longer, keep the healthy servers. Returns `None` if no more urgent rank is
    /// active.
    pub fn max_response_time(&self, now: Timestamp, rank: u8) -> Option<Span> {
        let urgent = self.ranks.iter().filter(|r| r.rank < rank && now.since(r.at) < ACTIVE_WINDOW);
        let target = urgent.map(|r| r.target).min()?;
        Some(Span::from_micros((target.as_micros() as f64 * LATE_FROM) as u64))
    }
}
