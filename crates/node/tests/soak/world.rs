//! One soak run: processes, backend servers and callers, and a random series of changes and faults.

use super::{
    caller::{Caller, Place},
    checks::{self, Leave, Moves},
    events::Event,
    link::Link,
    process::{fleet, Node, STOP_MS},
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
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// Time limit for all processes to become ready. It is long because other processes share the machine.
const START: Duration = Duration::from_secs(20);

/// Requests may still fail for this long after the last fault.
const RECOVERY: Duration = Duration::from_secs(4);

/// After the recovery, requests must be served for this long.
const CALM: Duration = Duration::from_secs(2);

/// The share of requests that must be served after the recovery.
const SERVED: f64 = 0.97;

/// The pause between the starts of two events, in milliseconds.
const EVENT_PAUSE_MS: std::ops::Range<u64> = 20..300;

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
    pub found: Vec<String>,
    /// The number of requests of all callers, without those whose caller disconnected.
    pub sent: usize,
    /// The share of these requests that was served.
    pub served: f64,
}

/// The state of a run that events change.
#[derive(Debug)]
pub struct Parts {
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    moves: Moves,
    pub leaves: Vec<Leave>,
    version: u64,
    named: usize,
    pub rng: StdRng,
}

/// A soak run with its processes, servers and records.
#[derive(Debug)]
pub struct World {
    size: Size,
    pub(super) store: Store,
    pub(super) record: Arc<Record>,
    parts: Mutex<Parts>,
    client: reqwest::Client,
    folder: PathBuf,
}

impl World {
    /// Starts the store, all servers and all nodes, and waits until the nodes are ready.
    pub async fn start(seed: u64, size: Size, folder: &Path) -> Arc<World> {
        let store = Store::start(([127, 0, 0, 1], 0).into()).await.expect("a free port");
        let ips = fleet(size.nodes);
        let mut nodes = Vec::new();
        for number in 0..ips.len() {
            nodes.push(Node::new(folder, &ips, number, &store).await);
        }
        let world = World {
            size,
            store,
            record: Arc::default(),
            parts: Mutex::new(Parts {
                nodes,
                servers: Vec::new(),
                moves: Vec::new(),
                leaves: Vec::new(),
                version: 0,
                named: 0,
                rng: StdRng::seed_from_u64(seed),
            }),
            client: reqwest::Client::builder().no_proxy().build().expect("a client"),
            folder: folder.into(),
        };
        world.publish();
        for number in 0..size.servers {
            let service = if number % 3 == 2 { "files" } else { "orders" };
            world.join(service, None).await;
        }
        for node in &mut world.parts().nodes {
            node.start();
        }
        world.until_ready().await;
        Arc::new(world)
    }

    pub(super) fn parts(&self) -> MutexGuard<'_, Parts> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn until_ready(&self) {
        let begun = Instant::now();
        let calls: Vec<String> = self.parts().nodes.iter().map(Node::health).collect();
        for call in calls {
            let one = || self.client.get(&call).timeout(Duration::from_secs(1)).send();
            while !one().await.is_ok_and(|answer| answer.status().is_success()) {
                assert!(
                    begun.elapsed() < START,
                    "{call} is not ready; logs in {}",
                    self.folder.display()
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Publishes the next configuration, which may move the route `/moves/` to another service.
    pub(super) fn publish(&self) {
        let mut parts = self.parts();
        let jump = parts.rng.random_range(1..9);
        parts.version += jump;
        let moved = if parts.rng.random_bool(0.5) { "orders" } else { "files" };
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
        };
        let rule = ServiceRule { connections: 300 };
        self.store.publish(&RoutingConfigDoc {
            version: parts.version,
            routes: vec![
                route("/orders/", RepeatPolicy::Once, "orders", 0),
                route("/reads/", RepeatPolicy::Idempotent, "orders", 1),
                route("/files/", RepeatPolicy::Idempotent, "files", 2),
                route("/moves/", RepeatPolicy::Once, moved, 1),
            ],
            services: [("orders".into(), rule), ("files".into(), rule)].into(),
            limits: CallerLimits::default(),
        });
        parts.moves.push((Instant::now(), moved));
    }

    /// Starts and registers a server. With `link` it takes over the address of that link.
    pub(super) async fn join(&self, service: &'static str, link: Option<Link>) {
        let id = {
            let mut parts = self.parts();
            parts.named += 1;
            format!("i-{}", parts.named)
        };
        let server = Server::start(id, service, link, self.record.clone()).await;
        self.store.register(&server.entry);
        self.parts().servers.push(server);
    }

    /// Removes a random server from the list, if its service has more than 2, and returns it.
    pub(super) fn take_server(&self) -> Option<Server> {
        let mut parts = self.parts();
        let Parts { servers, rng, .. } = &mut *parts;
        let count = |name| servers.iter().filter(|s| s.entry.service.as_str() == name).count();
        let spare: Vec<usize> = (0..servers.len())
            .filter(|index| count(servers[*index].entry.service.as_str()) > 2)
            .collect();
        let index = spare.into_iter().choose(rng)?;
        Some(servers.remove(index))
    }

    pub(super) fn random_ms(&self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.parts().rng.random_range(range))
    }

    pub(super) fn random_node(&self) -> usize {
        let nodes = usize::from(self.size.nodes);
        self.parts().rng.random_range(0..nodes)
    }

    /// Runs the callers, injects faults, waits for the recovery and checks the guarantees.
    pub async fn run(self: &Arc<Self>, seed: u64) -> Report {
        let begun = Instant::now();
        let until = begun + self.size.time;
        let end = until + RECOVERY + CALM + Duration::from_millis(STOP_MS);
        let mut callers = JoinSet::new();
        let places: Vec<Place> = self.parts().nodes.iter().map(place).collect();
        for number in 0..self.size.callers {
            let caller = Caller {
                name: format!("c{number}"),
                places: places.clone(),
                record: self.record.clone(),
                rng: StdRng::seed_from_u64(seed ^ (number as u64 + 1) << 32),
                client: self.client.clone(),
            };
            callers.spawn(caller.run(end));
        }
        let world = self.clone();
        let supervisor = tokio::spawn(async move { world.supervise(end).await });
        let mut events = JoinSet::new();
        while Instant::now() < until {
            let event = Event::draw(&mut self.parts().rng);
            let world = self.clone();
            events.spawn(async move { world.event(event).await });
            tokio::time::sleep(self.random_ms(EVENT_PAUSE_MS)).await;
        }
        while events.join_next().await.is_some() {}
        self.until_ready().await;
        tokio::time::sleep(RECOVERY).await;
        let calm = Instant::now();
        while callers.join_next().await.is_some() {}
        let ended = supervisor.await.expect("the supervisor ends");
        let parts = self.parts();
        let mut found = checks::broken(&self.record, &parts.moves, &parts.leaves);
        let (served, sent) = checks::served_since(&self.record, calm);
        if served < SERVED {
            found.push(format!("of {sent} requests after the recovery {served:.3} were served"));
        }
        found.extend(ended);
        let (served, sent) = checks::served_since(&self.record, begun);
        Report { found, sent, served }
    }
}

fn place(node: &Node) -> Place {
    Place { directory: node.directory(), entry: node.entry(), link: node.callers.addr }
}
