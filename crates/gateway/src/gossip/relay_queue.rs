//! The periodic reports of other data centres that wait to be relayed.

use crate::datagram::{ReportDoc, MAX_DATAGRAM, MAX_REPORT_HEAD};

/// The largest number of reports of other data centres that wait to be relayed. Further ones are dropped, as the next
/// report of the same node replaces most of what they say.
const MAX_QUEUED_RELAYS: usize = 256;

/// Reports that are relayed together.
#[derive(Debug, Default)]
pub(super) struct RelayQueue {
    reports: Vec<ReportDoc>,
}

impl RelayQueue {
    /// Returns whether no report waits.
    pub(super) fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Adds a report, or drops and counts it if the queue is full.
    pub(super) fn push(&mut self, report: ReportDoc) {
        if self.reports.len() < MAX_QUEUED_RELAYS {
            self.reports.push(report);
        } else {
            metrics::counter!("redwing_dropped_messages_total", "reason" => "relay_queue")
                .increment(1);
        }
    }

    /// Removes all reports, and returns those of each datagram: as many as fit.
    pub(super) fn take_batches(&mut self) -> Vec<Vec<ReportDoc>> {
        let mut batches = Vec::new();
        let mut batch = Vec::new();
        let mut size = MAX_REPORT_HEAD;
        for report in std::mem::take(&mut self.reports) {
            if size + report.max_size() > MAX_DATAGRAM && !batch.is_empty() {
                batches.push(std::mem::take(&mut batch));
                size = MAX_REPORT_HEAD;
            }
            size += report.max_size();
            batch.push(report);
        }
        batches.push(batch);
        batches
    }
}
