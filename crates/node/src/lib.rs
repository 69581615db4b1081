//! The process `redwingd`: one node of a redwingtrestle fleet.
//!
//! The decision logic is in `redwingtrestle-core`. This crate provides its clock, sockets and threads.
//! The threads and the connections between them are listed in `docs/design.md`, section 10.

#![forbid(unsafe_code)]

pub mod carriers;
pub mod clock;
pub mod control;
pub mod demo;
pub mod dispatch;
pub mod entry;
pub mod error;
pub mod gate;
pub mod handover;
pub mod homes;
pub mod log_client;
pub mod log_thread;
pub mod logging;
pub mod node;
pub mod operators;
pub mod peers;
pub mod ring;
pub mod rpc;
pub mod settings;
pub mod shared;
pub mod signals;
pub mod stop;
pub mod telemetry;
