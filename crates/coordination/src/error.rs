//! Errors of the coordination layer.

use crate::lifecycle::drain::DrainState;

use lagoonshore_state::StateError;
use snafu::Snafu;

/// `CoordinationError` says why a decision could not be taken.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum CoordinationError {
    /// The state refused the change.
    #[snafu(display("{source}"), context(false))]
    State {
        /// Cause in the state layer.
        source: StateError,
    },
    /// The life cycle of the node has no such step.
    #[snafu(display("a node that is {from:?} cannot become {to:?}"))]
    LifeCycle {
        /// Stage of the node.
        from: DrainState,
        /// Stage asked for.
        to: DrainState,
    },
}

/// `Result` of the coordination layer.
pub type Result<T, E = CoordinationError> = std::result::Result<T, E>;
