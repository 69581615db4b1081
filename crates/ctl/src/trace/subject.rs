//! The request that is traced, and which lines have to do with it.

use super::LogLine;
use jiff::{SignedDuration, Timestamp};
use serde::Serialize;
use std::{collections::BTreeSet, sync::Arc};
use strum::Display;

/// Lines about the request's servers and nodes are related from this long before the request's first line.
const BEFORE: SignedDuration = SignedDuration::from_secs(30);

/// Lines are related until this long after the request's last line, as the cause may be noticed later.
const AFTER: SignedDuration = SignedDuration::from_secs(5);

/// Other requests that failed at the same server are related if they ended within this time of the request.
const OTHER_REQUESTS: SignedDuration = SignedDuration::from_secs(2);

/// The lowest HTTP status of a request that was not served.
const FIRST_ERROR_STATUS: u64 = 400;

/// What a line has to do with the traced request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Relation {
    /// It is about the request itself.
    Request,
    /// It is about a request with the same fingerprint.
    SameRequest,
    /// It is about a server to which the request was sent.
    Server,
    /// It is about another request that was sent to such a server and was not served, at any node.
    OtherRequest,
    /// It says when the node got the version of the configuration that the request met.
    Configuration,
    /// It is about the process of the node.
    Process,
}

/// What the request's own lines say.
#[derive(Debug)]
pub(super) struct Subject {
    id: String,
    fingerprints: BTreeSet<String>,
    servers: BTreeSet<String>,
    versions: BTreeSet<u64>,
    files: BTreeSet<Arc<str>>,
    /// The first and the last time of a line about the request.
    period: Option<(Timestamp, Timestamp)>,
}

impl Subject {
    pub(super) fn new(id: &str) -> Self {
        Subject {
            id: id.into(),
            fingerprints: BTreeSet::new(),
            servers: BTreeSet::new(),
            versions: BTreeSet::new(),
            files: BTreeSet::new(),
            period: None,
        }
    }

    /// Learns from a line, if it is about the request.
    pub(super) fn add(&mut self, line: LogLine) {
        if !self.is_own(&line) {
            return;
        }
        self.fingerprints.extend(line.text("fingerprint").map(String::from));
        self.servers.extend(line.servers().into_iter().map(String::from));
        self.versions.extend(line.number("version"));
        let (first, last) = self.period.unwrap_or((line.time, line.time));
        self.period = Some((first.min(line.time), last.max(line.time)));
        self.files.insert(line.file);
    }

    /// Returns whether no line was about the request.
    pub(super) fn is_unknown(&self) -> bool {
        self.period.is_none()
    }

    /// Returns what a line has to do with the request, if anything.
    pub(super) fn relation(&self, line: &LogLine) -> Option<Relation> {
        if self.is_own(line) {
            return Some(Relation::Request);
        }
        if line.text("fingerprint").is_some_and(|f| self.fingerprints.contains(f)) {
            return Some(Relation::SameRequest);
        }
        let (first, last) = self.period?;
        let is_near = |before, after| line.time >= first - before && line.time <= last + after;
        let is_of_node = self.files.contains(&line.file);
        match line.target.as_str() {
            "requests" if is_near(OTHER_REQUESTS, OTHER_REQUESTS) => {
                let was_served = line.number("status").is_none_or(|s| s < FIRST_ERROR_STATUS);
                (!was_served && self.names_server(line)).then_some(Relation::OtherRequest)
            }
            "servers" | "links" if is_of_node && is_near(BEFORE, AFTER) => {
                self.names_server(line).then_some(Relation::Server)
            }
            "process" if is_of_node && is_near(BEFORE, AFTER) => Some(Relation::Process),
            "configuration" if is_of_node => {
                self.names_version(line).then_some(Relation::Configuration)
            }
            _ => None,
        }
    }

    /// Returns how far a time is from the request.
    pub(super) fn distance(&self, time: Timestamp) -> SignedDuration {
        let Some((first, last)) = self.period else { return SignedDuration::ZERO };
        let (before, after) = (first.duration_since(time), time.duration_since(last));
        before.max(after).max(SignedDuration::ZERO)
    }

    fn is_own(&self, line: &LogLine) -> bool {
        line.text("attempt") == Some(&self.id) || line.text("fingerprint") == Some(&self.id)
    }

    fn names_server(&self, line: &LogLine) -> bool {
        line.servers().iter().any(|server| self.servers.contains(*server))
    }

    fn names_version(&self, line: &LogLine) -> bool {
        line.number("version").is_some_and(|version| self.versions.contains(&version))
    }
}
