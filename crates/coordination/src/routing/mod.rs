//! Chooses the instance that a call is sent to, by what the node has observed of its peers.

pub mod candidate_choice;
pub mod ejection;
mod observations;
pub mod peer_view;
pub mod slow_start;

use candidate_choice::PeerCandidate;
use ejection::PeerCondition;
use peer_view::PeerView;

use lagoonshore_state::{
    data_type,
    ids::{InstanceName, RegionName, ZoneName},
    instance_table::{InstanceKey, InstanceTable},
};
use rand::RngCore;
use slotmap::SecondaryMap;
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
}
