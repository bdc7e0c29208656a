//! What a node holds of the health of its own upstream.
//!
//! The health endpoint is a hint that lags or misleads, so it takes several probes in a row to
//! change the state, and what the node sees in its own hand-overs goes before it.

use lagoonshore_state::id_type;
use std::time::Duration;
use tokio::time::Instant;

/// Answers 503 in a row that start a drain, and good ones that end it.
const DRAIN_PROBES: u32 = 2;
/// Refused probes in a row after which the upstream counts as down.
const DOWN_PROBES: u32 = 3;
/// Time for which an own hand-over goes before the probes.
const SIGHT_TIME: Duration = Duration::from_secs(1);

id_type! {
    /// `ProbeResult` is what one probe of the health endpoint showed.
    #[serde(rename_all = "kebab-case")]
    pub enum ProbeResult {
        /// The upstream answered and takes work.
        Good,
        /// The upstream answered 503: it drains.
        Draining,
        /// The connection was refused.
        Refused,
        /// The probe shows nothing: no answer in time, or an error status.
        Unclear,
    }

    /// `DispatchResult` is what a hand-over showed of the upstream.
    #[serde(rename_all = "kebab-case")]
    pub enum DispatchResult {
        /// A whole answer came.
        Answered,
        /// The connection was refused.
        Refused,
    }

    /// `UpstreamState` is what the node holds of its upstream.
    #[derive(Default)]
    #[serde(rename_all = "kebab-case")]
    pub enum UpstreamState {
        /// Nothing was seen yet.
        #[default]
        Unknown,
        /// The upstream takes work.
        Up,
        /// The upstream says that it drains.
        Draining,
        /// The upstream takes no connections.
        Down,
    }

    /// `HealthChange` is a change of the state that others act upon.
    #[serde(rename_all = "kebab-case")]
    pub enum HealthChange {
        /// The upstream began to drain.
        DrainBegan,
        /// The upstream takes work again after a drain.
        DrainEnded,
        /// The upstream went down.
        WentDown,
        /// The upstream is up after it was down: its caches are cold.
        ColdStart,
    }
}

/// `HealthControl` follows the state of one upstream.
#[derive(Debug, Default)]
pub struct HealthControl {
    state: UpstreamState,
    latest: Option<ProbeResult>,
    streak: u32,
    seen: Option<(Instant, DispatchResult)>,
}

impl HealthControl {
    /// The state held.
    #[must_use]
    pub const fn state(&self) -> UpstreamState {
        self.state
    }

    /// Takes the result of a probe.
    pub fn record_probe(&mut self, now: Instant, result: ProbeResult) -> Option<HealthChange> {
        self.streak = if self.latest == Some(result) {
            self.streak + 1
        } else {
            1
        };
        self.latest = Some(result);
        match result {
            ProbeResult::Good => self.probed_good(now),
            ProbeResult::Draining if self.streak >= DRAIN_PROBES => {
                self.turn(UpstreamState::Draining)
            }
            ProbeResult::Refused if self.streak >= DOWN_PROBES => {
                let sees_answers = self.saw(now, DispatchResult::Answered);
                if sees_answers {
                    None
                } else {
                    self.turn(UpstreamState::Down)
                }
            }
            _ => None,
        }
    }

    /// Takes what an own hand-over showed.
    pub fn record_dispatch(&mut self, now: Instant, sign: DispatchResult) -> Option<HealthChange> {
        self.seen = Some((now, sign));
        match (sign, self.state) {
            (DispatchResult::Refused, _) => self.turn(UpstreamState::Down),
            // An upstream that drains still answers what it was given before.
            (DispatchResult::Answered, UpstreamState::Draining) => None,
            (DispatchResult::Answered, _) => self.turn(UpstreamState::Up),
        }
    }

    fn probed_good(&mut self, now: Instant) -> Option<HealthChange> {
        let is_settled = self.state != UpstreamState::Draining || self.streak >= DRAIN_PROBES;
        if !is_settled || self.saw(now, DispatchResult::Refused) {
            return None;
        }
        self.turn(UpstreamState::Up)
    }

    fn saw(&self, now: Instant, wanted: DispatchResult) -> bool {
        self.seen.is_some_and(|(at, sign)| {
            sign == wanted && now.saturating_duration_since(at) < SIGHT_TIME
        })
    }

    fn turn(&mut self, to: UpstreamState) -> Option<HealthChange> {
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
