//! The state machine with which every reader of the log reaches the same configuration.
//!
//! The log orders the records, and [`ConfigStateMachine::apply`] depends only on the records and their order, so the
//! readers need no further consensus protocol. See `docs/agreement.md` for the alternatives considered.

use crate::{
    ids::{DataCentre, NodeId, Region, ServiceName, Version},
    invariant,
    invariant::Invariant,
    process::rendezvous::rendezvous,
    version::spec::Spec,
};
use std::{collections::BTreeMap, fmt, sync::Arc};

/// The offset of the first record of a log.
///
/// Offset 0 is not used, because a base of 0 means that no configuration is in force.
pub const FIRST_OFFSET: u64 = 1;

/// Number of the newest proposals for which a repeated request id is recognised.
///
/// At 390 changes a day this covers about two and a half days, while a proposer gives up within seconds.
pub const PROPOSAL_WINDOW: u64 = 1024;

/// Identifies an operator's change in all copies of its record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A record of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// An operator proposes a configuration.
    ConfigProposed {
        /// Identical in all copies of one change.
        request_id: RequestId,
        /// The version that the change is based on, 0 for the first configuration.
        base: Version,
        /// The complete proposed configuration.
        spec: Arc<Spec>,
    },
    /// A node writes a snapshot of its state, so that the log's retention may drop older records.
    ConfigSnapshot {
        /// The state after all records below its `next_offset`.
        state: Arc<ConfigState>,
    },
    /// A node becomes the leader of a service in a region.
    LeaderAssigned {
        /// The service.
        service: ServiceName,
        /// The region.
        region: Region,
        /// The new leader.
        node: NodeId,
        /// The term that the assignment replaces, 0 for the first assignment.
        base_term: u64,
    },
    /// A node has started.
    MemberJoined {
        /// The node.
        node: NodeId,
        /// The data centre of its VM.
        data_centre: DataCentre,
    },
    /// A node has stopped serving.
    MemberLeft {
        /// The node.
        node: NodeId,
    },
    /// A record that cannot be decoded. Readers skip it.
    Unreadable,
}

/// The result of applying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The record took effect.
    Accepted,
    /// The base is not in force.
    Conflict {
        /// The version in force, or for the assignment of a leader the current term.
        in_force: Version,
    },
    /// The record repeats an earlier one, whose verdict applies.
    Duplicate,
    /// The content of the record is invalid.
    Invalid,
    /// The record changes nothing, or its offset is not the next one.
    Ignored,
}

/// The leader of a service in a region, with its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaderAssignment {
    /// The leader.
    pub node: NodeId,
    /// The offset of the record that assigned the leader.
    pub term: u64,
}

/// The verdict on the first copy of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProposalVerdict {
    /// The offset of the first copy.
    pub offset: u64,
    /// The number of distinct proposals before this one.
    pub ordinal: u64,
    /// The result of the first copy.
    pub verdict: Verdict,
}

/// The location of the best snapshot record read so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotMark {
    /// The offset of the record.
    pub offset: u64,
    /// The offset at which reading continues after restoring the snapshot.
    pub base: u64,
}

/// The state after a prefix of the log; equal prefixes give equal states.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigState {
    /// The version in force, 0 before the first.
    pub version: Version,
    /// The configuration in force.
    pub spec: Option<Arc<Spec>>,
    /// The last [`PROPOSAL_WINDOW`] proposals.
    pub proposal_verdicts: BTreeMap<RequestId, ProposalVerdict>,
    /// The number of distinct proposals in the prefix.
    pub proposals: u64,
    /// The leaders of services in regions.
    pub leaders: BTreeMap<(ServiceName, Region), LeaderAssignment>,
    /// The members of the fleet, with the data centres of their VMs.
    pub members: BTreeMap<NodeId, DataCentre>,
    /// The best snapshot in the prefix: the one with the highest base.
    pub snapshot: Option<SnapshotMark>,
    /// The offset of the next record to apply.
    pub next_offset: u64,
}

/// Applies the records of the log in order.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigStateMachine {
    state: ConfigState,
}

impl Default for ConfigStateMachine {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigStateMachine {
    /// Returns the state before the first record.
    pub fn new() -> Self {
        Self::restore(ConfigState {
            version: Version(0),
            spec: None,
            proposal_verdicts: BTreeMap::new(),
            proposals: 0,
            leaders: BTreeMap::new(),
            members: BTreeMap::new(),
            snapshot: None,
            next_offset: FIRST_OFFSET,
        })
    }

    /// Returns a state machine that continues from `state`.
    pub fn restore(state: ConfigState) -> Self {
        ConfigStateMachine { state }
    }

    /// Returns the state after the applied records.
    pub fn state(&self) -> &ConfigState {
        &self.state
    }

    /// Returns a copy of the state for a snapshot record or a peer.
    pub fn snapshot(&self) -> Arc<ConfigState> {
        Arc::new(self.state.clone())
    }

    /// Returns the version in force, 0 before the first.
    pub fn version(&self) -> Version {
        self.state.version
    }

    /// Returns the configuration in force.
    pub fn spec(&self) -> Option<&Arc<Spec>> {
        self.state.spec.as_ref()
    }

    /// Returns the offset of the record to read next.
    pub fn next_offset(&self) -> u64 {
        self.state.next_offset
    }

    /// Returns the leader of a service in a region.
    pub fn leader(&self, service: &ServiceName, region: &Region) -> Option<LeaderAssignment> {
        self.state.leaders.get(&(service.clone(), region.clone())).copied()
    }

    /// Returns the highest assigned term, 0 without any.
    pub fn highest_term(&self) -> u64 {
        self.state.leaders.values().map(|a| a.term).max().unwrap_or(0)
    }

    /// Returns the members of the fleet, with the data centres of their VMs.
    pub fn members(&self) -> &BTreeMap<NodeId, DataCentre> {
        &self.state.members
    }

    /// Returns the verdict on the first copy of a request, or `None` if it was not read or has left the window.
    pub fn verdict_of(&self, request_id: RequestId) -> Option<ProposalVerdict> {
        self.state.proposal_verdicts.get(&request_id).copied()
    }

    /// Applies the record at `offset`.
    ///
    /// Only the record at the next offset has an effect and any other is ignored, so a page that is read twice or
    /// leaves a gap cannot corrupt the state.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Verdict {
        if offset != self.state.next_offset {
            return Verdict::Ignored;
        }
        self.state.next_offset = offset + 1;
        match record {
            Record::ConfigProposed { request_id, base, spec } => {
                self.propose(offset, *request_id, *base, spec)
            }
            Record::ConfigSnapshot { state } => self.record_snapshot(offset, state),
            Record::LeaderAssigned { service, region, node, base_term } => {
                let key = (service.clone(), region.clone());
                let term = self.state.leaders.get(&key).map_or(0, |a| a.term);
                if *base_term != term {
                    return Verdict::Conflict { in_force: Version(term) };
                }
                self.state.leaders.insert(key, LeaderAssignment { node: *node, term: offset });
                Verdict::Accepted
            }
            Record::MemberJoined { node, data_centre } => {
                match self.state.members.insert(*node, data_centre.clone()) {
                    None => Verdict::Accepted,
                    Some(_) => Verdict::Duplicate,
                }
            }
            Record::MemberLeft { node } => match self.state.members.remove(node) {
                Some(_) => Verdict::Accepted,
                None => Verdict::Ignored,
            },
            Record::Unreadable => Verdict::Invalid,
        }
    }

    /// Adopts a peer's state if it covers a longer prefix of the log, and returns whether it did.
    ///
    /// A state is the result of a whole prefix, so it replaces the state as a whole, and reading continues at the
    /// peer's next offset. A state of the same or a shorter prefix contains nothing new.
    pub fn adopt(&mut self, peer: &ConfigState) -> bool {
        if peer.next_offset <= self.state.next_offset {
            return false;
        }
        self.check_order(peer.version);
        if peer.version < self.state.version {
            return false;
        }
        self.state = peer.clone();
        true
    }

    /// Returns whether a snapshot must be appended to a log that retains `first_retained..next_offset`.
    ///
    /// A snapshot is due if the best one lies in the older half of the retained records, or if some records from its
    /// base on were dropped. A reader that itself lags behind the retained records cannot append a useful snapshot.
    pub fn needs_snapshot(&self, first_retained: u64, next_offset: u64) -> bool {
        let s = &self.state;
        let empty = s.version == Version(0) && s.members.is_empty() && s.leaders.is_empty();
        if empty || s.next_offset < first_retained {
            return false;
        }
        match s.snapshot {
            None => next_offset > FIRST_OFFSET,
            Some(m) => m.base < first_retained || 2 * m.offset < first_retained + next_offset,
        }
    }

    /// Returns the usable member that appends the next snapshot.
    ///
    /// Nodes with different lists of members may both append one, which costs space but changes no state.
    pub fn snapshot_appender(&self, usable: impl IntoIterator<Item = NodeId>) -> Option<NodeId> {
        let key = self.state.version.0.to_le_bytes();
        usable.into_iter().max_by_key(|n| (rendezvous(&key, *n), *n))
    }

    fn propose(&mut self, offset: u64, id: RequestId, base: Version, spec: &Arc<Spec>) -> Verdict {
        if self.state.proposal_verdicts.contains_key(&id) {
            return Verdict::Duplicate;
        }
        // Checks the base first, because the validation of a large configuration takes longer.
        let verdict = if base != self.state.version {
            Verdict::Conflict { in_force: self.state.version }
        } else if offset < FIRST_OFFSET || !spec.faults().is_empty() {
            Verdict::Invalid
        } else {
            self.check_order(Version(offset));
            self.state.version = Version(offset);
            self.state.spec = Some(spec.clone());
            Verdict::Accepted
        };
        let ordinal = self.state.proposals;
        self.state.proposals += 1;
        self.state.proposal_verdicts.insert(id, ProposalVerdict { offset, ordinal, verdict });
        if self.state.proposal_verdicts.len() as u64 > PROPOSAL_WINDOW {
            self.state.proposal_verdicts.retain(|_, s| s.ordinal + PROPOSAL_WINDOW > ordinal);
        }
        verdict
    }

    fn record_snapshot(&mut self, offset: u64, snapshot: &ConfigState) -> Verdict {
        if snapshot.next_offset > offset || snapshot.version > self.state.version {
            return Verdict::Invalid;
        }
        if self.state.snapshot.is_some_and(|m| m.base >= snapshot.next_offset) {
            return Verdict::Ignored;
        }
        self.state.snapshot = Some(SnapshotMark { offset, base: snapshot.next_offset });
        Verdict::Accepted
    }

    fn check_order(&self, next: Version) {
        invariant!(
            Invariant::VersionOrder,
            next >= self.state.version,
            "version {next} would replace {}",
            self.state.version
        );
    }
}
