//! One line of a node's log.

use jiff::Timestamp;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::{collections::BTreeSet, sync::Arc};

/// A line as a node writes it.
#[derive(Deserialize)]
struct LineDoc {
    timestamp: Timestamp,
    target: String,
    message: String,
    #[serde(default)]
    kvs: Map<String, Value>,
}

/// A line of a node's log, with the file that has it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LogLine {
    /// When the node wrote it.
    pub time: Timestamp,
    /// The path of the file.
    pub file: Arc<str>,
    /// What the line is about, see [docs/OPERATIONS.md](../../../../docs/OPERATIONS.md), section 9.
    pub target: String,
    /// The message.
    pub message: String,
    /// The inputs of the decision.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line of this file. Returns `None` if it is no line of a node.
    pub fn parse(file: &Arc<str>, text: &[u8]) -> Option<Self> {
        let LineDoc { timestamp, target, message, kvs } = serde_json::from_slice(text).ok()?;
        Some(LogLine { time: timestamp, file: file.clone(), target, message, fields: kvs })
    }

    /// Returns a field that is a text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns a field that is a whole number of 0 or more.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Returns the servers that the line names.
    pub fn servers(&self) -> BTreeSet<&str> {
        let tried = self.text("servers").into_iter().flat_map(|servers| servers.split(','));
        tried.chain(self.text("server")).filter(|server| !server.is_empty()).collect()
    }
}
