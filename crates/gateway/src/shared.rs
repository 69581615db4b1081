//! The state of a gateway process that its threads share.

use crate::{clock::Clock, dialect::Dialect, pool::Pool, settings::Settings};
use arc_swap::ArcSwapOption;
use rand::{rngs::StdRng, SeedableRng};
use redwingtrestle_core::{
    ids::{DataCentre, ServiceName},
    process::{
        health_estimate::HealthOptions,
        peer_table::{NodeState, PeerTable, PeerTableOptions},
        picker::PickerOptions,
        registration::{Registration, ServerId},
        server_registry::{Change, RegistryOptions, ServerRegistry},
        stream_watch::StreamWatch,
    },
    request::retry::{RetryBudget, RetryOptions},
    time::{Span, Timestamp},
    version::routing_config::{RoutingConfig, RoutingConfigDoc},
};
use std::{
    collections::HashMap,
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
};
use tokio::sync::{watch, Notify};

/// `Phase` is how far the process is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Running; whether it is ready follows from what it knows.
    Running,
    /// A planned stop has begun: callers are sent elsewhere, and whatever comes is still served.
    Leaving,
    /// No new connections are taken, and each open one ends with its request.
    Closing,
}

/// Waits until the process closes its entry.
pub async fn closing(phase: &mut watch::Receiver<Phase>) {
    // The sender lives as long as the process, so the wait cannot fail.
    let _ = phase.wait_for(|phase| *phase == Phase::Closing).await;
}

/// `Fleet` is what is known of servers and nodes; its lock is held for single decisions only.
#[derive(Debug)]
pub struct Fleet {
    /// The backend servers.
    pub registry: ServerRegistry,
    /// The other nodes.
    pub peers: PeerTable,
    /// The resend budgets by service.
    pub budgets: HashMap<ServiceName, RetryBudget>,
    /// How far the registrations of servers are known.
    pub servers: StreamWatch,
    /// How far the configuration is known.
    pub configuration: StreamWatch,
    /// The bytes that requests of a route and their answers usually have.
    pub sizes: HashMap<Arc<str>, f64>,
    /// The random numbers of choices.
    pub rng: StdRng,
}

/// `Shared` is the state of the process.
#[derive(Debug)]
pub struct Shared {
    /// The settings of the start.
    pub settings: Settings,
    /// The names of this deployment.
    pub dialect: Dialect,
    /// The clock.
    pub clock: Clock,
    /// A number drawn at the start.
    pub start: u64,
    /// The data centre of this VM.
    pub zone: DataCentre,
    /// How servers are chosen.
    pub picker: PickerOptions,
    /// The configuration in force.
    pub routing_config: ArcSwapOption<RoutingConfig>,
    /// The open connections to backend servers.
    pub pool: Pool,
    /// The phase of the process.
    pub phase: watch::Sender<Phase>,
    /// Wakes requests that wait for a server.
    pub changed: Notify,
    /// Wakes the sender of reports at a bad observation.
    pub urgent: Notify,
    /// Wakes the followers of the store, so that they read again at once.
    pub refresh: Notify,
    /// Wakes the sender of this node's state after news from the store.
    pub news: Notify,
    /// Until when this node follows the store although others do, as it cannot learn from them.
    pub alone: Mutex<Option<Timestamp>>,
    open: AtomicUsize,
    fleet: Mutex<Fleet>,
}

impl Shared {
    /// Makes the state of a process that knows nothing yet.
    pub fn new(settings: Settings, dialect: Dialect) -> Self {
        let zone = DataCentre::from(settings.data_centre.as_str());
        let picker = PickerOptions {
            focus: settings.focus,
            even: settings.even_cost,
            late: settings.late_cost,
            zone_mb: settings.zone_cost_mb,
            floor: settings.floor_share,
        };
        let health = HealthOptions {
            onset: settings.onset_per_s,
            recovery: settings.recovery_per_s,
            ..HealthOptions::default()
        };
        let fleet = Fleet {
            registry: ServerRegistry::new(RegistryOptions { health, ..RegistryOptions::default() }),
            peers: PeerTable::new(PeerTableOptions::default(), settings.peer, zone.clone()),
            budgets: HashMap::new(),
            servers: StreamWatch::default(),
            configuration: StreamWatch::default(),
            sizes: HashMap::new(),
            rng: StdRng::from_os_rng(),
        };
        Shared {
            dialect,
            clock: Clock::start(),
            start: rand::random(),
            zone,
            picker,
            routing_config: ArcSwapOption::empty(),
            pool: Pool::default(),
            phase: watch::Sender::new(Phase::Running),
            changed: Notify::new(),
            urgent: Notify::new(),
            refresh: Notify::new(),
            news: Notify::new(),
            alone: Mutex::new(None),
            open: AtomicUsize::new(0),
            fleet: Mutex::new(fleet),
            settings,
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Locks what is known of servers and nodes.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what this node says of itself to other nodes and to the platform.
    pub fn state(&self) -> NodeState {
        if *self.phase.borrow() != Phase::Running {
            return NodeState::Stopping;
        }
        let is_known = self.fleet().servers.position().is_some();
        if is_known && self.routing_config.load().is_some() {
            NodeState::Ready
        } else {
            NodeState::Starting
        }
    }

    /// Returns whether this node follows the store itself.
    pub fn is_reader(&self) -> bool {
        let now = self.now();
        let alone = *self.alone.lock().unwrap_or_else(PoisonError::into_inner);
        alone.is_some_and(|until| now < until) || self.fleet().peers.is_reader(now)
    }

    /// Returns whether this node writes to the store for the whole fleet.
    pub fn is_writer(&self) -> bool {
        self.fleet().peers.is_writer(self.now())
    }

    /// Makes this node follow the store itself for a while.
    pub fn read_alone(&self, time: Span) {
        *self.alone.lock().unwrap_or_else(PoisonError::into_inner) = Some(self.now() + time);
    }

    /// Puts a configuration in force if it is newer than the one that is, and returns whether it was.
    pub fn install(&self, doc: &RoutingConfigDoc, source: &str) -> bool {
        let known = self.routing_config.load().as_ref().map_or(0, |c| c.version());
        if doc.version <= known {
            return false;
        }
        self.routing_config.store(Some(Arc::new(RoutingConfig::new(doc.clone()))));
        metrics::gauge!("redwing_gateway_config_version").set(doc.version as f64);
        log::info!(target: "configuration", version = doc.version, before = known,
            routes = doc.routes.len(), source; "configuration in force");
        self.changed.notify_waiters();
        true
    }

    /// Takes one registration record.
    pub fn register(
        &self,
        id: &ServerId,
        position: u64,
        entry: Option<Registration>,
        source: &str,
    ) {
        let change = self.fleet().registry.record(self.now(), id, position, entry);
        self.log_change(id, position, change, source);
    }

    /// Takes a snapshot of all registrations.
    pub fn register_all(&self, end: u64, records: Vec<(Registration, u64)>, source: &str) {
        let changes = self.fleet().registry.snapshot(self.now(), end, records);
        for (id, change) in changes {
            self.log_change(&id, end, change, source);
        }
    }

    fn log_change(&self, id: &ServerId, position: u64, change: Change, source: &str) {
        if matches!(change, Change::Nothing | Change::Updated) {
            return;
        }
        if matches!(change, Change::Draining | Change::Ended | Change::Joined) {
            self.pool.forget(id);
        }
        log::info!(target: "servers", server = id.as_str(), change:? = change, position, source;
            "registration changed");
        self.changed.notify_waiters();
    }

    /// Counts the first send of a request of a service.
    pub fn count_request(&self, service: &ServiceName) {
        let now = self.now();
        self.with_budget(service, now, |budget| budget.request(now));
    }

    /// Takes one resend of a service from this node's part of the budget.
    pub fn try_resend(&self, service: &ServiceName) -> bool {
        let now = self.now();
        self.with_budget(service, now, |budget| budget.try_resend(now))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        now: Timestamp,
        run: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut fleet = self.fleet();
        // The part that does not depend on the requests is shared by all nodes. A node that hears nobody cannot know
        // how many there are, so it assumes a large fleet.
        let nodes = match fleet.peers.size(now) {
            1 => LONE_FLEET,
            nodes => nodes as u64,
        };
        let settings = &self.settings;
        let budget = fleet.budgets.entry(service.clone()).or_insert_with(|| {
            RetryBudget::new(RetryOptions {
                percent: (settings.retry_ratio * RATIO_USED * 100.0) as u64,
                window: Span::from_secs(settings.retry_window_s),
                floor: 0,
                extra: 0,
            })
        });
        budget.set_extra((settings.retry_floor as f64 * RATIO_USED) as u64 / nodes);
        run(budget)
    }

    /// Counts a request that is being served, until the guard is dropped.
    pub fn open(self: &Arc<Self>) -> OpenGuard {
        self.open.fetch_add(1, Ordering::SeqCst);
        OpenGuard(self.clone())
    }

    /// Returns the number of requests that are being served.
    pub fn open_count(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }
}

/// The nodes that a node assumes when it hears no other one.
const LONE_FLEET: u64 = 30;

/// The part of the resend budget that nodes use. The rest covers that the windows of the nodes do not begin together.
const RATIO_USED: f64 = 0.85;

/// `OpenGuard` counts a request as open while it lives.
#[derive(Debug)]
pub struct OpenGuard(Arc<Shared>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}
