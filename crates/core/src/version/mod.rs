//! What lives as long as one accepted version of the configuration.

pub mod acceptance;
pub mod catalog;
pub mod log_reader;
pub mod proposer;
pub mod routes;
pub mod spec;
