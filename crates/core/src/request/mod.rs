//! Types with the lifetime of a request, and the idempotency records of its key.

pub mod deadline;
pub mod handover;
pub mod idempotency_store;
pub mod key;
pub mod lifecycle;
pub mod retry;
