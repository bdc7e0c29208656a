//! Choice of the instance that takes a call: the less loaded of two random ones, own zone first
//! (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001).

use lagoonshore_state::{
    data_type,
    ids::{InstanceName, RegionName, ZoneName},
    instance_table::{InstanceKey, InstanceRecord, InstanceState, InstanceTable},
};
use rand::{Rng, RngCore, seq::IndexedRandom};
use slotmap::SecondaryMap;
use std::time::Duration;
use tokio::time::Instant;

/// Weight of the newest sample in the moving average of latencies.
const LATENCY_WEIGHT: f64 = 0.2;
/// Failures in a row after which an instance is left out for a while.
const EJECT_AFTER_FAILURES: u32 = 3;
/// Time for which an instance with failures is left out.
const EJECTION_TIME: Duration = Duration::from_secs(2);
/// Share of calls that stay in the own zone while it has a candidate.
const OWN_ZONE_SHARE: f64 = 1.0;

data_type! {
    /// `PeerView` is what a node has seen of an instance for itself.
    #[derive(Default)]
    pub struct PeerView {
        /// Calls in progress from this node.
        pub in_progress: u32,
        /// Moving average of the time to an answer, in seconds.
        pub latency_seconds: f64,
        /// Failures in a row.
        pub failures: u32,
        /// Whether the instance said that it is leaving.
        pub draining: bool,
        /// Time until which the instance is left out.
        #[serde(skip)]
        pub ejected_until: Option<Instant>,
    }
}

/// `RoutingOrigin` says where a node stands.
#[derive(Clone, Debug)]
pub struct RoutingOrigin {
    /// Name of the own instance, never chosen.
    pub instance: InstanceName,
    /// Own availability zone.
    pub zone: ZoneName,
    /// Own region.
    pub region: RegionName,
}

/// `PeerSelector` chooses instances by what the node has seen of them.
#[derive(Debug)]
pub struct PeerSelector {
    origin: RoutingOrigin,
    views: SecondaryMap<InstanceKey, PeerView>,
}

impl PeerSelector {
    /// Creates a selector that has seen nothing.
    #[must_use]
    pub fn new(origin: RoutingOrigin) -> Self {
        Self {
            origin,
            views: SecondaryMap::new(),
        }
    }

    /// Chooses an instance of `service` that is not in `tried`.
    pub fn choose(
        &self,
        now: Instant,
        table: &InstanceTable,
        service: &str,
        tried: &[InstanceKey],
        random: &mut dyn RngCore,
    ) -> Option<InstanceKey> {
        let eligible: Vec<_> = table
            .of_service(service)
            .filter(|(key, record)| !tried.contains(key) && record.name != self.origin.instance)
            .filter(|(_, record)| record.region == self.origin.region)
            .collect();
        let healthy = |(key, record): &&(InstanceKey, &InstanceRecord)| {
            record.state == InstanceState::Live && self.is_healthy(*key, now)
        };
        let live: Vec<_> = eligible.iter().filter(healthy).copied().collect();
        let own_zone: Vec<_> = live
            .iter()
            .filter(|(_, record)| record.zone == self.origin.zone)
            .copied()
            .collect();
        let stays = !own_zone.is_empty() && random.random_bool(OWN_ZONE_SHARE);
        let candidates = if stays { own_zone } else { live };
        // The platform's list is a hint: with no healthy instance left, any listed one is tried.
        let candidates = if candidates.is_empty() {
            eligible
        } else {
            candidates
        };
        self.less_loaded(&candidates, random)
    }

    /// Notes that a call to an instance started.
    pub fn started(&mut self, key: InstanceKey) {
        if let Some(view) = self.view_mut(key) {
            view.in_progress += 1;
        }
    }

    /// Notes that a call ended with an answer after `latency`.
    pub fn answered(&mut self, key: InstanceKey, latency: Duration) {
        if let Some(view) = self.view_mut(key) {
            view.in_progress = view.in_progress.saturating_sub(1);
            view.failures = 0;
            view.latency_seconds += LATENCY_WEIGHT * (latency.as_secs_f64() - view.latency_seconds);
        }
    }

    /// Notes that a call ended without an answer.
    pub fn failed(&mut self, key: InstanceKey, now: Instant) {
        if let Some(view) = self.view_mut(key) {
            view.in_progress = view.in_progress.saturating_sub(1);
            view.failures += 1;
            if view.failures >= EJECT_AFTER_FAILURES {
                view.ejected_until = Some(now + EJECTION_TIME);
            }
        }
    }

    /// Notes whether an instance says that it is leaving.
    pub fn set_draining(&mut self, key: InstanceKey, draining: bool) {
        if let Some(view) = self.view_mut(key) {
            view.draining = draining;
        }
    }

    /// What the node has seen of an instance.
    #[must_use]
    pub fn view(&self, key: InstanceKey) -> Option<&PeerView> {
        self.views.get(key)
    }

    fn view_mut(&mut self, key: InstanceKey) -> Option<&mut PeerView> {
        self.views
            .entry(key)
            .map(slotmap::secondary::Entry::or_default)
    }

    fn is_healthy(&self, key: InstanceKey, now: Instant) -> bool {
        self.views.get(key).is_none_or(|view| {
            !view.draining && view.ejected_until.is_none_or(|until| until <= now)
        })
    }

    fn less_loaded(
        &self,
        candidates: &[(InstanceKey, &InstanceRecord)],
        random: &mut dyn RngCore,
    ) -> Option<InstanceKey> {
        let pair: Vec<_> = candidates
            .choose_multiple(random, 2)
            .map(|(key, _)| *key)
            .collect();
        pair.into_iter()
            .min_by(|left, right| self.load(*left).total_cmp(&self.load(*right)))
    }

    fn load(&self, key: InstanceKey) -> f64 {
        let view = self.views.get(key);
        view.map_or(0.0, |view| {
            (f64::from(view.in_progress) + 1.0) * view.latency_seconds
        })
    }
}
