//! Admission levels: which requests a service takes while it is overloaded.
//!
//! The level is the compound of importance and a share of callers of "Overload Control for Scaling
//! `WeChat` Microservices" (Zhou et al., `SoCC` 2018). The same callers pass at every node, so that
//! a request which passes the first node passes those behind it too.

use crate::{ids::CallerHash, units::RequestImportance};

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Callers of one importance are divided into this many parts.
pub const CALLER_PARTS: u16 = 1024;
/// A level at this importance or above is open to every request once it is relaxed.
const OPEN_FROM: RequestImportance = RequestImportance(8);
/// Keys of the caller hash, the same at all nodes.
const CALLER_KEYS: (u64, u64) = (0x6c61_676f_6f6e_7368, 0x6f72_6563_616c_6c72);

data_type! {
    /// `AdmissionLevel` admits every request above `importance`, and at `importance` those of the
    /// first `parts` of [`CALLER_PARTS`] parts of the callers.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct AdmissionLevel {
        /// Least importance that is admitted.
        pub importance: RequestImportance,
        /// Parts of the callers at that importance that are admitted.
        pub parts: u16,
    }
}

impl Default for AdmissionLevel {
    fn default() -> Self {
        Self::ADMIT_ALL
    }
}

impl AdmissionLevel {
    /// The level that admits every request.
    pub const ADMIT_ALL: Self = Self {
        importance: RequestImportance::LOWEST,
        parts: CALLER_PARTS,
    };

    /// Tells whether a request passes.
    #[must_use]
    pub fn admits(self, importance: RequestImportance, caller: CallerHash) -> bool {
        let part = caller % u64::from(CALLER_PARTS);
        importance.outranks(self.importance)
            || (importance == self.importance && part < u64::from(self.parts))
    }

    /// The stricter of two levels.
    #[must_use]
    pub fn stricter_of(self, other: Self) -> Self {
        self.min(other)
    }

    /// The level with `parts` more parts of callers, across importances.
    #[must_use]
    pub fn relaxed(self, parts: u32) -> Self {
        let whole = u32::from(CALLER_PARTS);
        let total = u32::from(self.importance.0) * whole + u32::from(self.parts) + parts;
        // The last part of one importance borders on the first of the next.
        let importance = total.saturating_sub(1) / whole;
        if importance >= u32::from(OPEN_FROM.0) {
            return Self::ADMIT_ALL;
        }
        Self {
            importance: RequestImportance(u8::try_from(importance).unwrap_or(u8::MAX)),
            parts: u16::try_from(total - importance * whole).unwrap_or(CALLER_PARTS),
        }
    }
}

/// Hash of an opaque caller id, the same at all nodes.
#[must_use]
pub fn caller_hash(caller: &str) -> CallerHash {
    let mut hasher = SipHasher13::new_with_keys(CALLER_KEYS.0, CALLER_KEYS.1);
    hasher.write(caller.as_bytes());
    hasher.finish()
}
