//! Units as named types.

use std::time::Duration;

/// Whole milliseconds of `time`, for messages and log lines; bounded by what the type holds.
#[must_use]
pub fn whole_millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

id_type! {
    /// `RequestImportance` orders requests: 0 is the most important, larger is less.
    #[derive(Default)]
    pub struct RequestImportance(pub u8);

    /// `SlotCount` counts requests that an upstream serves at the same time.
    #[derive(Default)]
    pub struct SlotCount(pub u32);

    /// `TokenCount` counts retries that a request may still spend.
    #[derive(Default)]
    pub struct TokenCount(pub u32);
}

impl RequestImportance {
    /// The least important level.
    pub const LOWEST: Self = Self(u8::MAX);

    /// Tells whether `self` is strictly more important than `other`.
    #[must_use]
    pub const fn outranks(self, other: Self) -> bool {
        self.0 < other.0
    }
}
