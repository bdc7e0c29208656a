//! Counters of a node, shown in its state dump.

data_type! {
    /// `NodeCounters` counts the requests of a node by outcome, since the start of the process.
    #[derive(Default)]
    pub struct NodeCounters {
        /// Requests received by the inbound listener and the peer listener.
        pub offered: u64,
        /// Requests dispatched to the upstream.
        #[serde(rename = "handed_over")]
        pub dispatched: u64,
        /// Complete responses of the upstream.
        pub answered: u64,
        /// Requests refused that certainly did not run.
        pub refused: u64,
        /// Requests whose outcome is unknown.
        pub unknown: u64,
        /// Outbound calls made on behalf of the upstream.
        pub calls: u64,
        /// Outbound calls that were retried.
        pub retries: u64,
        /// Requests refused at admission because a service that they would call refuses such
        /// requests.
        pub refused_early: u64,
        /// Upstream time of dispatched requests that did not lead to a complete response in time,
        /// in microseconds.
        pub wasted_micros: u64,
    }
}
