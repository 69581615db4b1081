//! The charge of one request to the quota of its workspace.

use crate::shared::Shared;
use std::sync::{
    atomic::{AtomicBool, Ordering},
    Arc,
};

/// A charge that is taken back when it is dropped, unless the request may have reached a server by then. So it also ends
/// with a request whose body cannot be read, or whose caller leaves.
#[derive(Debug)]
pub struct QuotaCharge {
    shared: Arc<Shared>,
    tag: u64,
    has_arrived: AtomicBool,
}

impl QuotaCharge {
    pub(crate) fn new(shared: Arc<Shared>, tag: u64) -> Self {
        QuotaCharge { shared, tag, has_arrived: AtomicBool::new(false) }
    }

    /// Records whether any send of the request reached a server, or may still do so.
    pub fn set_arrived(&self, has_arrived: bool) {
        self.has_arrived.store(has_arrived, Ordering::Relaxed);
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.has_arrived.load(Ordering::Relaxed) {
            self.shared.quotas().refund(self.shared.now(), self.tag);
            metrics::counter!("redwing_quota_requests_total", "result" => "returned").increment(1);
        }
    }
}
