//! One run: processes, backend servers and callers, and a random series of changes and faults.

use super::{
    caller::{Caller, Place},
    checks::{self, Leave, Moves},
    link::{Cut, Link, Trouble},
    process::{fleet, Node, STOP_MS},
    record::{Part, Record},
    server::{Manner, Server},
};
use rand::{rngs::StdRng, seq::IteratorRandom, Rng, SeedableRng};
use redwingtrestle_core::{
    process::registration::EntryState,
    time::Span,
    version::catalog::{CallerLimits, CatalogDoc, HostRoute, Part as Share, Repeat, ServiceRule},
};
use redwingtrestle_platform_fakes::store::{Mode, Store};
use rustix::process::Signal;
use std::{
    path::{Path, PathBuf},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};
use tokio::task::JoinSet;

/// How long a process may take to be ready, on a machine that other processes share.
const START: Duration = Duration::from_secs(20);

/// How long after the last fault requests may still fail.
const RECOVERY: Duration = Duration::from_secs(4);

/// How long requests must then be served.
const CALM: Duration = Duration::from_secs(2);

/// The share of the requests that is served once everything is sound.
const SERVED: f64 = 0.97;

/// The pause between the beginnings of two events.
const EVENT_PAUSE_MS: std::ops::Range<u64> = 20..300;

/// The share of events that make a server misbehave.
const MISBEHAVIOUR: f64 = 0.3;

/// How long a leaving server goes on serving after its registration says so.
const LINGER: Duration = Duration::from_millis(2_600);

/// `Size` is how large a run is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub nodes: u8,
    pub servers: usize,
    pub callers: usize,
    /// How long faults are injected.
    pub time: Duration,
}

/// `Report` is what a run showed.
#[derive(Clone, Debug)]
pub struct Report {
    /// The broken promises.
    pub found: Vec<String>,
    /// The requests of all callers, and the share of them that was served.
    pub sent: usize,
    pub served: f64,
}

/// `Parts` is what events change.
#[derive(Debug)]
struct Parts {
    nodes: Vec<Node>,
    servers: Vec<Server>,
    moves: Moves,
    leaves: Vec<Leave>,
    version: u64,
    named: usize,
    rng: StdRng,
}

/// `World` is a run.
#[derive(Debug)]
pub struct World {
    size: Size,
    store: Store,
    record: Arc<Record>,
    parts: Mutex<Parts>,
    client: reqwest::Client,
    folder: PathBuf,
}

/// `Event` is one kind of change or fault. Those of planned work come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
enum Event {
    Stop,
    HangUp,
    Publish,
    Drain,
    Join,
    Scribble,
    Kill,
    Pause,
    StoreAway,
    StoreForgets,
    StoreLink,
    CallerLink,
    ServerLink,
    ServerManner,
    Crash,
    Reuse,
}

impl Event {
    /// Draws an event. Servers misbehave more often than anything else happens, as there are many ways to do so.
    fn draw(rng: &mut StdRng) -> Event {
        if rng.random_bool(MISBEHAVIOUR) {
            return Event::ServerManner;
        }
        <Event as strum::IntoEnumIterator>::iter().choose(rng).expect("an event")
    }
}

impl World {
    /// Starts everything and waits until all nodes are ready.
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

    fn parts(&self) -> MutexGuard<'_, Parts> {
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

    /// Publishes the next configuration, in which one route may have moved to another service.
    fn publish(&self) {
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
            parts: vec![Share { service: service.into(), weight: 1 }],
            attempts: 3,
        };
        let rule = ServiceRule { connections: 300 };
        self.store.publish(&CatalogDoc {
            version: parts.version,
            routes: vec![
                route("/orders/", Repeat::Once, "orders", 0),
                route("/reads/", Repeat::Idempotent, "orders", 1),
                route("/files/", Repeat::Idempotent, "files", 2),
                route("/moves/", Repeat::Once, moved, 1),
            ],
            services: [("orders".into(), rule), ("files".into(), rule)].into(),
            limits: CallerLimits::default(),
        });
        parts.moves.push((Instant::now(), moved));
    }

    /// Starts a server of a service; `link` is an address that it takes over.
    async fn join(&self, service: &'static str, link: Option<Link>) {
        let id = {
            let mut parts = self.parts();
            parts.named += 1;
            format!("i-{}", parts.named)
        };
        let server = Server::start(id, service, link, self.record.clone()).await;
        self.store.register(&server.entry);
        self.parts().servers.push(server);
    }

    /// Takes a server of a service that has others out of the list.
    fn take_server(&self) -> Option<Server> {
        let mut parts = self.parts();
        let Parts { servers, rng, .. } = &mut *parts;
        let count = |name| servers.iter().filter(|s| s.entry.service.as_str() == name).count();
        let spare: Vec<usize> = (0..servers.len())
            .filter(|index| count(servers[*index].entry.service.as_str()) > 2)
            .collect();
        let index = spare.into_iter().choose(rng)?;
        Some(servers.remove(index))
    }

    fn random_ms(&self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.parts().rng.random_range(range))
    }

    fn random_node(&self) -> usize {
        let nodes = usize::from(self.size.nodes);
        self.parts().rng.random_range(0..nodes)
    }

    /// Runs callers and faults, then waits for calm.
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
            found.push(format!("of {sent} requests after the last fault {served:.3} were served"));
        }
        found.extend(ended);
        let (served, sent) = checks::served_since(&self.record, begun);
        Report { found, sent, served }
    }

    async fn event(&self, event: Event) {
        match event {
            Event::Stop => self.stop(self.random_node()).await,
            Event::HangUp => {
                let node = self.random_node();
                self.parts().nodes[node].touch_settings();
                self.signal(node, Signal::HUP);
            }
            Event::Publish => {
                let count = self.parts().rng.random_range(1..4);
                for _ in 0..count {
                    self.publish();
                }
            }
            Event::Drain => self.drain().await,
            Event::Join => {
                let service = if self.parts().rng.random_bool(0.3) { "files" } else { "orders" };
                self.join(service, None).await;
            }
            Event::Scribble => {
                let id = redwingtrestle_core::process::registration::ServerId("i-other".into());
                self.store.scribble(&id, b"{\"status\": 7}");
            }
            Event::Kill => self.kill(self.random_node()).await,
            Event::Pause => self.pause(self.random_node()).await,
            Event::StoreAway => self.store_away().await,
            Event::StoreForgets => self.store.forget(),
            Event::StoreLink => {
                let node = self.random_node();
                self.link_trouble(Side::Store(node)).await;
            }
            Event::CallerLink => {
                let node = self.random_node();
                self.link_trouble(Side::Callers(node)).await;
            }
            Event::ServerLink => {
                let id = self.random_server();
                self.link_trouble(Side::Server(id)).await;
            }
            Event::ServerManner => self.misbehave().await,
            Event::Crash => self.crash().await,
            Event::Reuse => self.reuse().await,
        }
    }
}

fn place(node: &Node) -> Place {
    Place { directory: node.directory(), entry: node.entry(), link: node.callers.addr }
}

/// `Side` names one link.
#[derive(Clone, Debug)]
enum Side {
    Store(usize),
    Callers(usize),
    Server(String),
}

/// What nodes go through.
impl World {
    /// Waits until the process of this start has ended, and starts the next one. Another event may do so first.
    async fn restart(&self, node: usize, start: u32, patience: Duration) {
        let begun = Instant::now();
        loop {
            {
                let mut parts = self.parts();
                let node = &mut parts.nodes[node];
                if node.starts != start {
                    return;
                }
                if node.has_ended() {
                    node.start();
                    return;
                }
                if begun.elapsed() > patience {
                    node.signal(Signal::KILL);
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts processes again that ended by themselves, and returns what it saw at the end of the run.
    async fn supervise(&self, until: Instant) -> Vec<String> {
        let mut found = Vec::new();
        while Instant::now() < until {
            for node in &mut self.parts().nodes {
                if node.told != node.starts && node.has_ended() {
                    found.push(format!("start {} of {} ended by itself", node.starts, node.name));
                    node.start();
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        found
    }

    /// Sends a signal and returns the start of the process that got it.
    fn signal(&self, node: usize, signal: Signal) -> u32 {
        let mut parts = self.parts();
        parts.nodes[node].signal(signal);
        parts.nodes[node].starts
    }

    /// Stops a node as planned. It may take all of its time; callers must not notice.
    async fn stop(&self, node: usize) {
        let start = self.signal(node, Signal::TERM);
        self.restart(node, start, Duration::from_millis(STOP_MS + 1_000)).await;
    }

    async fn kill(&self, node: usize) {
        let trouble = self.disturb_node(node);
        let start = self.signal(node, Signal::KILL);
        tokio::time::sleep(self.random_ms(0..800)).await;
        self.restart(node, start, Duration::ZERO).await;
        self.record.calm(trouble);
    }

    async fn pause(&self, node: usize) {
        let trouble = self.disturb_node(node);
        self.signal(node, Signal::STOP);
        tokio::time::sleep(self.random_ms(100..2_500)).await;
        self.signal(node, Signal::CONT);
        self.record.calm(trouble);
    }

    fn disturb_node(&self, node: usize) -> usize {
        let ip = self.parts().nodes[node].ip;
        self.record.disturbed(Part::Node(ip))
    }
}

/// What the store and links go through.
impl World {
    async fn store_away(&self) {
        let mode = match self.parts().rng.random_range(0..6) {
            0 => Mode::Refuse(503),
            1 => Mode::Refuse(429),
            2 => Mode::Silent,
            3 => Mode::Reset,
            4 => Mode::Slow(Duration::from_millis(400)),
            _ => Mode::Lose,
        };
        let trouble = self.record.disturbed(Part::Store);
        self.store.set(mode);
        tokio::time::sleep(self.random_ms(200..3_000)).await;
        self.store.set(Mode::Serve);
        self.record.calm(trouble);
    }

    fn with_link(&self, side: &Side, act: impl FnOnce(&Link)) {
        let parts = self.parts();
        match side {
            Side::Store(node) => act(&parts.nodes[*node].store),
            Side::Callers(node) => act(&parts.nodes[*node].callers),
            Side::Server(id) => {
                // A server that has left has no link to change.
                if let Some(server) = parts.servers.iter().find(|s| s.entry.id.as_str() == id) {
                    act(&server.link);
                }
            }
        }
    }

    async fn link_trouble(&self, side: Side) {
        let part = match &side {
            Side::Store(node) | Side::Callers(node) => Part::Node(self.parts().nodes[*node].ip),
            Side::Server(id) => Part::Server(id.clone()),
        };
        let trouble = self.record.disturbed(part);
        let kind = self.parts().rng.random_range(0..5);
        match kind {
            0 => self.with_link(&side, |link| link.cut(Cut::Reset)),
            // A caller's silent connection is beyond what a node can mend.
            1 if !matches!(side, Side::Callers(_)) => {
                self.with_link(&side, |link| link.cut(Cut::Silence));
            }
            _ => {
                let trouble = match kind {
                    2 => Trouble::CutForth,
                    3 => Trouble::CutBack,
                    _ => Trouble::Delay(Duration::from_millis(150)),
                };
                self.with_link(&side, |link| link.set(trouble));
                tokio::time::sleep(self.random_ms(200..2_500)).await;
                self.with_link(&side, |link| link.set(Trouble::None));
            }
        }
        self.record.calm(trouble);
    }
}

/// What backend servers go through.
impl World {
    fn random_server(&self) -> String {
        let mut parts = self.parts();
        let Parts { servers, rng, .. } = &mut *parts;
        servers.iter().choose(rng).map_or(String::new(), |s| s.entry.id.as_str().into())
    }

    async fn misbehave(&self) {
        let id = self.random_server();
        let manner = match self.parts().rng.random_range(0..8) {
            0 => Manner::Fail,
            1 => Manner::Shed,
            2 => Manner::Unmarked,
            3 => Manner::Lose,
            4 => Manner::Cut,
            5 => Manner::Extra,
            6 => Manner::Foreign,
            _ => Manner::Hang,
        };
        let set = |manner| {
            let parts = self.parts();
            if let Some(server) = parts.servers.iter().find(|s| s.entry.id.as_str() == id) {
                server.set(manner);
            }
        };
        set(manner);
        tokio::time::sleep(self.random_ms(100..2_000)).await;
        set(Manner::Serve);
    }

    /// Lets a server say that it leaves, and ends it some time later.
    async fn drain(&self) {
        let Some(mut server) = self.take_server() else { return };
        server.entry.state = EntryState::Draining;
        server.entry.report += 1;
        self.store.register(&server.entry);
        let leave = Leave { server: server.entry.id.as_str().into(), at: Instant::now() };
        self.parts().leaves.push(leave);
        tokio::time::sleep(LINGER + self.random_ms(0..1_000)).await;
        self.store.unregister(&server.entry.id);
        tokio::time::sleep(self.random_ms(0..500)).await;
    }

    /// Ends a server without a word; its registration ends later.
    async fn crash(&self) {
        let Some(server) = self.take_server() else { return };
        let id = server.entry.id.clone();
        let trouble = self.record.disturbed(Part::Server(id.as_str().into()));
        drop(server);
        tokio::time::sleep(self.random_ms(300..2_000)).await;
        self.store.unregister(&id);
        self.record.calm(trouble);
    }

    /// Ends a server and gives its address to one of the other service.
    async fn reuse(&self) {
        let Some(server) = self.take_server() else { return };
        let id = server.entry.id.clone();
        let other = if server.entry.service.as_str() == "files" { "orders" } else { "files" };
        let link = server.end();
        tokio::time::sleep(self.random_ms(50..500)).await;
        self.join(other, Some(link)).await;
        tokio::time::sleep(self.random_ms(300..1_500)).await;
        self.store.unregister(&id);
    }
}
