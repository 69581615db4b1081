//! The gateway's routing configuration with hosts, routes and weighted splits, and its route lookup.

use crate::{
    ids::{ServiceName, WorkspaceName},
    time::Span,
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, sync::Arc};

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RepeatPolicy {
    /// A request may run more than once without further effect.
    Idempotent,
    /// A request runs at most once per attempt of its caller.
    Once,
}

/// A service in a weighted split.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service that gets this share of the requests.
    pub service: ServiceName,
    /// The share relative to the sum of the route's weights.
    pub weight: u32,
}

/// How requests with one host and path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRoute {
    /// The operator's name of the route.
    pub name: Arc<str>,
    /// The host of the request, in lower case.
    pub host: Arc<str>,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub repeat: RepeatPolicy,
    /// Maximum time to respond to a request.
    pub timeout: Span,
    /// Response time above which the response loses value to the caller.
    pub target: Span,
    /// The rank of the work; 0 is the most urgent.
    pub priority: u8,
    /// The services that share the requests; a single service gets all of them.
    pub parts: Vec<WeightedService>,
    /// Maximum number of backend servers that one attempt is sent to.
    pub attempts: u32,
    /// Whether callers need no key, also where the configuration names workspaces.
    #[serde(default)]
    pub anonymous: bool,
}

impl HostRoute {
    /// Returns the service for `draw`, a uniformly distributed random `u32`, by the weights of the services.
    ///
    /// If all weights are 0, the first service gets all requests. Returns `None` for a route without services.
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

/// The settings of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// Maximum connections to one backend server, from all nodes together.
    pub connections: u32,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: u64,
    /// Timeout for receiving a request head.
    pub head_time: Span,
    /// Idle timeout of a connection between requests.
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

/// The requests of a workspace that all nodes together let through.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// The sustained rate, in requests per second.
    pub per_second: f64,
    /// The requests that may come at once after a calm time.
    pub burst: f64,
}

/// A customer whose callers identify themselves by a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Workspace {
    /// The operator's name of the workspace, which backend servers get instead of the key.
    pub name: WorkspaceName,
    /// The keys that are valid in this version.
    pub keys: Vec<Arc<str>>,
    /// The rank of the workspace's requests, instead of the route's.
    pub priority: Option<u8>,
    /// The limit on its requests, `None` for no limit.
    pub quota: Option<Quota>,
}

/// A routing configuration as it was read, without the lookup.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingConfigDoc {
    /// The operator's version, which increases but may skip numbers.
    pub version: u64,
    /// The routes of all hosts.
    pub routes: Vec<HostRoute>,
    /// The services by name.
    pub services: HashMap<ServiceName, ServiceRule>,
    /// The limits on callers.
    pub limits: CallerLimits,
    /// The workspaces. `None` if the deployment has none, and its callers send no keys.
    #[serde(default)]
    pub workspaces: Option<Vec<Arc<Workspace>>>,
}

/// A version of the routing configuration with its route lookup.
///
/// The lookup does one hash access per path segment, so its cost depends on the depth of the path and not on the number
/// of routes (4,900 at the design size).
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    doc: RoutingConfigDoc,
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<HostRoute>>>,
    by_key: HashMap<Arc<str>, Arc<Workspace>>,
}

impl RoutingConfig {
    /// Builds the lookup of a configuration.
    pub fn new(doc: RoutingConfigDoc) -> Self {
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, Arc<HostRoute>>> = HashMap::new();
        for route in &doc.routes {
            let prefixes = by_host.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Arc::new(route.clone()));
        }
        let mut by_key: HashMap<Arc<str>, Arc<Workspace>> = HashMap::new();
        for workspace in doc.workspaces.iter().flatten() {
            for key in &workspace.keys {
                by_key.entry(key.clone()).or_insert_with(|| workspace.clone());
            }
        }
        RoutingConfig { doc, by_host, by_key }
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

    /// Returns the settings of a service.
    pub fn service(&self, name: &ServiceName) -> Option<ServiceRule> {
        self.doc.services.get(name).copied()
    }

    /// Returns whether requests need a key, unless their route is anonymous.
    pub fn has_workspaces(&self) -> bool {
        self.doc.workspaces.is_some()
    }

    /// Returns the workspace that holds a key. One that several workspaces hold belongs to the first of them.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.by_key.get(key)
    }

    /// Returns the host's route with the longest prefix of `path`.
    ///
    /// A port in `host` is ignored, as callers may include it or not.
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
