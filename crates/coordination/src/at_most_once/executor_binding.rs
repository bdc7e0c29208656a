//! Which instance a non-idempotent call was first sent to; it goes nowhere else in doubt.

use crate::at_most_once::execution_ledger::KEY_RECORD_TIME;

use lagoonshore_state::{ids::IncarnationId, instance_table::InstanceKey};

use compact_str::CompactString;
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Bindings held at most.
const BINDINGS_MAX: usize = 200_000;
/// Pause between two searches for bindings that are over.
const SWEEP_PAUSE: Duration = Duration::from_secs(10);

/// `CallExecutor` is one incarnation of one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallExecutor {
    /// The instance.
    pub instance: InstanceKey,
    /// Its incarnation.
    pub incarnation: IncarnationId,
}

/// `AttemptResult` is what one sending of a call proved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The call did not run through this sending.
    NotRun,
    /// The call ran or may have run.
    MayHaveRun,
}

#[derive(Clone, Copy, Debug)]
struct ExecutorBinding {
    executor: CallExecutor,
    sendings: u32,
    may_have_run: bool,
    expiry: Instant,
}

/// `ExecutorBindings` holds the executors of the non-idempotent calls of one node.
#[derive(Debug, Default)]
pub struct ExecutorBindings {
    bindings: BTreeMap<CompactString, ExecutorBinding>,
    next_sweep: Option<Instant>,
}

impl ExecutorBindings {
    /// Executor that the call with `key` is bound to.
    #[must_use]
    pub fn executor(&self, key: &str) -> Option<CallExecutor> {
        self.bindings.get(key).map(|binding| binding.executor)
    }

    /// Binds the call with `key` to `candidate` unless it is bound already, and counts a sending;
    /// `None` if there is no room.
    pub fn bind(
        &mut self,
        now: Instant,
        key: &str,
        candidate: CallExecutor,
    ) -> Option<CallExecutor> {
        if let Some(binding) = self.bindings.get_mut(key) {
            binding.sendings += 1;
            return Some(binding.executor);
        }
        self.expire(now);
        if self.bindings.len() >= BINDINGS_MAX {
            return None;
        }
        let binding = ExecutorBinding {
            executor: candidate,
            sendings: 1,
            may_have_run: false,
            expiry: now + KEY_RECORD_TIME,
        };
        self.bindings.insert(key.into(), binding);
        Some(candidate)
    }

    /// Ends one sending; `true` if the call is proved not to have run and may go elsewhere.
    pub fn end_attempt(&mut self, key: &str, end: AttemptResult) -> bool {
        let Some(binding) = self.bindings.get_mut(key) else {
            return false;
        };
        binding.sendings -= 1;
        binding.may_have_run |= end == AttemptResult::MayHaveRun;
        let is_free = binding.sendings == 0 && !binding.may_have_run;
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

    /// Tells whether no call is bound.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bindings.is_empty()
    }

    fn expire(&mut self, now: Instant) {
        if self.next_sweep.is_some_and(|sweep| now < sweep) {
            return;
        }
        self.next_sweep = Some(now + SWEEP_PAUSE);
        self.bindings
            .retain(|_, binding| binding.sendings > 0 || binding.expiry > now);
    }
}
