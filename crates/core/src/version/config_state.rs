//! The rule by which every reader of the log reaches the same configuration.
//!
//! The log orders the records and [`ConfigStateMachine::apply`] judges them by their order alone, so that readers
//! need no agreement among themselves. See `docs/agreement.md` for the alternatives considered.

use crate::{
    ids::{DataCentre, NodeId, Region, ServiceName, Version},
    invariant,
    invariant::Invariant,
    process::membership::rendezvous,
    version::spec::Spec,
};
use std::{collections::BTreeMap, fmt, sync::Arc};

/// The offset of the first record of a log.
///
/// Offset 0 is never used, because a base of 0 means that no configuration is in force.
pub const FIRST_OFFSET: u64 = 1;

/// How many proposals back a repeated request id is recognised.
///
/// At 390 changes a day this is about two and a half days; a proposer gives up after seconds.
pub const SEEN_WINDOW: u64 = 1024;

/// `RequestId` identifies an operator's change over all copies of its append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// `Record` is one record of the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// An operator proposes a configuration.
    ConfigProposed {
        /// The same for all copies of one change.
        request_id: RequestId,
        /// The version that the change was made from, 0 for a first configuration.
        base: Version,
        /// The whole proposed configuration.
        spec: Arc<Spec>,
    },
    /// A node repeats its state so that retention may drop the records before it.
    ConfigSnapshot {
        /// The state after all records below its `next_offset`.
        state: Arc<State>,
    },
    /// A node becomes the leader of a service in a region.
    LeaderAssigned {
        /// The service.
        service: ServiceName,
        /// The region.
        region: Region,
        /// The new leader.
        node: NodeId,
        /// The term that the assignment replaces, 0 for a first one.
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
    /// A record that cannot be read; it changes nothing, and readers go on behind it.
    Unreadable,
}

/// `Verdict` is what the acceptance rule says about a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The record took effect.
    Accepted,
    /// The base is not in force. For a leader, `in_force` is the present term.
    Conflict {
        /// What is in force instead.
        in_force: Version,
    },
    /// An earlier record said the same; that record's verdict stands.
    Duplicate,
    /// The record breaks a rule of its own content.
    Invalid,
    /// The record changes nothing, or its offset is not the next one.
    Ignored,
}

/// `Assignment` is a leader and its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The leader.
    pub node: NodeId,
    /// The offset of the assigning record.
    pub term: u64,
}

/// `Seen` remembers the verdict of a proposal's first copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// The offset of the first copy.
    pub offset: u64,
    /// The position of the proposal among all distinct proposals.
    pub ordinal: u64,
    /// The verdict.
    pub verdict: Verdict,
}

/// `SnapshotMark` locates the best snapshot record that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotMark {
    /// The offset of the record.
    pub offset: u64,
    /// The offset at which reading goes on after restoring it.
    pub base: u64,
}

/// `State` is the result of a prefix of the log; equal prefixes give equal states.
#[derive(Clone, Debug, PartialEq)]
pub struct State {
    /// The version in force, 0 before the first.
    pub version: Version,
    /// The configuration in force.
    pub spec: Option<Arc<Spec>>,
    /// The last [`SEEN_WINDOW`] proposals.
    pub seen: BTreeMap<RequestId, Seen>,
    /// How many distinct proposals the prefix holds.
    pub proposals: u64,
    /// The leaders.
    pub leaders: BTreeMap<(ServiceName, Region), Assignment>,
    /// The recorded members.
    pub members: BTreeMap<NodeId, DataCentre>,
    /// The best snapshot in the prefix.
    pub snapshot: Option<SnapshotMark>,
    /// The offset of the first record that is not applied.
    pub next_offset: u64,
}

/// `ConfigStateMachine` applies the log's records in order.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigStateMachine {
    state: State,
}

impl Default for ConfigStateMachine {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigStateMachine {
    /// Returns the state before the first record.
    pub fn new() -> Self {
        Self::restore(State {
            version: Version(0),
            spec: None,
            seen: BTreeMap::new(),
            proposals: 0,
            leaders: BTreeMap::new(),
            members: BTreeMap::new(),
            snapshot: None,
            next_offset: FIRST_OFFSET,
        })
    }

    /// Returns a reader that goes on from `state`.
    pub fn restore(state: State) -> Self {
        ConfigStateMachine { state }
    }

    /// Returns the state.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the state as it is put into a snapshot record or sent to a peer.
    pub fn snapshot(&self) -> Arc<State> {
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
    pub fn leader(&self, service: &ServiceName, region: &Region) -> Option<Assignment> {
        self.state.leaders.get(&(service.clone(), region.clone())).copied()
    }

    /// Returns the highest term assigned, 0 when there is none.
    pub fn highest_term(&self) -> u64 {
        self.state.leaders.values().map(|a| a.term).max().unwrap_or(0)
    }

    /// Returns the recorded members.
    pub fn members(&self) -> &BTreeMap<NodeId, DataCentre> {
        &self.state.members
    }

    /// Returns the first verdict on a request id, unless it was never read or left the window.
    pub fn verdict_of(&self, request_id: RequestId) -> Option<Seen> {
        self.state.seen.get(&request_id).copied()
    }

    /// Applies the record at `offset`.
    ///
    /// Only the record at the next offset has an effect; any other is `Ignored` and moves nothing, so a
    /// page that is read twice, or that leaves a gap, cannot corrupt the state.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Verdict {
        if offset != self.state.next_offset {
            return Verdict::Ignored;
        }
        self.state.next_offset = offset + 1;
        match record {
            Record::ConfigProposed { request_id, base, spec } => {
                self.propose(offset, *request_id, *base, spec)
            }
            Record::ConfigSnapshot { state } => self.mark(offset, state),
            Record::LeaderAssigned { service, region, node, base_term } => {
                let key = (service.clone(), region.clone());
                let term = self.state.leaders.get(&key).map_or(0, |a| a.term);
                if *base_term != term {
                    return Verdict::Conflict { in_force: Version(term) };
                }
                self.state.leaders.insert(key, Assignment { node: *node, term: offset });
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

    /// Takes a peer's state if it is further in the log, and returns whether it did.
    ///
    /// A state is the result of a whole prefix, so taking it replaces every part at once and the reader
    /// goes on at the peer's next offset. A state that is not further holds nothing new.
    pub fn adopt(&mut self, peer: &State) -> bool {
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

    /// Returns whether a snapshot must be appended for a log that holds `first_retained..next_offset`.
    ///
    /// One is due when the best snapshot lies in the older half of what is retained, or when the
    /// records from its base on are no longer all there. A reader that is itself behind the retention
    /// cannot append a useful one.
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

    /// Returns which of the usable members appends the next snapshot.
    ///
    /// Nodes with different views may both append one, which costs space and changes no state.
    pub fn snapshot_appender(&self, usable: impl IntoIterator<Item = NodeId>) -> Option<NodeId> {
        let key = self.state.version.0.to_le_bytes();
        usable.into_iter().max_by_key(|n| (rendezvous(&key, *n), *n))
    }

    fn propose(&mut self, offset: u64, id: RequestId, base: Version, spec: &Arc<Spec>) -> Verdict {
        if self.state.seen.contains_key(&id) {
            return Verdict::Duplicate;
        }
        // Checks the base first, as the whole check of a large configuration takes longer.
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
        self.state.seen.insert(id, Seen { offset, ordinal, verdict });
        if self.state.seen.len() as u64 > SEEN_WINDOW {
            self.state.seen.retain(|_, s| s.ordinal + SEEN_WINDOW > ordinal);
        }
        verdict
    }

    fn mark(&mut self, offset: u64, snapshot: &State) -> Verdict {
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
