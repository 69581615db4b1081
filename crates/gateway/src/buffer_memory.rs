//! The memory for bodies of requests and responses that are collected before they are passed on.
//!
//! One body takes little, but slow callers or a faulty server can make all requests of a node collect bodies at once. So
//! the bodies of all requests share a bound, and those of all responses another
//! ([docs/design/memory.md](../../../docs/design/memory.md)).

use bytes::Bytes;
use std::sync::{
    atomic::{AtomicUsize, Ordering},
    Arc,
};

/// The bytes of a megabyte of a VM's memory.
const MIB: f64 = 1_048_576.0;

/// The most bytes that collected bodies of one kind take on a large VM.
const MAX_COLLECTED_BYTES: usize = 48 * 1024 * 1024;

/// The share of a VM's memory that collected bodies of one kind take at most.
const MEMORY_SHARE: f64 = 1.0 / 8.0;

/// Counts the bytes of collected bodies.
#[derive(Debug)]
pub struct BufferMemory {
    used: AtomicUsize,
    limit: usize,
}

impl BufferMemory {
    /// Returns the memory for collected bodies of one kind on a VM with so many megabytes.
    pub fn for_vm(memory_mb: f64) -> Self {
        let share = (memory_mb * MIB * MEMORY_SHARE) as usize;
        BufferMemory { used: AtomicUsize::default(), limit: share.min(MAX_COLLECTED_BYTES) }
    }

    /// Returns the most bytes that collected bodies may take.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the bytes that collected bodies take.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns whether more bytes may be collected.
    pub fn has_room(&self) -> bool {
        self.used() < self.limit
    }

    /// Returns whether so many more bytes may be collected.
    pub fn has_room_for(&self, count: usize) -> bool {
        self.used().saturating_add(count) <= self.limit
    }

    /// Counts so many more bytes, unless they exceed the limit.
    fn try_add(&self, count: usize) -> bool {
        let before = self.used.fetch_add(count, Ordering::Relaxed);
        let fits = before.saturating_add(count) <= self.limit;
        if !fits {
            self.used.fetch_sub(count, Ordering::Relaxed);
        }
        fits
    }
}

/// The collected bytes of one body. The memory that they take is counted until it is released.
#[derive(Debug)]
pub struct CollectedBytes {
    bytes: Vec<u8>,
    counted: usize,
    memory: Arc<BufferMemory>,
}

impl CollectedBytes {
    /// Creates an empty collection.
    pub fn new(memory: &Arc<BufferMemory>) -> Self {
        CollectedBytes { bytes: Vec::new(), counted: 0, memory: memory.clone() }
    }

    /// Adds bytes, also beyond the limit. The buffer grows by no more than these.
    pub fn extend(&mut self, data: &[u8]) {
        self.bytes.reserve_exact(data.len());
        self.bytes.extend_from_slice(data);
        self.count_capacity();
    }

    /// Adds bytes if the memory that they take is within the limit. Returns whether it is.
    pub fn try_extend(&mut self, data: &[u8]) -> bool {
        let length = self.bytes.len() + data.len();
        // Without room to grow as usual, the bytes may still fit.
        let doubled = length.max(2 * self.bytes.capacity());
        let fits = length <= self.bytes.capacity() || self.grow(doubled) || self.grow(length);
        if fits {
            self.extend(data);
        }
        fits
    }

    /// Grows the buffer to this capacity if that is within the limit. Returns whether it is.
    fn grow(&mut self, capacity: usize) -> bool {
        let fits = self.memory.try_add(capacity - self.counted);
        if fits {
            self.counted = capacity;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        fits
    }

    /// Releases the memory that the bytes do not need.
    pub fn shrink(&mut self) {
        self.bytes.shrink_to_fit();
        self.count_capacity();
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

    /// Counts the present capacity instead of the one that was counted before.
    fn count_capacity(&mut self) {
        let capacity = self.bytes.capacity();
        self.memory.used.fetch_add(capacity.saturating_sub(self.counted), Ordering::Relaxed);
        self.memory.used.fetch_sub(self.counted.saturating_sub(capacity), Ordering::Relaxed);
        self.counted = capacity;
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
