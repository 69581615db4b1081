//! A gateway in this process, on addresses of its own.

use super::{
    backend::registration,
    caller::{Caller, Reply, SLOW_LINK_BUFFER},
    routing::routing_config,
    Backend, MemoryStore, CONDITION_TIMEOUT,
};
use redwingtrestle_core::process::registration::{RegistrationState, ServerId};
use redwingtrestle_gateway::{
    accept,
    gossip::Gossip,
    header_names::HeaderNames,
    settings::Settings,
    shared::Shared,
    store::{Record, Stream},
    store_watch,
};
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener as StdListener},
    sync::{
        atomic::{AtomicU8, Ordering},
        Arc,
    },
    time::{Duration, Instant},
};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};

/// The retries that tests allow, enough not to limit them.
const DEFAULT_RETRY_FLOOR: u64 = 1_000;

/// The requests that a gateway counts before a test, as a process that has just started holds no retries.
const EARLIER_REQUESTS: u32 = 50;

/// The time of a planned stop, in milliseconds.
const STOP_MS: u64 = 2_000;

/// `TestGateway` is a gateway with its store.
#[derive(Debug)]
pub(crate) struct TestGateway {
    pub(crate) shared: Arc<Shared>,
    pub(crate) store: MemoryStore,
    pub(crate) entry: SocketAddr,
}

impl TestGateway {
    /// Starts a gateway with an empty store.
    pub(crate) async fn with_empty_store() -> TestGateway {
        TestGateway::with_store(MemoryStore::default()).await
    }

    /// Starts a gateway with this store.
    pub(crate) async fn with_store(store: MemoryStore) -> TestGateway {
        TestGateway::start(store, DEFAULT_RETRY_FLOOR).await
    }

    async fn start(store: MemoryStore, retry_floor: u64) -> TestGateway {
        let bind = |shared: &Shared| accept::bind(shared).unwrap();
        TestGateway::start_with(store, retry_floor, STOP_MS, "", bind).await
    }

    /// Like [`with_servers`](Self::with_servers), with these further settings.
    pub(crate) async fn with_settings(settings: &str, backends: &[&Backend]) -> TestGateway {
        let bind = |shared: &Shared| accept::bind(shared).unwrap();
        let (store, settings) = (MemoryStore::default(), format!(", {settings}"));
        let gateway =
            TestGateway::start_with(store, DEFAULT_RETRY_FLOOR, STOP_MS, &settings, bind).await;
        gateway.register(backends).await;
        gateway
    }

    async fn start_with(
        store: MemoryStore,
        retry_floor: u64,
        stop_ms: u64,
        settings: &str,
        bind: fn(&Shared) -> TcpListener,
    ) -> TestGateway {
        let [entry, health, directory, peer, metrics] = free_addrs();
        let retry_ratio = if retry_floor > 0 { 1.0 } else { 0.1 };
        let text = format!(
            r#"{{"node": "n", "entry": "{entry}", "health": "{health}", "directory": "{directory}", "peer": "{peer}",
                "metrics": "{metrics}", "data_centre": "a", "store": "127.0.0.1:9", "retry_ratio": {retry_ratio}, "retry_floor": {retry_floor}, "stop_ms": {stop_ms}{settings}}}"#
        );
        let settings = Settings::parse(&text).expect("settings").settings;
        let shared = Arc::new(Shared::new(settings, HeaderNames::default()));
        if retry_floor > 0 {
            (0..EARLIER_REQUESTS).for_each(|_| shared.count_request(&"orders".into()));
        }
        let listener = bind(&shared);
        tokio::spawn(accept::serve(shared.clone(), listener));
        for stream in [Stream::Configuration, Stream::Servers] {
            tokio::spawn(store_watch::watch_stream(shared.clone(), store.clone(), stream));
        }
        TestGateway { shared, store, entry }
    }

    /// Starts a gateway, and waits until it knows the configuration and these servers.
    pub(crate) async fn with_servers(backends: &[&Backend]) -> TestGateway {
        TestGateway::with_retry_floor(DEFAULT_RETRY_FLOOR, backends).await
    }

    /// Like [`with_servers`](Self::with_servers), with this many retries that are always allowed.
    pub(crate) async fn with_retry_floor(retry_floor: u64, backends: &[&Backend]) -> TestGateway {
        let gateway = TestGateway::start(MemoryStore::default(), retry_floor).await;
        gateway.register(backends).await;
        gateway
    }

    /// Like [`with_servers`](Self::with_servers), with small send buffers at the entry.
    pub(crate) async fn with_slow_link(backend: &Backend) -> TestGateway {
        TestGateway::with_slow_link_and_stop(backend, STOP_MS).await
    }

    /// Like [`with_slow_link`](Self::with_slow_link), with this time for a planned stop, in milliseconds.
    pub(crate) async fn with_slow_link_and_stop(backend: &Backend, stop_ms: u64) -> TestGateway {
        let bind = |shared: &Shared| bind_with_small_buffers(shared.settings.entry);
        let store = MemoryStore::default();
        let gateway = TestGateway::start_with(store, DEFAULT_RETRY_FLOOR, stop_ms, "", bind).await;
        gateway.register(&[backend]).await;
        gateway
    }

    /// Publishes a configuration and these servers, and waits until the gateway knows them.
    async fn register(&self, backends: &[&Backend]) {
        let config = Record::RoutingConfig(Box::new(routing_config(1)));
        self.store.append(Stream::Configuration, config);
        for backend in backends {
            self.store.register(backend.registration(RegistrationState::Ready, 1));
        }
        let knows_servers = || self.shared.fleet().registry.registrations().len() == backends.len();
        self.wait_until("all servers are known", knows_servers).await;
        let has_config = || self.shared.routing_config.load().is_some();
        self.wait_until("a configuration is in force", has_config).await;
    }

    /// Registers a server that is no [`Backend`], and waits until the gateway knows it.
    pub(crate) async fn register_server(&self, id: &ServerId, addr: SocketAddr) {
        self.store.register(registration(id, addr, RegistrationState::Ready, 1));
        let is_known = || self.shared.fleet().registry.server(id).is_some();
        self.wait_until("the server is known", is_known).await;
    }

    /// Waits until `check` is true, and panics with `what` if that takes too long.
    pub(crate) async fn wait_until(&self, what: &str, check: impl Fn() -> bool) {
        let begun = Instant::now();
        while !check() {
            assert!(begun.elapsed() < CONDITION_TIMEOUT, "waited too long: {what}");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Makes the gateway exchange messages with these others, as in a fleet.
    pub(crate) async fn join(&self, others: &[&TestGateway]) {
        let socket = UdpSocket::bind(self.shared.settings.peer).await.expect("a free address");
        for other in others {
            let addr = other.shared.settings.peer;
            self.shared.fleet().peers.add_address(self.shared.now(), addr);
        }
        tokio::spawn(Gossip::new(self.shared.clone(), socket).run());
    }

    /// Sends one request on a new connection, and returns the reply.
    pub(crate) async fn call(&self, text: &str) -> Reply {
        let mut caller = Caller::connect(self.entry).await;
        caller.send(text).await;
        caller.reply().await.expect("a response")
    }
}

/// Returns distinct free addresses on a loopback address of their own.
fn free_addrs<const COUNT: usize>() -> [SocketAddr; COUNT] {
    let ip = own_loopback_ip();
    let listeners = [(); COUNT].map(|()| StdListener::bind((ip, 0)).unwrap());
    listeners.each_ref().map(|listener| listener.local_addr().unwrap())
}

/// Returns a loopback address that only its caller uses. On a shared one, a connection or a listener of another test could
/// take a port between its choice and its use.
pub(crate) fn own_loopback_ip() -> Ipv4Addr {
    static USERS: AtomicU8 = AtomicU8::new(2);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, high, low, USERS.fetch_add(1, Ordering::SeqCst))
}

/// Binds the entry with small send buffers.
fn bind_with_small_buffers(addr: SocketAddr) -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.set_send_buffer_size(SLOW_LINK_BUFFER as u32).unwrap();
    socket.bind(addr).unwrap();
    socket.listen(64).unwrap()
}
