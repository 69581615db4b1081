//! Datagrams between nodes: one byte of protocol version, followed by a message in postcard.
//!
//! Evidence and leases carry a configuration version and identify backend servers by their position in that
//! configuration. With addresses instead of positions, the evidence of 20 servers alone exceeded a node's total
//! budget of 3 KB/s for control traffic (docs/CAPACITY.md).

use crate::error::{Error, Result};
use redwingtrestle_core::{
    ids::{DataCentre, NodeId, ServerAddr, ServiceName, Version},
    process::{
        drain::{DrainNotice, DrainSource},
        ejections::{self, Ack, EjectionStage, Term},
        evidence::{EvidenceCounts, EvidenceReport},
        heartbeat::{self, Echo, NodeAddresses, NodeState},
        slot_leases,
    },
    time::{Span, Timestamp},
};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, sync::Arc};

/// Maximum size of a datagram, in bytes. Datagrams of this size pass every link without fragmentation.
pub const MAX_DATAGRAM: usize = 1200;

/// The protocol version. Datagrams of any other version are dropped.
const PROTOCOL: u8 = 1;

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A heartbeat.
    Heartbeat(Box<Heartbeat>),
    /// A node's evidence and slot demand, sent to a leader.
    Evidence(Evidence),
    /// A leader's ejections, sent to one node.
    Announcement(Announcement),
    /// A leader's slot lease, sent to one node.
    SlotLease(SlotLease),
}

impl Datagram {
    /// Encodes the datagram, or returns an error if it would exceed [`MAX_DATAGRAM`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        let bytes = postcard::to_extend(self, vec![PROTOCOL])
            .map_err(|e| Error::datagram(e.to_string()))?;
        if bytes.len() > MAX_DATAGRAM {
            return Err(Error::datagram(format!("{} bytes exceed {MAX_DATAGRAM}", bytes.len())));
        }
        Ok(bytes)
    }

    /// Decodes a datagram. Never panics, whatever the bytes are.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        match bytes.split_first() {
            Some((&PROTOCOL, rest)) if rest.len() < MAX_DATAGRAM => {
                postcard::from_bytes(rest).map_err(|e| Error::datagram(e.to_string()))
            }
            Some((&PROTOCOL, _)) => {
                Err(Error::datagram(format!("longer than {MAX_DATAGRAM} bytes")))
            }
            Some((other, _)) => {
                Err(Error::datagram(format!("unsupported protocol version {other}")))
            }
            None => Err(Error::datagram("empty")),
        }
    }
}

/// The wire form of `heartbeat::Heartbeat`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    node: NodeId,
    /// The number of the node's state, see `state_number`.
    state: u8,
    sent: u64,
    /// The fields `sent` and `held` of `heartbeat::Echo`.
    echo: Option<(u64, u64)>,
    version: u64,
    term: u64,
    addresses: Option<Addresses>,
    successor: Option<NodeId>,
    updates: Vec<GossipUpdate>,
    drains: Vec<Drain>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Addresses {
    entry: SocketAddr,
    data_centre: Arc<str>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum GossipUpdate {
    Member { node: NodeId, addresses: Addresses, state: u8, counter: u64 },
    Silent { node: NodeId, counter: u64, age: u8 },
    Alive { node: NodeId, counter: u64, age: u8 },
    Successor { node: NodeId, successor: NodeId },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Drain {
    server: SocketAddr,
    by_header: bool,
    counter: u32,
    leaving: bool,
}

/// The report of one node to one leader, on every service with that leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The reporting node.
    pub node: NodeId,
    /// Time of the report by the reporting node's clock, in microseconds.
    pub sent: u64,
    /// The configuration version that server positions refer to.
    pub version: u64,
    /// One report for each service.
    pub services: Vec<ServiceEvidence>,
}

/// The report about one service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEvidence {
    /// The service.
    pub service: Arc<str>,
    /// The highest leader term known to the node.
    pub highest_term: u64,
    /// Term and sequence number of the announcement in force at the node.
    pub ack: (u64, u64),
    /// Hashes of up to two workspaces that were active in the interval and had no bad outcome.
    pub active: Vec<u32>,
    /// Outcome counts per server.
    pub counts: Vec<ServerCounts>,
    /// Term and sequence number of the slot lease that the node accepted last.
    pub last_lease: (u64, u64),
    /// Number of requests queued or in flight, per rank.
    pub demand: Vec<u32>,
    /// Number of slots held, per server position.
    pub held: Vec<(u16, u32)>,
}

/// The outcome counts of one server, which is identified by its position.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerCounts {
    server: u16,
    good: u32,
    bad: u32,
    slow: u32,
    /// Hash and number of bad outcomes of each workspace with bad outcomes.
    workspaces: Vec<(u32, u32)>,
}

/// The wire form of `ejections::Announcement`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Announcement {
    service: Arc<str>,
    term: u64,
    sequence: u64,
    ttl_ms: u64,
    /// Send time of the recipient's latest report, in microseconds of the recipient's clock.
    echo: u64,
    servers: Vec<(SocketAddr, Stage)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum Stage {
    Ejected,
    Probation,
    SlowStart(u8),
}

/// The wire form of `slot_leases::SlotLease`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlotLease {
    /// The service.
    pub service: Arc<str>,
    /// The configuration version that server positions refer to.
    pub version: u64,
    term: u64,
    sequence: u64,
    /// Send time of the report that the lease responds to, in microseconds of the recipient's clock.
    echo: u64,
    /// Number of slots, per server position.
    slots: Vec<(u16, u32)>,
    shares: Vec<u32>,
}

/// Returns the position by which datagrams identify a server within its service.
fn position(servers: &[ServerAddr], server: ServerAddr) -> Option<u16> {
    servers.iter().position(|s| *s == server).and_then(|i| u16::try_from(i).ok())
}

fn server_at(servers: &[ServerAddr], position: u16) -> Option<ServerAddr> {
    servers.get(usize::from(position)).copied()
}

impl From<&heartbeat::Heartbeat> for Heartbeat {
    fn from(h: &heartbeat::Heartbeat) -> Self {
        Heartbeat {
            node: h.node,
            state: state_number(h.state),
            sent: h.sent,
            echo: h.echo.map(|e| (e.sent, e.held)),
            version: h.version.0,
            term: h.term,
            addresses: h.addresses.as_ref().map(Addresses::from),
            successor: h.successor,
            updates: h.updates.iter().map(GossipUpdate::from).collect(),
            drains: h.drains.iter().map(Drain::from).collect(),
        }
    }
}

impl TryFrom<Heartbeat> for heartbeat::Heartbeat {
    type Error = Error;

    fn try_from(h: Heartbeat) -> Result<Self> {
        if h.updates.len() > heartbeat::MAX_GOSSIP_UPDATES || h.drains.len() > heartbeat::MAX_DRAINS
        {
            return Err(Error::datagram("heartbeat with too many gossip updates or drains"));
        }
        Ok(heartbeat::Heartbeat {
            node: h.node,
            state: node_state(h.state)?,
            sent: h.sent,
            echo: h.echo.map(|(sent, held)| Echo { sent, held }),
            version: Version(h.version),
            term: h.term,
            addresses: h.addresses.map(NodeAddresses::from),
            successor: h.successor,
            updates: h
                .updates
                .into_iter()
                .map(heartbeat::GossipUpdate::try_from)
                .collect::<Result<_>>()?,
            drains: h.drains.into_iter().map(DrainNotice::from).collect(),
        })
    }
}

fn state_number(state: NodeState) -> u8 {
    match state {
        NodeState::Starting => 0,
        NodeState::Serving => 1,
        NodeState::Leaving => 2,
    }
}

fn node_state(number: u8) -> Result<NodeState> {
    match number {
        0 => Ok(NodeState::Starting),
        1 => Ok(NodeState::Serving),
        2 => Ok(NodeState::Leaving),
        _ => Err(Error::datagram(format!("unknown node state {number}"))),
    }
}

impl From<&NodeAddresses> for Addresses {
    fn from(a: &NodeAddresses) -> Self {
        Addresses { entry: a.entry, data_centre: a.data_centre.0.clone() }
    }
}

impl From<Addresses> for NodeAddresses {
    fn from(a: Addresses) -> Self {
        NodeAddresses { entry: a.entry, data_centre: DataCentre(a.data_centre) }
    }
}

impl From<&heartbeat::GossipUpdate> for GossipUpdate {
    fn from(update: &heartbeat::GossipUpdate) -> Self {
        use heartbeat::GossipUpdate as Core;
        match update {
            Core::Member { node, addresses, state, counter } => GossipUpdate::Member {
                node: *node,
                addresses: addresses.into(),
                state: state_number(*state),
                counter: *counter,
            },
            Core::Silent { node, counter, age } => {
                GossipUpdate::Silent { node: *node, counter: *counter, age: *age }
            }
            Core::Alive { node, counter, age } => {
                GossipUpdate::Alive { node: *node, counter: *counter, age: *age }
            }
            Core::Successor { node, successor } => {
                GossipUpdate::Successor { node: *node, successor: *successor }
            }
        }
    }
}

impl TryFrom<GossipUpdate> for heartbeat::GossipUpdate {
    type Error = Error;

    fn try_from(update: GossipUpdate) -> Result<Self> {
        use heartbeat::GossipUpdate as Core;
        Ok(match update {
            GossipUpdate::Member { node, addresses, state, counter } => Core::Member {
                node,
                addresses: addresses.into(),
                state: node_state(state)?,
                counter,
            },
            GossipUpdate::Silent { node, counter, age } => Core::Silent { node, counter, age },
            GossipUpdate::Alive { node, counter, age } => Core::Alive { node, counter, age },
            GossipUpdate::Successor { node, successor } => Core::Successor { node, successor },
        })
    }
}

impl From<&DrainNotice> for Drain {
    fn from(n: &DrainNotice) -> Self {
        let by_header = n.source == DrainSource::Header;
        Drain { server: n.server.0, by_header, counter: n.counter, leaving: n.leaving }
    }
}

impl From<Drain> for DrainNotice {
    fn from(d: Drain) -> Self {
        let source = if d.by_header { DrainSource::Header } else { DrainSource::VmList };
        let server = ServerAddr(d.server);
        DrainNotice { server, source, counter: d.counter, leaving: d.leaving }
    }
}

impl ServiceEvidence {
    /// Encodes the evidence of an interval and the slot demand.
    ///
    /// `servers` are the service's servers in configuration order. Servers that are not among them are left out.
    pub fn new(
        evidence: &EvidenceReport,
        demand: &slot_leases::DemandReport,
        servers: &[ServerAddr],
    ) -> Self {
        let listed = evidence.servers.iter().flat_map(|(_, c)| c.workspaces());
        let mut active: Vec<u32> = listed.filter(|w| w.bad == 0).map(|w| w.hash).collect();
        active.sort_unstable();
        active.dedup();
        active.truncate(2);
        let counts = |(server, c): &(ServerAddr, EvidenceCounts)| {
            let bad = c.workspaces().iter().filter(|w| w.bad > 0);
            Some(ServerCounts {
                server: position(servers, *server)?,
                good: c.good,
                bad: c.bad,
                slow: c.slow,
                workspaces: bad.map(|w| (w.hash, w.bad)).collect(),
            })
        };
        let held =
            |(server, slots): &(ServerAddr, u32)| Some((position(servers, *server)?, *slots));
        ServiceEvidence {
            service: evidence.service.0.clone(),
            highest_term: evidence.highest_term.0,
            ack: (evidence.ack.term.0, evidence.ack.sequence),
            active,
            counts: evidence.servers.iter().filter_map(counts).collect(),
            last_lease: demand.last_lease,
            demand: demand.demand.clone(),
            held: demand.held.iter().filter_map(held).collect(),
        }
    }

    /// Decodes the evidence of the interval.
    ///
    /// `servers` are the service's servers in configuration order, or `None` if the sender uses another
    /// configuration version. The acknowledgement is then still valid, and the counts are left out.
    pub fn to_evidence(
        &self,
        node: NodeId,
        sent: u64,
        servers: Option<&[ServerAddr]>,
    ) -> EvidenceReport {
        let decode = |c: &ServerCounts| {
            let mut counts = EvidenceCounts::new(c.good, c.bad, c.slow);
            for (hash, bad) in c.workspaces.iter().take(4) {
                counts.add_workspace(*hash, *bad);
            }
            Some((server_at(servers?, c.server)?, counts))
        };
        let mut counts: Vec<_> = self.counts.iter().filter_map(decode).collect();
        if let Some((_, first)) = counts.first_mut() {
            self.active.iter().take(2).for_each(|hash| first.add_workspace(*hash, 0));
        }
        EvidenceReport {
            node,
            service: ServiceName(self.service.clone()),
            sent: Timestamp::from_micros(sent),
            highest_term: Term(self.highest_term),
            ack: Ack { term: Term(self.ack.0), sequence: self.ack.1 },
            servers: counts,
        }
    }

    /// Decodes the slot demand; `servers` are the service's servers in configuration order.
    pub fn to_demand_report(
        &self,
        node: NodeId,
        sent: u64,
        servers: &[ServerAddr],
    ) -> slot_leases::DemandReport {
        let held = |(server, slots): &(u16, u32)| Some((server_at(servers, *server)?, *slots));
        slot_leases::DemandReport {
            node,
            sent: Timestamp::from_micros(sent),
            last_lease: self.last_lease,
            demand: self.demand.clone(),
            held: self.held.iter().filter_map(held).collect(),
        }
    }
}

impl From<&ejections::Announcement> for Announcement {
    fn from(a: &ejections::Announcement) -> Self {
        let encode_stage = |stage| match stage {
            EjectionStage::Ejected => Stage::Ejected,
            EjectionStage::Probation => Stage::Probation,
            EjectionStage::SlowStart(weight) => Stage::SlowStart(weight),
        };
        Announcement {
            service: a.service.0.clone(),
            term: a.term.0,
            sequence: a.sequence,
            ttl_ms: a.ttl.as_millis(),
            echo: a.echo.as_micros(),
            servers: a.servers.iter().map(|e| (e.server.0, encode_stage(e.stage))).collect(),
        }
    }
}

impl TryFrom<Announcement> for ejections::Announcement {
    type Error = Error;

    fn try_from(a: Announcement) -> Result<Self> {
        if a.servers.len() > ejections::MAX_ANNOUNCED_SERVERS {
            return Err(Error::datagram("announcement with too many servers"));
        }
        let announced_server = |(server, stage)| ejections::AnnouncedServer {
            server: ServerAddr(server),
            stage: match stage {
                Stage::Ejected => EjectionStage::Ejected,
                Stage::Probation => EjectionStage::Probation,
                Stage::SlowStart(weight) => EjectionStage::SlowStart(weight.min(100)),
            },
        };
        Ok(ejections::Announcement {
            service: ServiceName(a.service),
            term: Term(a.term),
            sequence: a.sequence,
            ttl: Span::from_millis(a.ttl_ms),
            echo: Timestamp::from_micros(a.echo),
            servers: a.servers.into_iter().map(announced_server).collect(),
        })
    }
}

impl SlotLease {
    /// Encodes a lease without the servers that get no slots.
    ///
    /// `servers` are the service's servers in configuration order.
    pub fn new(
        service: &ServiceName,
        version: Version,
        lease: &slot_leases::SlotLease,
        servers: &[ServerAddr],
    ) -> Self {
        let slots = |(server, slots): &(ServerAddr, u32)| {
            Some((position(servers, *server)?, *slots)).filter(|(_, slots)| *slots > 0)
        };
        SlotLease {
            service: service.0.clone(),
            version: version.0,
            term: lease.term,
            sequence: lease.sequence,
            echo: lease.echo.as_micros(),
            slots: lease.slots.iter().filter_map(slots).collect(),
            shares: lease.shares.clone(),
        }
    }

    /// Decodes the lease of `node`; `servers` are the service's servers in configuration order.
    pub fn to_lease(&self, node: NodeId, servers: &[ServerAddr]) -> slot_leases::SlotLease {
        let slots = |(server, slots): &(u16, u32)| Some((server_at(servers, *server)?, *slots));
        slot_leases::SlotLease {
            node,
            term: self.term,
            sequence: self.sequence,
            echo: Timestamp::from_micros(self.echo),
            slots: self.slots.iter().filter_map(slots).collect(),
            shares: self.shares.clone(),
        }
    }
}
