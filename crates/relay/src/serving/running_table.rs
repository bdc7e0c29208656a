//! Requests that the local upstream is running. A call that the upstream makes is matched to its
//! parent here, so that it is distinguished from a new request and inherits the parent's
//! importance and retry state.

use compact_str::CompactString;
use lagoonshore_protocol::relay_messages::CallFailure;
use lagoonshore_state::{ids::AccountName, units::RequestImportance};
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

/// `RunningRequest` holds what the calls of a running request inherit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunningRequest {
    /// Importance of the first request of the chain.
    pub importance: RequestImportance,
    /// Client account of that request, if it has one.
    pub account: Option<AccountName>,
    /// Whether the request is a retry, or a call of a run that is one.
    pub is_retry: bool,
    /// Calls that it is expected to make in total, nested ones included; `None` if unknown.
    pub calls_expected: Option<u32>,
    /// Calls that the chain is expected to make after this request.
    pub calls_after: u32,
    /// Totals of the calls that it made so far.
    pub nested_calls: CallTotals,
}

impl RunningRequest {
    /// Calls that the chain still has to make, the next one of this request included; `None` if
    /// unknown.
    #[must_use]
    pub fn calls_left(&self) -> Option<u32> {
        let expected = self.calls_expected?;
        let own = expected.saturating_sub(self.nested_calls.calls).max(1);
        Some(own.saturating_add(self.calls_after))
    }
}

/// `CallTotals` sums up the nested calls of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallTotals {
    /// Time that they waited for slots, their own nested calls included.
    pub wait: Duration,
    /// Number of calls, their own nested calls included.
    pub calls: u32,
    /// Worst failure of any of them.
    pub worst_failure: CallFailure,
}

impl CallTotals {
    /// Adds the totals of other calls.
    pub fn add(&mut self, other: Self) {
        self.wait += other.wait;
        self.calls += other.calls;
        self.worst_failure = self.worst_failure.max(other.worst_failure);
    }
}

/// `RunningTable` holds the requests that the upstream is running, by id.
#[derive(Debug, Default)]
pub struct RunningTable {
    requests: RefCell<HashMap<CompactString, RunningRequest>>,
}

impl RunningTable {
    /// Adds a request, which stays in the table until its entry is finished or dropped.
    #[must_use]
    pub fn insert(self: &Rc<Self>, id: &CompactString, request: RunningRequest) -> RunningEntry {
        self.requests.borrow_mut().insert(id.clone(), request);
        RunningEntry {
            table: Rc::clone(self),
            id: id.clone(),
        }
    }

    /// Running request that made the call with this `id`; `None` if there is none. The id of a call
    /// is the id of its parent, `separator` and a suffix.
    #[must_use]
    pub fn parent_of(&self, id: &str, separator: char) -> Option<RunningRequest> {
        let (parent, _) = id.rsplit_once(separator)?;
        self.requests.borrow().get(parent).cloned()
    }

    /// Adds a finished call, with the totals of its own nested calls, to the request that made it.
    pub fn record_call(&self, id: &str, separator: char, call: CallTotals) {
        let Some((parent, _)) = id.rsplit_once(separator) else {
            return;
        };
        if let Some(request) = self.requests.borrow_mut().get_mut(parent) {
            request.nested_calls.add(call);
            request.nested_calls.calls += 1;
        }
    }
}

/// `RunningEntry` keeps a request in its table until it is dropped.
#[derive(Debug)]
pub struct RunningEntry {
    table: Rc<RunningTable>,
    id: CompactString,
}

impl RunningEntry {
    /// Removes the request and returns the totals of its calls.
    #[must_use]
    pub fn finish(self) -> CallTotals {
        let requests = self.table.requests.borrow();
        requests
            .get(&self.id)
            .map_or_else(CallTotals::default, |request| request.nested_calls)
    }
}

impl Drop for RunningEntry {
    fn drop(&mut self) {
        self.table.requests.borrow_mut().remove(&self.id);
    }
}
