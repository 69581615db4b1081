//! Tables, differences, documents and plots.

use quickcheck::quickcheck;
use redwingtrestle_core::cases;
use redwingtrestle_ctl::{diff::diff_values, document, plot, table};
use redwingtrestle_wire::{
    burn::{BurnCounts, BurnReport, BurnRow, BurnWindow},
    query::VersionRow,
};
use serde_json::{json, Value};

/// Guards against misaligned columns, and against columns in another order than declared.
#[test]
fn table_columns_are_aligned() {
    let row = |node: &str, version| VersionRow {
        node: node.into(),
        version,
        age_ms: 5,
        heard: 7,
        log: "up".into(),
    };
    let text = table::rows(&[row("10.0.0.7:1", 7), row("b", 12_345)]);
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(
        lines,
        [
            "node        version  age ms  heard  log",
            "10.0.0.7:1        7       5      7  up",
            "b             12345       5      7  up",
        ]
    );
}

/// Guards against terminal escape sequences from the fleet that reach the operator's terminal.
#[test]
fn table_replaces_control_characters() {
    let text = table::render(&["a"], &[vec!["x\u{1b}[31m\ny".into()]]);
    assert_eq!(text, "a\nx [31m y\n");
}

/// Guards against a cell that fills the screen.
#[test]
fn long_cell_is_truncated() {
    let text = table::render(&["a"], &[vec!["x".repeat(1_000)]]);
    assert!(text.lines().all(|l| l.chars().count() <= 121), "{text}");
}

fn changes((before, after): (Value, Value)) -> Vec<String> {
    diff_values(&before, &after)
        .into_iter()
        .map(|l| format!("{}: {:?} -> {:?}", l.path, l.before, l.after))
        .collect()
}

cases! {
    changes;
    /// Guards against reporting differences between equal documents.
    equal: (json!({"a": [1, {"b": null}]}), json!({"a": [1, {"b": null}]})) => Vec::<String>::new(),
    /// Guards against reporting a changed value without its old one.
    changed: (json!({"a": {"floor": 3}}), json!({"a": {"floor": 4}})) =>
        vec![r#"a.floor: Some("3") -> Some("4")"#.to_string()],
    /// Guards against showing one new server as a change of every later one.
    inserted: (
        json!({"servers": [{"addr": "b", "slots": 6}]}),
        json!({"servers": [{"addr": "a", "slots": 6}, {"addr": "b", "slots": 6}]}),
    ) => vec![
        r#"servers[a].addr: None -> Some("\"a\"")"#.to_string(),
        r#"servers[a].slots: None -> Some("6")"#.to_string(),
    ],
    /// Guards against overlooking a list that became empty.
    emptied: (json!({"drains": ["x"]}), json!({"drains": []})) => vec![
        r#"drains: None -> Some("[]")"#.to_string(),
        r#"drains[0]: Some("\"x\"") -> None"#.to_string(),
    ],
}

fn document(text: &str) -> Result<Value, bool> {
    document::parse(text).map_err(|why| !why.is_empty())
}

cases! {
    document;
    /// Guards against rejecting comments and trailing commas.
    comments: "{ // floor in slots\n \"floor\": 3, /* end */ }" => Ok(json!({"floor": 3})),
    /// Guards against publishing an empty file as a configuration.
    empty: "  // nothing\n" => Err(true),
    /// Guards against publishing a truncated file.
    truncated: "{\"floor\": " => Err(true),
    /// Guards against accepting unquoted names, which other JSON parsers reject.
    unquoted_names: "{floor: 3}" => Err(true),
}

fn report(rates: &[f64]) -> BurnReport {
    let row = |(i, rate): (usize, &f64)| BurnRow {
        service: format!("orders<{i}>"),
        rank: "urgent".into(),
        target_us: 1_000,
        objective: 990,
        budget_left: 0.5,
        windows: [300, 1_800, 3_600, 21_600]
            .map(|window_s| {
                let counts = BurnCounts::default();
                BurnWindow { window_s, burn_rate: *rate, counts }
            })
            .into(),
        alerts: Vec::new(),
    };
    BurnReport { version: 7, rows: rates.iter().enumerate().map(row).collect() }
}

/// Guards against a plot that needs fonts or files, and against names that break the markup.
#[test]
fn plot_is_self_contained() {
    let svg = plot::burn(&report(&[0.5, 14.4, 900.0])).unwrap();
    assert!(svg.starts_with("<svg") && svg.trim_end().ends_with("</svg>"), "{svg}");
    for part in ["href", "<image", "@import", "url(", "orders<0>"] {
        assert!(!svg.contains(part), "{part} in the plot");
    }
    assert!(svg.contains("orders&lt;0&gt;"));
    // 3 ranks with 4 bars each, 4 legend keys and the background.
    assert!(svg.matches("<rect").count() >= 17, "{svg}");
}

/// Guards against a failure before any request was counted.
#[test]
fn plot_without_ranks_is_drawn() {
    assert!(plot::burn(&BurnReport::default()).unwrap().contains("</svg>"));
}

/// Guards against a plot that omits ranks without saying so, or that is too wide to open.
#[test]
fn plot_reports_omitted_ranks() {
    let svg = plot::burn(&report(&[1.0; 201])).unwrap();
    assert!(svg.contains("first 200 of 201 ranks"));
    assert!(!plot::burn(&report(&[1.0; 200])).unwrap().contains("first 200"));
}

quickcheck! {
    /// Guards against a panic on unusual rates, such as infinities or NaN.
    fn any_rate_is_drawn(rates: Vec<f64>) -> bool {
        plot::burn(&report(&rates)).is_ok()
    }

    /// Guards against a panic on unusual cells.
    fn any_table_is_rendered(rows: Vec<Vec<String>>) -> bool {
        table::render(&["a", "b"], &rows).lines().count() == rows.len() + 1
    }

    /// Guards against a panic on malformed documents.
    fn any_document_is_parsed(text: String) -> bool {
        document::parse(&text).map_or_else(|why| !why.is_empty(), |_| true)
    }
}
