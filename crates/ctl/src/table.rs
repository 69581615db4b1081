//! Formats rows as plain-text tables.

use redwingtrestle_wire::query::Row;
use serde_json::Value;

/// Maximum width of a cell, in characters. Longer cells are truncated and end with an ellipsis.
const MAX_CELL: usize = 120;

/// Formats a table with headings. Columns of numbers are aligned to the right.
///
/// Cells contain text from the fleet and from files, so control characters are replaced before they reach the
/// terminal.
pub fn render<S: AsRef<str>>(columns: &[S], rows: &[Vec<String>]) -> String {
    let head: Vec<String> = columns.iter().map(|c| c.as_ref().replace('_', " ")).collect();
    let rows: Vec<Vec<String>> =
        rows.iter().map(|r| r.iter().map(|c| sanitize(c)).collect()).collect();
    let cells = |i: usize| rows.iter().filter_map(move |r| r.get(i));
    let width = |i: usize| cells(i).chain(head.get(i)).map(|c| c.chars().count()).max();
    let widths: Vec<usize> = (0..head.len()).map(|i| width(i).unwrap_or(0)).collect();
    let numeric: Vec<bool> =
        (0..head.len()).map(|i| cells(i).all(|c| c == "-" || c.parse::<f64>().is_ok())).collect();
    let mut text = String::new();
    for row in std::iter::once(&head).chain(&rows) {
        let line: Vec<String> = row
            .iter()
            .zip(widths.iter().zip(&numeric))
            .map(|(cell, (width, numeric))| match numeric {
                true => format!("{cell:>width$}"),
                false => format!("{cell:<width$}"),
            })
            .collect();
        text.push_str(line.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Formats rows of a wire type as a table.
pub fn rows<R: Row>(rows: &[R]) -> String {
    let lines: Vec<Vec<String>> = rows.iter().map(cells).collect();
    render(R::COLUMNS, &lines)
}

fn cells<R: Row>(row: &R) -> Vec<String> {
    let fields = serde_json::to_value(row).unwrap_or_default();
    R::COLUMNS.iter().map(|c| cell(fields.get(c).unwrap_or(&Value::Null))).collect()
}

/// Formats a JSON value as the text of a cell.
pub fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::Bool(true) => "yes".into(),
        Value::Bool(false) => "no".into(),
        Value::String(text) => text.clone(),
        Value::Number(n) => match (n.is_f64(), n.as_f64()) {
            (true, Some(number)) => format!("{number:.3}"),
            _ => n.to_string(),
        },
        other => other.to_string(),
    }
}

fn sanitize(cell: &str) -> String {
    let mut text: String =
        cell.chars().take(MAX_CELL).map(|c| if c.is_control() { ' ' } else { c }).collect();
    if cell.chars().nth(MAX_CELL).is_some() {
        text.push('…');
    }
    text
}
