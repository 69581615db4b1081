//! Measures how the cost of control grows with the numbers of nodes, servers and routes.

use crate::{
    cluster::{Cluster, ClusterPlan},
    phases::{cost_row, Settings},
    preset, probe,
    report::{number, Report},
};
use redwingtrestle_core::version::{routes::Routes, spec::Spec};
use redwingtrestle_ctl::load::{self, LoadPlan, LoadStream};
use redwingtrestle_wire::config::{ConfigDoc, RouteDoc};
use serde_json::json;
use std::{
    collections::BTreeMap,
    hint::black_box,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// The names of the services. A step uses the first ones.
const NAMES: [&str; 6] = ["viewer", "issuing", "export", "quotes", "albums", "reviews"];

/// The requests per second and node, enough to keep every service busy.
const RATE: f64 = 20.0;

/// The size of a fleet in one step of the measurement.
#[derive(Clone, Copy, Debug)]
struct Step {
    nodes: usize,
    services: usize,
    servers: usize,
    routes: usize,
}

const BASE: Step = Step { nodes: 16, services: 3, servers: 6, routes: 0 };

/// The steps that vary the number of nodes. There is no larger one, because 48 processes did not all discover
/// each other within 30 s on a machine with a load average of 37.
const NODES: [Step; 4] =
    [Step { nodes: 4, ..BASE }, Step { nodes: 8, ..BASE }, BASE, Step { nodes: 32, ..BASE }];

/// The steps that vary the numbers of servers, services and routes.
const SIZES: [Step; 4] = [
    Step { servers: 24, ..BASE },
    Step { services: 1, ..BASE },
    Step { services: 6, ..BASE },
    Step { nodes: 4, routes: 4_888, ..BASE },
];

/// Measures fleets with different numbers of nodes.
pub(crate) async fn nodes(settings: &Settings, report: &mut Report) {
    steps(&NODES, settings, report).await;
}

/// Measures fleets with different numbers of servers, services and routes.
pub(crate) async fn sizes(settings: &Settings, report: &mut Report) {
    configuration(report);
    steps(&SIZES, settings, report).await;
}

/// Measures each step in three windows, or in one if `--quick` is given.
async fn steps(steps: &[Step], settings: &Settings, report: &mut Report) {
    for step in steps {
        let services = NAMES[..step.services].iter();
        let plan = ClusterPlan {
            nodes: step.nodes,
            workers: 1,
            services: services.map(|n| (*n, step.servers, Duration::from_millis(20))).collect(),
            more_routes: step.routes,
            seed: settings.seed,
            ..ClusterPlan::default()
        };
        let cluster = Cluster::start(&plan).await;
        let windows = if settings.quick { 1 } else { 3 };
        for window in 0..windows {
            measure(&cluster, step, settings.seed + window, report).await;
        }
    }
}

async fn measure(cluster: &Cluster, step: &Step, seed: u64, report: &mut Report) {
    let stream = |name: &&str| LoadStream {
        name: (*name).into(),
        path: format!("/{name}/normal"),
        ..LoadStream::default()
    };
    let plan = LoadPlan {
        entries: cluster.entries(),
        rate: RATE * step.nodes as f64,
        duration_ms: 2_500,
        streams: NAMES[..step.services].iter().map(stream).collect(),
        seed,
        ..LoadPlan::default()
    };
    let before = probe::usages(cluster).await;
    let begun = Instant::now();
    let load = load::run(&plan).await.expect("the plan is valid");
    let seconds = begun.elapsed().as_secs_f64();
    let after = probe::usages(cluster).await;
    let leaders = cluster.leaders();
    for (who, is_leader) in [("steward", true), ("other", false)] {
        let cost = probe::cost(cluster, &before, &after, seconds, |n| {
            leaders.contains(&n.peer) == is_leader
        });
        if cost.nodes == 0 {
            continue;
        }
        let good: u64 = load.streams.iter().map(|s| s.good).sum();
        let mut row = vec![
            ("fleet", json!(step.nodes)),
            ("services", json!(step.services)),
            ("servers each", json!(step.servers)),
            ("routes", json!(4 * step.services + step.routes)),
            ("good", json!(good)),
        ];
        row.extend(cost_row(who, &cost));
        report.row("f. slopes of control", row);
    }
}

/// Measures configurations and their routing tables, up to the planned size of 9,100 servers, 210 services and
/// 4,900 routes.
fn configuration(report: &mut Report) {
    for (services, servers, routes) in [(3, 36, 12), (210, 9_100, 490), (210, 9_100, 4_900)] {
        let config = sized_config(services, servers, routes);
        let bytes = serde_json::to_vec(&config).expect("the configuration is JSON").len();
        let spec = Arc::new(Spec::from(config));
        for _ in 0..3 {
            let begun = Instant::now();
            let table = Routes::new(&spec);
            let build = begun.elapsed();
            let paths: Vec<String> =
                (0..1_000).map(|i| format!("/r{}/part/{i}", i * 7 % routes)).collect();
            let begun = Instant::now();
            let rounds = 20;
            let mut hits = 0u32;
            for _ in 0..rounds {
                for path in &paths {
                    hits += u32::from(black_box(table.find("GET", black_box(path))).is_some());
                }
            }
            let each = begun.elapsed().as_nanos() as f64 / f64::from(rounds * 1_000);
            assert_eq!(hits, rounds * 1_000, "every path has a route");
            report.row(
                "g. configuration",
                vec![
                    ("services", json!(services)),
                    ("servers", json!(servers)),
                    ("routes", json!(routes)),
                    ("configuration bytes", json!(bytes)),
                    ("table built in ms", number(build.as_secs_f64() * 1e3, 2)),
                    ("match ns", number(each, 0)),
                ],
            );
        }
    }
}

fn sized_config(services: usize, servers: usize, routes: usize) -> ConfigDoc {
    let addr = |i: usize| SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], 8080));
    let per = servers / services;
    let mut config = ConfigDoc::default();
    for service in 0..services {
        let extra = usize::from(service < servers % services);
        let from = service * per + service.min(servers % services);
        let addrs: Vec<_> = (from..from + per + extra).map(addr).collect();
        let one = preset::config(&BTreeMap::from([("service", addrs)]), 6, 330);
        for doc in one.services.into_values() {
            config.services.insert(Arc::from(format!("service-{service}")), doc);
        }
    }
    config.routes = (0..routes)
        .map(|i| RouteDoc {
            methods: vec!["GET".into()],
            path: format!("/r{i}"),
            service: Arc::from(format!("service-{}", i % services)),
            rank: Arc::from("normal"),
            idempotent: true,
            deadline_ms: 5_000,
        })
        .collect();
    config
}
