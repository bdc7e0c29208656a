//! Admission levels: which requests a service admits while it is overloaded.
//!
//! A level combines an importance with a share of the callers, as in "Overload Control for Scaling
//! `WeChat` Microservices" (Zhou et al., `SoCC` 2018). All nodes hash callers in the same way, so
//! that a request which passes the first node also passes the nodes behind it.

use crate::{ids::CallerHash, units::RequestImportance};

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Number of parts that the callers of one importance are divided into.
pub const CALLER_PARTS: u16 = 1024;
/// Importance value from which a relaxed level becomes [`AdmissionLevel::ADMIT_ALL`].
const ADMIT_ALL_FROM: RequestImportance = RequestImportance(8);
/// Keys of the caller hash; they must be the same at all nodes.
const CALLER_KEYS: (u64, u64) = (0x6c61_676f_6f6e_7368, 0x6f72_6563_616c_6c72);

data_type! {
    /// `AdmissionLevel` admits every request that is more important than `importance`, and at
    /// `importance` those whose callers fall into the first `parts` of [`CALLER_PARTS`] parts.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub struct AdmissionLevel {
        /// Lowest importance that is admitted.
        pub importance: RequestImportance,
        /// Parts of the callers at that importance that are admitted, from 0 to [`CALLER_PARTS`].
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

    /// Returns `true` if a request of `importance` from `caller` is admitted.
    #[must_use]
    pub fn admits(self, importance: RequestImportance, caller: CallerHash) -> bool {
        let part = caller % u64::from(CALLER_PARTS);
        importance.outranks(self.importance)
            || (importance == self.importance && part < u64::from(self.parts))
    }

    /// Returns the stricter of two levels.
    #[must_use]
    pub fn stricter_of(self, other: Self) -> Self {
        self.min(other)
    }

    /// Returns the level that admits `parts` more parts of the callers, continuing at the next
    /// importance once all parts of one are admitted.
    #[must_use]
    pub fn relaxed(self, parts: u32) -> Self {
        let per_importance = u32::from(CALLER_PARTS);
        let total = u32::from(self.importance.0) * per_importance + u32::from(self.parts) + parts;
        // The last part of one importance is followed by the first part of the next.
        let importance = total.saturating_sub(1) / per_importance;
        if importance >= u32::from(ADMIT_ALL_FROM.0) {
            return Self::ADMIT_ALL;
        }
        Self {
            importance: RequestImportance(u8::try_from(importance).unwrap_or(u8::MAX)),
            parts: u16::try_from(total - importance * per_importance).unwrap_or(CALLER_PARTS),
        }
    }
}

/// Returns the hash of an opaque caller id, the same at all nodes.
#[must_use]
pub fn caller_hash(caller: &str) -> CallerHash {
    let mut hasher = SipHasher13::new_with_keys(CALLER_KEYS.0, CALLER_KEYS.1);
    hasher.write(caller.as_bytes());
    hasher.finish()
}
