//! The gateway of redwingtrestle: accepts callers' requests under configurable header names, and forwards them to
//! backend servers that register themselves.
//!
//! A request passes through the modules [`accept`], [`request`], [`job`], [`attempt`] and [`pool`], and returns as a
//! [`reply`]. State of the fleet comes from the platform's store ([`follow`]) and from other nodes ([`peers`],
//! [`exchange`]), and is kept in [`shared`]. The algorithms are in `redwingtrestle-core`; see `docs/platform.md`.

#![forbid(unsafe_code)]

pub mod accept;
pub mod attempt;
pub mod calls;
pub mod clock;
pub mod dialect;
pub mod error;
pub mod exchange;
pub mod flight;
pub mod follow;
pub mod gateway;
pub mod job;
pub mod logs;
pub mod memory;
pub mod outgoing;
pub mod peers;
pub mod pool;
pub mod prefixed;
pub mod progress;
pub mod reply;
pub mod request;
pub mod settings;
pub mod shared;
pub mod stop;
pub mod store;
pub mod telemetry;
