//! Prints the figures as tables on standard output and writes them as JSON.

use serde_json::{json, Value};
use std::{collections::BTreeMap, io, path::Path};

/// The rows of all tables.
#[derive(Debug)]
pub(crate) struct Report {
    seed: u64,
    quick: bool,
    tables: BTreeMap<String, Vec<Vec<(&'static str, Value)>>>,
}

impl Report {
    pub(crate) fn new(seed: u64, quick: bool) -> Self {
        Report { seed, quick, tables: BTreeMap::new() }
    }

    /// Adds a row and prints it to standard error. The columns of a table are those of its first row.
    pub(crate) fn add_row(&mut self, table: &str, row: Vec<(&'static str, Value)>) {
        eprintln!("{table}: {}", format_row(&row));
        self.tables.entry(table.into()).or_default().push(row);
    }

    pub(crate) fn print(&self) {
        for (name, rows) in &self.tables {
            println!("\n## {name}\n");
            let heads: Vec<&str> = rows[0].iter().map(|(head, _)| *head).collect();
            println!("| {} |", heads.join(" | "));
            println!("|{}", "---|".repeat(heads.len()));
            for row in rows {
                let cells: Vec<String> = row.iter().map(|(_, value)| format_cell(value)).collect();
                println!("| {} |", cells.join(" | "));
            }
        }
    }

    pub(crate) fn write(&self, path: &Path) -> io::Result<()> {
        let tables: BTreeMap<_, Vec<Value>> = self
            .tables
            .iter()
            .map(|(name, rows)| {
                let object = |row: &Vec<(&'static str, Value)>| {
                    row.iter().map(|(k, v)| ((*k).to_string(), v.clone())).collect::<Value>()
                };
                (name, rows.iter().map(object).collect())
            })
            .collect();
        let report = json!({ "seed": self.seed, "quick": self.quick, "tables": tables });
        std::fs::write(path, serde_json::to_vec_pretty(&report)?)
    }
}

fn format_row(row: &[(&'static str, Value)]) -> String {
    row.iter()
        .map(|(head, value)| format!("{head}={}", format_cell(value)))
        .collect::<Vec<_>>()
        .join(" ")
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns a number, rounded to `digits` decimal places.
pub(crate) fn number(value: f64, digits: i32) -> Value {
    let scale = 10f64.powi(digits);
    let rounded = (value * scale).round() / scale;
    if digits == 0 {
        json!(rounded as i64)
    } else {
        json!(rounded)
    }
}

/// Returns `part` as a percentage of `whole`.
pub(crate) fn percent(part: u64, whole: u64) -> Value {
    number(100.0 * part as f64 / whole.max(1) as f64, 2)
}
