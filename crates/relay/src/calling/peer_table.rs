//! Selection of peers by their observed state.

use crate::{directory::FleetDirectory, events, line_budget::LineBudget, relay_metrics};

use lagoonshore_coordination::{
    forwarding::zone_health::ZoneHealth,
    placing::{InstancePlacer, PlacingRequest, ZoneReason, explanation::PlacingExplanation},
    protection::fingerprint::RequestFingerprint,
    routing::{PeerSelector, PeerSummary, RoutingOrigin},
};
use lagoonshore_settings::{RelaySettings, relay_settings::ZoneSettings};
use lagoonshore_state::{
    ids::{InstanceName, ServiceName, ZoneName},
    instance_table::InstanceKey,
    upstream_list::UpstreamLimit,
};
use rand::rngs::SmallRng;
use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
};
use tokio::time::Instant;
use tracing::info;

/// Log lines about the shares that leave the zone, in one
/// [`LINE_WINDOW`](crate::line_budget::LINE_WINDOW).
const SHARE_LINES_MAX: u32 = 2;

/// `PeerTarget` is the instance selected for an attempt.
#[derive(Clone, Debug)]
pub struct PeerTarget {
    /// Key of the instance in the directory.
    pub key: InstanceKey,
    /// Name of the instance.
    pub name: InstanceName,
    /// Peer address of the node beside the instance.
    pub address: SocketAddr,
    /// Why the request leaves the zone; `None` if it stays, and for runs on probation, whose instance
    /// does not depend on the sender.
    pub leave_reason: Option<ZoneReason>,
}

/// `PeerTable` selects peers by reported load, past results and zone health.
pub struct PeerTable {
    zone: ZoneName,
    pub(super) directory: Rc<FleetDirectory>,
    pub(super) selector: RefCell<PeerSelector>,
    pub(super) placer: RefCell<InstancePlacer>,
    share_lines: LineBudget,
    pub(super) zone_health: RefCell<ZoneHealth>,
    random: RefCell<SmallRng>,
    /// Upstreams that announced their departure in a response, by the peer address of their node.
    pub(super) departed: RefCell<HashMap<SocketAddr, InstanceName>>,
    /// Limits that upstreams named, by the peer address of their node.
    pub(super) limits: RefCell<HashMap<SocketAddr, UpstreamLimit>>,
}

impl PeerTable {
    /// Creates a table without observations.
    #[must_use]
    pub fn new(settings: &RelaySettings, directory: Rc<FleetDirectory>, random: SmallRng) -> Self {
        let origin = RoutingOrigin {
            // An empty name excludes no instance: the local upstream is selected like any other.
            instance: InstanceName::default(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        Self {
            zone: settings.zone.clone(),
            directory,
            selector: RefCell::new(PeerSelector::new(origin)),
            placer: RefCell::new(InstancePlacer::new(
                settings.zone.clone(),
                settings.zones.leave_cost,
            )),
            share_lines: LineBudget::new(SHARE_LINES_MAX),
            zone_health: RefCell::default(),
            random: RefCell::new(random),
            departed: RefCell::default(),
            limits: RefCell::default(),
        }
    }

    /// Applies changed zone settings.
    pub fn set_zone_settings(&self, zones: ZoneSettings) {
        self.placer.borrow_mut().set_leave_cost(zones.leave_cost);
    }

    /// Selects an instance for a request.
    pub fn choose(&self, request: &PlacingRequest<'_>) -> Option<PeerTarget> {
        let (now, zone_health) = (Instant::now(), self.zone_health.borrow());
        let is_all_healthy = zone_health.is_all_healthy();
        let is_degraded = |zone: &str| !is_all_healthy && zone_health.is_degraded(now, zone);
        let table = self.directory.instances();
        let mut selector = self.selector.borrow_mut();
        let candidates = selector.candidates(now, &table, request.service);
        let mut random = self.random.borrow_mut();
        let mut placer = self.placer.borrow_mut();
        let placement = placer.place(now, request, candidates, is_degraded, &mut *random)?;
        relay_metrics::count_placed(placement.reason);
        if let Some(share) = placement.changed_share {
            self.log_zone_share(request.service, share);
        }
        let record = table.get(placement.key)?;
        Some(PeerTarget {
            key: placement.key,
            name: record.name.clone(),
            address: record.peer,
            leave_reason: (record.zone != self.zone).then_some(placement.reason),
        })
    }

    /// Explains how an instance would be selected for a request now.
    #[must_use]
    pub fn explain(&self, request: &PlacingRequest<'_>) -> PlacingExplanation {
        let (now, zone_health) = (Instant::now(), self.zone_health.borrow());
        let table = self.directory.instances();
        let mut selector = self.selector.borrow_mut();
        let candidates = selector.candidates(now, &table, request.service);
        let mut placer = self.placer.borrow_mut();
        let is_degraded = |zone: &str| zone_health.is_degraded(now, zone);
        placer.explain(now, request, candidates, is_degraded)
    }

    /// Selects one of the instances in `among` that are still listed for the service.
    pub fn choose_among(
        &self,
        request: &PlacingRequest<'_>,
        among: &[InstanceKey],
    ) -> Option<PeerTarget> {
        let others: Vec<InstanceKey> = {
            let table = self.directory.instances();
            let listed = table.of_service(request.service).map(|(key, _)| key);
            listed.filter(|key| !among.contains(key)).collect()
        };
        let request = PlacingRequest {
            tried: &others,
            ..*request
        };
        self.choose(&request)
    }

    fn log_zone_share(&self, service: &str, share: f64) {
        if let Some(left_out) = self.share_lines.take() {
            info!(
                event = events::ZONE_SHARE_CHANGED,
                service, share, left_out, "zones: share of the requests that leaves changed"
            );
        }
    }

    /// Selects the instance of `service` that may run a request again after its quarantine.
    pub fn trial_target(
        &self,
        service: &str,
        fingerprint: RequestFingerprint,
    ) -> Option<PeerTarget> {
        let (key, record) = self.directory.trial_instance(service, fingerprint)?;
        Some(PeerTarget {
            key,
            name: record.name,
            address: record.peer,
            leave_reason: None,
        })
    }

    /// Returns whether `service` has a selectable instance that is not in `tried`.
    pub fn has_untried(&self, service: &str, tried: &[InstanceKey]) -> bool {
        let table = self.directory.instances();
        let selector = self.selector.borrow();
        selector.has_untried(Instant::now(), &table, service, tried)
    }

    /// Shares of the requests that leave the zone, by service.
    #[must_use]
    pub fn zone_shares(&self) -> BTreeMap<ServiceName, f64> {
        let placer = self.placer.borrow();
        let shares = placer.zone_shares();
        shares
            .map(|(service, share)| (service.clone(), share))
            .collect()
    }

    /// Statistics of an instance; `None` if it is unknown.
    #[must_use]
    pub fn summary(&self, key: InstanceKey) -> Option<PeerSummary> {
        self.selector.borrow().summary(key, Instant::now())
    }
}
