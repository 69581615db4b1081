//! What a gateway needs of the platform's store.

use redwingtrestle_core::{
    process::registration::{Registration, ServerId},
    version::routing_config::RoutingConfigDoc,
};
use snafu::Snafu;
use std::{future::Future, time::Duration};
use strum::{Display, IntoStaticStr};

/// `Stream` names what is followed in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Stream {
    /// The operator's configuration.
    Configuration,
    /// The registrations of backend servers.
    Servers,
}

/// `Record` is one decoded record.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// A configuration.
    RoutingConfig(Box<RoutingConfigDoc>),
    /// A registration; none if it ended or names no usable server.
    Server(ServerId, Option<Box<Registration>>),
    /// A record that cannot be read, which the adapter has logged.
    Unreadable,
}

/// `Batch` is an answer of the store: records with their positions, and the position after the last one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The records in order.
    pub records: Vec<(u64, Record)>,
    /// The position from which to go on.
    pub end: u64,
}

/// `StoreError` says why a call to the store has no usable answer.
#[derive(Debug, Snafu)]
pub enum StoreError {
    /// The records at the position are gone.
    #[snafu(display("the records are gone, the first kept one is {first}"))]
    Expired {
        /// The first position that is kept.
        first: u64,
    },
    /// The store did nothing because it is away, busy or full.
    #[snafu(display("refused with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// No answer came. A write may still take effect.
    #[snafu(display("no answer: {what}"))]
    Unreachable {
        /// What the HTTP client said.
        what: String,
    },
    /// The answer cannot be read.
    #[snafu(display("unreadable answer: {what}"))]
    Unreadable {
        /// What is wrong with it.
        what: String,
    },
}

/// `Store` is the port to the platform's store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads the newest record of each key.
    fn newest(&self, stream: Stream) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// Waits up to `wait` for records from the position `from` on.
    fn watch(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, StoreError>> + Send;

    /// Reads what gateways have saved, by key.
    fn saved(&self) -> impl Future<Output = Result<Vec<(String, Vec<u8>)>, StoreError>> + Send;

    /// Saves a value for gateways that start later.
    fn save(&self, key: &str, value: &[u8]) -> impl Future<Output = Result<(), StoreError>> + Send;
}
