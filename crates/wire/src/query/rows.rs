//! The rows of the responses to queries.

use super::table::row;
use crate::{burn::BurnReport, config::ConfigDoc};
use std::net::SocketAddr;

row! {
    /// An ejected server.
    EjectedRow by service, server; authoritative if steward {
        /// The reporting node.
        node: String,
        /// Whether that node is the leader of the service.
        steward: bool,
        /// The service.
        service: String,
        /// The server.
        server: SocketAddr,
        /// `ejected` or `probation`.
        state: String,
        /// Time since the ejection, in milliseconds.
        age_ms: u64,
        /// Time until probation begins, in milliseconds.
        hold_ms: u64,
        /// The leader's term.
        term: u64,
        /// The evidence: the leader's counts and scores at the time of the ejection.
        reason: String,
    }
}

row! {
    /// The state of a server in one service and the evidence for it.
    WhyRow by service, server; authoritative if steward {
        /// The reporting node.
        node: String,
        /// Whether that node is the leader of the service.
        steward: bool,
        /// The service.
        service: String,
        /// The server.
        server: SocketAddr,
        /// `healthy`, `suspect`, `ejected`, `probation`, `slow_start`, `cold`, `draining` or `lost`.
        state: String,
        /// Number of bad outcomes since the detector's score was last zero.
        bad: u64,
        /// Number of outcomes since the detector's score was last zero.
        outcomes: u64,
        /// The detector's score.
        score: f64,
        /// The score at which the server is ejected.
        threshold: f64,
        /// The rate of bad outcomes at the service's other servers.
        usual_rate: f64,
        /// Number of slow responses since the detector's score was last zero.
        slow: u64,
        /// The detector's score for slow responses.
        slow_score: f64,
        /// The floor of the service, in slots.
        floor: u32,
        /// Number of slots of the servers that are up.
        up: u32,
        /// Number of slots of ejected servers.
        outstanding: u32,
        /// Number of slots that may still be ejected.
        budget: u32,
        /// The reason for the state, or the reason why a server above the threshold is not ejected.
        reason: String,
    }
}

row! {
    /// The capacity of a service.
    ServiceRow by service; authoritative if steward {
        /// The reporting node.
        node: String,
        /// Whether that node is the leader of the service.
        steward: bool,
        /// The service.
        service: String,
        /// Number of declared servers.
        servers: u32,
        /// Number of declared slots.
        slots: u32,
        /// The healthy capacity, in slots.
        healthy: u32,
        /// The floor, in slots.
        floor: u32,
        /// Number of ejected servers.
        ejected: u32,
        /// Number of draining servers.
        draining: u32,
        /// Number of servers that are still within their cold-start time.
        cold: u32,
    }
}

row! {
    /// A rank of a service, as one node sees it.
    RankRow by node, service, rank {
        /// The reporting node.
        node: String,
        /// The service.
        service: String,
        /// The rank.
        rank: String,
        /// The guaranteed share of the slots, in percent.
        share: u32,
        /// The latency target, in milliseconds.
        target_ms: u64,
        /// The share of requests that must be good, in thousandths.
        objective: u32,
        /// Number of queued requests.
        queued: u64,
        /// Number of requests in flight.
        in_flight: u64,
    }
}

row! {
    /// The state of a node.
    NodeRow by node {
        /// The node.
        node: String,
        /// The node's start id, in hexadecimal digits.
        start: String,
        /// The node's data centre.
        data_centre: String,
        /// `starting`, `serving` or `leaving`.
        state: String,
        /// The configuration version in force.
        version: u64,
        /// Number of requests in flight.
        in_flight: u64,
        /// Number of keys in the node's idempotency store.
        keys: u64,
        /// Time since the node's start, in milliseconds.
        uptime_ms: u64,
    }
}

row! {
    /// The configuration version in force at a node.
    VersionRow by node {
        /// The node.
        node: String,
        /// The version in force.
        version: u64,
        /// Time since the version came into force, in milliseconds.
        age_ms: u64,
        /// The highest version that the node knows to exist.
        heard: u64,
        /// The node's access to the log: `up`, `down`, or `gap` if the log has dropped records that the node needs.
        #[serde(default)]
        log: String,
    }
}

row! {
    /// A server that is being drained.
    DrainRow by node, cause, server, service {
        /// The reporting node.
        node: String,
        /// The source of the drain: `server`, `vm`, `data_centre`, `vm_list` or `header`.
        cause: String,
        /// The server.
        server: SocketAddr,
        /// The service.
        service: String,
        /// Number of requests that the reporting node still has in flight at the server.
        in_flight: u64,
    }
}

row! {
    /// What one node knows about another.
    MemberRow by node, member {
        /// The reporting node.
        node: String,
        /// The other node.
        member: String,
        /// The other node's data centre.
        data_centre: String,
        /// `usable`, `suspect`, `lost` or `leaving`.
        state: String,
        /// Time since the other node's last heartbeat, in milliseconds.
        heard_ms: Option<u64>,
        /// Whether the other node reports that it receives the reporting node's heartbeats.
        hears_us: bool,
    }
}

row! {
    /// The leader of a service in a region.
    LeaderRow by service, region, steward, term {
        /// The reporting node.
        node: String,
        /// The service.
        service: String,
        /// The region.
        region: String,
        /// The leader.
        steward: String,
        /// The leader's term.
        term: u64,
        /// Time since the leader's last heartbeat, in milliseconds.
        heard_ms: Option<u64>,
    }
}

row! {
    /// The configuration in force at a node.
    ConfigRow by node {
        /// The node.
        node: String,
        /// The version.
        version: u64,
        /// The configuration document.
        doc: ConfigDoc,
    }
}

row! {
    /// The burn report of a node.
    NodeBurnRow by node {
        /// The node.
        node: String,
        /// The node's report.
        report: BurnReport,
    }
}
