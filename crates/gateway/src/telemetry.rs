//! Metrics in the Prometheus text format.

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use std::sync::OnceLock;

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

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

/// Renders all metrics in the Prometheus text format.
pub fn render() -> String {
    handle().run_upkeep();
    handle().render()
}

fn describe() {
    use metrics::{describe_counter, describe_gauge, describe_histogram, Unit};
    describe_counter!("redwing_gateway_requests_total", "Requests by service and result");
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
    describe_counter!("redwing_log_lines_dropped_total", "Log lines dropped at the limit");
    describe_gauge!("redwing_gateway_config_version", "Version of the configuration in force");
    describe_gauge!("redwing_store_era", "Number of times that the store was restored from a copy");
    describe_gauge!("redwing_gateway_peers", "Other nodes that are heard");
    describe_gauge!("redwing_gateway_open_requests", "Requests that are not answered yet");
}
