//! Wire types of operators' queries and commands and of burn reports.

use redwingtrestle_core::{
    ids::Version,
    process::burn::{Report, RequestCounts, Row},
    time::Span,
};
use redwingtrestle_wire::{
    burn::BurnReport,
    query::{Command, Coverage, Place, Query, QueryResponse, Rows, VersionRow},
};
use serde_json::json;

fn report() -> Report {
    let counts = RequestCounts { good: 90, late: 1, shed: 2, failed: 3, unknown: 4, refused: 5 };
    let row = Row {
        service: "orders".into(),
        rank: "urgent".into(),
        target: Span::from_micros(1_500),
        objective: 990,
        windows: [counts; 4],
    };
    Report { version: Version(7), rows: vec![row] }
}

/// Guards against counts that are lost between a node and `redwingctl`.
#[test]
fn burn_report_keeps_its_counts_through_json() {
    let sent = serde_json::to_string(&BurnReport::from(&report())).unwrap();
    let received: BurnReport = serde_json::from_str(&sent).unwrap();
    assert_eq!(Report::try_from(&received).unwrap(), report());
    assert!(received.rows[0].alerts.iter().any(|a| a.firing));
}

/// Guards against merging a report that lacks a window as if there had been no requests in it.
#[test]
fn burn_report_without_a_window_is_rejected() {
    let mut bad = BurnReport::from(&report());
    bad.rows[0].windows.pop();
    let error = Report::try_from(&bad).unwrap_err().to_string();
    assert_eq!(error, "burn report: orders/urgent lacks the window of 21600 s");
}

/// Guards against a change of JSON names that other programs rely on.
#[test]
fn json_names_of_queries_and_commands_are_stable() {
    let ejected = serde_json::to_value(Query::Ejected { service: None }).unwrap();
    assert_eq!(ejected, json!({"ask": "ejected", "service": null}));
    let place = Place::DataCentre("amherst".into());
    let drain = serde_json::to_value(Command::Drain { place }).unwrap();
    assert_eq!(drain, json!({"change": "drain", "place": {"data_centre": "amherst"}}));
    let row = VersionRow { node: "a".into(), version: 3, age_ms: 1, heard: 4, log: "up".into() };
    let response = QueryResponse::Versions(Rows { coverage: Coverage::default(), rows: vec![row] });
    let text = serde_json::to_string(&response).unwrap();
    assert_eq!(serde_json::from_str::<QueryResponse>(&text).unwrap(), response);
}
