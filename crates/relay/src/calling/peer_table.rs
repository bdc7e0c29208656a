//! Selection of peers by their observed state.

use super::peer_links::LinkEvent;

use crate::{directory::FleetDirectory, events, line_budget::LineBudget, relay_metrics};

use lagoonshore_coordination::{
    forwarding::{slot_queue::RouteId, zone_health::ZoneHealth},
    placing::{InstancePlacer, PlacingRequest, ReplyTimes, explanation::PlacingExplanation},
    protection::fingerprint::RequestFingerprint,
    request::request_lifecycle::CallRefusal,
    routing::{PeerSelector, PeerSummary, RoutingOrigin, peer_view::ReportedLoad},
};
use lagoonshore_protocol::relay_messages::{NodeStatus, RelayReply};
use lagoonshore_settings::{RelaySettings, relay_settings::ZoneSettings};
use lagoonshore_state::{
    ids::{InstanceName, ServiceName},
    instance_table::InstanceKey,
    upstream_list::{UpstreamLimit, UpstreamRun},
};
use rand::rngs::SmallRng;
use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
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
}

/// `PeerTable` selects peers by reported load, past results and zone health.
pub struct PeerTable {
    directory: Rc<FleetDirectory>,
    selector: RefCell<PeerSelector>,
    placer: RefCell<InstancePlacer>,
    share_lines: LineBudget,
    zone_health: RefCell<ZoneHealth>,
    random: RefCell<SmallRng>,
    /// Upstreams that announced their departure in a response, by the peer address of their node.
    departed: RefCell<HashMap<SocketAddr, InstanceName>>,
    /// Limits that upstreams named, by the peer address of their node.
    limits: RefCell<HashMap<SocketAddr, UpstreamLimit>>,
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
        })
    }

    /// Returns whether `service` has a selectable instance that is not in `tried`.
    pub fn has_untried(&self, service: &str, tried: &[InstanceKey]) -> bool {
        let table = self.directory.instances();
        let selector = self.selector.borrow();
        selector.has_untried(Instant::now(), &table, service, tried)
    }

    /// Records the start of an attempt at an instance.
    pub fn record_start(&self, key: InstanceKey) {
        self.selector.borrow_mut().record_start(key);
    }

    /// Records the status that a node sent with a reply.
    pub fn record_status(&self, key: InstanceKey, address: SocketAddr, status: NodeStatus) {
        self.record_versions(address, status);
        self.zone_health.borrow_mut().record_reply(address);
        let report = reported_load(status);
        let mut selector = self.selector.borrow_mut();
        selector.record_load(key, Instant::now(), report);
    }

    /// Records the times of a reply that came after `elapsed`.
    pub fn record_times(
        &self,
        key: InstanceKey,
        route: RouteId,
        reply: &RelayReply,
        elapsed: Duration,
    ) {
        let served = Duration::from_micros(reply.served_micros.into());
        let times = ReplyTimes {
            work: (reply.work_micros > 0).then(|| Duration::from_micros(reply.work_micros.into())),
            hold: Duration::from_micros(reply.status.hold_micros.into()),
            link: elapsed.saturating_sub(served),
        };
        let table = self.directory.instances();
        let Some(record) = table.get(key) else { return };
        let mut placer = self.placer.borrow_mut();
        placer.record_reply(Instant::now(), key, &record.zone, route, times);
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

    /// Records that a run of the upstream beside the node at `address` announced its departure.
    pub fn record_departure(&self, address: SocketAddr, run: &UpstreamRun) {
        self.directory.announce_departure(run);
        let mut departed = self.departed.borrow_mut();
        if departed.get(&address) == Some(&run.name) {
            return;
        }
        let table = self.directory.instances();
        departed.retain(|peer, _| table.iter().any(|(_, record)| record.peer == *peer));
        departed.insert(address, run.name.clone());
    }

    /// Latest run of the upstream beside the node at `address` that announced its departure.
    #[must_use]
    pub fn departed_run(&self, address: SocketAddr) -> Option<UpstreamRun> {
        let departed = self.departed.borrow();
        let name = departed.get(&address)?;
        self.directory.upstreams().announced_run(name)
    }

    /// Records the limit on its rate that the upstream beside the node at `address` names; `None` if it
    /// names none.
    pub fn record_limit(&self, address: SocketAddr, limit: Option<&UpstreamLimit>) {
        let mut limits = self.limits.borrow_mut();
        let Some(limit) = limit else {
            limits.remove(&address);
            return;
        };
        if !limits.contains_key(&address) {
            let table = self.directory.instances();
            limits.retain(|peer, _| table.iter().any(|(_, record)| record.peer == *peer));
        }
        limits.insert(address, limit.clone());
    }

    /// Limit that the upstream beside the node at `address` named last.
    #[must_use]
    pub fn limit(&self, address: SocketAddr) -> Option<UpstreamLimit> {
        self.limits.borrow().get(&address).cloned()
    }

    /// Records a response of the upstream; `typical` is the median latency of its route, or
    /// `elapsed` while that is unknown.
    pub fn record_response(&self, key: InstanceKey, elapsed: Duration, typical: Duration) {
        let table = self.directory.instances();
        let mut selector = self.selector.borrow_mut();
        selector.record_response(key, Instant::now(), elapsed, typical, &table);
    }

    /// Records a failure response caused by the upstream itself.
    pub fn record_error_response(&self, key: InstanceKey) {
        let mut selector = self.selector.borrow_mut();
        selector.record_error_response(key, Instant::now());
    }

    /// Records a refusal by a node.
    pub fn record_refusal(&self, key: InstanceKey, refusal: CallRefusal) {
        let table = self.directory.instances();
        let mut selector = self.selector.borrow_mut();
        selector.record_refusal(key, Instant::now(), refusal, &table);
    }

    /// Records an attempt that got no reply.
    pub fn record_failure(&self, key: InstanceKey) {
        let table = self.directory.instances();
        let mut selector = self.selector.borrow_mut();
        selector.record_failure(key, Instant::now(), &table);
    }

    /// Records a failed connection attempt.
    pub fn record_unreachable(&self, key: InstanceKey) {
        let mut selector = self.selector.borrow_mut();
        selector.record_unreachable(key, Instant::now());
    }

    /// Records that the caller cancelled the request before the reply.
    pub fn record_abandoned(&self, key: InstanceKey, elapsed: Duration, typical: Duration) {
        let mut selector = self.selector.borrow_mut();
        selector.record_abandoned(key, Instant::now(), elapsed, typical);
    }

    /// Records an event on the link to the node at `address`, for every instance beside that node.
    pub fn record_link_event(&self, address: SocketAddr, event: LinkEvent) {
        let table = self.directory.instances();
        if event != LinkEvent::Lost {
            self.zone_health.borrow_mut().record_reply(address);
        }
        let affected = table.iter().filter(|(_, record)| record.peer == address);
        for (key, record) in affected {
            let mut selector = self.selector.borrow_mut();
            match event {
                LinkEvent::Lost => {
                    let mut zone_health = self.zone_health.borrow_mut();
                    zone_health.record_silence(Instant::now(), address, record.zone.clone());
                    selector.record_start(key);
                    selector.record_unreachable(key, Instant::now());
                }
                LinkEvent::Reconnected => selector.set_leaving(key, false),
                LinkEvent::Status(status) => {
                    self.record_versions(address, status);
                    selector.record_load(key, Instant::now(), reported_load(status));
                }
            }
        }
    }

    fn record_versions(&self, address: SocketAddr, status: NodeStatus) {
        let versions = self.directory.versions();
        versions.record_document(address, status.version);
        versions.record_known(status.revision);
    }

    /// Statistics of an instance; `None` if it is unknown.
    #[must_use]
    pub fn summary(&self, key: InstanceKey) -> Option<PeerSummary> {
        self.selector.borrow().summary(key, Instant::now())
    }
}

/// Load that a node reported. An upstream whose limit on the rate allows no request now counts as full.
fn reported_load(status: NodeStatus) -> ReportedLoad {
    let limit = if status.rate_wait_ms > 0 {
        status.in_use.max(1)
    } else {
        status.limit
    };
    ReportedLoad {
        in_progress: status.in_use.max(u32::from(status.rate_wait_ms > 0)),
        limit,
        queued: status.queued,
        draining: status.is_leaving,
    }
}
