//! The changes and faults of a run.

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

/// The share of events that make a server misbehave.
const MISBEHAVIOUR: f64 = 0.3;

/// How long a leaving server goes on serving after its registration says so.
const LINGER: Duration = Duration::from_millis(2_600);

/// `Event` is one kind of change or fault. Those of planned work come first.
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
    /// Draws an event. Servers misbehave more often than anything else happens, as there are many ways to do so.
    pub fn draw(rng: &mut StdRng) -> Event {
        if rng.random_bool(MISBEHAVIOUR) {
            return Event::ServerManner;
        }
        Event::iter().choose(rng).expect("an event")
    }
}

impl World {
    /// Lets an event happen, and returns when its consequences have ended.
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
    pub async fn supervise(&self, until: Instant) -> Vec<String> {
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
        server.entry.state = RegistrationState::Draining;
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
