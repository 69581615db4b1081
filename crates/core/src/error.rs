//! The error type of this crate.

use snafu::Snafu;

/// An error in a configuration or an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum Error {
    /// A configuration is invalid.
    #[snafu(display("configuration: {what}"))]
    Config {
        /// What is wrong.
        what: String,
    },
    /// An idempotency key is malformed.
    #[snafu(display("key: {what}"))]
    Key {
        /// What is wrong.
        what: String,
    },
}

impl Error {
    /// Returns an error about a configuration.
    pub fn config(what: impl Into<String>) -> Self {
        Error::Config { what: what.into() }
    }

    /// Returns an error about an idempotency key.
    pub fn key(what: impl Into<String>) -> Self {
        Error::Key { what: what.into() }
    }
}

/// The result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
