//! Starts nodes as processes and runs the fake log service and backend servers in the test's own process.

#![allow(dead_code, unreachable_pub, reason = "each test file uses its own part of this module")]

use redwingtrestle_core::version::config_state::RequestId;
use redwingtrestle_fakes::{
    backend::{Backend, BackendOptions},
    log_service::LogService,
};
use redwingtrestle_wire::{
    caller::EntriesReply,
    config::{ConfigDoc, DrainsDoc, RankDoc, RouteDoc, ServerDoc, ServiceDoc},
    log::RecordDoc,
};
use std::{
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicU16, Ordering},
        Arc, Mutex, PoisonError,
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};
use tokio::task::JoinHandle;

/// A test fails when an awaited condition takes longer than this. The bound is generous because CI machines
/// stall.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns an HTTP client that follows no redirects, uses no proxy and does not retry.
pub fn http_client() -> reqwest::Client {
    reqwest::Client::builder()
        .redirect(reqwest::redirect::Policy::none())
        .no_proxy()
        .retry(reqwest::retry::never())
        .build()
        .expect("the client builds")
}

/// Polls `check` every 10 ms until it returns a value.
pub async fn wait_for<T, F, Fut>(what: &str, mut check: F) -> T
where
    F: FnMut() -> Fut,
    Fut: std::future::Future<Output = Option<T>>,
{
    let start = Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(start.elapsed() < CONDITION_TIMEOUT, "waited too long: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Held while a process starts and while sockets are open that must be free after they are closed. A process has copies
/// of all sockets of this one until its program runs.
static PROCESS_START: Mutex<()> = Mutex::new(());

/// Returns a port that is free for TCP and UDP on `ip`.
///
/// The ports are below the ephemeral range. Otherwise an outgoing connection could take one before the node
/// binds it.
pub fn free_port(ip: &str) -> u16 {
    let _no_start = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
    let first_offset = (std::process::id() % 500) as u16 * 40;
    for _ in 0..2000 {
        let port = 11_000 + (first_offset + NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % 20_000;
        if TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
    panic!("no free port");
}

/// Starts a process. All processes of the tests start through this function, see [`PROCESS_START`].
pub fn spawn_command(command: &mut Command) -> Child {
    let _start = PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner);
    command.spawn().expect("the process starts")
}

/// A running `redwingd` process, which is killed on drop.
#[derive(Debug)]
pub struct NodeProcess {
    pub entry: SocketAddr,
    pub peer: SocketAddr,
    pub child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl NodeProcess {
    /// Sends a signal by name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let mut kill = spawn_command(Command::new("kill").args([&format!("-{name}"), &pid]));
        assert!(kill.wait().expect("kill ends").success(), "kill -{name} {pid}");
    }

    /// Replaces the settings file of the running node.
    pub fn write_settings(&self, text: &str) {
        fs::write(&self.settings, text).expect("the settings file is written");
    }

    /// Waits until the process has exited and returns whether its exit status is success.
    pub async fn wait_for_exit(&mut self) -> bool {
        wait_for("the node exits", || {
            let status = self.child.try_wait().expect("the child can be waited for");
            async move { status }
        })
        .await
        .success()
    }

    /// Returns the node's log so far.
    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns the log lines with this message.
    pub fn log_lines(&self, message: &str) -> Vec<serde_json::Value> {
        let parse = |line: &str| serde_json::from_str::<serde_json::Value>(line).ok();
        let log = self.log();
        log.lines().filter_map(parse).filter(|l| l["message"] == message).collect()
    }

    /// Returns the URL of a path at the node's entry.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.entry)
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let log = self.log();
        // A violated invariant ends one task of the node, which may not make the test fail.
        let violated = log.contains("\ninvariant ");
        if violated || std::thread::panicking() {
            eprintln!("log of {}:\n{log}", self.entry);
        }
        let _ = fs::remove_file(&self.settings);
        let _ = fs::remove_file(&self.log);
        assert!(!violated || std::thread::panicking(), "a node violated an invariant");
    }
}

/// The settings that a node is started with.
#[derive(Clone, Debug)]
pub struct StartOptions {
    pub ip: &'static str,
    pub data_centre: &'static str,
    pub log_url: String,
    pub seeds: Vec<SocketAddr>,
    pub extra_settings: String,
}

/// A logged change of a backend server's usage at one node.
#[derive(Clone, Debug)]
pub struct UsageChange {
    /// Milliseconds of the day (UTC).
    pub at: u64,
    pub node: usize,
    pub server: String,
    pub usage: String,
}

/// Returns the time of a log line in milliseconds of the day (UTC).
pub fn log_time_ms(line: &serde_json::Value) -> u64 {
    let stamp = line["timestamp"].as_str().expect("a log line has a timestamp");
    let (_, time) = stamp.split_once('T').expect("the timestamp has a time");
    let seconds = |text: &str| text.parse::<f64>().expect("a number");
    let time = seconds(&time[..2]) * 3600.0
        + seconds(&time[3..5]) * 60.0
        + seconds(time[6..].trim_end_matches('Z').split(['+', '-']).next().unwrap_or("0"));
    (time * 1000.0) as u64
}

/// Returns the time in milliseconds of the day (UTC).
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is set");
    now.as_millis() as u64 % 86_400_000
}

/// A finished request as its caller saw it. The status is 0 if the connection broke.
#[derive(Clone, Copy, Debug)]
pub struct FinishedRequest {
    pub at: Instant,
    pub latency: Duration,
    pub status: u16,
}

/// A set of callers, each of which sends requests back to back. Dropping it stops them.
#[derive(Debug, Default)]
pub struct Load {
    tasks: Vec<JoinHandle<()>>,
    finished: Arc<Mutex<Vec<FinishedRequest>>>,
}

impl Load {
    /// Adds `callers` callers of one workspace that repeat this request.
    pub fn add(&mut self, request: &reqwest::RequestBuilder, workspace: &str, callers: usize) {
        for _ in 0..callers {
            let request = request.try_clone().expect("the request has no streamed body");
            let request = request.header("redwing-workspace", workspace);
            let finished = self.finished.clone();
            self.tasks.push(tokio::spawn(async move {
                loop {
                    let at = Instant::now();
                    let sent = request.try_clone().expect("no streamed body").send().await;
                    let status = match sent {
                        Ok(reply) => {
                            let status = reply.status().as_u16();
                            reply.bytes().await.map_or(0, |_| status)
                        }
                        Err(_) => 0,
                    };
                    let latency = at.elapsed();
                    finished.lock().unwrap_or_else(PoisonError::into_inner).push(FinishedRequest {
                        at,
                        latency,
                        status,
                    });
                    if status == 0 {
                        tokio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
            }));
        }
    }

    /// Returns all finished requests.
    pub fn finished(&self) -> Vec<FinishedRequest> {
        self.finished.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Returns the settings for nodes at these addresses, each given as entry and peer address.
pub fn start_options(
    log: &LogService,
    addrs: &[(SocketAddr, SocketAddr)],
    extra_settings: &str,
) -> StartOptions {
    StartOptions {
        ip: "127.0.0.1",
        data_centre: "amherst",
        log_url: log.url(),
        seeds: addrs.iter().map(|(_, peer)| *peer).collect(),
        extra_settings: extra_settings.into(),
    }
}

/// Returns a configuration with services of these names and floors. Each gets the next `count` servers.
/// `GET /NAME` is idempotent and of normal rank, `POST /NAME` is not idempotent and urgent.
pub fn config_with_services(
    servers: &[Backend],
    count: usize,
    services: &[(&str, u32)],
) -> ConfigDoc {
    let mut combined = ConfigDoc::default();
    for ((name, floor), servers) in services.iter().zip(servers.chunks(count)) {
        let mut one = config(servers);
        let mut orders = one.services.remove("orders").expect("the service");
        orders.floor = *floor;
        combined.services.insert(Arc::from(*name), orders);
        for mut route in one.routes.into_iter().take(2) {
            route.path = format!("/{name}");
            route.service = Arc::from(*name);
            combined.routes.push(route);
        }
    }
    combined
}

/// Picks the entry and peer address of a node, which other nodes can list before it starts.
pub fn free_addresses(ip: &str) -> (SocketAddr, SocketAddr) {
    let addr = |port| format!("{ip}:{port}").parse().expect("an address");
    (addr(free_port(ip)), addr(free_port(ip)))
}

/// Starts a node at these addresses without waiting until it is ready.
pub fn spawn(entry: SocketAddr, peer: SocketAddr, start: &StartOptions) -> NodeProcess {
    spawn_with_token(entry, peer, start, None)
}

/// Starts a node that requires this token for operators' commands.
pub fn spawn_with_token(
    entry: SocketAddr,
    peer: SocketAddr,
    start: &StartOptions,
    token: Option<&str>,
) -> NodeProcess {
    let name = format!("redwing-{}-{}", std::process::id(), entry.to_string().replace(':', "-"));
    let settings = std::env::temp_dir().join(format!("{name}.json"));
    let log = std::env::temp_dir().join(format!("{name}.log"));
    let seeds: Vec<String> = start.seeds.iter().map(|s| format!("\"{s}\"")).collect();
    let text = format!(
        "{{\"entry\":\"{entry}\",\"peer\":\"{peer}\",\"data_centre\":\"{}\",\"region\":\"test\",\
         \"log\":\"{}\",\"worker_threads\":2,\"seeds\":[{}]{}}}",
        start.data_centre,
        start.log_url,
        seeds.join(","),
        start.extra_settings,
    );
    fs::write(&settings, text).expect("the settings file is written");
    let log_file = fs::File::create(&log).expect("the log file is made");
    let mut command = Command::new(env!("CARGO_BIN_EXE_redwingd"));
    command
        .args(["run", "--settings"])
        .arg(&settings)
        .env_remove("REDWING_TOKEN")
        .envs(token.map(|token| ("REDWING_TOKEN", token)))
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log_file);
    let child = spawn_command(&mut command);
    NodeProcess { entry, peer, child, settings, log }
}

/// A set of nodes with a log service and backend servers.
#[derive(Debug)]
pub struct Fleet {
    pub nodes: Vec<NodeProcess>,
    pub log: LogService,
    pub servers: Vec<Backend>,
    pub client: reqwest::Client,
}

impl Fleet {
    /// Starts `nodes` nodes and `servers` backend servers of the service `orders`.
    pub async fn start(nodes: usize, servers: usize, options: BackendOptions) -> Self {
        Self::start_with(nodes, servers, options, "").await
    }

    /// Starts a fleet whose nodes have additional settings, given as `,"key":value` text.
    pub async fn start_with(
        nodes: usize,
        servers: usize,
        options: BackendOptions,
        extra_settings: &str,
    ) -> Self {
        Self::start_config(nodes, servers, options, extra_settings, config).await
    }

    /// Starts a fleet with a configuration that is built from the running servers.
    pub async fn start_config(
        nodes: usize,
        servers: usize,
        options: BackendOptions,
        extra_settings: &str,
        config: impl Fn(&[Backend]) -> ConfigDoc,
    ) -> Self {
        let log = LogService::start(([127, 0, 0, 1], 0).into()).await.expect("the log starts");
        let ips = vec!["127.0.0.1"; nodes];
        Self::start_all(log, &ips, servers, options, extra_settings, config).await
    }

    /// Starts a fleet with one node at each of these IP addresses.
    pub async fn start_at(
        log: LogService,
        ips: &[&'static str],
        servers: usize,
        options: BackendOptions,
        extra_settings: &str,
    ) -> Self {
        Self::start_all(log, ips, servers, options, extra_settings, config).await
    }

    pub async fn start_all(
        log: LogService,
        ips: &[&'static str],
        servers: usize,
        options: BackendOptions,
        extra_settings: &str,
        config: impl Fn(&[Backend]) -> ConfigDoc,
    ) -> Self {
        let mut running = Vec::new();
        for seed in 0..servers as u64 {
            // Each server has its own IP address, as if it ran on its own VM.
            let addr = ([127, 0, 1, seed as u8 + 1], 0).into();
            let options = BackendOptions { seed, addr, ..options.clone() };
            running.push(Backend::start(options).await.expect("a backend server starts"));
        }
        publish(&log, 0, 1, config(&running));
        let addrs: Vec<_> = ips.iter().map(|ip| free_addresses(ip)).collect();
        let start = start_options(&log, &addrs, extra_settings);
        let nodes = addrs.iter().map(|(entry, peer)| spawn(*entry, *peer, &start)).collect();
        Self::wait_for_nodes(nodes, log, running).await
    }

    /// Waits until all nodes serve and list each other as entries.
    pub async fn wait_for_nodes(
        nodes: Vec<NodeProcess>,
        log: LogService,
        servers: Vec<Backend>,
    ) -> Self {
        let fleet = Fleet { nodes, log, servers, client: http_client() };
        for i in 0..fleet.nodes.len() {
            fleet.wait_until_ready(i).await;
            fleet.wait_for_entries(i, fleet.nodes.len()).await;
        }
        fleet
    }

    /// Waits until a node serves.
    pub async fn wait_until_ready(&self, node: usize) {
        wait_for("the node serves", || async {
            let reply = self.client.get(self.nodes[node].url("/v1/health")).send().await.ok()?;
            reply.status().is_success().then_some(())
        })
        .await;
    }

    /// Waits until a node's entries response lists this many entries.
    pub async fn wait_for_entries(&self, node: usize, entries: usize) {
        wait_for("the node knows the others", || async {
            (self.entries(node).await.entries.len() == entries).then_some(())
        })
        .await;
    }

    /// Returns the configuration version in force at a node.
    pub async fn version(&self, node: usize) -> Option<u64> {
        let reply = self.client.get(self.nodes[node].url("/v1/health")).send().await.ok()?;
        let value: serde_json::Value = serde_json::from_slice(&reply.bytes().await.ok()?).ok()?;
        value["version"].as_u64()
    }

    /// Waits until a node has this version in force.
    pub async fn wait_for_version(&self, node: usize, version: u64) {
        wait_for("the version is in force", || async {
            (self.version(node).await == Some(version)).then_some(())
        })
        .await;
    }

    /// Returns the usage changes of a service's backend servers from the logs of all nodes, in order of time.
    pub fn usage_changes(&self, service: &str) -> Vec<UsageChange> {
        let mut changes = Vec::new();
        for (node, process) in self.nodes.iter().enumerate() {
            for line in process.log_lines("use of a backend server changed") {
                let text = |key: &str| line["kvs"][key].as_str().unwrap_or_default().to_string();
                if text("service") == service {
                    let (at, server) = (log_time_ms(&line), text("server"));
                    changes.push(UsageChange { at, node, server, usage: text("usage") });
                }
            }
        }
        changes.sort_by_key(|change| change.at);
        changes
    }

    /// Fetches the entries response of a node.
    pub async fn entries(&self, node: usize) -> EntriesReply {
        let reply = self.client.get(self.nodes[node].url("/v1/entries")).send().await;
        let bytes = reply.expect("the node responds").bytes().await.expect("a whole response");
        serde_json::from_slice(&bytes).expect("the response is an entries reply")
    }

    /// Returns how often the request with `key` ran, summed over all servers.
    pub fn runs(&self, key: &str) -> u64 {
        self.servers.iter().map(|s| s.runs(key)).sum()
    }

    /// Returns how many requests ran, summed over all servers.
    pub fn total_runs(&self) -> u64 {
        self.servers.iter().map(|s| s.counters().ran).sum()
    }
}

/// Appends a configuration to the log and returns its offset. `base` is the version that it replaces.
pub fn publish(log: &LogService, base: u64, id: u128, config: ConfigDoc) -> u64 {
    let request_id = Arc::from(RequestId(id).to_string());
    let record = RecordDoc::ConfigProposed { request_id, base, config };
    log.append(serde_json::to_value(record).expect("the record is JSON"))
}

/// Returns a configuration with the service `orders` on these servers.
///
/// `GET /stock` is idempotent and of rank `normal`, `POST /orders` is not idempotent and `urgent`, and `GET /maps`
/// is idempotent and `bulk`.
pub fn config(servers: &[Backend]) -> ConfigDoc {
    let rank = |name: &str, share, target_ms| RankDoc {
        name: Arc::from(name),
        share,
        target_ms,
        objective: 990,
    };
    let route = |method: &str, path: &str, rank: &str, idempotent| RouteDoc {
        methods: vec![method.into()],
        path: path.into(),
        service: Arc::from("orders"),
        rank: Arc::from(rank),
        idempotent,
        deadline_ms: 5_000,
    };
    let orders = ServiceDoc {
        servers: servers
            .iter()
            .map(|s| ServerDoc {
                addr: s.addr(),
                data_centre: Arc::from("amherst"),
                slots: 6,
                connections: 390,
            })
            .collect(),
        floor: 6,
        ranks: vec![rank("urgent", 50, 250), rank("normal", 20, 1_000), rank("bulk", 10, 10_000)],
        cold_start_ms: 0,
    };
    ConfigDoc {
        services: [(Arc::from("orders"), orders)].into(),
        routes: vec![
            route("GET", "/stock", "normal", true),
            route("POST", "/orders", "urgent", false),
            route("GET", "/maps", "bulk", true),
        ],
        drains: DrainsDoc::default(),
    }
}
