//! The last refused offer of a policy record.

use lagoonshore_state::{id_type, ids::PolicyRevision, policy_set::PolicySource};

id_type! {
    /// `RefusalKind` says why an offer was refused.
    #[serde(rename_all = "kebab-case")]
    pub enum RefusalKind {
        /// The record cannot be parsed or has values out of range.
        Malformed,
        /// The record has a schema that this program does not know.
        UnknownSchema,
        /// The revision is older than the one in force.
        Older,
        /// The revision is in force with different content.
        Conflict,
    }
}

/// `RefusedRecord` describes the last refused offer of a policy record.
#[derive(Clone, Debug, serde::Serialize)]
pub struct RefusedRecord {
    /// Why the offer was refused.
    pub verdict: RefusalKind,
    /// Error text, with line and column where known.
    pub message: String,
    /// Whether the offer came from the platform or from a peer.
    pub source: PolicySource,
    /// Revision that stays in force, if any.
    pub in_force: Option<PolicyRevision>,
    /// Number of offers in a row with the same error.
    pub times: u64,
}
