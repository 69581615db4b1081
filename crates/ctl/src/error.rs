//! The error type of this crate and the exit codes of `redwingctl`.

use redwingtrestle_core::codes::ResultCode;
use snafu::Snafu;

/// An exit code of `redwingctl`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The query was answered or the command accepted.
    Ok = 0,
    /// A failure without an exit code of its own.
    Failure = 1,
    /// The command line, query or command is malformed.
    Usage = 2,
    /// The change was based on a version that is no longer in force.
    Conflict = 3,
    /// The change is invalid.
    Invalid = 4,
    /// It is not known whether the change was accepted.
    Unknown = 5,
    /// The change was refused because it would reduce healthy capacity below a floor.
    Refused = 6,
}

impl From<ResultCode> for Exit {
    fn from(code: ResultCode) -> Self {
        match code {
            ResultCode::Accepted => Exit::Ok,
            ResultCode::Conflict => Exit::Conflict,
            ResultCode::Invalid => Exit::Invalid,
            ResultCode::CommandUnknown => Exit::Unknown,
            ResultCode::FloorBreach => Exit::Refused,
            ResultCode::BadQuery => Exit::Usage,
            _ => Exit::Failure,
        }
    }
}

/// A failure of `redwingctl`.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The command line is invalid.
    #[snafu(display("usage: {what}"))]
    Usage {
        /// What is wrong.
        what: String,
    },
    /// A query or command cannot be parsed.
    #[snafu(display("{error}"))]
    Language {
        /// The syntax error.
        error: crate::language::ParseError,
    },
    /// A file cannot be read, written or parsed.
    #[snafu(display("file {path}: {what}"))]
    File {
        /// The path.
        path: String,
        /// What is wrong.
        what: String,
    },
    /// A configuration file is invalid. Nothing was sent.
    #[snafu(display("file {path}: the configuration is not valid:\n  {}", faults.join("\n  ")))]
    Invalid {
        /// The path.
        path: String,
        /// All faults, each with its path in the configuration.
        faults: Vec<String>,
    },
    /// No line of the logs names the request.
    #[snafu(display("trace: no line names {id}"))]
    NoLine {
        /// The id of the request.
        id: String,
    },
    /// No node responded.
    #[snafu(display("client: no node answered: {what}"))]
    NoResponse {
        /// What happened at each node.
        what: String,
    },
    /// A command was sent, but its response was lost.
    #[snafu(display("client: it is not known whether the command took effect: {what}"))]
    ResponseLost {
        /// What happened at each node.
        what: String,
    },
    /// A node refused the call as a whole.
    #[snafu(display("node {node}: {number}: {what}"))]
    Refused {
        /// The node.
        node: String,
        /// The number of the result code.
        number: i32,
        /// The node's message.
        what: String,
    },
    /// A load plan is invalid or cannot be started.
    #[snafu(display("load: {what}"))]
    Load {
        /// What is wrong.
        what: String,
    },
    /// A plot cannot be drawn.
    #[snafu(display("plot: {what}"))]
    Plot {
        /// What is wrong.
        what: String,
    },
}

impl Error {
    /// Returns an error about the command line.
    pub fn usage(what: impl Into<String>) -> Self {
        Error::Usage { what: what.into() }
    }

    /// Returns an error about a file.
    pub fn file(path: impl Into<String>, what: &impl ToString) -> Self {
        Error::File { path: path.into(), what: what.to_string() }
    }

    /// Returns an error about a load run.
    pub fn load(what: impl Into<String>) -> Self {
        Error::Load { what: what.into() }
    }

    /// Returns the exit code for the error.
    pub fn exit(&self) -> Exit {
        match self {
            Error::Usage { .. } | Error::Language { .. } => Exit::Usage,
            Error::Invalid { .. } => Exit::Invalid,
            Error::ResponseLost { .. } => Exit::Unknown,
            Error::Refused { number, .. } => u16::try_from(*number)
                .ok()
                .and_then(ResultCode::from_number)
                .map_or(Exit::Failure, Exit::from),
            _ => Exit::Failure,
        }
    }
}

/// The result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;
