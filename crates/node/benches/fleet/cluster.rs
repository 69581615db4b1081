//! Starts a fleet: the nodes as child processes, the fake backend servers and log in the bench's own process.

use crate::{
    preset::{self, SLOTS},
    probe,
};
use redwingtrestle_core::version::config_state::RequestId;
use redwingtrestle_fakes::{
    backend::{Backend, BackendOptions},
    log_service::LogService,
};
use redwingtrestle_node::settings::Policy;
use redwingtrestle_wire::{
    caller::EntriesReply,
    log::{OffsetRecord, RecordDoc},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    fs,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU16, Ordering},
    time::{Duration, Instant},
};

/// The timeout for the start of a cluster.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// The wait until the leaders have allocated their first leases, once all nodes know each other. A node waits 3 s
/// before it proposes a leader, and a leader allocates no leases during its first lease duration.
const FIRST_LEASE_DELAY: Duration = Duration::from_millis(4_500);

static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Returns a port below the ephemeral range that is free for TCP and UDP.
fn free_port() -> u16 {
    let offset = (std::process::id() % 500) as u16 * 40;
    for _ in 0..2_000 {
        let port = 11_000 + (offset + NEXT_PORT.fetch_add(1, Ordering::SeqCst)) % 20_000;
        if TcpListener::bind(("127.0.0.1", port)).is_ok()
            && UdpSocket::bind(("127.0.0.1", port)).is_ok()
        {
            return port;
        }
    }
    panic!("no free port");
}

/// A running `redwingd` process, which is killed on drop.
#[derive(Debug)]
pub(crate) struct NodeProcess {
    pub(crate) entry: SocketAddr,
    pub(crate) peer: SocketAddr,
    child: Child,
    settings: PathBuf,
}

impl NodeProcess {
    fn start(
        peers: &[(SocketAddr, SocketAddr)],
        own: usize,
        plan: &ClusterPlan,
        log: &str,
    ) -> Self {
        let (entry, peer) = peers[own];
        let name = format!("redwing-bench-{}-{}.json", std::process::id(), entry.port());
        let settings = std::env::temp_dir().join(name);
        // The first four nodes are the seeds of every node, which is enough to discover all others.
        let seeds: Vec<_> = peers.iter().take(4).map(|(_, peer)| peer.to_string()).collect();
        let text = serde_json::json!({
            "entry": entry.to_string(), "peer": peer.to_string(), "data_centre": "bench",
            "region": "bench", "log": log, "worker_threads": plan.workers, "seeds": seeds,
            "policy": plan.policy.to_string(), "log_filter": "error",
        });
        fs::write(&settings, text.to_string()).expect("the settings file is written");
        let child = Command::new(env!("CARGO_BIN_EXE_redwingd"))
            .args(["run", "--settings"])
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("redwingd starts");
        NodeProcess { entry, peer, child, settings }
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process without a planned stop.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_file(&self.settings);
    }
}

/// The size and the settings of a cluster.
#[derive(Clone, Debug)]
pub(crate) struct ClusterPlan {
    pub(crate) nodes: usize,
    pub(crate) workers: usize,
    pub(crate) policy: Policy,
    /// The name, number of servers and service time of each service.
    pub(crate) services: Vec<(&'static str, usize, Duration)>,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    /// The number of unused routes, in addition to four per service.
    pub(crate) unused_routes: usize,
    pub(crate) seed: u64,
}

impl Default for ClusterPlan {
    fn default() -> Self {
        ClusterPlan {
            nodes: 16,
            workers: 2,
            policy: Policy::Full,
            services: Vec::new(),
            slots: SLOTS,
            connections: 330,
            unused_routes: 0,
            seed: 1,
        }
    }
}

/// A running fleet with its fake backend servers and log.
#[derive(Debug)]
pub(crate) struct Cluster {
    pub(crate) nodes: Vec<NodeProcess>,
    pub(crate) backends: BTreeMap<&'static str, Vec<Backend>>,
    pub(crate) client: reqwest::Client,
    log: LogService,
}

impl Cluster {
    /// Starts the fakes and the nodes, and waits until all nodes serve and have slots.
    pub(crate) async fn start(plan: &ClusterPlan) -> Self {
        let log = LogService::start(([127, 0, 0, 1], 0).into()).await.expect("the log starts");
        let mut backends: BTreeMap<&'static str, Vec<Backend>> = BTreeMap::new();
        for (name, servers, service_time) in &plan.services {
            for i in 0..*servers as u64 {
                let options = BackendOptions {
                    slots: plan.slots as usize,
                    service_time: *service_time,
                    seed: plan.seed * 1_000 + i,
                    response_bytes: 512,
                    ..BackendOptions::default()
                };
                let backend = Backend::start(options).await.expect("a backend server starts");
                backends.entry(name).or_default().push(backend);
            }
        }
        let addrs = backends.iter().map(|(n, b)| (*n, b.iter().map(Backend::addr).collect()));
        let mut config = preset::config(&addrs.collect(), plan.slots, plan.connections);
        let sample = config.routes[0].clone();
        let unused = (0..plan.unused_routes).map(|i| {
            let path = format!("/unused/{}/{i}", i % 70);
            redwingtrestle_wire::config::RouteDoc { path, ..sample.clone() }
        });
        config.routes.extend(unused);
        let request_id = RequestId(1).to_string().into();
        let record = RecordDoc::ConfigProposed { request_id, base: 0, config };
        log.append(serde_json::to_value(record).expect("the record is JSON"));
        let address = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let peers: Vec<_> = (0..plan.nodes).map(|_| (address(), address())).collect();
        let start = |own| NodeProcess::start(&peers, own, plan, &log.url());
        let nodes: Vec<_> = (0..plan.nodes).map(start).collect();
        let client = reqwest::Client::builder()
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .retry(reqwest::retry::never())
            .tcp_nodelay(true)
            .build()
            .expect("the client builds");
        let cluster = Cluster { nodes, backends, client, log };
        let begun = Instant::now();
        for node in &cluster.nodes {
            while cluster.known_entries(node).await != plan.nodes {
                assert!(begun.elapsed() < START_TIMEOUT, "the cluster did not start in time");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        tokio::time::sleep(FIRST_LEASE_DELAY).await;
        cluster
    }

    async fn known_entries(&self, node: &NodeProcess) -> usize {
        let bytes = probe::get(&self.client, node.entry, "/v1/entries").await;
        serde_json::from_slice::<EntriesReply>(&bytes).map_or(0, |reply| reply.entries.len())
    }

    /// Returns the entry addresses.
    pub(crate) fn entries(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.entry).collect()
    }

    /// Returns the peer addresses of the leaders that the log assigns.
    pub(crate) fn leaders(&self) -> BTreeSet<SocketAddr> {
        let mut leaders = BTreeMap::new();
        for OffsetRecord { offset, record } in self.log.records() {
            if let Ok(RecordDoc::LeaderAssigned { service, node, base_term, .. }) =
                serde_json::from_value(record)
            {
                // The first proposal with a matching base wins; its offset is the new term.
                let (term, _) = leaders.get(&service).copied().unwrap_or((0, node.addr));
                if term == base_term {
                    leaders.insert(service, (offset, node.addr));
                }
            }
        }
        leaders.into_values().map(|(_, addr)| addr).collect()
    }

    /// Returns the number of appends that took effect at the log.
    pub(crate) fn appends(&self) -> u64 {
        self.log.appends()
    }
}
