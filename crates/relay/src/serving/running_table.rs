//! Requests that the own upstream is running, so that the calls which it makes for them can be told
//! from new requests and inherit what matters.

use compact_str::CompactString;
use lagoonshore_protocol::relay_messages::CallFailure;
use lagoonshore_state::units::RequestImportance;
use std::{cell::RefCell, collections::HashMap, rc::Rc, time::Duration};

/// `RunningRequest` is what the calls of a request inherit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunningRequest {
    /// Importance of the first request of the chain.
    pub importance: RequestImportance,
    /// Whether the run is a repeat, or made for one.
    pub is_repeat: bool,
    /// What its calls came to so far.
    pub below: CallSum,
}

/// `CallSum` sums up the calls of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallSum {
    /// Time that they waited for slots, here and below.
    pub wait: Duration,
    /// Their number, here and below.
    pub calls: u32,
    /// The worst that befell one of them.
    pub trouble: CallFailure,
}

impl CallSum {
    /// Adds what other calls came to.
    pub fn add(&mut self, other: Self) {
        self.wait += other.wait;
        self.calls += other.calls;
        self.trouble = self.trouble.max(other.trouble);
    }
}

/// `RunningTable` holds the requests that the upstream is running, by their ids.
#[derive(Debug, Default)]
pub struct RunningTable {
    requests: RefCell<HashMap<CompactString, RunningRequest>>,
}

impl RunningTable {
    /// Holds a request until the entry is closed or dropped.
    #[must_use]
    pub fn open(self: &Rc<Self>, id: &CompactString, request: RunningRequest) -> RunningEntry {
        self.requests.borrow_mut().insert(id.clone(), request);
        RunningEntry {
            table: Rc::clone(self),
            id: id.clone(),
        }
    }

    /// The request that a call with `id` is made for, if the upstream is running it.
    #[must_use]
    pub fn parent_of(&self, id: &str, separator: char) -> Option<RunningRequest> {
        let (parent, _) = id.rsplit_once(separator)?;
        self.requests.borrow().get(parent).copied()
    }

    /// Adds what a call came to, with the calls of its own run, to the request that it was made
    /// for.
    pub fn note_call(&self, id: &str, separator: char, call: CallSum) {
        let Some((parent, _)) = id.rsplit_once(separator) else {
            return;
        };
        if let Some(request) = self.requests.borrow_mut().get_mut(parent) {
            request.below.add(call);
            request.below.calls += 1;
        }
    }
}

/// `RunningEntry` keeps a request in its table.
#[derive(Debug)]
pub struct RunningEntry {
    table: Rc<RunningTable>,
    id: CompactString,
}

impl RunningEntry {
    /// Takes the request out; returns what its calls came to.
    #[must_use]
    pub fn close(self) -> CallSum {
        let requests = self.table.requests.borrow();
        requests
            .get(&self.id)
            .map_or_else(CallSum::default, |request| request.below)
    }
}

impl Drop for RunningEntry {
    fn drop(&mut self) {
        self.table.requests.borrow_mut().remove(&self.id);
    }
}
