//! Versions of the configuration and the log that orders them.

pub mod acceptance;
pub mod catalog;
pub mod log_reader;
pub mod proposer;
pub mod routes;
pub mod spec;
