//! What a node knows about one peer.

use super::{age, member::Member, options::MembershipOptions};
use crate::{
    ids::{NodeId, Version},
    process::heartbeat::{Echo, GossipUpdate, Heartbeat, NodeAddresses, NodeState, TIME_UNIT},
    time::{Span, Timestamp},
    version::log_reader::PeerVersion,
};

/// A peer that is not lost, with what its link and the gossip say about it.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// What other modules see of the peer.
    pub(super) member: Member,
    /// The state that the peer reports about itself.
    pub(super) reported_state: NodeState,
    /// The highest configuration version that the peer reports.
    pub(super) version: Version,
    /// The highest term that the peer reports.
    pub(super) term: u64,
    /// The highest `sent` of the peer, learned directly or by gossip.
    pub(super) counter: u64,
    /// The time of the peer's last known sign of life, by this node's clock.
    pub(super) alive_at: Timestamp,
    /// When this node last learned something newer about the peer.
    pub(super) updated_at: Timestamp,
    /// Since when the peer is reported as silent by one of its watchers.
    pub(super) silent_since: Option<Timestamp>,
    /// When the peer's last heartbeat arrived here, and its `sent`.
    pub(super) direct: Option<(Timestamp, u64)>,
    /// The send time of this node's newest heartbeat that the peer has echoed.
    pub(super) echoed: Option<Timestamp>,
    /// Since when the peer is expected to send a heartbeat to this node at each interval.
    pub(super) expects_since: Option<Timestamp>,
    /// Since when this node sends a heartbeat to the peer at each interval.
    pub(super) sends_since: Option<Timestamp>,
    /// Whether the link to the peer is cut in one direction.
    pub(super) one_way: bool,
    /// The `alive_at` for which the gossip last asked about a peer with a one-way link.
    pub(super) asked_after: Option<Timestamp>,
}

impl Peer {
    /// Creates a peer of which nothing but a sign of life is known.
    pub(super) fn new(now: Timestamp, node: NodeId, counter: u64) -> Self {
        let state = NodeState::Starting;
        Peer {
            member: Member { node, addresses: None, state, suspect: false, rtt: None },
            reported_state: state,
            version: Version(0),
            term: 0,
            counter,
            alive_at: now,
            updated_at: now,
            silent_since: None,
            direct: None,
            echoed: None,
            expects_since: None,
            sends_since: None,
            one_way: false,
            asked_after: None,
        }
    }

    /// Returns whether a heartbeat of the peer arrived here within `suspect`.
    pub(super) fn is_heard(&self, now: Timestamp, options: &MembershipOptions) -> bool {
        self.direct.is_some_and(|(at, _)| now.since(at) < options.suspect)
    }

    /// Returns whether the peer still receives the heartbeats of this node.
    pub(super) fn is_reached(&self, now: Timestamp, options: &MembershipOptions) -> bool {
        self.echoed.is_some_and(|at| now.since(at) < options.echo_limit())
    }

    /// Returns whether the link to the peer is cut in a direction in which heartbeats are due at each interval.
    pub(super) fn is_cut(&self, now: Timestamp, options: &MembershipOptions) -> bool {
        let silent = |since: Option<Timestamp>, last: Option<Timestamp>, limit| {
            since.is_some_and(|s| now.since(last.map_or(s, |l| l.max(s))) >= limit)
        };
        let direct = self.direct.map(|d| d.0);
        silent(self.expects_since, direct, options.suspect)
            || (self.is_heard(now, options)
                && silent(self.sends_since, self.echoed, options.echo_limit()))
    }

    /// Returns whether heartbeats are due on the link at each interval, or it was cut when they last were.
    pub(super) fn is_link_tested(&self) -> bool {
        self.expects_since.is_some() || self.sends_since.is_some() || self.one_way
    }

    /// Returns whether a newer heartbeat of the peer arrived before this one, which then carries no new information.
    pub(super) fn is_overtaken(&self, heartbeat: &Heartbeat) -> bool {
        self.direct.is_some_and(|(_, sent)| sent >= heartbeat.sent)
    }

    /// Takes over what a heartbeat says about the peer.
    pub(super) fn apply_heartbeat(
        &mut self,
        now: Timestamp,
        heartbeat: &Heartbeat,
        max_held: Span,
    ) {
        self.direct = Some((now, heartbeat.sent));
        self.version = self.version.max(heartbeat.version);
        self.term = self.term.max(heartbeat.term);
        if let Some(echo) = heartbeat.echo {
            self.apply_echo(now, echo, max_held);
        }
        self.reported_state = heartbeat.state;
        self.member.state = heartbeat.state;
        if heartbeat.addresses.is_some() {
            self.member.addresses.clone_from(&heartbeat.addresses);
        }
    }

    fn apply_echo(&mut self, now: Timestamp, echo: Echo, max_held: Span) {
        let sent = Timestamp::from_micros(echo.sent.saturating_mul(TIME_UNIT.as_micros()));
        self.echoed = self.echoed.max(Some(sent));
        let held = Span::from_micros(echo.held.saturating_mul(TIME_UNIT.as_micros()));
        // If the peer held the echo for long, the difference of the clock rates distorts the sample.
        if held <= max_held {
            let sample = now.since(sent) - held;
            self.member.rtt = Some(self.member.rtt.map_or(sample, |rtt| smoothed(rtt, sample)));
        }
    }

    /// Takes over the state and addresses that gossip reports.
    pub(super) fn apply_report(&mut self, state: NodeState, addresses: &NodeAddresses) {
        self.reported_state = state;
        self.member.state = state;
        self.member.addresses = Some(addresses.clone());
    }

    /// Excludes a pause of this process from the peer's silence, as no heartbeat could be received in it.
    pub(super) fn skip_pause(&mut self, now: Timestamp, pause: Span) {
        let times =
            [Some(&mut self.alive_at), self.silent_since.as_mut(), self.expects_since.as_mut()];
        for at in times.into_iter().flatten() {
            *at = (*at + pause).min(now);
        }
        self.sends_since = self.sends_since.map(|_| now);
    }

    /// Counts the peer as silent if there was no newer information about it for `stale`.
    pub(super) fn mark_stale(&mut self, now: Timestamp, stale: Span) {
        if self.silent_since.is_none() && now.since(self.updated_at) >= stale {
            self.silent_since = Some(now);
            self.updated_at = now;
        }
    }

    /// Returns for how long the peer has been silent, as far as this node watches it or a watcher reported it.
    pub(super) fn silence(&self, now: Timestamp) -> Span {
        let watched = self.expects_since.map(|at| at.max(self.alive_at));
        let reported = self.silent_since.map(|at| at.max(self.alive_at));
        let since = match (watched, reported) {
            (Some(watched), Some(reported)) => watched.min(reported),
            (watched, reported) => watched.or(reported).unwrap_or(now),
        };
        now.since(since)
    }

    /// Returns whether the gossip has yet to ask for a sign of life of a peer with a one-way link.
    ///
    /// Asking only when the peer is suspect made it alternate between suspect and alive every 2 s, and with it the
    /// entries returned to callers.
    pub(super) fn is_question_due(&self, silence: Span, suspect: Span) -> bool {
        self.one_way && silence.times(3) >= suspect && self.asked_after != Some(self.alive_at)
    }

    /// Returns a report that the peer is silent since its last sign of life.
    pub(super) fn silence_report(&self, now: Timestamp) -> GossipUpdate {
        let age = age::units_since(now, self.alive_at);
        GossipUpdate::Silent { node: self.member.node, counter: self.counter, age }
    }

    /// Returns a report of the peer's last sign of life.
    pub(super) fn life_report(&self, now: Timestamp) -> GossipUpdate {
        let age = age::units_since(now, self.alive_at);
        GossipUpdate::Alive { node: self.member.node, counter: self.counter, age }
    }

    /// Returns the versions that the peer reports.
    pub(super) fn versions(&self) -> PeerVersion {
        PeerVersion { node: self.member.node, version: self.version, term: self.term }
    }
}

fn smoothed(rtt: Span, sample: Span) -> Span {
    Span::from_micros((rtt.as_micros() * 7 + sample.as_micros()) / 8)
}
