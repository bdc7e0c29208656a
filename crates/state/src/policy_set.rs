//! The policies in force at a node.

use crate::{
    error::{self, Result},
    ids::{ContentHash, PolicyRevision, ServiceName},
    policy::ServicePolicy,
};

use siphasher::sip::SipHasher13;
use std::{collections::BTreeMap, hash::Hasher, rc::Rc};

id_type! {
    /// `PolicySource` is where the record of a policy came from.
    #[serde(rename_all = "kebab-case")]
    pub enum PolicySource {
        /// Read from the platform.
        Platform,
        /// Pulled from another node.
        Peer,
    }
}

/// Returns the hash of a record's bytes. The hash is not keyed, so that every node computes the
/// same value. It only detects differing content: whoever may publish records is trusted not to
/// forge a collision.
#[must_use]
pub fn content_hash(bytes: &[u8]) -> ContentHash {
    let mut hasher = SipHasher13::new();
    hasher.write(bytes);
    hasher.finish()
}

/// `PolicyEntry` is a policy in force together with the record that it was parsed from.
#[derive(Clone, Debug)]
pub struct PolicyEntry {
    /// The parsed policy.
    pub policy: Rc<ServicePolicy>,
    /// Bytes of the record, passed to peers unchanged.
    pub bytes: Rc<[u8]>,
    /// Hash of `bytes`; see [`content_hash`].
    pub content: ContentHash,
    /// Where the record came from.
    pub source: PolicySource,
}

/// `OfferOutcome` is the result of an accepted offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The offered policy was newer and is now in force.
    InForce,
    /// The same record was already in force.
    Unchanged,
}

/// `PolicySet` holds the highest accepted revision of each policy; revisions never go back.
#[derive(Debug, Default)]
pub struct PolicySet {
    entries: BTreeMap<ServiceName, PolicyEntry>,
}

impl PolicySet {
    /// Puts `policy` in force if its revision is higher than the one in force.
    ///
    /// # Errors
    /// Returns [`crate::StateError::StaleRevision`] for a lower revision, and
    /// [`crate::StateError::ConflictingRevision`] for the same revision with different bytes.
    pub fn offer(
        &mut self,
        policy: ServicePolicy,
        bytes: &[u8],
        source: PolicySource,
    ) -> Result<OfferOutcome> {
        if let Some(held) = self.entries.get(&policy.service) {
            let revision = held.policy.revision;
            if policy.revision < revision {
                return Err(error::stale_revision(
                    &policy.service,
                    policy.revision,
                    revision,
                ));
            }
            if policy.revision == revision {
                return if *held.bytes == *bytes {
                    Ok(OfferOutcome::Unchanged)
                } else {
                    Err(error::conflicting_revision(&policy.service, revision))
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

    /// Returns the policy in force for `service`.
    #[must_use]
    pub fn get(&self, service: &str) -> Option<&PolicyEntry> {
        self.entries.get(service)
    }

    /// Returns the revision in force for `service`.
    #[must_use]
    pub fn revision(&self, service: &str) -> Option<PolicyRevision> {
        self.get(service).map(|entry| entry.policy.revision)
    }

    /// Returns all policies in force, ordered by service name.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &PolicyEntry)> {
        self.entries.iter()
    }
}
