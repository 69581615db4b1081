//! The gateway of redwingtrestle: accepts callers' requests under configurable header names, and forwards them to
//! backend servers that register themselves.
//!
//! A request passes through the modules [`accept`], [`request`], [`authentication`], [`forwarding`], [`server_send`]
//! and [`pool`], and returns as a [`reply`]. State of the fleet comes from the platform's store ([`store_watch`]) and
//! from other nodes ([`gossip`], [`peer_rpc`]), and is kept in [`shared`]. The algorithms are in `redwingtrestle-core`;
//! see `docs/platform.md`.

#![forbid(unsafe_code)]

pub mod accept;
pub mod authentication;
pub mod buffer_memory;
pub mod caller;
mod chunks;
pub mod clock;
pub mod connection_state;
mod datagram;
pub mod error;
pub mod forwarding;
mod framing;
pub mod gateway;
pub mod gossip;
pub mod header_names;
pub mod http_api;
pub mod in_flight;
mod inspected_socket;
mod linger;
pub mod logs;
pub mod outgoing;
pub mod peer_rpc;
mod pipeline;
pub mod pool;
pub mod prefixed_body;
pub mod quota_charge;
pub mod reply;
pub mod request;
pub mod saved_state;
mod server_notice;
pub mod server_send;
pub mod settings;
pub mod shared;
pub mod signals;
pub mod stop;
pub mod store;
pub mod store_watch;
pub mod telemetry;
