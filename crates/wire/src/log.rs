//! The protocol of the platform's log service, and the records that redwingtrestle appends to the log.

use crate::{
    config::ConfigDoc,
    error::{Error, Result},
};
use redwingtrestle_core::{
    ids::{DataCentre, NodeId, Region, ServiceName, Version},
    process::membership::VmEntry,
    version::{
        config_state::{
            ConfigState, LeaderAssignment, ProposalVerdict, Record, RequestId, SnapshotMark,
            Verdict,
        },
        spec::Spec,
    },
};
use serde::{Deserialize, Serialize};
use std::{net::IpAddr, sync::Arc};

/// A record of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum RecordDoc {
    /// An operator proposes a configuration.
    ConfigProposed {
        /// 32 hexadecimal digits, identical in all repeated appends of one proposal.
        request_id: Arc<str>,
        /// The version that the proposal is based on.
        base: u64,
        /// The proposed configuration.
        config: ConfigDoc,
    },
    /// The accepted state, appended before the log drops the records that it results from.
    ConfigSnapshot(StateDoc),
    /// A node proposes a leader.
    #[serde(rename = "steward_assigned")]
    LeaderAssigned {
        /// The service.
        service: Arc<str>,
        /// The region.
        region: Arc<str>,
        /// The new leader.
        node: NodeId,
        /// The term of the replaced leader, 0 for the first assignment.
        base_term: u64,
    },
    /// A node has started.
    MemberJoined {
        /// The node.
        node: NodeId,
        /// The data centre of its VM.
        data_centre: Arc<str>,
    },
    /// A node has stopped serving.
    MemberLeft {
        /// The node.
        node: NodeId,
    },
}

/// The accepted state after all records before `next_offset`.
///
/// Used as the content of a snapshot record and as the response to a peer that requests the state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateDoc {
    /// The version in force, 0 before the first configuration.
    pub version: u64,
    /// The configuration in force.
    pub config: Option<ConfigDoc>,
    /// The recent proposals, kept to recognise repeated appends.
    #[serde(rename = "seen")]
    pub proposal_verdicts: Vec<ProposalVerdictDoc>,
    /// Total number of distinct proposals.
    pub proposals: u64,
    /// The leader of each service and region.
    #[serde(rename = "stewards")]
    pub leaders: Vec<LeaderDoc>,
    /// The nodes that have started and not stopped serving.
    pub members: Vec<MemberDoc>,
    /// The offset of the best snapshot record, and the offset from which a reader continues after loading it.
    pub snapshot: Option<(u64, u64)>,
    /// The offset after the last record that the state includes.
    pub next_offset: u64,
}

/// A recent proposal and its verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProposalVerdictDoc {
    /// The request id.
    pub id: Arc<str>,
    /// The offset of its first copy.
    pub offset: u64,
    /// The number of distinct proposals before this one.
    pub ordinal: u64,
    /// The verdict on the first copy.
    pub verdict: VerdictDoc,
}

/// The verdict on a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VerdictDoc {
    /// The proposal took effect.
    Accepted,
    /// The proposal's base was not in force. Contains the version that was in force.
    Conflict(u64),
    /// The proposal repeated an earlier one.
    Duplicate,
    /// The content of the proposal is invalid.
    Invalid,
    /// The proposal changed nothing.
    Ignored,
}

/// The leader of a service in a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderDoc {
    /// The service.
    pub service: Arc<str>,
    /// The region.
    pub region: Arc<str>,
    /// The leader.
    pub node: NodeId,
    /// The leader's term.
    pub term: u64,
}

/// A node that is a member of the fleet according to the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDoc {
    /// The node.
    pub node: NodeId,
    /// The data centre of its VM.
    pub data_centre: Arc<str>,
}

/// The response to `POST /v1/append`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// The offset of the appended record.
    pub offset: u64,
}

/// The response to `GET /v1/read?from=OFFSET`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// The oldest offset that the log still retains.
    pub first: u64,
    /// The offset that the next append will get.
    pub next: u64,
    /// The records from the requested offset on, in order.
    pub records: Vec<OffsetRecord>,
}

/// A record with its offset.
///
/// The log service does not interpret records, so the record is a plain JSON value here.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OffsetRecord {
    /// The offset.
    pub offset: u64,
    /// The record.
    pub record: serde_json::Value,
}

impl OffsetRecord {
    /// Converts to the record that the state machine applies.
    ///
    /// A record that cannot be decoded becomes [`Record::Unreadable`], which gets a verdict like any other.
    /// Otherwise its offset would block every reader.
    pub fn to_record(&self) -> Record {
        let doc = RecordDoc::deserialize(&self.record).map_err(|e| Error::record(e.to_string()));
        doc.and_then(Record::try_from).unwrap_or(Record::Unreadable)
    }
}

/// One element of the platform's list of VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmDoc {
    /// The IP address of the VM.
    pub ip: IpAddr,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

impl From<VmDoc> for VmEntry {
    fn from(doc: VmDoc) -> Self {
        VmEntry { ip: doc.ip, leaving: doc.leaving }
    }
}

/// Parses a request id of 32 hexadecimal digits.
pub fn parse_request_id(text: &str) -> Result<RequestId> {
    let digits = text.len() == 32 && text.bytes().all(|b| b.is_ascii_hexdigit());
    match u128::from_str_radix(text, 16) {
        Ok(id) if digits => Ok(RequestId(id)),
        _ => Err(Error::record(format!("{text:?} is not a request id of 32 hexadecimal digits"))),
    }
}

impl TryFrom<RecordDoc> for Record {
    type Error = Error;

    fn try_from(doc: RecordDoc) -> Result<Self> {
        Ok(match doc {
            RecordDoc::ConfigProposed { request_id: id, base, config } => Record::ConfigProposed {
                request_id: parse_request_id(&id)?,
                base: Version(base),
                spec: Arc::new(Spec::from(config)),
            },
            RecordDoc::ConfigSnapshot(state) => {
                Record::ConfigSnapshot { state: Arc::new(ConfigState::try_from(state)?) }
            }
            RecordDoc::LeaderAssigned { service, region, node, base_term } => {
                Record::LeaderAssigned {
                    service: ServiceName(service),
                    region: Region(region),
                    node,
                    base_term,
                }
            }
            RecordDoc::MemberJoined { node, data_centre } => {
                Record::MemberJoined { node, data_centre: DataCentre(data_centre) }
            }
            RecordDoc::MemberLeft { node } => Record::MemberLeft { node },
        })
    }
}

impl TryFrom<&Record> for RecordDoc {
    type Error = Error;

    fn try_from(record: &Record) -> Result<Self> {
        Ok(match record {
            Record::ConfigProposed { request_id, base, spec } => RecordDoc::ConfigProposed {
                request_id: Arc::from(request_id.to_string()),
                base: base.0,
                config: (&**spec).into(),
            },
            Record::ConfigSnapshot { state } => RecordDoc::ConfigSnapshot((&**state).into()),
            Record::LeaderAssigned { service, region, node, base_term } => {
                RecordDoc::LeaderAssigned {
                    service: service.0.clone(),
                    region: region.0.clone(),
                    node: *node,
                    base_term: *base_term,
                }
            }
            Record::MemberJoined { node, data_centre } => {
                RecordDoc::MemberJoined { node: *node, data_centre: data_centre.0.clone() }
            }
            Record::MemberLeft { node } => RecordDoc::MemberLeft { node: *node },
            Record::Unreadable => {
                return Err(Error::record("an unreadable record cannot be encoded"))
            }
        })
    }
}

impl TryFrom<StateDoc> for ConfigState {
    type Error = Error;

    fn try_from(doc: StateDoc) -> Result<Self> {
        let proposal_verdicts = doc.proposal_verdicts.into_iter().map(|s| {
            let verdict =
                ProposalVerdict { offset: s.offset, ordinal: s.ordinal, verdict: s.verdict.into() };
            Ok((parse_request_id(&s.id)?, verdict))
        });
        let leader = |s: LeaderDoc| {
            let assignment = LeaderAssignment { node: s.node, term: s.term };
            ((ServiceName(s.service), Region(s.region)), assignment)
        };
        Ok(ConfigState {
            version: Version(doc.version),
            spec: doc.config.map(|c| Arc::new(Spec::from(c))),
            proposal_verdicts: proposal_verdicts.collect::<Result<_>>()?,
            proposals: doc.proposals,
            leaders: doc.leaders.into_iter().map(leader).collect(),
            members: doc.members.into_iter().map(|m| (m.node, DataCentre(m.data_centre))).collect(),
            snapshot: doc.snapshot.map(|(offset, base)| SnapshotMark { offset, base }),
            next_offset: doc.next_offset,
        })
    }
}

impl From<&ConfigState> for StateDoc {
    fn from(state: &ConfigState) -> Self {
        StateDoc {
            version: state.version.0,
            config: state.spec.as_ref().map(|s| (&**s).into()),
            proposal_verdicts: state
                .proposal_verdicts
                .iter()
                .map(|(id, s)| ProposalVerdictDoc {
                    id: Arc::from(id.to_string()),
                    offset: s.offset,
                    ordinal: s.ordinal,
                    verdict: s.verdict.into(),
                })
                .collect(),
            proposals: state.proposals,
            leaders: state
                .leaders
                .iter()
                .map(|((service, region), a)| LeaderDoc {
                    service: service.0.clone(),
                    region: region.0.clone(),
                    node: a.node,
                    term: a.term,
                })
                .collect(),
            members: state
                .members
                .iter()
                .map(|(node, dc)| MemberDoc { node: *node, data_centre: dc.0.clone() })
                .collect(),
            snapshot: state.snapshot.map(|m| (m.offset, m.base)),
            next_offset: state.next_offset,
        }
    }
}

impl From<VerdictDoc> for Verdict {
    fn from(doc: VerdictDoc) -> Self {
        match doc {
            VerdictDoc::Accepted => Verdict::Accepted,
            VerdictDoc::Conflict(version) => Verdict::Conflict { in_force: Version(version) },
            VerdictDoc::Duplicate => Verdict::Duplicate,
            VerdictDoc::Invalid => Verdict::Invalid,
            VerdictDoc::Ignored => Verdict::Ignored,
        }
    }
}

impl From<Verdict> for VerdictDoc {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::Accepted => VerdictDoc::Accepted,
            Verdict::Conflict { in_force } => VerdictDoc::Conflict(in_force.0),
            Verdict::Duplicate => VerdictDoc::Duplicate,
            Verdict::Invalid => VerdictDoc::Invalid,
            Verdict::Ignored => VerdictDoc::Ignored,
        }
    }
}
