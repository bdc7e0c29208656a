//! Life cycle of a node: starting, serving, draining, ended.

use crate::{
    error::{CoordinationError, Result},
    request::outcome::RefusalReason,
};

use lagoonshore_state::{data_type, id_type};
use std::collections::BTreeSet;

id_type! {
    /// `DrainState` is the stage that a node has reached.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum DrainState {
        /// The doors are not open yet.
        #[default]
        Starting,
        /// The node takes work.
        Serving,
        /// The node refuses new work and finishes what is in progress.
        Draining,
        /// A planned stop has finished; nothing is in progress.
        Ended,
    }

    /// `DrainCause` says why a node takes no new work.
    #[serde(rename_all = "kebab-case")]
    pub enum DrainCause {
        /// The process was asked to stop; never withdrawn.
        PlannedStop,
        /// The platform's list says that the own instance is leaving.
        PlatformLeaving,
        /// The health endpoint of the upstream answers 503.
        UpstreamLeaving,
        /// The process was paused and has not checked its upstream since.
        ProcessPaused,
    }
}

data_type! {
    /// `DrainReport` shows the life cycle to operators.
    pub struct DrainReport {
        /// Stage.
        pub state: DrainState,
        /// Why no new work is taken.
        pub causes: BTreeSet<DrainCause>,
    }
}

/// `DrainControl` follows the life cycle of a node. A node drains while there is a cause.
#[derive(Debug, Default)]
pub struct DrainControl {
    state: DrainState,
    causes: BTreeSet<DrainCause>,
}

impl DrainControl {
    /// Starts to serve, unless there is a cause to drain already.
    ///
    /// # Errors
    /// [`CoordinationError::LifeCycle`] unless the node is starting.
    pub fn start_serving(&mut self) -> Result<()> {
        if self.state != DrainState::Starting {
            return Err(self.no_step(DrainState::Serving));
        }
        self.state = self.open_state();
        Ok(())
    }

    /// Adds a cause; returns whether the node has just begun to refuse work for it.
    pub fn add_cause(&mut self, cause: DrainCause) -> bool {
        self.causes.insert(cause);
        self.settle()
    }

    /// Withdraws a cause; returns whether the node has just begun to serve again. A planned stop
    /// is never withdrawn.
    pub fn remove_cause(&mut self, cause: DrainCause) -> bool {
        if cause == DrainCause::PlannedStop {
            return false;
        }
        self.causes.remove(&cause);
        self.settle()
    }

    /// Ends the life cycle.
    ///
    /// # Errors
    /// [`CoordinationError::LifeCycle`] unless a planned stop is in progress.
    pub fn finish(&mut self) -> Result<()> {
        if !self.is_stopping() || self.state != DrainState::Draining {
            return Err(self.no_step(DrainState::Ended));
        }
        self.state = DrainState::Ended;
        Ok(())
    }

    /// Stage of the life cycle.
    #[must_use]
    pub const fn state(&self) -> DrainState {
        self.state
    }

    /// Tells whether a planned stop was asked for.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.causes.contains(&DrainCause::PlannedStop)
    }

    /// Tells whether the node is on its way out or waits for its upstream.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        matches!(self.state, DrainState::Draining | DrainState::Ended)
    }

    /// Why new work is refused; `None` while the node serves.
    #[must_use]
    pub fn refusal(&self) -> Option<RefusalReason> {
        let only_paused = self
            .causes
            .iter()
            .all(|cause| *cause == DrainCause::ProcessPaused);
        match self.state {
            DrainState::Serving => None,
            DrainState::Starting => Some(RefusalReason::Starting),
            DrainState::Draining if only_paused => Some(RefusalReason::Stale),
            DrainState::Draining | DrainState::Ended => Some(RefusalReason::Draining),
        }
    }

    /// The life cycle as operators see it.
    #[must_use]
    pub fn report(&self) -> DrainReport {
        DrainReport {
            state: self.state,
            causes: self.causes.clone(),
        }
    }

    /// Follows the causes; returns whether the stage changed.
    fn settle(&mut self) -> bool {
        if matches!(self.state, DrainState::Starting | DrainState::Ended) {
            return false;
        }
        let before = self.state;
        self.state = self.open_state();
        before != self.state
    }

    fn open_state(&self) -> DrainState {
        if self.causes.is_empty() {
            DrainState::Serving
        } else {
            DrainState::Draining
        }
    }

    const fn no_step(&self, to: DrainState) -> CoordinationError {
        CoordinationError::LifeCycle {
            from: self.state,
            to,
        }
    }
}
