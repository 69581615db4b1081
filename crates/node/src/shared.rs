//! The state of one process that its threads share.

use crate::{
    carriers::Carriers,
    clock::Clock,
    control::{view::ControlView, Event},
    error::{Error, Result},
    gate::Gate,
    handover::Incoming,
    homes::Homes,
    log_thread::{Agreed, Command},
    ring::Ring,
    settings::Settings,
};
use arc_swap::{ArcSwap, ArcSwapOption};
use redwingtrestle_core::{
    ids::{NodeId, RankName, ServiceName, StartId, Version},
    invariant,
    invariant::Invariant,
    process::{
        burn::{Burn, Ending, Report},
        heartbeat::NodeState,
    },
    time::Timestamp,
    version::{log_reader::Peers, routes::Routes, spec::Spec},
};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        atomic::{AtomicBool, AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::Duration,
};

/// How long a connection to a backend server may take. A new one takes about 1 ms, so a server that
/// needs longer than this is as good as unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long an idle connection is kept. It is below the keep-alive time of common servers, so that a
/// request is seldom written to a connection that the server is just closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// The events that may wait for the control thread: two ticks of 750 nodes at ten messages a second.
const EVENTS: usize = 4096;

/// The datagrams that may wait to be sent.
const OUTBOX: usize = 4096;

/// The work that may wait for the log thread; operators make 390 changes a day.
const COMMANDS: usize = 64;

/// `Active` is the configuration in force and what is derived from it.
#[derive(Debug)]
pub struct Active {
    /// The version in force.
    pub version: Version,
    /// The configuration.
    pub spec: Arc<Spec>,
    /// The route lookup.
    pub routes: Routes,
    /// When it came into force at this node.
    pub since: Timestamp,
}

/// `Shared` is what the threads of one node share.
#[derive(Debug)]
pub struct Shared {
    /// The settings of the process.
    pub settings: Settings,
    /// The clock of the process.
    pub clock: Clock,
    /// The identity of this start of the process.
    pub id: NodeId,
    /// The configuration in force; none before the first one is known.
    pub active: ArcSwapOption<Active>,
    /// The admission gates, one a service. They outlive versions, since requests are queued in them.
    pub gates: ArcSwap<HashMap<ServiceName, Arc<Gate>>>,
    /// The entry addresses to tell callers, this node's first.
    pub entries: ArcSwap<Vec<SocketAddr>>,
    /// The client for calls to backend servers and to other entry VMs.
    pub client: reqwest::Client,
    /// The keys whose home is this process.
    pub homes: Arc<Homes>,
    /// The entry addresses of the fleet's members, to which keyed requests may be forwarded.
    ///
    /// The membership view sets them. Until it does, every address that a key names is taken for a
    /// member's.
    pub known_entries: ArcSwapOption<HashSet<SocketAddr>>,
    /// The services that not every member carries, and who does.
    pub carriers: ArcSwap<HashMap<ServiceName, Arc<Carriers>>>,
    /// Whether a planned stop has begun.
    pub leaving: AtomicBool,
    /// Whether the planned stop takes no new work any more, apart from copies of known keys.
    pub closed: AtomicBool,
    /// The idempotency stores that leaving nodes are handing over to this one.
    pub handovers: Incoming,
    /// Whether a starting node may serve: it has the highest configuration of peers and log.
    pub ready: AtomicBool,
    /// What the log thread has agreed with every other reader of the log.
    pub agreed: ArcSwap<Agreed>,
    /// What the control thread says about other nodes to the log thread.
    pub peers: ArcSwap<Peers>,
    /// What the control thread knows, for operators.
    pub view: ArcSwap<ControlView>,
    /// Events for the control thread; a full ring drops the oldest.
    pub events: Ring<Event>,
    /// Datagrams to send; a full ring drops the newest.
    pub outbox: Ring<(SocketAddr, Vec<u8>)>,
    /// Work for the log thread; a full ring refuses.
    pub commands: Ring<Command>,
    /// The counts of ended requests, for burn reports.
    burn: Mutex<Burn>,
    in_flight: AtomicUsize,
}

impl Shared {
    /// Sets up the shared state of one process.
    pub fn new(settings: Settings) -> Result<Arc<Self>> {
        let client = reqwest::Client::builder()
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .retry(reqwest::retry::never())
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .tcp_nodelay(true)
            .build()
            .map_err(|e| Error::start("client", e.to_string()))?;
        let id = NodeId { addr: settings.peer_name(), start: StartId(rand::random()) };
        let clock = Clock::start();
        let entry = settings.entry_name();
        Ok(Arc::new(Shared {
            entries: ArcSwap::from_pointee(vec![entry]),
            homes: Homes::new(entry, id.start, clock.now()),
            known_entries: ArcSwapOption::empty(),
            carriers: ArcSwap::default(),
            settings,
            clock,
            id,
            active: ArcSwapOption::empty(),
            gates: ArcSwap::default(),
            client,
            leaving: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            handovers: Incoming::default(),
            ready: AtomicBool::new(false),
            agreed: ArcSwap::default(),
            peers: ArcSwap::default(),
            view: ArcSwap::default(),
            events: Ring::new("events", EVENTS),
            outbox: Ring::new("outbox", OUTBOX),
            commands: Ring::new("commands", COMMANDS),
            burn: Mutex::default(),
            in_flight: AtomicUsize::new(0),
        }))
    }

    /// Puts a configuration in force. Gates of services that remain are kept.
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
        let routes = Routes::new(&spec);
        self.active.store(Some(Arc::new(Active { version, spec, routes, since: now })));
        metrics::gauge!("redwing_config_version").set(version.0 as f64);
        log::info!(version = version.0; "configuration is in force");
    }

    fn burn(&self) -> MutexGuard<'_, Burn> {
        self.burn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request that has ended.
    pub fn record(&self, service: &ServiceName, rank: &RankName, ending: Ending) {
        self.burn().record(self.clock.now(), service, rank, ending);
    }

    /// Returns the counts of the requests that have ended at this node.
    pub fn burn_report(&self) -> Report {
        self.burn().report(self.clock.now())
    }

    /// Returns what this node says about its own state.
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
    pub fn enter(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        InFlight(self.clone())
    }

    /// Returns a prefix for a caller's next keys.
    ///
    /// There is none while the idempotency store is full or its generations are closed; callers then use a prefix
    /// of another entry.
    pub fn key_prefix(&self) -> Option<String> {
        self.homes.mint_prefix(self.clock.now())
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

/// Counts one request as in flight while it lives.
#[derive(Debug)]
pub struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
