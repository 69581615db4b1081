//! Finds the lines of the nodes' logs that explain what happened to a request.

mod log_line;
mod subject;
mod text;

pub use log_line::LogLine;
pub use subject::Relation;

use crate::error::{Error, Result};
use serde::Serialize;
use std::{
    fs::File,
    io::{BufRead, BufReader},
    sync::Arc,
};
use subject::Subject;

/// The most lines that are shown beside those of the request itself. The nearest in time are kept.
const MAX_RELATED: usize = 200;

/// A line and why it is shown.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TracedLine {
    /// What the line has to do with the request.
    pub relation: Relation,
    /// The line.
    #[serde(flatten)]
    pub line: LogLine,
}

impl TracedLine {
    /// Returns whether the line is about the request itself.
    fn is_own(&self) -> bool {
        self.relation == Relation::Request
    }
}

/// The lines about a request, by time.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Trace {
    /// The lines.
    pub lines: Vec<TracedLine>,
    /// How many related lines are left out.
    pub omitted: usize,
    /// How many lines of the files are no lines of a node.
    pub unreadable: usize,
}

/// Searches these log files for a request by its id or its fingerprint.
///
/// # Errors
///
/// Fails if a file cannot be read, or if no line names the request.
pub fn trace(id: &str, files: &[String]) -> Result<Trace> {
    let mut subject = Subject::new(id);
    let mut unreadable = 0;
    for file in files {
        unreadable += read_lines(file, |line| subject.add(line))?;
    }
    if subject.is_unknown() {
        return Err(Error::NoLine { id: id.into() });
    }
    let mut lines = Vec::new();
    for file in files {
        read_lines(file, |line| {
            let relation = subject.relation(&line);
            lines.extend(relation.map(|relation| TracedLine { relation, line }));
        })?;
    }
    let omitted = omit_distant(&mut lines, &subject);
    lines.sort_by_key(|traced| traced.line.time);
    Ok(Trace { lines, omitted, unreadable })
}

/// Calls `act` for each line of a node's log, and returns how many others the file has.
fn read_lines(path: &str, mut act: impl FnMut(LogLine)) -> Result<usize> {
    let file: Arc<str> = path.into();
    let reader = BufReader::new(File::open(path).map_err(|e| Error::file(path, &e))?);
    let mut unreadable = 0;
    for text in reader.split(b'\n') {
        let text = text.map_err(|e| Error::file(path, &e))?;
        match LogLine::parse(&file, &text) {
            Some(line) => act(line),
            None => unreadable += 1,
        }
    }
    Ok(unreadable)
}

/// Leaves out the related lines that are most distant from the request in time, and returns how many.
fn omit_distant(lines: &mut Vec<TracedLine>, subject: &Subject) -> usize {
    lines.sort_by_key(|traced| (!traced.is_own(), subject.distance(traced.line.time)));
    let own = lines.iter().filter(|traced| traced.is_own()).count();
    let omitted = lines.len().saturating_sub(own + MAX_RELATED);
    lines.truncate(own + MAX_RELATED);
    omitted
}
