//! The configuration that operators publish.

use crate::{
    error::{Error, Result},
    ids::{DataCentre, RankIndex, RankName, ServerAddr, ServiceName},
    time::Span,
};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::IpAddr,
};

/// Maximum number of ranks of a service; `RankIndex` and wire messages rely on it.
pub const MAX_RANKS: usize = 8;

/// A complete configuration: services, routes and drains.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spec {
    /// The services by name.
    pub services: BTreeMap<ServiceName, ServiceSpec>,
    /// The routes in declaration order.
    pub routes: Vec<RouteSpec>,
    /// The drains ordered by operators.
    pub drains: Drains,
}

/// The declaration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// The backend servers of the service.
    pub servers: Vec<ServerSpec>,
    /// The healthy capacity, in slots, that ejections must leave.
    pub floor: u32,
    /// The ranks, most urgent first.
    pub ranks: Vec<RankSpec>,
    /// Time after a server's start in which its failures do not count as evidence.
    pub cold_start: Span,
}

/// The declaration of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// The address that the server listens on.
    pub addr: ServerAddr,
    /// The data centre of the server's VM.
    pub data_centre: DataCentre,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that the server accepts.
    pub connections: u32,
}

/// The declaration of a rank of work in a service.
#[derive(Clone, Debug, PartialEq)]
pub struct RankSpec {
    /// The name of the rank.
    pub name: RankName,
    /// The guaranteed share of the service's slots, in percent.
    pub share: u32,
    /// Maximum latency of a good request.
    pub target: Span,
    /// The share of requests that must be good, in thousandths (990 is 99%).
    pub objective: u32,
}

/// A route from requests to a service and rank.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteSpec {
    /// The methods, in upper case; empty matches every method.
    pub methods: Vec<String>,
    /// The path prefix, matched on whole segments.
    pub path: String,
    /// The service that serves the route.
    pub service: ServiceName,
    /// The rank of the work.
    pub rank: RankName,
    /// Whether a request may run more than once without further effect.
    pub idempotent: bool,
    /// The deadline of a request without its own.
    pub deadline: Span,
}

/// The drains ordered by operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Drains {
    /// Single backend servers.
    pub servers: BTreeSet<ServerAddr>,
    /// VMs, by IP address.
    pub vms: BTreeSet<IpAddr>,
    /// Whole data centres.
    pub data_centres: BTreeSet<DataCentre>,
}

impl Drains {
    /// Returns whether `server` is to be drained.
    pub fn covers(&self, server: &ServerSpec) -> bool {
        self.servers.contains(&server.addr)
            || self.vms.contains(&server.addr.vm())
            || self.data_centres.contains(&server.data_centre)
    }
}

impl ServiceSpec {
    /// Returns the total slots of all declared servers, saturating.
    pub fn slots(&self) -> u32 {
        self.servers.iter().map(|s| s.slots).fold(0, u32::saturating_add)
    }

    /// Returns the index of the rank called `name`.
    pub fn rank_index(&self, name: &RankName) -> Option<RankIndex> {
        self.ranks.iter().position(|r| &r.name == name).map(|i| RankIndex(i as u8))
    }
}

impl Spec {
    /// Validates the configuration and returns all faults, so that an operator can fix them in one pass.
    pub fn faults(&self) -> Vec<Error> {
        let mut faults = Vec::new();
        for (name, service) in &self.services {
            service_faults(name, service, &mut faults);
        }
        for (i, route) in self.routes.iter().enumerate() {
            route_faults(i, route, self, &mut faults);
        }
        faults
    }

    /// Returns the configuration if it is valid, else the first fault.
    pub fn checked(self) -> Result<Self> {
        match self.faults().into_iter().next() {
            Some(fault) => Err(fault),
            None => Ok(self),
        }
    }
}

fn service_faults(name: &ServiceName, service: &ServiceSpec, faults: &mut Vec<Error>) {
    let mut fault = |what: String| faults.push(Error::config(format!("services.{name}.{what}")));
    if service.servers.is_empty() {
        fault("servers: at least one backend server is needed".into());
    }
    if service.ranks.is_empty() || service.ranks.len() > MAX_RANKS {
        fault(format!("ranks: 1 to {MAX_RANKS} ranks are needed, found {}", service.ranks.len()));
    }
    if service.floor > service.slots() {
        fault(format!("floor: {} is above the {} declared slots", service.floor, service.slots()));
    }
    // Capacity is computed in 32 bits.
    if service.servers.iter().map(|s| u64::from(s.slots)).sum::<u64>() > u64::from(u32::MAX) {
        fault("servers: the slots add up to more than 32 bits hold".into());
    }
    let shares: u64 = service.ranks.iter().map(|r| u64::from(r.share)).sum();
    if shares > 100 {
        fault(format!("ranks: the shares add up to {shares}%, more than 100%"));
    }
    let mut addrs = BTreeSet::new();
    for server in &service.servers {
        if !addrs.insert(server.addr) {
            fault(format!("servers: {} is listed twice", server.addr));
        }
        if server.slots == 0 || server.connections == 0 {
            fault(format!("servers: {} needs slots and connections above 0", server.addr));
        }
    }
    let mut names = BTreeSet::new();
    for rank in &service.ranks {
        if !names.insert(&rank.name) {
            fault(format!("ranks: {} is listed twice", rank.name));
        }
        if rank.objective == 0 || rank.objective >= 1000 {
            fault(format!("ranks.{}.objective: must be from 1 to 999 thousandths", rank.name));
        }
        if rank.target == Span::ZERO {
            fault(format!("ranks.{}.target: must be above 0 ms", rank.name));
        }
    }
}

fn route_faults(i: usize, route: &RouteSpec, spec: &Spec, faults: &mut Vec<Error>) {
    let mut fault = |what: String| faults.push(Error::config(format!("routes[{i}].{what}")));
    if !route.path.starts_with('/') {
        fault(format!("path: {:?} must start with '/'", route.path));
    }
    if route.path == "/v1" || route.path.starts_with("/v1/") {
        fault("path: /v1 belongs to the node itself".into());
    }
    if route.deadline == Span::ZERO {
        fault("deadline: must be above 0 ms".into());
    }
    match spec.services.get(&route.service) {
        None => fault(format!("service: {} is not declared", route.service)),
        Some(service) if service.rank_index(&route.rank).is_none() => {
            fault(format!("rank: {} is not a rank of {}", route.rank, route.service));
        }
        Some(_) => {}
    }
}
