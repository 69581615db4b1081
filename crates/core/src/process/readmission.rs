//! Re-admission of ejected backend servers.
//!
//! An ejected server goes through hold-off, probation with single real requests, and slow start
//! (docs/design.md, section 4.2). Health probes never clear it, since a server with a gray failure responds to them.

use crate::{
    ids::RankIndex,
    process::evidence::EvidenceCounts,
    time::{Span, Timestamp},
};
use strum::Display;

/// The parameters of re-admission.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The hold-off after the first ejection.
    pub hold_off: Span,
    /// The upper limit of the hold-off.
    pub max_hold_off: Span,
    /// An ejection within this time of the last one doubles the hold-off.
    pub repeat_window: Span,
    /// The number of consecutive good outcomes that ends probation.
    pub required_good: u32,
    /// The duration of slow start.
    pub slow_start: Span,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            hold_off: Span::from_secs(5),
            max_hold_off: Span::from_secs(300),
            repeat_window: Span::from_secs(600),
            required_good: 20,
            slow_start: Span::from_secs(10),
        }
    }
}

/// A phase between ejection and full use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The server gets no requests until the given time.
    HoldOff(Timestamp),
    /// The server gets probation requests. The number counts its consecutive good outcomes.
    Probation(u32),
    /// The server is in use with a weight that rises since the given time.
    SlowStart(Timestamp),
    /// The server is in full use.
    Open,
}

/// The state of one server from its ejection to its full re-admission.
#[derive(Clone, Copy, Debug)]
pub struct Readmission {
    phase: Phase,
    ejected: Timestamp,
    hold_off: Span,
}

impl Readmission {
    /// Creates the state of a server that is ejected for the first time.
    pub fn new(now: Timestamp, options: &Options) -> Self {
        let hold_off = options.hold_off;
        Readmission { phase: Phase::HoldOff(now + hold_off), ejected: now, hold_off }
    }

    /// Ejects the server again. The hold-off doubles if the last ejection was recent.
    pub fn eject(&mut self, now: Timestamp, options: &Options) {
        self.hold_off = if now.since(self.ejected) <= options.repeat_window {
            self.hold_off.times(2).min(options.max_hold_off)
        } else {
            options.hold_off
        };
        self.ejected = now;
        self.phase = Phase::HoldOff(now + self.hold_off);
    }

    /// Returns the server to full use at once, because the floor requires its slots.
    pub fn restore(&mut self) {
        self.phase = Phase::Open;
    }

    /// Counts the outcomes of probation requests. One bad outcome ejects the server again.
    pub fn observe(&mut self, now: Timestamp, counts: &EvidenceCounts, options: &Options) {
        if let Phase::Probation(good) = self.phase {
            if counts.bad > 0 {
                self.eject(now, options);
            } else {
                self.phase = Phase::Probation(good.saturating_add(counts.good));
            }
        }
    }

    /// Advances the phase and returns it.
    pub fn tick(&mut self, now: Timestamp, options: &Options) -> Phase {
        self.phase = match self.phase {
            Phase::HoldOff(until) if now >= until => Phase::Probation(0),
            Phase::Probation(good) if good >= options.required_good => Phase::SlowStart(now),
            Phase::SlowStart(at) if now.since(at) >= options.slow_start => Phase::Open,
            phase => phase,
        };
        self.phase
    }

    /// Returns the phase as of the last update.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns when the server was last ejected.
    pub fn ejected(&self) -> Timestamp {
        self.ejected
    }

    /// Returns whether the server is ejected, which includes probation.
    pub fn is_ejected(&self) -> bool {
        matches!(self.phase, Phase::HoldOff(_) | Phase::Probation(_))
    }

    /// Returns whether the state may be dropped: the server is in full use, and another ejection would no
    /// longer double the hold-off.
    pub fn is_over(&self, now: Timestamp, options: &Options) -> bool {
        self.phase == Phase::Open && now.since(self.ejected) > options.repeat_window
    }

    /// Returns the weight in percent: from 5 to 100 during slow start, and 100 otherwise.
    pub fn percent(&self, now: Timestamp, options: &Options) -> u8 {
        match self.phase {
            Phase::SlowStart(at) => {
                let part = now.since(at).as_micros() * 100 / options.slow_start.as_micros().max(1);
                part.clamp(5, 100) as u8
            }
            _ => 100,
        }
    }
}

/// Limits the requests of one server in probation to one in flight.
///
/// The leader chooses one node for each server in probation, so this limit of one node applies to the whole
/// region.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbationSlot {
    busy: bool,
}

impl ProbationSlot {
    /// Returns whether the request may be sent to the server, and if so marks it as in flight.
    ///
    /// Only idempotent requests of the service's lowest rank qualify: they can be retried and are the least urgent.
    pub fn try_acquire(&mut self, rank: RankIndex, lowest: RankIndex, idempotent: bool) -> bool {
        let is_allowed = !self.busy && idempotent && rank == lowest;
        self.busy |= is_allowed;
        is_allowed
    }

    /// Ends the request in flight.
    pub fn release(&mut self) {
        self.busy = false;
    }
}
