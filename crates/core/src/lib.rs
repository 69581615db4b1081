//! The logic of redwingtrestle nodes as pure state machines.
//!
//! Nothing in this crate reads a clock, opens a socket or starts a thread: every state machine takes the current time
//! and an event and returns the actions to take. Tests can therefore drive several nodes through long random sequences
//! on virtual time. The modules are grouped by the lifetime of their state, see `docs/design.md`, section 2.

#![forbid(unsafe_code)]

pub mod cases;
pub mod codes;
pub mod connection;
pub mod error;
pub mod ids;
pub mod invariant;
pub mod process;
pub mod request;
pub mod time;
pub mod version;
