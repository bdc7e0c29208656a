//! What the local upstream says of itself in its responses: that it is leaving, and the limit on the
//! rate of its requests.
//!
//! Senders remember it too and send it back with their requests, for a node that has restarted.

use super::slot_limiter::SlotLimiter;

use crate::{directory::FleetDirectory, events, http1::head::ResponseHead};

use lagoonshore_coordination::forwarding::rate_limiter::LimitNotice;
use lagoonshore_protocol::relay_messages::RelayRequest;
use lagoonshore_state::{
    ids::InstanceName,
    upstream_list::{UpstreamLimit, UpstreamRun},
};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;
use tracing::{info, warn};

/// Shortest time between two log lines about the limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// `UpstreamAnnouncements` records what the upstream says of itself.
#[derive(Debug)]
pub(crate) struct UpstreamAnnouncements {
    directory: Rc<FleetDirectory>,
    limiter: SlotLimiter,
    /// Latest upstream at the address that announced its departure.
    departed: RefCell<Option<InstanceName>>,
    logged_at: Cell<Option<Instant>>,
}

impl UpstreamAnnouncements {
    pub(crate) fn new(directory: Rc<FleetDirectory>, limiter: SlotLimiter) -> Self {
        Self {
            directory,
            limiter,
            departed: RefCell::default(),
            logged_at: Cell::default(),
        }
    }

    /// Records what a response of the upstream `name` says.
    pub(crate) fn record_response(&self, head: &ResponseHead, name: &InstanceName) {
        if head.is_leaving {
            self.record_departure(name);
        }
        // The fields of a broken response may be missing.
        let is_genuine = head.is_signed || head.is_not_run || head.instance.is_some();
        if is_genuine || head.limit != LimitNotice::Absent {
            self.record_limit(head, name);
        }
    }

    /// Records what a sender remembers of earlier responses.
    pub(crate) fn record_request(&self, request: &RelayRequest) {
        if let Some(run) = &request.departed {
            self.record_departed_run(run);
        }
        if let Some(limit) = &request.limit
            && self.limiter.adopt_limit(limit)
        {
            self.log_limit("sender");
        }
    }

    /// Latest run at the address that announced its departure.
    pub(crate) fn departed_run(&self) -> Option<UpstreamRun> {
        let departed = self.departed.borrow();
        self.directory.upstreams().announced_run(departed.as_ref()?)
    }

    /// Limit on the rate that the upstream named.
    pub(crate) fn limit(&self) -> Option<UpstreamLimit> {
        self.limiter.rate_limit()
    }

    fn record_departure(&self, name: &InstanceName) {
        let started_ms = self
            .directory
            .upstreams()
            .get(name)
            .and_then(|record| record.started_ms);
        self.record_departed_run(&UpstreamRun {
            name: name.clone(),
            started_ms,
        });
    }

    fn record_departed_run(&self, run: &UpstreamRun) {
        self.directory.announce_departure(run);
        self.departed.replace(Some(run.name.clone()));
    }

    fn record_limit(&self, head: &ResponseHead, name: &InstanceName) {
        let was_limited = self.limiter.rate_limit().is_some();
        if head.limit == LimitNotice::Invalid && self.is_log_due() {
            warn!(
                event = events::LIMIT_INVALID,
                instance = %name,
                "upstream: names a limit that is not a valid number"
            );
        }
        let is_changed = self.limiter.observe_limit(head.received, name, head.limit);
        let is_limited = self.limiter.rate_limit().is_some();
        if is_changed && (was_limited != is_limited || self.is_log_due()) {
            self.log_limit("response");
        }
    }

    /// Returns whether the last log line is long enough ago; if so, another one is written now.
    fn is_log_due(&self) -> bool {
        let now = Instant::now();
        let logged_at = self.logged_at.get();
        if logged_at.is_some_and(|logged_at| now < logged_at + LOG_INTERVAL) {
            return false;
        }
        self.logged_at.set(Some(now));
        true
    }

    fn log_limit(&self, source: &str) {
        if let Some(limit) = self.limiter.rate_limit() {
            info!(
                event = events::LIMIT_CHANGED,
                instance = %limit.name,
                rate = limit.rate,
                source,
                "upstream: limits the rate of requests"
            );
        } else {
            let usage = self.limiter.rate_usage();
            info!(
                event = events::LIMIT_ENDED,
                sent = usage.sent,
                allowed = usage.allowed,
                "upstream: no longer limits the rate of requests"
            );
        }
    }
}
