//! The two fleets of docs/design.md, section 1.6, with service times that suit a single machine.

use redwingtrestle_wire::config::{ConfigDoc, DrainsDoc, RankDoc, RouteDoc, ServerDoc, ServiceDoc};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// The number of slots of one backend server.
pub(crate) const SLOTS: u32 = 6;

/// The ranks of each service: name, guaranteed share in percent, target in milliseconds.
pub(crate) const RANKS: [(&str, u32, u64); 3] =
    [("urgent", 50, 250), ("normal", 20, 1_000), ("bulk", 10, 10_000)];

/// A service of a preset.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Service {
    pub(crate) name: &'static str,
    pub(crate) servers: usize,
    /// The service time in the ordinary phase, in milliseconds.
    pub(crate) time_ms: u64,
    /// The rank of its requests in the ordinary phase.
    pub(crate) rank: &'static str,
    /// Whether its requests in the ordinary phase are keyed orders instead of reads.
    pub(crate) is_keyed: bool,
}

/// A fleet and its services.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Preset {
    pub(crate) name: &'static str,
    pub(crate) nodes: usize,
    pub(crate) services: [Service; 3],
    pub(crate) connections: u32,
}

/// The service times limit the capacity of the fleet to about 1,750 requests/s. A request takes less than a
/// millisecond of one core in the callers, a node and a fake server together, so a load of 45% of the capacity
/// does not saturate the machine.
pub(crate) const KERLOUAN: Preset = Preset {
    name: "kerlouan",
    nodes: 16,
    services: [
        Service { name: "viewer", servers: 8, time_ms: 60, rank: "normal", is_keyed: false },
        Service { name: "issuing", servers: 17, time_ms: 120, rank: "urgent", is_keyed: true },
        Service { name: "export", servers: 6, time_ms: 300, rank: "bulk", is_keyed: false },
    ],
    connections: 330,
};

/// See [`KERLOUAN`].
pub(crate) const AUTHORITY: Preset = Preset {
    name: "authority",
    nodes: 16,
    services: [
        Service { name: "availability", servers: 10, time_ms: 60, rank: "urgent", is_keyed: false },
        Service { name: "orders", servers: 20, time_ms: 120, rank: "urgent", is_keyed: true },
        Service { name: "documents", servers: 6, time_ms: 300, rank: "bulk", is_keyed: false },
    ],
    connections: 390,
};

impl Service {
    /// Returns the capacity of the service at a service time, in requests per second.
    pub(crate) fn capacity(&self, time: Duration) -> f64 {
        self.servers as f64 * f64::from(SLOTS) / time.as_secs_f64()
    }

    /// Returns the service time in the ordinary phase.
    pub(crate) fn ordinary_time(&self) -> Duration {
        Duration::from_millis(self.time_ms)
    }
}

/// Returns a configuration with a read route for each service and rank and an order route for each service.
///
/// The floor is only a quarter of the slots, so that servers in hold-off from earlier repetitions of the gray
/// phase do not prevent further ejections.
pub(crate) fn config(
    servers: &BTreeMap<&'static str, Vec<SocketAddr>>,
    slots: u32,
    connections: u32,
) -> ConfigDoc {
    let ranks = RANKS.map(|(name, share, target_ms)| RankDoc {
        name: Arc::from(name),
        share,
        target_ms,
        objective: 990,
    });
    let service = |addrs: &Vec<SocketAddr>| ServiceDoc {
        servers: addrs
            .iter()
            .map(|addr| ServerDoc {
                addr: *addr,
                data_centre: Arc::from("bench"),
                slots,
                connections,
            })
            .collect(),
        floor: addrs.len() as u32 * slots / 4,
        ranks: ranks.to_vec(),
        cold_start_ms: 0,
    };
    let mut routes = Vec::new();
    for name in servers.keys() {
        let mut route = |method: &str, last: &str, rank: &str, idempotent| {
            routes.push(RouteDoc {
                methods: vec![method.into()],
                path: format!("/{name}/{last}"),
                service: Arc::from(*name),
                rank: Arc::from(rank),
                idempotent,
                deadline_ms: 5_000,
            });
        };
        for (rank, ..) in RANKS {
            route("GET", rank, rank, true);
        }
        route("POST", "order", "urgent", false);
    }
    let services = servers.iter().map(|(name, addrs)| (Arc::from(*name), service(addrs)));
    ConfigDoc { services: services.collect(), routes, drains: DrainsDoc::default() }
}
