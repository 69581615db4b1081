//! One soak run: processes, backend servers and callers, and a random series of changes and faults.

use super::{
    caller::{Caller, NodeEndpoints},
    checks::{self, Draining, RouteHistory},
    events::Event,
    link::Link,
    process::{fleet_ips, Node},
    record::Record,
    server::Server,
};
use rand::{rngs::StdRng, seq::IteratorRandom, Rng, SeedableRng};
use redwingtrestle_core::{
    time::Span,
    version::routing_config::{
        CallerLimits, HostRoute, RepeatPolicy, RoutingConfigDoc, ServiceRule, WeightedService,
    },
};
use redwingtrestle_platform_fakes::store::Store;
use std::{
    net::{IpAddr, Ipv4Addr},
    path::{Path, PathBuf},
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc, Mutex, MutexGuard, PoisonError,
    },
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Time limit for all processes to become ready. It is long because other processes share the machine.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Requests may still fail for this long after the last fault.
const RECOVERY: Duration = Duration::from_secs(4);

/// After the recovery, requests must be served for this long.
const SERVING_TIME: Duration = Duration::from_secs(2);

/// The share of requests that must be served after the recovery.
const MIN_SERVED_SHARE: f64 = 0.97;

/// The pause between the starts of two events, in milliseconds.
const EVENT_PAUSE_MS: std::ops::Range<u64> = 20..300;

/// The last octets of the servers' addresses.
const FIRST_SERVER_OCTET: u8 = 100;
const SERVER_OCTETS: usize = 100;

/// The size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub nodes: u8,
    pub servers: usize,
    pub callers: usize,
    /// Faults are injected for this long.
    pub time: Duration,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// A description of each violated guarantee.
    pub violations: Vec<String>,
    /// The number of requests of all callers, without those whose caller disconnected.
    pub sent: usize,
    /// The share of these requests that was served.
    pub served: f64,
}

/// The state of a run that events change.
#[derive(Debug)]
pub struct RunState {
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    route_history: RouteHistory,
    pub drainings: Vec<Draining>,
    version: u64,
    last_server_id: usize,
    pub rng: StdRng,
}

/// A soak run with its processes, servers and records.
#[derive(Debug)]
pub struct SoakRun {
    size: Size,
    pub(super) store: Store,
    pub(super) record: Arc<Record>,
    state: Mutex<RunState>,
    pub(super) client: reqwest::Client,
    folder: PathBuf,
}

impl SoakRun {
    /// Starts the store, all servers and all nodes, and waits until the nodes are ready.
    pub async fn start(seed: u64, size: Size, folder: &Path) -> Arc<SoakRun> {
        let store = Store::start(([127, 0, 0, 1], 0).into()).await.expect("a free port");
        let ips = fleet_ips(size.nodes);
        let mut nodes = Vec::new();
        for number in 0..ips.len() {
            nodes.push(Node::new(folder, &ips, number, &store).await);
        }
        let run = SoakRun {
            size,
            store,
            record: Arc::default(),
            state: Mutex::new(RunState {
                nodes,
                servers: Vec::new(),
                route_history: Vec::new(),
                drainings: Vec::new(),
                version: 0,
                last_server_id: 0,
                rng: StdRng::seed_from_u64(seed),
            }),
            client: reqwest::Client::builder().no_proxy().build().expect("a client"),
            folder: folder.into(),
        };
        run.publish();
        for number in 0..size.servers {
            let service = if number % 3 == 2 { "files" } else { "orders" };
            run.add_server(service, None).await;
        }
        for node in &mut run.state().nodes {
            node.start();
        }
        run.wait_until_ready().await;
        Arc::new(run)
    }

    pub(super) fn state(&self) -> MutexGuard<'_, RunState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait_until_ready(&self) {
        let started = Instant::now();
        let calls: Vec<String> = self.state().nodes.iter().map(Node::health_url).collect();
        for call in calls {
            let check = || self.client.get(&call).timeout(Duration::from_secs(1)).send();
            while !check().await.is_ok_and(|response| response.status().is_success()) {
                assert!(
                    started.elapsed() < START_TIMEOUT,
                    "{call} is not ready; logs in {}",
                    self.folder.display()
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Publishes the next configuration, which may move the route `/moves/` to another service.
    pub(super) fn publish(&self) {
        let mut state = self.state();
        let step = state.rng.random_range(1..9);
        state.version += step;
        let moves_service = if state.rng.random_bool(0.5) { "orders" } else { "files" };
        let route = |prefix: &str, repeat, service: &str, priority| HostRoute {
            name: format!("r-{}", prefix.trim_matches('/')).into(),
            host: "a.example".into(),
            prefix: prefix.into(),
            repeat,
            timeout: Span::from_millis(2_000),
            target: Span::from_millis(1_000),
            priority,
            parts: vec![WeightedService { service: service.into(), weight: 1 }],
            attempts: 3,
            anonymous: false,
        };
        let rule = ServiceRule { connections: 300 };
        self.store.publish(&RoutingConfigDoc {
            version: state.version,
            routes: vec![
                route("/orders/", RepeatPolicy::Once, "orders", 0),
                route("/reads/", RepeatPolicy::Idempotent, "orders", 1),
                route("/files/", RepeatPolicy::Idempotent, "files", 2),
                route("/moves/", RepeatPolicy::Once, moves_service, 1),
            ],
            services: [("orders".into(), rule), ("files".into(), rule)].into(),
            limits: CallerLimits::default(),
            workspaces: None,
        });
        state.route_history.push((Instant::now(), moves_service));
    }

    /// Starts and registers a server. With `link` it takes over the address of that link.
    pub(super) async fn add_server(&self, service: &'static str, link: Option<Link>) {
        let (ip, id) = {
            let mut state = self.state();
            state.last_server_id += 1;
            (
                server_ip(state.nodes[0].ip, state.last_server_id),
                format!("i-{}", state.last_server_id),
            )
        };
        let server = Server::start(ip, id, service, link, self.record.clone()).await;
        self.store.register(&server.registration);
        self.state().servers.push(server);
    }

    /// Removes a random server from the list, if its service has more than 2, and returns it.
    pub(super) fn remove_server(&self) -> Option<Server> {
        let mut state = self.state();
        let RunState { servers, rng, .. } = &mut *state;
        let count =
            |name| servers.iter().filter(|s| s.registration.service.as_str() == name).count();
        let spare: Vec<usize> = (0..servers.len())
            .filter(|index| count(servers[*index].registration.service.as_str()) > 2)
            .collect();
        let index = spare.into_iter().choose(rng)?;
        Some(servers.remove(index))
    }

    /// Returns the addresses at which callers reach the nodes.
    pub(super) fn endpoints(&self) -> Vec<NodeEndpoints> {
        self.state().nodes.iter().map(endpoints).collect()
    }

    pub(super) fn random_ms(&self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.state().rng.random_range(range))
    }

    pub(super) fn random_node(&self) -> usize {
        let nodes = usize::from(self.size.nodes);
        self.state().rng.random_range(0..nodes)
    }

    /// Runs the callers, injects faults, waits for the recovery and checks the guarantees.
    pub async fn execute(self: &Arc<Self>, seed: u64) -> Report {
        let started = Instant::now();
        let until = started + self.size.time;
        let is_over: Arc<AtomicBool> = Arc::default();
        let mut callers = JoinSet::new();
        let endpoints = self.endpoints();
        for number in 0..self.size.callers {
            let caller = Caller {
                name: format!("c{number}"),
                nodes: endpoints.clone(),
                record: self.record.clone(),
                rng: StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32),
                client: self.client.clone(),
                keeps_connections: number % 3 == 0,
                only_path: None,
            };
            callers.spawn(caller.run(is_over.clone()));
        }
        let run = self.clone();
        let supervised = is_over.clone();
        let supervisor = tokio::spawn(async move { run.supervise(&supervised).await });
        let mut events = JoinSet::new();
        while Instant::now() < until {
            let event = Event::random(&mut self.state().rng);
            let run = self.clone();
            events.spawn(async move { run.run_event(event).await });
            tokio::time::sleep(self.random_ms(EVENT_PAUSE_MS)).await;
        }
        while events.join_next().await.is_some() {}
        self.wait_until_ready().await;
        tokio::time::sleep(RECOVERY).await;
        let calm_start = Instant::now();
        tokio::time::sleep(SERVING_TIME).await;
        is_over.store(true, Ordering::SeqCst);
        while callers.join_next().await.is_some() {}
        let unexpected_exits = supervisor.await.expect("the supervisor ends");
        let state = self.state();
        let mut violations =
            checks::violations(&self.record, &state.route_history, &state.drainings);
        let (served, sent) = checks::served_since(&self.record, calm_start);
        if served < MIN_SERVED_SHARE {
            violations
                .push(format!("of {sent} requests after the recovery {served:.3} were served"));
        }
        violations.extend(unexpected_exits);
        let (served, sent) = checks::served_since(&self.record, started);
        Report { violations, sent, served }
    }
}

/// Returns an address beside those of the nodes. On a shared one, a connection could take the port of a server that is down.
fn server_ip(node: IpAddr, number: usize) -> IpAddr {
    let IpAddr::V4(node) = node else { return node };
    let [a, b, c, _] = node.octets();
    Ipv4Addr::new(a, b, c, FIRST_SERVER_OCTET + (number % SERVER_OCTETS) as u8).into()
}

fn endpoints(node: &Node) -> NodeEndpoints {
    NodeEndpoints { directory: node.entries_url(), entry: node.entry(), link: node.callers.addr }
}
