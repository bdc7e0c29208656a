//! The requests that the upstream is serving, by the id that it echoes on the calls it makes.

use crate::{
    at_most_once::child_timer::ChildTimer,
    retries::{SharedTokens, retry_detector::RetryDetector},
};

use compact_str::CompactString;
use lagoonshore_state::{
    ids::{CallId, CallerHash, ClassName},
    units::{RequestImportance, TokenCount},
};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// `ServedCall` is what child calls inherit from the request that they are made for.
#[derive(Clone, Debug)]
pub struct ServedCall {
    /// Importance given at the entry.
    pub importance: RequestImportance,
    /// Time after which the answer is of no use.
    pub deadline: Instant,
    /// Caller at the entry.
    pub caller: CallerHash,
    /// Retry tokens left, which its child calls take from.
    pub retry_tokens: SharedTokens,
    /// Idempotency key of the request.
    pub key: Option<CompactString>,
    /// Child calls made so far.
    pub child_calls: u32,
    /// Calls made so far, to recognise repeats that the upstream makes itself.
    pub retries: RetryDetector,
    /// Class of the request.
    pub class: ClassName,
    /// Time spent in child calls.
    pub child_timer: ChildTimer,
}

/// `CallTable` holds the requests that the upstream is serving.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: BTreeMap<CallId, ServedCall>,
    next: CallId,
}

impl CallTable {
    /// Adds a request and returns its id.
    pub fn open(&mut self, call: ServedCall) -> CallId {
        self.next += 1;
        self.calls.insert(self.next, call);
        self.next
    }

    /// Removes a request; returns the tokens that it did not spend.
    pub fn close(&mut self, id: CallId) -> TokenCount {
        let call = self.calls.remove(&id);
        call.map_or(TokenCount(0), |call| call.retry_tokens.close())
    }

    /// The request with `id`, to read.
    #[must_use]
    pub fn get(&self, id: CallId) -> Option<&ServedCall> {
        self.calls.get(&id)
    }

    /// The request with `id`, while it is being served.
    pub fn get_mut(&mut self, id: CallId) -> Option<&mut ServedCall> {
        self.calls.get_mut(&id)
    }

    /// Number of requests being served.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Tells whether nothing is being served.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
