//! Bindings of non-idempotent calls to the instance that they were first sent to. A call is sent to
//! no other instance while it may have run.

use crate::at_most_once::execution_ledger::KEY_RETENTION_TIME;

use lagoonshore_state::{ids::IncarnationId, instance_table::InstanceKey};

use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Maximum number of bindings.
const BINDINGS_MAX: usize = 200_000;
/// Minimum interval between two removals of expired bindings.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// `CallExecutor` is the incarnation of an instance that a call is bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallExecutor {
    /// Key of the instance in the instance table.
    pub instance: InstanceKey,
    /// Incarnation of the instance.
    pub incarnation: IncarnationId,
}

/// `AttemptResult` says whether one attempt of a call may have run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// This attempt did not run the call.
    NotRun,
    /// This attempt ran the call or may have run it.
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
struct ExecutorBinding {
    executor: CallExecutor,
    open_attempts: u32,
    may_have_run: bool,
    expiry: Instant,
}

/// `ExecutorBindings` holds the executors of the non-idempotent calls that one node makes.
#[derive(Debug, Default)]
pub struct ExecutorBindings {
    bindings: BTreeMap<CompactString, ExecutorBinding>,
    next_sweep: Option<Instant>,
}

impl ExecutorBindings {
    /// Executor of the call with `key`, if it is bound.
    #[must_use]
    pub fn executor(&self, key: &str) -> Option<CallExecutor> {
        self.bindings.get(key).map(|binding| binding.executor)
    }

    /// Counts an attempt of the call with `key` and returns its executor: the one that it is bound
    /// to, else `candidate`, to which it is bound now. `None` if the table is full.
    pub fn bind(
        &mut self,
        now: Instant,
        key: &str,
        candidate: CallExecutor,
    ) -> Option<CallExecutor> {
        if let Some(binding) = self.bindings.get_mut(key) {
            binding.open_attempts += 1;
            return Some(binding.executor);
        }
        self.expire(now);
        if self.bindings.len() >= BINDINGS_MAX {
            return None;
        }
        let binding = ExecutorBinding {
            executor: candidate,
            open_attempts: 1,
            may_have_run: false,
            expiry: now + KEY_RETENTION_TIME,
        };
        self.bindings.insert(key.into(), binding);
        Some(candidate)
    }

    /// Ends one attempt; returns `true` if the call is known not to have run, so that it may be
    /// sent to another instance.
    pub fn end_attempt(&mut self, key: &str, end: AttemptResult) -> bool {
        let Some(binding) = self.bindings.get_mut(key) else {
            return false;
        };
        binding.open_attempts -= 1;
        binding.may_have_run |= end == AttemptResult::MayHaveRun;
        let is_free = binding.open_attempts == 0 && !binding.may_have_run;
        if is_free {
            self.bindings.remove(key);
        }
        is_free
    }

    /// Number of bindings held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bindings.len()
    }

    /// Returns whether no call is bound.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bindings.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        if self.next_sweep.is_some_and(|sweep| now < sweep) {
            return;
        }
        self.next_sweep = Some(now + SWEEP_INTERVAL);
        self.bindings
            .retain(|_, binding| binding.open_attempts > 0 || binding.expiry > now);
    }
}
