//! The state that the threads of a process share.

use crate::{
    carriers::Carriers,
    clock::Clock,
    control::{view::ControlView, Event},
    error::{Error, Result},
    gate::Gate,
    handover::IncomingHandovers,
    homes::LocalHome,
    log_thread::{Command, LogView},
    ring::Ring,
    settings::Settings,
};
use arc_swap::{ArcSwap, ArcSwapOption};
use redwingtrestle_core::{
    ids::{NodeId, RankName, ServerAddr, ServiceName, StartId, Version},
    invariant,
    invariant::Invariant,
    process::{
        burn::{BurnCounter, CallerOutcome, Report},
        heartbeat::NodeState,
        response_proof::ResponseProof,
        stop_plan::PlannedStop,
    },
    time::Timestamp,
    version::{log_reader::PeerSummary, routes::Routes, spec::Spec},
};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
    },
    time::Duration,
};
use tokio::sync::watch;

/// The timeout for opening a connection to a backend server. This normally takes about 1 ms, so a server that
/// needs longer than the timeout counts as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Idle connections are closed after this time. It is shorter than the keep-alive time of common servers, so
/// a request is rarely written to a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The capacity for events to the control thread: two ticks of 750 nodes at ten messages per second each.
const EVENT_CAPACITY: usize = 4096;

/// The capacity for datagrams that wait to be sent.
const OUTBOX_CAPACITY: usize = 4096;

/// The capacity for commands to the log thread. Operators make 390 changes per day.
const COMMAND_CAPACITY: usize = 64;

/// The configuration in force, with data derived from it.
#[derive(Debug)]
pub struct ActiveConfig {
    /// Its version.
    pub version: Version,
    /// Its content.
    pub spec: Arc<Spec>,
    /// The lookup table of its routes.
    pub routes: Routes,
    /// The time at which it came into force at this node.
    pub since: Timestamp,
}

/// The state that the threads of one node share.
#[derive(Debug)]
pub struct Shared {
    /// The settings of the process.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// The identity of this node, which is new at every start of the process.
    pub id: NodeId,
    /// The configuration in force, or `None` before the first one is known.
    pub active: ArcSwapOption<ActiveConfig>,
    /// The admission gate of each service. A gate stays when a new version comes into force, because requests
    /// are queued in it.
    pub gates: ArcSwap<HashMap<ServiceName, Arc<Gate>>>,
    /// The entry addresses for callers. While this node serves, its own is the first.
    pub entries: ArcSwap<Vec<SocketAddr>>,
    /// The HTTP client for requests to other entry VMs, and to backend servers that get kept connections.
    pub client: reqwest::Client,
    /// The HTTP client that opens a connection for each request and keeps none.
    pub unpooled_client: reqwest::Client,
    /// What the responses of backend servers prove.
    response_proof: Mutex<ResponseProof>,
    /// The idempotency store for the keys whose home is this process.
    pub local_home: Arc<LocalHome>,
    /// The entry addresses of the fleet's members, to which keyed requests may be forwarded.
    ///
    /// The control thread sets them. While they are `None`, every address in a key counts as a member's.
    pub known_entries: ArcSwapOption<HashSet<SocketAddr>>,
    /// The carriers of each service that not every member carries.
    pub carriers: ArcSwap<HashMap<ServiceName, Arc<Carriers>>>,
    /// Whether a planned stop has begun.
    pub leaving: AtomicBool,
    /// Whether the planned stop no longer accepts new requests, except copies with known keys.
    pub closed: AtomicBool,
    /// The times of the planned stop, once it has begun and if its duration is bounded.
    pub planned_stop: OnceLock<PlannedStop>,
    /// Whether the time for open requests of the planned stop has passed.
    pub stop_end: watch::Sender<bool>,
    /// The incomplete handovers of idempotency records from leaving nodes.
    pub incoming_handovers: IncomingHandovers,
    /// Whether the node has finished its start and may serve; the control thread sets it.
    pub ready: AtomicBool,
    /// The state that the log thread has read, which is the same for all readers of the log.
    pub log_view: ArcSwap<LogView>,
    /// What the control thread knows about peers, for the log thread.
    pub peers: ArcSwap<PeerSummary>,
    /// The state that the control thread publishes, for forwarding and for operators.
    pub view: ArcSwap<ControlView>,
    /// Events for the control thread. A full ring drops its oldest event.
    pub events: Ring<Event>,
    /// Datagrams to send. A full ring drops the new datagram.
    pub outbox: Ring<(SocketAddr, Vec<u8>)>,
    /// Commands for the log thread. A full ring rejects the new command.
    pub commands: Ring<Command>,
    /// The counts of ended requests, for reports of the error budget's burn rate.
    burn: Mutex<BurnCounter>,
    in_flight: AtomicUsize,
}

impl Shared {
    /// Creates the shared state of a process. Fails if the HTTP client cannot be created.
    pub fn new(settings: Settings) -> Result<Arc<Self>> {
        let client = build_client(usize::MAX)?;
        let unpooled_client = build_client(0)?;
        let id = NodeId { addr: settings.peer_address(), start: StartId(rand::random()) };
        let clock = Clock::start();
        let entry = settings.entry_address();
        Ok(Arc::new(Shared {
            entries: ArcSwap::from_pointee(vec![entry]),
            local_home: LocalHome::new(entry, id.start, clock.now()),
            known_entries: ArcSwapOption::empty(),
            carriers: ArcSwap::default(),
            settings,
            clock,
            id,
            active: ArcSwapOption::empty(),
            gates: ArcSwap::default(),
            client,
            unpooled_client,
            response_proof: Mutex::default(),
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            planned_stop: OnceLock::new(),
            stop_end: watch::Sender::new(false),
            incoming_handovers: IncomingHandovers::default(),
            ready: AtomicBool::new(false),
            log_view: ArcSwap::default(),
            peers: ArcSwap::default(),
            view: ArcSwap::default(),
            events: Ring::new("events", EVENT_CAPACITY),
            outbox: Ring::new("outbox", OUTBOX_CAPACITY),
            commands: Ring::new("commands", COMMAND_CAPACITY),
            burn: Mutex::default(),
            in_flight: AtomicUsize::new(0),
        }))
    }

    /// Puts a configuration in force. The gates of services that still exist are kept where possible.
    pub fn activate(&self, version: Version, spec: Arc<Spec>) {
        let in_force = self.active.load().as_ref().map_or(Version(0), |a| a.version);
        invariant!(
            Invariant::VersionOrder,
            version > in_force,
            "version {version} would replace version {in_force}"
        );
        let now = self.clock.now();
        let old = self.gates.load();
        let gates = spec.services.iter().map(|(name, service)| {
            let kept = old
                .get(name)
                .filter(|gate| gate.configure(now, version, service, &spec.drains))
                .cloned();
            let gate = kept.unwrap_or_else(|| {
                let control = self.events.waker();
                Arc::new(Gate::new(self.clock, version, service, rand::random(), control))
            });
            (name.clone(), gate)
        });
        let gates: HashMap<ServiceName, Arc<Gate>> = gates.collect();
        let replaced = |name: &ServiceName, gate: &Arc<Gate>| {
            gates.get(name).is_none_or(|new| !Arc::ptr_eq(new, gate))
        };
        let closed: Vec<Arc<Gate>> =
            old.iter().filter(|(n, g)| replaced(n, g)).map(|(_, g)| g.clone()).collect();
        self.gates.store(Arc::new(gates));
        for gate in closed {
            gate.close();
        }
        self.burn().configure(version, &spec);
        let addrs = spec.services.values().flat_map(|s| &s.servers).map(|s| s.addr);
        let listed: HashSet<ServerAddr> = addrs.collect();
        self.response_proof().retain(|server| listed.contains(&server));
        let routes = Routes::new(&spec);
        self.active.store(Some(Arc::new(ActiveConfig { version, spec, routes, since: now })));
        metrics::gauge!("redwing_config_version").set(version.0 as f64);
        log::info!(version = version.0; "configuration is in force");
    }

    /// Returns what the responses of backend servers prove.
    pub fn response_proof(&self) -> MutexGuard<'_, ResponseProof> {
        self.response_proof.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn burn(&self) -> MutexGuard<'_, BurnCounter> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts an ended request, for [`burn_report`](Self::burn_report).
    pub fn record_caller_outcome(
        &self,
        service: &ServiceName,
        rank: &RankName,
        outcome: CallerOutcome,
    ) {
        self.burn().record(self.clock.now(), service, rank, outcome);
    }

    /// Returns the counts of the requests that have ended at this node.
    pub fn burn_report(&self) -> Report {
        self.burn().report(self.clock.now())
    }

    /// Returns the state that this node reports about itself.
    pub fn node_state(&self) -> NodeState {
        if self.leaving.load(Ordering::SeqCst) {
            NodeState::Leaving
        } else if self.ready.load(Ordering::SeqCst) {
            NodeState::Serving
        } else {
            NodeState::Starting
        }
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn start_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.clone())
    }

    /// Returns a prefix for a caller's next keys.
    ///
    /// Returns `None` while the idempotency store is full or its generations are closed. Callers then use a
    /// prefix of another entry.
    pub fn key_prefix(&self) -> Option<String> {
        self.local_home.mint_prefix(self.clock.now())
    }

    /// Returns whether a keyed request may be forwarded to this entry address.
    pub fn is_known_entry(&self, entry: SocketAddr) -> bool {
        self.known_entries.load().as_ref().is_none_or(|known| known.contains(&entry))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }
}

/// Returns an HTTP client that keeps at most this many idle connections to each address.
fn build_client(max_idle: usize) -> Result<reqwest::Client> {
    reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .retry(reqwest::retry::never())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(max_idle)
        .tcp_nodelay(true)
        .build()
        .map_err(|e| Error::start("client", e.to_string()))
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard(Arc<Shared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
