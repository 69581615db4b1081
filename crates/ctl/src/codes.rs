//! The table of result codes, with the advice from `docs/ERRORS.md`.

use redwingtrestle_core::codes::ResultCode;
use redwingtrestle_wire::query::Row;
use serde::Serialize;
use strum::IntoEnumIterator;

/// The document with the advice for each code.
const ERRORS_DOC: &str = include_str!("../../../docs/ERRORS.md");

/// A result code with its advice.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CodeRow {
    /// The number.
    pub number: u16,
    /// The name.
    pub name: String,
    /// The HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: String,
    /// Advice for the caller.
    pub caller: String,
    /// Advice for the operator.
    pub operator: String,
}

impl Row for CodeRow {
    const COLUMNS: &'static [&'static str] =
        &["number", "name", "status", "outcome", "caller", "operator"];

    fn has_same_key(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

/// Returns the rows of the table in `docs/ERRORS.md`, in their order.
pub fn documented_codes() -> Vec<CodeRow> {
    ERRORS_DOC.lines().filter_map(parse_row).collect()
}

fn parse_row(line: &str) -> Option<CodeRow> {
    let cells: Vec<&str> = line.strip_prefix('|')?.strip_suffix('|')?.split('|').collect();
    let [number, name, status, outcome, caller, operator] = cells[..] else { return None };
    let text = |cell: &str| cell.trim().replace('`', "");
    Some(CodeRow {
        number: number.trim().parse().ok()?,
        name: text(name),
        status: status.trim().parse().ok()?,
        outcome: text(outcome),
        caller: text(caller),
        operator: text(operator),
    })
}

/// Returns all result codes, each with the advice from `docs/ERRORS.md`.
pub fn all() -> Vec<CodeRow> {
    let documented = documented_codes();
    let advice = |number| documented.iter().find(|row| row.number == number);
    ResultCode::iter()
        .map(|code| CodeRow {
            number: code.number(),
            name: code.to_string(),
            status: code.status(),
            outcome: code.outcome().to_string(),
            caller: advice(code.number()).map(|row| row.caller.clone()).unwrap_or_default(),
            operator: advice(code.number()).map(|row| row.operator.clone()).unwrap_or_default(),
        })
        .collect()
}
