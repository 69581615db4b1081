//! The error type of this crate.

use crate::settings::SettingsFault;
use redwingtrestle_gateway::error::Error as PartError;
use snafu::Snafu;
use std::{io, net::SocketAddr};

/// The reason why a node could not start or could not continue.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings have faults.
    #[snafu(display("{}", join_faults(faults)))]
    Settings {
        /// All faults, in the order of the file.
        faults: Vec<SettingsFault>,
    },
    /// A part of the node could not start.
    #[snafu(transparent)]
    Part {
        /// The error with its part and result code.
        source: PartError,
    },
}

impl Error {
    /// Returns an error about the settings.
    pub fn settings(faults: Vec<SettingsFault>) -> Self {
        Error::Settings { faults }
    }

    /// Returns an error about a listening address.
    pub fn listen(part: &'static str, addr: SocketAddr, source: io::Error) -> Self {
        PartError::listen(part, addr, source).into()
    }

    /// Returns an error about a part that could not start.
    pub fn start(part: &'static str, what: impl Into<String>) -> Self {
        PartError::start(part, &what.into()).into()
    }
}

fn join_faults(faults: &[SettingsFault]) -> String {
    faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// The result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
