//! The limits on requests per second that servers name in their responses.

use crate::time::Timestamp;
use strum::{Display, IntoStaticStr};

/// The lowest limit that is kept, in requests per second. A server that names less, also 0, still gets a request from
/// time to time, whose response shows when the limit ends.
const MIN_LIMIT: f64 = 0.1;

/// The highest limit that is kept, in requests per second.
const MAX_LIMIT: f64 = 1e6;

/// Parses a limit in requests per second. A value that is not a number of 0 or more is ignored.
pub fn parse_limit(value: &str) -> Option<f64> {
    let limit: f64 = value.trim().parse().ok()?;
    (limit.is_finite() && limit >= 0.0).then(|| limit.clamp(MIN_LIMIT, MAX_LIMIT))
}

/// What an observation changed in the known limit of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LimitChange {
    /// The server names a limit and named none before.
    Named,
    /// The server names another limit.
    Changed,
    /// The server names no limit any more.
    Ended,
}

/// The limit of one start of a server.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerLimit {
    per_second: Option<f64>,
    observed: Timestamp,
}

impl ServerLimit {
    /// Returns the limit in requests per second, if the server names one.
    pub(super) fn per_second(&self) -> Option<f64> {
        self.per_second
    }

    /// Records what a response that arrived at `at` says, and returns what that changed. An observation older than the
    /// newest one changes nothing.
    pub(super) fn observe(&mut self, at: Timestamp, named: Option<f64>) -> Option<LimitChange> {
        if at < self.observed {
            return None;
        }
        self.observed = at;
        let before = std::mem::replace(&mut self.per_second, named);
        match (before, named) {
            (None, Some(_)) => Some(LimitChange::Named),
            (Some(before), Some(named)) if before != named => Some(LimitChange::Changed),
            (Some(_), None) => Some(LimitChange::Ended),
            _ => None,
        }
    }
}
