//! The thread that reads the platform's log and appends to it.

use crate::{
    control::Event,
    error::{Error, Result},
    log_client::{LogClient, LogError},
    rpc,
    shared::Shared,
};
use redwingtrestle_core::{
    ids::{NodeId, ServerAddr, Version},
    time::{Span, Timestamp},
    version::{
        config_state::{ConfigState, ConfigStateMachine, Record, RequestId},
        log_reader::{LogReader, Page, ReaderAction, ReaderOptions, Readiness},
        proposer::{ProposalOutcome, Proposer, ProposerAction, ProposerOptions},
        spec::Spec,
    },
};
use redwingtrestle_wire::log::{ReadReply, RecordDoc, VmDoc};
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    thread::JoinHandle,
    time::Duration,
};
use tokio::{sync::oneshot, task::JoinSet};

/// The interval at which the thread checks which calls are due.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// The interval between reads of the list of VMs.
const VM_LIST_INTERVAL: Span = Span::from_secs(1);

/// A node appends no snapshot for this long after its start.
const SNAPSHOT_DELAY: Span = Span::from_secs(5);

/// The wait before this node's member record is appended again.
const JOIN_RETRY_INTERVAL: Span = Span::from_secs(2);

/// A gap in the log is reported once it has lasted this long.
///
/// Shorter gaps are normal: a node that has started or was cut off has one until it finds a snapshot or
/// fetches a peer's state.
const GAP_REPORT_DELAY: Span = Span::from_secs(5);

/// The state that the log thread publishes for the other threads.
#[derive(Debug, Default)]
pub struct LogView {
    /// The result of the log's records, the same at every reader, or `None` before the first read.
    pub state: Option<Arc<ConfigState>>,
    /// The start time of the last read that reached the end of the log.
    pub read_at: Option<Timestamp>,
    /// Whether the last read of the log succeeded.
    pub log_up: bool,
    /// Whether this node, since its start, has had the highest version among the log and the reachable peers.
    pub is_current: bool,
    /// Whether the log has dropped records that this node has not read, for at least `GAP_REPORT_DELAY`.
    pub in_gap: bool,
}

/// A command to the log thread.
#[derive(Debug)]
pub enum Command {
    /// Append a record. The log thread does not retry a failed append; the sender has to.
    Append(Record),
    /// Propose an operator's change and wait for the log's verdict.
    Propose {
        /// The identifier of the change, by which copies of it are recognised.
        request_id: RequestId,
        /// The version on which the change is based.
        base: Version,
        /// The complete configuration after the change.
        spec: Arc<Spec>,
        /// The channel for the outcome.
        reply: oneshot::Sender<ProposalOutcome>,
    },
    /// Ask a backend server whether it is still draining.
    Probe(ServerAddr),
}

/// Starts the log thread.
pub fn start(shared: Arc<Shared>, stop: Arc<AtomicBool>) -> Result<JoinHandle<()>> {
    let client = LogClient::new(&shared.settings.log, shared.settings.vm_list.as_deref())
        .map_err(|e| Error::start("log", e.to_string()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::start("log", e.to_string()))?;
    let mut thread = LogThread::new(shared, client);
    std::thread::Builder::new()
        .name("log".into())
        .spawn(move || runtime.block_on(thread.run(&stop)))
        .map_err(|e| Error::start("log", e.to_string()))
}

/// The result of a call, which runs as a task beside the thread's loop.
enum CallResult {
    Read(Timestamp, std::result::Result<ReadReply, LogError>),
    Fetched(Option<Box<ConfigState>>),
    Appended(Option<RequestId>, std::result::Result<u64, LogError>),
    VmList(std::result::Result<Vec<VmDoc>, LogError>),
    Probed(ServerAddr, Option<bool>),
}

struct Proposal {
    proposer: Proposer,
    reply: Option<oneshot::Sender<ProposalOutcome>>,
}

struct LogThread {
    shared: Arc<Shared>,
    client: LogClient,
    state_machine: ConfigStateMachine,
    reader: LogReader,
    proposals: Vec<Proposal>,
    calls: JoinSet<CallResult>,
    published_offset: u64,
    gap_since: Option<Timestamp>,
    read_at: Option<Timestamp>,
    log_up: bool,
    is_current: bool,
    started: Timestamp,
    next_vm_list: Timestamp,
    next_join: Timestamp,
}

impl LogThread {
    fn new(shared: Arc<Shared>, client: LogClient) -> Self {
        let now = shared.clock.now();
        LogThread {
            shared,
            client,
            state_machine: ConfigStateMachine::new(),
            reader: LogReader::new(now, ReaderOptions::default()),
            proposals: Vec::new(),
            calls: JoinSet::new(),
            published_offset: 0,
            gap_since: None,
            read_at: None,
            log_up: false,
            is_current: false,
            started: now,
            next_vm_list: now,
            next_join: now,
        }
    }

    async fn run(&mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            self.step();
            tokio::select! {
                Some(result) = self.calls.join_next(), if !self.calls.is_empty() => {
                    if let Ok(result) = result {
                        self.handle_result(result);
                    }
                }
                () = tokio::time::sleep(STEP_INTERVAL) => {}
            }
        }
    }

    /// Handles the waiting commands and starts the calls that are due.
    fn step(&mut self) {
        let now = self.shared.clock.now();
        let peers = **self.shared.peers.load();
        for action in self.reader.poll(now, &self.state_machine, &peers) {
            match action {
                ReaderAction::Read { from } => self.read(now, from),
                ReaderAction::Fetch { node } => self.fetch(node),
            }
        }
        while let Some(command) = self.shared.commands.pop() {
            self.handle_command(now, command);
        }
        self.poll_proposals(now);
        self.join_fleet(now);
        self.append_snapshot(now);
        self.read_vm_list(now);
        if !self.is_current {
            let readiness = self.reader.readiness(now, &self.state_machine, &peers);
            self.is_current = readiness == Readiness::Ready;
            self.publish(self.is_current);
        }
    }

    fn read(&mut self, now: Timestamp, from: u64) {
        let client = self.client.clone();
        self.calls.spawn(async move { CallResult::Read(now, client.read(from).await) });
    }

    fn fetch(&mut self, node: NodeId) {
        self.calls.spawn(async move {
            let state = rpc::fetch_state(node.addr).await;
            CallResult::Fetched(state.and_then(|doc| ConfigState::try_from(doc).ok()).map(Box::new))
        });
    }

    fn append(&mut self, id: Option<RequestId>, record: &Record) {
        let Ok(doc) = RecordDoc::try_from(record) else { return };
        let client = self.client.clone();
        self.calls.spawn(async move { CallResult::Appended(id, client.append(&doc).await) });
    }

    fn handle_command(&mut self, now: Timestamp, command: Command) {
        match command {
            Command::Append(record) => self.append(None, &record),
            Command::Probe(server) => {
                let client = self.client.clone();
                self.calls
                    .spawn(async move { CallResult::Probed(server, client.probe(server).await) });
            }
            Command::Propose { request_id, base, spec, reply } => {
                let options = ProposerOptions::default();
                let proposer =
                    Proposer::new(now, options, &self.state_machine, request_id, base, spec);
                self.proposals.push(Proposal { proposer, reply: Some(reply) });
            }
        }
    }

    fn poll_proposals(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        for proposal in &mut self.proposals {
            match proposal.proposer.poll(now, &self.state_machine) {
                ProposerAction::Append(record) => {
                    due.push((proposal.proposer.request_id(), record));
                }
                ProposerAction::Wait => {}
                ProposerAction::Done(outcome) => {
                    if let Some(reply) = proposal.reply.take() {
                        let _ = reply.send(outcome);
                    }
                }
            }
        }
        self.proposals.retain(|p| p.reply.is_some());
        for (id, record) in due {
            self.append(Some(id), &record);
        }
    }

    /// Appends this node's member record, and does so again if another node has recorded that this node left.
    fn join_fleet(&mut self, now: Timestamp) {
        let local = self.shared.id;
        let recorded = self.state_machine.members().contains_key(&local);
        let leaving = self.shared.leaving.load(Ordering::SeqCst);
        if recorded || leaving || self.read_at.is_none() || now < self.next_join {
            return;
        }
        self.next_join = now + JOIN_RETRY_INTERVAL;
        let data_centre = self.shared.settings.data_centre.as_ref().into();
        self.append(None, &Record::MemberJoined { node: local, data_centre });
    }

    fn append_snapshot(&mut self, now: Timestamp) {
        // A node that has just started does not yet know which other nodes may append a snapshot.
        if now.since(self.started) < SNAPSHOT_DELAY {
            return;
        }
        let view = self.shared.view.load();
        let local = self.shared.id;
        let usable = view.usable.iter().copied().chain([local]);
        if let Some(record) = self.reader.snapshot_due(now, &self.state_machine, local, usable) {
            log::info!(version = self.state_machine.version().0; "appending a snapshot to the log");
            self.append(None, &record);
        }
    }

    fn read_vm_list(&mut self, now: Timestamp) {
        if self.shared.settings.vm_list.is_none() || now < self.next_vm_list {
            return;
        }
        self.next_vm_list = now + VM_LIST_INTERVAL;
        let client = self.client.clone();
        self.calls.spawn(async move { CallResult::VmList(client.vm_list().await) });
    }

    fn handle_result(&mut self, result: CallResult) {
        let now = self.shared.clock.now();
        match result {
            CallResult::Read(started, Ok(reply)) => self.apply_page(now, started, &reply),
            CallResult::Read(_, Err(e)) => {
                if self.log_up {
                    log::warn!("cannot read the log, trying again: {e}");
                }
                self.log_up = false;
                self.reader.record_failure(now);
                self.publish(true);
            }
            CallResult::Fetched(state) => {
                self.reader.apply_fetched(&mut self.state_machine, state.as_deref());
                self.publish(false);
            }
            CallResult::Appended(id, result) => self.handle_append_result(now, id, &result),
            CallResult::VmList(Ok(list)) => {
                let entries = list.into_iter().map(Into::into).collect();
                self.shared.events.push_over_oldest(Event::VmList(entries));
            }
            CallResult::Probed(server, draining) => {
                self.shared.events.push_over_oldest(Event::Probed(server, draining));
            }
            CallResult::VmList(Err(e)) => {
                log::debug!("cannot read the list of VMs, trying again: {e}");
            }
        }
    }

    fn apply_page(&mut self, now: Timestamp, started: Timestamp, reply: &ReadReply) {
        let page = Page {
            first_retained: reply.first,
            next_offset: reply.next,
            records: reply.records.iter().map(|r| (r.offset, Arc::new(r.to_record()))).collect(),
        };
        for (offset, verdict) in self.reader.apply_page(now, &mut self.state_machine, &page) {
            log::debug!(offset = offset; "record read from the log: {verdict:?}");
        }
        if self.state_machine.next_offset() >= page.next_offset {
            self.read_at = Some(started);
        }
        self.log_up = true;
        self.publish(true);
    }

    fn handle_append_result(
        &mut self,
        now: Timestamp,
        id: Option<RequestId>,
        result: &std::result::Result<u64, LogError>,
    ) {
        if let Err(e) = result {
            log::warn!("append to the log failed, but may still take effect: {e}");
        }
        let found = self.proposals.iter_mut().find(|p| Some(p.proposer.request_id()) == id);
        let Some(proposal) = found else { return };
        match result {
            Ok(offset) => proposal.proposer.appended(*offset),
            Err(_) => proposal.proposer.append_failed(now),
        }
    }

    /// Publishes the state if it has changed or `always` is set, and puts a new configuration in force.
    fn publish(&mut self, always: bool) {
        let next = self.state_machine.next_offset();
        if next == self.published_offset && !always {
            return;
        }
        let old = self.shared.log_view.load();
        let unchanged = next == self.published_offset;
        let state = match &old.state {
            Some(state) if unchanged => state.clone(),
            _ => self.state_machine.snapshot(),
        };
        self.published_offset = next;
        let in_force = self.shared.active.load().as_ref().map_or(Version(0), |a| a.version);
        if let (true, Some(spec)) = (state.version > in_force, &state.spec) {
            self.shared.activate(state.version, spec.clone());
        }
        let (read_at, log_up, is_current) = (self.read_at, self.log_up, self.is_current);
        let now = self.shared.clock.now();
        self.gap_since = self.reader.in_gap().then(|| self.gap_since.unwrap_or(now));
        let in_gap = self.gap_since.is_some_and(|at| now.since(at) >= GAP_REPORT_DELAY);
        if in_gap && !old.in_gap {
            log::error!(next_offset = next; "the log has dropped records that this node has not read");
        } else if old.in_gap && !in_gap {
            log::info!(next_offset = next; "a snapshot or a peer's state has replaced the dropped log records");
        }
        metrics::gauge!("redwing_log_up").set(if log_up { 1.0 } else { 0.0 });
        metrics::gauge!("redwing_log_gap").set(if in_gap { 1.0 } else { 0.0 });
        let log_view = LogView { state: Some(state), read_at, log_up, is_current, in_gap };
        self.shared.log_view.store(Arc::new(log_view));
    }
}
