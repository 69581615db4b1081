//! The parameters of a service leader.

use crate::{
    process::{detector, readmission},
    time::Span,
};

/// The parameters of a service leader.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The interval between announcements.
    pub period: Span,
    /// The interval between empty announcements, which only show that the leader is alive.
    pub idle_period: Span,
    /// How long an announcement is in force.
    pub ttl: Span,
    /// The time added to `ttl` before a withdrawn ejection counts as ended, because clock rates differ.
    pub margin: Span,
    /// How long one node remains in charge of the probation requests of a server without reporting an outcome.
    pub probation_turn: Span,
    /// The parameters of the tests.
    pub detector: detector::Options,
    /// The parameters of re-admission.
    pub readmission: readmission::Options,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            period: Span::from_millis(250),
            idle_period: Span::from_secs(1),
            ttl: Span::from_secs(3),
            margin: Span::from_millis(100),
            probation_turn: Span::from_secs(10),
            detector: detector::Options::default(),
            readmission: readmission::Options::default(),
        }
    }
}
