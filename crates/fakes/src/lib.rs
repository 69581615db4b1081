//! Stand-ins for the systems around a node, for tests, benches and the demo: backend servers, the
//! platform's log service and list of VMs, and a link that can be cut in one direction.
//!
//! They use hyper directly, because a stand-in must be able to close a connection at any point of an
//! response, see `docs/design.md`, section 13.

#![forbid(unsafe_code)]

pub mod backend;
pub mod http;
pub mod link;
pub mod log_service;
pub mod vm_list;
