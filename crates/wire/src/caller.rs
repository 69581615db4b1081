//! The HTTP headers and bodies that a node exchanges with callers and backend servers.

use redwingtrestle_core::codes::{Outcome, ResultCode};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Request header with the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Request header with the number of the attempt for a key, from 1.
pub const ATTEMPT: &str = "redwing-attempt";
/// Request header with the caller's workspace.
pub const WORKSPACE: &str = "redwing-workspace";
/// Request header with the time left until the deadline, in milliseconds.
pub const DEADLINE: &str = "redwing-deadline-ms";
/// Header with the id of the request, which also appears in logs and responses. Backend servers return it unchanged.
pub const REQUEST_ID: &str = "redwing-request-id";
/// Request header that marks a request as forwarded by another entry VM. The value is the reason.
pub const FORWARDED: &str = "redwing-forwarded";
/// Value of [`FORWARDED`] for a request that was forwarded to the key's home.
pub const FORWARDED_TO_HOME: &str = "1";
/// Value of [`FORWARDED`] for a request that was forwarded to a carrier of the service.
pub const FORWARDED_TO_CARRIER: &str = "carrier";
/// Response header with the outcome: whether the request ran.
pub const OUTCOME: &str = "redwing-outcome";
/// Response header with the number of the result code.
pub const RESULT_CODE: &str = "redwing-code";
/// Response header with a prefix for the caller's next keys.
pub const KEY_PREFIX: &str = "redwing-key-prefix";
/// Response header with which a backend server declares that it shed the request without running it.
pub const SHED: &str = "redwing-shed";
/// Response header with which a backend server declares that it is draining.
pub const DRAINING: &str = "redwing-draining";

/// The response to `GET /v1/entries`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesReply {
    /// The addresses that the caller may use, in order of preference.
    pub entries: Vec<SocketAddr>,
    /// Time for which the caller may cache this response, in milliseconds.
    pub ttl_ms: u64,
    /// The prefix that the caller puts before its keys, followed by a dot. Empty while this node accepts no new
    /// keys; callers then ask another entry.
    pub key_prefix: String,
}

/// The body of a response that the node itself generates, as opposed to a backend server's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// The number of the result code.
    pub code: u16,
    /// The name of the result code.
    pub name: String,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// A human-readable explanation.
    pub message: String,
    /// A prefix for the caller's next keys.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key_prefix: Option<String>,
    /// Time that the caller should wait before the next attempt, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl RefusalBody {
    /// Returns a body with `code`, without a key prefix or retry time.
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        RefusalBody {
            code: code.number(),
            name: code.to_string(),
            outcome: code.outcome(),
            message: message.into(),
            key_prefix: None,
            retry_after_ms: None,
        }
    }
}
