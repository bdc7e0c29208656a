//! The requests that the upstream is serving, by the id that it echoes on its outbound calls.

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

/// `ServedCall` is the state of a request that its child calls inherit or share.
#[derive(Clone, Debug)]
pub struct ServedCall {
    /// Importance assigned by the entry node.
    pub importance: RequestImportance,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Instant,
    /// Hash of the client account, assigned by the entry node.
    pub caller: CallerHash,
    /// Remaining retry tokens, which the retries of child calls spend.
    pub retry_tokens: SharedTokens,
    /// Idempotency key of the request, if it has one.
    pub key: Option<CompactString>,
    /// Number of child calls made.
    pub child_calls: u32,
    /// Child calls made, to detect retries that the upstream makes itself.
    pub retry_detector: RetryDetector,
    /// Class of the request in the policy of the service.
    pub class: ClassName,
    /// Measures the time spent in child calls.
    pub child_timer: ChildTimer,
}

/// `CallTable` holds the requests that the upstream is serving.
#[derive(Debug, Default)]
pub struct CallTable {
    calls: BTreeMap<CallId, ServedCall>,
    last_id: CallId,
}

impl CallTable {
    /// Adds a request and returns its id, which is never reused.
    pub fn open(&mut self, call: ServedCall) -> CallId {
        self.last_id += 1;
        self.calls.insert(self.last_id, call);
        self.last_id
    }

    /// Removes a request and returns its unspent retry tokens; zero if `id` is not being served.
    pub fn close(&mut self, id: CallId) -> TokenCount {
        let call = self.calls.remove(&id);
        call.map_or(TokenCount(0), |call| call.retry_tokens.close())
    }

    /// Returns the request with `id` if it is being served.
    #[must_use]
    pub fn get(&self, id: CallId) -> Option<&ServedCall> {
        self.calls.get(&id)
    }

    /// Returns the request with `id` for modification if it is being served.
    pub fn get_mut(&mut self, id: CallId) -> Option<&mut ServedCall> {
        self.calls.get_mut(&id)
    }

    /// Number of requests that are being served.
    #[must_use]
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns whether no request is being served.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }
}
