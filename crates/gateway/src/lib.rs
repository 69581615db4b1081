//! The gateway of redwingtrestle: entries for callers of any dialect before backend servers that register themselves.
//!
//! A request walks through the modules in one direction: [`accept`], [`request`], [`job`], [`attempt`], [`pool`], and
//! back as a [`reply`]. What nodes share comes from the platform's store ([`follow`]), from other nodes ([`peers`],
//! [`exchange`]), and stands in one place ([`shared`]). The decisions are in `redwingtrestle-core`; see
//! `docs/platform.md`.

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
