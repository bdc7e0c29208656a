//! Notes requests whose callers left before their end.

use super::routed_request::RoutedRequest;

use crate::{
    active_count::{ActiveCount, ActiveGuard},
    decision_log::DecisionLog,
};

use compact_str::CompactString;
use lagoonshore_state::route_table::RouteEntry;
use std::rc::Rc;
use tokio::time::Instant;

/// `LeavingNote` counts a request while it is on its way; one whose future is dropped before its end
/// was left by its caller.
pub(crate) struct LeavingNote<'a> {
    log: &'a DecisionLog,
    id: CompactString,
    route: Rc<RouteEntry>,
    received: Instant,
    is_done: bool,
    _running: ActiveGuard,
}

impl<'a> LeavingNote<'a> {
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
            is_done: false,
            _running: ActiveGuard::new(running),
        }
    }

    /// Notes that the request came to its end.
    pub(crate) const fn done(&mut self) {
        self.is_done = true;
    }
}

impl Drop for LeavingNote<'_> {
    fn drop(&mut self) {
        if !self.is_done {
            let elapsed = self.received.elapsed();
            self.log
                .log_caller_left(&self.id, &self.route.name, elapsed);
        }
    }
}
