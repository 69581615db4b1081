//! The lines about a request, as text for people.

use super::{Trace, TracedLine};
use crate::{codes, table};
use std::collections::BTreeSet;

impl Trace {
    /// Returns the lines as a table, the fields of the request's own lines, and the advice for its result codes.
    pub fn to_text(&self) -> String {
        let rows: Vec<Vec<String>> = self.lines.iter().map(row).collect();
        let mut parts =
            vec![table::render(&["time", "relation", "file", "target", "message"], &rows)];
        parts.extend(self.own_lines().map(fields));
        parts.extend(self.advice());
        if self.omitted > 0 {
            parts.push(format!("{} more related lines are left out\n", self.omitted));
        }
        if self.unreadable > 0 {
            parts.push(format!("{} lines of the files are no lines of a node\n", self.unreadable));
        }
        parts.join("\n")
    }

    fn own_lines(&self) -> impl Iterator<Item = &TracedLine> {
        self.lines.iter().filter(|traced| traced.is_own())
    }

    /// Returns the advice of `docs/ERRORS.md` for each result code with which the request ended.
    fn advice(&self) -> Vec<String> {
        let messages = self.own_lines().map(|traced| traced.line.message.as_str());
        let words: BTreeSet<&str> =
            messages.flat_map(|message| message.split([' ', ':'])).collect();
        let codes = codes::all();
        let named = codes.iter().filter(|code| words.contains(code.name.as_str()));
        named.map(|code| format!("{} {}: {}\n", code.number, code.name, code.operator)).collect()
    }
}

fn row(traced: &TracedLine) -> Vec<String> {
    let line = &traced.line;
    let mut message = line.message.clone();
    // The fields of the request's own lines have tables of their own.
    if !traced.is_own() {
        for (name, value) in &line.fields {
            message += &format!(" {name}={}", table::cell(value));
        }
    }
    vec![
        line.time.to_string(),
        traced.relation.to_string(),
        line.file.to_string(),
        line.target.clone(),
        message,
    ]
}

fn fields(traced: &TracedLine) -> String {
    let fields = traced.line.fields.iter();
    let rows: Vec<Vec<String>> =
        fields.map(|(name, value)| vec![name.clone(), table::cell(value)]).collect();
    table::render(&["field", "value"], &rows)
}
