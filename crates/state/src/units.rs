//! Newtypes for units.

use std::time::Duration;

/// Returns `time` in whole milliseconds, saturating at `u32::MAX`; used in messages and log lines.
#[must_use]
pub fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

/// Returns `time` in whole microseconds, saturating at `u32::MAX`; used in messages.
#[must_use]
pub fn whole_micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}

id_type! {
    /// `RequestImportance` orders requests: 0 is the most important, larger values are less
    /// important.
    #[derive(Default)]
    pub struct RequestImportance(pub u8);

    /// `SlotCount` is a number of concurrent requests at an upstream.
    #[derive(Default)]
    pub struct SlotCount(pub u32);

    /// `TokenCount` is a number of retries that a request may still spend.
    #[derive(Default)]
    pub struct TokenCount(pub u32);
}

impl RequestImportance {
    /// The lowest importance.
    pub const LOWEST: Self = Self(u8::MAX);

    /// Lowest rank that [`Self::of_account`] tells apart.
    const RANK_MAX: u8 = (1 << Self::RANK_BITS) - 1;
    /// Bits of each of the two ranks.
    const RANK_BITS: u32 = 4;

    /// Combines the rank of an account with that of a route: the account goes first, and among its
    /// requests the route orders them. Ranks from 15 on count as 15.
    #[must_use]
    pub fn of_account(account: Self, route: Self) -> Self {
        let (high, low) = (account.0.min(Self::RANK_MAX), route.0.min(Self::RANK_MAX));
        Self((high << Self::RANK_BITS) | low)
    }

    /// Returns the rank of the account in a combined importance; 0 in a fleet without accounts whose
    /// routes have ranks below 16.
    #[must_use]
    pub const fn account_rank(self) -> u8 {
        self.0 >> Self::RANK_BITS
    }

    /// Returns the rank of the route in a combined importance.
    #[must_use]
    pub const fn route_rank(self) -> u8 {
        self.0 & Self::RANK_MAX
    }

    /// Returns `true` if `self` is strictly more important than `other`.
    #[must_use]
    pub const fn outranks(self, other: Self) -> bool {
        self.0 < other.0
    }
}
