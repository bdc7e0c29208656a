//! How much time a request has, compared with the time that it usually takes.

use lagoonshore_state::id_type;
use std::time::Duration;

/// Ratio of the time of a late run to that of a mean run.
const LATE_RUN_FACTOR: f64 = 3.0;
/// Ratio of the time that a request has to that of a mean run, below which the time is short.
const SHORT_TIME_FACTOR: f64 = 4.0;

/// `RequestTime` describes the time that a request has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTime {
    /// Time left until the request's target latency or its deadline, whichever is earlier.
    pub left: Duration,
    /// Whether the request may run only once, so that a run that ends too late is lost.
    pub may_run_once: bool,
    /// Whether a running request waits for it, and holds its own slot meanwhile.
    pub is_nested: bool,
}

id_type! {
    /// `RequestUrgency` says which of several candidates a request goes to.
    #[serde(rename_all = "kebab-case")]
    pub enum RequestUrgency {
        /// It has little time, or may run only once: the earliest expected completion among many.
        Short,
        /// The earliest expected completion of two.
        Usual,
        /// It has time to spare: the slowest instance that still completes it in time, so that the
        /// faster ones stay free for others.
        Spare,
    }
}

impl RequestTime {
    /// Returns the urgency of a request whose mean run takes `work_seconds`.
    #[must_use]
    pub fn urgency(&self, work_seconds: f64) -> RequestUrgency {
        if self.may_run_once || self.left.as_secs_f64() < SHORT_TIME_FACTOR * work_seconds {
            return RequestUrgency::Short;
        }
        if self.is_nested {
            return RequestUrgency::Usual;
        }
        RequestUrgency::Spare
    }

    /// Returns whether a request completes in time although its run is a late one, if a mean run
    /// completes after `completion_seconds`.
    #[must_use]
    pub fn allows(&self, completion_seconds: f64) -> bool {
        LATE_RUN_FACTOR * completion_seconds <= self.left.as_secs_f64()
    }
}
