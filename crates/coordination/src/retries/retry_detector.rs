//! Detection of retries that an upstream makes on its own: the same call, made twice for one
//! request.

use siphasher::sip::SipHasher13;
use std::{
    collections::BTreeSet,
    hash::{Hash, Hasher},
};

/// Largest number of calls that are tracked for one request; further ones count as retries.
const CALLS_MAX: usize = 4096;

/// `CallDigest` identifies a call by service, method, path and body.
pub type CallDigest = u64;

/// `RetryDetector` holds the calls that an upstream made for one request.
#[derive(Clone, Debug, Default)]
pub struct RetryDetector {
    digests: BTreeSet<CallDigest>,
}

impl RetryDetector {
    /// Records a call; `true` if it retries one that ended or is in progress. When the table is
    /// full, a new call counts as a retry, so that the limit on retries still holds.
    pub fn record_call(&mut self, digest: CallDigest) -> bool {
        if self.digests.len() >= CALLS_MAX {
            return true;
        }
        !self.digests.insert(digest)
    }
}

/// Computes the digest of a call.
#[must_use]
pub fn digest(service: &str, method: &str, path: &str, body: &[u8]) -> CallDigest {
    let mut hasher = SipHasher13::new();
    (service, method, path, body).hash(&mut hasher);
    hasher.finish()
}
