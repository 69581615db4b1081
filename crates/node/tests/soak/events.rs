//! The planned changes and injected faults of a run.

use super::{
    caller::Caller,
    checks::Draining,
    link::{ConnectionFault, Link, LinkFault},
    process::STOP_MS,
    record::Component,
    run::{RunState, SoakRun},
    server::{Behaviour, Server, CRASHING_PATH},
};
use rand::{rngs::StdRng, seq::IteratorRandom, Rng, SeedableRng};
use redwingtrestle_core::process::registration::{RegistrationState, ServerId};
use redwingtrestle_platform_fakes::store::Mode;
use rustix::process::Signal;
use std::{
    sync::{
        atomic::{AtomicBool, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};
use strum::IntoEnumIterator;
use tokio::task::JoinSet;

/// The probability that an event is a misbehaving server, before all kinds are drawn evenly.
const MISBEHAVIOUR_PROBABILITY: f64 = 0.3;

/// A draining server continues to serve for at least this long after its registration says so.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(2_600);

/// A leaving server says so in its responses for so long before its registration does, in milliseconds.
const UNREGISTERED_LEAVING_MS: std::ops::Range<u64> = 0..4_000;

/// A server names a limit for this long, and the limit is one of these, in tenths of a request per second.
const LIMIT_TIME: Duration = Duration::from_millis(9_000);
const LIMIT_TENTHS: std::ops::Range<u32> = 10..60;

/// A request that crashes servers is sent again and again for this long.
const CRASHING_TIME: Duration = Duration::from_millis(7_000);

/// A server that crashed is away for so long, in milliseconds.
const CRASHED_MS: std::ops::Range<u64> = 800..2_500;

/// The interval at which crashes are noticed.
const CRASH_CHECK: Duration = Duration::from_millis(5);

/// A kind of change or fault. Planned changes come first. Seeds replay the same events only if the order stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Event {
    PlannedStop,
    ReloadSettings,
    PublishConfig,
    DrainServer,
    AddServer,
    CorruptRegistration,
    KillNode,
    PauseNode,
    StoreOutage,
    StoreDropsHistory,
    StoreLinkFault,
    CallerLinkFault,
    ServerLinkFault,
    ServerMisbehaves,
    ServerCrash,
    ReuseAddress,
    StoreComesBackOlder,
    ServerNamesLimit,
    CrashingRequest,
}

impl Event {
    /// Draws a random event. Misbehaving servers are the most frequent, because they have the most variants.
    pub fn random(rng: &mut StdRng) -> Event {
        if rng.random_bool(MISBEHAVIOUR_PROBABILITY) {
            return Event::ServerMisbehaves;
        }
        Event::iter().choose(rng).expect("an event")
    }
}

/// Returns entries of another writer that name no server to use.
fn odd_entries() -> [String; 4] {
    let entry = |port: &str, report: &str| {
        format!(
            r#"{{"address": "127.0.0.1:{port}", "info": {{"service": "orders", "zone": "a", "slots": 6}},
            "status": {{"state": "ready", "seq": {report}}}}}"#
        )
    };
    let nested = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    [r#"{"status": 7}"#.into(), nested, entry("65616", "1"), entry("80", "1e400")]
}

impl SoakRun {
    /// Carries out an event and returns when its fault has ended.
    pub async fn run_event(&self, event: Event) {
        match event {
            Event::PlannedStop => self.stop_node(self.random_node()).await,
            Event::ReloadSettings => {
                let node = self.random_node();
                self.state().nodes[node].touch_settings();
                self.signal(node, Signal::HUP);
            }
            Event::PublishConfig => {
                let count = self.state().rng.random_range(1..4);
                for _ in 0..count {
                    self.publish();
                }
            }
            Event::DrainServer => self.drain_server().await,
            Event::AddServer => {
                let service = if self.state().rng.random_bool(0.3) { "files" } else { "orders" };
                self.add_server(service, None).await;
            }
            Event::CorruptRegistration => {
                for (number, entry) in odd_entries().into_iter().enumerate() {
                    let id = ServerId(format!("i-other-{number}").into());
                    self.store.write_raw(&id, entry.as_bytes());
                }
            }
            Event::KillNode => self.kill_node(self.random_node()).await,
            Event::PauseNode => self.pause_node(self.random_node()).await,
            Event::StoreOutage => self.store_outage().await,
            Event::StoreDropsHistory => self.store.drop_history(),
            Event::StoreLinkFault => {
                let node = self.random_node();
                self.disturb_link(LinkId::Store(node)).await;
            }
            Event::CallerLinkFault => {
                let node = self.random_node();
                self.disturb_link(LinkId::Callers(node)).await;
            }
            Event::ServerLinkFault => {
                let id = self.random_server();
                self.disturb_link(LinkId::Server(id)).await;
            }
            Event::ServerMisbehaves => self.misbehave_server().await,
            Event::ServerCrash => self.crash_server().await,
            Event::ReuseAddress => self.reuse_address().await,
            Event::StoreComesBackOlder => self.restore_store().await,
            Event::ServerNamesLimit => self.limit_server().await,
            Event::CrashingRequest => self.send_crashing_requests().await,
        }
    }
}

/// Identifies a link: that of a node to the store, of callers to a node, or of a server.
#[derive(Clone, Debug)]
enum LinkId {
    Store(usize),
    Callers(usize),
    Server(String),
}

/// Events of nodes.
impl SoakRun {
    /// Waits until the process of start `start` has exited, and starts the next one unless another event has done so.
    /// Kills the process after `timeout`.
    async fn restart(&self, node: usize, start: u32, timeout: Duration) {
        let started = Instant::now();
        loop {
            {
                let mut state = self.state();
                let node = &mut state.nodes[node];
                if node.start_number != start {
                    return;
                }
                if node.has_ended() {
                    node.start();
                    self.record.add_restart(node.ip);
                    return;
                }
                if started.elapsed() > timeout {
                    node.signal(Signal::KILL);
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Restarts processes that exit unexpectedly, and returns a violation for each of them.
    pub async fn supervise(&self, is_over: &AtomicBool) -> Vec<String> {
        let mut found = Vec::new();
        while !is_over.load(Ordering::SeqCst) {
            for node in &mut self.state().nodes {
                if node.signalled_start != node.start_number && node.has_ended() {
                    found.push(format!(
                        "start {} of {} exited unexpectedly",
                        node.start_number, node.name
                    ));
                    node.start();
                    self.record.add_restart(node.ip);
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        found
    }

    /// Sends a signal to a node and returns the number of its current start.
    fn signal(&self, node: usize, signal: Signal) -> u32 {
        let mut state = self.state();
        state.nodes[node].signal(signal);
        state.nodes[node].start_number
    }

    /// Stops a node as planned, which may take up to `STOP_MS`. Requests must not fail, so this is no disturbance.
    async fn stop_node(&self, node: usize) {
        let start = self.signal(node, Signal::TERM);
        self.restart(node, start, Duration::from_millis(STOP_MS + 1_000)).await;
    }

    async fn kill_node(&self, node: usize) {
        let disturbance = self.disturb_node(node);
        let start = self.signal(node, Signal::KILL);
        tokio::time::sleep(self.random_ms(0..800)).await;
        self.restart(node, start, Duration::ZERO).await;
        self.record.end_disturbance(disturbance);
    }

    async fn pause_node(&self, node: usize) {
        let disturbance = self.disturb_node(node);
        self.signal(node, Signal::STOP);
        tokio::time::sleep(self.random_ms(100..2_500)).await;
        self.signal(node, Signal::CONT);
        self.record.end_disturbance(disturbance);
    }

    fn disturb_node(&self, node: usize) -> usize {
        let ip = self.state().nodes[node].ip;
        self.record.start_disturbance(Component::Node(ip))
    }
}

/// Events of the store and the links.
impl SoakRun {
    async fn store_outage(&self) {
        let mode = match self.state().rng.random_range(0..6) {
            0 => Mode::Refuse(503),
            1 => Mode::Refuse(429),
            2 => Mode::Silent,
            3 => Mode::Reset,
            4 => Mode::Slow(Duration::from_millis(400)),
            _ => Mode::LoseResponses,
        };
        let disturbance = self.record.start_disturbance(Component::Store);
        self.store.set_mode(mode);
        tokio::time::sleep(self.random_ms(200..3_000)).await;
        self.store.set_mode(Mode::Serve);
        self.record.end_disturbance(disturbance);
    }

    /// Takes the store away for a moment and restores a copy some seconds old. Its writers write again within 2 s.
    async fn restore_store(&self) {
        let copy = self.store.copy();
        tokio::time::sleep(self.random_ms(300..4_000)).await;
        let disturbance = self.record.start_disturbance(Component::Store);
        self.store.set_mode(Mode::Reset);
        tokio::time::sleep(self.random_ms(50..1_500)).await;
        let lost = self.store.restore(&copy);
        self.store.set_mode(Mode::Serve);
        tokio::time::sleep(self.random_ms(0..2_000)).await;
        self.store.write_again(lost);
        self.record.end_disturbance(disturbance);
    }

    fn with_link(&self, link_id: &LinkId, act: impl FnOnce(&Link)) {
        let state = self.state();
        match link_id {
            LinkId::Store(node) => act(&state.nodes[*node].store),
            LinkId::Callers(node) => act(&state.nodes[*node].callers),
            LinkId::Server(id) => {
                drop(state);
                self.with_server(id, |server| act(&server.link));
            }
        }
    }

    async fn disturb_link(&self, link_id: LinkId) {
        let component = match &link_id {
            LinkId::Store(node) | LinkId::Callers(node) => {
                Component::Node(self.state().nodes[*node].ip)
            }
            LinkId::Server(id) => Component::Server(id.clone()),
        };
        let disturbance = self.record.start_disturbance(component);
        let kind = self.state().rng.random_range(0..5);
        match kind {
            0 => self
                .with_link(&link_id, |link| link.inject_connection_fault(ConnectionFault::Reset)),
            // A node cannot detect a stalled connection from a caller, so links of callers get no such fault.
            1 if !matches!(link_id, LinkId::Callers(_)) => {
                self.with_link(&link_id, |link| {
                    link.inject_connection_fault(ConnectionFault::Stall);
                });
            }
            _ => {
                let fault = match kind {
                    2 => LinkFault::BlockForward,
                    3 => LinkFault::BlockBackward,
                    _ => LinkFault::Delay(Duration::from_millis(150)),
                };
                self.with_link(&link_id, |link| link.set_fault(fault));
                tokio::time::sleep(self.random_ms(200..2_500)).await;
                self.with_link(&link_id, |link| link.set_fault(LinkFault::None));
            }
        }
        self.record.end_disturbance(disturbance);
    }
}

/// Events of backend servers.
impl SoakRun {
    fn random_server(&self) -> String {
        let mut state = self.state();
        let RunState { servers, rng, .. } = &mut *state;
        servers.iter().choose(rng).map_or(String::new(), |s| s.registration.id.as_str().into())
    }

    /// Acts on a server, unless it was removed.
    fn with_server(&self, id: &str, act: impl FnOnce(&Server)) {
        let state = self.state();
        if let Some(server) = state.servers.iter().find(|s| s.registration.id.as_str() == id) {
            act(server);
        }
    }

    async fn misbehave_server(&self) {
        let id = self.random_server();
        let behaviour = match self.state().rng.random_range(0..11) {
            0 => Behaviour::Fail,
            1 => Behaviour::Shed,
            2 => Behaviour::FailUnmarked,
            3 => Behaviour::CloseAfterRun,
            4 => Behaviour::TruncateResponse,
            5 => Behaviour::ExtraResponse,
            6 => Behaviour::WrongId,
            7 => Behaviour::Hang,
            8 => Behaviour::RepeatRefusal,
            9 => Behaviour::CutHead,
            _ => Behaviour::AskForPause,
        };
        self.with_server(&id, |server| server.set_behaviour(behaviour));
        tokio::time::sleep(self.random_ms(100..2_000)).await;
        self.with_server(&id, |server| server.set_behaviour(Behaviour::Serve));
    }

    /// Makes a server name a limit for some time. This is no disturbance, as callers are still served.
    async fn limit_server(&self) {
        let id = self.random_server();
        let limit = f64::from(self.state().rng.random_range(LIMIT_TENTHS)) / 10.0;
        self.with_server(&id, |server| server.set_limit(Some(limit)));
        tokio::time::sleep(LIMIT_TIME).await;
        self.with_server(&id, |server| server.set_limit(None));
    }

    /// Sends a request that ends each server which runs it, and starts these servers again.
    async fn send_crashing_requests(&self) {
        let number: u32 = self.state().rng.random();
        let caller = Caller {
            name: format!("crash-{number}"),
            nodes: self.endpoints(),
            record: self.record.clone(),
            rng: StdRng::seed_from_u64(number.into()),
            client: self.client.clone(),
            keeps_connections: false,
            only_path: Some(format!("{CRASHING_PATH}-{number}")),
        };
        let is_over: Arc<AtomicBool> = Arc::default();
        let calls = tokio::spawn(caller.run(is_over.clone()));
        let started = Instant::now();
        let mut down = JoinSet::new();
        while started.elapsed() < CRASHING_TIME {
            for crashed in self.end_crashed_servers() {
                let away = self.random_ms(CRASHED_MS);
                down.spawn(async move {
                    tokio::time::sleep(away).await;
                    crashed
                });
            }
            while let Some(Ok((id, disturbance))) = down.try_join_next() {
                self.restart_server(&id, disturbance);
            }
            tokio::time::sleep(CRASH_CHECK).await;
        }
        is_over.store(true, Ordering::SeqCst);
        calls.await.expect("the caller ends");
        for (id, disturbance) in self.end_crashed_servers() {
            self.restart_server(&id, disturbance);
        }
        while let Some(back) = down.join_next().await {
            let (id, disturbance) = back.expect("a wait ends");
            self.restart_server(&id, disturbance);
        }
    }

    /// Ends the servers that have run a request which crashes them, and returns their ids and disturbances.
    fn end_crashed_servers(&self) -> Vec<(String, usize)> {
        let state = self.state();
        let crashed = state.servers.iter().filter(|server| server.take_crash());
        let disturb = |server: &Server| {
            let id = server.registration.id.as_str().to_string();
            let disturbance = self.record.start_disturbance(Component::Server(id.clone()));
            (id, disturbance)
        };
        crashed.map(disturb).collect()
    }

    fn restart_server(&self, id: &str, disturbance: usize) {
        let mut state = self.state();
        let found = state.servers.iter_mut().find(|s| s.registration.id.as_str() == id);
        if let Some(server) = found {
            server.restart();
            self.store.register(&server.registration);
        }
        self.record.end_disturbance(disturbance);
    }

    /// Lets a server say that it leaves, registers it as draining some time later, and then stops it.
    async fn drain_server(&self) {
        let Some(mut server) = self.remove_server() else { return };
        server.leave();
        tokio::time::sleep(self.random_ms(UNREGISTERED_LEAVING_MS)).await;
        server.registration.state = RegistrationState::Draining;
        server.registration.report += 1;
        self.store.register(&server.registration);
        let draining =
            Draining { server: server.registration.id.as_str().into(), at: Instant::now() };
        self.state().drainings.push(draining);
        tokio::time::sleep(MIN_DRAIN_TIME + self.random_ms(0..1_000)).await;
        self.store.unregister(&server.registration.id);
        tokio::time::sleep(self.random_ms(0..500)).await;
    }

    /// Stops a server without draining. Its registration is removed later.
    async fn crash_server(&self) {
        let Some(server) = self.remove_server() else { return };
        let id = server.registration.id.clone();
        let disturbance = self.record.start_disturbance(Component::Server(id.as_str().into()));
        drop(server);
        tokio::time::sleep(self.random_ms(300..2_000)).await;
        self.store.unregister(&id);
        self.record.end_disturbance(disturbance);
    }

    /// Stops a server and gives its address to a new server of the other service.
    async fn reuse_address(&self) {
        let Some(server) = self.remove_server() else { return };
        let id = server.registration.id.clone();
        let other =
            if server.registration.service.as_str() == "files" { "orders" } else { "files" };
        let link = server.stop();
        tokio::time::sleep(self.random_ms(50..500)).await;
        self.add_server(other, Some(link)).await;
        tokio::time::sleep(self.random_ms(300..1_500)).await;
        self.store.unregister(&id);
    }
}
