//! Errors of the state layer.

use crate::ids::{PolicyRevision, ServiceName};

use snafu::Snafu;

/// `StateError` says why a change to the state was refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StateError {
    /// The offered revision is below the one in force.
    #[snafu(display("{service}: revision {offered} is older than revision {held} in force"))]
    StaleRevision {
        /// Service whose policy was offered.
        service: ServiceName,
        /// Offered revision.
        offered: PolicyRevision,
        /// Revision in force.
        held: PolicyRevision,
    },
    /// The offered revision is in force already, with other bytes.
    #[snafu(display("{service}: revision {revision} is in force with different content"))]
    ConflictingRevision {
        /// Service whose policy was offered.
        service: ServiceName,
        /// Revision that was offered twice.
        revision: PolicyRevision,
    },
}

/// `Result` of the state layer.
pub type Result<T, E = StateError> = std::result::Result<T, E>;

pub(crate) fn stale(service: &ServiceName, offered: u64, held: u64) -> StateError {
    StateError::StaleRevision {
        service: service.clone(),
        offered,
        held,
    }
}

pub(crate) fn conflicting(service: &ServiceName, revision: u64) -> StateError {
    StateError::ConflictingRevision {
        service: service.clone(),
        revision,
    }
}
