//! Errors of starting a process or one of its parts.

use redwingtrestle_core::codes::ResultCode;
use snafu::Snafu;
use std::net::SocketAddr;

/// `Error` says why a process cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address cannot be listened on.
    #[snafu(display("{} {}: {part} {addr}: {source}", code.number(), code))]
    Listen {
        /// The numbered code.
        code: ResultCode,
        /// The part that listens.
        part: &'static str,
        /// The address.
        addr: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A part cannot start for another reason.
    #[snafu(display("{} {}: {part}: {what}", code.number(), code))]
    Start {
        /// The numbered code.
        code: ResultCode,
        /// The part.
        part: &'static str,
        /// The reason.
        what: String,
    },
}

/// The result of starting something.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Makes the error of a part that cannot listen.
    pub fn listen(part: &'static str, addr: SocketAddr, source: std::io::Error) -> Self {
        Error::Listen { code: ResultCode::AddressInUse, part, addr, source }
    }

    /// Makes the error of a part that cannot start.
    pub fn start(part: &'static str, what: &dyn std::fmt::Display) -> Self {
        Error::Start { code: ResultCode::StartFailed, part, what: what.to_string() }
    }
}
