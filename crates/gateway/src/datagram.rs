//! The datagrams between nodes, encoded with postcard, and their limits of size.

use redwingtrestle_core::{
    process::{
        cpu_share::CpuShare,
        crash_records::CrashReport,
        fingerprint::Fingerprint,
        peer_table::NodeState,
        server_limit::LimitReport,
        service_outcomes::OutcomeCounts,
        slowdown::Slowdown,
        store_contact::ContactReport,
        tracked_server::{Counts, ServerReport},
        workspace_quota::{QuotaLevel, QuotaReport},
    },
    time::Span,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The largest datagram, in bytes. It fits into one packet on common networks.
pub(crate) const MAX_DATAGRAM: usize = 1_200;

/// The largest number of rows in a report, or of addresses in a list, that fits a datagram.
pub(crate) const MAX_ROWS: usize = 60;

/// The largest number of services whose outcome counts fit beside the rows of a report.
pub(crate) const MAX_OUTCOMES: usize = 20;

/// The largest number of limits, or of crashes, that fits a datagram.
pub(crate) const MAX_SERVER_ROWS: usize = 36;

/// The largest number of workspaces in a report on quotas, or of levels, that fits a datagram.
pub(crate) const MAX_QUOTA_ROWS: usize = 60;

/// The largest encoded sizes of a report's head, of one of its rows and of the outcome counts of a service, in bytes.
pub(crate) const MAX_REPORT_HEAD: usize = 16;
const MAX_ROW_SIZE: usize = 13;
const MAX_OUTCOMES_SIZE: usize = 15;

/// The encoding of [`NodeState`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) enum NodeStateDoc {
    Starting,
    Ready,
    Stopping,
}

/// A message between nodes, encoded with postcard: the order of variants and fields is the format.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Datagram {
    /// The sender's own state.
    Status {
        start: u64,
        entry: SocketAddr,
        data_centre: String,
        state: NodeStateDoc,
        config_version: u64,
        /// The offset of the registry's position. Its era follows the datagram, see [`encode`].
        registry_position: u64,
        store_reachable: bool,
    },
    /// Peer addresses of nodes that the sender knows.
    Nodes(Vec<SocketAddr>),
    /// Observations of the node `from`. If `relay` is set, the receiver relays the report in its own data centre.
    Report { from: u64, relay: bool, rows: Vec<RowDoc>, outcomes: Vec<OutcomesDoc> },
    /// Periodic reports of nodes in other data centres, which the sender relays together.
    Relayed(Vec<ReportDoc>),
    /// Limits that servers name. If `relay` is set, the receiver relays them in its own data centre. Nodes of version 0.1
    /// drop the message.
    Limits { relay: bool, rows: Vec<LimitDoc> },
    /// Servers that ended while they ran a request, as in [`Limits`](Datagram::Limits).
    Crashes { relay: bool, rows: Vec<CrashDoc> },
    /// Requests of workspaces since the sender's last report, which has the number before. If `relay` is set, the
    /// receiver adds them to its next report in its own data centre. The report stands for `scale` reports. Nodes of
    /// the version before drop it.
    Quotas { relay: bool, number: u32, scale: f32, rows: Vec<QuotaDoc> },
    /// What is left of quotas, for a node that has just started.
    QuotaLevels(Vec<LevelDoc>),
}

/// What follows a status in its datagram. Nodes of version 0.1 ignore it, and do not send it. Each part may end the
/// datagram, as earlier versions sent fewer of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct StatusTail {
    /// The era of the registry's position.
    pub(crate) era: u64,
    /// The newest contact with the store that the sender knows of.
    pub(crate) contact: Option<ContactReport>,
    /// The sender's processor and the slowdown of its messages.
    pub(crate) pace: Option<Pace>,
}

/// The processor of a node and the slowdown of its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Pace {
    /// The processor, `None` if the sender announced one that no VM can have.
    pub(crate) share: Option<CpuShare>,
    pub(crate) slowdown: Slowdown,
}

/// Encodes a datagram. `tail` follows it instead of being a field, because a node of the version before would drop a
/// status without the field, and be dropped by nodes that require it.
pub(crate) fn encode(datagram: &Datagram, tail: StatusTail) -> postcard::Result<Vec<u8>> {
    let bytes = postcard::to_allocvec(datagram)?;
    if let Datagram::Crashes { rows, .. } = datagram {
        let runs: Vec<u16> = rows.iter().map(|row| row.run_ms).collect();
        return postcard::to_extend(&runs, bytes);
    }
    if tail == StatusTail::default() {
        return Ok(bytes);
    }
    let mut bytes = postcard::to_extend(&tail.era, bytes)?;
    if tail.contact.is_some() || tail.pace.is_some() {
        let contact = tail.contact.map_or(NO_CONTACT, ContactDoc::from);
        bytes = postcard::to_extend(&contact, bytes)?;
    }
    match tail.pace {
        Some(pace) => postcard::to_extend(&PaceDoc::from(pace), bytes),
        None => Ok(bytes),
    }
}

/// Decodes a datagram with its tail. Without a tail, the era is 0 and neither contact nor pace is known. What follows the
/// known parts is of a later version and ignored.
pub(crate) fn decode(bytes: &[u8]) -> postcard::Result<(Datagram, StatusTail)> {
    let (mut datagram, rest) = postcard::take_from_bytes(bytes)?;
    if let Datagram::Crashes { rows, .. } = &mut datagram {
        let runs: Vec<u16> = if rest.is_empty() { Vec::new() } else { postcard::from_bytes(rest)? };
        for (row, run_ms) in rows.iter_mut().zip(runs) {
            row.run_ms = run_ms;
        }
        return Ok((datagram, StatusTail::default()));
    }
    if rest.is_empty() {
        return Ok((datagram, StatusTail::default()));
    }
    let (era, rest) = postcard::take_from_bytes(rest)?;
    if rest.is_empty() {
        return Ok((datagram, StatusTail { era, ..StatusTail::default() }));
    }
    let (contact, rest) = postcard::take_from_bytes::<ContactDoc>(rest)?;
    let contact = (contact.number > 0).then(|| contact.into());
    // A node whose pace cannot be read counts as one of an earlier version, which gets messages at the usual intervals.
    let pace = postcard::from_bytes::<PaceDoc>(rest).ok().map(Pace::from);
    Ok((datagram, StatusTail { era, contact, pace }))
}

/// The encoding of a [`ContactReport`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct ContactDoc {
    node: u32,
    number: u32,
    age_ms: u32,
}

/// Stands for no contact where a pace follows, as a contact's number is at least 1. Earlier versions take it for a
/// contact that is older than all others.
const NO_CONTACT: ContactDoc = ContactDoc { node: 0, number: 0, age_ms: u32::MAX };

impl From<ContactReport> for ContactDoc {
    fn from(ContactReport { node, number, age }: ContactReport) -> Self {
        ContactDoc { node, number, age_ms: age_ms(age) }
    }
}

impl From<ContactDoc> for ContactReport {
    fn from(ContactDoc { node, number, age_ms }: ContactDoc) -> Self {
        ContactReport { node, number, age: Span::from_millis(age_ms.into()) }
    }
}

/// The encoding of a [`Pace`]: the processor in thousandths of a core, 0 if it is unknown, and the slowdown in percent.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PaceDoc {
    share: u32,
    slowdown: u32,
}

impl From<Pace> for PaceDoc {
    fn from(Pace { share, slowdown }: Pace) -> Self {
        let share = share.map_or(0, CpuShare::thousandths);
        PaceDoc { share, slowdown: slowdown.percent() }
    }
}

impl From<PaceDoc> for Pace {
    fn from(PaceDoc { share, slowdown }: PaceDoc) -> Self {
        let share = CpuShare::from_thousandths(share);
        Pace { share, slowdown: Slowdown::from_percent(slowdown) }
    }
}

/// The observations of one node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ReportDoc {
    /// The start id of the node.
    pub(crate) from: u64,
    /// Its observations of servers.
    pub(crate) rows: Vec<RowDoc>,
    /// Its outcome counts of services.
    pub(crate) outcomes: Vec<OutcomesDoc>,
}

impl ReportDoc {
    /// Returns an upper bound of the encoded size, in bytes.
    pub(crate) fn max_size(&self) -> usize {
        MAX_REPORT_HEAD + self.rows.len() * MAX_ROW_SIZE + self.outcomes.len() * MAX_OUTCOMES_SIZE
    }

    /// Returns whether the report contains a failed request or connection attempt.
    pub(crate) fn has_failure(&self) -> bool {
        self.rows.iter().any(|row| row.errors > 0 || row.lost > 0 || row.slow > 0)
    }
}

/// The encoding of the outcome counts of one service.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct OutcomesDoc {
    tag: u32,
    served: u32,
    unserved: u32,
}

impl From<(u32, OutcomeCounts)> for OutcomesDoc {
    fn from((tag, OutcomeCounts { served, unserved }): (u32, OutcomeCounts)) -> Self {
        OutcomesDoc { tag, served, unserved }
    }
}

impl From<OutcomesDoc> for (u32, OutcomeCounts) {
    fn from(OutcomesDoc { tag, served, unserved }: OutcomesDoc) -> Self {
        (tag, OutcomeCounts { served, unserved })
    }
}

/// The encoding of a [`LimitReport`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct LimitDoc {
    tag: u32,
    started: u64,
    limit: Option<f64>,
    age_ms: u32,
}

impl From<LimitReport> for LimitDoc {
    fn from(LimitReport { tag, started, limit, age }: LimitReport) -> Self {
        LimitDoc { tag, started, limit, age_ms: age_ms(age) }
    }
}

impl From<LimitDoc> for LimitReport {
    fn from(LimitDoc { tag, started, limit, age_ms }: LimitDoc) -> Self {
        LimitReport { tag, started, limit, age: Span::from_millis(age_ms.into()) }
    }
}

/// The encoding of a [`CrashReport`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct CrashDoc {
    fingerprint: u64,
    tag: u32,
    started: u64,
    age_ms: u32,
    /// How long the request had run. It follows the datagram, as rows of earlier versions lack it.
    #[serde(skip, default = "unknown_run")]
    run_ms: u16,
}

/// A run of unknown length counts as one that began long before the end of the server.
fn unknown_run() -> u16 {
    u16::MAX
}

impl From<CrashReport> for CrashDoc {
    fn from(CrashReport { fingerprint, tag, started, age, run }: CrashReport) -> Self {
        let run_ms = run.as_millis().min(u64::from(u16::MAX)) as u16;
        CrashDoc { fingerprint: fingerprint.0, tag, started, age_ms: age_ms(age), run_ms }
    }
}

impl From<CrashDoc> for CrashReport {
    fn from(CrashDoc { fingerprint, tag, started, age_ms, run_ms }: CrashDoc) -> Self {
        let (fingerprint, age) = (Fingerprint(fingerprint), Span::from_millis(age_ms.into()));
        CrashReport { fingerprint, tag, started, age, run: Span::from_millis(run_ms.into()) }
    }
}

/// The encoding of a [`QuotaReport`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct QuotaDoc {
    tag: u64,
    admitted: u32,
    offered: u32,
}

impl From<QuotaReport> for QuotaDoc {
    fn from(QuotaReport { tag, admitted, offered }: QuotaReport) -> Self {
        QuotaDoc { tag, admitted, offered }
    }
}

impl From<QuotaDoc> for QuotaReport {
    fn from(QuotaDoc { tag, admitted, offered }: QuotaDoc) -> Self {
        QuotaReport { tag, admitted, offered }
    }
}

/// The encoding of a [`QuotaLevel`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct LevelDoc {
    tag: u64,
    tokens: f32,
    demand: f32,
}

impl From<QuotaLevel> for LevelDoc {
    fn from(QuotaLevel { tag, tokens, demand }: QuotaLevel) -> Self {
        LevelDoc { tag, tokens: tokens as f32, demand: demand as f32 }
    }
}

impl From<LevelDoc> for QuotaLevel {
    fn from(LevelDoc { tag, tokens, demand }: LevelDoc) -> Self {
        QuotaLevel { tag, tokens: tokens.into(), demand: demand.into() }
    }
}

fn age_ms(age: Span) -> u32 {
    age.as_millis().min(u64::from(u32::MAX)) as u32
}

/// The encoding of a [`ServerReport`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct RowDoc {
    tag: u32,
    good: u8,
    errors: u8,
    lost: u8,
    slow: u8,
    sent: u8,
    in_flight: u16,
}

impl From<ServerReport> for RowDoc {
    fn from(report: ServerReport) -> Self {
        let Counts { good, errors, lost, slow, sent } = report.counts;
        let in_flight = report.in_flight.min(u32::from(u16::MAX)) as u16;
        RowDoc { tag: report.tag, good, errors, lost, slow, sent, in_flight }
    }
}

impl From<RowDoc> for ServerReport {
    fn from(row: RowDoc) -> Self {
        let RowDoc { tag, good, errors, lost, slow, sent, in_flight } = row;
        let counts = Counts { good, errors, lost, slow, sent };
        ServerReport { tag, counts, in_flight: in_flight.into() }
    }
}

impl From<NodeState> for NodeStateDoc {
    fn from(state: NodeState) -> Self {
        match state {
            NodeState::Starting => NodeStateDoc::Starting,
            NodeState::Ready => NodeStateDoc::Ready,
            NodeState::Stopping => NodeStateDoc::Stopping,
        }
    }
}

impl From<NodeStateDoc> for NodeState {
    fn from(state: NodeStateDoc) -> Self {
        match state {
            NodeStateDoc::Starting => NodeState::Starting,
            NodeStateDoc::Ready => NodeState::Ready,
            NodeStateDoc::Stopping => NodeState::Stopping,
        }
    }
}
