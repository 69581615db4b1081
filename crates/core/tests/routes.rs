//! Route matching, and faults found in a configuration.

use redwingtrestle_core::{
    cases,
    ids::{DataCentre, RankIndex, ServerAddr},
    time::Span,
    version::{
        routes::Routes,
        spec::{RankSpec, RouteSpec, ServerSpec, ServiceSpec, Spec},
    },
};

fn service() -> ServiceSpec {
    let rank = |name: &str, share| RankSpec {
        name: name.into(),
        share,
        target: Span::from_millis(200),
        objective: 990,
    };
    ServiceSpec {
        servers: vec![ServerSpec {
            addr: ServerAddr(([127, 0, 0, 1], 9000).into()),
            data_centre: DataCentre::from("concord"),
            slots: 6,
            connections: 390,
        }],
        floor: 3,
        ranks: vec![rank("urgent", 50), rank("normal", 20)],
        cold_start: Span::from_secs(10),
    }
}

fn route(methods: &[&str], path: &str, rank: &str) -> RouteSpec {
    RouteSpec {
        methods: methods.iter().map(ToString::to_string).collect(),
        path: path.into(),
        service: "orders".into(),
        rank: rank.into(),
        idempotent: methods == ["GET"],
        deadline: Span::from_secs(2),
    }
}

fn spec() -> Spec {
    Spec {
        services: [("orders".into(), service())].into(),
        routes: vec![
            route(&["GET"], "/orders", "normal"),
            route(&[], "/orders", "urgent"),
            route(&[], "/orders/bulk", "normal"),
            route(&["GET"], "/", "normal"),
        ],
        ..Spec::default()
    }
}

fn find_route((method, path): (&str, &str)) -> Option<(RankIndex, bool)> {
    Routes::new(&spec()).find(method, path).map(|r| (r.rank, r.idempotent))
}

cases! {
    find_route;
    /// Among routes of the same path the first declared one wins.
    method_picks_first_declared: ("GET", "/orders") => Some((RankIndex(1), true)),
    other_method_falls_to_next: ("POST", "/orders/7") => Some((RankIndex(0), false)),
    longest_prefix_wins: ("POST", "/orders/bulk/9") => Some((RankIndex(1), false)),
    /// A prefix must end at a segment, or /ordersx would be served as /orders.
    prefix_ends_at_segment: ("POST", "/ordersx") => None,
    root_route_catches_the_rest: ("GET", "/other") => Some((RankIndex(1), true)),
    trailing_slash_is_ignored: ("POST", "/orders/bulk/") => Some((RankIndex(1), false)),
}

fn faults(change: fn(&mut Spec)) -> Vec<String> {
    let mut spec = spec();
    change(&mut spec);
    spec.faults().iter().map(ToString::to_string).collect()
}

cases! {
    faults;
    /// Guards against refusing a valid configuration.
    checked_spec_has_no_fault: |_| {} => Vec::<String>::new(),
    /// Guards against a floor that the declared servers cannot meet.
    floor_above_slots_is_a_fault: |s| s.services.get_mut(&"orders".into()).unwrap().floor = 7
        => vec!["configuration: services.orders.floor: 7 is above the 6 declared slots".to_string()],
    /// Guards against a route that hides the node's own paths.
    route_below_the_nodes_own_paths_is_a_fault: |s| s.routes[0].path = "/v1/x".into()
        => vec!["configuration: routes[0].path: /v1 belongs to the node itself".to_string()],
    /// Guards against reporting only the first fault.
    every_fault_is_reported: |s| {
        s.routes[0].service = "none".into();
        s.routes[1].rank = "none".into();
    } => vec![
        "configuration: routes[0].service: none is not declared".to_string(),
        "configuration: routes[1].rank: none is not a rank of orders".to_string(),
    ],
}
