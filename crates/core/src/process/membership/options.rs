//! The times and counts of the membership.

use crate::time::Span;

/// The times and counts of a [`Membership`](super::Membership).
#[derive(Clone, Copy, Debug)]
pub struct MembershipOptions {
    /// The interval between heartbeats.
    pub interval: Span,
    /// A peer is suspect after this long without a sign of life.
    pub suspect: Span,
    /// A peer is lost after this long without a sign of life.
    pub lost: Span,
    /// How long a VM must be absent from the VM list to count as gone.
    pub absent: Span,
    /// How long lost and replaced processes are remembered, so that late messages from them are ignored.
    pub keep: Span,
    /// How long successors are remembered: the lifetime of a key generation.
    pub successor_ttl: Span,
    /// A longer time between two ticks means that this process was paused.
    pub pause: Span,
    /// A peer counts as silent after this long without any newer information about it, in a large fleet.
    ///
    /// With 750 nodes, random heartbeats and gossip refresh each peer in less than 30 s on average. Only a node
    /// that missed the gossip about a loss, for instance because it was paused, reaches this limit.
    pub stale: Span,
    /// The number of nodes that watch each node in a large fleet.
    pub watchers: usize,
    /// The number of random peers that get a heartbeat at each interval in a large fleet.
    pub random: usize,
    /// The number of service leaders that get a heartbeat at each interval in a large fleet.
    pub leader_count: usize,
    /// How many times each gossip update is sent in a large fleet.
    pub copies: u32,
}

impl Default for MembershipOptions {
    fn default() -> Self {
        MembershipOptions {
            interval: Span::from_millis(250),
            suspect: Span::from_millis(1500),
            lost: Span::from_secs(3),
            absent: Span::from_secs(10),
            keep: Span::from_secs(60),
            successor_ttl: Span::from_secs(1200),
            pause: Span::from_secs(1),
            stale: Span::from_secs(400),
            watchers: 4,
            random: 4,
            leader_count: 4,
            copies: 32,
        }
    }
}

impl MembershipOptions {
    /// Returns the age at which an echo is too old. It exceeds `suspect` by the peer's heartbeat interval and
    /// the network delay.
    pub(super) fn echo_limit(&self) -> Span {
        self.suspect + self.interval.times(2)
    }
}
