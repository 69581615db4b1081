//! The count of collected bytes and its bound.

use redwingtrestle_core::cases;
use redwingtrestle_gateway::buffer_memory::{BufferMemory, CollectedBytes};
use std::sync::Arc;

const MIB: usize = 1024 * 1024;

fn limit(memory_mb: f64) -> usize {
    BufferMemory::for_vm(memory_mb).limit()
}

cases! {
    limit;
    /// Guards against collected bodies that take most of a small VM.
    eighth_of_a_small_vm: 160.0 => 20 * MIB,
    smallest_vm: 32.0 => 4 * MIB,
    /// Guards against another bound for the deployments with 384 MB and more.
    eighth_of_384: 384.0 => 48 * MIB,
    bound_of_large_vms: 512.0 => 48 * MIB,
    largest_vm: 1e6 => 48 * MIB,
}

/// Guards against bytes beyond the bound, and against a refusal that keeps memory.
#[test]
fn bytes_beyond_the_limit_are_refused() {
    let memory = Arc::new(BufferMemory::for_vm(32.0));
    let mut first = CollectedBytes::new(&memory);
    assert!(first.try_extend(&vec![1; 3 * MIB]));
    let mut second = CollectedBytes::new(&memory);
    assert!(second.try_extend(&vec![2; MIB]));
    assert!(!second.try_extend(&[2]) && !memory.has_room());
    assert_eq!((second.len(), memory.used()), (MIB, 4 * MIB));
    drop(first);
    assert!(second.try_extend(&[2]));
    assert_eq!((second.len(), memory.used()), (MIB + 1, 2 * MIB));
}

/// Guards against refusing bytes that fit because the buffer would grow beyond the bound.
#[test]
fn buffer_grows_by_what_it_needs_near_the_limit() {
    let memory = Arc::new(BufferMemory::for_vm(32.0));
    let mut collected = CollectedBytes::new(&memory);
    assert!(collected.try_extend(&vec![1; 3 * MIB]) && collected.try_extend(&vec![2; MIB]));
    assert_eq!(memory.used(), 4 * MIB);
    assert!(!collected.try_extend(&[3]));
}

/// Guards against counting the bytes that arrived in place of the memory that they take.
#[test]
fn capacity_is_counted_until_the_last_copy_is_dropped() {
    let memory = Arc::new(BufferMemory::for_vm(32.0));
    let mut collected = CollectedBytes::new(&memory);
    for _ in 0..5 {
        assert!(collected.try_extend(&[7; 1_000]));
    }
    assert_eq!(memory.used(), 8_000);
    collected.shrink();
    assert_eq!(memory.used(), 5_000);
    let bytes = collected.freeze();
    let copy = bytes.clone();
    drop(bytes);
    assert_eq!((copy.len(), memory.used()), (5_000, 5_000));
    drop(copy);
    assert_eq!(memory.used(), 0);
}
