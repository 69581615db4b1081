//! The requests that servers have served, a bounded number of the newest.

use crate::{process::fingerprint::Fingerprint, time::Timestamp};
use std::collections::{BTreeMap, HashMap};

/// The most served requests that are remembered.
const MAX_SERVED: usize = 4_096;

/// The newest service of a request.
#[derive(Clone, Copy, Debug)]
struct Service {
    number: u64,
    at: Timestamp,
}

/// The requests that were served most recently.
#[derive(Clone, Debug, Default)]
pub(super) struct ServedRequests {
    services: HashMap<Fingerprint, Service>,
    /// The same requests by the number of their newest service.
    order: BTreeMap<u64, Fingerprint>,
    next_number: u64,
}

impl ServedRequests {
    /// Adds a request or makes it the newest, and forgets the oldest one if there are too many.
    pub(super) fn add(&mut self, now: Timestamp, fingerprint: Fingerprint) {
        self.remove(fingerprint);
        let service = Service { number: self.next_number, at: now };
        self.services.insert(fingerprint, service);
        self.order.insert(self.next_number, fingerprint);
        self.next_number += 1;
        if self.order.len() > MAX_SERVED {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.services.remove(&oldest);
            }
        }
    }

    /// Returns when a request was last served, if that is known.
    pub(super) fn newest(&self, fingerprint: Fingerprint) -> Option<Timestamp> {
        self.services.get(&fingerprint).map(|service| service.at)
    }

    /// Forgets a request.
    pub(super) fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some(service) = self.services.remove(&fingerprint) {
            self.order.remove(&service.number);
        }
    }
}
