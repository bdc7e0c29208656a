//! A request on its way, and what becomes of it.

use crate::serving::running_table::RunningRequest;

use bytes::Bytes;
use compact_str::CompactString;
use lagoonshore_coordination::request::outcome::RefusalReason;
use lagoonshore_protocol::relay_messages::RelayResponse;
use lagoonshore_state::{route_table::RouteEntry, units::RequestImportance};
use std::{rc::Rc, time::Duration};
use tokio::time::Instant;

/// `RoutedRequest` is a request whose route is known.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// Id that the caller gave it.
    pub id: CompactString,
    /// Its route.
    pub route: Rc<RouteEntry>,
    /// Version of the document that the route stems from.
    pub version: u64,
    /// HTTP method.
    pub method: CompactString,
    /// Path with query.
    pub target: CompactString,
    /// Header fields to pass on.
    pub fields: Bytes,
    /// Body.
    pub body: Bytes,
    /// The request that it is made for, if the upstream on the own instance makes it.
    pub parent: Option<RunningRequest>,
    /// Time that its caller had spent on it before: earlier tries, and waits between them.
    pub spent: Duration,
    /// Time at which it was received.
    pub received: Instant,
    /// Time after which an answer is of no use.
    pub deadline: Instant,
}

/// `ForwardOutcome` is what became of a request.
#[derive(Clone, Debug)]
pub enum ForwardOutcome {
    /// An upstream answered.
    Answered(RelayResponse),
    /// It did not run and will not; the caller may come back after a time.
    NotRun(RefusalReason, Option<Duration>),
    /// It may have run.
    Unknown(RefusalReason),
}

impl RoutedRequest {
    /// Importance of the first request of the chain.
    #[must_use]
    pub fn importance(&self) -> RequestImportance {
        let inherited = self.parent.map(|parent| parent.importance);
        inherited.unwrap_or(self.route.importance)
    }
}
