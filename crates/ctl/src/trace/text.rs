//! The lines about a request, as text for people.

use super::{Relation, Trace, TracedLine};
use crate::{codes, table};
use std::collections::BTreeSet;

impl Trace {
    /// Returns the lines as a table, the fields of the request's own lines, and the advice for its result codes.
    pub fn to_text(&self) -> String {
        let rows: Vec<Vec<String>> = self.lines.iter().map(row).collect();
        let mut parts =
            vec![table::render(&["time", "relation", "file", "target", "message"], &rows)];
        let is_own = |traced: &&TracedLine| traced.relation == Relation::Request;
        parts.extend(self.lines.iter().filter(is_own).map(fields));
        parts.extend(self.advice());
        if self.omitted > 0 {
            parts.push(format!("{} more related lines are left out\n", self.omitted));
        }
        if self.unreadable > 0 {
            parts.push(format!("{} lines of the files are no lines of a node\n", self.unreadable));
        }
        parts.join("\n")
    }

    /// Returns the advice of `docs/ERRORS.md` for each result code with which the request ended.
    fn advice(&self) -> Vec<String> {
        let own = self.lines.iter().filter(|traced| traced.relation == Relation::Request);
        let words: BTreeSet<&str> =
            own.flat_map(|traced| traced.line.message.split([' ', ':'])).collect();
        let codes = codes::all();
        let named = codes.iter().filter(|code| words.contains(code.name.as_str()));
        named.map(|code| format!("{} {}: {}\n", code.number, code.name, code.operator)).collect()
    }
}

fn row(traced: &TracedLine) -> Vec<String> {
    let line = &traced.line;
    let related = match traced.relation {
        Relation::Request => String::new(),
        _ => line
            .fields
            .iter()
            .map(|(name, value)| format!(" {name}={}", table::cell(value)))
            .collect(),
    };
    vec![
        line.time.to_string(),
        traced.relation.to_string(),
        line.file.to_string(),
        line.target.clone(),
        line.message.clone() + &related,
    ]
}

fn fields(traced: &TracedLine) -> String {
    let fields = traced.line.fields.iter();
    let rows: Vec<Vec<String>> =
        fields.map(|(name, value)| vec![name.clone(), table::cell(value)]).collect();
    table::render(&["field", "value"], &rows)
}
