//! The bound on hedges: a share of the idempotent calls, with nothing saved up at the start.

/// Hedges allowed for each idempotent call.
const HEDGE_RATIO: f64 = 0.05;
/// Hedges that the budget may save up.
const BUDGET_CAP_HEDGES: f64 = 10.0;

/// `HedgeBudget` keeps the hedges of a node at or below a share of its idempotent calls.
#[derive(Debug, Default)]
pub struct HedgeBudget {
    saved: f64,
}

impl HedgeBudget {
    /// Counts an idempotent call.
    pub fn record_call(&mut self) {
        self.saved = (self.saved + HEDGE_RATIO).min(BUDGET_CAP_HEDGES);
    }

    /// Tells whether the budget allows a hedge.
    #[must_use]
    pub fn has_hedge(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes one hedge out of the budget; `false` if the budget is used up.
    pub fn spend(&mut self) -> bool {
        let has_hedge = self.has_hedge();
        if has_hedge {
            self.saved -= 1.0;
        }
        has_hedge
    }

    /// Hedges that the budget allows now.
    #[must_use]
    pub const fn saved(&self) -> f64 {
        self.saved
    }
}
