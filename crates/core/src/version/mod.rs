//! What lives as long as one accepted version of the configuration.

pub mod config_state;
pub mod log_reader;
pub mod proposer;
pub mod routes;
pub mod routing_config;
pub mod spec;
