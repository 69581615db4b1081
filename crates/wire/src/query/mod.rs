//! Operators' queries and commands and their responses, as sent over JSON-RPC.
//!
//! The methods `query` and `command` each take one positional parameter, a [`QueryRequest`] or a
//! [`CommandRequest`]. If the node refuses the call as a whole, the response is a JSON-RPC error whose
//! code is the number of a `ResultCode`. The operator's token is sent in the `Authorization` header.
//!
//! * `table`: tables of rows from several nodes; `rows`: the rows of each query; `command`: changes.

mod command;
mod rows;
mod table;

pub use self::{
    command::{
        ChangeLine, Command, CommandRequest, CommandResponse, Direction, FloorRow, Place,
        COMMAND_METHOD,
    },
    rows::{
        ConfigRow, DrainRow, EjectedRow, LeaderRow, MemberRow, NodeBurnRow, NodeRow, RankRow,
        ServiceRow, VersionRow, WhyRow,
    },
    table::{Coverage, Row, Rows},
};

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The JSON-RPC method for queries.
pub const QUERY_METHOD: &str = "query";

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
