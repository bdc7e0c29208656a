//! Choice of the instance that runs a request again after its quarantine.
//!
//! All nodes choose the same one from the same list, so that a request that still crashes upstreams
//! crashes one of them and not one beside each node (rendezvous hashing; Thaler and Ravishankar,
//! "Using Name-Based Mappings to Increase Hit Rates", 1998).

use super::fingerprint::{self, RequestFingerprint};

/// Chooses among the instances that `candidates` names; `None` if there are none.
pub fn choose<Candidate>(
    fingerprint: RequestFingerprint,
    candidates: impl Iterator<Item = Candidate>,
    name_of: impl Fn(&Candidate) -> &str,
) -> Option<Candidate> {
    candidates.max_by_key(|candidate| fingerprint::of_pair(fingerprint, name_of(candidate)))
}
