//! Numbered result codes, listed in `docs/ERRORS.md`.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether a request ran at a backend server, as reported to its caller.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Display,
    EnumString,
    IntoStaticStr,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran and its response is known.
    Ran,
    /// The request did not run, and no copy of this attempt ever will.
    NotRun,
    /// The request may have run.
    Unknown,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $outcome:ident;)+) => {
        /// The code of a refusal or of an operator command's result.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumIter, EnumString, IntoStaticStr,
        )]
        #[strum(serialize_all = "snake_case")]
        pub enum ResultCode {
            $($(#[$doc])* $name,)+
        }

        impl ResultCode {
            /// Returns the code's number.
            pub fn number(self) -> u16 {
                match self {
                    $(ResultCode::$name => $number,)+
                }
            }

            /// Returns the HTTP status of a response with this code.
            pub fn status(self) -> u16 {
                match self {
                    $(ResultCode::$name => $status,)+
                }
            }

            /// Returns whether a request that ends with this code ran.
            pub fn outcome(self) -> Outcome {
                match self {
                    $(ResultCode::$name => Outcome::$outcome,)+
                }
            }

            /// Returns the code with this number, or `None` if no code has it.
            pub fn from_number(number: u16) -> Option<Self> {
                match number {
                    $($number => Some(ResultCode::$name),)+
                    _ => None,
                }
            }
        }
    };
}

codes! {
    /// No route matches the method and path.
    NoRoute = 1001, 404, NotRun;
    /// A request header is longer than the limit.
    HeaderTooLong = 1002, 431, NotRun;
    /// The request body is larger than the limit.
    BodyTooLarge = 1003, 413, NotRun;
    /// The idempotency key cannot be read.
    BadKey = 1004, 400, NotRun;
    /// A request header has a value that cannot be read.
    BadHeader = 1005, 400, NotRun;
    /// The idempotency key has no home prefix.
    PlainKey = 1006, 400, NotRun;
    /// The key's generation is closed and the key was never seen.
    KeyClosed = 1007, 409, NotRun;
    /// An earlier copy of this attempt was refused as not run.
    KeySealed = 1008, 409, NotRun;
    /// The key's home no longer has a record of the key.
    KeyForgotten = 1009, 409, Unknown;
    /// The idempotency store of the home is full.
    KeysFull = 1010, 503, NotRun;
    /// The key was used before for another request.
    KeyReused = 1011, 422, NotRun;
    /// The request cannot be read as HTTP.
    BadRequest = 1012, 400, NotRun;
    /// Too many copies of the key already wait for its result.
    KeyBusy = 1013, 409, Unknown;
    /// The caller's key is missing or belongs to no workspace.
    UnknownKey = 1014, 401, NotRun;
    /// The queue of the request's rank or workspace is full.
    QueueFull = 2001, 503, NotRun;
    /// The deadline cannot be met, or passed while the request was queued.
    DeadlineUnmet = 2002, 503, NotRun;
    /// No backend server of the service is usable.
    NoServer = 2003, 503, NotRun;
    /// The node is leaving and takes no new work.
    NodeLeaving = 2004, 503, NotRun;
    /// Every backend server that was tried shed the request.
    Shed = 2005, 503, NotRun;
    /// The node has no configuration yet.
    NotReady = 2006, 503, NotRun;
    /// No connection to a backend server could be opened.
    ConnectFailed = 2007, 503, NotRun;
    /// The node does not carry the service, and no node that does took the request.
    NoCarrier = 2008, 503, NotRun;
    /// Servers have ended one after the other while they ran this request, so it is not sent for a while.
    CrashesServers = 2009, 503, NotRun;
    /// The caller left before a server ran the request, so it is not sent again. Only logs and metrics have this code.
    CallerLeft = 2010, 503, NotRun;
    /// The workspace has used the requests that its quota allows.
    QuotaExceeded = 2011, 429, NotRun;
    /// The node already holds as many bytes of requests as its memory allows.
    MemoryFull = 2012, 503, NotRun;
    /// The connection was lost after the request was sent.
    ServerLost = 3001, 502, Unknown;
    /// The deadline passed after the request was sent.
    ServerTimeout = 3002, 504, Unknown;
    /// The backend server's response was truncated.
    AnswerBroken = 3003, 502, Unknown;
    /// The connection to the key's home was lost after the request was sent.
    HomeLost = 3004, 502, Unknown;
    /// The key's home cannot be reached and this was the first attempt.
    HomeUnreachable = 3005, 503, NotRun;
    /// The key's home cannot be reached and an earlier attempt may have run.
    HomeSilent = 3006, 503, Unknown;
    /// The response has no stated length and exceeds the node's buffer limit.
    AnswerTooLong = 3007, 502, Unknown;
    /// The request ran, but its response was too large to keep for callers that repeat the request.
    AnswerNotKept = 3008, 200, Ran;
    /// The request body ended before its stated length.
    BodyBroken = 3009, 400, Unknown;
    /// The connection to a node that carries the service was lost after the request was sent.
    CarrierLost = 3010, 502, Unknown;
    /// The configuration was accepted.
    Accepted = 4000, 200, Ran;
    /// The configuration was based on a version that is no longer in force.
    Conflict = 4001, 409, NotRun;
    /// The configuration is not valid.
    Invalid = 4002, 422, NotRun;
    /// It is unknown whether the configuration was accepted.
    CommandUnknown = 4003, 503, Unknown;
    /// The change would drop healthy capacity below a floor.
    FloorBreach = 4004, 409, NotRun;
    /// The operator's token is missing or wrong.
    Unauthorized = 4005, 401, NotRun;
    /// The query or command cannot be parsed.
    BadQuery = 4006, 400, NotRun;
    /// The settings file cannot be read.
    SettingsUnreadable = 5001, 500, NotRun;
    /// The settings file is not valid JSON with comments.
    SettingsSyntax = 5002, 500, NotRun;
    /// The settings file contains an unknown key.
    SettingsUnknownKey = 5003, 500, NotRun;
    /// A setting is missing.
    SettingsMissing = 5004, 500, NotRun;
    /// A setting has an invalid value.
    SettingsValue = 5005, 500, NotRun;
    /// A listening address is in use or unavailable.
    AddressInUse = 5006, 500, NotRun;
    /// A process failed to start for another reason.
    StartFailed = 5007, 500, NotRun;
}
