//! The promises of the pages, checked against what callers and backend servers saw.

use super::{
    record::{Ask, Outcome, Part, Record, Run},
    server::answer_body,
};
use std::time::{Duration, Instant};

/// The time within which a configuration or the leaving of a server is in force.
pub const IN_FORCE: Duration = Duration::from_millis(2_000);

/// How long before a moment everything must have been undisturbed for promises with a bound in time.
pub const SETTLED: Duration = Duration::from_millis(3_000);

/// How late a connection may close on a request that was not read.
const LOSS_SLACK: Duration = Duration::from_millis(200);

/// How long a server may go on with work that may be repeated after its caller has left.
const LEFT: Duration = Duration::from_millis(500);

/// How long after its time a request may stay unanswered, on a machine that other processes share.
const LATE: Duration = Duration::from_millis(700);

/// The longest time of a request: what callers say that they wait.
const LONGEST: Duration = Duration::from_millis(2_500);

/// `Moves` are the services of the route that moves, and when each was published.
pub type Moves = Vec<(Instant, &'static str)>;

/// `Leave` is a server's leaving, as the store acknowledged it.
#[derive(Clone, Debug)]
pub struct Leave {
    pub server: String,
    pub at: Instant,
}

/// Returns everything that breaks a promise.
pub fn broken(record: &Record, moves: &Moves, leaves: &[Leave]) -> Vec<String> {
    let mut found: Vec<String> =
        record.unasked().iter().map(|id| format!("{id} ran and nobody sent it")).collect();
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
    (ask.once && promises && has_run).then(|| format!("was told {status} and ran"))
}

fn mixed(id: &str, ask: &Ask, runs: &[Run]) -> Option<String> {
    let Some(Outcome::Answer(status, signature, body)) = ask.end.as_ref().map(|end| &end.what)
    else {
        return None;
    };
    let Some(signature) = signature else {
        return (200..300).contains(status).then(|| format!("got {status} from no server"));
    };
    let given = runs.iter().filter_map(|run| Some((run, run.answer.as_ref()?)));
    let found = given.into_iter().find(|(_, (_, of))| of == signature);
    let Some((run, (given, _))) = found else {
        return Some(format!("got {signature}, which no server gave it"));
    };
    if given != status {
        return Some(format!("got {status} where the server gave {given}"));
    }
    (*body != answer_body(id, signature, run.service)).then(|| "got another body".into())
}

fn changed(ask: &Ask, runs: &[Run]) -> Option<String> {
    let run = runs.iter().find(|run| run.path != ask.path || run.body != ask.body)?;
    Some(format!("reached {} changed: {}", run.server, run.path))
}

fn routed(ask: &Ask, runs: &[Run]) -> Option<String> {
    let allowed: &[&str] = match ask.path.split('/').nth(1) {
        Some("files") => &["files"],
        Some("moves") => &["orders", "files"],
        _ => &["orders"],
    };
    let run = runs.iter().find(|run| run.has_run && !allowed.contains(&run.service))?;
    Some(format!("was run by {} of {}", run.server, run.service))
}

fn lost(record: &Record, ask: &Ask, runs: &[Run]) -> Option<String> {
    let end = ask.end.as_ref()?;
    let Outcome::Broken(what) = &end.what else { return None };
    let took = end.at.duration_since(ask.sent);
    let is_read = !runs.is_empty() || took > LOSS_SLACK;
    let is_calm = record.was_calm(&[Part::Node(ask.node)], ask.sent, end.at, SETTLED);
    (is_read && is_calm)
        .then(|| format!("lost its connection after {took:?}, {} arrivals: {what}", runs.len()))
}

fn late(record: &Record, ask: &Ask) -> Option<String> {
    let end = ask.end.as_ref()?;
    let took = end.at.duration_since(ask.sent);
    let is_over = took > LONGEST + LATE && end.what != Outcome::Left;
    let is_calm = record.was_calm(&[Part::Node(ask.node)], ask.sent, end.at, SETTLED);
    (is_over && is_calm).then(|| format!("had no answer for {took:?}"))
}

fn outlived(record: &Record, ask: &Ask, runs: &[Run]) -> Option<String> {
    let end = ask.end.as_ref().filter(|end| end.what == Outcome::Left && !ask.once)?;
    let by = end.at + LEFT;
    let run = runs.iter().find(|run| run.has_run && run.ended.is_some_and(|ended| ended > by))?;
    let ended = run.ended?;
    let parts = [Part::Node(ask.node), Part::Server(run.server.clone())];
    record
        .was_calm(&parts, ask.sent, ended, SETTLED)
        .then(|| format!("ran on {:?} after its caller left", ended.duration_since(end.at)))
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
        .then(|| format!("was run by {} when only {allowed:?} were in force", run.service))
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
    Some(format!("reached {}, which had left", run.server))
}

/// Returns the share of the requests sent after `from` that were served, and their number.
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
