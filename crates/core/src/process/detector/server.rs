//! The counts and scores of one server.

use super::{
    bank::{log_likelihood_ratio, Bank},
    decayed::{BaseRates, DecayedWindows, TIME_CONSTANTS},
    options::Options,
    source::Sources,
};
use crate::{
    process::evidence::EvidenceCounts,
    time::{Span, Timestamp},
};

/// The number of workspaces whose bad outcomes are kept separately for one server.
const MAX_WORKSPACES: usize = 4;

/// The counts and scores of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct Server {
    /// The counts received since the last `evaluate`.
    pub(super) pending: EvidenceCounts,
    decayed: DecayedWindows,
    pub(super) bad: Bank,
    pub(super) slow: Bank,
    pub(super) threshold: f64,
    /// The counts since all scores were last zero.
    pub(super) counts: EvidenceCounts,
    sources: Sources,
    /// Hashes of workspaces with their bad outcomes.
    workspaces: [(u32, u32); MAX_WORKSPACES],
    /// The outcomes expected since the server's last one, computed from the other servers' good outcomes.
    missing: f64,
    pub(super) excluded: bool,
}

impl Server {
    /// Creates a server without counts.
    pub(super) fn new(excluded: bool) -> Self {
        Server { excluded, ..Server::default() }
    }

    /// Adds the counts that the node `source` reports.
    pub(super) fn observe(&mut self, source: u32, counts: &EvidenceCounts) {
        self.pending.merge(counts);
        self.sources.add(source, counts);
        for w in counts.workspaces().iter().filter(|w| w.bad > 0) {
            self.add_workspace(w.hash, w.bad);
        }
    }

    /// Decays the counts and adds the pending ones.
    pub(super) fn decay(&mut self, decay: &[f64; TIME_CONSTANTS.len()]) {
        for (counts, decay) in self.decayed.iter_mut().zip(decay) {
            counts.update(*decay, &self.pending);
        }
    }

    /// Returns the decayed counts.
    pub(super) fn decayed(&self) -> &DecayedWindows {
        &self.decayed
    }

    /// Adds the pending counts to the scores. `totals` holds the counts of all servers, and `new_good` their pending
    /// good outcomes.
    pub(super) fn evaluate(
        &mut self,
        now: Timestamp,
        options: &Options,
        totals: &DecayedWindows,
        new_good: f64,
    ) {
        let others: DecayedWindows = std::array::from_fn(|i| totals[i] - self.decayed[i]);
        let base = BaseRates::of_windows(&others, options.min_rate);
        self.bad.base = base.bad;
        self.slow.base = base.slow;
        self.threshold = options.threshold(self.rate());
        let counts = std::mem::take(&mut self.pending);
        if counts.is_empty() {
            self.missing += new_good * self.decayed[1].total() / others[1].good.max(1.0);
            return;
        }
        self.missing = 0.0;
        let EvidenceCounts { good, bad, slow, .. } = counts;
        let (good, bad, slow) = (f64::from(good), f64::from(bad), f64::from(slow));
        self.bad.update(options, bad, good);
        self.slow.update(options, slow, good - slow);
        self.bad.compare(now, self.threshold);
        self.slow.compare(now, self.threshold);
        self.counts.merge(&counts);
        if self.score() == 0.0 {
            self.reset();
        }
    }

    /// Returns the higher score of the two tests.
    pub(super) fn score(&self) -> f64 {
        self.bad.score().max(self.slow.score())
    }

    /// Returns the outcomes per second.
    pub(super) fn rate(&self) -> f64 {
        self.decayed[1].total() / TIME_CONSTANTS[1]
    }

    /// Returns the share of bad or slow outcomes among the recent ones.
    pub(super) fn severity(&self) -> f64 {
        let recent = &self.decayed[0];
        ((recent.bad + recent.slow) / recent.total().max(1.0)).min(1.0)
    }

    /// Returns whether a score has been at or above the threshold for `confirm`.
    pub(super) fn is_confirmed(&self, now: Timestamp, confirm: Span) -> bool {
        [&self.bad, &self.slow].iter().any(|b| b.above.is_some_and(|t| now.since(t) >= confirm))
    }

    /// Sets the scores to zero and drops the counts behind them.
    pub(super) fn reset(&mut self) {
        self.bad.clear();
        self.slow.clear();
        self.counts = EvidenceCounts::default();
        self.sources = Default::default();
        self.workspaces = Default::default();
    }

    /// Returns whether enough evidence is left without the node that contributed most of it.
    ///
    /// A quarter of the threshold must be left; otherwise a single chance failure at another node would
    /// confirm a link that fails for one node only. Missing outcomes count for at most half of that: a node
    /// whose link hangs may hold most of the server's slots, which then yield no outcomes either.
    pub(super) fn has_two_nodes(&self, options: &Options) -> bool {
        let missing = self.missing_outcomes().min(self.threshold / 2.0);
        let EvidenceCounts { good, bad, slow, .. } = self.counts;
        let (good, bad, slow) = (f64::from(good), f64::from(bad), f64::from(slow));
        let top_bad = self.sources.top(|s| s.bad);
        let top_slow = self.sources.top(|s| s.slow);
        let other_bad = without(bad, good + bad, top_bad.bad, top_bad.good + top_bad.bad);
        let other_slow = without(slow, good, top_slow.slow, top_slow.good);
        self.bad.is_confirmed_by(options, self.threshold, other_bad, missing)
            || self.slow.is_confirmed_by(options, self.threshold, other_slow, missing)
    }

    /// Returns whether enough evidence is left without the workspace that has most of the bad outcomes.
    ///
    /// The good outcomes of that workspace are not known separately and count for the others, so the
    /// evidence is understated. Missing outcomes are added to it, since a server without outcomes does not respond to
    /// the other workspaces either; by chance one workspace may hold all slots but one. Slow responses are not counted
    /// by workspace, so they always pass this check.
    pub(super) fn has_two_workspaces(&self) -> bool {
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
    pub(super) fn stands_out(&self, totals: &DecayedWindows, min_rate: f64) -> bool {
        if self.missing_outcomes() >= self.threshold / 3.0 {
            return true;
        }
        self.decayed.iter().zip(totals).any(|(own, sum)| {
            let base = BaseRates::of_window(&(*sum - *own), min_rate);
            let bad = log_likelihood_ratio(own.bad, own.total(), base.bad);
            let slow = log_likelihood_ratio(own.slow, own.good, base.slow);
            bad.max(slow) >= self.threshold / 3.0
        })
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
}

/// Returns the hits and misses that are left of `total` outcomes without those of one node.
fn without(hits: f64, total: f64, node_hits: f32, node_total: f32) -> (f64, f64) {
    let hits = (hits - f64::from(node_hits)).max(0.0);
    let misses = (total - f64::from(node_total) - hits).max(0.0);
    (hits, misses)
}
