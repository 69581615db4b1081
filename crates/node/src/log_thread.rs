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

/// How often the thread looks for work.
const STEP: Duration = Duration::from_millis(50);

/// How often the list of VMs is read.
const VM_POLL: Span = Span::from_secs(1);

/// How long after its start a node may append a snapshot.
const SNAPSHOT_WAIT: Span = Span::from_secs(5);

/// How long the thread waits before it appends its own member record again.
const JOIN_RETRY: Span = Span::from_secs(2);

/// How long a gap in the log must last to be reported.
///
/// A starting node and one that was away are in a gap until they find a snapshot or fetch a peer's state.
const GAP_TIME: Span = Span::from_secs(5);

/// `Agreed` is what this node has in common with every other reader of the log.
#[derive(Debug, Default)]
pub struct Agreed {
    /// The result of the log's records, none before the first read.
    pub state: Option<Arc<ConfigState>>,
    /// The start of the last read that reached the end of the log.
    pub read_at: Option<Timestamp>,
    /// Whether the last call to the log service succeeded.
    pub log_up: bool,
    /// Whether the configuration is the highest of peers and log, as far as they can be reached.
    pub is_current: bool,
    /// Whether records were dropped from the log that this node has not read, for [`GAP_TIME`] now.
    pub in_gap: bool,
}

/// `Command` is work for the log thread.
#[derive(Debug)]
pub enum Command {
    /// Append a record; a lost one is appended again by whoever still wants it.
    Append(Record),
    /// Carry an operator's change through the log.
    Propose {
        /// The id of the change.
        request_id: RequestId,
        /// The version on which it is based.
        base: Version,
        /// The whole configuration.
        spec: Arc<Spec>,
        /// Where the answer goes.
        reply: oneshot::Sender<ProposalOutcome>,
    },
    /// Ask a backend server whether it is still leaving.
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

/// The end of one call that ran beside the thread's loop.
enum Done {
    Read(Timestamp, std::result::Result<ReadReply, LogError>),
    Fetched(Option<Box<ConfigState>>),
    Appended(Option<RequestId>, std::result::Result<u64, LogError>),
    Vms(std::result::Result<Vec<VmDoc>, LogError>),
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
    calls: JoinSet<Done>,
    published: u64,
    gap_since: Option<Timestamp>,
    read_at: Option<Timestamp>,
    log_up: bool,
    is_current: bool,
    started: Timestamp,
    next_vms: Timestamp,
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
            published: 0,
            gap_since: None,
            read_at: None,
            log_up: false,
            is_current: false,
            started: now,
            next_vms: now,
            next_join: now,
        }
    }

    async fn run(&mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            self.step();
            tokio::select! {
                Some(done) = self.calls.join_next(), if !self.calls.is_empty() => {
                    if let Ok(done) = done {
                        self.done(done);
                    }
                }
                () = tokio::time::sleep(STEP) => {}
            }
        }
    }

    /// Starts the calls that are due.
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
            self.take(now, command);
        }
        self.propose(now);
        self.join(now);
        self.snapshot(now);
        self.read_vms(now);
        if !self.is_current {
            let readiness = self.reader.readiness(now, &self.state_machine, &peers);
            self.is_current = readiness == Readiness::Ready;
            self.publish(self.is_current);
        }
    }

    fn read(&mut self, now: Timestamp, from: u64) {
        let client = self.client.clone();
        self.calls.spawn(async move { Done::Read(now, client.read(from).await) });
    }

    fn fetch(&mut self, node: NodeId) {
        self.calls.spawn(async move {
            let state = rpc::fetch_state(node.addr).await;
            Done::Fetched(state.and_then(|doc| ConfigState::try_from(doc).ok()).map(Box::new))
        });
    }

    fn append(&mut self, id: Option<RequestId>, record: &Record) {
        let Ok(doc) = RecordDoc::try_from(record) else { return };
        let client = self.client.clone();
        self.calls.spawn(async move { Done::Appended(id, client.append(&doc).await) });
    }

    fn take(&mut self, now: Timestamp, command: Command) {
        match command {
            Command::Append(record) => self.append(None, &record),
            Command::Probe(server) => {
                let client = self.client.clone();
                self.calls.spawn(async move { Done::Probed(server, client.probe(server).await) });
            }
            Command::Propose { request_id, base, spec, reply } => {
                let options = ProposerOptions::default();
                let proposer =
                    Proposer::new(now, options, &self.state_machine, request_id, base, spec);
                self.proposals.push(Proposal { proposer, reply: Some(reply) });
            }
        }
    }

    fn propose(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        for proposal in &mut self.proposals {
            match proposal.proposer.poll(now, &self.state_machine) {
                ProposerAction::Append(record) => {
                    due.push((proposal.proposer.request_id(), record));
                }
                ProposerAction::Wait => {}
                ProposerAction::Done(answer) => {
                    if let Some(reply) = proposal.reply.take() {
                        let _ = reply.send(answer);
                    }
                }
            }
        }
        self.proposals.retain(|p| p.reply.is_some());
        for (id, record) in due {
            self.append(Some(id), &record);
        }
    }

    /// Records this node as a member, and again if another node has recorded that it left.
    fn join(&mut self, now: Timestamp) {
        let me = self.shared.id;
        let recorded = self.state_machine.members().contains_key(&me);
        let leaving = self.shared.leaving.load(Ordering::SeqCst);
        if recorded || leaving || self.read_at.is_none() || now < self.next_join {
            return;
        }
        self.next_join = now + JOIN_RETRY;
        let data_centre = self.shared.settings.data_centre.as_ref().into();
        self.append(None, &Record::MemberJoined { node: me, data_centre });
    }

    fn snapshot(&mut self, now: Timestamp) {
        // A node that has just started does not know yet who else would append one.
        if now.since(self.started) < SNAPSHOT_WAIT {
            return;
        }
        let view = self.shared.view.load();
        let me = self.shared.id;
        let usable = view.usable.iter().copied().chain([me]);
        if let Some(record) = self.reader.snapshot_due(now, &self.state_machine, me, usable) {
            log::info!(version = self.state_machine.version().0; "a snapshot is appended to the log");
            self.append(None, &record);
        }
    }

    fn read_vms(&mut self, now: Timestamp) {
        if self.shared.settings.vm_list.is_none() || now < self.next_vms {
            return;
        }
        self.next_vms = now + VM_POLL;
        let client = self.client.clone();
        self.calls.spawn(async move { Done::Vms(client.vms().await) });
    }

    fn done(&mut self, done: Done) {
        let now = self.shared.clock.now();
        match done {
            Done::Read(started, Ok(reply)) => self.page(now, started, &reply),
            Done::Read(_, Err(e)) => {
                if self.log_up {
                    log::warn!("{e}");
                }
                self.log_up = false;
                self.reader.record_failure(now);
                self.publish(true);
            }
            Done::Fetched(state) => {
                self.reader.apply_fetched(&mut self.state_machine, state.as_deref());
                self.publish(false);
            }
            Done::Appended(id, result) => self.appended(now, id, &result),
            Done::Vms(Ok(list)) => {
                let entries = list.into_iter().map(Into::into).collect();
                self.shared.events.push_over_oldest(Event::VmList(entries));
            }
            Done::Probed(server, draining) => {
                self.shared.events.push_over_oldest(Event::Probed(server, draining));
            }
            Done::Vms(Err(e)) => log::debug!("list of VMs: {e}"),
        }
    }

    fn page(&mut self, now: Timestamp, started: Timestamp, reply: &ReadReply) {
        let page = Page {
            first_retained: reply.first,
            next_offset: reply.next,
            records: reply.records.iter().map(|r| (r.offset, Arc::new(r.to_record()))).collect(),
        };
        for (offset, verdict) in self.reader.apply_page(now, &mut self.state_machine, &page) {
            log::debug!(offset = offset; "log record: {verdict:?}");
        }
        if self.state_machine.next_offset() >= page.next_offset {
            self.read_at = Some(started);
        }
        self.log_up = true;
        self.publish(true);
    }

    fn appended(
        &mut self,
        now: Timestamp,
        id: Option<RequestId>,
        result: &std::result::Result<u64, LogError>,
    ) {
        if let Err(e) = result {
            log::warn!("append: {e}");
        }
        let found = self.proposals.iter_mut().find(|p| Some(p.proposer.request_id()) == id);
        let Some(proposal) = found else { return };
        match result {
            Ok(offset) => proposal.proposer.appended(*offset),
            Err(_) => proposal.proposer.append_failed(now),
        }
    }

    /// Publishes the state if it has changed, and puts a new configuration in force.
    fn publish(&mut self, always: bool) {
        let next = self.state_machine.next_offset();
        if next == self.published && !always {
            return;
        }
        let old = self.shared.agreed.load();
        let unchanged = next == self.published;
        let state = match &old.state {
            Some(state) if unchanged => state.clone(),
            _ => self.state_machine.snapshot(),
        };
        self.published = next;
        let in_force = self.shared.active.load().as_ref().map_or(Version(0), |a| a.version);
        if let (true, Some(spec)) = (state.version > in_force, &state.spec) {
            self.shared.activate(state.version, spec.clone());
        }
        let (read_at, log_up, is_current) = (self.read_at, self.log_up, self.is_current);
        let now = self.shared.clock.now();
        self.gap_since = self.reader.in_gap().then(|| self.gap_since.unwrap_or(now));
        let in_gap = self.gap_since.is_some_and(|at| now.since(at) >= GAP_TIME);
        if in_gap && !old.in_gap {
            log::error!(next_offset = next; "the log has dropped records that this node has not read");
        } else if old.in_gap && !in_gap {
            log::info!(next_offset = next; "a snapshot or peer has replaced the dropped records");
        }
        metrics::gauge!("redwing_log_up").set(if log_up { 1.0 } else { 0.0 });
        metrics::gauge!("redwing_log_gap").set(if in_gap { 1.0 } else { 0.0 });
        let agreed = Agreed { state: Some(state), read_at, log_up, is_current, in_gap };
        self.shared.agreed.store(Arc::new(agreed));
    }
}
