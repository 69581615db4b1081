//! Versions of the configuration and the log that orders them.

pub mod config_state;
pub mod log_reader;
pub mod proposer;
pub mod routes;
pub mod routing_config;
pub mod spec;
