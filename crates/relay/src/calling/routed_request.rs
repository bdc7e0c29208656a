//! A request with its route, and its outcome.

use crate::{serving::running_table::RunningRequest, stable_hash};

use bytes::Bytes;
use compact_str::CompactString;
use lagoonshore_coordination::{
    forwarding::slot_queue::RouteId, placing::urgency::RequestTime, request::outcome::RefusalReason,
};
use lagoonshore_protocol::relay_messages::RelayResponse;
use lagoonshore_state::{ids::AccountName, route_table::RouteEntry, units::RequestImportance};
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// `RoutedRequest` is a request whose route is known.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// Id given by the caller.
    pub id: CompactString,
    /// Route that matched the request.
    pub route: Rc<RouteEntry>,
    /// Version of the document that defines the route.
    pub version: u64,
    /// HTTP method.
    pub method: CompactString,
    /// Path with query, byte for byte.
    pub target: CompactString,
    /// Header fields to pass on, as received.
    pub fields: Bytes,
    /// Request body.
    pub body: Bytes,
    /// Client account of the request at the root of the call chain, if it has one.
    pub account: Option<AccountName>,
    /// Importance of that request.
    pub importance: RequestImportance,
    /// Running request that makes this call; `None` unless the local upstream makes it.
    pub parent: Option<RunningRequest>,
    /// Time that the caller spent on earlier attempts and the waits between them.
    pub spent: Duration,
    /// Time of receipt.
    pub received: Instant,
    /// Time after which a response is of no use.
    pub deadline: Instant,
}

/// `ForwardOutcome` is the outcome of a forwarded request.
#[derive(Clone, Debug)]
pub enum ForwardOutcome {
    /// An upstream responded.
    Answered(RelayResponse),
    /// The request did not run and will not; with the time after which the caller may retry, if a
    /// retry can help.
    NotRun(RefusalReason, Option<Duration>),
    /// The request may have run.
    Unknown(RefusalReason),
}

impl ForwardOutcome {
    /// Name of the outcome in metrics.
    #[must_use]
    pub const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(..) => "refused",
            Self::Unknown(_) => "unknown",
        }
    }
}

impl RoutedRequest {
    /// Id of the route, the same at all nodes.
    #[must_use]
    pub fn route_id(&self) -> RouteId {
        route_id(&self.route.name)
    }

    /// Returns whether a retried request makes this call.
    #[must_use]
    pub fn has_retried_parent(&self) -> bool {
        let parent = self.parent.as_ref();
        parent.is_some_and(|parent| parent.is_retry)
    }

    /// Time left of the route's target latency.
    #[must_use]
    pub fn aim_left(&self) -> Duration {
        let elapsed = self.spent + self.received.elapsed();
        self.route.aim.saturating_sub(elapsed)
    }

    /// Time that the request has, by which an instance is chosen for it.
    #[must_use]
    pub fn time(&self) -> RequestTime {
        let until_deadline = self.deadline.saturating_duration_since(Instant::now());
        RequestTime {
            left: self.aim_left().min(until_deadline),
            may_run_once: !self.route.is_idempotent,
            is_nested: self.parent.is_some(),
        }
    }
}

/// Returns the id of a route, the same at all nodes.
#[must_use]
pub fn route_id(name: &str) -> RouteId {
    stable_hash::hash_name(name)
}
