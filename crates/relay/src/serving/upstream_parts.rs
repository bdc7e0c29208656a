//! The parts that serve one upstream, from which the steps of a request are built.

use super::{
    announcements::UpstreamAnnouncements, local_upstream::LocalUpstream,
    request_admission::RequestAdmission, retry_gate::RetryGate, route_gate::RouteGate,
    slot_gate::SlotGate, slot_limiter::SlotLimiter, upstream_exchange::UpstreamExchange,
};

use crate::{
    decision_log::DecisionLog,
    directory::FleetDirectory,
    header_scheme::HeaderScheme,
    http1::{memory_budget::MemoryBudget, pool::ConnectionPool},
    process_limits,
    suspect_tracker::SuspectTracker,
};

use lagoonshore_settings::RelaySettings;
use std::{cell::Cell, rc::Rc};

/// Part of the connections to the upstream that may be idle, as a divisor.
const IDLE_DIVISOR: usize = 2;
/// Slots that are assumed until the upstream is listed.
const SLOTS_DEFAULT: u32 = 8;
/// `UpstreamParts` are the parts that the steps of a request share.
pub(crate) struct UpstreamParts {
    pub(crate) limiter: SlotLimiter,
    /// Connections to the upstream that fit the descriptors of the process.
    pub(crate) connections_max: u32,
    pub(crate) announcements: Rc<UpstreamAnnouncements>,
    pub(crate) pool: Rc<ConnectionPool>,
    pub(crate) upstream: Rc<LocalUpstream>,
    pub(crate) suspects: Rc<SuspectTracker>,
    pub(crate) retry_gate: Rc<RetryGate>,
}

impl UpstreamParts {
    pub(crate) fn new(
        settings: &RelaySettings,
        scheme: HeaderScheme,
        directory: &Rc<FleetDirectory>,
        log: &Rc<DecisionLog>,
        budget: MemoryBudget,
    ) -> Self {
        let connections_max = process_limits::of_process(settings).upstream_connections();
        let pool = Rc::new(create_pool(settings, connections_max, budget));
        let limiter = SlotLimiter::new(SLOTS_DEFAULT);
        let announcements = UpstreamAnnouncements::new(Rc::clone(directory), limiter.clone());
        let announcements = Rc::new(announcements);
        let upstream = LocalUpstream::new(
            settings,
            scheme,
            Rc::clone(directory),
            Rc::clone(&pool),
            Rc::clone(&announcements),
        );
        Self {
            limiter,
            connections_max,
            announcements,
            pool,
            upstream: Rc::new(upstream),
            suspects: Rc::default(),
            retry_gate: Rc::new(RetryGate::new(settings, Rc::clone(log))),
        }
    }

    /// Creates what decides which requests may wait for a slot.
    pub(crate) fn create_admission(
        &self,
        settings: &RelaySettings,
        directory: &Rc<FleetDirectory>,
        route_gate: &Rc<RouteGate>,
    ) -> RequestAdmission {
        RequestAdmission {
            directory: Rc::clone(directory),
            control: settings.control,
            service: settings.service.clone(),
            limiter: self.limiter.clone(),
            upstream: Rc::clone(&self.upstream),
            suspects: Rc::clone(&self.suspects),
            retry_gate: Rc::clone(&self.retry_gate),
            route_gate: Rc::clone(route_gate),
            is_refusing: Cell::new(false),
        }
    }

    /// Creates what gives slots to admitted requests.
    pub(crate) fn create_slot_gate(&self, settings: &RelaySettings) -> SlotGate {
        SlotGate::new(
            settings.control,
            self.limiter.clone(),
            Rc::clone(&self.upstream),
        )
    }

    /// Creates what exchanges requests and responses with the upstream.
    pub(crate) fn create_exchange(
        &self,
        scheme: HeaderScheme,
        log: Rc<DecisionLog>,
    ) -> UpstreamExchange {
        UpstreamExchange {
            scheme,
            pool: Rc::clone(&self.pool),
            upstream: Rc::clone(&self.upstream),
            suspects: Rc::clone(&self.suspects),
            retry_gate: Rc::clone(&self.retry_gate),
            limiter: self.limiter.clone(),
            announcements: Rc::clone(&self.announcements),
            log,
        }
    }
}

/// Creates the pool of the connections to the upstream.
fn create_pool(
    settings: &RelaySettings,
    connections_max: u32,
    budget: MemoryBudget,
) -> ConnectionPool {
    let idle_max = usize::try_from(connections_max).unwrap_or(usize::MAX) / IDLE_DIVISOR;
    ConnectionPool::new(settings.upstream, budget).with_idle_max(idle_max)
}
