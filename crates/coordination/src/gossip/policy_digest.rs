//! What a node tells others about the policies and instance lists that it holds, in the manner
//! of anti-entropy (Demers et al., "Epidemic Algorithms for Replicated Database Maintenance",
//! 1987): versions are compared, and whoever is behind pulls.

use lagoonshore_state::{
    data_type,
    ids::{ContentHash, PolicyRevision, ServiceName},
    policy_set::PolicySet,
};

/// Entries of one kind that a digest may have.
pub const DIGEST_ENTRIES_MAX: usize = 64;

data_type! {
    /// `RecordVersion` names one revision of a policy record.
    #[derive(Eq)]
    pub struct RecordVersion {
        /// Service that the record is for.
        pub service: ServiceName,
        /// Revision.
        pub revision: PolicyRevision,
        /// Hash of the bytes.
        pub content: ContentHash,
    }

    /// `ListVersion` names one state of the platform's instance list.
    #[derive(Eq)]
    pub struct ListVersion {
        /// Service that the list is for.
        pub service: ServiceName,
        /// The platform's index of the list.
        pub index: u64,
    }

    /// `PolicyDigest` lists the versions that a node holds.
    #[derive(Default, Eq)]
    pub struct PolicyDigest {
        /// Policy records in force.
        pub records: Vec<RecordVersion>,
        /// Instance lists.
        pub lists: Vec<ListVersion>,
    }
}

impl PolicyDigest {
    /// Digest of a node that holds `policies` and `lists`.
    #[must_use]
    pub fn new(policies: &PolicySet, lists: Vec<ListVersion>) -> Self {
        let version = |(service, entry): (&ServiceName, &_)| RecordVersion::new(service, entry);
        let records = policies.iter().take(DIGEST_ENTRIES_MAX).map(version);
        Self {
            records: records.collect(),
            lists,
        }
    }

    /// Tells whether the digest has no more entries than a node accepts.
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
