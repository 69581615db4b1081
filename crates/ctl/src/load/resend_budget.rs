//! The budget of a caller's resends.

use std::sync::atomic::{AtomicI64, Ordering};

/// Initial budget for resends after overload refusals, in hundredths of a resend.
const INITIAL_BUDGET: i64 = 1_000;

/// A budget that limits resends after refusals that signal overload, in hundredths of a resend.
pub(super) struct ResendBudget {
    balance: AtomicI64,
    share: i64,
}

impl ResendBudget {
    /// Creates a budget to which each request adds `share` of a resend.
    pub(super) fn new(share: f64) -> Self {
        ResendBudget { balance: AtomicI64::new(INITIAL_BUDGET), share: (share * 100.0) as i64 }
    }

    /// Adds the share of a new request.
    pub(super) fn deposit(&self) {
        self.balance.fetch_add(self.share, Ordering::Relaxed);
    }

    /// Takes one resend. Returns whether the budget allows it.
    pub(super) fn try_withdraw(&self) -> bool {
        let withdraw = |balance: i64| (balance >= 100).then_some(balance - 100);
        self.balance.fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw).is_ok()
    }
}
