//! Tells operators why a server is ejected or not.

use super::{LeaderState, ServiceLeader};
use crate::{
    ids::{NodeId, ServerAddr},
    process::{detector::Scores, ejections::MAX_ANNOUNCED_SERVERS, readmission::Phase},
    time::Timestamp,
};
use std::fmt;
use strum::Display;

/// The reason why a server is ejected or not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The server failed a test and is ejected.
    Ejected,
    /// The server failed a test and is now in probation.
    InProbation,
    /// The scores of the server are below the threshold.
    BelowThreshold,
    /// The evidence comes from only one node or one workspace.
    NotCorroborated,
    /// A score has reached the threshold, but not yet for as long as an ejection requires.
    Confirming,
    /// The server is cold, draining, lost or not declared.
    NotUp,
    /// The leader still waits for acknowledgements of its term.
    Fenced,
    /// Ejecting the server would drop healthy capacity below the floor.
    NoBudget,
    /// The leader is superseded.
    Superseded,
    /// The announcement has no room for another server.
    TooMany,
}

/// A report for operators on why a server is ejected or not.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The server.
    pub server: ServerAddr,
    /// The reason.
    pub reason: Reason,
    /// The counts, scores and threshold of the tests. `None` if the server is not declared.
    pub scores: Option<Scores>,
    /// The phase of re-admission, if the server was ejected recently.
    pub phase: Option<Phase>,
    /// When the server was ejected, if it was recently. For an ejection that was taken over from another
    /// leader, this is the time of the takeover.
    pub ejected: Option<Timestamp>,
    /// The scores at the ejection. `None` if it was taken over from another leader.
    pub evidence: Option<Scores>,
    /// Whether some node may still eject the server although it is no longer announced.
    pub withdrawn: bool,
    /// The floor, in slots.
    pub floor: u32,
    /// The slots of all servers that are up.
    pub up: u32,
    /// The slots that are ejected, or may still be, at some node.
    pub outstanding: u32,
    /// The slots that may still be ejected without breaking the floor.
    pub budget: u32,
    /// The state of the leader.
    pub state: LeaderState,
    /// The recorded members whose acknowledgements the leader waits for.
    pub awaited: Vec<NodeId>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.server, self.reason)?;
        if let Some(phase) = self.phase {
            write!(f, ", {phase}")?;
        }
        if let Some(scores) = self.evidence.as_ref().or(self.scores.as_ref()) {
            write_scores(f, scores)?;
        }
        write!(
            f,
            "; up {} slots, outstanding {}, floor {}, budget {}; steward {}, waits for {} members",
            self.up,
            self.outstanding,
            self.floor,
            self.budget,
            self.state,
            self.awaited.len()
        )
    }
}

fn write_scores(f: &mut fmt::Formatter<'_>, s: &Scores) -> fmt::Result {
    write!(
        f,
        "; {} good, {} bad, {} slow; bad score {:.1} against {:.1}%, slow score {:.1} against \
         {:.1}%, threshold {:.1}",
        s.counts.good,
        s.counts.bad,
        s.counts.slow,
        s.bad,
        100.0 * s.bad_base,
        s.slow,
        100.0 * s.slow_base,
        s.threshold
    )
}

impl ServiceLeader {
    /// Explains why a server is ejected or not.
    pub fn explain(&self, now: Timestamp, server: ServerAddr) -> Explanation {
        let scores = self.detector.scores(now, server);
        let ejection = self.ejections.get(&server);
        let outstanding = self.outstanding().iter().map(|s| self.view.up_slots(*s)).sum();
        let up = self.view.total_up_slots();
        let floor = self.view.floor;
        Explanation {
            server,
            reason: self.reason(server, scores.as_ref()),
            scores,
            phase: ejection.map(|e| e.readmission.phase()),
            ejected: ejection.map(|e| e.readmission.ejected()),
            evidence: ejection.and_then(|e| e.evidence),
            withdrawn: self.withdrawn.contains_key(&server),
            floor,
            up,
            outstanding,
            budget: up.saturating_sub(outstanding).saturating_sub(floor),
            state: self.state,
            awaited: self.awaited(),
        }
    }

    fn reason(&self, server: ServerAddr, scores: Option<&Scores>) -> Reason {
        if matches!(self.state, LeaderState::Superseded(_)) {
            return Reason::Superseded;
        }
        match self.ejections.get(&server).map(|e| e.readmission.phase()) {
            Some(Phase::HoldOff(_)) => return Reason::Ejected,
            Some(Phase::Probation(_)) => return Reason::InProbation,
            _ => {}
        }
        if self.view.up_slots(server) == 0 {
            return Reason::NotUp;
        }
        let is_above = |s: &&Scores| s.bad.max(s.slow) >= s.threshold && s.threshold > 0.0;
        match scores.filter(is_above) {
            None => Reason::BelowThreshold,
            Some(s) if !s.corroborated => Reason::NotCorroborated,
            Some(_) if self.state == LeaderState::Fencing => Reason::Fenced,
            Some(_) if !self.fits_budget(server) => Reason::NoBudget,
            Some(_) if self.ejections.len() >= MAX_ANNOUNCED_SERVERS => Reason::TooMany,
            Some(_) => Reason::Confirming,
        }
    }
}
