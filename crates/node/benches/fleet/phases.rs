//! Runs the phases of one preset under one policy, all on the same fleet.

use crate::{
    cluster::{Cluster, ClusterPlan},
    preset::{Preset, Service, RANKS},
    probe,
    report::{number, percent, Report},
};
use redwingtrestle_core::codes::{Outcome, ResultCode};
use redwingtrestle_ctl::load::{self, LoadPlan, LoadReport, LoadStream, StreamReport};
use redwingtrestle_fakes::backend::{Backend, Fault};
use redwingtrestle_node::settings::Policy;
use serde_json::{json, Value};
use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

/// The load in the ordinary phase, as a fraction of the capacity.
const ORDINARY_LOAD: f64 = 0.45;

/// The service time in the gray phase, and its requests per server and second.
const GRAY_TIME: Duration = Duration::from_millis(40);
const GRAY_RATE: f64 = 50.0;

/// A server counts as ejected after this long without a request. At 50 requests/s it would have got 20.
const QUIET_TIME: Duration = Duration::from_millis(400);

/// Bad responses are counted for this long after a fault, the same for all policies so that they are comparable.
const GRAY_WINDOW: Duration = Duration::from_millis(2_500);

/// The duration of a fault under the local policy, where each node has a sixteenth of the evidence.
const LOCAL_WINDOW: Duration = Duration::from_millis(5_000);

/// The faults of the gray phase.
const FAULTS: [(&str, Fault); 5] = [
    ("fails all", Fault::Fail(1.0)),
    ("fails 30%", Fault::Fail(0.3)),
    ("slow by ten", Fault::Slow(10.0)),
    ("flaps, 300 ms", Fault::Flap(300)),
    ("hangs", Fault::Hang),
];

/// The service time in the refusals, at which 2,400 orders/s are 9 to 10 times the capacity of the second service.
const REFUSAL_TIME: Duration = Duration::from_millis(400);
const REFUSAL_RATE: f64 = 2_400.0;
/// The number of turns of 150 ms in which servers shed. After them, a queue takes 2.5 s to reach its limit.
const SHED_TURNS: usize = 7;

/// The service time in the floods, at which ten times the capacity is 2,400 to 3,000 requests/s.
const FLOOD_TIME: Duration = Duration::from_millis(200);

/// The ordinary load of each rank in the floods, as a fraction of the capacity and below its guaranteed share.
const FLOOD_SHARES: [f64; 3] = [0.2, 0.15, 0.08];

/// The targets of the ranks in the floods, in milliseconds. The service time alone is 200 ms.
const FLOOD_TARGETS: [u64; 3] = [500, 1_000, 2_000];

/// The options from the command line that every phase uses.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BenchOptions {
    pub(crate) seed: u64,
    pub(crate) quick: bool,
}

/// Runs the wanted phases of one preset under one policy.
pub(crate) async fn run(
    preset: &Preset,
    policy: Policy,
    wanted: &[&str],
    options: &BenchOptions,
    report: &mut Report,
) {
    if !["ordinary", "gray", "flood", "keys"].iter().any(|p| wanted.contains(p)) {
        return;
    }
    let plan = ClusterPlan {
        nodes: preset.nodes,
        policy,
        services: preset.services.iter().map(|s| (s.name, s.servers, s.ordinary_time())).collect(),
        connections: preset.connections,
        seed: options.seed,
        ..ClusterPlan::default()
    };
    let mut runner =
        PhaseRunner { cluster: Cluster::start(&plan).await, preset, policy, options, report };
    if wanted.contains(&"ordinary") {
        runner.run_ordinary_phase().await;
    }
    if wanted.contains(&"gray") {
        runner.run_gray_phase().await;
    }
    if wanted.contains(&"flood") {
        runner.run_flood_phase().await;
    }
    if wanted.contains(&"keys") {
        runner.run_keys_phase().await;
    }
}

struct PhaseRunner<'a> {
    cluster: Cluster,
    preset: &'a Preset,
    policy: Policy,
    options: &'a BenchOptions,
    report: &'a mut Report,
}

impl PhaseRunner<'_> {
    fn row_head(&self) -> Vec<(&'static str, Value)> {
        vec![("preset", json!(self.preset.name)), ("policy", json!(self.policy.to_string()))]
    }

    fn add_row(&mut self, table: &str, figures: Vec<(&'static str, Value)>) {
        let mut row = self.row_head();
        row.extend(figures);
        self.report.add_row(table, row);
    }

    fn load_plan(&self, millis: u64, rate: f64, streams: Vec<LoadStream>) -> LoadPlan {
        LoadPlan {
            entries: self.cluster.entries(),
            rate,
            duration_ms: millis,
            streams,
            seed: self.options.seed,
            keyed_to_home: true,
            callers: 64,
            ..LoadPlan::default()
        }
    }

    fn set_service_times(&self, time: impl Fn(&Service) -> Duration) {
        for service in &self.preset.services {
            for backend in &self.cluster.backends[service.name] {
                backend.set_service_time(time(service));
            }
        }
    }

    /// Runs ordinary load on all services. Reports the results by rank, the ejections without a fault and the cost of
    /// control.
    async fn run_ordinary_phase(&mut self) {
        let millis = if self.options.quick { 2_500 } else { 6_000 };
        self.set_service_times(Service::ordinary_time);
        let streams: Vec<LoadStream> = self.preset.services.iter().map(ordinary_stream).collect();
        let rate = streams.iter().map(|s| s.weight).sum();
        let plan = self.load_plan(millis, rate, streams);
        let before = probe::read_usages(&self.cluster).await;
        let begun = Instant::now();
        let load = load::run(&plan).await.expect("the plan is valid");
        let seconds = begun.elapsed().as_secs_f64();
        let after = probe::read_usages(&self.cluster).await;
        for stream in &load.streams {
            self.add_row("a. ordinary load, service", service_row(stream, &load));
        }
        let out = |usages: &[probe::NodeUsage]| usages.iter().map(|u| u.taken_out).sum::<f64>();
        let violations: f64 = after.iter().map(|u| u.violations).sum();
        let leaders = self.cluster.leaders();
        for (who, is_leader) in [("steward", true), ("other", false)] {
            let cost = probe::mean_cost(&self.cluster, &before, &after, seconds, |n| {
                leaders.contains(&n.peer) == is_leader
            });
            if cost.nodes == 0 {
                continue;
            }
            self.add_row("a. ordinary load, cost per node", cost_row(who, &cost));
        }
        let rows = vec![
            ("false ejections", number(out(&after) - out(&before), 0)),
            ("server seconds", number(self.server_count() as f64 * seconds, 0)),
            ("violations", number(violations, 0)),
            ("appends at the log", json!(self.cluster.appends())),
        ];
        self.add_row("a. ordinary load, false ejections", rows);
    }

    fn server_count(&self) -> usize {
        self.preset.services.iter().map(|s| s.servers).sum()
    }

    /// Makes one server after the other faulty, under orders and reads.
    async fn run_gray_phase(&mut self) {
        let repetitions = match (self.options.quick, self.policy) {
            (true, _) | (_, Policy::RoundRobin) => 1,
            (_, Policy::Local) => 1,
            (_, Policy::Full) => 3,
        };
        let window = match (self.options.quick, self.policy) {
            (false, Policy::Local) => LOCAL_WINDOW,
            _ => GRAY_WINDOW,
        };
        let service = self.preset.services[1];
        self.set_service_times(|_| GRAY_TIME);
        let whole = (window + QUIET_TIME) * (FAULTS.len() * repetitions) as u32;
        let [(_, _, urgent), (_, _, normal), (_, _, bulk)] = RANKS;
        // A node passes a failed order on to the caller, but retries failed reads.
        let mut order = stream(service.name, "order", 0.3, urgent);
        (order.method, order.idempotent) = ("POST".into(), false);
        let streams = vec![
            order,
            stream(service.name, "normal", 0.6, normal),
            stream(service.name, "bulk", 0.1, bulk),
        ];
        let rate = GRAY_RATE * service.servers as f64;
        let mut plan = self.load_plan(whole.as_millis() as u64, rate, streams);
        // If the callers repeated requests, the bad responses would not be counted.
        plan.max_sends = 1;
        let begun = Instant::now();
        let task = tokio::spawn(async move {
            let mut bad = Vec::new();
            let is_bad = |r: &load::RequestRecord| {
                r.status.is_none_or(|s| s >= 500) || r.outcome == Outcome::Unknown
            };
            let load = load::run_with(&plan, |r| {
                let at = Duration::from_micros(r.intended_us);
                bad.push((at, r.stream, is_bad(r), r.latency_us));
            })
            .await;
            (load.expect("the plan is valid"), bad)
        });
        // Lets requests reach every server before the first fault.
        tokio::time::sleep(QUIET_TIME).await;
        let mut found: Vec<Vec<Option<Duration>>> = vec![Vec::new(); FAULTS.len()];
        let mut windows = vec![Vec::new(); FAULTS.len()];
        for turn in 0..repetitions * FAULTS.len() {
            let kind = turn % FAULTS.len();
            let server = &self.cluster.backends[service.name][turn % service.servers];
            let from = begun.elapsed();
            found[kind].push(match FAULTS[kind].1 {
                Fault::Hang => self.time_until_unused(server, window).await,
                fault => time_of_last_arrival(server, fault, window).await,
            });
            windows[kind].push((from, from + GRAY_WINDOW));
        }
        let (_, records) = task.await.expect("the load ends");
        for (kind, (name, _)) in FAULTS.iter().enumerate() {
            let inside = |at: &Duration| windows[kind].iter().any(|(a, b)| at >= a && at < b);
            let all: Vec<_> = records.iter().filter(|(at, ..)| inside(at)).collect();
            let orders = all.iter().filter(|r| r.1 == 0);
            let bad_orders = orders.clone().filter(|r| r.2).count() as u64;
            let bad_reads = all.iter().filter(|r| r.1 != 0 && r.2).count();
            let late = all.iter().filter(|r| r.3 > 250_000).count() as u64;
            let mut times: Vec<_> = found[kind].iter().flatten().map(Duration::as_millis).collect();
            times.sort_unstable();
            let millis = |at: Option<&u128>| at.map_or(json!("-"), |ms| json!(*ms as u64));
            let rows = vec![
                ("fault", json!(name)),
                ("found", json!(format!("{} of {}", times.len(), found[kind].len()))),
                ("p50 ms", millis(times.get(times.len() / 2))),
                ("max ms", millis(times.last())),
                ("orders", json!(orders.clone().count())),
                ("bad orders", json!(bad_orders)),
                ("bad orders %", percent(bad_orders, orders.count() as u64)),
                ("reads", json!(all.len() - all.iter().filter(|r| r.1 == 0).count())),
                ("bad reads", json!(bad_reads)),
                ("over 250 ms", json!(late)),
            ];
            self.add_row("b. gray failures", rows);
        }
    }

    /// Floods one service with ten times its capacity, first at the lowest rank and then at the urgent one.
    async fn run_flood_phase(&mut self) {
        let millis = if self.options.quick { 2_000 } else { 4_000 };
        let service = self.preset.services[0];
        self.set_service_times(|_| FLOOD_TIME);
        let capacity = service.capacity(FLOOD_TIME);
        for flooding in [2, 0] {
            let streams = RANKS.iter().zip(FLOOD_SHARES).zip(FLOOD_TARGETS);
            let streams = streams
                .map(|(((rank, ..), share), target)| stream(service.name, rank, share, target));
            let rate = capacity * FLOOD_SHARES.iter().sum::<f64>();
            // The ordinary requests start first, and all of them are counted.
            let mut ordinary = self.load_plan(millis, rate, streams.collect());
            ordinary.max_sends = 1;
            let (rank, ..) = RANKS[flooding];
            let mut one = stream(service.name, rank, 1.0, FLOOD_TARGETS[flooding]);
            // The flood names no workspace, so that it shares none with the ordinary requests.
            one.workspaces = 0;
            one.name = "flood".into();
            let mut flood = self.load_plan(millis, 10.0 * capacity, vec![one]);
            (flood.max_sends, flood.seed) = (1, self.options.seed + 1);
            let (ordinary, flood) = tokio::join!(load::run(&ordinary), load::run(&flood));
            let (ordinary, flood) = (ordinary.expect("valid"), flood.expect("valid"));
            for (load, stream) in ordinary
                .streams
                .iter()
                .map(|s| (&ordinary, s))
                .chain(flood.streams.iter().map(|s| (&flood, s)))
            {
                let mut row = vec![("flood of", json!(rank))];
                row.extend(service_row(stream, load));
                self.add_row("c. floods of 10 times the capacity", row);
            }
        }
    }

    /// Makes a server hang and returns how long it took until every node had stopped using a server, or `None` if
    /// that took longer than `window`.
    ///
    /// The server's arrivals do not show this, because they stop as soon as its slots are full.
    async fn time_until_unused(&self, server: &Backend, window: Duration) -> Option<Duration> {
        let before = probe::read_usages(&self.cluster).await;
        server.set_fault(Fault::Hang);
        let (begun, mut next, mut found) = (Instant::now(), 0, None);
        while begun.elapsed() < window {
            tokio::time::sleep(Duration::from_millis(5)).await;
            while next < before.len() && found.is_none() {
                let now = probe::read_usage(&self.cluster, &self.cluster.nodes[next]).await;
                if now.taken_out <= before[next].taken_out {
                    break;
                }
                next += 1;
            }
            if next == before.len() && found.is_none() {
                found = Some(begun.elapsed());
            }
        }
        server.set_fault(Fault::None);
        tokio::time::sleep(QUIET_TIME).await;
        found
    }

    /// Sends keyed orders while servers cut connections, and then while most orders are refused. A node is killed in
    /// each part.
    async fn run_keys_phase(&mut self) {
        let millis: u64 = if self.options.quick { 2_000 } else { 5_000 };
        let service = self.preset.services[1];
        let mut order = stream(service.name, "order", 1.0, 1_000);
        (order.method, order.idempotent, order.body_bytes) = ("POST".into(), false, 200);
        let cuts = [Fault::CutAfter, Fault::CutBefore, Fault::Truncate];
        self.set_service_times(|_| GRAY_TIME);
        let plan = self.load_plan(millis, 300.0, vec![order.clone()]);
        let cut = |turn, i| if i == turn % service.servers { cuts[turn % 3] } else { Fault::None };
        self.run_keyed_orders("cuts", 0, plan, cut).await;

        // Some orders have tight deadlines, and others can wait longer than a full queue takes.
        self.set_service_times(|_| REFUSAL_TIME);
        let (mut tight, mut patient) = (order.clone(), order);
        (tight.deadline_ms, patient.deadline_ms) = (600, 5_000);
        (patient.workspaces, patient.weight) = (0, 3.0);
        let mut plan = self.load_plan(millis.max(4_000), REFUSAL_RATE, vec![tight, patient]);
        plan.entries.remove(0);
        plan.seed += 1;
        let shed = |turn, i| match (turn + i) % 3 {
            _ if i == turn % service.servers => cuts[turn % 3],
            0 => Fault::None,
            _ => Fault::ShedAll,
        };
        // Servers shed in the first turns. After that, the queues grow to their limits.
        let refuse = |turn, i| if turn < SHED_TURNS { shed(turn, i) } else { Fault::None };
        self.run_keyed_orders("refusals", 1, plan, refuse).await;
    }

    /// Sends keyed orders while `fault` sets the fault of each server in turns of 150 ms, and kills the node `victim`
    /// half way. Compares the outcomes reported to the callers with the servers' counts of runs.
    async fn run_keyed_orders(
        &mut self,
        part: &str,
        victim: usize,
        plan: LoadPlan,
        fault: impl Fn(usize, usize) -> Fault,
    ) {
        let service = self.preset.services[1];
        let length = Duration::from_millis(plan.duration_ms);
        let (finish, mut records) = tokio::sync::mpsc::unbounded_channel();
        let task = tokio::spawn(async move {
            let (mut last, mut codes) = (HashMap::new(), BTreeMap::<u16, u64>::new());
            let each = |r: &load::RequestRecord| {
                if let Some(key) = &r.key {
                    last.insert(key.clone(), r.outcome);
                }
                if r.outcome == Outcome::NotRun {
                    *codes.entry(r.code.unwrap_or(0)).or_default() += 1;
                }
            };
            let load = load::run_with(&plan, each).await;
            let _ = finish.send((last, codes));
            load.expect("the plan is valid")
        });
        let (begun, mut turn) = (Instant::now(), 0);
        let mut killed = false;
        while begun.elapsed() < length {
            let backends = &self.cluster.backends[service.name];
            backends.iter().enumerate().for_each(|(i, b)| b.set_fault(fault(turn, i)));
            tokio::time::sleep(Duration::from_millis(150)).await;
            backends.iter().for_each(|b| b.set_fault(Fault::None));
            turn += 1;
            if !killed && begun.elapsed() > length / 2 {
                killed = true;
                self.cluster.nodes[victim].kill();
            }
        }
        let load = task.await.expect("the load ends");
        let (outcomes, codes) = records.recv().await.unwrap_or_default();
        // Waits for runs that come too late, from a copy that a node still holds after its caller got an outcome.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let backends = &self.cluster.backends[service.name];
        let mut runs: HashMap<String, u64> = HashMap::new();
        for (key, count) in backends.iter().flat_map(|b| b.counters().runs) {
            *runs.entry(key).or_default() += count;
        }
        // A request that had to use a fresh key has several keys, which have a part in common.
        let mut requests: HashMap<&str, u64> = HashMap::new();
        for (key, count) in &runs {
            *requests.entry(request_part(key)).or_default() += count;
        }
        let with_outcome = |outcome| outcomes.iter().filter(move |(_, o)| **o == outcome);
        let false_not_run = with_outcome(Outcome::NotRun)
            .filter(|(key, _)| requests.contains_key(request_part(key)))
            .count();
        let without_run =
            with_outcome(Outcome::Ran).filter(|(key, _)| !runs.contains_key(*key)).count();
        let twice = runs.values().filter(|count| **count > 1).count();
        let repeated = requests.values().filter(|count| **count > 1).count();
        let sum = |of: fn(&StreamReport) -> u64| load.streams.iter().map(of).sum::<u64>();
        let refused = |code: ResultCode| json!(codes.get(&code.number()).copied().unwrap_or(0));
        let rows = vec![
            ("part", json!(part)),
            ("requests", json!(sum(|s| s.requests))),
            ("ran", json!(sum(|s| s.ran))),
            ("not_run", json!(sum(|s| s.not_run))),
            ("queue_full", refused(ResultCode::QueueFull)),
            ("deadline_unmet", refused(ResultCode::DeadlineUnmet)),
            ("shed", refused(ResultCode::Shed)),
            ("unknown", json!(sum(|s| s.unknown))),
            ("resends", json!(sum(|s| s.resends))),
            ("keys run", json!(runs.len())),
            ("keys over 1 run", json!(twice)),
            ("requests over 1 run", json!(repeated)),
            ("not_run checked", json!(with_outcome(Outcome::NotRun).count())),
            ("false not_run", json!(false_not_run)),
            ("ran without a run", json!(without_run)),
            ("mismatched", json!(sum(|s| s.mismatched))),
        ];
        self.add_row("d. at most once under cuts, refusals and a killed node", rows);
    }
}

/// Returns the part of a key that all keys of the same request have in common.
fn request_part(key: &str) -> &str {
    let own = key.rsplit_once('.').map_or(key, |(_, own)| own);
    own.rsplit_once('-').map_or(own, |(own, _)| own)
}

/// Returns a stream of reads of one rank. If `rank` is `order`, the path is that of orders.
fn stream(service: &str, rank: &str, weight: f64, target_ms: u64) -> LoadStream {
    LoadStream {
        name: format!("{service} {rank}"),
        path: format!("/{service}/{rank}"),
        weight,
        target_ms,
        workspaces: 40,
        deadline_ms: 2_000,
        ..LoadStream::default()
    }
}

fn ordinary_stream(service: &Service) -> LoadStream {
    let target = RANKS.iter().find(|(rank, ..)| *rank == service.rank).map_or(0, |r| r.2);
    let weight = ORDINARY_LOAD * service.capacity(service.ordinary_time());
    let mut stream = stream(service.name, service.rank, weight, target);
    if service.is_keyed {
        stream.path = format!("/{}/order", service.name);
        (stream.method, stream.idempotent) = ("POST".into(), false);
    }
    stream.deadline_ms = 5_000;
    stream
}

/// Sets a fault and returns how long after it the last ordinary request arrived, or `None` if requests did not stop
/// in time.
async fn time_of_last_arrival(
    server: &Backend,
    fault: Fault,
    window: Duration,
) -> Option<Duration> {
    server.set_fault(fault);
    let begun = Instant::now();
    let (mut arrived, mut last) = (server.arrived(), Duration::ZERO);
    while begun.elapsed() < window {
        tokio::time::sleep(Duration::from_millis(5)).await;
        let now = server.arrived();
        if now != arrived && last + QUIET_TIME > begun.elapsed() {
            (arrived, last) = (now, begun.elapsed());
        }
    }
    server.set_fault(Fault::None);
    // Requests that arrive after a quiet time are trials of the probation, which are not counted.
    let found = last + QUIET_TIME < window;
    tokio::time::sleep(QUIET_TIME).await;
    found.then_some(last)
}

fn service_row(stream: &StreamReport, load: &LoadReport) -> Vec<(&'static str, Value)> {
    let seconds = load.duration_ms as f64 / 1e3;
    let refused: u64 = stream.not_run;
    vec![
        ("work", json!(stream.name)),
        ("offered/s", number(stream.requests as f64 / seconds, 0)),
        ("answered/s", number(stream.ran as f64 / seconds, 0)),
        ("in target %", percent(stream.good, stream.requests)),
        ("late %", percent(stream.late, stream.requests)),
        ("not_run %", percent(refused, stream.requests)),
        ("unknown %", percent(stream.unknown, stream.requests)),
        ("p50 ms", number(stream.answered.p50_us as f64 / 1e3, 1)),
        ("p99 ms", number(stream.answered.p99_us as f64 / 1e3, 1)),
        ("lag p99 ms", number(load.lag.p99_us as f64 / 1e3, 1)),
    ]
}

/// Returns the cost of the nodes with one role as columns.
pub(crate) fn cost_row(who: &'static str, cost: &probe::NodeCost) -> Vec<(&'static str, Value)> {
    let kind = |name: &str| number(cost.sent_by_kind.get(name).copied().unwrap_or(0.0), 0);
    vec![
        ("role", json!(who)),
        ("nodes", json!(cost.nodes)),
        ("out B/s", number(cost.bytes_out, 0)),
        ("in B/s", number(cost.bytes_in, 0)),
        ("heartbeat", kind("heartbeat")),
        ("evidence", kind("evidence")),
        ("announcement", kind("announcement")),
        ("grant", kind("grant")),
        ("control % of a core", number(cost.control, 2)),
        ("control thread", number(cost.threads.get("control").copied().unwrap_or(0.0), 2)),
        ("log thread", number(cost.threads.get("log").copied().unwrap_or(0.0), 2)),
        ("process % of a core", number(cost.process, 1)),
        ("memory MiB", number(cost.memory, 1)),
    ]
}
