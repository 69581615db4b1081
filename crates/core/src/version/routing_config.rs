//! A configuration of hosts, routes and weighted splits, and the lookup of a request's route in it.

use crate::{ids::ServiceName, time::Span};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc};

/// `RepeatPolicy` says how often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// Running the request again has no further effect.
    Idempotent,
    /// The request runs at most once for each attempt of its caller.
    Once,
}

/// `WeightedService` is one service of a weighted split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service that takes this part of the requests.
    pub service: ServiceName,
    /// Its share, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// `HostRoute` says what is done with the requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRoute {
    /// The operator's name of the route.
    pub name: Arc<str>,
    /// The host that callers name, in lower case.
    pub host: Arc<str>,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often a request may run.
    pub repeat: RepeatPolicy,
    /// The longest time that a caller is kept waiting.
    pub timeout: Span,
    /// The time within which an answer has its full value to the caller.
    pub target: Span,
    /// The rank of the work; 0 is the most urgent.
    pub priority: u8,
    /// The services among which requests are split; one service has the whole.
    pub parts: Vec<WeightedService>,
    /// The largest number of backend servers to which one attempt may be sent.
    pub attempts: u32,
}

impl HostRoute {
    /// Returns the service for a draw that is even over all numbers, by the weights of the parts.
    ///
    /// A route whose weights are all zero sends everything to its first part.
    pub fn service(&self, draw: u32) -> Option<&ServiceName> {
        let total: u64 = self.parts.iter().map(|p| u64::from(p.weight)).sum();
        let mut point = (u64::from(draw) * total) >> 32;
        for part in &self.parts {
            if point < u64::from(part.weight) {
                return Some(&part.service);
            }
            point -= u64::from(part.weight);
        }
        self.parts.first().map(|p| &p.service)
    }
}

/// `ServiceRule` is what a configuration says about the backend servers of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// The connections that one backend server accepts from all callers together.
    pub connections: u32,
}

/// `CallerLimits` bounds what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// The largest request head, in bytes.
    pub head: usize,
    /// The largest request body, in bytes.
    pub body: u64,
    /// How long the head of a request may take to arrive.
    pub head_time: Span,
    /// How long a connection may be idle between requests.
    pub idle_time: Span,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            head: 16 * 1024,
            body: 64 << 20,
            head_time: Span::from_secs(3),
            idle_time: Span::from_secs(15),
        }
    }
}

/// `RoutingConfigDoc` is a configuration as it is read, before its lookup is built.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingConfigDoc {
    /// The operator's version, which grows in uneven steps.
    pub version: u64,
    /// All routes.
    pub routes: Vec<HostRoute>,
    /// The services by name.
    pub services: HashMap<ServiceName, ServiceRule>,
    /// The limits on callers.
    pub limits: CallerLimits,
}

/// `RoutingConfig` is one version of the configuration with the lookup of its routes.
///
/// A route is found by hash, once for each segment of the path, so that the cost depends on the depth of the path
/// and not on the 4,900 routes of the design size.
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    doc: RoutingConfigDoc,
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<HostRoute>>>,
}

impl RoutingConfig {
    /// Builds the lookup of a configuration.
    pub fn new(doc: RoutingConfigDoc) -> Self {
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<HostRoute>>> = HashMap::new();
        for route in &doc.routes {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        RoutingConfig { doc, by_host }
    }

    /// Returns the configuration as it was read.
    pub fn doc(&self) -> &RoutingConfigDoc {
        &self.doc
    }

    /// Returns the operator's version.
    pub fn version(&self) -> u64 {
        self.doc.version
    }

    /// Returns the limits on callers.
    pub fn limits(&self) -> CallerLimits {
        self.doc.limits
    }

    /// Returns what is said about a service.
    pub fn service(&self, name: &ServiceName) -> Option<ServiceRule> {
        self.doc.services.get(name).copied()
    }

    /// Returns the route of a request: of those of the host, the one with the longest prefix of the path.
    ///
    /// A port in `host` is ignored, as callers may name it or not.
    pub fn find(&self, host: &str, path: &str) -> Option<Arc<HostRoute>> {
        let host = host.split(':').next().unwrap_or_default().to_ascii_lowercase();
        let prefixes = self.by_host.get(host.as_str())?;
        let mut end = path.rfind('/')?;
        loop {
            if let Some(route) = prefixes.get(&path[..=end]) {
                return Some(route.clone());
            }
            end = path[..end].rfind('/')?;
        }
    }
}
