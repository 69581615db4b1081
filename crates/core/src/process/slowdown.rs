//! By how much a node stretches its message intervals because VMs of the fleet are small.

use crate::{
    process::cpu_share::CpuShare,
    time::{Span, Timestamp},
};

/// VMs with less than this share, in thousandths of a core, send and receive fewer messages.
const FULL_RATE_THOUSANDTHS: u32 = 200;

/// The slowdown of a fleet of VMs that are not small, in percent.
const MIN_PERCENT: u32 = 100;

/// The largest slowdown, in percent.
const MAX_PERCENT: u32 = 300;

/// The time in which the slowdown grows by one percent. It grows slowly, so that a receiver which misses the message that
/// announces a longer interval still hears the next one before it takes the sender for lost.
const GROWTH_STEP: Span = Span::from_millis(100);

/// The ratio of message intervals to those of a fleet of VMs that are not small, in percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Slowdown(u32);

impl Slowdown {
    /// The usual intervals.
    pub const NONE: Slowdown = Slowdown(MIN_PERCENT);

    /// Returns the slowdown of a node in a fleet with this median share. A small node saves its own processor, and a
    /// large one that of the small nodes that receive its messages.
    pub fn for_shares(own: CpuShare, typical: CpuShare) -> Self {
        let percent = FULL_RATE_THOUSANDTHS * 100 / own.min(typical).thousandths();
        Slowdown(percent.clamp(MIN_PERCENT, MAX_PERCENT))
    }

    /// Returns a slowdown that another node announced. One out of range is a fault of the sender and counts as none.
    pub fn from_percent(percent: u32) -> Self {
        let is_valid = (MIN_PERCENT..=MAX_PERCENT).contains(&percent);
        if is_valid {
            Slowdown(percent)
        } else {
            Slowdown::NONE
        }
    }

    /// Returns the slowdown in percent.
    pub fn percent(self) -> u32 {
        self.0
    }

    /// Returns the interval `usual` at this slowdown.
    pub fn stretch(self, usual: Span) -> Span {
        Span::from_micros(usual.as_micros().saturating_mul(self.0.into()) / 100)
    }

    /// Returns this part of `usual`, rounded up.
    pub fn reduce(self, usual: usize) -> usize {
        (usual * 100).div_ceil(self.0 as usize)
    }
}

impl Default for Slowdown {
    fn default() -> Self {
        Slowdown::NONE
    }
}

/// The slowdown in force, which follows its target: at once to shorter intervals, slowly to longer ones.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SlowdownRamp {
    current: Slowdown,
    target: Slowdown,
    stepped: Option<Timestamp>,
}

impl SlowdownRamp {
    /// Returns the slowdown in force.
    pub(super) fn current(&self) -> Slowdown {
        self.current
    }

    /// Returns the slowdown that is aimed at.
    pub(super) fn target(&self) -> Slowdown {
        self.target
    }

    /// Moves the slowdown towards `target`.
    pub(super) fn update(&mut self, now: Timestamp, target: Slowdown) {
        self.target = target;
        let stepped = *self.stepped.get_or_insert(now);
        let steps = now.since(stepped).as_micros() / GROWTH_STEP.as_micros();
        self.stepped = Some(stepped + GROWTH_STEP.times(steps));
        let grown = u64::from(self.current.0).saturating_add(steps);
        self.current = Slowdown(grown.min(target.0.into()) as u32);
    }
}
