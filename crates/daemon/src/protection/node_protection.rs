//! What protects the upstream of a node, and what lets the node leave without harm.

use crate::protection::exclusive_gate::ExclusiveGate;

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

/// `ColdStartHook` is told when the upstream is up after it was down.
pub type ColdStartHook = Rc<dyn Fn(Instant)>;

/// `NodeProtection` is the part of a node that is concerned with crashes, health and leaving.
#[derive(Default)]
pub struct NodeProtection {
    /// Suspects known.
    pub suspects: RefCell<SuspectTable>,
    /// Crashes of the own upstream.
    pub crashes: RefCell<CrashDetector>,
    /// Health of the own upstream.
    pub health: RefCell<HealthControl>,
    /// Lets a suspect run alone.
    pub exclusive: ExclusiveGate,
    /// Notices that the process was paused.
    pub pause: RefCell<PauseDetector>,
    /// Requests at the doors.
    pub active: ActiveRequests,
    /// Closes connections during a planned stop.
    pub close_signal: CloseSignal,
    /// Whether the node is leaving, for the nodes that follow it.
    pub leaving: watch::Sender<bool>,
    cold_start_hooks: RefCell<Vec<ColdStartHook>>,
}

impl NodeProtection {
    /// Adds a hook for cold starts of the upstream.
    pub fn add_cold_start_hook(&self, hook: ColdStartHook) {
        self.cold_start_hooks.borrow_mut().push(hook);
    }

    /// Tells every hook that the upstream has started cold.
    pub fn notify_cold_start(&self, now: Instant) {
        let hooks = self.cold_start_hooks.borrow().clone();
        for hook in hooks {
            hook(now);
        }
    }
}

/// `ActiveRequests` counts the requests that the doors are answering.
#[derive(Clone, Default)]
pub struct ActiveRequests {
    count: Rc<Cell<u32>>,
}

/// `ActiveRequestGuard` stands for one request at a door until it is dropped.
pub struct ActiveRequestGuard {
    count: Rc<Cell<u32>>,
}

impl ActiveRequests {
    /// Counts a request.
    #[must_use]
    pub fn start_request(&self) -> ActiveRequestGuard {
        self.count.set(self.count.get() + 1);
        ActiveRequestGuard {
            count: Rc::clone(&self.count),
        }
    }

    /// Requests at the doors.
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
