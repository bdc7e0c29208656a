//! The health of the local upstream.
//!
//! The health endpoint may lag or be wrong, so only several consecutive probes change the state,
//! and the results of the node's own dispatches take precedence over probes.

use lagoonshore_state::id_type;
use std::time::Duration;
use tokio::time::Instant;

/// Consecutive 503 responses that start a drain, and consecutive good ones that end it.
const DRAIN_PROBES: u32 = 2;
/// Consecutive refused probes after which the upstream counts as down.
const DOWN_PROBES: u32 = 3;
/// Time for which the result of a dispatch takes precedence over probes.
const DISPATCH_PRECEDENCE: Duration = Duration::from_secs(1);

id_type! {
    /// `ProbeResult` is the result of one probe of the health endpoint.
    #[serde(rename_all = "kebab-case")]
    pub enum ProbeResult {
        /// The upstream reported that it accepts requests.
        Good,
        /// The upstream responded with 503: it is draining.
        Draining,
        /// The connection was refused.
        Refused,
        /// The probe is inconclusive: no response in time, or an error status.
        Unclear,
    }

    /// `DispatchResult` is the result of dispatching a request to the upstream.
    #[serde(rename_all = "kebab-case")]
    pub enum DispatchResult {
        /// The upstream sent a complete response.
        Answered,
        /// The connection was refused.
        Refused,
    }

    /// `UpstreamState` is the health of the upstream as the node knows it.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum UpstreamState {
        /// No probe or dispatch has been conclusive yet.
        #[default]
        Unknown,
        /// The upstream accepts requests.
        Up,
        /// The upstream reports that it is draining.
        Draining,
        /// The upstream accepts no connections.
        Down,
    }

    /// `HealthChange` is a state change that other components act on.
    #[serde(rename_all = "kebab-case")]
    pub enum HealthChange {
        /// The upstream started to drain.
        DrainBegan,
        /// The upstream accepts requests again after a drain.
        DrainEnded,
        /// The upstream stopped accepting connections.
        WentDown,
        /// The upstream is up after it was down: its caches are cold.
        ColdStart,
    }
}

/// `HealthControl` tracks the health of one upstream.
#[derive(Debug, Default)]
pub struct HealthControl {
    state: UpstreamState,
    last_probe: Option<ProbeResult>,
    streak: u32,
    last_dispatch: Option<(Instant, DispatchResult)>,
}

impl HealthControl {
    /// Current health of the upstream.
    #[must_use]
    pub const fn state(&self) -> UpstreamState {
        self.state
    }

    /// Records the result of a probe; returns the change that it caused, if any.
    pub fn record_probe(&mut self, now: Instant, result: ProbeResult) -> Option<HealthChange> {
        self.streak = if self.last_probe == Some(result) {
            self.streak + 1
        } else {
            1
        };
        self.last_probe = Some(result);
        match result {
            ProbeResult::Good => self.record_good_probe(now),
            ProbeResult::Draining if self.streak >= DRAIN_PROBES => {
                self.change_state(UpstreamState::Draining)
            }
            ProbeResult::Refused if self.streak >= DOWN_PROBES => {
                let has_responded = self.has_recent_dispatch(now, DispatchResult::Answered);
                if has_responded {
                    None
                } else {
                    self.change_state(UpstreamState::Down)
                }
            }
            _ => None,
        }
    }

    /// Records the result of a dispatch; returns the change that it caused, if any.
    pub fn record_dispatch(
        &mut self,
        now: Instant,
        result: DispatchResult,
    ) -> Option<HealthChange> {
        self.last_dispatch = Some((now, result));
        match (result, self.state) {
            (DispatchResult::Refused, _) => self.change_state(UpstreamState::Down),
            // A draining upstream still responds to requests that were dispatched before the drain.
            (DispatchResult::Answered, UpstreamState::Draining) => None,
            (DispatchResult::Answered, _) => self.change_state(UpstreamState::Up),
        }
    }

    fn record_good_probe(&mut self, now: Instant) -> Option<HealthChange> {
        let is_confirmed = self.state != UpstreamState::Draining || self.streak >= DRAIN_PROBES;
        if !is_confirmed || self.has_recent_dispatch(now, DispatchResult::Refused) {
            return None;
        }
        self.change_state(UpstreamState::Up)
    }

    fn has_recent_dispatch(&self, now: Instant, wanted: DispatchResult) -> bool {
        self.last_dispatch.is_some_and(|(at, result)| {
            result == wanted && now.saturating_duration_since(at) < DISPATCH_PRECEDENCE
        })
    }

    fn change_state(&mut self, to: UpstreamState) -> Option<HealthChange> {
        let from = std::mem::replace(&mut self.state, to);
        match (from, to) {
            (from, to) if from == to => None,
            (_, UpstreamState::Draining) => Some(HealthChange::DrainBegan),
            (_, UpstreamState::Down) => Some(HealthChange::WentDown),
            (UpstreamState::Draining, UpstreamState::Up) => Some(HealthChange::DrainEnded),
            (UpstreamState::Down, UpstreamState::Up) => Some(HealthChange::ColdStart),
            _ => None,
        }
    }
}
