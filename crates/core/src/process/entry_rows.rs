//! The rows of the directory's response: entries of larger VMs are repeated, because callers pick a row at random.
//!
//! No entry is left out of a response that has room for all, since callers stop using connections to an entry that a
//! newer response lacks ([docs/design/uneven-vms.md](../../../../docs/design/uneven-vms.md)).

use crate::process::cpu_share::CpuShare;
use rand::{seq::IteratorRandom, Rng};
use std::net::SocketAddr;

/// The most rows of one entry, so that the loss of one VM hits a small part of the callers.
const MAX_COPIES: usize = 16;

/// Entries whose processors are closer together than this ratio get the same number of rows.
const MIN_RATIO: f64 = 2.5;

/// The power of the ratio of processors that gives the copies. It is above 1 because a request also takes less time at
/// a VM with a larger processor, as long as that has room: equal utilization would still make callers of small VMs wait.
const PREFERENCE: f64 = 1.5;

/// Returns the rows of an entry beside the smallest one.
fn copies(share: CpuShare, smallest: CpuShare) -> usize {
    let ratio = share.ratio_to(smallest);
    if ratio < MIN_RATIO {
        return 1;
    }
    (ratio.powf(PREFERENCE) as usize).clamp(1, MAX_COPIES)
}

/// Returns the rows for these entries, at most `max`, in the order of their addresses.
///
/// If the entries fit but not all copies, each entry gets one row and the rest are drawn from the further copies. If the
/// entries do not fit, the rows are drawn from all copies.
pub(super) fn choose_rows(
    entries: &[(SocketAddr, CpuShare)],
    max: usize,
    rng: &mut impl Rng,
) -> Vec<SocketAddr> {
    let Some(smallest) = entries.iter().map(|(_, share)| *share).min() else { return Vec::new() };
    let copies_after = |first: usize| {
        entries.iter().flat_map(move |(entry, share)| {
            std::iter::repeat_n(*entry, copies(*share, smallest) - first)
        })
    };
    let mut rows = if entries.len() <= max {
        let mut rows: Vec<SocketAddr> = entries.iter().map(|(entry, _)| *entry).collect();
        rows.extend(copies_after(1).choose_multiple(rng, max - rows.len()));
        rows
    } else {
        copies_after(0).choose_multiple(rng, max)
    };
    rows.sort_unstable();
    rows
}
