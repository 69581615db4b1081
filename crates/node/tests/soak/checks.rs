//! Checks of the documented guarantees against what callers and backend servers observed.

use super::{
    record::{Ask, Outcome, Part, Record, Run},
    server::answer_body,
};
use std::time::{Duration, Instant};

/// A new configuration or a server's draining is in force within this time.
pub const IN_FORCE: Duration = Duration::from_millis(2_000);

/// Guarantees with a time bound apply only if the components were undisturbed for this long before.
pub const SETTLED: Duration = Duration::from_millis(3_000);

/// A connection may close up to this long after a request was sent that the node never read.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// A server may continue idempotent work for this long after its caller has disconnected.
const LEFT: Duration = Duration::from_millis(500);

/// Tolerance for answers after the deadline, as the test shares the machine with other processes.
const LATE: Duration = Duration::from_millis(700);

/// The deadline that callers declare for their requests.
const LONGEST: Duration = Duration::from_millis(2_500);

/// The history of the route `/moves/`: when each of its services was published.
pub type Moves = Vec<(Instant, &'static str)>;

/// A server whose draining was registered at the store at this time.
#[derive(Clone, Debug)]
pub struct Leave {
    pub server: String,
    pub at: Instant,
}

/// Returns a description of each violated guarantee.
pub fn broken(record: &Record, moves: &Moves, leaves: &[Leave]) -> Vec<String> {
    let mut found: Vec<String> = record
        .unasked()
        .iter()
        .map(|id| format!("{id} reached a server, but no caller sent it"))
        .collect();
    for (id, ask, runs) in record.all() {
        let faults = [
            twice(&ask, &runs),
            false_refusal(&ask, &runs),
            mixed(&id, &ask, &runs),
            changed(&ask, &runs),
            routed(&ask, &runs),
            lost(record, &ask, &runs),
            late(record, &ask),
            outlived(record, &ask, &runs),
            old_configuration(record, &ask, &runs, moves),
            drained(record, &ask, &runs, leaves),
        ];
        found.extend(faults.into_iter().flatten().map(|what| format!("{id} {}: {what}", ask.path)));
    }
    found
}

fn twice(ask: &Ask, runs: &[Run]) -> Option<String> {
    let count = runs.iter().filter(|run| run.has_run).count();
    (ask.once && count > 1).then(|| format!("ran {count} times"))
}

fn false_refusal(ask: &Ask, runs: &[Run]) -> Option<String> {
    let Some(Outcome::Answer(status, ..)) = ask.end.as_ref().map(|end| &end.what) else {
        return None;
    };
    let promises = [408, 421, 429, 503].contains(status);
    let has_run = runs.iter().any(|run| run.has_run);
    (ask.once && promises && has_run).then(|| format!("was refused with {status}, but ran"))
}

fn mixed(id: &str, ask: &Ask, runs: &[Run]) -> Option<String> {
    let Some(Outcome::Answer(status, signature, body)) = ask.end.as_ref().map(|end| &end.what)
    else {
        return None;
    };
    let Some(signature) = signature else {
        return (200..300)
            .contains(status)
            .then(|| format!("got {status} without a server's signature"));
    };
    let given = runs.iter().filter_map(|run| Some((run, run.answer.as_ref()?)));
    let found = given.into_iter().find(|(_, (_, of))| of == signature);
    let Some((run, (given, _))) = found else {
        return Some(format!("got the signature {signature}, which no server sent for it"));
    };
    if given != status {
        return Some(format!("got {status}, but the server sent {given}"));
    }
    (*body != answer_body(id, signature, run.service))
        .then(|| "got a body that the server did not send".into())
}

fn changed(ask: &Ask, runs: &[Run]) -> Option<String> {
    let run = runs.iter().find(|run| run.path != ask.path || run.body != ask.body)?;
    Some(format!("reached {} with another path or body: {}", run.server, run.path))
}

fn routed(ask: &Ask, runs: &[Run]) -> Option<String> {
    let allowed: &[&str] = match ask.path.split('/').nth(1) {
        Some("files") => &["files"],
        Some("moves") => &["orders", "files"],
        _ => &["orders"],
    };
    let run = runs.iter().find(|run| run.has_run && !allowed.contains(&run.service))?;
    Some(format!("was run by {} of the wrong service {}", run.server, run.service))
}

fn lost(record: &Record, ask: &Ask, runs: &[Run]) -> Option<String> {
    let end = ask.end.as_ref()?;
    let Outcome::Broken(what) = &end.what else { return None };
    let took = end.at.duration_since(ask.sent);
    let is_read = !runs.is_empty() || took > LOSS_SLACK;
    let is_calm = record.was_calm(&[Part::Node(ask.node)], ask.sent, end.at, SETTLED);
    (is_read && is_calm)
        .then(|| format!("connection broke after {took:?} and {} arrivals: {what}", runs.len()))
}

fn late(record: &Record, ask: &Ask) -> Option<String> {
    let end = ask.end.as_ref()?;
    let took = end.at.duration_since(ask.sent);
    let is_over = took > LONGEST + LATE && end.what != Outcome::Left;
    let is_calm = record.was_calm(&[Part::Node(ask.node)], ask.sent, end.at, SETTLED);
    (is_over && is_calm).then(|| format!("ended only after {took:?}"))
}

fn outlived(record: &Record, ask: &Ask, runs: &[Run]) -> Option<String> {
    let end = ask.end.as_ref().filter(|end| end.what == Outcome::Left && !ask.once)?;
    let by = end.at + LEFT;
    let run = runs.iter().find(|run| run.has_run && run.ended.is_some_and(|ended| ended > by))?;
    let ended = run.ended?;
    let parts = [Part::Node(ask.node), Part::Server(run.server.clone())];
    record.was_calm(&parts, ask.sent, ended, SETTLED).then(|| {
        format!(
            "was still running {:?} after its caller disconnected",
            ended.duration_since(end.at)
        )
    })
}

fn old_configuration(record: &Record, ask: &Ask, runs: &[Run], moves: &Moves) -> Option<String> {
    if !ask.path.starts_with("/moves/") {
        return None;
    }
    let run = runs.iter().find(|run| run.has_run)?;
    let settled = ask.sent.checked_sub(IN_FORCE)?;
    let first = moves.iter().rposition(|(at, _)| *at <= settled).unwrap_or(0);
    let allowed: Vec<&str> = moves[first..].iter().map(|(_, service)| *service).collect();
    let is_calm = record.was_calm(&[Part::Node(ask.node), Part::Store], settled, run.at, SETTLED);
    (is_calm && !allowed.contains(&run.service))
        .then(|| format!("was run by {}, but only {allowed:?} were in force", run.service))
}

fn drained(record: &Record, ask: &Ask, runs: &[Run], leaves: &[Leave]) -> Option<String> {
    let is_late = |run: &&Run| {
        let Some(leave) = leaves.iter().find(|leave| leave.server == run.server) else {
            return false;
        };
        let parts = [Part::Node(ask.node), Part::Store, Part::Server(run.server.clone())];
        run.has_run
            && run.at > leave.at + IN_FORCE
            && record.was_calm(&parts, leave.at, run.at, SETTLED)
    };
    let run = runs.iter().find(is_late)?;
    Some(format!("reached {}, which was draining", run.server))
}

/// Returns the served share of the requests sent after `from`, and their number, without those whose caller
/// disconnected.
pub fn served_since(record: &Record, from: Instant) -> (f64, usize) {
    let recent: Vec<Ask> =
        record.all().into_iter().map(|(_, ask, _)| ask).filter(|ask| ask.sent > from).collect();
    let wanted =
        recent.iter().filter(|a| a.end.as_ref().is_some_and(|e| e.what != Outcome::Left)).count();
    let served = recent.iter().filter(|ask| is_served(ask)).count();
    (served as f64 / wanted.max(1) as f64, wanted)
}

fn is_served(ask: &Ask) -> bool {
    let end = ask.end.as_ref().map(|end| &end.what);
    matches!(end, Some(Outcome::Answer(status, ..)) if *status < 300)
}
