//! The processor that a VM has.

use std::ops::RangeInclusive;

/// The shares that nodes believe, in thousandths of a core. Others are faults of the sender.
const VALID_THOUSANDTHS: RangeInclusive<u32> = 10..=1_024_000;

/// The processor of a VM, in thousandths of a core.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CpuShare(u32);

impl CpuShare {
    /// Returns a share that another node announced, or `None` if no VM can have it.
    pub fn from_thousandths(thousandths: u32) -> Option<Self> {
        VALID_THOUSANDTHS.contains(&thousandths).then_some(CpuShare(thousandths))
    }

    /// Returns the share of a VM with this many cores. A number out of range gives the nearest valid share.
    pub fn from_cores(cores: f64) -> Self {
        // The conversion saturates, and NaN gives 0.
        let thousandths = (cores * 1e3).round() as u32;
        CpuShare(thousandths.clamp(*VALID_THOUSANDTHS.start(), *VALID_THOUSANDTHS.end()))
    }

    /// Returns the share in thousandths of a core.
    pub fn thousandths(self) -> u32 {
        self.0
    }

    /// Returns the share as a multiple of `other`.
    pub fn ratio_to(self, other: CpuShare) -> f64 {
        f64::from(self.0) / f64::from(other.0)
    }
}

impl Default for CpuShare {
    fn default() -> Self {
        CpuShare(500)
    }
}

/// Returns the median share, the larger of the two in the middle, or `None` without any.
pub fn typical(shares: impl Iterator<Item = CpuShare>) -> Option<CpuShare> {
    let mut shares: Vec<CpuShare> = shares.collect();
    let middle = shares.len() / 2;
    (middle < shares.len()).then(|| *shares.select_nth_unstable(middle).1)
}
