//! Lets a suspect run with nothing else in progress on the upstream.
//!
//! Requests pass here after their admission, so the order of the queue is kept: everybody else
//! holds a shared pass, a suspect the only one.

use lagoonshore_coordination::request::outcome::RefusalReason;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{
    sync::{Mutex, OwnedRwLockReadGuard, OwnedRwLockWriteGuard, RwLock},
    time::Instant,
};

/// Time kept free for other work after an exclusive run, as a multiple of the time for which that
/// run held others back.
const GAP_FACTOR: u32 = 9;
/// Longest time that is kept free for other work between two exclusive runs.
const GAP_TIME_MAX: Duration = Duration::from_secs(10);

/// `ExclusiveGate` hands out shared passes, and exclusive ones one at a time.
#[derive(Clone, Default)]
pub struct ExclusiveGate {
    lock: Rc<GateLock>,
}

#[derive(Default)]
struct GateLock {
    // The lock library shares locks by `Arc` only.
    permits: std::sync::Arc<RwLock<()>>,
    turn: Mutex<()>,
    next_exclusive: Cell<Option<Instant>>,
}

/// `RunPermit` lets one request run until it is dropped.
pub enum RunPermit {
    /// Others may run beside it.
    Shared(OwnedRwLockReadGuard<()>),
    /// Nothing runs beside it.
    Exclusive(ExclusivePermit),
}

/// `ExclusivePermit` keeps every other request out.
pub struct ExclusivePermit {
    _guard: OwnedRwLockWriteGuard<()>,
    // Declared after the guard, so that the gap starts once others may pass.
    _blocking: BlockingPeriod,
}

/// Holds others back from the moment on which an exclusive pass is waited for, whether or not the
/// wait succeeds; leaves them a gap when it ends.
struct BlockingPeriod {
    lock: Rc<GateLock>,
    since: Instant,
}

impl ExclusiveGate {
    /// Waits until no request holds or awaits an exclusive pass.
    ///
    /// # Errors
    /// [`RefusalReason::Timeout`] once the deadline has passed.
    pub async fn acquire_shared(&self, deadline: Instant) -> Result<RunPermit, RefusalReason> {
        let pending = std::sync::Arc::clone(&self.lock.permits).read_owned();
        let guard = tokio::time::timeout_at(deadline, pending).await;
        guard
            .map(RunPermit::Shared)
            .map_err(|_| RefusalReason::Timeout)
    }

    /// Holds others back and waits until nothing is in progress. Between two exclusive runs
    /// others get a multiple of the time that the earlier one took, up to a bound: a crash makes a
    /// suspect of every request in progress, and those must not hold up their neighbours.
    ///
    /// # Errors
    /// [`RefusalReason::Timeout`] once the deadline has passed.
    pub async fn acquire_exclusive(&self, deadline: Instant) -> Result<RunPermit, RefusalReason> {
        let permit = tokio::time::timeout_at(deadline, self.wait_for_exclusive()).await;
        permit
            .map(RunPermit::Exclusive)
            .map_err(|_| RefusalReason::Timeout)
    }

    async fn wait_for_exclusive(&self) -> ExclusivePermit {
        let turn = self.lock.turn.lock().await;
        if let Some(next_exclusive) = self.lock.next_exclusive.get() {
            tokio::time::sleep_until(next_exclusive).await;
        }
        let blocking = BlockingPeriod {
            lock: Rc::clone(&self.lock),
            since: Instant::now(),
        };
        let pending = std::sync::Arc::clone(&self.lock.permits).write_owned();
        let guard = pending.await;
        drop(turn);
        ExclusivePermit {
            _guard: guard,
            _blocking: blocking,
        }
    }
}

impl Drop for BlockingPeriod {
    fn drop(&mut self) {
        let gap = (self.since.elapsed() * GAP_FACTOR).min(GAP_TIME_MAX);
        self.lock.next_exclusive.set(Some(Instant::now() + gap));
    }
}
