//! Whether a node takes new work.

use lagoonshore_state::id_type;

id_type! {
    /// `DrainState` is the stage of a planned stop.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum DrainState {
        /// The node takes work.
        #[default]
        Serving,
        /// The node refuses new work and finishes what is in progress.
        Draining,
    }
}

/// `DrainControl` follows a planned stop.
#[derive(Debug, Default)]
pub struct DrainControl {
    state: DrainState,
}

impl DrainControl {
    /// Starts the planned stop; a drain is never taken back.
    pub const fn begin(&mut self) {
        self.state = DrainState::Draining;
    }

    /// Stage of the stop.
    #[must_use]
    pub const fn state(&self) -> DrainState {
        self.state
    }

    /// Tells whether new work is refused.
    #[must_use]
    pub const fn is_draining(&self) -> bool {
        matches!(self.state, DrainState::Draining)
    }
}
