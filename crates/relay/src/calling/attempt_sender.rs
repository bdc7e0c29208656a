//! Sends attempts to the nodes beside their upstreams.

use super::{
    attempt_record::AttemptRecord,
    call_progress::{AttemptStage, CallProgress},
    latency_table::LatencyTable,
    peer_links::{LinkError, PeerLinks},
    peer_table::{PeerTable, PeerTarget},
    request_message,
    routed_request::RoutedRequest,
    suspect_lookup::SuspectLookup,
};

use crate::{directory::FleetDirectory, relay_metrics, serving::upstream_server::UpstreamServer};

use lagoonshore_protocol::relay_messages::{RelayReply, RelayRequest, RelayResult};
use lagoonshore_settings::RelaySettings;
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

/// `AttemptSender` sends attempts, and records their latencies.
pub(crate) struct AttemptSender {
    peer_address: Cell<SocketAddr>,
    directory: Rc<FleetDirectory>,
    peers: Rc<PeerTable>,
    links: Rc<PeerLinks>,
    server: Rc<UpstreamServer>,
    lookup: SuspectLookup,
    latencies: LatencyTable,
}

impl AttemptSender {
    pub(crate) fn new(
        settings: &RelaySettings,
        directory: Rc<FleetDirectory>,
        peers: Rc<PeerTable>,
        links: Rc<PeerLinks>,
        server: Rc<UpstreamServer>,
        lookup: SuspectLookup,
    ) -> Self {
        Self {
            peer_address: Cell::new(settings.listen.peers),
            directory,
            peers,
            links,
            server,
            lookup,
            latencies: LatencyTable::default(),
        }
    }

    /// Sets the address on which the node itself listens for peers.
    pub(crate) fn set_peer_address(&self, address: SocketAddr) {
        self.peer_address.set(address);
    }

    /// Address on which the node itself listens for peers.
    pub(crate) const fn peer_address(&self) -> SocketAddr {
        self.peer_address.get()
    }

    /// Drops the latencies of routes that are no longer in force.
    pub(crate) fn retain_routes(&self, is_in_force: impl Fn(&str) -> bool) {
        self.latencies.retain(is_in_force);
    }

    /// Sends an attempt to `target` and waits for the reply.
    ///
    /// # Errors
    /// [`LinkError`] if no reply arrives.
    pub(crate) async fn send(
        &self,
        request: &RoutedRequest,
        progress: &mut CallProgress,
        target: &PeerTarget,
        has_others: bool,
    ) -> Result<RelayReply, LinkError> {
        let message = self.message(request, progress, target, has_others);
        let median_latency = self.latencies.median(&request.route.name);
        let record = AttemptRecord::start(&self.peers, target, message.route, median_latency);
        let reply = if target.address == self.peer_address.get() {
            progress.stage = AttemptStage::Sent;
            Ok(self.server.serve(message, request.deadline).await)
        } else {
            self.send_to_peer(target.address, message, request, progress)
                .await
        };
        let elapsed = record.finish(&reply);
        if let Some(reason) = target.leave_reason {
            relay_metrics::count_left_zone(reason, body_bytes(request, &reply));
        }
        if let Ok(reply) = &reply {
            self.record_reply(request, reply, elapsed);
        }
        reply
    }

    /// Builds the message, with what the node knows that the node beside `target` may not know.
    fn message(
        &self,
        request: &RoutedRequest,
        progress: &CallProgress,
        target: &PeerTarget,
        has_others: bool,
    ) -> RelayRequest {
        let origin = self.lookup.origin();
        let message = request_message::build_request(request, progress, target, origin, has_others);
        RelayRequest {
            revision: self.directory.versions().known_revision(),
            departed: self.peers.departed_run(target.address),
            limit: self.peers.limit(target.address),
            crashes: self.lookup.crashes(request),
            ..message
        }
    }

    fn record_reply(&self, request: &RoutedRequest, reply: &RelayReply, elapsed: Duration) {
        if let Some(report) = &reply.suspect {
            self.lookup.merge(report);
        }
        if matches!(reply.result, RelayResult::Answered(_)) {
            self.latencies.record(&request.route.name, elapsed);
        }
    }

    async fn send_to_peer(
        &self,
        address: SocketAddr,
        message: RelayRequest,
        request: &RoutedRequest,
        progress: &mut CallProgress,
    ) -> Result<RelayReply, LinkError> {
        let may_run_twice = request.route.is_idempotent;
        let link = self.links.usable_link(address, may_run_twice).await?;
        progress.stage = AttemptStage::Sent;
        self.links
            .relay(&link, message, request.deadline, may_run_twice)
            .await
    }
}

/// Bytes of the bodies that an attempt and its reply carried.
fn body_bytes(request: &RoutedRequest, reply: &Result<RelayReply, LinkError>) -> usize {
    let sent = request.body.len();
    let Ok(reply) = reply else { return sent };
    match &reply.result {
        RelayResult::Answered(response) => sent + response.body.len(),
        RelayResult::Refused(_) => sent,
    }
}
