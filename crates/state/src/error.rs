//! Errors of the state layer.

use crate::ids::{PolicyRevision, ServiceName};

use snafu::Snafu;

/// `StateError` is returned when a change to the state is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StateError {
    /// The offered revision is lower than the one in force.
    #[snafu(display("{service}: revision {offered} is older than revision {held} in force"))]
    StaleRevision {
        /// Service that the policy applies to.
        service: ServiceName,
        /// Offered revision.
        offered: PolicyRevision,
        /// Revision in force.
        held: PolicyRevision,
    },
    /// The offered revision is already in force with different bytes.
    #[snafu(display("{service}: revision {revision} is in force with different content"))]
    ConflictingRevision {
        /// Service that the policy applies to.
        service: ServiceName,
        /// Revision that exists with two contents.
        revision: PolicyRevision,
    },
}

/// `Result` with [`StateError`] as the default error type.
pub type Result<T, E = StateError> = std::result::Result<T, E>;

pub(crate) fn stale_revision(service: &ServiceName, offered: u64, held: u64) -> StateError {
    StateError::StaleRevision {
        service: service.clone(),
        offered,
        held,
    }
}

pub(crate) fn conflicting_revision(service: &ServiceName, revision: u64) -> StateError {
    StateError::ConflictingRevision {
        service: service.clone(),
        revision,
    }
}
