//! Route matching by path prefix and method.

use crate::{
    ids::{RankIndex, ServiceName},
    time::Span,
    version::spec::{RouteSpec, Spec},
};
use std::collections::HashMap;

/// How the requests of a matched route are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The service that handles the request.
    pub service: ServiceName,
    /// The rank of the work.
    pub rank: RankIndex,
    /// Whether a request may run more than once without further effect.
    pub idempotent: bool,
    /// The deadline of a request without its own.
    pub deadline: Span,
}

/// Finds the route with the longest matching path prefix.
///
/// The lookup does one hash access per path segment, so its cost depends on the depth of the path and not on the number
/// of routes (4,900 at the design size).
#[derive(Clone, Debug, Default)]
pub struct Routes {
    by_path: HashMap<String, Vec<(Vec<String>, Route)>>,
}

impl Routes {
    /// Builds the lookup of a validated configuration.
    pub fn new(spec: &Spec) -> Self {
        let mut by_path: HashMap<String, Vec<(Vec<String>, Route)>> = HashMap::new();
        for r in &spec.routes {
            let Some(rank) = spec.services.get(&r.service).and_then(|s| s.rank_index(&r.rank))
            else {
                continue;
            };
            let path = r.path.trim_end_matches('/').to_string();
            by_path.entry(path).or_default().push((r.methods.clone(), route(r, rank)));
        }
        Routes { by_path }
    }

    /// Returns the route with the longest prefix of `path` that allows the method, the first declared one on a tie.
    pub fn find(&self, method: &str, path: &str) -> Option<&Route> {
        let mut prefix = path.trim_end_matches('/');
        loop {
            if let Some(candidates) = self.by_path.get(prefix) {
                let hit = candidates
                    .iter()
                    .find(|(methods, _)| methods.is_empty() || methods.iter().any(|m| m == method));
                if let Some((_, route)) = hit {
                    return Some(route);
                }
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }
}

fn route(r: &RouteSpec, rank: RankIndex) -> Route {
    Route { service: r.service.clone(), rank, idempotent: r.idempotent, deadline: r.deadline }
}
