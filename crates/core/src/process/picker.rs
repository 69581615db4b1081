//! The choice of a backend server for one request, by expected loss.

use crate::{
    ids::{DataCentre, ServiceName},
    process::{
        registration::ServerId, server_registry::ServerRegistry, tracked_server::TrackedServer,
    },
    time::{Span, Timestamp},
};
use rand::{seq::IndexedRandom, Rng};
use std::net::SocketAddr;

/// `PickerOptions` weighs the reasons for and against a server. A loss of 1 is one failed request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickerOptions {
    /// How strongly a higher loss lowers the share of a server: a loss of 1 / `focus` more divides it by e.
    pub focus: f64,
    /// The loss of a request for each multiple of a server's slots by which its load is above half of them. It spreads
    /// requests evenly.
    pub even: f64,
    /// The loss of a request whose answer comes after its target.
    pub late: f64,
    /// The loss of a megabyte between data centres.
    pub zone_mb: f64,
    /// The share of a service's servers that stay in use, however they look.
    pub floor: f64,
}

impl Default for PickerOptions {
    fn default() -> Self {
        PickerOptions { focus: 30.0, even: 0.2, late: 1.0, zone_mb: 0.0, floor: 0.7 }
    }
}

/// The load, in multiples of the slots, above which more load no longer matters for an even spread.
const MAX_LOAD: f64 = 5.0;

/// The load, in multiples of the slots, up to which more load does not matter either. Work then stays at the servers that
/// have just shown to be sound, and fewer requests meet a server at the moment in which it begins to fail.
const EVEN_FROM: f64 = 0.5;

/// The expected answer time, in parts of the target, from which on a late answer is feared, and at which it is certain.
const LATE_FROM: f64 = 0.6;
const LATE_AT: f64 = 1.2;

/// The share of answers whose time is taken for that of a server with free slots.
const UNLOADED: f64 = 0.25;

/// How long ago the last request to a server may be while the server counts as in use.
const IN_USE: Span = Span::from_millis(1_500);

/// How far above the declared share of servers in use a node stays. Which servers count as sound for that share is not
/// known to it: among those that do, the share of unused ones may be larger than among all.
const FLOOR_MARGIN: f64 = 0.1;

/// The same while the service does not serve its callers. Faults then make many servers unsound, and the unused ones are
/// found among the few that count.
const FAILING_MARGIN: f64 = 0.2;

/// The share of unserved requests from which on the declared share of servers is used however bad they look. Below it,
/// the servers that are left serve the callers, and work at those that probably fail would only add failures.
const FAILING_SERVICE: f64 = 0.04;

/// The probability of failing below which an unused server is tried with a request that cannot be sent again.
const TRIAL: f64 = 0.6;

/// `PickRequest` describes the request that needs a server.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The time within which an answer has its full value.
    pub target: Span,
    /// The data centre of this node.
    pub zone: &'a DataCentre,
    /// What a failure there costs, in failed requests: less than 1 if the request can then be sent to another server.
    pub failure: f64,
    /// The bytes that the request and its answer usually have.
    pub bytes: f64,
    /// Servers that were tried already.
    pub tried: &'a [ServerId],
    /// The most requests of this node in flight at one server.
    pub limit: u32,
    /// The longest expected answer time at a server that still gets the request. None for the most urgent work.
    pub bound: Option<Span>,
}

/// `Choice` is the chosen server and what decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The server.
    pub id: ServerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The probability that the request fails there.
    pub failure: f64,
    /// How long ago the newest observation of the server came.
    pub age: Span,
    /// The known requests in flight there, of all nodes.
    pub load: u32,
    /// How surely the answer is late, from 0 to 1, because of what already waits there.
    pub late: f64,
    /// The servers among which it was chosen.
    pub among: usize,
    /// Whether the server was chosen only because too few of the service are in use.
    pub is_trial: bool,
}

/// Returns the loss that is expected of one more request at `server`; `work` is the time of an answer without queue.
///
/// A server runs as many requests at once as it has slots, and the others wait there, so the answer time grows with
/// the load. Waiting costs nothing as long as the answer is in time: a busy sound server is better than a failing one,
/// which always looks idle because it fails at once.
fn loss(
    options: &PickerOptions,
    registry: &ServerRegistry,
    now: Timestamp,
    server: &TrackedServer,
    request: &PickRequest<'_>,
    work: Span,
) -> Loss {
    let slots = f64::from(server.registration().slots.max(1)) * server.speed(now);
    let load = f64::from(server.load(registry.options().report_age, now) + 1) / slots;
    let time = work.as_secs_f64() * load.max(1.0);
    let part = time / request.target.as_secs_f64().max(1e-3);
    let late = ((part - LATE_FROM) / (LATE_AT - LATE_FROM)).clamp(0.0, 1.0);
    let is_near = server.registration().zone == *request.zone;
    let crossing = if is_near { 0.0 } else { options.zone_mb * request.bytes / 1e6 };
    let failure = server.failure(&registry.options().health, now);
    let even = options.even * (load.min(MAX_LOAD) - EVEN_FROM).max(0.0);
    let all = request.failure * failure + even + options.late * late + crossing;
    // A server with free slots keeps nobody waiting, however slow it is.
    let is_over = load > 1.0 && request.bound.is_some_and(|bound| time > bound.as_secs_f64());
    Loss { all, late, is_over }
}

/// `Loss` is the expected loss at one server.
#[derive(Clone, Copy, Debug)]
struct Loss {
    all: f64,
    late: f64,
    /// Whether the request would keep more urgent work waiting too long.
    is_over: bool,
}

/// Chooses a server at random, those with a low expected loss far more often than others.
///
/// The choice is random because many nodes choose at once with nearly the same knowledge: all would take the one best
/// server. A server that failed some time ago keeps a small share, which shows when it is sound again.
pub fn pick(
    options: &PickerOptions,
    registry: &ServerRegistry,
    now: Timestamp,
    request: &PickRequest<'_>,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let work = registry.usual(request.service, UNLOADED).unwrap_or(Span::ZERO);
    let usable = registry.usable(now, request.service);
    let open: Vec<(&TrackedServer, Loss)> = usable
        .iter()
        .filter(|m| !request.tried.contains(&m.registration().id) && m.in_flight() < request.limit)
        .map(|m| (*m, loss(options, registry, now, m, request, work)))
        .filter(|(_, loss)| !loss.is_over)
        .collect();
    if let Some(unused) = below_floor(options, registry, now, &usable, &open, request, rng) {
        return Some(Choice { is_trial: true, ..choice(registry, now, unused, open.len()) });
    }
    let least = open.iter().map(|(_, loss)| loss.all).min_by(f64::total_cmp)?;
    let weights: Vec<f64> =
        open.iter().map(|(_, loss)| (-options.focus * (loss.all - least)).exp()).collect();
    let mut point = rng.random::<f64>() * weights.iter().sum::<f64>();
    let index = weights.iter().position(|w| {
        point -= w;
        point < 0.0
    });
    let drawn = open[index.unwrap_or(open.len() - 1)];
    Some(choice(registry, now, drawn, open.len()))
}

/// Returns a server that has to be used because too few of the service are, one of those with the least expected loss.
///
/// A service whose servers mostly look bad would otherwise lose the capacity of those that only look so. All nodes see
/// the lack at about the same time, so each acts on it only in a part of its choices, the larger the lack, and only for
/// servers of its own data centre. While the service serves its callers, a request that cannot be sent again is not
/// risked at a server that probably fails; one that can be shows as well whether the server is sound again.
fn below_floor<'a>(
    options: &PickerOptions,
    registry: &ServerRegistry,
    now: Timestamp,
    usable: &[&TrackedServer],
    open: &[(&'a TrackedServer, Loss)],
    request: &PickRequest<'_>,
    rng: &mut impl Rng,
) -> Option<(&'a TrackedServer, Loss)> {
    if options.floor == 0.0 || open.is_empty() {
        return None;
    }
    let used = usable.iter().filter(|m| m.is_used(now, IN_USE)).count();
    let is_failing = registry.unserved(now, request.service) >= FAILING_SERVICE;
    let margin = if is_failing { FAILING_MARGIN } else { FLOOR_MARGIN };
    let share = (options.floor + margin).min(1.0);
    let lack = ((usable.len() as f64 * share).ceil() as usize).saturating_sub(used);
    if rng.random_range(0..usable.len()) >= lack {
        return None;
    }
    let takes_risk = request.failure < 1.0 || is_failing;
    let health = &registry.options().health;
    let is_due = |m: &TrackedServer| takes_risk || m.failing(health, now) < TRIAL;
    let is_near = |m: &TrackedServer| m.registration().zone == *request.zone;
    let mut unused: Vec<&(&TrackedServer, Loss)> =
        open.iter().filter(|(m, _)| !m.is_used(now, IN_USE) && is_near(m) && is_due(m)).collect();
    unused.sort_by(|(_, a), (_, b)| a.all.total_cmp(&b.all));
    unused.truncate(lack);
    unused.choose(rng).map(|drawn| **drawn)
}

fn choice(
    registry: &ServerRegistry,
    now: Timestamp,
    (server, loss): (&TrackedServer, Loss),
    among: usize,
) -> Choice {
    Choice {
        id: server.registration().id.clone(),
        addr: server.registration().addr,
        failure: server.failure(&registry.options().health, now),
        age: server.age(now),
        load: server.load(registry.options().report_age, now),
        late: loss.late,
        among,
        is_trial: false,
    }
}
