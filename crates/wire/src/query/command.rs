//! Commands, which change the configuration, and their responses.

use super::table::{row, Coverage};
use crate::config::ConfigDoc;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// The JSON-RPC method for commands.
pub const COMMAND_METHOD: &str = "command";

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
