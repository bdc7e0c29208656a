//! What a node observes of its peers by the attempts that it makes and by their links.

use super::{peer_links::LinkEvent, peer_table::PeerTable};

use lagoonshore_coordination::{
    forwarding::slot_queue::RouteId, placing::ReplyTimes, request::request_lifecycle::CallRefusal,
    routing::peer_view::ReportedLoad,
};
use lagoonshore_protocol::relay_messages::{NodeStatus, RelayReply};
use lagoonshore_state::instance_table::InstanceKey;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

impl PeerTable {
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
