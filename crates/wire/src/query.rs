//! Queries and commands of operators, and their answers, as sent over JSON-RPC.
//!
//! The methods `query` and `command` take one positional parameter each: a [`QueryRequest`] or a
//! [`CommandRequest`]. A call that the node refuses as a whole is answered by a JSON-RPC error whose
//! code is the number of a `ResultCode`. The token travels in the header `Authorization`.

use crate::{burn::BurnReport, config::ConfigDoc};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// The name of the method that answers queries.
pub const QUERY_METHOD: &str = "query";

/// The name of the method that carries out commands.
pub const COMMAND_METHOD: &str = "command";

/// `QueryRequest` is the parameter of the method `query`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueryRequest {
    /// What is asked.
    pub query: Query,
    /// Whether the node answers for itself only, as it does when another node asks.
    #[serde(default)]
    pub local: bool,
}

/// `Query` is a question about the state of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "snake_case", deny_unknown_fields)]
pub enum Query {
    /// The ejected servers, of one service or of all.
    Ejected {
        /// The service, or `None` for all.
        service: Option<String>,
    },
    /// The state of one server and the evidence behind it.
    Why {
        /// The server.
        server: SocketAddr,
    },
    /// The services with capacity and floor.
    Services,
    /// The ranks of one service or of all.
    Ranks {
        /// The service, or `None` for all.
        service: Option<String>,
    },
    /// The nodes with state and version.
    Nodes,
    /// The configuration version in force at each node.
    Versions,
    /// What is being drained.
    Drains,
    /// The membership view.
    Members,
    /// Burn rates and error budgets.
    Burn,
    /// The leader of each service.
    Stewards,
    /// The configuration in force.
    Config,
}

/// `Coverage` says whose knowledge an answer rests on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coverage {
    /// The nodes that answered.
    pub answered: Vec<String>,
    /// The nodes that were asked and did not answer.
    pub missing: Vec<String>,
}

/// `Rows` is a list of rows with the coverage it rests on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rows<T> {
    /// Whose knowledge the rows rest on.
    pub coverage: Coverage,
    /// The rows.
    pub rows: Vec<T>,
}

/// `Row` lists the columns of a row type in the order in which they are shown.
pub trait Row: Serialize {
    /// The field names.
    const COLUMNS: &'static [&'static str];

    /// Returns whether `other` is about the same thing, so that one of the two is enough.
    fn is_same(&self, other: &Self) -> bool;

    /// Returns whether the row comes from the node that decides about the thing.
    fn is_authoritative(&self) -> bool {
        false
    }
}

impl<T: Row> Rows<T> {
    /// Adds the rows and the coverage of another answer.
    ///
    /// Of rows about the same thing the leader's is kept, else the first.
    pub fn merge(&mut self, other: Rows<T>) {
        for row in other.rows {
            match self.rows.iter_mut().find(|r| r.is_same(&row)) {
                Some(old) if row.is_authoritative() && !old.is_authoritative() => *old = row,
                Some(_) => {}
                None => self.rows.push(row),
            }
        }
        self.coverage.merge(other.coverage);
    }
}

impl Coverage {
    /// Adds the nodes of another answer; a node that answered once is not missing.
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
    ($(#[$doc:meta])* $name:ident by $($key:ident),+ $(; first $first:ident)? {
        $($(#[$field_doc:meta])* $field:ident: $type:ty,)+
    }) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
        pub struct $name {
            $($(#[$field_doc])* pub $field: $type,)+
        }

        impl Row for $name {
            const COLUMNS: &'static [&'static str] = &[$(stringify!($field)),+];

            fn is_same(&self, other: &Self) -> bool {
                $(self.$key == other.$key)&&+
            }
            $(
                fn is_authoritative(&self) -> bool {
                    self.$first
                }
            )?
        }
    };
}

row! {
    /// `EjectedRow` is one ejected server.
    EjectedRow by service, server; first steward {
        /// The node that says so.
        node: String,
        /// Whether that node is the leader of the service.
        steward: bool,
        /// The service.
        service: String,
        /// The server.
        server: SocketAddr,
        /// `ejected` or `probation`.
        state: String,
        /// How long ago the server was ejected, in milliseconds.
        age_ms: u64,
        /// The time until probation begins, in milliseconds.
        hold_ms: u64,
        /// The leader's term.
        term: u64,
        /// The evidence: the leader's counts and scores at the ejection.
        reason: String,
    }
}

row! {
    /// `WhyRow` is the evidence about one server in one service.
    WhyRow by service, server; first steward {
        /// The node that says so.
        node: String,
        /// Whether that node is the leader of the service.
        steward: bool,
        /// The service.
        service: String,
        /// The server.
        server: SocketAddr,
        /// `healthy`, `suspect`, `ejected`, `probation`, `slow_start`, `cold`, `draining` or `lost`.
        state: String,
        /// The bad outcomes since the detector's score was last zero.
        bad: u64,
        /// The outcomes since the detector's score was last zero.
        outcomes: u64,
        /// The detector's score.
        score: f64,
        /// The score at which the server is ejected.
        threshold: f64,
        /// The rate of bad outcomes of the service's other servers.
        usual_rate: f64,
        /// The slow answers since the detector's score was last zero.
        slow: u64,
        /// The detector's score for slow answers.
        slow_score: f64,
        /// The floor of the service, in slots.
        floor: u32,
        /// The slots of the servers that are up.
        up: u32,
        /// The slots that are ejected.
        outstanding: u32,
        /// The slots that may still be ejected.
        budget: u32,
        /// The reason for the state, or why a server above the threshold is not ejected.
        reason: String,
    }
}

row! {
    /// `ServiceRow` is the capacity of one service, in slots.
    ServiceRow by service; first steward {
        /// The node that says so.
        node: String,
        /// Whether that node is the leader of the service.
        steward: bool,
        /// The service.
        service: String,
        /// The declared servers.
        servers: u32,
        /// The declared slots.
        slots: u32,
        /// The healthy capacity.
        healthy: u32,
        /// The floor.
        floor: u32,
        /// The ejected servers.
        ejected: u32,
        /// The draining servers.
        draining: u32,
        /// The servers that started a short time ago.
        cold: u32,
    }
}

row! {
    /// `RankRow` is one rank of a service.
    RankRow by node, service, rank {
        /// The node that says so.
        node: String,
        /// The service.
        service: String,
        /// The rank.
        rank: String,
        /// The guaranteed share, in percent of the slots.
        share: u32,
        /// The latency target, in milliseconds.
        target_ms: u64,
        /// The objective, in thousandths.
        objective: u32,
        /// The requests that are queued.
        queued: u64,
        /// The requests in flight.
        in_flight: u64,
    }
}

row! {
    /// `NodeRow` is the state of one node.
    NodeRow by node {
        /// The node.
        node: String,
        /// Its start id, in hexadecimal digits.
        start: String,
        /// Its data centre.
        data_centre: String,
        /// `starting`, `serving` or `leaving`.
        state: String,
        /// The configuration version in force.
        version: u64,
        /// The requests in flight.
        in_flight: u64,
        /// The keys that its idempotency store holds.
        keys: u64,
        /// How long it has run, in milliseconds.
        uptime_ms: u64,
    }
}

row! {
    /// `VersionRow` is the configuration version in force at one node.
    VersionRow by node {
        /// The node.
        node: String,
        /// The version in force.
        version: u64,
        /// How long it has been in force, in milliseconds.
        age_ms: u64,
        /// The highest version that the node has heard of.
        heard: u64,
        /// How the node reads the log: `up`, `down`, or `gap` if records that it needs were dropped.
        #[serde(default)]
        log: String,
    }
}

row! {
    /// `DrainRow` is one server that is being drained.
    DrainRow by node, cause, server, service {
        /// The node that says so.
        node: String,
        /// What asked for the drain: `server`, `vm`, `data_centre`, `vm_list` or `header`.
        cause: String,
        /// The server.
        server: SocketAddr,
        /// The service.
        service: String,
        /// The requests that this node still has in flight there.
        in_flight: u64,
    }
}

row! {
    /// `MemberRow` is what one node knows of another.
    MemberRow by node, member {
        /// The node that says so.
        node: String,
        /// The other node.
        member: String,
        /// Its data centre.
        data_centre: String,
        /// `usable`, `suspect`, `lost`, `leaving` or `gone`.
        state: String,
        /// How long ago it was heard, in milliseconds.
        heard_ms: Option<u64>,
        /// Whether it says that it hears the node.
        hears_us: bool,
    }
}

row! {
    /// `LeaderRow` is the leader of one service.
    LeaderRow by service, region, steward, term {
        /// The node that says so.
        node: String,
        /// The service.
        service: String,
        /// The region.
        region: String,
        /// The leader.
        steward: String,
        /// Its term.
        term: u64,
        /// How long ago it was heard, in milliseconds.
        heard_ms: Option<u64>,
    }
}

row! {
    /// `ConfigRow` is the configuration in force at one node.
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
    /// `BurnNode` is the burn report of one node.
    BurnNode by node {
        /// The node.
        node: String,
        /// Its report.
        report: BurnReport,
    }
}

/// `Answer` is the result of the method `query`; each query has its own type of row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum Answer {
    /// Answers [`Query::Ejected`].
    Ejected(Rows<EjectedRow>),
    /// Answers [`Query::Why`].
    Why(Rows<WhyRow>),
    /// Answers [`Query::Services`].
    Services(Rows<ServiceRow>),
    /// Answers [`Query::Ranks`].
    Ranks(Rows<RankRow>),
    /// Answers [`Query::Nodes`].
    Nodes(Rows<NodeRow>),
    /// Answers [`Query::Versions`].
    Versions(Rows<VersionRow>),
    /// Answers [`Query::Drains`].
    Drains(Rows<DrainRow>),
    /// Answers [`Query::Members`].
    Members(Rows<MemberRow>),
    /// Answers [`Query::Burn`].
    Burn(Rows<BurnNode>),
    /// Answers [`Query::Stewards`].
    Stewards(Rows<LeaderRow>),
    /// Answers [`Query::Config`].
    Config(Rows<ConfigRow>),
}

macro_rules! each_answer {
    ($($name:ident),+) => {
        impl Answer {
            /// Returns the coverage of any answer.
            pub fn coverage(&mut self) -> &mut Coverage {
                match self {
                    $(Answer::$name(rows) => &mut rows.coverage,)+
                }
            }

            /// Adds the rows of another answer; returns whether it belongs to the same query.
            #[must_use]
            pub fn merge(&mut self, other: Answer) -> bool {
                match (self, other) {
                    $((Answer::$name(sum), Answer::$name(other)) => sum.merge(other),)+
                    _ => return false,
                }
                true
            }
        }
    };
}

each_answer!(
    Ejected, Why, Services, Ranks, Nodes, Versions, Drains, Members, Burn, Stewards, Config
);

/// `CommandRequest` is the parameter of the method `command`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandRequest {
    /// What is to change.
    pub command: Command,
    /// The version that the change is based on; any other version in force is a conflict.
    pub base: u64,
    /// The id of the request; a repeated id counts once.
    pub request_id: String,
    /// Whether only the checks are made and nothing is appended.
    pub dry_run: bool,
}

/// `Command` is a change of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case", deny_unknown_fields)]
pub enum Command {
    /// Sets the floor of a service.
    SetFloor {
        /// The service.
        service: String,
        /// The floor, in slots.
        floor: u32,
        /// The direction that the operator meant; a change the other way is invalid.
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
    /// Takes new work away from a place.
    Drain {
        /// The place.
        place: Place,
    },
    /// Ends the drain of a place.
    Undrain {
        /// The place.
        place: Place,
    },
    /// Publishes a whole configuration document.
    Publish {
        /// The document.
        doc: ConfigDoc,
    },
}

/// `Direction` is the way in which an operator means to change a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Direction {
    /// The new number must not be below the old one.
    Raise,
    /// The new number must not be above the old one.
    Lower,
    /// Both ways are meant.
    Either,
}

/// `Place` names what a drain covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// One backend server.
    Server(SocketAddr),
    /// All backend servers of a VM.
    Vm(IpAddr),
    /// All backend servers of a data centre.
    DataCentre(String),
}

/// `CommandAnswer` is the result of the method `command`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandAnswer {
    /// The node that answered.
    pub node: String,
    /// The number of the `ResultCode`.
    pub code: u16,
    /// The sentence that explains the code.
    pub message: String,
    /// The new version when the change was accepted, else the version in force if it is known.
    pub version: Option<u64>,
    /// Whether nothing was appended because the request asked for checks only.
    pub dry_run: bool,
    /// The change, line by line.
    pub change: Vec<ChangeLine>,
    /// The floor and capacity of each service that the change touches.
    pub floors: Vec<FloorRow>,
    /// Whose knowledge the capacity figures rest on.
    pub coverage: Coverage,
}

row! {
    /// `ChangeLine` is one value that a command changes.
    ChangeLine by path {
        /// The path of the value within the configuration.
        path: String,
        /// The old value, or `None` when it is new.
        before: Option<String>,
        /// The new value, or `None` when it is removed.
        after: Option<String>,
    }
}

row! {
    /// `FloorRow` is the floor and healthy capacity of one service around a change, in slots.
    FloorRow by service {
        /// The service.
        service: String,
        /// The floor before.
        floor_before: u32,
        /// The floor after.
        floor_after: u32,
        /// The healthy capacity before.
        capacity_before: u32,
        /// The healthy capacity after.
        capacity_after: u32,
    }
}
