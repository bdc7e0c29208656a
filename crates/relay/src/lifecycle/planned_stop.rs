//! Graceful shutdown: the readiness check fails, connections are closed after their responses,
//! requests in progress are finished, those that do not finish in time are answered, and then the
//! process exits.

use super::ready_listener::ReadyListener;

use crate::{
    active_count::ActiveCount, caller_listener::CallerListener, events,
    http1::request_handler::ServerPhase, serving::upstream_server::UpstreamServer,
};

use lagoonshore_coordination::forwarding::stop_schedule::StopSchedule;
use std::{marker::PhantomData, rc::Rc, time::Duration};
use tokio::time::Instant;
use tracing::info;

/// Failed readiness checks after which callers send no new requests.
const FAILED_CHECKS_MIN: u32 = 2;
/// Time from the last of these checks until callers have moved to other nodes.
const CALLER_MOVE_TIME: Duration = Duration::from_millis(100);
/// Time in which other nodes learn that the node is draining. The upstream keeps serving them
/// until then, because refusing them earlier would only move that load to other upstreams.
const PEER_NOTICE_TIME: Duration = Duration::from_millis(250);
/// Interval at which the requests in progress are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the last responses to be written to their sockets.
const FLUSH_TIME: Duration = Duration::from_millis(50);

/// `StopParts` are the parts of a node that take part in its stop.
#[derive(Clone)]
pub struct StopParts {
    /// Listener for callers, with the forwarding side.
    pub callers: Rc<CallerListener>,
    /// Open connections of callers.
    pub caller_connections: ActiveCount,
    /// Runs requests on the local upstream.
    pub server: Rc<UpstreamServer>,
    /// Listener for readiness checks.
    pub ready: Rc<ReadyListener>,
}

/// Callers are moving to other nodes, and are still served.
pub struct LeavingCallers;
/// Other nodes are told, and the requests in progress are finished.
pub struct FinishingRequests;
/// Nothing new is accepted.
pub struct RefusingRequests;

/// `PlannedStop` is a stop in progress; its step says what the node still does.
pub struct PlannedStop<Step> {
    parts: StopParts,
    schedule: StopSchedule,
    started: Instant,
    step: PhantomData<Step>,
}

/// Drains a node within `grace`; returns when the process may exit.
pub async fn run(parts: StopParts, grace: Duration) {
    let stop = PlannedStop::start(parts, grace);
    let stop = stop.wait_for_callers().await;
    let stop = stop.finish_requests().await;
    stop.answer_unfinished().await;
}

impl PlannedStop<LeavingCallers> {
    /// Starts the stop: the readiness check fails from now on.
    #[must_use]
    pub fn start(parts: StopParts, grace: Duration) -> Self {
        info!(
            event = events::RELAY_STOPPING,
            calls = parts.callers.forwarder().running(),
            served = parts.server.running(),
            "relay: stopping"
        );
        parts.ready.start_draining();
        parts.callers.set_phase(ServerPhase::Closing);
        Self {
            parts,
            schedule: StopSchedule::new(grace),
            started: Instant::now(),
            step: PhantomData,
        }
    }

    /// Waits until callers have noticed that the node is not ready.
    pub async fn wait_for_callers(self) -> PlannedStop<FinishingRequests> {
        let notice_end = self.started + self.schedule.notice_end;
        while Instant::now() < notice_end && self.parts.ready.refusals() < FAILED_CHECKS_MIN {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        self.wait_while_serving(CALLER_MOVE_TIME).await;
        self.next_step()
    }
}

impl PlannedStop<FinishingRequests> {
    /// Waits until no request is in progress, or until it is time to answer those that are. New
    /// requests are served while they can be finished, because some callers find no other node.
    pub async fn finish_requests(self) -> PlannedStop<RefusingRequests> {
        self.parts.callers.set_phase(ServerPhase::ClosingIdle);
        self.parts.server.start_draining();
        self.wait_while_serving(PEER_NOTICE_TIME).await;
        self.wait_until_idle(self.started + self.schedule.refuse_at)
            .await;
        self.refuse_requests();
        self.wait_until_idle(self.started + self.schedule.answer_at)
            .await;
        self.next_step()
    }
}

impl PlannedStop<RefusingRequests> {
    /// Answers the requests that are still in progress, closes the listener and waits until the
    /// responses are written.
    pub async fn answer_unfinished(self) {
        self.parts.callers.set_phase(ServerPhase::Closed);
        actix_rt::time::sleep(FLUSH_TIME).await;
        // Requests on connections that were accepted last may still be in progress.
        self.wait_until_idle(self.started + self.schedule.answer_at)
            .await;
        let unfinished = self.parts.callers.forwarder().running() + self.parts.server.running();
        // The upstream's side goes first: what it knows of a request makes the answer more exact.
        self.parts.server.cut_off();
        tokio::task::yield_now().await;
        self.parts.callers.forwarder().cut_off();
        self.wait_until_idle(self.started + self.schedule.end_at)
            .await;
        info!(
            event = events::RELAY_STOPPED,
            is_finished = unfinished == 0 && self.is_idle(),
            unfinished,
            calls = self.parts.callers.forwarder().running(),
            served = self.parts.server.running(),
            "relay: stopped"
        );
    }
}

impl<Step> PlannedStop<Step> {
    fn next_step<Next>(self) -> PlannedStop<Next> {
        PlannedStop {
            parts: self.parts,
            schedule: self.schedule,
            started: self.started,
            step: PhantomData,
        }
    }

    fn refuse_requests(&self) {
        self.parts.callers.start_refusing();
        self.parts.server.start_refusing();
    }

    /// Waits for `duration`, until new requests have to be refused at most.
    async fn wait_while_serving(&self, duration: Duration) {
        let refuse_at = self.started + self.schedule.refuse_at;
        tokio::time::sleep_until(refuse_at.min(Instant::now() + duration)).await;
    }

    /// Waits until no request is in progress and no connection is open, until `latest` at most.
    async fn wait_until_idle(&self, latest: Instant) {
        while Instant::now() < latest && !self.is_idle() {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn is_idle(&self) -> bool {
        let has_callers = self.parts.caller_connections.get() > 0;
        let calls = self.parts.callers.forwarder().running();
        !has_callers && calls == 0 && self.parts.server.running() == 0
    }
}
