//! The configuration document that operators publish.

use crate::error::{Error, Result};
use redwingtrestle_core::{
    ids::{DataCentre, RankName, ServerAddr, ServiceName},
    time::Span,
    version::spec::{Drains, RankSpec, RouteSpec, ServerSpec, ServiceSpec, Spec},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDoc {
    /// The services by name.
    #[serde(default)]
    pub services: BTreeMap<Arc<str>, ServiceDoc>,
    /// The routes. Among matching routes with paths of equal length, the first declared is used.
    #[serde(default)]
    pub routes: Vec<RouteDoc>,
    /// The servers, VMs and data centres to drain.
    #[serde(default)]
    pub drains: DrainsDoc,
}

/// Declaration of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDoc {
    /// The backend servers.
    pub servers: Vec<ServerDoc>,
    /// Minimum healthy capacity, in slots, that ejections must leave.
    pub floor: u32,
    /// The ranks, in descending urgency.
    pub ranks: Vec<RankDoc>,
    /// Time after a server's start during which its outcomes are not counted, in milliseconds.
    #[serde(default)]
    pub cold_start_ms: u64,
}

/// Declaration of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerDoc {
    /// The address on which the server accepts requests.
    pub addr: SocketAddr,
    /// The data centre of its VM.
    pub data_centre: Arc<str>,
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Maximum number of connections that the server accepts.
    pub connections: u32,
}

/// Declaration of a rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankDoc {
    /// The name of the rank.
    pub name: Arc<str>,
    /// Guaranteed share of the service's slots, in percent.
    pub share: u32,
    /// Latency target, in milliseconds. Slower requests count as late.
    pub target_ms: u64,
    /// Share of requests that must be good, in thousandths.
    pub objective: u32,
}

/// Declaration of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteDoc {
    /// The HTTP methods. An empty list matches every method.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub methods: Vec<String>,
    /// The path prefix.
    pub path: String,
    /// The service that serves the route.
    pub service: Arc<str>,
    /// The rank of the route's requests.
    pub rank: Arc<str>,
    /// Whether running a request twice has the effect of running it once.
    #[serde(default)]
    pub idempotent: bool,
    /// Deadline of a request without a deadline header, in milliseconds.
    pub deadline_ms: u64,
}

/// The servers, VMs and data centres to drain.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainsDoc {
    /// Individual backend servers.
    #[serde(default)]
    pub servers: Vec<SocketAddr>,
    /// VMs, by IP address.
    #[serde(default)]
    pub vms: Vec<IpAddr>,
    /// Whole data centres.
    #[serde(default)]
    pub data_centres: Vec<Arc<str>>,
}

impl ConfigDoc {
    /// Returns all faults of the configuration, each with its path.
    pub fn faults(&self) -> Vec<String> {
        Spec::from(self.clone()).faults().iter().map(ToString::to_string).collect()
    }

    /// Converts the document, or returns its first fault.
    pub fn into_checked(self) -> Result<Spec> {
        Spec::from(self).checked().map_err(|e| Error::config(e.to_string()))
    }
}

impl From<ConfigDoc> for Spec {
    fn from(doc: ConfigDoc) -> Self {
        Spec {
            services: doc.services.into_iter().map(|(n, s)| (ServiceName(n), s.into())).collect(),
            routes: doc.routes.into_iter().map(RouteSpec::from).collect(),
            drains: Drains {
                servers: doc.drains.servers.into_iter().map(ServerAddr).collect(),
                vms: doc.drains.vms.into_iter().collect(),
                data_centres: doc.drains.data_centres.into_iter().map(DataCentre).collect(),
            },
        }
    }
}

impl From<ServiceDoc> for ServiceSpec {
    fn from(doc: ServiceDoc) -> Self {
        ServiceSpec {
            servers: doc
                .servers
                .into_iter()
                .map(|s| ServerSpec {
                    addr: ServerAddr(s.addr),
                    data_centre: DataCentre(s.data_centre),
                    slots: s.slots,
                    connections: s.connections,
                })
                .collect(),
            floor: doc.floor,
            ranks: doc
                .ranks
                .into_iter()
                .map(|r| RankSpec {
                    name: RankName(r.name),
                    share: r.share,
                    target: Span::from_millis(r.target_ms),
                    objective: r.objective,
                })
                .collect(),
            cold_start: Span::from_millis(doc.cold_start_ms),
        }
    }
}

impl From<RouteDoc> for RouteSpec {
    fn from(doc: RouteDoc) -> Self {
        RouteSpec {
            methods: doc.methods,
            path: doc.path,
            service: ServiceName(doc.service),
            rank: RankName(doc.rank),
            idempotent: doc.idempotent,
            deadline: Span::from_millis(doc.deadline_ms),
        }
    }
}

impl From<&Spec> for ConfigDoc {
    fn from(spec: &Spec) -> Self {
        ConfigDoc {
            services: spec.services.iter().map(|(n, s)| (n.0.clone(), s.into())).collect(),
            routes: spec.routes.iter().map(RouteDoc::from).collect(),
            drains: DrainsDoc {
                servers: spec.drains.servers.iter().map(|s| s.0).collect(),
                vms: spec.drains.vms.iter().copied().collect(),
                data_centres: spec.drains.data_centres.iter().map(|d| d.0.clone()).collect(),
            },
        }
    }
}

impl From<&ServiceSpec> for ServiceDoc {
    fn from(spec: &ServiceSpec) -> Self {
        ServiceDoc {
            servers: spec
                .servers
                .iter()
                .map(|s| ServerDoc {
                    addr: s.addr.0,
                    data_centre: s.data_centre.0.clone(),
                    slots: s.slots,
                    connections: s.connections,
                })
                .collect(),
            floor: spec.floor,
            ranks: spec
                .ranks
                .iter()
                .map(|r| RankDoc {
                    name: r.name.0.clone(),
                    share: r.share,
                    target_ms: r.target.as_millis(),
                    objective: r.objective,
                })
                .collect(),
            cold_start_ms: spec.cold_start.as_millis(),
        }
    }
}

impl From<&RouteSpec> for RouteDoc {
    fn from(spec: &RouteSpec) -> Self {
        RouteDoc {
            methods: spec.methods.clone(),
            path: spec.path.clone(),
            service: spec.service.0.clone(),
            rank: spec.rank.0.clone(),
            idempotent: spec.idempotent,
            deadline_ms: spec.deadline.as_millis(),
        }
    }
}
