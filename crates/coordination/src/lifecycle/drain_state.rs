//! Lifecycle states of a node, and the causes for which it drains.

use lagoonshore_state::id_type;

id_type! {
    /// `DrainState` is the lifecycle state of a node.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum DrainState {
        /// The listeners are not open yet.
        #[default]
        Starting,
        /// The node accepts requests.
        Serving,
        /// The node refuses new requests and finishes those in progress.
        Draining,
        /// A planned stop has finished; no request is in progress.
        Ended,
    }

    /// `DrainCause` says why a node accepts no new requests.
    #[serde(rename_all = "kebab-case")]
    pub enum DrainCause {
        /// The process was asked to stop; this cause is never removed.
        PlannedStop,
        /// The platform lists the node's own instance as leaving.
        PlatformLeaving,
        /// The health endpoint of the upstream returns 503.
        UpstreamLeaving,
        /// The process was paused and has not checked its upstream since.
        ProcessPaused,
    }
}
