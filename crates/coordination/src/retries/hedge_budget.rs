//! Budget of hedged requests: a share of the idempotent calls, empty at the start.

/// Hedges earned by each idempotent call.
const HEDGE_RATIO: f64 = 0.05;
/// Largest number of unspent hedges.
const BUDGET_CAP_HEDGES: f64 = 10.0;

/// `HedgeBudget` limits the hedges of a node to a share of its idempotent calls.
#[derive(Debug, Default)]
pub struct HedgeBudget {
    saved: f64,
}

impl HedgeBudget {
    /// Counts an idempotent call.
    pub fn record_call(&mut self) {
        self.saved = (self.saved + HEDGE_RATIO).min(BUDGET_CAP_HEDGES);
    }

    /// Returns whether the budget allows a hedge.
    #[must_use]
    pub fn has_hedge(&self) -> bool {
        self.saved >= 1.0
    }

    /// Spends one hedge of the budget; `false` if the budget is used up.
    pub fn spend(&mut self) -> bool {
        let has_hedge = self.has_hedge();
        if has_hedge {
            self.saved -= 1.0;
        }
        has_hedge
    }

    /// Hedges that the budget currently allows.
    #[must_use]
    pub const fn saved(&self) -> f64 {
        self.saved
    }
}
