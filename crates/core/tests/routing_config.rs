//! Routes of the gateway's configuration and their weighted services.

use quickcheck::{Gen, QuickCheck};
use redwingtrestle_core::{
    cases,
    ids::ServiceName,
    time::Span,
    version::routing_config::{
        CallerLimits, HostRoute, RepeatPolicy, RoutingConfig, RoutingConfigDoc, WeightedService,
    },
};
use std::{collections::HashMap, sync::Arc};

fn route(name: &str, host: &str, prefix: &str, weights: &[(&str, u32)]) -> HostRoute {
    let part = |(service, weight): &(&str, u32)| WeightedService {
        service: (*service).into(),
        weight: *weight,
    };
    HostRoute {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        repeat: RepeatPolicy::Idempotent,
        timeout: Span::from_secs(3),
        target: Span::from_secs(1),
        priority: 0,
        parts: weights.iter().map(part).collect(),
        attempts: 2,
        anonymous: false,
    }
}

fn find_route((host, path): (&str, &str)) -> Option<Arc<str>> {
    let routes = vec![
        route("root", "a.example", "/", &[("s", 1)]),
        route("long", "a.example", "/docs/maps/", &[("s", 1)]),
        route("short", "a.example", "/docs/", &[("s", 1)]),
        route("other", "b.example", "/docs/", &[("s", 1)]),
    ];
    let services = HashMap::new();
    let limits = CallerLimits::default();
    let doc = RoutingConfigDoc { version: 1, routes, services, limits, workspaces: None };
    RoutingConfig::new(doc).find(host, path).map(|r| r.name.clone())
}

cases! {
    find_route;
    /// Guards against a shorter prefix that hides a longer one.
    longest_prefix_wins: ("a.example", "/docs/maps/7") => Some("long".into()),
    /// Guards against a prefix that matches within a segment.
    prefix_ends_at_a_segment: ("a.example", "/docs/mapsheet") => Some("short".into()),
    /// Guards against a prefix that matches a path without its last slash.
    path_without_the_last_slash_does_not_match: ("b.example", "/docs") => None,
    /// Guards against routes of another host.
    routes_of_other_hosts_are_ignored: ("b.example", "/docs/maps/7") => Some("other".into()),
    /// Guards against not finding the route of a host with a port or in capitals.
    port_and_case_of_the_host_are_ignored: ("A.Example:8080", "/x") => Some("root".into()),
    /// Guards against serving a host that no route declares.
    unknown_host_has_no_route: ("c.example", "/docs/") => None,
    /// Guards against slicing a path that has no slash.
    path_without_slash_has_no_route: ("a.example", "*") => None,
}

fn draw_service((weights, draw): (&[(&str, u32)], u32)) -> Option<ServiceName> {
    route("r", "h", "/", weights).service(draw).cloned()
}

cases! {
    draw_service;
    lowest_draw_gives_the_first_service: (&[("a", 50), ("b", 50)], 0) => Some("a".into()),
    highest_draw_gives_the_last_service: (&[("a", 50), ("b", 50)], u32::MAX) => Some("b".into()),
    /// Guards against requests for a service of weight zero.
    service_of_weight_zero_gets_nothing: (&[("a", 0), ("b", 1)], 0) => Some("b".into()),
    /// Guards against a route that refuses all requests because all its weights are zero.
    weights_of_zero_give_the_first_service: (&[("a", 0), ("b", 0)], 7) => Some("a".into()),
    /// Guards against an index out of range for a route without services.
    route_without_services_gives_none: (&[], 7) => None,
}

/// Guards against shares of requests that differ from the weights.
#[test]
fn shares_follow_the_weights() {
    fn check(weights: (u8, u8, u8)) -> bool {
        let weights =
            [("a", u32::from(weights.0)), ("b", u32::from(weights.1)), ("c", u32::from(weights.2))];
        let total: u32 = weights.iter().map(|(_, w)| w).sum();
        if total == 0 {
            return true;
        }
        let route = route("r", "h", "/", &weights);
        let mut counts: HashMap<ServiceName, u32> = HashMap::new();
        let draws = 4_096u32;
        for i in 0..draws {
            let service = route.service(i << 20).cloned().expect("a service");
            *counts.entry(service).or_default() += 1;
        }
        weights.iter().all(|(name, weight)| {
            let share = f64::from(counts.get(&ServiceName::from(*name)).copied().unwrap_or(0))
                / f64::from(draws);
            (share - f64::from(*weight) / f64::from(total)).abs() < 0.002
        })
    }
    let gen = Gen::from_size_and_seed(100, 0x6361_7461);
    QuickCheck::new().rng(gen).tests(200).quickcheck(check as fn((u8, u8, u8)) -> bool);
}
