//! Order of the retries that compete for a retry budget.

use lagoonshore_state::units::RequestImportance;

/// Number of retry ranks; higher ranks take precedence.
pub const RANK_COUNT: usize = IMPORTANCE_RANKS * NEED_RANKS;
/// Levels of importance that are told apart.
const IMPORTANCE_RANKS: usize = ACCOUNT_LEVELS * ROUTE_LEVELS;
/// Ranks of accounts that are told apart; all less important ones share the last.
const ACCOUNT_LEVELS: usize = 3;
/// Ranks of routes that are told apart within one rank of accounts; the last is shared as well.
const ROUTE_LEVELS: usize = 4;
/// Ranks within one importance, by the calls that are still to be made.
const NEED_RANKS: usize = CALLS_LEFT_LIMITS.len() + 1;
/// Most calls left of each rank but the last, which has no limit.
const CALLS_LEFT_LIMITS: [u32; 7] = [1, 2, 3, 4, 6, 8, 12];
/// Calls that a parent request is assumed to make if no run of its route was seen.
const CALLS_DEFAULT: u32 = 4;

/// `RetryPriority` ranks a retry against others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPriority {
    /// Importance of the request at the start of the call chain.
    pub importance: RequestImportance,
    /// Calls that the parent request had made before this one; `None` if the request has no parent.
    pub calls_before: Option<u32>,
    /// Calls that the chain still has to make, this one included, as learnt from earlier runs;
    /// `None` if there were none.
    pub calls_left: Option<u32>,
}

impl RetryPriority {
    /// Rank of the retry: first by importance, then by the calls that are left. With the same
    /// number of retries, more chains complete if those with the fewest calls left come first, and
    /// more work is lost if they fail. A request without a parent ranks like a last call.
    #[must_use]
    pub fn rank(self) -> usize {
        let calls_left = self.calls_left.unwrap_or_else(|| self.assumed_calls_left());
        let limits = CALLS_LEFT_LIMITS.iter();
        let need = limits.take_while(|limit| calls_left > **limit).count();
        let account = usize::from(self.importance.account_rank()).min(ACCOUNT_LEVELS - 1);
        let route = usize::from(self.importance.route_rank()).min(ROUTE_LEVELS - 1);
        let level = account * ROUTE_LEVELS + route;
        (IMPORTANCE_RANKS - 1 - level) * NEED_RANKS + NEED_RANKS - 1 - need
    }

    fn assumed_calls_left(self) -> u32 {
        self.calls_before
            .map_or(1, |calls| CALLS_DEFAULT.saturating_sub(calls).max(1))
    }
}
