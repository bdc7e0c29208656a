//! Counters that the state dump shows.

data_type! {
    /// `NodeCounters` counts what became of the requests that a node met since it started.
    #[derive(Default)]
    pub struct NodeCounters {
        /// Requests offered to the inbound door and the peer door.
        pub offered: u64,
        /// Requests handed to the upstream.
        pub handed_over: u64,
        /// Whole answers.
        pub answered: u64,
        /// Requests refused as not run.
        pub refused: u64,
        /// Requests whose outcome is unknown.
        pub unknown: u64,
        /// Calls made for the upstream.
        pub calls: u64,
        /// Calls that were sent again.
        pub retries: u64,
        /// Requests refused at once because a service behind this one refuses such requests.
        pub refused_early: u64,
        /// Time of hand-overs that brought no whole answer in time, in microseconds.
        pub wasted_micros: u64,
    }
}
