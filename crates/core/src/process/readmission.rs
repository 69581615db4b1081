//! How an ejected backend server comes back into use.
//!
//! Hold-off, then a trickle of real requests, then slow start (docs/design.md, section 4.2). Probes
//! never clear a server: a gray failure answers probes.

use crate::{
    ids::RankIndex,
    process::evidence::Counts,
    time::{Span, Timestamp},
};
use strum::Display;

/// `Options` sets re-admission.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The first hold-off.
    pub hold_off: Span,
    /// The longest hold-off.
    pub longest: Span,
    /// Ejections closer together than this double the hold-off.
    pub memory: Span,
    /// Good outcomes in a row that end probation.
    pub good: u32,
    /// How long slow start takes.
    pub slow_start: Span,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            hold_off: Span::from_secs(5),
            longest: Span::from_secs(300),
            memory: Span::from_secs(600),
            good: 20,
            slow_start: Span::from_secs(10),
        }
    }
}

/// `Phase` is where a server stands between ejection and full use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Phase {
    /// The server gets nothing until the given time.
    HoldOff(Timestamp),
    /// The server gets a trickle; it has answered this many requests well in a row.
    Probation(u32),
    /// The server is in use with a weight that has risen since the given time.
    SlowStart(Timestamp),
    /// The server is in full use.
    Open,
}

/// `Readmission` is the course of one server.
#[derive(Clone, Copy, Debug)]
pub struct Readmission {
    phase: Phase,
    ejected: Timestamp,
    hold_off: Span,
}

impl Readmission {
    /// Returns the course of a server that is ejected for the first time.
    pub fn new(now: Timestamp, options: &Options) -> Self {
        let hold_off = options.hold_off;
        Readmission { phase: Phase::HoldOff(now + hold_off), ejected: now, hold_off }
    }

    /// Ejects the server again.
    pub fn eject(&mut self, now: Timestamp, options: &Options) {
        self.hold_off = if now.since(self.ejected) <= options.memory {
            self.hold_off.times(2).min(options.longest)
        } else {
            options.hold_off
        };
        self.ejected = now;
        self.phase = Phase::HoldOff(now + self.hold_off);
    }

    /// Opens the server for full use because the floor needs it.
    pub fn restore(&mut self) {
        self.phase = Phase::Open;
    }

    /// Counts outcomes of the trickle. One bad outcome ejects the server again.
    pub fn observe(&mut self, now: Timestamp, counts: &Counts, options: &Options) {
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
            Phase::Probation(good) if good >= options.good => Phase::SlowStart(now),
            Phase::SlowStart(at) if now.since(at) >= options.slow_start => Phase::Open,
            phase => phase,
        };
        self.phase
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns when the server was last ejected.
    pub fn ejected(&self) -> Timestamp {
        self.ejected
    }

    /// Returns whether the server is out of use, the trickle aside.
    pub fn is_out(&self) -> bool {
        matches!(self.phase, Phase::HoldOff(_) | Phase::Probation(_))
    }

    /// Returns whether a further ejection would no longer double the hold-off.
    pub fn is_over(&self, now: Timestamp, options: &Options) -> bool {
        self.phase == Phase::Open && now.since(self.ejected) > options.memory
    }

    /// Returns the weight in slow start in percent, from 5 to 100, or 100 outside of it.
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

/// `Trickle` decides which requests a server in probation may get.
///
/// The leader names one node for each server in probation, so one request in flight at that node is one in
/// the region.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trickle {
    busy: bool,
}

impl Trickle {
    /// Takes the place of the request if it may go to the server.
    ///
    /// Only an idempotent request of the service's lowest rank may, since it can be resent and matters least.
    pub fn take(&mut self, rank: RankIndex, lowest: RankIndex, idempotent: bool) -> bool {
        let may = !self.busy && idempotent && rank == lowest;
        self.busy |= may;
        may
    }

    /// Frees the place when the request has ended.
    pub fn release(&mut self) {
        self.busy = false;
    }
}
