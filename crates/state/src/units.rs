//! Units as named types.

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
    pub const LEAST: Self = Self(u8::MAX);

    /// Tells whether `self` is strictly more important than `other`.
    #[must_use]
    pub const fn outranks(self, other: Self) -> bool {
        self.0 < other.0
    }
}
