//! State of the protection of a node's upstream and of a planned stop.

use super::exclusive_gate::ExclusiveGate;

use lagoonshore_coordination::{
    lifecycle::pause_detector::PauseDetector,
    protection::{
        crash_detector::CrashDetector, suspects::SuspectTable, upstream_health::HealthControl,
    },
};
use lagoonshore_transport::close_signal::CloseSignal;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};
use tokio::{sync::watch, time::Instant};

/// `ColdStartHook` is called when the upstream is up after it was down.
pub type ColdStartHook = Rc<dyn Fn(Instant)>;

/// `NodeProtection` is the part of a node concerned with crashes, health and leaving.
#[derive(Default)]
pub struct NodeProtection {
    /// Requests that were in progress at a crash.
    pub suspects: RefCell<SuspectTable>,
    /// Detects crashes of the local upstream.
    pub crashes: RefCell<CrashDetector>,
    /// Health of the local upstream.
    pub health: RefCell<HealthControl>,
    /// Runs a suspect request alone.
    pub exclusive: ExclusiveGate,
    /// Detects pauses of the process.
    pub pause: RefCell<PauseDetector>,
    /// Requests in progress at the inbound and peer listeners.
    pub active: ActiveRequests,
    /// Closes connections during a planned stop.
    pub close_signal: CloseSignal,
    /// Whether the node is leaving; other nodes watch it.
    pub leaving: watch::Sender<bool>,
    cold_start_hooks: RefCell<Vec<ColdStartHook>>,
}

impl NodeProtection {
    /// Adds a hook for cold starts of the upstream.
    pub fn add_cold_start_hook(&self, hook: ColdStartHook) {
        self.cold_start_hooks.borrow_mut().push(hook);
    }

    /// Calls every hook.
    pub fn notify_cold_start(&self, now: Instant) {
        let hooks = self.cold_start_hooks.borrow().clone();
        for hook in hooks {
            hook(now);
        }
    }
}

/// `ActiveRequests` counts the requests in progress at the listeners.
#[derive(Clone, Default)]
pub struct ActiveRequests {
    count: Rc<Cell<u32>>,
}

/// `ActiveRequestGuard` counts one request until it is dropped.
pub struct ActiveRequestGuard {
    count: Rc<Cell<u32>>,
}

impl ActiveRequests {
    /// Counts a request until the returned guard is dropped.
    #[must_use]
    pub fn start_request(&self) -> ActiveRequestGuard {
        self.count.set(self.count.get() + 1);
        ActiveRequestGuard {
            count: Rc::clone(&self.count),
        }
    }

    /// Number of requests in progress.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.count.get()
    }
}

impl Drop for ActiveRequestGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
