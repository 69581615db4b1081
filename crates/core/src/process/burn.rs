//! Request counts for service-level objectives, error budgets and burn rates.
//!
//! `docs/design.md`, section 11, defines which requests count as bad.

use crate::{
    codes::{Outcome, ResultCode},
    ids::{RankName, ServiceName, Version},
    time::{Span, Timestamp},
    version::spec::Spec,
};
use std::{
    collections::{BTreeMap, HashMap},
    ops::AddAssign,
};

/// The width of one time bucket.
///
/// With 30 s, the shortest window is at most a tenth too short, and the counts take 17 KB per rank.
pub const BUCKET: Span = Span::from_secs(30);

/// The windows of a report, the shortest first.
pub const WINDOWS: [Window; 4] =
    [Window::FiveMinutes, Window::HalfHour, Window::Hour, Window::SixHours];

/// The usual multi-window, multi-burn-rate alert rules.
///
/// The long window shows that the loss matters, the short one that it still goes on. A burn rate of 14.4 for an
/// hour spends 2% of a 30-day budget, and a rate of 6 for six hours spends 5%.
pub const ALERTS: [AlertRule; 2] = [
    AlertRule { long: Window::Hour, short: Window::FiveMinutes, factor: 14.4 },
    AlertRule { long: Window::SixHours, short: Window::HalfHour, factor: 6.0 },
];

/// The number of buckets in the longest window.
const BUCKETS: usize = Window::SixHours.buckets();

/// A time window over which counts are added up.
///
/// A window ends now and begins at a bucket boundary, so it may be shorter than its nominal length by up to one
/// [`BUCKET`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Window {
    /// 5 minutes.
    FiveMinutes,
    /// 30 minutes.
    HalfHour,
    /// 1 hour.
    Hour,
    /// 6 hours.
    SixHours,
}

impl Window {
    /// Returns the nominal length of the window.
    pub const fn span(self) -> Span {
        match self {
            Window::FiveMinutes => Span::from_secs(300),
            Window::HalfHour => Span::from_secs(1_800),
            Window::Hour => Span::from_secs(3_600),
            Window::SixHours => Span::from_secs(21_600),
        }
    }

    const fn buckets(self) -> usize {
        (self.span().as_micros() / BUCKET.as_micros()) as usize
    }
}

/// An alert rule, which fires when the burn rate is at or above `factor` in both windows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AlertRule {
    /// The window that shows that the loss matters.
    pub long: Window,
    /// The window that shows that the loss still goes on.
    pub short: Window,
    /// The minimum burn rate.
    pub factor: f64,
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerOutcome {
    /// The complete response of a backend server was passed on.
    Response {
        /// The HTTP status.
        status: u16,
        /// The time from the request's arrival to the end of the response.
        latency: Span,
    },
    /// The node itself responded, with this code.
    Coded(ResultCode),
    /// The request was dropped before it had a response, for instance at a forced stop. If only the caller
    /// disconnects, the request continues and ends in another way.
    CallerGone,
}

/// The class of a counted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestClass {
    /// Completed within the rank's target latency.
    Good,
    /// Completed after the rank's target latency.
    Late,
    /// Refused by the backend servers before it ran.
    Shed,
    /// The response had a 5xx status.
    Failed,
    /// Without a response, and it is not known whether the request ran.
    Unknown,
    /// Refused by the node before it ran.
    Refused,
}

impl CallerOutcome {
    /// Returns the class of the request, or `None` if it is not counted.
    ///
    /// Dropped requests and 4xx responses are caused by callers or operators and say nothing about the service. A
    /// forgotten key gets 409, but its caller does not know the outcome, so it counts as unknown.
    pub fn classify(self, target: Span) -> Option<RequestClass> {
        match self {
            CallerOutcome::CallerGone | CallerOutcome::Response { status: 400..=499, .. } => None,
            CallerOutcome::Response { status: 500.., .. } => Some(RequestClass::Failed),
            CallerOutcome::Response { latency, .. } if latency > target => Some(RequestClass::Late),
            CallerOutcome::Response { .. } => Some(RequestClass::Good),
            CallerOutcome::Coded(ResultCode::KeyForgotten) => Some(RequestClass::Unknown),
            CallerOutcome::Coded(code) if (400..500).contains(&code.status()) => None,
            CallerOutcome::Coded(ResultCode::Shed) => Some(RequestClass::Shed),
            CallerOutcome::Coded(code) => Some(match code.outcome() {
                Outcome::Ran => RequestClass::Good,
                Outcome::NotRun => RequestClass::Refused,
                Outcome::Unknown => RequestClass::Unknown,
            }),
        }
    }
}

/// The number of requests of each [`RequestClass`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// The requests of [`RequestClass::Good`].
    pub good: u64,
    /// The requests of [`RequestClass::Late`].
    pub late: u64,
    /// The requests of [`RequestClass::Shed`].
    pub shed: u64,
    /// The requests of [`RequestClass::Failed`], whose responses had a 5xx status.
    pub failed: u64,
    /// The requests of [`RequestClass::Unknown`].
    pub unknown: u64,
    /// The requests of [`RequestClass::Refused`].
    pub refused: u64,
}

impl RequestCounts {
    /// Returns the number of bad requests: all counted ones that are not good.
    pub fn bad(&self) -> u64 {
        [self.late, self.shed, self.failed, self.unknown, self.refused]
            .into_iter()
            .fold(0, u64::saturating_add)
    }

    /// Returns the number of counted requests.
    pub fn total(&self) -> u64 {
        self.bad().saturating_add(self.good)
    }

    /// Returns the burn rate: the share of bad requests divided by the share that the objective allows.
    ///
    /// `objective` is the required share of good requests, in thousandths. The rate is 0 if no requests were
    /// counted.
    pub fn burn_rate(&self, objective: u32) -> f64 {
        if self.total() == 0 {
            return 0.0;
        }
        // An objective of 1000 or more would allow no bad request. The configuration checks refuse it.
        let allowed = f64::from(1000_u32.saturating_sub(objective).max(1));
        self.bad() as f64 * 1000.0 / (self.total() as f64 * allowed)
    }
}

impl AddAssign for RequestCounts {
    fn add_assign(&mut self, other: RequestCounts) {
        self.good = self.good.saturating_add(other.good);
        self.late = self.late.saturating_add(other.late);
        self.shed = self.shed.saturating_add(other.shed);
        self.failed = self.failed.saturating_add(other.failed);
        self.unknown = self.unknown.saturating_add(other.unknown);
        self.refused = self.refused.saturating_add(other.refused);
    }
}

/// Counts the requests of one node by service, rank and time.
#[derive(Clone, Debug, Default)]
pub struct BurnCounter {
    version: Version,
    services: HashMap<ServiceName, Vec<RankCounts>>,
}

#[derive(Clone, Debug)]
struct RankCounts {
    rank: RankName,
    target: Span,
    objective: u32,
    ring: Ring,
}

impl BurnCounter {
    /// Creates a counter without services.
    pub fn new() -> Self {
        BurnCounter::default()
    }

    /// Applies the ranks, targets and objectives of a configuration.
    ///
    /// Ranks are matched by name, so counts are kept when the order changes. Counts of ranks that are no
    /// longer declared are dropped.
    pub fn configure(&mut self, version: Version, spec: &Spec) {
        let mut old = std::mem::take(&mut self.services);
        self.version = version;
        for (name, service) in &spec.services {
            let mut ranks = old.remove(name).unwrap_or_default();
            let fresh = service.ranks.iter().map(|rank| {
                let kept = ranks.iter().position(|t| t.rank == rank.name);
                RankCounts {
                    rank: rank.name.clone(),
                    target: rank.target,
                    objective: rank.objective,
                    ring: kept.map(|i| ranks.swap_remove(i).ring).unwrap_or_default(),
                }
            });
            let fresh = fresh.collect();
            self.services.insert(name.clone(), fresh);
        }
    }

    /// Counts a request that ended at `now` and returns its class, or `None` if it is not counted.
    ///
    /// A request of a service or rank that is no longer declared is not counted.
    pub fn record(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        rank: &RankName,
        outcome: CallerOutcome,
    ) -> Option<RequestClass> {
        let rank_counts = self.services.get_mut(service)?.iter_mut().find(|t| &t.rank == rank)?;
        let class = outcome.classify(rank_counts.target)?;
        rank_counts.ring.add(now, class);
        Some(class)
    }

    /// Returns the counts of all declared ranks, ordered by service and then by urgency.
    pub fn report(&self, now: Timestamp) -> Report {
        let ordered: BTreeMap<_, _> = self.services.iter().collect();
        let rows = ordered.into_iter().flat_map(|(service, ranks)| {
            ranks.iter().map(move |t| Row {
                service: service.clone(),
                rank: t.rank.clone(),
                target: t.target,
                objective: t.objective,
                windows: t.ring.sums(now),
            })
        });
        Report { version: self.version, rows: rows.collect() }
    }
}

/// The counts of one time bucket. 32 bits halve the memory and suffice, since no node ends 4 billion requests in
/// 30 s.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket([u32; 6]);

/// A ring buffer with the counts of the longest window. It is allocated at the first request.
#[derive(Clone, Debug, Default)]
struct Ring {
    buckets: Vec<Bucket>,
    newest: u64,
}

impl Ring {
    fn add(&mut self, now: Timestamp, class: RequestClass) {
        let number = now.as_micros() / BUCKET.as_micros();
        if self.buckets.is_empty() {
            self.buckets = vec![Bucket::default(); BUCKETS];
            self.newest = number;
        }
        if number > self.newest {
            // Buckets between the last request and this one still hold counts from the previous round.
            let stale = (number - self.newest).min(BUCKETS as u64);
            for n in (number + 1 - stale)..=number {
                self.buckets[n as usize % BUCKETS] = Bucket::default();
            }
            self.newest = number;
        }
        // Threads read the clock before they get exclusive access, so `now` may be slightly old.
        if self.newest - number < BUCKETS as u64 {
            let count = &mut self.buckets[number as usize % BUCKETS].0[class as usize];
            *count = count.saturating_add(1);
        }
    }

    fn sums(&self, now: Timestamp) -> [RequestCounts; WINDOWS.len()] {
        let mut sums = [RequestCounts::default(); WINDOWS.len()];
        if self.buckets.is_empty() {
            return sums;
        }
        let last = (now.as_micros() / BUCKET.as_micros()).max(self.newest);
        for age in 0..BUCKETS as u64 {
            let Some(number) = last.checked_sub(age) else { break };
            // Buckets after the newest one still hold counts from the previous round.
            if number > self.newest {
                continue;
            }
            let [good, late, shed, failed, unknown, refused] =
                self.buckets[number as usize % BUCKETS].0.map(u64::from);
            let counts = RequestCounts { good, late, shed, failed, unknown, refused };
            for (sum, window) in sums.iter_mut().zip(WINDOWS) {
                if age < window.buckets() as u64 {
                    *sum += counts;
                }
            }
        }
        sums
    }
}

/// The counts of one node, or the merged counts of several.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The version of the configuration that the targets come from.
    pub version: Version,
    /// One row for each service and rank.
    pub rows: Vec<Row>,
}

/// The counts of one rank of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The service.
    pub service: ServiceName,
    /// The rank.
    pub rank: RankName,
    /// The maximum latency of a good request.
    pub target: Span,
    /// The required share of good requests, in thousandths.
    pub objective: u32,
    /// The counts in the order of [`WINDOWS`].
    pub windows: [RequestCounts; WINDOWS.len()],
}

/// The state of one [`AlertRule`] for one rank.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Alert {
    /// The rule.
    pub rule: AlertRule,
    /// Whether the burn rates in both windows are at or above the rule's factor.
    pub firing: bool,
}

impl Row {
    /// Returns the counts of `window`.
    pub fn counts(&self, window: Window) -> &RequestCounts {
        &self.windows[window as usize]
    }

    /// Returns the burn rate in `window`.
    pub fn burn_rate(&self, window: Window) -> f64 {
        self.counts(window).burn_rate(self.objective)
    }

    /// Returns the remaining share of the error budget of the longest window. It is negative if more than the
    /// whole budget was spent.
    ///
    /// Nodes have no persistent storage, so the budget covers six hours instead of the usual month.
    pub fn budget_left(&self) -> f64 {
        1.0 - self.burn_rate(Window::SixHours)
    }

    /// Returns the state of each rule in [`ALERTS`].
    pub fn alerts(&self) -> [Alert; ALERTS.len()] {
        ALERTS.map(|rule| Alert {
            rule,
            firing: self.burn_rate(rule.long) >= rule.factor
                && self.burn_rate(rule.short) >= rule.factor,
        })
    }
}

impl Report {
    /// Adds the counts of another node.
    ///
    /// If targets or objectives differ, those of the higher configuration version are kept. Each node has
    /// classified its requests by its own target.
    pub fn merge(&mut self, other: &Report) {
        let newer = other.version > self.version;
        for row in &other.rows {
            let same = |r: &&mut Row| r.service == row.service && r.rank == row.rank;
            let Some(merged) = self.rows.iter_mut().find(same) else {
                self.rows.push(row.clone());
                continue;
            };
            for (sum, counts) in merged.windows.iter_mut().zip(row.windows) {
                *sum += counts;
            }
            if newer {
                (merged.target, merged.objective) = (row.target, row.objective);
            }
        }
        self.version = self.version.max(other.version);
        // A stable sort keeps the order of urgency within a service.
        self.rows.sort_by(|a, b| a.service.cmp(&b.service));
    }
}
