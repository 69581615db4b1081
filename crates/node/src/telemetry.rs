//! Metrics in the Prometheus text format.

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use redwingtrestle_core::invariant::{violations, Invariant};
use redwingtrestle_gateway::telemetry::install;
use strum::IntoEnumIterator;

/// Installs the metrics recorder and returns the handle that renders it. Later calls return the first handle.
pub fn handle() -> &'static PrometheusHandle {
    install(PrometheusBuilder::new(), describe)
}

/// Renders all metrics, including the counts of violated invariants.
pub fn render() -> String {
    for which in Invariant::iter() {
        let name: &'static str = which.into();
        metrics::counter!("redwing_invariant_violations_total", "invariant" => name)
            .absolute(violations(which));
    }
    handle().run_upkeep();
    handle().render()
}

fn describe() {
    use metrics::{describe_counter, describe_gauge, describe_histogram, Unit};
    describe_counter!("redwing_requests_total", "Requests by service, rank and result");
    describe_histogram!(
        "redwing_request_seconds",
        Unit::Seconds,
        "Time from arrival to the end of the answer, by service and rank"
    );
    describe_gauge!("redwing_in_flight", "Requests in flight at this node");
    describe_gauge!("redwing_config_version", "Version of the configuration in force");
    describe_gauge!("redwing_peers_usable", "Peers heard both ways");
    describe_gauge!("redwing_log_up", "Whether the last read of the log succeeded");
    describe_gauge!("redwing_log_gap", "Whether the log has dropped records before they were read");
    describe_counter!("redwing_operator_calls_total", "Operators' calls, by method and result");
    describe_counter!("redwing_resends_total", "Requests sent again to a backend server");
    describe_counter!("redwing_dropped_messages_total", "Messages dropped, by ring or reason");
    describe_counter!("redwing_control_bytes_total", "Bytes of control traffic, by direction");
    describe_counter!(
        "redwing_control_sent_bytes_total",
        "Bytes of control messages handed to the sender, by kind"
    );
    describe_counter!(
        "redwing_servers_taken_out_total",
        "Times this node stopped using a backend server, by service"
    );
    describe_counter!("redwing_invariant_violations_total", "Violated invariants; must stay 0");
}
