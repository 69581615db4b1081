//! The explanation of a request from the nodes' logs.

use redwingtrestle_ctl::{
    error::Error,
    trace::{trace, Relation, Trace},
};
use serde_json::{json, Value};
use std::{fs, path::PathBuf};

const ID: &str = "86dc3b6727e71b62";

/// Log files of a test, which are removed on drop.
struct Logs {
    folder: PathBuf,
    files: Vec<String>,
}

impl Logs {
    /// Writes these lines of each node to a file.
    fn write(test: &str, nodes: &[Vec<String>]) -> Logs {
        let folder =
            std::env::temp_dir().join(format!("redwing-trace-{}-{test}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let write = |(number, lines): (usize, &Vec<String>)| {
            let path = folder.join(format!("node-{number}.log"));
            fs::write(&path, lines.join("\n") + "\n").expect("a file");
            path.to_string_lossy().into_owned()
        };
        let files = nodes.iter().enumerate().map(write).collect();
        Logs { folder, files }
    }

    fn trace(&self) -> Trace {
        trace(ID, &self.files).expect("a trace")
    }
}

impl Drop for Logs {
    fn drop(&mut self) {
        // A folder that cannot be removed does not fail the test.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns a line of a node, written `second` seconds after 23:59.
fn line(second: f64, target: &str, message: &str, fields: &Value) -> String {
    let timestamp = format!("2026-10-25T23:59:{second:06.3}+00:00");
    json!({"timestamp": timestamp, "level": "INFO", "target": target, "file": "a.rs", "line": 1,
        "message": message, "kvs": fields})
    .to_string()
}

fn request(second: f64, id: &str, server: &str, status: u16) -> String {
    let message = if status == 200 { "answered" } else { "server_lost" };
    let fields = json!({"attempt": id, "fingerprint": format!("f-{id}"), "servers": server,
        "status": status, "version": 7});
    line(second, "requests", message, &fields)
}

fn change(second: f64, server: &str) -> String {
    let fields = json!({"server": server, "change": "Ended"});
    line(second, "servers", "the registration of a server changed", &fields)
}

fn configuration(second: f64, version: u64) -> String {
    line(second, "configuration", "a new configuration is in force", &json!({"version": version}))
}

fn relations(trace: &Trace) -> Vec<Relation> {
    trace.lines.iter().map(|traced| traced.relation).collect()
}

/// Guards against a trace without the cause of a failure, and against lines that have nothing to do with it.
#[test]
fn failed_request_is_shown_with_its_server_configuration_and_process() {
    let node = vec![
        configuration(1.0, 6),
        configuration(2.0, 7),
        change(10.0, "i-1"),
        line(30.0, "process", "planned stop begins", &json!({})),
        request(39.0, "another", "i-2", 502),
        request(40.0, ID, "i-2,i-1", 502),
        change(41.0, "i-1"),
        change(41.0, "i-3"),
        change(46.0, "i-1"),
    ];
    let trace = Logs::write("cause", &[node]).trace();
    let expected = [
        Relation::Configuration,
        Relation::Server,
        Relation::Process,
        Relation::OtherRequest,
        Relation::Request,
        Relation::Server,
    ];
    assert_eq!(relations(&trace), expected[..], "{trace:#?}");
    let text = trace.to_text();
    assert!(text.contains("change=Ended server=i-1"), "{text}");
    assert!(text.contains("3001 server_lost: "), "the advice for the code is missing: {text}");
}

/// Guards against a trace of one node when the same request or its server failed at another one.
#[test]
fn other_nodes_show_what_they_know_of_the_request_and_its_server() {
    let fields = json!({"server": "i-9", "fingerprint": format!("f-{ID}")});
    let other = vec![
        line(10.0, "servers", "a server ended while it ran a request", &fields),
        request(41.0, "failed", "i-1", 502),
        request(41.0, "served", "i-1", 200),
        request(43.0, "late", "i-1", 502),
        change(41.0, "i-1"),
    ];
    let trace = Logs::write("others", &[vec![request(40.0, ID, "i-1", 502)], other]).trace();
    let expected = [Relation::SameRequest, Relation::Request, Relation::OtherRequest];
    assert_eq!(relations(&trace), expected[..], "{trace:#?}");
}

/// Guards against a trace by the fingerprint that misses a repeated request.
#[test]
fn fingerprint_names_all_its_requests() {
    let logs = Logs::write("fingerprint", &[vec![request(1.0, ID, "i-1", 502)]]);
    let trace = trace(&format!("f-{ID}"), &logs.files).expect("a trace");
    assert_eq!(relations(&trace), [Relation::Request]);
}

/// Guards against output without bound on a fleet where many requests fail.
#[test]
fn flood_of_related_lines_is_bounded_and_keeps_the_nearest() {
    let mut node: Vec<String> = (0..500).map(|n| change(f64::from(n) / 20.0, "i-1")).collect();
    node.push(request(26.0, ID, "i-1", 502));
    let trace = Logs::write("flood", &[node]).trace();
    assert_eq!((trace.lines.len(), trace.omitted), (201, 300));
    assert_eq!(trace.lines[0].line.time.to_string(), "2026-10-25T23:59:15Z");
    assert_eq!(trace.lines[200].relation, Relation::Request);
}

/// Guards against a trace that fails because of other output in a log, and against one that does not tell of it.
#[test]
fn unreadable_lines_are_counted() {
    let node = vec!["{\"timestamp\":\"now\"}".into(), "\u{7}".into(), request(1.0, ID, "i-1", 502)];
    let trace = Logs::write("unreadable", &[node]).trace();
    assert_eq!((trace.lines.len(), trace.unreadable), (1, 2));
}

/// Guards against an empty trace that looks like a request without a fault.
#[test]
fn unknown_request_and_missing_file_are_errors() {
    let logs = Logs::write("unknown", &[vec![request(1.0, "another", "i-1", 502)]]);
    assert!(matches!(trace(ID, &logs.files), Err(Error::NoLine { .. })));
    assert!(matches!(trace(ID, &["/no/such/file".into()]), Err(Error::File { .. })));
}
