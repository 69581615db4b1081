//! Metrics in the Prometheus text format.

use crate::clock::duration;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use redwingtrestle_core::time::Span;
use std::sync::OnceLock;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// How often the samples of histograms are put into their buckets. Until then each sample takes memory, and nobody may
/// ask for the metrics.
pub const UPKEEP_INTERVAL: Span = Span::from_secs(5);

/// The bucket bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.0, 4.0, 8.0, 16.0];

/// Installs the recorder of a gateway's metrics, and returns the handle that renders them.
pub fn handle() -> &'static PrometheusHandle {
    let matcher = Matcher::Suffix("_seconds".into());
    let builder = PrometheusBuilder::new();
    let builder = builder
        .set_buckets_for_metric(matcher, &LATENCY_BOUNDS)
        .unwrap_or_else(|_| PrometheusBuilder::new());
    install(builder, describe)
}

/// Installs the recorder of this process's metrics, and returns the handle that renders them. Later calls change
/// nothing and return the first handle.
pub fn install(builder: PrometheusBuilder, describe: fn()) -> &'static PrometheusHandle {
    HANDLE.get_or_init(|| {
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        // Fails only if a test in the same process has already installed a recorder.
        let _ = metrics::set_global_recorder(recorder);
        describe();
        handle
    })
}

/// Puts the samples of all histograms into their buckets at this interval, until the process ends.
pub async fn run_upkeep(handle: &PrometheusHandle, interval: Span) {
    let mut timer = tokio::time::interval(duration(interval));
    loop {
        timer.tick().await;
        handle.run_upkeep();
    }
}

/// Renders all metrics in the Prometheus text format.
pub fn render() -> String {
    handle().run_upkeep();
    handle().render()
}

fn describe() {
    use metrics::{describe_counter, describe_gauge, describe_histogram, Unit};
    describe_counter!("redwing_gateway_requests_total", "Requests by service and result");
    describe_counter!(
        "redwing_gateway_refusals_total",
        "Requests refused before a server was chosen, by code"
    );
    describe_histogram!(
        "redwing_gateway_request_seconds",
        Unit::Seconds,
        "Time from the head of a request to its answer, by service"
    );
    describe_counter!(
        "redwing_gateway_sends_total",
        "Sends to backend servers, by service and end"
    );
    describe_counter!(
        "redwing_gateway_pipelined_total",
        "Requests that started before earlier ones of their connection were answered, by end"
    );
    describe_counter!("redwing_gateway_connects_total", "New connections to backend servers");
    describe_counter!("redwing_store_calls_total", "Calls to the store, by stream and result");
    describe_counter!("redwing_peer_bytes_total", "Bytes of messages between nodes, by direction");
    describe_counter!("redwing_peer_datagrams_total", "Messages between nodes, by direction");
    describe_counter!("redwing_log_lines_dropped_total", "Log lines dropped at the limit");
    describe_gauge!("redwing_gateway_config_version", "Version of the configuration in force");
    describe_gauge!("redwing_store_era", "Number of times that the store was restored from a copy");
    describe_gauge!("redwing_gateway_peers", "Other nodes that are heard");
    describe_gauge!(
        "redwing_gateway_message_slowdown",
        "Ratio of the intervals of messages to other nodes to the usual ones"
    );
    describe_gauge!("redwing_gateway_typical_cores", "Median processor of the known nodes");
    describe_gauge!(
        "redwing_gateway_collected_bytes",
        Unit::Bytes,
        "Memory of the collected bodies of requests and of responses"
    );
    describe_counter!(
        "redwing_gateway_memory_refusals_total",
        "Requests refused because collected bodies take all their memory"
    );
    describe_gauge!("redwing_gateway_open_requests", "Requests that are not answered yet");
}
