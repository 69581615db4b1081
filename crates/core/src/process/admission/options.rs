//! The limits of the admission queues.

use crate::time::Span;

/// The queue limits of one service on one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionOptions {
    /// The maximum number of queued requests per rank.
    pub rank_queue: usize,
    /// The maximum number of queued requests per workspace and rank.
    pub workspace_queue: usize,
    /// The service time assumed until the first request has finished.
    pub service_time: Span,
    /// The seed of the random choice of servers.
    pub seed: u64,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        AdmissionOptions {
            rank_queue: 4_096,
            workspace_queue: 256,
            service_time: Span::from_millis(20),
            seed: 0,
        }
    }
}
