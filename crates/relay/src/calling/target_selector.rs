//! Choice of the instance for the next attempt.

use super::{
    call_progress::CallProgress,
    peer_table::{PeerTable, PeerTarget},
    routed_request::RoutedRequest,
    suspect_lookup::SuspectLookup,
};

use lagoonshore_coordination::{placing::PlacingRequest, request::outcome::RefusalReason};
use std::rc::Rc;

/// Most instances that are tried for one request.
const INSTANCES_MAX: usize = 3;
/// Attempts per request that may end with a rejection by an upstream, several ones at the same
/// upstream included.
const REJECTIONS_MAX: u32 = 7;

/// `TargetSelector` selects the instances that are tried for a request.
pub(crate) struct TargetSelector {
    peers: Rc<PeerTable>,
    lookup: SuspectLookup,
}

impl TargetSelector {
    pub(crate) const fn new(peers: Rc<PeerTable>, lookup: SuspectLookup) -> Self {
        Self { peers, lookup }
    }

    /// Selects the next instance. After its quarantine a suspect goes first to the instance that all
    /// nodes choose for its run on probation. Whether a quarantined request may run is decided beside
    /// the upstream, where it may have run completely; the sender passes on the crashes that it knows.
    pub(crate) fn next_target(
        &self,
        request: &RoutedRequest,
        progress: &CallProgress,
    ) -> Option<PeerTarget> {
        if let Some(fingerprint) = self.lookup.on_probation(request)
            && let Some(target) = self.peers.trial_target(&progress.service, fingerprint)
            && !progress.tried.contains(&target.key)
        {
            return Some(target);
        }
        self.next_instance(request, progress)
    }

    /// Returns whether another instance can be tried after this attempt.
    pub(crate) fn has_others(&self, progress: &CallProgress) -> bool {
        let can_try_more = progress.tried.len() < INSTANCES_MAX;
        can_try_more && self.peers.has_untried(&progress.service, &progress.tried)
    }

    /// Selects an untried instance, or else one whose upstream rejected the request for overload:
    /// it may reject only a part of the requests.
    fn next_instance(
        &self,
        request: &RoutedRequest,
        progress: &CallProgress,
    ) -> Option<PeerTarget> {
        let tried = &progress.tried;
        let placing = PlacingRequest {
            service: &progress.service,
            route: request.route_id(),
            time: request.time(),
            tried,
            is_refused: !tried.is_empty() && progress.reason == RefusalReason::Overload,
        };
        let attempts = usize::try_from(request.route.attempts).unwrap_or(usize::MAX);
        if tried.len() < INSTANCES_MAX && progress.receivers.len() < attempts {
            let untried = self.peers.choose(&placing);
            if untried.is_some() {
                return untried;
            }
        }
        let can_retry_rejected = progress.is_rejected && progress.deliveries < REJECTIONS_MAX;
        can_retry_rejected
            .then(|| self.peers.choose_among(&placing, &progress.rejected))
            .flatten()
    }
}
