//! Chooses the instance that a call is sent to, by what the node has observed of its peers.

pub mod candidate_choice;
pub mod ejection;
pub mod peer_view;
pub mod slow_start;

use candidate_choice::PeerCandidate;
use ejection::{OUTLIER_RESPONSES_MIN, PeerCondition};
use peer_view::{PeerView, ReportedLoad};

use crate::request::{outcome::RefusalReason, request_lifecycle::CallRefusal};

use lagoonshore_state::{
    data_type,
    ids::{InstanceName, RegionName, ZoneName},
    instance_table::{InstanceKey, InstanceTable},
};
use rand::RngCore;
use slotmap::SecondaryMap;
use std::time::Duration;
use tokio::time::Instant;

data_type! {
    /// `PeerSummary` is a snapshot of what a node knows of a peer, for the state dump.
    pub struct PeerSummary {
        /// Calls in progress from this node to the peer.
        pub in_progress: u32,
        /// Recent latency as a multiple of the routes' typical latency.
        pub slowness: f64,
        /// Share of the peer's limit in use, from 0; above 1 when requests are queued.
        pub utilization: f64,
        /// Consecutive failures.
        pub failures: u32,
        /// Moving average of the share of failed calls, from 0 to 1.
        pub failure_share: f64,
        /// Ejection state of the peer.
        pub condition: PeerCondition,
        /// Share of its normal load that the peer gets during slow start; 1 afterwards.
        pub slow_start_share: f64,
        /// Whether the peer recently announced that it is draining.
        pub draining: bool,
    }
}

/// `RoutingOrigin` identifies the calling node and its location.
#[derive(Clone, Debug)]
pub struct RoutingOrigin {
    /// Name of the node's own instance, which is never chosen.
    pub instance: InstanceName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Region of the node.
    pub region: RegionName,
}

/// `RegionScope` says which regions the calls of a service may go to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RegionScope {
    /// Only the node's own region.
    #[default]
    OwnRegion,
    /// Other regions as well, once the node's own region has no instance left to try.
    OtherRegions,
}

/// `PeerSelector` chooses instances by the node's observations of them.
#[derive(Debug)]
pub struct PeerSelector {
    origin: RoutingOrigin,
    views: SecondaryMap<InstanceKey, PeerView>,
}

impl PeerSelector {
    /// Creates a selector without observations.
    #[must_use]
    pub fn new(origin: RoutingOrigin) -> Self {
        Self {
            origin,
            views: SecondaryMap::new(),
        }
    }

    /// Chooses an instance of `service` in the node's own region that is not in `tried`.
    pub fn choose(
        &mut self,
        now: Instant,
        table: &InstanceTable,
        service: &str,
        tried: &[InstanceKey],
        random: &mut dyn RngCore,
    ) -> Option<InstanceKey> {
        self.choose_in_scope(RegionScope::OwnRegion, now, table, service, tried, random)
    }

    /// Chooses as [`Self::choose`] does, in the regions that `scope` allows.
    pub fn choose_in_scope(
        &mut self,
        scope: RegionScope,
        now: Instant,
        table: &InstanceTable,
        service: &str,
        tried: &[InstanceKey],
        random: &mut dyn RngCore,
    ) -> Option<InstanceKey> {
        self.track_instances(now, table, service);
        let listed = self.listed(now, table, service);
        let listed = listed.filter(|candidate| !tried.contains(&candidate.key));
        let is_in_region =
            |candidate: &PeerCandidate<'_>| candidate.record.region == self.origin.region;
        let (own_region, other_regions): (Vec<_>, Vec<_>) = listed.partition(is_in_region);
        let zone = &self.origin.zone;
        let chosen = candidate_choice::choose(now, zone, own_region, random);
        if chosen.is_some() || scope == RegionScope::OwnRegion {
            return chosen;
        }
        candidate_choice::choose(now, zone, other_regions, random)
    }

    /// Returns the instances of `service` in the node's own region that take new work.
    pub fn candidates<'a>(
        &'a mut self,
        now: Instant,
        table: &'a InstanceTable,
        service: &str,
    ) -> impl Iterator<Item = PeerCandidate<'a>> {
        self.track_instances(now, table, service);
        let listed = self.listed(now, table, service);
        listed.filter(|candidate| candidate.record.region == self.origin.region)
    }

    /// Returns `true` if there is an instance of `service` that may be tried: not the node's own,
    /// not in `tried` and not draining.
    #[must_use]
    pub fn has_untried(
        &self,
        now: Instant,
        table: &InstanceTable,
        service: &str,
        tried: &[InstanceKey],
    ) -> bool {
        let mut listed = table.of_service(service);
        listed.any(|(key, record)| {
            let view = self.views.get(key);
            let is_leaving = view.is_some_and(|view| view.is_draining(now));
            let is_own = record.name == self.origin.instance;
            !tried.contains(&key) && !is_own && !is_leaving
        })
    }

    /// Records the start of a call to an instance.
    pub fn record_start(&mut self, key: InstanceKey) {
        if let Some(view) = self.views.get_mut(key) {
            view.in_progress += 1;
        }
    }

    /// Records that a response arrived after `latency`; `typical` is the median latency of its
    /// route.
    pub fn record_response(
        &mut self,
        key: InstanceKey,
        now: Instant,
        latency: Duration,
        typical: Duration,
        table: &InstanceTable,
    ) {
        let Some(view) = self.finish(key) else { return };
        view.record_outcome(now, false);
        view.record_latency(now, latency, typical);
        view.responses = view.responses.saturating_add(1);
        if self.is_outlier(key, table) {
            self.eject(key, now, table);
        } else if let Some(view) = self.views.get_mut(key)
            && view.ejection.record_response()
        {
            view.warming_since = now;
        }
    }

    /// Records that a node refused a call. A refusal for overload, or one that says nothing about
    /// the condition of the peer, does not count as a failure.
    pub fn record_refusal(
        &mut self,
        key: InstanceKey,
        now: Instant,
        refusal: CallRefusal,
        table: &InstanceTable,
    ) {
        match refusal.reason {
            RefusalReason::Timeout if refusal.is_not_run() => {
                self.finish(key);
            }
            RefusalReason::Overload => {
                if let Some(view) = self.finish(key) {
                    view.record_overload(now);
                }
            }
            RefusalReason::UpstreamUnreachable
            | RefusalReason::ConnectionLost
            | RefusalReason::BrokenAnswer
            | RefusalReason::Starting
            | RefusalReason::NoPolicy
            | RefusalReason::Timeout => self.record_failure(key, now, table),
            _ => {
                self.finish(key);
            }
        }
    }

    /// Records that a call ended with an error response of the upstream itself.
    pub fn record_error_response(&mut self, key: InstanceKey, now: Instant) {
        if let Some(view) = self.finish(key) {
            view.record_outcome(now, true);
        }
    }

    /// Records that a call ended without a reply.
    pub fn record_failure(&mut self, key: InstanceKey, now: Instant, table: &InstanceTable) {
        let Some(view) = self.finish(key) else { return };
        view.record_outcome(now, true);
        if view.ejection.record_failure() {
            self.eject(key, now, table);
        }
    }

    /// Sets whether an instance has announced that it is leaving.
    pub fn set_leaving(&mut self, key: InstanceKey, leaving: bool) {
        if let Some(view) = self.views.get_mut(key) {
            view.set_leaving(leaving);
        }
    }

    /// Records that a peer refused the connection of a call.
    pub fn record_unreachable(&mut self, key: InstanceKey, now: Instant) {
        if let Some(view) = self.finish(key) {
            view.ejection.mark_unreachable(now);
        }
    }

    /// Records that a call was cancelled after `elapsed` because another instance responded first.
    pub fn record_abandoned(
        &mut self,
        key: InstanceKey,
        now: Instant,
        elapsed: Duration,
        typical: Duration,
    ) {
        if let Some(view) = self.finish(key) {
            view.record_min_latency(now, elapsed, typical);
        }
    }

    /// Records that a call is still waiting after `elapsed`.
    pub fn record_overdue(
        &mut self,
        key: InstanceKey,
        now: Instant,
        elapsed: Duration,
        typical: Duration,
    ) {
        if let Some(view) = self.views.get_mut(key) {
            view.record_min_latency(now, elapsed, typical);
        }
    }

    /// Records the load that a peer reported.
    pub fn record_load(&mut self, key: InstanceKey, now: Instant, report: ReportedLoad) {
        if let Some(view) = self.views.get_mut(key) {
            view.record_load(now, report);
        }
    }

    /// Returns what the node knows of an instance; `None` if the selector has no view of it.
    #[must_use]
    pub fn summary(&self, key: InstanceKey, now: Instant) -> Option<PeerSummary> {
        let view = self.views.get(key)?;
        Some(PeerSummary {
            in_progress: view.in_progress,
            slowness: view.slowness(now),
            utilization: view.utilization(now),
            failures: view.ejection.failures(),
            failure_share: view.failure_share(now),
            condition: view.ejection.condition(now),
            slow_start_share: slow_start::share(now, view.warming_since),
            draining: view.is_draining(now),
        })
    }

    /// Creates a view of each instance that is new or that came back at another address.
    fn track_instances(&mut self, now: Instant, table: &InstanceTable, service: &str) {
        for (key, record) in table.of_service(service) {
            let known = self.views.get(key);
            if known.is_none_or(|view| view.address != record.peer) {
                self.views.insert(key, PeerView::new(record.peer, now));
            }
        }
    }

    /// Returns the instances of a service that take new work: not the node's own and not draining.
    fn listed<'a>(
        &'a self,
        now: Instant,
        table: &'a InstanceTable,
        service: &str,
    ) -> impl Iterator<Item = PeerCandidate<'a>> {
        let others = table
            .of_service(service)
            .filter(|(_, record)| record.name != self.origin.instance);
        let candidates = others.filter_map(|(key, record)| {
            let view = self.views.get(key)?;
            Some(PeerCandidate { key, record, view })
        });
        candidates.filter(move |candidate| !candidate.view.is_draining(now))
    }

    fn finish(&mut self, key: InstanceKey) -> Option<&mut PeerView> {
        let view = self.views.get_mut(key)?;
        view.in_progress = view.in_progress.saturating_sub(1);
        Some(view)
    }

    /// Ejects an instance unless too many instances of its service are ejected already.
    fn eject(&mut self, key: InstanceKey, now: Instant, table: &InstanceTable) {
        let Some(record) = table.get(key) else { return };
        let (mut listed, mut ejected) = (0, 0);
        for (peer, _) in table.of_service(&record.service) {
            let view = self.views.get(peer);
            listed += 1;
            ejected += u32::from(view.is_some_and(|view| view.ejection.is_ejected(now)));
        }
        if let Some(view) = self.views.get_mut(key)
            && !view.ejection.is_ejected(now)
            && ejection::can_eject(listed, ejected)
        {
            view.ejection.eject(now);
        }
    }

    /// Returns `true` if an instance is far slower than the others, both by its moving average and
    /// by its last response. The last response is checked so that a quick response to a probe ends
    /// an ejection.
    fn is_outlier(&self, key: InstanceKey, table: &InstanceTable) -> bool {
        let (Some(record), Some(view)) = (table.get(key), self.views.get(key)) else {
            return false;
        };
        let peers = table.of_service(&record.service);
        let others = peers.filter(|(peer, _)| *peer != key);
        let others = others.filter_map(|(peer, _)| {
            let view = self.views.get(peer)?;
            (view.responses >= OUTLIER_RESPONSES_MIN).then(|| view.smooth_slowness())
        });
        view.responses >= OUTLIER_RESPONSES_MIN
            && view.was_slow()
            && ejection::is_outlier(view.smooth_slowness(), others.collect())
    }
}
