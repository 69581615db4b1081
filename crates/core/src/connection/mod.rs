//! Limits on the connections to backend servers.

pub mod limits;
