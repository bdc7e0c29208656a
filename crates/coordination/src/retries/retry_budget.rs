//! Retry budget of a node, as in "The Site Reliability Workbook" and in Finagle: retries are
//! limited to a share of calls.

/// Largest number of unspent retries. They are kept so that a node with few calls can still retry.
const BUDGET_CAP_RETRIES: f64 = 10.0;

/// `RetryBudget` limits the retries of a node to a share of its calls.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            saved: BUDGET_CAP_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Counts a first attempt; `ratio` is the allowed share of retries.
    pub fn record_call(&mut self, ratio: f64) {
        self.saved = (self.saved + ratio).min(BUDGET_CAP_RETRIES);
    }

    /// Spends one retry of the budget; `false` if the budget is used up.
    pub fn spend(&mut self) -> bool {
        let has_retry = self.saved >= 1.0;
        if has_retry {
            self.saved -= 1.0;
        }
        has_retry
    }

    /// Retries that the budget currently allows.
    #[must_use]
    pub const fn saved(&self) -> f64 {
        self.saved
    }
}
