//! Choice of the instance that takes a call, by what the node sees of its peers.

pub mod candidate_choice;
pub mod ejection;
pub mod peer_view;
pub mod slow_start;

use candidate_choice::PeerCandidate;
use ejection::{OUTLIER_ANSWERS_MIN, PeerCondition};
use peer_view::{PeerView, ReportedLoad};

use crate::request::{outcome::RefusalReason, request_lifecycle::CallRefusal};

use lagoonshore_state::{
    data_type,
    ids::{InstanceName, RegionName, ZoneName},
    instance_table::{InstanceKey, InstanceRecord, InstanceTable},
};
use rand::RngCore;
use slotmap::SecondaryMap;
use std::time::Duration;
use tokio::time::Instant;

data_type! {
    /// `PeerSummary` shows what a node knows of a peer.
    pub struct PeerSummary {
        /// Calls in progress from this node.
        pub in_progress: u32,
        /// Recent latency in multiples of what is typical of the routes.
        pub slowness: f64,
        /// Share of the peer's limit that is in use.
        pub utilization: f64,
        /// Failures in a row.
        pub failures: u32,
        /// Share of the calls that failed lately.
        pub failure_share: f64,
        /// Whether the peer takes calls.
        pub condition: PeerCondition,
        /// Share of its calls that the peer takes while it warms up; 1 afterwards.
        pub slow_start_share: f64,
        /// Whether the peer said lately that it is leaving.
        pub draining: bool,
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

/// `RegionReach` says how far calls of a service may go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RegionReach {
    /// Calls stay in the own region.
    #[default]
    OwnRegion,
    /// Other regions take calls when the own one has no instance left to try.
    OtherRegions,
}

/// `PeerSelector` chooses instances by what the node knows of them.
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

    /// Chooses an instance of `service` in the own region that is not in `tried`.
    pub fn choose(
        &mut self,
        now: Instant,
        table: &InstanceTable,
        service: &str,
        tried: &[InstanceKey],
        random: &mut dyn RngCore,
    ) -> Option<InstanceKey> {
        self.choose_within(RegionReach::OwnRegion, now, table, service, tried, random)
    }

    /// Chooses as [`Self::choose`] does, and goes as far as `reach` says.
    pub fn choose_within(
        &mut self,
        reach: RegionReach,
        now: Instant,
        table: &InstanceTable,
        service: &str,
        tried: &[InstanceKey],
        random: &mut dyn RngCore,
    ) -> Option<InstanceKey> {
        self.meet(now, table, service);
        let listed = self.listed(now, table, service, tried);
        let is_near = |candidate: &PeerCandidate<'_>| candidate.record.region == self.origin.region;
        let (near, far): (Vec<_>, Vec<_>) = listed.into_iter().partition(is_near);
        let zone = &self.origin.zone;
        let chosen = candidate_choice::choose(now, zone, near, random);
        if chosen.is_some() || reach == RegionReach::OwnRegion {
            return chosen;
        }
        candidate_choice::choose(now, zone, far, random)
    }

    /// Tells whether an instance of `service` may be tried that is not in `tried`.
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

    /// Notes that a call to an instance started.
    pub fn record_start(&mut self, key: InstanceKey) {
        if let Some(view) = self.views.get_mut(key) {
            view.in_progress += 1;
        }
    }

    /// Notes that a call ended with an answer after `latency`, where `typical` is the median of
    /// its route.
    pub fn record_response(
        &mut self,
        key: InstanceKey,
        now: Instant,
        latency: Duration,
        typical: Duration,
        table: &InstanceTable,
    ) {
        let Some(view) = self.ended(key) else { return };
        view.note_end(now, false);
        view.sample(now, latency, typical);
        view.answers = view.answers.saturating_add(1);
        if self.is_outlier(key, table) {
            self.eject(key, now, table);
        } else if let Some(view) = self.views.get_mut(key)
            && view.ejection.note_answer()
        {
            view.warming_since = now;
        }
    }

    /// Notes that a call ended with a refusal that a node sent. A refusal for overload, or one
    /// that says nothing of the peer's own condition, is no failure.
    pub fn record_refusal(
        &mut self,
        key: InstanceKey,
        now: Instant,
        refusal: CallRefusal,
        table: &InstanceTable,
    ) {
        match refusal.reason {
            RefusalReason::Timeout if refusal.is_not_run() => {
                self.ended(key);
            }
            RefusalReason::Overload => {
                if let Some(view) = self.ended(key) {
                    view.note_overload(now);
                }
            }
            RefusalReason::UpstreamUnreachable
            | RefusalReason::ConnectionLost
            | RefusalReason::BrokenAnswer
            | RefusalReason::Starting
            | RefusalReason::NoPolicy
            | RefusalReason::Timeout => self.record_failure(key, now, table),
            _ => {
                self.ended(key);
            }
        }
    }

    /// Notes that a call ended with an answer by which the upstream itself failed it.
    pub fn record_error_response(&mut self, key: InstanceKey, now: Instant) {
        if let Some(view) = self.ended(key) {
            view.note_end(now, true);
        }
    }

    /// Notes that a call ended without a reply.
    pub fn record_failure(&mut self, key: InstanceKey, now: Instant, table: &InstanceTable) {
        let Some(view) = self.ended(key) else { return };
        view.note_end(now, true);
        if view.ejection.note_failure() {
            self.eject(key, now, table);
        }
    }

    /// Notes whether an instance has given notice that it leaves.
    pub fn set_leaving(&mut self, key: InstanceKey, leaving: bool) {
        if let Some(view) = self.views.get_mut(key) {
            view.set_leaving(leaving);
        }
    }

    /// Notes that a peer refused a connection.
    pub fn record_unreachable(&mut self, key: InstanceKey, now: Instant) {
        if let Some(view) = self.ended(key) {
            view.ejection.mark_unreachable(now);
        }
    }

    /// Notes that a call was given up after `elapsed` for the answer of another instance.
    pub fn record_abandoned(
        &mut self,
        key: InstanceKey,
        now: Instant,
        elapsed: Duration,
        typical: Duration,
    ) {
        if let Some(view) = self.ended(key) {
            view.sample_at_least(now, elapsed, typical);
        }
    }

    /// Notes that a call has waited for `elapsed` and goes on waiting.
    pub fn record_overdue(
        &mut self,
        key: InstanceKey,
        now: Instant,
        elapsed: Duration,
        typical: Duration,
    ) {
        if let Some(view) = self.views.get_mut(key) {
            view.sample_at_least(now, elapsed, typical);
        }
    }

    /// Takes the load that a peer reported.
    pub fn record_load(&mut self, key: InstanceKey, now: Instant, report: ReportedLoad) {
        if let Some(view) = self.views.get_mut(key) {
            view.take_report(now, report);
        }
    }

    /// What the node knows of an instance, if it has met it.
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

    /// Starts a view of each instance that is new, or that came back at another address.
    fn meet(&mut self, now: Instant, table: &InstanceTable, service: &str) {
        for (key, record) in table.of_service(service) {
            let known = self.views.get(key);
            if known.is_none_or(|view| view.address != record.peer) {
                self.views.insert(key, PeerView::new(record.peer, now));
            }
        }
    }

    /// Instances that may be tried. One that says it is leaving gets no new work.
    fn listed<'a>(
        &'a self,
        now: Instant,
        table: &'a InstanceTable,
        service: &'a str,
        tried: &[InstanceKey],
    ) -> Vec<PeerCandidate<'a>> {
        let candidate = |(key, record): (InstanceKey, &'a InstanceRecord)| {
            let view = self.views.get(key)?;
            Some(PeerCandidate { key, record, view })
        };
        let others = table
            .of_service(service)
            .filter(|(key, record)| !tried.contains(key) && record.name != self.origin.instance);
        let candidates = others.filter_map(candidate);
        candidates
            .filter(|candidate| !candidate.view.is_draining(now))
            .collect()
    }

    fn ended(&mut self, key: InstanceKey) -> Option<&mut PeerView> {
        let view = self.views.get_mut(key)?;
        view.in_progress = view.in_progress.saturating_sub(1);
        Some(view)
    }

    /// Ejects an instance unless too many of its service are ejected already.
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
            && ejection::may_eject(listed, ejected)
        {
            view.ejection.eject(now);
        }
    }

    /// Tells whether an instance is far slower than the others, by its average and by its last
    /// answer: a quick answer to a probe ends an ejection.
    fn is_outlier(&self, key: InstanceKey, table: &InstanceTable) -> bool {
        let (Some(record), Some(view)) = (table.get(key), self.views.get(key)) else {
            return false;
        };
        let peers = table.of_service(&record.service);
        let others = peers.filter(|(peer, _)| *peer != key);
        let others = others.filter_map(|(peer, _)| {
            let view = self.views.get(peer)?;
            (view.answers >= OUTLIER_ANSWERS_MIN).then(|| view.smooth_slowness())
        });
        view.answers >= OUTLIER_ANSWERS_MIN
            && view.was_slow()
            && ejection::is_outlier(view.smooth_slowness(), others.collect())
    }
}
