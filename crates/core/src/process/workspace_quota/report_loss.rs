//! Which share of the other nodes' reports arrives here.

use super::recent_count::RecentCount;
use crate::time::{Span, Timestamp};
use std::{collections::HashMap, net::SocketAddr};

/// How long a report counts.
const MEMORY: Span = Span::from_secs(20);

/// The reports that are assumed to have arrived before the first one.
const ASSUMED_REPORTS: f64 = 20.0;

/// More missing reports in a row than this mean that the sender was cut off or has restarted.
const MAX_GAP: u32 = 8;

/// A smaller share is taken for this one, so that a mistake multiplies no count by more.
const LEAST_SHARE: f64 = 0.5;

/// A sender that was silent for this long is forgotten.
const RETENTION: Span = Span::from_secs(60);

/// Compares the reports that arrive with those that were sent, which their numbers show.
#[derive(Clone, Debug)]
pub(super) struct ReportLoss {
    newest: HashMap<SocketAddr, (u32, Timestamp)>,
    sent: RecentCount,
    received: RecentCount,
}

impl ReportLoss {
    pub(super) fn new(now: Timestamp) -> Self {
        let mut assumed = RecentCount::new(now, MEMORY);
        assumed.add(now, ASSUMED_REPORTS);
        ReportLoss { newest: HashMap::new(), sent: assumed, received: assumed }
    }

    /// Records the arrival of a report. Each one had the probability `share` to be sent to this node.
    pub(super) fn record(&mut self, now: Timestamp, from: SocketAddr, number: u32, share: f64) {
        let newest = self.newest.insert(from, (number, now));
        let gap = newest.map_or(0, |(newest, _)| number.wrapping_sub(newest));
        if (1..=MAX_GAP).contains(&gap) {
            self.sent.add(now, f64::from(gap) * share);
            self.received.add(now, 1.0);
        }
    }

    /// Returns the share of the reports that arrive.
    pub(super) fn arriving(&self, now: Timestamp) -> f64 {
        (self.received.count(now) / self.sent.count(now)).clamp(LEAST_SHARE, 1.0)
    }

    /// Forgets senders that are gone.
    pub(super) fn tick(&mut self, now: Timestamp) {
        self.newest.retain(|_, (_, at)| now.since(*at) < RETENTION);
    }
}
