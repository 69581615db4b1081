//! What lives as long as one request.

pub mod deadline;
pub mod handover;
pub mod idempotency_store;
pub mod key;
pub mod lifecycle;
pub mod retry;
