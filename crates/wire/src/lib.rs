//! Wire types of redwingtrestle's protocols.
//!
//! Each message has its own type in this crate, with `From` and `TryFrom` conversions to and from the types
//! of `redwingtrestle-core`. A change in the decision code therefore cannot change a format by accident.
//! `docs/design.md`, section 9, lists the messages.

#![forbid(unsafe_code)]

pub mod burn;
pub mod caller;
pub mod config;
pub mod diff;
pub mod error;
pub mod handover;
pub mod log;
pub mod peer;
pub mod query;
