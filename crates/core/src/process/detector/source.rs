//! The counts of one server by the nodes that reported them.

use crate::process::evidence::EvidenceCounts;

/// The number of nodes whose counts are kept separately for one server. The server's total includes all nodes.
const MAX_SOURCES: usize = 8;

/// The counts of one node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Source {
    id: u32,
    pub(super) good: f32,
    pub(super) bad: f32,
    pub(super) slow: f32,
}

impl Source {
    fn is_used(&self) -> bool {
        self.good + self.bad > 0.0
    }

    /// Returns how much is lost if the source is replaced.
    fn weight(&self) -> f32 {
        if self.is_used() {
            1.0 + self.bad + self.slow
        } else {
            0.0
        }
    }
}

/// The counts of the nodes that reported most bad and slow outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sources([Source; MAX_SOURCES]);

impl Sources {
    /// Adds counts of the node `id`.
    pub(super) fn add(&mut self, id: u32, counts: &EvidenceCounts) {
        let source = self.source_mut(id);
        source.good += counts.good as f32;
        source.bad += counts.bad as f32;
        source.slow += counts.slow as f32;
    }

    /// Returns the source with the highest value.
    pub(super) fn top(&self, value: impl Fn(&Source) -> f32) -> Source {
        let top = self.0.iter().max_by(|a, b| value(a).total_cmp(&value(b)));
        top.copied().unwrap_or_default()
    }

    /// Returns the source of a node. A new one replaces that with the fewest bad and slow outcomes, since only the
    /// largest one matters.
    fn source_mut(&mut self, id: u32) -> &mut Source {
        if let Some(index) = self.0.iter().position(|s| s.is_used() && s.id == id) {
            return &mut self.0[index];
        }
        let lightest = (0..MAX_SOURCES)
            .min_by(|&a, &b| self.0[a].weight().total_cmp(&self.0[b].weight()))
            .unwrap_or(0);
        self.0[lightest] = Source { id, ..Source::default() };
        &mut self.0[lightest]
    }
}
