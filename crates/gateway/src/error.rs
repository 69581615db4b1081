//! Errors on starting a process or one of its parts.

use redwingtrestle_core::codes::ResultCode;
use snafu::Snafu;
use std::net::SocketAddr;

/// The reason why a process cannot start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Binding a listening address failed.
    #[snafu(display("{} {}: {part} {addr}: {source}", code.number(), code))]
    Listen {
        /// The numbered code.
        code: ResultCode,
        /// The part that needs the address.
        part: &'static str,
        /// The address.
        addr: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// A part failed to start for another reason.
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
    /// Creates the error of a part that cannot bind its address.
    pub fn listen(part: &'static str, addr: SocketAddr, source: std::io::Error) -> Self {
        Error::Listen { code: ResultCode::AddressInUse, part, addr, source }
    }

    /// Creates the error of a part that cannot start for another reason.
    pub fn start(part: &'static str, what: &dyn std::fmt::Display) -> Self {
        Error::Start { code: ResultCode::StartFailed, part, what: what.to_string() }
    }
}
