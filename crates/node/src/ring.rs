//! Bounded queues between threads.

use crossbeam_queue::ArrayQueue;
use std::{
    sync::{Arc, Mutex, PoisonError},
    thread::{self, Thread},
    time::Duration,
};

/// A bounded queue from many threads to one reader, which is woken when an item arrives.
///
/// The sender chooses what happens when the ring is full, see `docs/design.md`, section 10. Each dropped item
/// is counted in `redwing_dropped_messages_total`.
#[derive(Debug)]
pub struct Ring<T> {
    name: &'static str,
    queue: ArrayQueue<T>,
    reader: Waker,
}

/// Wakes the thread that reads from a ring without adding an item.
#[derive(Clone, Debug, Default)]
pub struct Waker(Arc<Mutex<Option<Thread>>>);

impl Waker {
    /// Ends the thread's current wait, or its next one if it is not waiting.
    pub fn wake(&self) {
        if let Some(reader) = &*self.0.lock().unwrap_or_else(PoisonError::into_inner) {
            reader.unpark();
        }
    }
}

impl<T> Ring<T> {
    /// Creates a ring for up to `capacity` items; `name` labels its dropped items in the metrics.
    pub fn new(name: &'static str, capacity: usize) -> Self {
        Ring { name, queue: ArrayQueue::new(capacity), reader: Waker::default() }
    }

    /// Adds an item, or drops it if the ring is full.
    pub fn push_or_drop(&self, item: T) {
        if self.queue.push(item).is_err() {
            self.count_dropped();
        }
        self.reader.wake();
    }

    /// Adds an item, and drops the oldest one if the ring is full.
    pub fn push_over_oldest(&self, item: T) {
        if self.queue.force_push(item).is_some() {
            self.count_dropped();
        }
        self.reader.wake();
    }

    /// Adds an item, or returns it if the ring is full.
    pub fn try_push(&self, item: T) -> Result<(), T> {
        self.queue.push(item)?;
        self.reader.wake();
        Ok(())
    }

    /// Removes and returns the oldest item.
    pub fn pop(&self) -> Option<T> {
        self.queue.pop()
    }

    /// Waits until an item is available, the thread is woken, or `time` has passed.
    ///
    /// The calling thread becomes the reader, which senders and wakers wake.
    pub fn wait(&self, time: Duration) {
        {
            let mut reader = self.reader.0.lock().unwrap_or_else(PoisonError::into_inner);
            if reader.as_ref().is_none_or(|t| t.id() != thread::current().id()) {
                *reader = Some(thread::current());
            }
        }
        if self.queue.is_empty() {
            thread::park_timeout(time);
        }
    }

    /// Returns a handle that wakes the reader.
    pub fn waker(&self) -> Waker {
        self.reader.clone()
    }

    fn count_dropped(&self) {
        metrics::counter!("redwing_dropped_messages_total", "reason" => self.name).increment(1);
    }
}
