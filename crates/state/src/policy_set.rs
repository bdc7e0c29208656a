//! The policies in force at a node.

use crate::{
    error::{self, Result},
    ids::{ContentHash, PolicyRevision, ServiceName},
    policy::ServicePolicy,
};

use siphasher::sip::SipHasher13;
use std::{collections::BTreeMap, hash::Hasher, rc::Rc};

id_type! {
    /// `PolicySource` says where the record of a policy came from.
    #[serde(rename_all = "kebab-case")]
    pub enum PolicySource {
        /// Read from the platform.
        Platform,
        /// Pulled from another node.
        Peer,
    }
}

/// Hash of the bytes of a record. It has no secret, so that every node finds the same one; it
/// detects different content, and whoever may publish records is trusted not to forge a match.
#[must_use]
pub fn content_hash(bytes: &[u8]) -> ContentHash {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    hasher.finish()
}

/// `PolicyEntry` is a policy in force with the bytes it was read from.
#[derive(Clone, Debug)]
pub struct PolicyEntry {
    /// The policy.
    pub policy: Rc<ServicePolicy>,
    /// Bytes of the record, handed on verbatim to peers.
    pub bytes: Rc<[u8]>,
    /// Hash of the bytes.
    pub content: ContentHash,
    /// Where the record came from.
    pub source: PolicySource,
}

/// `OfferOutcome` says what became of an accepted offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The policy is newer and now in force.
    InForce,
    /// The very same record was in force already.
    Unchanged,
}

/// `PolicySet` holds the highest accepted revision of each policy. A revision only rises.
#[derive(Debug, Default)]
pub struct PolicySet {
    entries: BTreeMap<ServiceName, PolicyEntry>,
}

impl PolicySet {
    /// Puts `policy` in force if it is newer than the one held.
    ///
    /// # Errors
    /// [`crate::StateError::StaleRevision`] for an older revision,
    /// [`crate::StateError::ConflictingRevision`] for the same revision with other bytes.
    pub fn offer(
        &mut self,
        policy: ServicePolicy,
        bytes: &[u8],
        source: PolicySource,
    ) -> Result<OfferOutcome> {
        if let Some(held) = self.entries.get(&policy.service) {
            let revision = held.policy.revision;
            if policy.revision < revision {
                return Err(error::stale(&policy.service, policy.revision, revision));
            }
            if policy.revision == revision {
                return if *held.bytes == *bytes {
                    Ok(OfferOutcome::Unchanged)
                } else {
                    Err(error::conflicting(&policy.service, revision))
                };
            }
        }
        let service = policy.service.clone();
        let entry = PolicyEntry {
            policy: Rc::new(policy),
            bytes: bytes.into(),
            content: content_hash(bytes),
            source,
        };
        self.entries.insert(service, entry);
        Ok(OfferOutcome::InForce)
    }

    /// Policy in force for `service`.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&PolicyEntry> {
        self.entries.get(service)
    }

    /// Revision in force for `service`.
    #[must_use]
    pub fn revision(&self, service: &str) -> Option<PolicyRevision> {
        self.get(service).map(|entry| entry.policy.revision)
    }

    /// All policies in force, by service name.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &PolicyEntry)> {
        self.entries.iter()
    }
}
