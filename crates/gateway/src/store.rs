//! The interface of the platform's store, as gateways use it.

use redwingtrestle_core::{
    process::{
        registration::{Registration, ServerId},
        stream_position::StreamPosition,
    },
    version::routing_config::RoutingConfigDoc,
};
use snafu::Snafu;
use std::{future::Future, time::Duration};
use strum::{Display, IntoStaticStr};

/// A stream of records that gateways watch in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Stream {
    /// The operator's configuration.
    Configuration,
    /// The registrations of backend servers.
    Servers,
}

/// A decoded record of a stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A configuration that the operator published.
    RoutingConfig(Box<RoutingConfigDoc>),
    /// A server's registration, or `None` if it ended or is invalid.
    Server(ServerId, Option<Box<Registration>>),
    /// An invalid or irrelevant record. The adapter has logged invalid ones.
    Unreadable,
}

/// A response of the store: records with their positions, and the position for the next call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The records in the order of the response, with their positions.
    pub records: Vec<(StreamPosition, Record)>,
    /// The position from which to continue watching. Its era is that of the response.
    pub end: StreamPosition,
}

/// The values that gateways have saved.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Saved {
    /// The values with their keys.
    pub values: Vec<(String, Vec<u8>)>,
    /// The era of the response.
    pub era: u64,
}

/// The reason why a call to the store failed.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The records at the position were dropped from the store's history.
    #[snafu(display("the records were dropped, the first one kept is at position {first}"))]
    Expired {
        /// The first offset that can still be read.
        first: u64,
        /// The era of the response.
        era: u64,
    },
    /// The store was restored from a copy while its pages were read, so the pages do not belong together.
    #[snafu(display("the store was restored while it was read, its era is {era} now"))]
    Restored {
        /// The era of the newest page.
        era: u64,
    },
    /// The store refused the call and did nothing, because it is down, busy or full.
    #[snafu(display("the store refused the call with HTTP status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
        /// The era of the response.
        era: u64,
    },
    /// No response arrived. A write may still take effect.
    #[snafu(display("no response from the store: {what}"))]
    Unreachable {
        /// The error of the HTTP client.
        what: String,
    },
    /// The response cannot be decoded.
    #[snafu(display("the store's response cannot be decoded: {what}"))]
    Unreadable {
        /// The cause.
        what: String,
    },
}

impl StoreError {
    /// Returns the era of the response, or `None` if none arrived or it cannot be decoded.
    pub fn era(&self) -> Option<u64> {
        match self {
            StoreError::Expired { era, .. }
            | StoreError::Restored { era }
            | StoreError::Refused { era, .. } => Some(*era),
            StoreError::Unreachable { .. } | StoreError::Unreadable { .. } => None,
        }
    }
}

/// A client of the platform's store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a snapshot of a stream: the newest record of each key.
    fn read_newest(&self, stream: Stream)
        -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// Returns the records from the offset `from` on, and waits up to `wait` for one if there is none yet.
    fn watch(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// Reads all values that gateways have saved, by key.
    fn read_saved(&self) -> impl Future<Output = Result<Saved, StoreError>> + Send;

    /// Saves a value under a key for gateways that start later, and returns the era of the response.
    fn save(&self, key: &str, value: &[u8])
        -> impl Future<Output = Result<u64, StoreError>> + Send;
}
