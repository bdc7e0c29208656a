//! What a node observes of its peers by the calls that it makes.

use super::{
    PeerSelector,
    ejection::{self, OUTLIER_RESPONSES_MIN},
    peer_view::{PeerView, ReportedLoad},
};

use crate::request::{outcome::RefusalReason, request_lifecycle::CallRefusal};

use lagoonshore_state::instance_table::{InstanceKey, InstanceTable};
use std::time::Duration;
use tokio::time::Instant;

impl PeerSelector {
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
