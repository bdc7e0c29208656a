//! Runs a suspect request while no other request is in progress on the upstream.
//!
//! Requests arrive here after their admission, so the order of the queue is kept. A suspect holds
//! the exclusive permit, every other request a shared one.

use lagoonshore_coordination::request::outcome::RefusalReason;
use std::{cell::Cell, rc::Rc, time::Duration};
use tokio::{
    sync::{Mutex, OwnedRwLockReadGuard, OwnedRwLockWriteGuard, RwLock},
    time::Instant,
};

/// Gap for other requests after an exclusive run, as a multiple of the time for which that run
/// blocked them.
const GAP_FACTOR: u32 = 9;
/// Longest gap between two exclusive runs.
const GAP_TIME_MAX: Duration = Duration::from_secs(10);

/// `ExclusiveGate` grants shared permits, and exclusive permits one at a time.
#[derive(Clone, Default)]
pub struct ExclusiveGate {
    lock: Rc<GateLock>,
}

#[derive(Default)]
struct GateLock {
    // tokio's owned lock guards require an `Arc`.
    permits: std::sync::Arc<RwLock<()>>,
    turn: Mutex<()>,
    next_exclusive: Cell<Option<Instant>>,
}

/// `RunPermit` lets one request run until it is dropped.
pub enum RunPermit {
    /// Other requests may run at the same time.
    Shared(OwnedRwLockReadGuard<()>),
    /// No other request runs at the same time.
    Exclusive(ExclusivePermit),
}

/// `ExclusivePermit` blocks every other request until it is dropped.
pub struct ExclusivePermit {
    _guard: OwnedRwLockWriteGuard<()>,
    // Declared after the lock guard and so dropped after it: the gap starts once others may run.
    _blocking: BlockingPeriod,
}

/// Measures for how long other requests are blocked, from the start of the wait for an exclusive
/// permit and whether or not the wait succeeds. Sets the gap for them when dropped.
struct BlockingPeriod {
    lock: Rc<GateLock>,
    since: Instant,
}

impl ExclusiveGate {
    /// Waits until no request holds or awaits an exclusive permit.
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

    /// Blocks other requests and waits until none is in progress. Between two exclusive runs,
    /// others get a multiple of the time that the earlier run blocked them, up to `GAP_TIME_MAX`:
    /// a crash makes a suspect of every request in progress, and running those one after another
    /// must not starve other requests.
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
