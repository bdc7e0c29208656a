//! Reporting of one attempt to the peer table, by which peers are selected.

use super::{
    peer_links::LinkError,
    peer_table::{PeerTable, PeerTarget},
};

use lagoonshore_coordination::{
    forwarding::slot_queue::RouteId,
    request::{outcome::CallOutcome, request_lifecycle::CallRefusal},
};
use lagoonshore_protocol::relay_messages::{DeliveryStatus, RelayReply, RelayResult};
use lagoonshore_state::instance_table::InstanceKey;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// `AttemptRecord` reports the result of an attempt to the peer table. Dropping it unfinished
/// reports a cancelled attempt.
pub(crate) struct AttemptRecord<'a> {
    peers: &'a PeerTable,
    key: InstanceKey,
    address: SocketAddr,
    route: RouteId,
    median_latency: Option<Duration>,
    started: Instant,
    is_finished: bool,
}

impl<'a> AttemptRecord<'a> {
    pub(crate) fn start(
        peers: &'a PeerTable,
        target: &PeerTarget,
        route: RouteId,
        median_latency: Option<Duration>,
    ) -> Self {
        peers.record_start(target.key);
        Self {
            peers,
            key: target.key,
            address: target.address,
            route,
            median_latency,
            started: Instant::now(),
            is_finished: false,
        }
    }

    pub(crate) fn finish(mut self, reply: &Result<RelayReply, LinkError>) -> Duration {
        self.is_finished = true;
        let elapsed = self.started.elapsed();
        let reply = match reply {
            Ok(reply) => reply,
            Err(LinkError::Connect) => {
                self.peers.record_unreachable(self.key);
                return elapsed;
            }
            Err(LinkError::Lost | LinkError::TimedOut) => {
                self.peers.record_failure(self.key);
                return elapsed;
            }
        };
        self.peers
            .record_times(self.key, self.route, reply, elapsed);
        if let Some(run) = &reply.departed {
            self.peers.record_departure(self.address, run);
        }
        self.peers.record_limit(self.address, reply.limit.as_ref());
        match &reply.result {
            // If the run made calls, one of them may have caused the failure.
            RelayResult::Answered(response) if response.is_failure() && reply.calls == 0 => {
                self.peers.record_error_response(self.key);
            }
            RelayResult::Answered(_) => {
                let typical = self.median_latency.unwrap_or(elapsed);
                self.peers.record_response(self.key, elapsed, typical);
            }
            RelayResult::Refused(refusal) => {
                let outcome = match refusal.reach {
                    DeliveryStatus::Unknown => CallOutcome::Unknown,
                    _ => CallOutcome::NotRun,
                };
                let reason = refusal.reason;
                self.peers
                    .record_refusal(self.key, CallRefusal { outcome, reason });
            }
        }
        // The status counts this call no more.
        self.peers
            .record_status(self.key, self.address, reply.status);
        elapsed
    }
}

impl Drop for AttemptRecord<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            let elapsed = self.started.elapsed();
            let typical = self.median_latency.unwrap_or(elapsed);
            self.peers.record_abandoned(self.key, elapsed, typical);
        }
    }
}
