//! A demo: one node with sample backend servers and a fake log service.

use crate::{
    error::{Error, Result},
    node::Node,
    settings::Settings,
};
use redwingtrestle_core::{time::Span, version::config_state::RequestId};
use redwingtrestle_fakes::{
    backend::{Backend, BackendOptions, Fault},
    log_service::LogService,
};
use redwingtrestle_wire::{
    config::{ConfigDoc, DrainsDoc, RankDoc, RouteDoc, ServerDoc, ServiceDoc},
    log::RecordDoc,
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{atomic::Ordering, Arc},
    time::Duration,
};
use tokio::runtime::Runtime;

/// A running demo. Its backend servers and its log service stop when it is dropped.
#[derive(Debug)]
pub struct Demo {
    node: Node,
    servers: Vec<Backend>,
    _log: LogService,
    _runtime: Runtime,
}

/// The services of the demo: name, number of backend servers and service time in milliseconds.
const SERVICES: [(&str, usize, u64); 3] = [("viewer", 3, 8), ("issuing", 3, 20), ("export", 2, 60)];

/// The index of the server that can be made to fail: the first of `viewer`.
const FAILING_SERVER: usize = 0;

/// The index of the server that the printed examples drain: the first of `issuing`.
const DRAINABLE_SERVER: usize = 3;

impl Demo {
    /// Starts the backend servers, the log service and a node.
    ///
    /// After `fail_after`, if given, one server of the service `viewer` responds to every request with status 500.
    pub fn start(
        entry: SocketAddr,
        peer: SocketAddr,
        fail_after: Option<Duration>,
    ) -> Result<Self> {
        let start_error = |e: std::io::Error| Error::start("demo", e.to_string());
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .map_err(start_error)?;
        let log =
            runtime.block_on(LogService::start(([127, 0, 0, 1], 0).into())).map_err(start_error)?;
        let mut servers = Vec::new();
        let mut services = BTreeMap::new();
        for (name, count, millis) in SERVICES {
            let mut addrs = Vec::new();
            for seed in 0..count as u64 {
                let service_time = Duration::from_millis(millis);
                let options = BackendOptions { seed, service_time, ..BackendOptions::default() };
                let server = runtime.block_on(Backend::start(options)).map_err(start_error)?;
                addrs.push(server.addr());
                servers.push(server);
            }
            services.insert(Arc::from(name), service(&addrs));
        }
        let config = ConfigDoc { services, routes: routes(), drains: DrainsDoc::default() };
        let record = RecordDoc::ConfigProposed {
            request_id: Arc::from(RequestId(1).to_string()),
            base: 0,
            config,
        };
        log.append(serde_json::to_value(record).map_err(|e| Error::start("demo", e.to_string()))?);
        // Callers of the demo cache no addresses, so its planned stop need not wait for caches to expire.
        let entries_ttl = Span::from_millis(200);
        let settings = Settings { entry, peer, entries_ttl, log: log.url(), ..Settings::default() };
        let node = Node::start(settings)?;
        if let Some(wait) = fail_after {
            let failing = servers[FAILING_SERVER].fault_handle();
            runtime.spawn(async move {
                tokio::time::sleep(wait).await;
                failing.set(Fault::Fail(1.0));
                log::warn!(
                    "the demo makes a backend server respond to every request with status 500"
                );
            });
        }
        Ok(Demo { node, servers, _log: log, _runtime: runtime })
    }

    /// Returns the sample backend servers.
    pub fn servers(&self) -> &[Backend] {
        &self.servers
    }

    /// Returns the address of the server that `fail_after` makes fail.
    pub fn failing_server(&self) -> SocketAddr {
        self.servers[FAILING_SERVER].addr()
    }

    /// Returns the address of a server that may be drained without going below the floor.
    pub fn drainable_server(&self) -> SocketAddr {
        self.servers[DRAINABLE_SERVER].addr()
    }

    /// Returns whether the node is ready to serve.
    pub fn is_ready(&self) -> bool {
        self.node.shared().ready.load(Ordering::SeqCst)
    }

    /// Returns the node of the demo.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Stops the node as planned, then the backend servers and the log service.
    pub fn stop(self) -> Result<()> {
        self.node.stop()
    }
}

fn service(addrs: &[SocketAddr]) -> ServiceDoc {
    let rank = |name: &str, share, target_ms| RankDoc {
        name: Arc::from(name),
        share,
        target_ms,
        objective: 990,
    };
    ServiceDoc {
        servers: addrs
            .iter()
            .map(|addr| ServerDoc {
                addr: *addr,
                data_centre: Arc::from("local"),
                slots: 6,
                connections: 330,
            })
            .collect(),
        floor: 6,
        ranks: vec![rank("urgent", 50, 250), rank("normal", 20, 1_000), rank("bulk", 10, 10_000)],
        cold_start_ms: 0,
    }
}

fn routes() -> Vec<RouteDoc> {
    let route = |methods: &[&str], path: &str, service: &str, rank: &str, idempotent| RouteDoc {
        methods: methods.iter().map(ToString::to_string).collect(),
        path: path.into(),
        service: Arc::from(service),
        rank: Arc::from(rank),
        idempotent,
        deadline_ms: 10_000,
    };
    vec![
        route(&["GET", "HEAD"], "/invoices", "viewer", "normal", true),
        route(&["POST"], "/invoices", "issuing", "urgent", false),
        route(&["GET"], "/exports", "export", "bulk", true),
    ]
}
