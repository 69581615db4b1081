//! Reads the control bytes, processor time and memory that nodes have used.

use crate::cluster::{Cluster, NodeProcess};
use std::{collections::BTreeMap, fs, net::SocketAddr, time::Duration};

/// The names of the control threads. All other threads serve requests.
const CONTROL_THREADS: [&str; 5] = ["control", "peer-rx", "peer-tx", "log", "rpc"];

/// Returns the body of the response to a `GET` request, or an empty one if the request fails.
pub(crate) async fn get(client: &reqwest::Client, entry: SocketAddr, path: &str) -> Vec<u8> {
    let request = client.get(format!("http://{entry}{path}")).timeout(Duration::from_secs(2));
    match request.send().await {
        Ok(reply) => reply.bytes().await.map(|b| b.to_vec()).unwrap_or_default(),
        Err(_) => Vec::new(),
    }
}

/// The counters of one node at one time.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeUsage {
    pub(crate) bytes_in: f64,
    pub(crate) bytes_out: f64,
    /// Bytes sent, by kind of message.
    pub(crate) sent_by_kind: BTreeMap<String, f64>,
    /// Processor time of the control threads, by thread name, in seconds.
    pub(crate) control: BTreeMap<String, f64>,
    /// Processor time of the whole process, in seconds.
    pub(crate) process: f64,
    /// Resident memory in MiB.
    pub(crate) memory: f64,
    /// The number of times that the node stopped using a server.
    pub(crate) taken_out: f64,
    /// The number of violated invariants.
    pub(crate) violations: f64,
}

impl NodeUsage {
    pub(crate) fn control_total(&self) -> f64 {
        self.control.values().sum()
    }
}

/// Reads the counters of a node.
pub(crate) async fn read_usage(cluster: &Cluster, node: &NodeProcess) -> NodeUsage {
    let bytes = get(&cluster.client, node.entry, "/v1/metrics").await;
    let text = String::from_utf8_lossy(&bytes);
    let mut usage = NodeUsage::default();
    for line in text.lines().filter(|l| !l.starts_with('#')) {
        let Some((name, value)) = line.rsplit_once(' ') else { continue };
        let Ok(value) = value.parse::<f64>() else { continue };
        if name.starts_with("redwing_control_bytes_total") {
            match name.contains("direction=\"in\"") {
                true => usage.bytes_in += value,
                false => usage.bytes_out += value,
            }
        } else if name.starts_with("redwing_control_sent_bytes_total") {
            let kind = name.split('"').nth(1).unwrap_or("").to_string();
            *usage.sent_by_kind.entry(kind).or_default() += value;
        } else if name.starts_with("redwing_servers_taken_out_total") {
            usage.taken_out += value;
        } else if name.starts_with("redwing_invariant_violations_total") {
            usage.violations += value;
        }
    }
    read_threads(node.pid(), &mut usage);
    usage
}

/// Reads the processor time of each thread, in nanoseconds since its start, and the memory of the process.
///
/// The time comes from `schedstat`, because `stat` has a resolution of 10 ms, which is one percent of a core over
/// a second.
fn read_threads(pid: u32, usage: &mut NodeUsage) {
    let Ok(tasks) = fs::read_dir(format!("/proc/{pid}/task")) else { return };
    for task in tasks.flatten() {
        let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
        let stat = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
        let nanos: f64 = stat.split(' ').next().and_then(|v| v.parse().ok()).unwrap_or(0.0);
        usage.process += nanos / 1e9;
        if CONTROL_THREADS.contains(&name.trim()) {
            *usage.control.entry(name.trim().into()).or_default() += nanos / 1e9;
        }
    }
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib: f64 = line.and_then(|l| l.trim().split(' ').next()?.parse().ok()).unwrap_or(0.0);
    usage.memory = kib / 1024.0;
}

/// Reads the counters of all nodes.
pub(crate) async fn read_usages(cluster: &Cluster) -> Vec<NodeUsage> {
    let mut usages = Vec::new();
    for node in &cluster.nodes {
        usages.push(read_usage(cluster, node).await);
    }
    usages
}

/// The mean usage per second of several nodes between two readings. The memory is that of the second reading.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodeCost {
    pub(crate) nodes: usize,
    pub(crate) bytes_in: f64,
    pub(crate) bytes_out: f64,
    pub(crate) sent_by_kind: BTreeMap<String, f64>,
    /// Processor time of control, in percent of a core.
    pub(crate) control: f64,
    /// Processor time of each control thread, in percent of a core.
    pub(crate) threads: BTreeMap<String, f64>,
    /// Processor time of the process, in percent of a core.
    pub(crate) process: f64,
    /// Resident memory in MiB.
    pub(crate) memory: f64,
}

/// Returns the mean cost of the nodes for which `choose` is true.
pub(crate) fn mean_cost(
    cluster: &Cluster,
    before: &[NodeUsage],
    after: &[NodeUsage],
    seconds: f64,
    choose: impl Fn(&NodeProcess) -> bool,
) -> NodeCost {
    let mut cost = NodeCost::default();
    for ((node, a), b) in cluster.nodes.iter().zip(before).zip(after) {
        if !choose(node) {
            continue;
        }
        cost.nodes += 1;
        cost.bytes_in += (b.bytes_in - a.bytes_in) / seconds;
        cost.bytes_out += (b.bytes_out - a.bytes_out) / seconds;
        cost.control += 100.0 * (b.control_total() - a.control_total()) / seconds;
        cost.process += 100.0 * (b.process - a.process) / seconds;
        cost.memory += b.memory;
        for (kind, value) in &b.sent_by_kind {
            let old = a.sent_by_kind.get(kind).copied().unwrap_or(0.0);
            *cost.sent_by_kind.entry(kind.clone()).or_default() += (value - old) / seconds;
        }
        for (name, value) in &b.control {
            let old = a.control.get(name).copied().unwrap_or(0.0);
            *cost.threads.entry(name.clone()).or_default() += 100.0 * (value - old) / seconds;
        }
    }
    let count = cost.nodes.max(1) as f64;
    let figures = [
        &mut cost.bytes_in,
        &mut cost.bytes_out,
        &mut cost.control,
        &mut cost.process,
        &mut cost.memory,
    ];
    figures.into_iter().for_each(|f| *f /= count);
    cost.sent_by_kind.values_mut().for_each(|v| *v /= count);
    cost.threads.values_mut().for_each(|v| *v /= count);
    cost
}
