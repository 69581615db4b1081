//! How a node uses the evidence against servers.

use crate::{
    process::{detector, readmission},
    time::Span,
};

/// How a node uses the evidence against servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// The leader decides on ejections. The node's own evidence only lowers weights.
    #[default]
    Full,
    /// The node ejects servers on its own evidence and keeps the floor in its own view. This is a baseline
    /// for benchmarks: all nodes together may eject more than the floor allows.
    Local,
    /// All servers are used equally.
    RoundRobin,
}

/// The parameters of a receiving node.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// How evidence is used.
    pub policy: Policy,
    /// The upper limit of an announcement's time to live. After a longer pause of its process, the node must
    /// read its member record again.
    pub ttl: Span,
    /// The tests on the node's own outcomes.
    pub detector: detector::Options,
    /// Re-admission under [`Policy::Local`].
    pub readmission: readmission::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            policy: Policy::Full,
            ttl: Span::from_secs(3),
            detector: detector::Options::default(),
            readmission: readmission::Options::default(),
        }
    }
}
