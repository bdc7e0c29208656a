//! Errors of the coordination layer.

use crate::lifecycle::drain_state::DrainState;

use lagoonshore_state::StateError;
use snafu::Snafu;

/// `CoordinationError` is returned when a decision cannot be made.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CoordinationError {
    /// The state layer refused the change.
    #[snafu(display("{source}"), context(false))]
    State {
        /// Error of the state layer.
        source: StateError,
    },
    /// The requested transition does not exist in the lifecycle of the node.
    #[snafu(display("a node that is {from:?} cannot become {to:?}"))]
    Lifecycle {
        /// Current state of the node.
        from: DrainState,
        /// Requested state.
        to: DrainState,
    },
}

/// `Result` with [`CoordinationError`] as the default error type.
pub type Result<T, E = CoordinationError> = std::result::Result<T, E>;
