//! Test fixtures: a gateway in this process, an in-memory store, and backend servers that misbehave on demand.

#![allow(dead_code, unused_imports)]

mod backend;
mod behaviour;
mod caller;
pub(crate) mod crashing;
pub(crate) mod endless;
mod gateway;
mod http;
mod memory;
mod routing;
pub(crate) mod scripted;
mod store;

pub(crate) use self::{
    backend::Backend,
    behaviour::{Behaviour, LARGE_BODY},
    caller::{get, post, upload_head, Caller, Reply, SLOW_LINK_BUFFER},
    gateway::{own_loopback_ip, TestGateway},
    http::{header, read_head, read_request, ReceivedRequest},
    memory::resident_bytes,
    routing::routing_config,
    store::MemoryStore,
};

use std::time::Duration;

/// The timeout for conditions that should become true at once.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(5);
