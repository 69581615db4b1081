//! The planned changes and injected faults of a run.

use super::{
    checks::Leave,
    link::{Cut, Link, Trouble},
    process::STOP_MS,
    record::Part,
    server::Manner,
    world::{Parts, World},
};
use rand::{rngs::StdRng, seq::IteratorRandom, Rng};
use redwingtrestle_core::process::registration::{RegistrationState, ServerId};
use redwingtrestle_platform_fakes::store::Mode;
use rustix::process::Signal;
use std::time::{Duration, Instant};
use strum::IntoEnumIterator;

/// The probability that an event is a misbehaving server, before all kinds are drawn evenly.
const MISBEHAVIOUR: f64 = 0.3;

/// A draining server continues to serve for at least this long after its registration says so.
const LINGER: Duration = Duration::from_millis(2_600);

/// A kind of change or fault. Planned changes come first. Seeds replay the same events only if the order stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::EnumIter)]
pub enum Event {
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
    /// Draws a random event. Misbehaving servers are the most frequent, because they have the most variants.
    pub fn draw(rng: &mut StdRng) -> Event {
        if rng.random_bool(MISBEHAVIOUR) {
            return Event::ServerManner;
        }
        Event::iter().choose(rng).expect("an event")
    }
}

impl World {
    /// Carries out an event and returns when its fault has ended.
    pub async fn event(&self, event: Event) {
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
                let id = ServerId("i-other".into());
                self.store.write_raw(&id, b"{\"status\": 7}");
            }
            Event::Kill => self.kill(self.random_node()).await,
            Event::Pause => self.pause(self.random_node()).await,
            Event::StoreAway => self.store_away().await,
            Event::StoreForgets => self.store.drop_history(),
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

/// Identifies a link: that of a node to the store, of callers to a node, or of a server.
#[derive(Clone, Debug)]
enum Side {
    Store(usize),
    Callers(usize),
    Server(String),
}

/// Events of nodes.
impl World {
    /// Waits until the process of start `start` has exited, and starts the next one unless another event has done so.
    /// Kills the process after `patience`.
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

    /// Restarts processes that exit unexpectedly, and returns a violation for each of them.
    pub async fn supervise(&self, until: Instant) -> Vec<String> {
        let mut found = Vec::new();
        while Instant::now() < until {
            for node in &mut self.parts().nodes {
                if node.told != node.starts && node.has_ended() {
                    found.push(format!(
                        "start {} of {} exited unexpectedly",
                        node.starts, node.name
                    ));
                    node.start();
                }
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        found
    }

    /// Sends a signal to a node and returns the number of its current start.
    fn signal(&self, node: usize, signal: Signal) -> u32 {
        let mut parts = self.parts();
        parts.nodes[node].signal(signal);
        parts.nodes[node].starts
    }

    /// Stops a node as planned, which may take up to `STOP_MS`. Requests must not fail, so this is no disturbance.
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

/// Events of the store and the links.
impl World {
    async fn store_away(&self) {
        let mode = match self.parts().rng.random_range(0..6) {
            0 => Mode::Refuse(503),
            1 => Mode::Refuse(429),
            2 => Mode::Silent,
            3 => Mode::Reset,
            4 => Mode::Slow(Duration::from_millis(400)),
            _ => Mode::LoseAnswers,
        };
        let trouble = self.record.disturbed(Part::Store);
        self.store.set_mode(mode);
        tokio::time::sleep(self.random_ms(200..3_000)).await;
        self.store.set_mode(Mode::Serve);
        self.record.calm(trouble);
    }

    fn with_link(&self, side: &Side, act: impl FnOnce(&Link)) {
        let parts = self.parts();
        match side {
            Side::Store(node) => act(&parts.nodes[*node].store),
            Side::Callers(node) => act(&parts.nodes[*node].callers),
            Side::Server(id) => {
                // A removed server has no link any more.
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
            // A node cannot detect a stalled connection from a caller, so links of callers get no such fault.
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

/// Events of backend servers.
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

    /// Registers a server as draining and stops it some time later.
    async fn drain(&self) {
        let Some(mut server) = self.take_server() else { return };
        server.entry.state = RegistrationState::Draining;
        server.entry.report += 1;
        self.store.register(&server.entry);
        let leave = Leave { server: server.entry.id.as_str().into(), at: Instant::now() };
        self.parts().leaves.push(leave);
        tokio::time::sleep(LINGER + self.random_ms(0..1_000)).await;
        self.store.unregister(&server.entry.id);
        tokio::time::sleep(self.random_ms(0..500)).await;
    }

    /// Stops a server without draining. Its registration is removed later.
    async fn crash(&self) {
        let Some(server) = self.take_server() else { return };
        let id = server.entry.id.clone();
        let trouble = self.record.disturbed(Part::Server(id.as_str().into()));
        drop(server);
        tokio::time::sleep(self.random_ms(300..2_000)).await;
        self.store.unregister(&id);
        self.record.calm(trouble);
    }

    /// Stops a server and gives its address to a new server of the other service.
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
