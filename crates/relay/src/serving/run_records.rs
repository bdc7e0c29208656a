//! Records of the requests that the local upstream runs, and of what their calls needed.

use super::{
    route_gate::{RouteGate, RunSummary},
    running_table::{CallTotals, RunningEntry, RunningRequest, RunningTable},
};

use lagoonshore_coordination::forwarding::call_needs::CallNeeds;
use lagoonshore_protocol::relay_messages::{CallFailure, RelayRequest, RelayResult};
use std::{cell::RefCell, rc::Rc};

/// `RunRecords` follows the runs of requests.
pub(crate) struct RunRecords {
    running_table: Rc<RunningTable>,
    call_needs: RefCell<CallNeeds>,
    route_gate: Rc<RouteGate>,
}

/// `StartedRun` is a request that the upstream is running.
pub(crate) struct StartedRun<'a> {
    records: &'a RunRecords,
    summary: RunSummary,
    entry: RunningEntry,
}

impl StartedRun<'_> {
    /// Records the end of the run and returns the totals of its calls.
    pub(crate) fn finish(self, result: &RelayResult) -> CallTotals {
        let nested_calls = self.entry.finish();
        self.records
            .record_need(&self.summary, nested_calls, result);
        let route_gate = &self.records.route_gate;
        route_gate.record_run(&self.summary, nested_calls, result);
        nested_calls
    }
}

impl RunRecords {
    pub(crate) fn new(route_gate: Rc<RouteGate>) -> Self {
        Self {
            running_table: Rc::default(),
            call_needs: RefCell::default(),
            route_gate,
        }
    }

    /// Requests that the upstream is running.
    pub(crate) const fn running_table(&self) -> &Rc<RunningTable> {
        &self.running_table
    }

    /// Records the start of a run.
    pub(crate) fn start(&self, request: &RelayRequest) -> StartedRun<'_> {
        let running = self.running_request(request);
        StartedRun {
            records: self,
            summary: RunSummary::of(request),
            entry: self.running_table.insert(&request.id, running),
        }
    }

    fn running_request(&self, request: &RelayRequest) -> RunningRequest {
        let calls_expected = self.call_needs.borrow().expected_calls(request.route);
        let own_calls = calls_expected.unwrap_or_default();
        let calls_left = request.calls_left.unwrap_or_default();
        RunningRequest {
            importance: request.importance,
            account: request.account.clone(),
            is_retry: request.is_repeat,
            calls_expected,
            calls_after: calls_left.saturating_sub(own_calls.saturating_add(1)),
            nested_calls: CallTotals::default(),
        }
    }

    /// Learns how many calls a route needs from a run that was served completely.
    fn record_need(&self, summary: &RunSummary, nested_calls: CallTotals, result: &RelayResult) {
        let is_complete = match result {
            RelayResult::Answered(response) => !response.is_failure(),
            RelayResult::Refused(_) => false,
        };
        if is_complete && nested_calls.worst_failure == CallFailure::None {
            let mut call_needs = self.call_needs.borrow_mut();
            call_needs.record_run(summary.route(), nested_calls.calls);
        }
    }
}
