//! Detects requests whose callers disconnect before the response.

use super::routed_request::RoutedRequest;

use crate::{
    active_count::{ActiveCount, ActiveGuard},
    decision_log::DecisionLog,
};

use compact_str::CompactString;
use lagoonshore_state::route_table::RouteEntry;
use std::rc::Rc;
use tokio::time::Instant;

/// `CancellationGuard` counts a request as in flight and logs a cancellation if it is dropped
/// before [`Self::mark_finished`]: the future of a request is dropped when its caller disconnects.
pub(crate) struct CancellationGuard<'a> {
    log: &'a DecisionLog,
    id: CompactString,
    route: Rc<RouteEntry>,
    received: Instant,
    is_finished: bool,
    _running: ActiveGuard,
}

impl<'a> CancellationGuard<'a> {
    pub(crate) fn new(
        log: &'a DecisionLog,
        running: &ActiveCount,
        request: &RoutedRequest,
    ) -> Self {
        Self {
            log,
            id: request.id.clone(),
            route: Rc::clone(&request.route),
            received: request.received,
            is_finished: false,
            _running: ActiveGuard::new(running),
        }
    }

    /// Marks the request as ended, so that dropping the guard logs nothing.
    pub(crate) const fn mark_finished(&mut self) {
        self.is_finished = true;
    }
}

impl Drop for CancellationGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            let elapsed = self.received.elapsed();
            self.log
                .log_caller_left(&self.id, &self.route.name, elapsed);
        }
    }
}
