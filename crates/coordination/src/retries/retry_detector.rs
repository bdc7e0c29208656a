//! Recognises the repeats that an upstream makes itself: the same call, made twice for the same
//! request.

use siphasher::sip::SipHasher13;
use std::{
    collections::BTreeSet,
    hash::{Hash, Hasher},
};

/// Calls that are remembered for one request; further ones count as repeats.
const CALLS_MAX: usize = 4096;

/// `CallDigest` identifies a call by service, method, path and body.
pub type CallDigest = u64;

/// `RetryDetector` holds the calls that an upstream made for one request.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    digests: BTreeSet<CallDigest>,
}

impl RetryDetector {
    /// Adds a call; `true` if it repeats one that ended or is in progress. Where no more calls
    /// can be remembered a new one counts as a repeat, so that the bound on repeats holds.
    pub fn record_call(&mut self, digest: CallDigest) -> bool {
        if self.digests.len() >= CALLS_MAX {
            return true;
        }
        !self.digests.insert(digest)
    }
}

/// Digest of a call.
#[must_use]
pub fn digest(service: &str, method: &str, path: &str, body: &[u8]) -> CallDigest {
    let mut hasher = SipHasher13::new();
    (service, method, path, body).hash(&mut hasher);
    hasher.finish()
}
