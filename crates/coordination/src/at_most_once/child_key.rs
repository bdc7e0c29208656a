//! Idempotency keys for calls that an upstream makes without one.

use compact_str::{CompactString, format_compact};
use siphasher::sip128::{Hasher128, SipHasher24};
use std::hash::Hasher;

/// Prefix of derived keys.
const CHILD_PREFIX: &str = "lc1";

/// Derives the key of the `ordinal`-th call made by the request with the key `parent`. The key is
/// deterministic, so that a retried request makes its calls with the same keys.
#[must_use]
pub fn derive(parent: &str, service: &str, ordinal: u32) -> CompactString {
    let mut hasher = SipHasher24::new();
    for part in [parent, service] {
        hasher.write_usize(part.len());
        hasher.write(part.as_bytes());
    }
    hasher.write_u32(ordinal);
    let digest = hasher.finish128().as_u128();
    format_compact!("{CHILD_PREFIX}:{digest:032x}")
}
