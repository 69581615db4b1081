//! The memory for responses that are collected before any byte goes to the caller.
//!
//! One response takes little, but a faulty server can make all requests of a node collect at once. So the responses share
//! a bound; beyond it they are streamed from their first bytes on ([docs/platform.md](../../../docs/platform.md)).

use bytes::{Bytes, BytesMut};
use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc,
};

/// The most bytes that all collected responses take, about an eighth of the memory of a small VM.
const MAX_COLLECTED_BYTES: usize = 48 * 1024 * 1024;

/// Counts the bytes of all collected responses.
#[derive(Debug, Default)]
pub struct ResponseMemory {
    used: AtomicUsize,
}

impl ResponseMemory {
    /// Returns whether more bytes may be collected.
    pub fn has_room(&self) -> bool {
        self.used.load(Ordering::Relaxed) < MAX_COLLECTED_BYTES
    }
}

/// The collected bytes of one response, counted until the caller's connection has taken them.
#[derive(Debug)]
pub struct CollectedBytes {
    bytes: BytesMut,
    counted: usize,
    memory: Arc<ResponseMemory>,
}

impl CollectedBytes {
    /// Creates an empty collection.
    pub fn new(memory: &Arc<ResponseMemory>) -> Self {
        CollectedBytes { bytes: BytesMut::new(), counted: 0, memory: memory.clone() }
    }

    /// Adds bytes.
    pub fn extend(&mut self, data: &[u8]) {
        self.bytes.extend_from_slice(data);
        let grown = self.bytes.capacity().saturating_sub(self.counted);
        self.counted += grown;
        self.memory.used.fetch_add(grown, Ordering::Relaxed);
    }

    /// Returns the number of collected bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether nothing was collected.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Returns the bytes, which stay counted until the last copy is dropped.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for CollectedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CollectedBytes {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.counted, Ordering::Relaxed);
    }
}
