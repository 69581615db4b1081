//! Operators' queries and commands and their responses, as sent over JSON-RPC.
//!
//! The methods `query` and `command` each take one positional parameter, a [`QueryRequest`] or a
//! [`CommandRequest`]. If the node refuses the call as a whole, the response is a JSON-RPC error whose
//! code is the number of a `ResultCode`. The operator's token is sent in the `Authorization` header.

use crate::{burn::BurnReport, config::ConfigDoc};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// The JSON-RPC method for queries.
pub const QUERY_METHOD: &str = "query";

/// The JSON-RPC method for commands.
pub const COMMAND_METHOD: &str = "command";

/// The parameter of the method `query`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueryRequest {
    /// The query.
    pub query: Query,
    /// Whether the node returns only its own rows instead of collecting the responses of all nodes. Set in queries
    /// from another node.
    #[serde(default)]
    pub local: bool,
}

/// A query about the state of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case", deny_unknown_fields)]
pub enum Query {
    /// The ejected servers, of one service or of all.
    Ejected {
        /// The service, or `None` for all.
        service: Option<String>,
    },
    /// The state of one server and the evidence for it.
    Why {
        /// The server.
        server: SocketAddr,
    },
    /// The capacity and floor of each service.
    Services,
    /// The ranks of one service or of all.
    Ranks {
        /// The service, or `None` for all.
        service: Option<String>,
    },
    /// The state and configuration version of each node.
    Nodes,
    /// The configuration version in force at each node.
    Versions,
    /// The servers that are being drained.
    Drains,
    /// The membership as each node sees it.
    Members,
    /// Burn rates and error budgets.
    Burn,
    /// The leader of each service.
    Stewards,
    /// The configuration in force.
    Config,
}

/// The nodes whose responses a result contains and those whose responses are missing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// The nodes that responded.
    pub answered: Vec<String>,
    /// The nodes that were queried and did not respond.
    pub missing: Vec<String>,
}

/// A list of rows and the nodes that they come from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rows<T> {
    /// The nodes that responded and those that did not.
    pub coverage: Coverage,
    /// The rows.
    pub rows: Vec<T>,
}

/// A row of a response, shown as a line of a table.
pub trait Row: Serialize {
    /// The field names, in the order of the table's columns.
    const COLUMNS: &'static [&'static str];

    /// Returns whether both rows have the same key, so that only one of them is kept.
    fn has_same_key(&self, other: &Self) -> bool;

    /// Returns whether the row comes from the leader of the service that it describes.
    fn is_authoritative(&self) -> bool {
        false
    }
}

impl<T: Row> Rows<T> {
    /// Adds the rows and the coverage of another response.
    ///
    /// Of several rows with the same key, keeps the leader's if there is one, and the first otherwise.
    pub fn merge(&mut self, other: Rows<T>) {
        for row in other.rows {
            match self.rows.iter_mut().find(|r| r.has_same_key(&row)) {
                Some(old) if row.is_authoritative() && !old.is_authoritative() => *old = row,
                Some(_) => {}
                None => self.rows.push(row),
            }
        }
        self.coverage.merge(other.coverage);
    }
}

impl Coverage {
    /// Adds the nodes of another response. A node that responded at least once does not count as missing.
    pub fn merge(&mut self, other: Coverage) {
        self.answered.extend(other.answered);
        self.answered.sort();
        self.answered.dedup();
        self.missing.extend(other.missing);
        self.missing.sort();
        self.missing.dedup();
        self.missing.retain(|node| !self.answered.contains(node));
    }
}

macro_rules! row {
    ($(#[$doc:meta])* $name:ident by $($key:ident),+ $(; authoritative if $flag:ident)? {
        $($(#[$field_doc:meta])* $field:ident: $type:ty,)+
    }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)+
        }

        impl Row for $name {
            const COLUMNS: &'static [&'static str] = &[$(stringify!($field)),+];

            fn has_same_key(&self, other: &Self) -> bool {
                $(self.$key == other.$key)&&+
            }
            $(
                fn is_authoritative(&self) -> bool {
                    self.$flag
                }
            )?
        }
    };
}

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

/// The result of the method `query`. Each query has its own row type.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum QueryResponse {
    /// The response to [`Query::Ejected`].
    Ejected(Rows<EjectedRow>),
    /// The response to [`Query::Why`].
    Why(Rows<WhyRow>),
    /// The response to [`Query::Services`].
    Services(Rows<ServiceRow>),
    /// The response to [`Query::Ranks`].
    Ranks(Rows<RankRow>),
    /// The response to [`Query::Nodes`].
    Nodes(Rows<NodeRow>),
    /// The response to [`Query::Versions`].
    Versions(Rows<VersionRow>),
    /// The response to [`Query::Drains`].
    Drains(Rows<DrainRow>),
    /// The response to [`Query::Members`].
    Members(Rows<MemberRow>),
    /// The response to [`Query::Burn`].
    Burn(Rows<NodeBurnRow>),
    /// The response to [`Query::Stewards`].
    Stewards(Rows<LeaderRow>),
    /// The response to [`Query::Config`].
    Config(Rows<ConfigRow>),
}

macro_rules! each_response {
    ($($name:ident),+) => {
        impl QueryResponse {
            /// Returns the response's coverage.
            pub fn coverage(&mut self) -> &mut Coverage {
                match self {
                    $(QueryResponse::$name(rows) => &mut rows.coverage,)+
                }
            }

            /// Adds the rows of another response, or returns false if it belongs to a different query.
            #[must_use]
            pub fn merge(&mut self, other: QueryResponse) -> bool {
                match (self, other) {
                    $((QueryResponse::$name(rows), QueryResponse::$name(other)) => rows.merge(other),)+
                    _ => return false,
                }
                true
            }
        }
    };
}

each_response!(
    Ejected, Why, Services, Ranks, Nodes, Versions, Drains, Members, Burn, Stewards, Config
);

/// The parameter of the method `command`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandRequest {
    /// The change to make.
    pub command: Command,
    /// The version that the change is based on. If another version is in force, the result is a conflict.
    pub base: u64,
    /// The id of the request. Requests with the same id take effect only once.
    pub request_id: String,
    /// Whether to check the change without appending it to the log.
    pub dry_run: bool,
}

/// A change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Sets the floor of a service.
    SetFloor {
        /// The service.
        service: String,
        /// The floor, in slots.
        floor: u32,
        /// The direction that the operator intends. A change in the other direction is invalid.
        direction: Direction,
    },
    /// Sets the latency target of a rank.
    SetTarget {
        /// The service.
        service: String,
        /// The rank.
        rank: String,
        /// The target, in milliseconds.
        target_ms: u64,
    },
    /// Sets the guaranteed share of a rank.
    SetShare {
        /// The service.
        service: String,
        /// The rank.
        rank: String,
        /// The share, in percent of the slots.
        share: u32,
    },
    /// Sets the objective of a rank.
    SetObjective {
        /// The service.
        service: String,
        /// The rank.
        rank: String,
        /// The objective, in thousandths.
        objective: u32,
    },
    /// Drains a place, which then gets no new requests.
    Drain {
        /// The place.
        place: Place,
    },
    /// Ends the drain of a place.
    Undrain {
        /// The place.
        place: Place,
    },
    /// Publishes a complete configuration document.
    Publish {
        /// The document.
        doc: ConfigDoc,
    },
}

/// The direction in which an operator intends to change a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// The new number must not be below the old one.
    Raise,
    /// The new number must not be above the old one.
    Lower,
    /// The new number may be above or below the old one.
    Either,
}

/// The set of servers that a drain covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// A single backend server.
    Server(SocketAddr),
    /// All backend servers of a VM.
    Vm(IpAddr),
    /// All backend servers of a data centre.
    DataCentre(String),
}

/// The result of the method `command`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandResponse {
    /// The node that responded.
    pub node: String,
    /// The number of the `ResultCode`.
    pub code: u16,
    /// An explanation of the result for operators.
    pub message: String,
    /// The new version if the change was accepted, otherwise the version in force if it is known.
    pub version: Option<u64>,
    /// Whether the request was a dry run, which appends nothing to the log.
    pub dry_run: bool,
    /// The changed values, one per line.
    pub change: Vec<ChangeLine>,
    /// The floor and capacity of each service that the change affects.
    pub floors: Vec<FloorRow>,
    /// The nodes whose responses the capacity figures are based on.
    pub coverage: Coverage,
}

row! {
    /// A value that a command changes.
    ChangeLine by path {
        /// The path of the value within the configuration.
        path: String,
        /// The old value, or `None` if the value is added.
        before: Option<String>,
        /// The new value, or `None` if the value is removed.
        after: Option<String>,
    }
}

row! {
    /// The floor and healthy capacity of a service before and after a change, in slots.
    FloorRow by service {
        /// The service.
        service: String,
        /// The floor before the change.
        floor_before: u32,
        /// The floor after the change.
        floor_after: u32,
        /// The healthy capacity before the change.
        capacity_before: u32,
        /// The healthy capacity after the change.
        capacity_after: u32,
    }
}
