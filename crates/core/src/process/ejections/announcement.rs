//! Announcements of a service leader, and the answers of the nodes.

use crate::{
    ids::{ServerAddr, ServiceName},
    time::{Span, Timestamp},
};
use std::fmt;
use strum::Display;

/// The maximum number of servers in an announcement: 80 of at most 14 bytes each fit a datagram of 1,200 bytes.
pub const MAX_ANNOUNCED_SERVERS: usize = 80;

/// The term of a service leader: the log offset of the record that assigned it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Term(pub u64);

impl fmt::Display for Term {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A node's acknowledgement of announcements.
///
/// If the term is the leader's, the node applies no ejections of lower terms and refuses announcements of
/// them. The ejections that it applies come from the announcement `sequence`, or from none if that is 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ack {
    /// The term.
    pub term: Term,
    /// The highest announcement sequence accepted in that term, or 0.
    pub sequence: u64,
}

/// The state of a server in an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionStage {
    /// The server is ejected and gets no requests from the receiver.
    Ejected,
    /// The server is ejected, and the receiver sends it the requests of its probation.
    Probation,
    /// The server is in use with this weight, in percent of a full weight.
    SlowStart(u8),
}

/// One server of an [`Announcement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedServer {
    /// The server.
    pub server: ServerAddr,
    /// The state of the server.
    pub stage: EjectionStage,
}

impl AnnouncedServer {
    /// Returns whether the server is ejected. This includes probation.
    pub fn is_ejected(&self) -> bool {
        !matches!(self.stage, EjectionStage::SlowStart(_))
    }
}

/// The complete set of ejections of one service, addressed to one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The service.
    pub service: ServiceName,
    /// The leader's term.
    pub term: Term,
    /// The sequence number within the term, at least 1.
    pub sequence: u64,
    /// How long the announcement is in force, counted from `echo`.
    pub ttl: Span,
    /// The send time of the receiver's latest report, by the receiver's clock.
    pub echo: Timestamp,
    /// The ejected servers, the worst first, followed by those in slow start.
    pub servers: Vec<AnnouncedServer>,
}

impl Announcement {
    /// Returns the ejected servers, the worst first.
    pub fn ejected(&self) -> Vec<ServerAddr> {
        ejected(&self.servers).collect()
    }
}

/// Returns the ejected ones of announced servers.
pub(super) fn ejected(servers: &[AnnouncedServer]) -> impl Iterator<Item = ServerAddr> + '_ {
    servers.iter().filter(|s| s.is_ejected()).map(|s| s.server)
}

/// The reason why a node refuses an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Refusal {
    /// The announcement is for another service.
    OtherService,
    /// The node has not read its own member record since its start or its last pause.
    NotRecorded,
    /// The node knows a higher term.
    OldTerm,
    /// The node has already accepted this or a later announcement of the term.
    OldSequence,
    /// The echoed time is older than the time to live.
    Stale,
    /// The echoed time is in the future, so it does not come from this process.
    FutureEcho,
    /// The ejections would drop healthy capacity below the floor in the node's view.
    Floor,
}
