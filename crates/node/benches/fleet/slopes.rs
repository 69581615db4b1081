//! Measures how the cost of control grows with the numbers of nodes, servers and routes.

use crate::{
    cluster::{Cluster, ClusterPlan},
    phases::{cost_row, BenchOptions},
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
const SERVICE_NAMES: [&str; 6] = ["viewer", "issuing", "export", "quotes", "albums", "reviews"];

/// The requests per second and node, enough to keep every service busy.
const RATE_PER_NODE: f64 = 20.0;

/// The size of a fleet in one step of the measurement.
#[derive(Clone, Copy, Debug)]
struct Step {
    nodes: usize,
    services: usize,
    servers: usize,
    routes: usize,
}

const BASE_STEP: Step = Step { nodes: 16, services: 3, servers: 6, routes: 0 };

/// The steps that vary the number of nodes. There is no larger one, because 48 processes did not all discover
/// each other within 30 s on a machine with a load average of 37.
const NODE_STEPS: [Step; 4] = [
    Step { nodes: 4, ..BASE_STEP },
    Step { nodes: 8, ..BASE_STEP },
    BASE_STEP,
    Step { nodes: 32, ..BASE_STEP },
];

/// The steps that vary the numbers of servers, services and routes.
const SIZE_STEPS: [Step; 4] = [
    Step { servers: 24, ..BASE_STEP },
    Step { services: 1, ..BASE_STEP },
    Step { services: 6, ..BASE_STEP },
    Step { nodes: 4, routes: 4_888, ..BASE_STEP },
];

/// Measures fleets with different numbers of nodes.
pub(crate) async fn vary_nodes(options: &BenchOptions, report: &mut Report) {
    measure_steps(&NODE_STEPS, options, report).await;
}

/// Measures fleets with different numbers of servers, services and routes.
pub(crate) async fn vary_sizes(options: &BenchOptions, report: &mut Report) {
    measure_configurations(report);
    measure_steps(&SIZE_STEPS, options, report).await;
}

/// Measures each step in three windows, or in one if `--quick` is given.
async fn measure_steps(steps: &[Step], options: &BenchOptions, report: &mut Report) {
    for step in steps {
        let services = SERVICE_NAMES[..step.services].iter();
        let plan = ClusterPlan {
            nodes: step.nodes,
            workers: 1,
            services: services.map(|n| (*n, step.servers, Duration::from_millis(20))).collect(),
            unused_routes: step.routes,
            seed: options.seed,
            ..ClusterPlan::default()
        };
        let cluster = Cluster::start(&plan).await;
        let windows = if options.quick { 1 } else { 3 };
        for window in 0..windows {
            measure(&cluster, step, options.seed + window, report).await;
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
        rate: RATE_PER_NODE * step.nodes as f64,
        duration_ms: 2_500,
        streams: SERVICE_NAMES[..step.services].iter().map(stream).collect(),
        seed,
        ..LoadPlan::default()
    };
    let before = probe::read_usages(cluster).await;
    let begun = Instant::now();
    let load = load::run(&plan).await.expect("the plan is valid");
    let seconds = begun.elapsed().as_secs_f64();
    let after = probe::read_usages(cluster).await;
    let leaders = cluster.leaders();
    for (who, is_leader) in [("steward", true), ("other", false)] {
        let cost = probe::mean_cost(cluster, &before, &after, seconds, |n| {
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
        report.add_row("f. slopes of control", row);
    }
}

/// Measures configurations and their routing tables, up to the planned size of 9,100 servers, 210 services and
/// 4,900 routes.
fn measure_configurations(report: &mut Report) {
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
            report.add_row(
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
    let per_service = servers / services;
    let mut config = ConfigDoc::default();
    for service in 0..services {
        let extra = usize::from(service < servers % services);
        let from = service * per_service + service.min(servers % services);
        let addrs: Vec<_> = (from..from + per_service + extra).map(addr).collect();
        let single = preset::config(&BTreeMap::from([("service", addrs)]), 6, 330);
        for doc in single.services.into_values() {
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
