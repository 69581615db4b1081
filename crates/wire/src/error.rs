//! The error type of this crate.

use snafu::Snafu;

/// A message that cannot be encoded, decoded or converted.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A configuration document cannot be converted.
    #[snafu(display("configuration: {what}"))]
    Config {
        /// What is wrong.
        what: String,
    },
    /// A log record cannot be converted.
    #[snafu(display("log record: {what}"))]
    Record {
        /// What is wrong.
        what: String,
    },
    /// A datagram cannot be encoded or decoded.
    #[snafu(display("datagram: {what}"))]
    Datagram {
        /// What is wrong.
        what: String,
    },
    /// A part of a handed-over idempotency store cannot be encoded or decoded.
    #[snafu(display("handover: {what}"))]
    Handover {
        /// What is wrong.
        what: String,
    },
}

impl Error {
    /// Returns an error about a configuration document.
    pub fn config(what: impl Into<String>) -> Self {
        Error::Config { what: what.into() }
    }

    /// Returns an error about a log record.
    pub fn record(what: impl Into<String>) -> Self {
        Error::Record { what: what.into() }
    }

    /// Returns an error about a datagram.
    pub fn datagram(what: impl Into<String>) -> Self {
        Error::Datagram { what: what.into() }
    }

    /// Returns an error about a handed-over idempotency store.
    pub fn handover(what: impl Into<String>) -> Self {
        Error::Handover { what: what.into() }
    }
}

/// The result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
