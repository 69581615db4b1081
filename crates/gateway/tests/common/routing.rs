//! The routing configuration that the tests use.

use redwingtrestle_core::{
    time::Span,
    version::routing_config::{
        CallerLimits, HostRoute, RepeatPolicy, RoutingConfigDoc, WeightedService,
    },
};
use std::collections::HashMap;

fn route(prefix: &str, repeat: RepeatPolicy, timeout_ms: u64) -> HostRoute {
    HostRoute {
        name: prefix.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        repeat,
        timeout: Span::from_millis(timeout_ms),
        target: Span::from_millis(timeout_ms / 2),
        priority: 0,
        parts: vec![WeightedService { service: "orders".into(), weight: 1 }],
        attempts: 2,
        anonymous: false,
    }
}

/// Returns a configuration with an idempotent route, an at-most-once route, and one with a short timeout.
pub(crate) fn routing_config(version: u64) -> RoutingConfigDoc {
    RoutingConfigDoc {
        version,
        routes: vec![
            route("/free/", RepeatPolicy::Idempotent, 3_000),
            route("/once/", RepeatPolicy::Once, 3_000),
            route("/short/", RepeatPolicy::Once, 300),
        ],
        services: HashMap::new(),
        limits: CallerLimits {
            head: 16 * 1024,
            body: 1_000_000,
            head_time: Span::from_millis(400),
            idle_time: Span::from_millis(1_500),
        },
        workspaces: None,
    }
}
