//! Invariants that are checked at run time.

use std::sync::atomic::{AtomicU64, Ordering};
use strum::{Display, EnumCount, EnumIter, IntoStaticStr};

/// The invariants of the system, see `docs/PROOF.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumCount, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
#[repr(usize)]
pub enum Invariant {
    /// Ejections never drop a service's healthy capacity below its floor.
    Floor,
    /// A caller receives only the whole response to its own request.
    OwnAnswer,
    /// A request that was reported `not_run` was never dispatched.
    TrueRefusal,
    /// A non-idempotent request is dispatched at most once.
    AtMostOnce,
    /// A leaving backend server gets no new work after the leaving bound.
    Leaving,
    /// A planned stop interrupts no request in flight.
    PlannedStop,
    /// The version in force never decreases.
    VersionOrder,
    /// Admitted requests never exceed the slots that a node holds.
    Slots,
    /// A rank's guaranteed share is never used by another rank while its own requests wait.
    GuaranteedShare,
}

static VIOLATIONS: [AtomicU64; Invariant::COUNT] = [const { AtomicU64::new(0) }; Invariant::COUNT];

/// Counts a violation of `which` and returns the new count.
pub fn record_violation(which: Invariant) -> u64 {
    VIOLATIONS[which as usize].fetch_add(1, Ordering::Relaxed) + 1
}

/// Returns how often `which` was violated in this process.
pub fn violations(which: Invariant) -> u64 {
    VIOLATIONS[which as usize].load(Ordering::Relaxed)
}

/// Checks an invariant.
///
/// With debug assertions a violation panics, so that tests fail at the step that caused it. A release build counts the
/// violation and continues; the node exports and logs the counts.
#[macro_export]
macro_rules! invariant {
    ($which:expr, $holds:expr, $($message:tt)+) => {
        if !$holds {
            $crate::invariant::record_violation($which);
            if cfg!(debug_assertions) {
                panic!("invariant {}: {}", $which, format_args!($($message)+));
            }
        }
    };
}
