//! Hash of a name that is the same at all nodes.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Hash of the name of a route or of a client account.
pub(crate) fn hash_name(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish()
}
