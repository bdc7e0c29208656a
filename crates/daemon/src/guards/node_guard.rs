//! What protects the upstream of a node, and what lets the node leave without harm.

use crate::guards::exclusive_gate::ExclusiveGate;

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

/// `NodeGuard` is the part of a node that is concerned with crashes, health and leaving.
#[derive(Default)]
pub struct NodeGuard {
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
    pub work: WorkCount,
    /// Closes connections during a planned stop.
    pub closing: CloseSignal,
    /// Whether the node is leaving, for the nodes that follow it.
    pub leaving: watch::Sender<bool>,
    cold_start: RefCell<Vec<ColdStartHook>>,
}

impl NodeGuard {
    /// Adds a hook for cold starts of the upstream.
    pub fn on_cold_start(&self, hook: ColdStartHook) {
        self.cold_start.borrow_mut().push(hook);
    }

    /// Tells every hook that the upstream has started cold.
    pub fn cold_started(&self, now: Instant) {
        let hooks = self.cold_start.borrow().clone();
        for hook in hooks {
            hook(now);
        }
    }
}

/// `WorkCount` counts the requests that the doors are answering.
#[derive(Clone, Default)]
pub struct WorkCount {
    count: Rc<Cell<u32>>,
}

/// `WorkMark` stands for one request at a door until it is dropped.
pub struct WorkMark {
    count: Rc<Cell<u32>>,
}

impl WorkCount {
    /// Counts a request.
    #[must_use]
    pub fn enter(&self) -> WorkMark {
        self.count.set(self.count.get() + 1);
        WorkMark {
            count: Rc::clone(&self.count),
        }
    }

    /// Requests at the doors.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.count.get()
    }
}

impl Drop for WorkMark {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
