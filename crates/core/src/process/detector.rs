//! Sequential tests that find backend servers with gray failures.
//!
//! For each server a bank of CUSUM tests compares the share of bad outcomes, and the share of slow
//! responses, with those of the service's other servers (docs/design.md, section 4.1).
//!
//! Counts arrive in batches, and the order of outcomes inside a batch is not known. For a batch of
//! `g` good and `b` bad outcomes with steps `−u` and `+v`, a CUSUM at `s` ends between
//! `max(0, s + b·v − g·u)` (all bad first) and `max(0, s − g·u) + b·v` (all good first). The detector
//! uses the lower end. No order of the outcomes gives a lower score, so batching adds no false
//! ejection, and the score lags by at most the bad outcomes of one batch.

use crate::{
    ids::ServerAddr,
    process::evidence::EvidenceCounts,
    time::{Span, Timestamp},
};
use std::collections::BTreeMap;

/// The number of alternative hypotheses in one bank of tests.
pub const ALTERNATIVES: usize = 3;
/// The number of nodes whose counts are kept separately for one server. The server's total includes all nodes.
const MAX_SOURCES: usize = 8;
/// The number of workspaces whose bad outcomes are kept separately for one server.
const MAX_WORKSPACES: usize = 4;
/// Time constants, in seconds, of the decayed outcome counts. The shorter one makes the base rate follow a
/// fault of the whole service before single servers are blamed for it.
const TIME_CONSTANTS: [f64; 2] = [1.0, 10.0];

/// The parameters of the tests.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The alternative hypotheses: shares of bad or slow outcomes of a failing server, from 0 to 1.
    pub alternatives: [f64; ALTERNATIVES],
    /// The lower limit of the base rate, from 0 to 1.
    pub min_rate: f64,
    /// The minimum mean time between two false ejections of one server.
    pub false_alarm_interval: Span,
    /// How long a score must stay at or above its threshold before the server counts as failing. The other
    /// servers' counts arrive in this time and show whether the whole service is at fault.
    pub confirm: Span,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            // Until its deadlines pass, a hanging server yields one bad outcome per slot, six in all. With 70% they
            // reach the threshold despite up to three good outcomes that are reported late. With 30% they barely
            // reach it or miss it. With 95% a good outcome lowers the score more, so two late ones are too many.
            alternatives: [0.05, 0.30, 0.70],
            min_rate: 0.01,
            // A twelfth of 365 days.
            false_alarm_interval: Span::from_secs(365 * 24 * 3600 / 12),
            confirm: Span::from_millis(100),
        }
    }
}

impl Options {
    /// Returns the score threshold at `rate` outcomes per second.
    ///
    /// One CUSUM with threshold `h` has a mean time to a false alarm of at least `exp(h)` outcomes. Each
    /// server has two tests with three alternatives, so each of the six may give one false alarm in six
    /// times `false_alarm_interval`.
    pub fn threshold(&self, rate: f64) -> f64 {
        let tests = (2 * ALTERNATIVES) as f64;
        (tests * rate.max(1.0) * self.false_alarm_interval.as_secs_f64()).ln()
    }

    /// Returns the alternative that is tested against the base rate `base`.
    ///
    /// Its odds are at least three times those of `base`. With a base rate above the alternative, a bad
    /// outcome would otherwise lower the score.
    pub fn alternative(&self, index: usize, base: f64) -> f64 {
        let odds = |p: f64| p / (1.0 - p);
        let o = odds(self.alternatives[index]).max(3.0 * odds(base));
        o / (1.0 + o)
    }
}

/// Returns the score of a CUSUM after a batch: the minimum over all orders of its outcomes.
pub fn update_score(score: f64, hits: f64, misses: f64, base: f64, alternative: f64) -> f64 {
    (score + hits * (alternative / base).ln() + misses * ((1.0 - alternative) / (1.0 - base)).ln())
        .max(0.0)
}

/// Outcome counts that decay exponentially with one time constant.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedCounts {
    good: f64,
    bad: f64,
    slow: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Source {
    id: u32,
    good: f32,
    bad: f32,
    slow: f32,
}

/// The state of one test: a score for each alternative, and the base rate.
#[derive(Clone, Copy, Debug, Default)]
struct Bank {
    scores: [f64; ALTERNATIVES],
    base: f64,
    /// Since when the highest score is at or above the threshold.
    above: Option<Timestamp>,
}

impl Bank {
    fn score(&self) -> f64 {
        self.scores.iter().copied().fold(0.0, f64::max)
    }

    fn clear(&mut self) {
        self.scores = [0.0; ALTERNATIVES];
        self.above = None;
    }
}

#[derive(Clone, Debug, Default)]
struct Server {
    /// The counts received since the last `evaluate`.
    pending: EvidenceCounts,
    decayed: [DecayedCounts; TIME_CONSTANTS.len()],
    bad: Bank,
    slow: Bank,
    threshold: f64,
    /// The counts since all scores were last zero.
    counts: EvidenceCounts,
    sources: [Source; MAX_SOURCES],
    /// Hashes of workspaces with their bad outcomes.
    workspaces: [(u32, u32); MAX_WORKSPACES],
    /// The outcomes expected since the server's last one, computed from the other servers' good outcomes.
    missing: f64,
    excluded: bool,
}

/// The test results of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Scores {
    /// The outcomes since the scores were last zero.
    pub counts: EvidenceCounts,
    /// The score of the test on bad outcomes.
    pub bad: f64,
    /// The base rate of bad outcomes, from 0 to 1: the other servers' share.
    pub bad_base: f64,
    /// The score of the test on slow responses.
    pub slow: f64,
    /// The base rate of slow responses, from 0 to 1: the other servers' share.
    pub slow_base: f64,
    /// The threshold of both tests.
    pub threshold: f64,
    /// The outcomes per second.
    pub rate: f64,
    /// Whether the evidence comes from at least two nodes and two workspaces, if as many are active.
    pub corroborated: bool,
}

/// A server that fails a test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspect {
    /// The server.
    pub server: ServerAddr,
    /// The share of bad or slow outcomes among the recent ones, from 0 to 1.
    pub severity: f64,
}

/// The result of the tests of all servers of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum TestResult {
    /// The servers that fail a test, the worst first. The list may be empty.
    Suspects(Vec<Suspect>),
    /// More than half of the servers are suspect, so the service as a whole is at fault.
    Service,
}

/// Tests the servers of one service.
///
/// The state takes 432 bytes per server plus the map's overhead, whatever the number of nodes. A test checks
/// this limit.
#[derive(Debug)]
pub struct Detector {
    options: Options,
    servers: BTreeMap<ServerAddr, Server>,
    updated_at: Option<Timestamp>,
    /// The decayed counts of all servers together.
    totals: [DecayedCounts; TIME_CONSTANTS.len()],
    /// Up to two active nodes and workspaces of the service, with the times of their last outcomes.
    nodes: [Option<(u32, Timestamp)>; 2],
    workspaces: [Option<(u32, Timestamp)>; 2],
}

/// A node or workspace counts as active for this long after its last outcome.
const ACTIVE_WINDOW: Span = Span::from_secs(10);

fn mark_active(seen: &mut [Option<(u32, Timestamp)>; 2], id: u32, now: Timestamp) {
    if let Some(entry) = seen.iter_mut().flatten().find(|e| e.0 == id) {
        entry.1 = now;
    } else if let Some(free) =
        seen.iter_mut().find(|e| !e.is_some_and(|(_, at)| now.since(at) <= ACTIVE_WINDOW))
    {
        *free = Some((id, now));
    }
}

fn two_active(seen: &[Option<(u32, Timestamp)>; 2], now: Timestamp) -> bool {
    seen.iter().all(|e| e.is_some_and(|(_, at)| now.since(at) <= ACTIVE_WINDOW))
}

impl Detector {
    /// The size of the state per server in bytes, without the map's overhead.
    pub const BYTES_PER_SERVER: usize =
        std::mem::size_of::<Server>() + std::mem::size_of::<ServerAddr>();

    /// Creates a detector without servers.
    pub fn new(options: Options) -> Self {
        Detector {
            options,
            servers: BTreeMap::new(),
            updated_at: None,
            totals: Default::default(),
            nodes: [None; 2],
            workspaces: [None; 2],
        }
    }

    /// Sets the servers to test. The state of all others is dropped.
    pub fn set_servers(&mut self, servers: impl IntoIterator<Item = ServerAddr>) {
        let mut old = std::mem::take(&mut self.servers);
        for s in servers {
            self.servers.insert(s, old.remove(&s).unwrap_or_default());
        }
    }

    /// Adds the counts that a node reports about `server`. `source` is the hash of the node.
    pub fn observe(
        &mut self,
        now: Timestamp,
        source: u32,
        server: ServerAddr,
        counts: &EvidenceCounts,
    ) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        if counts.is_empty() || s.excluded {
            return;
        }
        mark_active(&mut self.nodes, source, now);
        for w in counts.workspaces() {
            mark_active(&mut self.workspaces, w.hash, now);
        }
        s.pending.merge(counts);
        s.add_source(source, counts);
        for w in counts.workspaces().iter().filter(|w| w.bad > 0) {
            s.add_workspace(w.hash, w.bad);
        }
    }

    /// Excludes a server from the tests and the base rate, or includes it again.
    ///
    /// Either change resets its scores to zero.
    pub fn set_excluded(&mut self, server: ServerAddr, excluded: bool) {
        if let Some(s) = self.servers.get_mut(&server) {
            if s.excluded != excluded {
                *s = Server { excluded, ..Server::default() };
            }
        }
    }

    /// Evaluates the counts received since the last call and returns the result of the tests.
    pub fn evaluate(&mut self, now: Timestamp) -> TestResult {
        self.apply_pending(now);
        let tested = self.servers.values().filter(|s| !s.excluded).count();
        let is_elevated = |s: &Server| s.score() >= s.threshold / 4.0;
        let is_failing = |s: &Server| {
            s.is_confirmed(now, self.options.confirm)
                && s.stands_out(&self.totals, self.options.min_rate)
                && self.is_corroborated(now, s)
        };
        // For "more than half", a score of a quarter of the threshold is enough: when the whole service starts
        // to fail, one server reaches the full threshold a little before the others.
        let suspects = self.servers.values().filter(|s| !s.excluded && is_elevated(s)).count();
        if !self.servers.values().any(|s| !s.excluded && is_failing(s)) {
            return TestResult::Suspects(Vec::new());
        }
        if tested > 1 && 2 * suspects > tested {
            for s in self.servers.values_mut() {
                s.reset();
            }
            return TestResult::Service;
        }
        let mut list: Vec<Suspect> = self
            .servers
            .iter()
            .filter(|(_, s)| !s.excluded && is_failing(s))
            .map(|(a, s)| Suspect { server: *a, severity: s.severity() })
            .collect();
        list.sort_by(|a, b| b.severity.total_cmp(&a.severity).then(a.server.cmp(&b.server)));
        TestResult::Suspects(list)
    }

    /// Returns the scores of a server as of the last `evaluate`.
    pub fn scores(&self, now: Timestamp, server: ServerAddr) -> Option<Scores> {
        let s = self.servers.get(&server)?;
        Some(Scores {
            counts: s.counts,
            bad: s.bad.score(),
            bad_base: s.bad.base,
            slow: s.slow.score(),
            slow_base: s.slow.base,
            threshold: s.threshold,
            rate: s.rate(),
            corroborated: self.is_corroborated(now, s),
        })
    }

    fn apply_pending(&mut self, now: Timestamp) {
        let elapsed = now.since(self.updated_at.unwrap_or(now)).as_secs_f64();
        self.updated_at = Some(now);
        let decay = TIME_CONSTANTS.map(|t| (-elapsed / t).exp());
        let mut totals = [DecayedCounts::default(); TIME_CONSTANTS.len()];
        let mut new_good = 0.0;
        for s in self.servers.values_mut().filter(|s| !s.excluded) {
            new_good += f64::from(s.pending.good);
            for i in 0..TIME_CONSTANTS.len() {
                let a = &mut s.decayed[i];
                a.good = a.good * decay[i] + f64::from(s.pending.good);
                a.bad = a.bad * decay[i] + f64::from(s.pending.bad);
                a.slow = a.slow * decay[i] + f64::from(s.pending.slow);
                totals[i].good += a.good;
                totals[i].bad += a.bad;
                totals[i].slow += a.slow;
            }
        }
        self.totals = totals;
        let options = self.options;
        for s in self.servers.values_mut().filter(|s| !s.excluded) {
            let mut bases = [options.min_rate; 2];
            for (a, sum) in s.decayed.iter().zip(&totals) {
                let (good, bad, slow) = (sum.good - a.good, sum.bad - a.bad, sum.slow - a.slow);
                if good + bad >= 1.0 {
                    bases[0] = bases[0].max(bad / (good + bad));
                }
                if good >= 1.0 {
                    bases[1] = bases[1].max(slow / good);
                }
            }
            // A share of 1 would have infinite odds.
            s.bad.base = bases[0].min(0.95);
            s.slow.base = bases[1].min(0.95);
            s.threshold = options.threshold(s.rate());
            let c = std::mem::take(&mut s.pending);
            if c.is_empty() {
                let (own, others) = (&s.decayed[1], totals[1].good - s.decayed[1].good);
                s.missing += new_good * (own.good + own.bad) / others.max(1.0);
                continue;
            }
            s.missing = 0.0;
            let (good, bad, slow) = (f64::from(c.good), f64::from(c.bad), f64::from(c.slow));
            for i in 0..ALTERNATIVES {
                let p = options.alternative(i, s.bad.base);
                s.bad.scores[i] = update_score(s.bad.scores[i], bad, good, s.bad.base, p);
                let p = options.alternative(i, s.slow.base);
                s.slow.scores[i] =
                    update_score(s.slow.scores[i], slow, good - slow, s.slow.base, p);
            }
            // The cap limits the number of good outcomes that a server with a lowered weight needs to
            // recover.
            for bank in [&mut s.bad, &mut s.slow] {
                for score in &mut bank.scores {
                    *score = score.min(1.5 * s.threshold);
                }
                if bank.score() < s.threshold {
                    bank.above = None;
                } else if bank.above.is_none() {
                    bank.above = Some(now);
                }
            }
            s.counts.merge(&c);
            if s.score() == 0.0 {
                s.reset();
            }
        }
    }

    fn is_corroborated(&self, now: Timestamp, s: &Server) -> bool {
        let nodes = !two_active(&self.nodes, now) || s.has_two_nodes(&self.options);
        let workspaces = !two_active(&self.workspaces, now) || s.has_two_workspaces();
        nodes && workspaces
    }
}

impl Server {
    fn score(&self) -> f64 {
        self.bad.score().max(self.slow.score())
    }

    fn rate(&self) -> f64 {
        let a = &self.decayed[1];
        (a.good + a.bad) / TIME_CONSTANTS[1]
    }

    fn severity(&self) -> f64 {
        let a = &self.decayed[0];
        ((a.bad + a.slow) / (a.good + a.bad).max(1.0)).min(1.0)
    }

    fn is_confirmed(&self, now: Timestamp, confirm: Span) -> bool {
        [&self.bad, &self.slow].iter().any(|b| b.above.is_some_and(|t| now.since(t) >= confirm))
    }

    fn reset(&mut self) {
        self.bad.clear();
        self.slow.clear();
        self.counts = EvidenceCounts::default();
        self.sources = Default::default();
        self.workspaces = Default::default();
    }

    fn add_source(&mut self, id: u32, c: &EvidenceCounts) {
        let used = |s: &Source| s.good + s.bad > 0.0;
        let found = self.sources.iter().position(|s| used(s) && s.id == id);
        // Replaces the source with the fewest bad and slow outcomes, since only the largest one matters.
        let index = found.unwrap_or_else(|| {
            (0..MAX_SOURCES)
                .min_by(|a, b| {
                    let weight = |i: usize| {
                        let s = &self.sources[i];
                        if used(s) {
                            1.0 + s.bad + s.slow
                        } else {
                            0.0
                        }
                    };
                    weight(*a).total_cmp(&weight(*b))
                })
                .unwrap_or(0)
        });
        let s = &mut self.sources[index];
        if found.is_none() {
            *s = Source { id, ..Source::default() };
        }
        s.good += c.good as f32;
        s.bad += c.bad as f32;
        s.slow += c.slow as f32;
    }

    fn add_workspace(&mut self, hash: u32, bad: u32) {
        let found = self.workspaces.iter().position(|w| w.1 > 0 && w.0 == hash);
        let index = found.unwrap_or_else(|| {
            (0..MAX_WORKSPACES).min_by_key(|i| self.workspaces[*i].1).unwrap_or(0)
        });
        let w = &mut self.workspaces[index];
        if found.is_none() {
            *w = (hash, 0);
        }
        w.1 = w.1.saturating_add(bad);
    }

    /// Returns whether enough evidence is left without the node that contributed most of it.
    ///
    /// A quarter of the threshold must be left; otherwise a single chance failure at another node would
    /// confirm a link that fails for one node only. Missing outcomes count for at most half of that: a node
    /// whose link hangs may hold most of the server's slots, which then yield no outcomes either.
    fn has_two_nodes(&self, options: &Options) -> bool {
        let c = &self.counts;
        let missing_outcomes = self.missing_outcomes().min(self.threshold / 2.0);
        let is_enough = |bank: &Bank,
                         hits: f64,
                         total: f64,
                         hit: fn(&Source) -> f32,
                         all: fn(&Source) -> f32| {
            let top = self
                .sources
                .iter()
                .max_by(|a, b| hit(a).total_cmp(&hit(b)))
                .copied()
                .unwrap_or_default();
            let hits = (hits - f64::from(hit(&top))).max(0.0);
            let misses = (total - f64::from(all(&top)) - hits).max(0.0);
            (0..ALTERNATIVES).any(|i| {
                let p = options.alternative(i, bank.base);
                bank.score() >= self.threshold
                    && 4.0 * update_score(0.0, hits, misses, bank.base, p) + missing_outcomes
                        >= self.threshold
            })
        };
        let (good, bad, slow) = (f64::from(c.good), f64::from(c.bad), f64::from(c.slow));
        is_enough(&self.bad, bad, good + bad, |s| s.bad, |s| s.good + s.bad)
            || is_enough(&self.slow, slow, good, |s| s.slow, |s| s.good)
    }

    /// Returns whether enough evidence is left without the workspace that has most of the bad outcomes.
    ///
    /// The good outcomes of that workspace are not known separately and count for the others, so the
    /// evidence is understated. Missing outcomes are added to it, since a server without outcomes does not respond to
    /// the other workspaces either; by chance one workspace may hold all slots but one. Slow responses are not counted
    /// by workspace, so they always pass this check.
    fn has_two_workspaces(&self) -> bool {
        if self.slow.score() >= self.threshold {
            return true;
        }
        let top = self.workspaces.iter().map(|w| w.1).max().unwrap_or(0);
        let rest = f64::from(self.counts.bad.saturating_sub(top));
        let rest = log_likelihood_ratio(rest, rest + f64::from(self.counts.good), self.bad.base);
        4.0 * rest + self.missing_outcomes() >= self.threshold
    }

    /// Returns the number of outcomes that are missing while the other servers have good ones.
    ///
    /// A working server misses that many with a probability of `exp(-missing)`, so the number has the unit of the
    /// scores. The requests at a hanging server keep its slots taken, so it yields no more evidence until their
    /// deadlines. Without bad outcomes, missing ones only mean that no node sends requests to the server.
    fn missing_outcomes(&self) -> f64 {
        if self.bad.score() >= self.threshold {
            self.missing
        } else {
            0.0
        }
    }

    /// Returns whether the server differs from the others over the same window.
    ///
    /// The scores compare with base rates that lag behind a sudden change of the whole service. Here the
    /// server's and the others' outcomes are of the same time, so such a change affects both sides. The share of a
    /// server without new outcomes does not change, so its missing outcomes are enough as well.
    fn stands_out(&self, totals: &[DecayedCounts; TIME_CONSTANTS.len()], min_rate: f64) -> bool {
        if self.missing_outcomes() >= self.threshold / 3.0 {
            return true;
        }
        self.decayed.iter().zip(totals).any(|(a, sum)| {
            let (good, bad, slow) = (sum.good - a.good, sum.bad - a.bad, sum.slow - a.slow);
            let bad = (bad / (good + bad).max(1.0)).max(min_rate);
            let slow = (slow / good.max(1.0)).max(min_rate);
            let bad = log_likelihood_ratio(a.bad, a.good + a.bad, bad.min(0.95));
            let slow = log_likelihood_ratio(a.slow, a.good, slow.min(0.95));
            bad.max(slow) >= self.threshold / 3.0
        })
    }
}

/// Returns the log-likelihood ratio of the observed share against `base`, or 0 if the share is not above it.
fn log_likelihood_ratio(hits: f64, total: f64, base: f64) -> f64 {
    let share = hits / total.max(1.0);
    if share <= base {
        return 0.0;
    }
    let misses = (total - hits).max(0.0);
    let rest = if misses > 0.0 { misses * ((1.0 - share) / (1.0 - base)).ln() } else { 0.0 };
    hits * (share / base).ln() + rest
}
