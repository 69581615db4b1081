//! The VM list, and since when VMs are absent from it.

use crate::time::{Span, Timestamp};
use std::{
    collections::{BTreeSet, HashMap},
    net::IpAddr,
};

/// How long a VM that is no longer listed is remembered.
const VM_RETENTION: Span = Span::from_secs(3600);

/// A line of the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VmEntry {
    /// The VM's IP address.
    pub ip: IpAddr,
    /// Whether the list marks the VM as leaving.
    pub leaving: bool,
}

/// The VMs listed so far.
#[derive(Clone, Debug, Default)]
pub(super) struct VmList {
    /// When each VM was last in the list.
    seen: HashMap<IpAddr, Timestamp>,
    /// When the first list arrived.
    first: Option<Timestamp>,
    /// When the last list arrived.
    last: Option<Timestamp>,
}

impl VmList {
    /// Processes a list and returns the VMs that it marks as leaving.
    pub(super) fn update(&mut self, now: Timestamp, entries: &[VmEntry]) -> BTreeSet<IpAddr> {
        self.first.get_or_insert(now);
        self.last = Some(now);
        self.seen.extend(entries.iter().map(|e| (e.ip, now)));
        self.seen.retain(|_, seen| now.since(*seen) < VM_RETENTION);
        entries.iter().filter(|e| e.leaving).map(|e| e.ip).collect()
    }

    /// Returns whether `ip` has been absent for `absent`.
    ///
    /// A list that is older than `max_age` proves nothing.
    pub(super) fn is_absent(
        &self,
        now: Timestamp,
        ip: IpAddr,
        absent: Span,
        max_age: Span,
    ) -> bool {
        let (Some(first), Some(last)) = (self.first, self.last) else { return false };
        let seen = self.seen.get(&ip).copied().unwrap_or(first);
        last.since(seen) >= absent && now.since(last) <= max_age
    }
}
