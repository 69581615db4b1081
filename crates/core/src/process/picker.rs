//! Chooses a backend server for one request by expected loss.

use crate::{
    ids::{DataCentre, ServiceName},
    process::{
        registration::ServerId, server_registry::ServerRegistry, tracked_server::TrackedServer,
    },
    time::{Span, Timestamp},
};
use rand::{seq::IndexedRandom, Rng};
use std::net::SocketAddr;

/// Weights of the terms of the expected loss at a server. A loss of 1 is one failed request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickerOptions {
    /// Inverse temperature of the choice: each additional loss of 1 / `focus` divides a server's weight by e.
    pub focus: f64,
    /// Loss per unit of load above half of a server's slots, where a load of 1 fills all slots. It spreads requests
    /// evenly.
    pub even_cost: f64,
    /// Loss of a request whose response arrives after its target time.
    pub late_cost: f64,
    /// Loss per megabyte of traffic between data centres.
    pub zone_cost_mb: f64,
    /// Share of a service's servers that is kept in use regardless of their health estimates.
    pub floor: f64,
}

impl Default for PickerOptions {
    fn default() -> Self {
        PickerOptions { focus: 30.0, even_cost: 0.2, late_cost: 1.0, zone_cost_mb: 0.0, floor: 0.7 }
    }
}

/// Load, in multiples of the slots, above which further load adds no spread loss.
const SPREAD_LOAD_CAP: f64 = 5.0;

/// Load, in multiples of the slots, below which load adds no spread loss. Work then stays on the servers that have
/// just succeeded, and fewer requests reach a server at the moment it begins to fail.
const SPREAD_LOAD_FLOOR: f64 = 0.5;

/// Expected response times, as fractions of the target, at which the late probability leaves 0 and reaches 1.
pub(super) const LATE_FROM: f64 = 0.6;
const LATE_CERTAIN: f64 = 1.2;

/// Quantile of the response times that estimates the response time of a server with free slots.
const UNLOADED_QUANTILE: f64 = 0.25;

/// A server counts as in use for this long after the last request to it.
const IN_USE_WINDOW: Span = Span::from_millis(1_500);

/// The same while all servers are used. An unused one waits for the next request that is drawn for it, so the window is
/// shorter than the time in which each of them should get one.
const SHORTAGE_WINDOW: Span = Span::from_millis(1_000);

/// Margin above the declared share of servers in use. The node does not know which servers count as healthy for that
/// share, and the fraction of unused servers among those may be larger than among all.
const FLOOR_MARGIN: f64 = 0.1;

/// Margin while the service fails its callers. Faults then make many servers unhealthy, and the unused servers are
/// among the few that count.
const FAILING_MARGIN: f64 = 0.2;

/// Share of unserved requests at which the declared share of servers is used even if they look failing. Below it the
/// remaining servers serve the callers, and sending work to servers that probably fail would only add failures.
const FAILING_SERVICE_SHARE: f64 = 0.04;

/// Share of unserved requests at which all servers are used. So many callers are not served then that no healthy server may
/// be without work, and one that was left alone since it failed may be healthy again.
const SHORTAGE_SHARE: f64 = 0.07;

/// Failure probability below which an unused server may get a request that cannot be retried.
const MAX_TRIAL_FAILING: f64 = 0.6;

/// A request that needs a server.
#[derive(Clone, Debug)]
pub struct PickRequest<'a> {
    /// The service that handles the request.
    pub service: &'a ServiceName,
    /// Response time above which the response loses value to the caller.
    pub target: Span,
    /// The data centre of this node.
    pub zone: &'a DataCentre,
    /// Loss if the server fails the request; less than 1 if the request can be retried at another server.
    pub failure_loss: f64,
    /// Typical size of the request and its response, in bytes.
    pub bytes: f64,
    /// Servers that this request was already sent to.
    pub tried: &'a [ServerId],
    /// Maximum requests of this node in flight at one server.
    pub max_in_flight: u32,
    /// Loaded servers with a longer expected response time are not chosen; `None` for the most urgent work.
    pub max_response_time: Option<Span>,
}

impl PickRequest<'_> {
    /// Returns whether no more urgent work of the service needs the room that this request takes.
    fn is_urgent(&self) -> bool {
        self.max_response_time.is_none()
    }
}

/// The chosen server and the estimates behind the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The id of the server's registration.
    pub id: ServerId,
    /// The address to connect to.
    pub addr: SocketAddr,
    /// Probability that the server fails the request.
    pub failure_probability: f64,
    /// Age of the newest observation of the server.
    pub age: Span,
    /// Requests in flight at the server, from all nodes that report them.
    pub load: u32,
    /// Estimated probability, from 0 to 1, that the server's queue makes the response late.
    pub late_probability: f64,
    /// The limit on requests per second that the server names.
    pub limit: Option<f64>,
    /// Number of candidate servers.
    pub candidates: usize,
    /// Whether the server was chosen only because too few servers of the service are in use.
    pub is_trial: bool,
}

/// Returns the expected loss of one more request at `server`; `work` is the response time without a queue.
///
/// A server runs as many requests concurrently as it has slots and queues the rest, so its response time grows with the
/// load. Queueing costs nothing as long as the response meets the target: a busy healthy server is better than a
/// failing one, which always looks idle because it fails at once.
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
    let ratio = time / request.target.as_secs_f64().max(1e-3);
    let late_probability = ((ratio - LATE_FROM) / (LATE_CERTAIN - LATE_FROM)).clamp(0.0, 1.0);
    let is_near = server.registration().zone == *request.zone;
    let zone_loss = if is_near { 0.0 } else { options.zone_cost_mb * request.bytes / 1e6 };
    let failure = server.failure_probability(&registry.options().health, now);
    let spread_loss = options.even_cost * (load.min(SPREAD_LOAD_CAP) - SPREAD_LOAD_FLOOR).max(0.0);
    let total = request.failure_loss * failure
        + spread_loss
        + options.late_cost * late_probability
        + zone_loss;
    // A server with free slots delays no other request, even if it is slow.
    let is_too_slow =
        load > 1.0 && request.max_response_time.is_some_and(|max| time > max.as_secs_f64());
    Loss { total, late_probability, is_too_slow }
}

#[derive(Clone, Copy, Debug)]
struct Loss {
    total: f64,
    late_probability: f64,
    /// Whether the request would delay more urgent work at this server past its target.
    is_too_slow: bool,
}

/// Chooses a server at random, with a weight that falls exponentially with its expected loss.
///
/// The choice is random because many nodes choose at once with nearly the same knowledge and would otherwise all take
/// the same server. A server that failed some time ago keeps a small share, which shows when it has recovered.
pub fn pick(
    options: &PickerOptions,
    registry: &ServerRegistry,
    now: Timestamp,
    request: &PickRequest<'_>,
    rng: &mut impl Rng,
) -> Option<Choice> {
    let work = registry.latency_quantile(request.service, UNLOADED_QUANTILE).unwrap_or(Span::ZERO);
    let usable = registry.usable(now, request.service);
    let candidates: Vec<(&TrackedServer, Loss)> = usable
        .iter()
        .filter(|s| {
            !request.tried.contains(&s.registration().id)
                && s.in_flight() < request.max_in_flight
                && s.is_within_limit(now, request.is_urgent())
        })
        .map(|s| (*s, loss(options, registry, now, s, request, work)))
        .filter(|(_, loss)| !loss.is_too_slow)
        .collect();
    if let Some(unused) = below_floor(options, registry, now, &usable, &candidates, request, rng) {
        return Some(Choice { is_trial: true, ..choice(registry, now, unused, candidates.len()) });
    }
    let least = candidates.iter().map(|(_, loss)| loss.total).min_by(f64::total_cmp)?;
    let weights: Vec<f64> =
        candidates.iter().map(|(_, loss)| (-options.focus * (loss.total - least)).exp()).collect();
    let mut point = rng.random::<f64>() * weights.iter().sum::<f64>();
    let index = weights.iter().position(|w| {
        point -= w;
        point < 0.0
    });
    let drawn = candidates[index.unwrap_or(candidates.len() - 1)];
    Some(choice(registry, now, drawn, candidates.len()))
}

/// Returns an unused server with a low expected loss if too few servers of the service are in use.
///
/// A service whose servers mostly look failing would otherwise lose the capacity of those that are healthy. All nodes
/// see the shortfall at about the same time, so each acts on it only in a fraction of its choices, which grows with the
/// shortfall, and only for servers of its own data centre. While the service serves its callers, a request that cannot
/// be retried is not risked at a server that probably fails; one that can be retried tests the server just as well.
fn below_floor<'a>(
    options: &PickerOptions,
    registry: &ServerRegistry,
    now: Timestamp,
    usable: &[&TrackedServer],
    candidates: &[(&'a TrackedServer, Loss)],
    request: &PickRequest<'_>,
    rng: &mut impl Rng,
) -> Option<(&'a TrackedServer, Loss)> {
    if options.floor == 0.0 || candidates.is_empty() {
        return None;
    }
    let unserved = registry.unserved_share(now, request.service);
    let is_failing = unserved >= FAILING_SERVICE_SHARE;
    let (share, window) = if unserved >= SHORTAGE_SHARE {
        (1.0, SHORTAGE_WINDOW)
    } else {
        let margin = if is_failing { FAILING_MARGIN } else { FLOOR_MARGIN };
        ((options.floor + margin).min(1.0), IN_USE_WINDOW)
    };
    let used = usable.iter().filter(|s| s.is_used(now, window)).count();
    let shortfall = ((usable.len() as f64 * share).ceil() as usize).saturating_sub(used);
    if rng.random_range(0..usable.len()) >= shortfall {
        return None;
    }
    let takes_risk = request.failure_loss < 1.0 || is_failing;
    let health = &registry.options().health;
    let may_try =
        |s: &TrackedServer| takes_risk || s.failing_probability(health, now) < MAX_TRIAL_FAILING;
    let is_near = |s: &TrackedServer| s.registration().zone == *request.zone;
    let mut unused: Vec<&(&TrackedServer, Loss)> = candidates
        .iter()
        .filter(|(s, _)| !s.is_used(now, window) && is_near(s) && may_try(s))
        .collect();
    unused.sort_by(|(_, a), (_, b)| a.total.total_cmp(&b.total));
    unused.truncate(shortfall);
    unused.choose(rng).map(|drawn| **drawn)
}

fn choice(
    registry: &ServerRegistry,
    now: Timestamp,
    (server, loss): (&TrackedServer, Loss),
    candidates: usize,
) -> Choice {
    Choice {
        id: server.registration().id.clone(),
        addr: server.registration().addr,
        failure_probability: server.failure_probability(&registry.options().health, now),
        age: server.age(now),
        load: server.load(registry.options().report_age, now),
        late_probability: loss.late_probability,
        limit: server.limit(),
        candidates,
        is_trial: false,
    }
}
