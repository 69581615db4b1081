//! The state that the threads of a gateway process share.

use crate::{
    buffer_memory::BufferMemory, clock::Clock, header_names::HeaderNames, pool::ConnectionPool,
    quota_charge::QuotaCharge, settings::Settings, store::Stream,
};
use arc_swap::ArcSwapOption;
use rand::{rngs::StdRng, Rng, SeedableRng};
use redwingtrestle_core::{
    ids::{DataCentre, ServiceName, WorkspaceName},
    process::{
        cpu_share::CpuShare,
        crash_records::CrashRecords,
        health_estimate::HealthOptions,
        node_retry_budget::{FleetRetryOptions, NodeRetryBudget},
        peer_table::{NodeState, PeerTable, PeerTableOptions},
        picker::PickerOptions,
        registration::{Registration, ServerId},
        server_limit::NodeCounts,
        server_registry::{Change, RegistryOptions, ServerRegistry},
        stop_plan::PlannedStop,
        store_contact::StoreContacts,
        stream_position::{EraChange, StoreEra, StreamPosition},
        stream_watch::{StreamWatch, WatchRole},
        workspace_quota::{QuotaDecision, QuotaOptions, WorkspaceQuotas},
    },
    time::{Span, Timestamp},
    version::routing_config::{CallerLimits, RoutingConfig, RoutingConfigDoc},
};
use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
    },
};
use tokio::sync::{watch, Notify};

/// How long a node that other nodes did not serve with records watches the store itself.
const DIRECT_WATCH_TIME: Span = Span::from_secs(10);

/// The phase of the process's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process serves requests, or will once it has the configuration and the registrations.
    Running,
    /// A planned stop has begun: callers are directed to other entries, and new requests are still served.
    Leaving,
    /// No new connections are accepted, and each open one closes after its current request.
    Closing,
}

/// Waits for [`Phase::Closing`].
pub async fn wait_for_closing(phase: &mut watch::Receiver<Phase>) {
    // The sender lives as long as the process, so the wait cannot fail.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

/// The known state of servers and nodes. Its lock is held only for single decisions.
#[derive(Debug)]
pub struct Fleet {
    /// The backend servers.
    pub registry: ServerRegistry,
    /// The other nodes.
    pub peers: PeerTable,
    /// The requests under which servers ended.
    pub crash_records: CrashRecords,
    /// This node's parts of the retry budgets by service.
    pub retry_budgets: HashMap<ServiceName, NodeRetryBudget>,
    /// The watch of the registrations of servers.
    pub server_watch: StreamWatch,
    /// The watch of the configuration.
    pub config_watch: StreamWatch,
    /// The newest known era of the store.
    pub store_era: StoreEra,
    /// The newest contacts of the fleet with the store.
    pub store_contacts: StoreContacts,
    /// The moving average of the response size by route, in bytes.
    pub response_sizes: HashMap<Arc<str>, f64>,
    /// The random numbers for choosing servers and peers.
    pub rng: StdRng,
}

impl Fleet {
    /// Returns the newest known era of the store, 0 before the first response.
    pub fn era(&self) -> u64 {
        self.store_era.known().unwrap_or_default()
    }

    /// Returns whether this node is one of those that watch the store for its data centre.
    pub fn is_reader(&self, now: Timestamp) -> bool {
        self.peers.is_reader(now, self.era())
    }

    /// Returns the watch of a stream.
    pub fn watch(&mut self, stream: Stream) -> &mut StreamWatch {
        match stream {
            Stream::Configuration => &mut self.config_watch,
            Stream::Servers => &mut self.server_watch,
        }
    }

    /// Records that the store responded to a call for records of a stream. It counts as a contact of this node once both
    /// streams have responded.
    pub fn record_response(&mut self, now: Timestamp, stream: Stream) {
        self.watch(stream).record_response(now);
        let responses = (self.config_watch.last_response(), self.server_watch.last_response());
        if let (Some(config), Some(servers)) = responses {
            self.store_contacts.record_own(config.min(servers), &mut self.rng);
        }
    }

    /// Returns a random selection of the live nodes of this data centre, see [`PeerTable::nearby_peers`].
    pub fn nearby_peers(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        self.peers.nearby_peers(now, &mut self.rng)
    }

    /// Returns whether this node is one of those that call an unreachable store often.
    pub fn is_prober(&self, now: Timestamp) -> bool {
        self.peers.is_prober(now, self.era())
    }
}

/// The state of the process.
#[derive(Debug)]
pub struct Shared {
    /// The settings that were read at the start.
    pub settings: Settings,
    /// The header names of this deployment.
    pub header_names: HeaderNames,
    /// The clock, which includes suspensions of the machine.
    pub clock: Clock,
    /// When the process started.
    pub started: Timestamp,
    /// A random number that identifies this start of the process to other nodes.
    pub start_id: u64,
    /// The data centre of this VM.
    pub data_centre: DataCentre,
    /// The weights for choosing servers.
    pub picker_options: PickerOptions,
    /// The configuration in force.
    pub routing_config: ArcSwapOption<RoutingConfig>,
    /// The limit on the heads of requests in bytes, for connections that are open when it changes.
    pub head_limit: watch::Sender<usize>,
    /// The pool of idle connections to backend servers.
    pub pool: ConnectionPool,
    /// The memory for collected responses.
    pub response_memory: Arc<BufferMemory>,
    /// The memory for request bodies that are collected.
    pub request_memory: Arc<BufferMemory>,
    /// The phase of the process.
    pub phase: watch::Sender<Phase>,
    /// Wakes requests that wait for a server or for the first configuration.
    pub changed: Notify,
    /// Wakes the gossip task to report a failure at once.
    pub report_now: Notify,
    /// Restarts the current calls to the store.
    pub restart_calls: Notify,
    /// Wakes the gossip task to send this node's status after new records from the store.
    pub store_updates: Notify,
    /// The time until which this node watches the store itself, because it does not get new state from others.
    pub watch_until: Mutex<Option<Timestamp>>,
    /// Whether the configuration in force may lack workspaces, as it comes from a node of an older version.
    has_partial_config: AtomicBool,
    planned_stop: OnceLock<PlannedStop>,
    open_requests: AtomicUsize,
    open_connections: AtomicUsize,
    fleet: Mutex<Fleet>,
    /// The quotas of workspaces. It has a lock of its own, since a report of a peer may have many rows.
    quotas: Mutex<WorkspaceQuotas>,
}

impl Shared {
    /// Creates the state of a process without configuration, servers and peers.
    pub fn new(settings: Settings, header_names: HeaderNames) -> Self {
        let data_centre = DataCentre::from(settings.data_centre.as_str());
        let picker_options = PickerOptions {
            focus: settings.focus,
            even_cost: settings.even_cost,
            late_cost: settings.late_cost,
            zone_cost_mb: settings.zone_cost_mb,
            floor: settings.floor_share,
        };
        let health = HealthOptions {
            onset_per_s: settings.onset_per_s,
            recovery_per_s: settings.recovery_per_s,
            ..HealthOptions::default()
        };
        let peer_options = PeerTableOptions {
            cpu_share: CpuShare::from_cores(settings.cpu_share),
            ..PeerTableOptions::default()
        };
        let (clock, start_id) = (Clock::start(), rand::random::<u64>());
        let quota_options = QuotaOptions { over: settings.quota_over, slack: settings.quota_slack };
        let fleet = Fleet {
            registry: ServerRegistry::new(RegistryOptions { health, ..RegistryOptions::default() }),
            peers: PeerTable::new(peer_options, settings.peer, data_centre.clone()),
            crash_records: CrashRecords::default(),
            retry_budgets: HashMap::new(),
            server_watch: StreamWatch::default(),
            config_watch: StreamWatch::default(),
            store_era: StoreEra::default(),
            store_contacts: StoreContacts::new(clock.now(), start_id as u32),
            response_sizes: HashMap::new(),
            rng: StdRng::from_os_rng(),
        };
        Shared {
            header_names,
            clock,
            started: clock.now(),
            start_id,
            data_centre,
            picker_options,
            routing_config: ArcSwapOption::empty(),
            head_limit: watch::Sender::new(CallerLimits::default().head),
            pool: ConnectionPool::default(),
            response_memory: Arc::new(BufferMemory::for_vm(settings.memory_mb)),
            request_memory: Arc::new(BufferMemory::for_vm(settings.memory_mb)),
            phase: watch::Sender::new(Phase::Running),
            changed: Notify::new(),
            report_now: Notify::new(),
            restart_calls: Notify::new(),
            store_updates: Notify::new(),
            watch_until: Mutex::new(None),
            has_partial_config: AtomicBool::new(false),
            planned_stop: OnceLock::new(),
            open_requests: AtomicUsize::new(0),
            open_connections: AtomicUsize::new(0),
            fleet: Mutex::new(fleet),
            quotas: Mutex::new(WorkspaceQuotas::new(clock.now(), quota_options)),
            settings,
        }
    }

    /// Returns the current time of [`clock`](Self::clock).
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Locks the known state of servers and nodes.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the quotas of workspaces.
    pub fn quotas(&self) -> MutexGuard<'_, WorkspaceQuotas> {
        self.quotas.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the configuration may be out of date, so that an unknown route or key may exist by now: the store
    /// cannot be reached and no other node is heard.
    pub fn has_outdated_config(&self, now: Timestamp) -> bool {
        let fleet = self.fleet();
        fleet.config_watch.is_failing() && fleet.peers.live_count(now) == 1
    }

    /// Returns the state that this node reports to other nodes and to the platform.
    pub fn node_state(&self) -> NodeState {
        if *self.phase.borrow() != Phase::Running {
            return NodeState::Stopping;
        }
        let is_known = self.fleet().server_watch.position().is_some();
        if is_known && self.routing_config.load().is_some() {
            NodeState::Ready
        } else {
            NodeState::Starting
        }
    }

    /// Returns whether this node watches the store itself.
    pub fn is_reader(&self) -> bool {
        let now = self.now();
        let watch_until = *self.watch_until.lock().unwrap_or_else(PoisonError::into_inner);
        watch_until.is_some_and(|until| now < until) || self.fleet().is_reader(now)
    }

    /// Returns whether this node is the one that writes to the store for the whole fleet.
    pub fn is_writer(&self) -> bool {
        self.fleet().peers.is_writer(self.now())
    }

    /// Returns how this node watches a stream.
    pub fn watch_role(&self, stream: Stream) -> WatchRole {
        let usual = match (self.is_writer(), self.is_reader()) {
            (true, _) => WatchRole::Writer,
            (false, true) => WatchRole::Reader,
            (false, false) => WatchRole::Follower,
        };
        let now = self.now();
        let mut fleet = self.fleet();
        let is_overdue = fleet.store_contacts.is_overdue(now);
        fleet.watch(stream).role(now, is_overdue, usual)
    }

    /// Makes this node watch the store itself for [`DIRECT_WATCH_TIME`].
    pub fn watch_directly(&self) {
        let until = self.now() + DIRECT_WATCH_TIME;
        *self.watch_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }

    /// Returns the version of the configuration in force, 0 before the first.
    pub fn config_version(&self) -> u64 {
        self.routing_config.load().as_ref().map_or(0, |config| config.version())
    }

    /// Puts a configuration in force if it is newer than the current one or completes it, and returns whether it does.
    pub fn apply_config(&self, doc: &RoutingConfigDoc, source: &str) -> bool {
        let known = self.config_version();
        let completes = doc.version == known && self.has_partial_config.load(Ordering::SeqCst);
        let is_taken = doc.version > known || completes;
        if is_taken {
            self.has_partial_config.store(false, Ordering::SeqCst);
            self.put_in_force(doc, known, source);
        }
        is_taken
    }

    /// Puts a configuration in force that may lack workspaces, if it is newer than the current one. The same version from
    /// another source replaces it.
    pub fn apply_partial_config(&self, doc: &RoutingConfigDoc) {
        let known = self.config_version();
        if doc.version > known {
            self.has_partial_config.store(true, Ordering::SeqCst);
            self.put_in_force(doc, known, "peer of an older version");
        }
    }

    fn put_in_force(&self, doc: &RoutingConfigDoc, known: u64, source: &str) {
        let quotas = WorkspaceQuotas::quotas_of(doc);
        self.routing_config.store(Some(Arc::new(RoutingConfig::new(doc.clone()))));
        self.quotas().set_quotas(self.now(), quotas);
        let head = doc.limits.head;
        self.head_limit.send_if_modified(|limit| std::mem::replace(limit, head) != head);
        metrics::gauge!("redwing_gateway_config_version").set(doc.version as f64);
        log::info!(target: "configuration", version = doc.version, before = known,
            routes = doc.routes.len(), source; "a new configuration is in force");
        self.changed.notify_waiters();
    }

    /// Applies one registration record. `None` ends the registration.
    pub fn apply_registration(
        &self,
        id: &ServerId,
        position: StreamPosition,
        registration: Option<Registration>,
        source: &str,
    ) {
        let change = self.fleet().registry.apply_record(self.now(), id, position, registration);
        self.log_change(id, position, change, source);
    }

    /// Applies a snapshot of all registrations up to the position `end`.
    pub fn apply_registrations(
        &self,
        end: StreamPosition,
        records: Vec<(Registration, StreamPosition)>,
        source: &str,
    ) {
        let changes = self.fleet().registry.apply_snapshot(self.now(), end, records);
        for (id, change) in changes {
            self.log_change(&id, end, change, source);
        }
    }

    /// Records the era of a response of the store, or of a position from a peer.
    ///
    /// In a new era offsets were given out again, so all streams are read from snapshots, and calls that wait at an old
    /// offset are repeated.
    pub fn observe_era(
        &self,
        era: u64,
        source: &str,
        position: Option<StreamPosition>,
    ) -> EraChange {
        let mut fleet = self.fleet();
        let change = fleet.store_era.observe(era);
        let known = fleet.server_watch.position();
        match change {
            EraChange::Current => {}
            EraChange::Restored { before } => {
                fleet.server_watch.mark_expired();
                fleet.config_watch.mark_expired();
                drop(fleet);
                log::warn!(target: "store", era, before, known:? = known, position:? = position, source;
                    "the store was restored from an older copy, reading all streams again");
                self.restart_calls.notify_waiters();
            }
            EraChange::Outdated { known } => {
                log::warn!(target: "store", era, known, position:? = position, source;
                    "a response of an earlier era of the store is ignored");
                return change;
            }
        }
        metrics::gauge!("redwing_store_era").set(era as f64);
        change
    }

    fn log_change(&self, id: &ServerId, position: StreamPosition, change: Change, source: &str) {
        let StreamPosition { era, offset } = position;
        if matches!(change, Change::Nothing | Change::Updated) {
            return;
        }
        if change == Change::Refused {
            log::warn!(target: "servers", server = id.as_str(), era, position = offset, source;
                "an older record of a draining or ended server is refused after a restore of the store");
            return;
        }
        if matches!(change, Change::Draining | Change::Ended | Change::Joined) {
            self.pool.close_idle(id);
        }
        log::info!(target: "servers", server = id.as_str(), change:? = change, era, position = offset,
            source;
            "the registration of a server changed");
        self.changed.notify_waiters();
    }

    /// Charges a request to the quota of its workspace.
    ///
    /// # Errors
    ///
    /// Returns how long the caller should wait, if the quota is used up.
    pub fn charge_quota(
        self: &Arc<Self>,
        workspace: &WorkspaceName,
    ) -> Result<Option<QuotaCharge>, Span> {
        let tag = workspace.tag();
        let draw = self.fleet().rng.random();
        let decision = self.quotas().charge(self.now(), tag, draw);
        let result: &'static str = decision.into();
        metrics::counter!("redwing_quota_requests_total", "result" => result).increment(1);
        match decision {
            QuotaDecision::Unlimited => Ok(None),
            QuotaDecision::Admitted => Ok(Some(QuotaCharge::new(self.clone(), tag))),
            QuotaDecision::Refused { wait, is_first } => {
                if is_first {
                    self.log_quota(workspace, tag, wait);
                }
                Err(wait)
            }
        }
    }

    fn log_quota(&self, workspace: &WorkspaceName, tag: u64, wait: Span) {
        let level = self.quotas().level(self.now(), tag);
        log::warn!(target: "quotas", workspace = workspace.as_str(), tokens = level.map(|l| l.tokens),
            demand = level.map(|l| l.demand), wait_ms = wait.as_millis();
            "requests of a workspace exceed its quota and are refused");
    }

    /// Counts a request of a service for its retry budget.
    pub fn count_request(&self, service: &ServiceName) {
        let now = self.now();
        self.with_budget(service, |budget, nodes| budget.record_request(now, nodes));
    }

    /// Returns whether this node's share of the service's retry budget allows a retry, and charges it if so.
    pub fn try_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.with_budget(service, |budget, nodes| budget.try_retry(now, nodes))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        run: impl FnOnce(&mut NodeRetryBudget, NodeCounts) -> T,
    ) -> T {
        let mut fleet = self.fleet();
        let nodes = fleet.peers.node_counts(self.now());
        let settings = &self.settings;
        let budget = fleet.retry_budgets.entry(service.clone()).or_insert_with(|| {
            let options = FleetRetryOptions {
                ratio: settings.retry_ratio,
                floor: settings.retry_floor,
                window: settings.retry_window,
            };
            NodeRetryBudget::new(self.started, options)
        });
        run(budget, nodes)
    }

    /// Records that a planned stop begins. A process stops only once.
    pub fn begin_stop(&self, stop: PlannedStop) {
        self.planned_stop.get_or_init(|| stop);
    }

    /// Returns the planned stop in progress.
    pub fn planned_stop(&self) -> Option<&PlannedStop> {
        self.planned_stop.get()
    }

    /// Counts a request as open until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> OpenRequestGuard {
        self.open_requests.fetch_add(1, Ordering::SeqCst);
        OpenRequestGuard(self.clone())
    }

    /// Returns the number of open requests.
    pub fn open_count(&self) -> usize {
        self.open_requests.load(Ordering::SeqCst)
    }

    /// Counts a caller's connection as open until the guard is dropped.
    pub fn track_connection(self: &Arc<Self>) -> OpenConnectionGuard {
        self.open_connections.fetch_add(1, Ordering::SeqCst);
        OpenConnectionGuard(self.clone())
    }

    /// Returns the number of callers' connections that are open.
    pub fn connection_count(&self) -> usize {
        self.open_connections.load(Ordering::SeqCst)
    }
}

/// Counts a request as open until dropped.
#[derive(Debug)]
pub struct OpenRequestGuard(Arc<Shared>);

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a caller's connection as open until dropped.
#[derive(Debug)]
pub struct OpenConnectionGuard(Arc<Shared>);

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.open_connections.fetch_sub(1, Ordering::SeqCst);
    }
}
