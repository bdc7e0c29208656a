//! The lifecycle of a node: starting, serving, draining, ended.

use super::drain_state::{DrainCause, DrainState};

use crate::{
    error::{CoordinationError, Result},
    request::outcome::RefusalReason,
};

use lagoonshore_state::data_type;
use std::collections::BTreeSet;

data_type! {
    /// `DrainReport` is the lifecycle state in the state dump.
    pub struct DrainReport {
        /// Lifecycle state.
        pub state: DrainState,
        /// Causes in force; empty while the node serves.
        pub causes: BTreeSet<DrainCause>,
    }
}

/// `DrainControl` tracks the lifecycle of a node, which drains while any cause is in force.
#[derive(Debug, Default)]
pub struct DrainControl {
    state: DrainState,
    causes: BTreeSet<DrainCause>,
}

impl DrainControl {
    /// Starts to serve, or to drain if a cause is already in force.
    ///
    /// # Errors
    /// [`CoordinationError::Lifecycle`] unless the node is starting.
    pub fn start_serving(&mut self) -> Result<()> {
        if self.state != DrainState::Starting {
            return Err(self.transition_error(DrainState::Serving));
        }
        self.state = self.state_for_causes();
        Ok(())
    }

    /// Adds a cause; returns whether the node has started to drain.
    pub fn add_cause(&mut self, cause: DrainCause) -> bool {
        self.causes.insert(cause);
        self.update_state()
    }

    /// Removes a cause; returns whether the node serves again. [`DrainCause::PlannedStop`] is never
    /// removed.
    pub fn remove_cause(&mut self, cause: DrainCause) -> bool {
        if cause == DrainCause::PlannedStop {
            return false;
        }
        self.causes.remove(&cause);
        self.update_state()
    }

    /// Ends the lifecycle.
    ///
    /// # Errors
    /// [`CoordinationError::Lifecycle`] unless a planned stop is in progress.
    pub fn finish(&mut self) -> Result<()> {
        if !self.is_stopping() || self.state != DrainState::Draining {
            return Err(self.transition_error(DrainState::Ended));
        }
        self.state = DrainState::Ended;
        Ok(())
    }

    /// Lifecycle state.
    #[must_use]
    pub const fn state(&self) -> DrainState {
        self.state
    }

    /// Returns whether a planned stop was requested.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.causes.contains(&DrainCause::PlannedStop)
    }

    /// Returns whether the node is draining or has ended.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        matches!(self.state, DrainState::Draining | DrainState::Ended)
    }

    /// Reason to refuse new requests; `None` while the node serves. A node that drains only because
    /// it was paused gives [`RefusalReason::Stale`], since its instance is not leaving.
    #[must_use]
    pub fn refusal(&self) -> Option<RefusalReason> {
        let is_only_paused = self
            .causes
            .iter()
            .all(|cause| *cause == DrainCause::ProcessPaused);
        match self.state {
            DrainState::Serving => None,
            DrainState::Starting => Some(RefusalReason::Starting),
            DrainState::Draining if is_only_paused => Some(RefusalReason::Stale),
            DrainState::Draining | DrainState::Ended => Some(RefusalReason::Draining),
        }
    }

    /// Lifecycle state for the state dump.
    #[must_use]
    pub fn report(&self) -> DrainReport {
        DrainReport {
            state: self.state,
            causes: self.causes.clone(),
        }
    }

    /// Updates the state from the causes; returns whether it changed.
    fn update_state(&mut self) -> bool {
        if matches!(self.state, DrainState::Starting | DrainState::Ended) {
            return false;
        }
        let before = self.state;
        self.state = self.state_for_causes();
        before != self.state
    }

    fn state_for_causes(&self) -> DrainState {
        if self.causes.is_empty() {
            DrainState::Serving
        } else {
            DrainState::Draining
        }
    }

    const fn transition_error(&self, to: DrainState) -> CoordinationError {
        CoordinationError::Lifecycle {
            from: self.state,
            to,
        }
    }
}
