//! Digests of the policy records and instance lists that a node holds, for anti-entropy (Demers et
//! al., "Epidemic Algorithms for Replicated Database Maintenance", 1987): nodes compare versions,
//! and the one that is behind pulls.

use lagoonshore_state::{
    data_type,
    ids::{ContentHash, PolicyRevision, ServiceName},
    policy_set::PolicySet,
};

/// Upper bound of the records, and of the lists, in one digest.
pub const DIGEST_ENTRIES_MAX: usize = 64;

data_type! {
    /// `RecordVersion` identifies one revision of a policy record.
    #[derive(Eq)]
    pub struct RecordVersion {
        /// Service that the record applies to.
        pub service: ServiceName,
        /// Revision of the record.
        pub revision: PolicyRevision,
        /// Hash of the record's bytes.
        pub content: ContentHash,
    }

    /// `ListVersion` identifies one version of the platform's instance list of a service.
    #[derive(Eq)]
    pub struct ListVersion {
        /// Service whose instances are listed.
        pub service: ServiceName,
        /// Index that the platform assigned to the list.
        pub index: u64,
    }

    /// `PolicyDigest` lists the versions of the records and lists that a node holds.
    #[derive(Default, Eq)]
    pub struct PolicyDigest {
        /// Versions of the policy records in force.
        pub records: Vec<RecordVersion>,
        /// Versions of the instance lists.
        pub lists: Vec<ListVersion>,
    }
}

impl PolicyDigest {
    /// Creates the digest of a node that holds `policies` and `lists`.
    #[must_use]
    pub fn new(policies: &PolicySet, lists: Vec<ListVersion>) -> Self {
        let version = |(service, entry): (&ServiceName, &_)| RecordVersion::new(service, entry);
        let records = policies.iter().take(DIGEST_ENTRIES_MAX).map(version);
        Self {
            records: records.collect(),
            lists,
        }
    }

    /// Returns `true` if the digest has at most [`DIGEST_ENTRIES_MAX`] records and lists.
    #[must_use]
    pub const fn is_within_bounds(&self) -> bool {
        self.records.len() <= DIGEST_ENTRIES_MAX && self.lists.len() <= DIGEST_ENTRIES_MAX
    }
}

impl RecordVersion {
    fn new(service: &ServiceName, entry: &lagoonshore_state::policy_set::PolicyEntry) -> Self {
        Self {
            service: service.clone(),
            revision: entry.policy.revision,
            content: entry.content,
        }
    }
}
