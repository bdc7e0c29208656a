//! The ratio budget of a node, which follows the retry budget of "The Site Reliability Workbook"
//! and of Finagle: retries are a bounded share of calls.

/// Retries that a budget may save up, so that a quiet node can still retry.
const BUDGET_CAP_RETRIES: f64 = 10.0;

/// `RetryBudget` keeps the retries of a node below a share of its calls.
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
    /// Counts a first try; `ratio` is the allowed share of retries.
    pub fn record_call(&mut self, ratio: f64) {
        self.saved = (self.saved + ratio).min(BUDGET_CAP_RETRIES);
    }

    /// Takes one retry out of the budget; `false` if the budget is used up.
    pub fn spend(&mut self) -> bool {
        let has_retry = self.saved >= 1.0;
        if has_retry {
            self.saved -= 1.0;
        }
        has_retry
    }

    /// Retries that the budget allows now.
    #[must_use]
    pub const fn saved(&self) -> f64 {
        self.saved
    }
}
