//! The requests that servers have served, a bounded number of the newest.

use crate::process::fingerprint::Fingerprint;
use std::collections::{BTreeMap, HashMap};

/// The most served requests that are remembered.
const MAX_SERVED: usize = 4_096;

/// The requests that were served most recently.
#[derive(Clone, Debug, Default)]
pub(super) struct ServedRequests {
    numbers: HashMap<Fingerprint, u64>,
    /// The same requests by the number of their newest service.
    order: BTreeMap<u64, Fingerprint>,
    next_number: u64,
}

impl ServedRequests {
    /// Adds a request or makes it the newest, and forgets the oldest one if there are too many.
    pub(super) fn add(&mut self, fingerprint: Fingerprint) {
        self.remove(fingerprint);
        self.numbers.insert(fingerprint, self.next_number);
        self.order.insert(self.next_number, fingerprint);
        self.next_number += 1;
        if self.order.len() > MAX_SERVED {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.numbers.remove(&oldest);
            }
        }
    }

    /// Forgets a request, and returns whether it was known.
    pub(super) fn remove(&mut self, fingerprint: Fingerprint) -> bool {
        let Some(number) = self.numbers.remove(&fingerprint) else { return false };
        self.order.remove(&number);
        true
    }
}
