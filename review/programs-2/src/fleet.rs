//! A small deployment: the store, gateways on addresses of their own, and the operator's configuration.

use crate::{
    gateway::{Gateway, Place, Ports},
    record::Recorder,
};
use redwingtrestle_core::{
    time::Span,
    version::routing_config::{
        CallerLimits, HostRoute, RepeatPolicy, RoutingConfigDoc, ServiceRule, WeightedService,
    },
};
use redwingtrestle_platform_fakes::store::Store;
use serde_json::Value;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

/// The host of the route.
pub const HOST: &str = "a.example";

/// The time limit of the route, in milliseconds.
pub const TIMEOUT_MS: u64 = 4_000;

/// The time within which a gateway has to be ready after its start.
pub const READY_TIME: Duration = Duration::from_secs(15);

/// Where a case runs.
#[derive(Clone, Debug)]
pub struct Site {
    /// The repository.
    pub root: PathBuf,
    /// A temporary folder.
    pub temp: PathBuf,
    pub record: Recorder,
    /// The first three numbers of all addresses.
    net: [u8; 3],
}

impl Site {
    /// Takes a loopback network of its own for the case.
    pub fn new(root: &Path, temp: &Path, record: Recorder) -> Site {
        let [_, _, high, low] = std::process::id().to_be_bytes();
        Site { root: root.into(), temp: temp.into(), record, net: [127, high | 1, low] }
    }

    /// Returns the address with this last number.
    pub fn ip(&self, last: u8) -> Ipv4Addr {
        let [a, b, c] = self.net;
        Ipv4Addr::new(a, b, c, last)
    }

    /// Returns a free port on the address with this last number.
    pub fn any_port(&self, last: u8) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(last)), 0)
    }

    /// Returns the places of gateways in these zones, without their store.
    pub fn places(&self, zones: &[&str], bounds: &Value) -> Result<Vec<Place>, String> {
        let ips: Vec<Ipv4Addr> = (0..zones.len()).map(|n| self.ip(10 + n as u8)).collect();
        let ports = Ports::find(&ips).ok_or("no free ports")?;
        let mut firsts: Vec<(&str, Ipv4Addr)> = Vec::new();
        for (zone, ip) in zones.iter().zip(&ips) {
            if firsts.iter().all(|(known, _)| known != zone) {
                firsts.push((zone, *ip));
            }
        }
        let seeds: Vec<Ipv4Addr> = firsts.iter().map(|(_, ip)| *ip).collect();
        let place = |(n, (zone, ip)): (usize, (&&str, &Ipv4Addr))| Place {
            name: format!("front-{}", n + 1),
            zone: (*zone).into(),
            ip: *ip,
            ports,
            store: self.any_port(1),
            seeds: seeds.clone(),
            bounds: bounds.clone(),
        };
        Ok(zones.iter().zip(&ips).enumerate().map(place).collect())
    }

    /// Starts the store.
    pub async fn store(&self) -> Result<Store, String> {
        Store::start(self.any_port(1)).await.map_err(|e| format!("no store: {e}"))
    }

    /// Starts gateways at these places, and waits until all are ready.
    pub async fn start(&self, places: Vec<Place>) -> Result<Vec<Gateway>, String> {
        let mut gateways = Vec::new();
        for place in places {
            gateways.push(Gateway::start(&self.root, &self.temp, place)?);
        }
        for gateway in &mut gateways {
            if !gateway.wait_ready(READY_TIME, &self.record).await {
                return Err(format!("{} is not ready", gateway.place.name));
            }
        }
        self.record.say(&format!("{} gateways are ready", gateways.len()));
        Ok(gateways)
    }
}

/// Returns a configuration whose only route sends orders, which run at most once, to `service`.
pub fn orders_to(service: &str, version: u64, services: &[&str]) -> RoutingConfigDoc {
    one_route("orders", RepeatPolicy::Once, service, version, services)
}

/// Returns a configuration that sends orders, which run at most once, and documents, which may run again, to `service`.
pub fn orders_and_documents_to(service: &str) -> RoutingConfigDoc {
    let mut doc = orders_to(service, 1, &[service]);
    let documents = one_route("documents", RepeatPolicy::Idempotent, service, 1, &[service]);
    doc.routes.extend(documents.routes);
    doc
}

fn one_route(
    name: &str,
    repeat: RepeatPolicy,
    service: &str,
    version: u64,
    services: &[&str],
) -> RoutingConfigDoc {
    RoutingConfigDoc {
        version,
        routes: vec![HostRoute {
            name: name.into(),
            host: HOST.into(),
            prefix: format!("/{name}/").into(),
            repeat,
            timeout: Span::from_millis(TIMEOUT_MS),
            target: Span::from_millis(2_000),
            priority: 0,
            parts: vec![WeightedService { service: service.into(), weight: 1 }],
            attempts: 2,
        }],
        services: services
            .iter()
            .map(|name| ((*name).into(), ServiceRule { connections: 330 }))
            .collect(),
        limits: CallerLimits::default(),
    }
}
