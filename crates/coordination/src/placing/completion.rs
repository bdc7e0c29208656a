//! Expected completion of a request at an instance: the wait for a slot, and the run.

/// Utilization from which a request is expected to take longer: the report is old when the request
/// arrives, other senders saw it too, and some instances slow down before they are full.
const CROWDED_UTILIZATION: f64 = 0.5;
/// Ratio of the expected time at an instance whose slots are all in use to that at an idle one.
const FULL_SLOWDOWN: f64 = 2.0;
/// Smallest share of its slots by which an instance counts as free, so that it is never without a
/// chance.
const FREE_SHARE_MIN: f64 = 0.01;

/// `InstanceLoad` is the expected load of an instance when the request arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct InstanceLoad {
    /// Requests at the instance, running and waiting.
    pub requests: f64,
    /// Requests that it runs at the same time.
    pub limit: f64,
    /// Mean time for which a request holds a slot, in seconds.
    pub hold_seconds: f64,
}

impl InstanceLoad {
    /// Returns the requests at the instance as a share of its limit; above 1 if some wait.
    #[must_use]
    pub fn utilization(&self) -> f64 {
        self.requests / self.limit
    }

    /// Returns the expected wait for a slot, in seconds.
    #[must_use]
    pub fn wait_seconds(&self) -> f64 {
        let ahead = (self.requests + 1.0 - self.limit).max(0.0);
        ahead * self.hold_seconds / self.limit
    }

    /// Returns the expected time until the response, in seconds, if a run on an idle instance takes
    /// `work_seconds`.
    #[must_use]
    pub fn completion_seconds(&self, work_seconds: f64) -> f64 {
        let crowd = (self.utilization() - CROWDED_UTILIZATION) / (1.0 - CROWDED_UTILIZATION);
        let slowdown = 1.0 + (FULL_SLOWDOWN - 1.0) * crowd.clamp(0.0, 1.0).powi(2);
        self.wait_seconds() + work_seconds * slowdown
    }

    /// Returns the requests per second that the instance can still take before it is in use to
    /// `utilization_max`.
    #[must_use]
    pub fn free_capacity(&self, work_seconds: f64, utilization_max: f64) -> f64 {
        let free = (utilization_max - self.utilization()).max(FREE_SHARE_MIN);
        self.limit * free / work_seconds
    }
}
