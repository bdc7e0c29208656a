//! Identity and availability of the upstream beside the node.
//!
//! The upstream list lags: after a crash or a power loss it names the previous run of the upstream
//! for seconds, while the restarted one reports its new name itself. The new name is trusted
//! without a list entry if the address was confirmed to serve the service more recently than an
//! address can be reused by another service.

use super::announcements::UpstreamAnnouncements;

use crate::{
    directory::FleetDirectory,
    events,
    header_scheme::HeaderScheme,
    http1::{
        exchange::SentRequest,
        pool::{ANY_IDLE_TIME, ConnectionPool, SendError},
    },
};

use actix_rt::net::TcpStream;
use compact_str::CompactString;
use lagoonshore_coordination::protection::{crash_set::CrashId, fingerprint};
use lagoonshore_settings::RelaySettings;
use lagoonshore_state::{
    ids::{InstanceName, ServiceName},
    units::whole_millis,
};
use std::{
    cell::{Cell, RefCell},
    io::ErrorKind,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};
use tokio::time::Instant;
use tracing::{info, warn};

/// Interval between health checks of an upstream that is down.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of the connection that tests whether the upstream listens.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// `LocalUpstream` tracks the name and the availability of the upstream beside the node.
pub struct LocalUpstream {
    address: SocketAddr,
    service: ServiceName,
    address_reuse_time: Duration,
    scheme: HeaderScheme,
    directory: Rc<FleetDirectory>,
    pool: Rc<ConnectionPool>,
    reported: RefCell<Option<ReportedName>>,
    /// Last time at which the address was confirmed to serve the service.
    confirmed_at: Cell<Instant>,
    is_down: Cell<bool>,
    /// Latest crash; it is the one in progress while the upstream is down.
    crash: Cell<CrashId>,
    /// Hash of the name of the node, by which reports of crashes name the instance.
    instance: u64,
    announcements: Rc<UpstreamAnnouncements>,
}

/// A name that the upstream reported while the list had another one.
#[derive(Clone, Debug)]
struct ReportedName {
    name: InstanceName,
    /// Revision of the list entry of the address when the name was accepted; a newer entry replaces
    /// the name.
    revision: u64,
}

impl LocalUpstream {
    /// Creates the state of an upstream that is expected to be up.
    #[must_use]
    pub(crate) fn new(
        settings: &RelaySettings,
        scheme: HeaderScheme,
        directory: Rc<FleetDirectory>,
        pool: Rc<ConnectionPool>,
        announcements: Rc<UpstreamAnnouncements>,
    ) -> Self {
        Self {
            address: settings.upstream,
            service: settings.service.clone(),
            address_reuse_time: settings.address_reuse_time,
            scheme,
            directory,
            pool,
            reported: RefCell::default(),
            confirmed_at: Cell::new(Instant::now()),
            is_down: Cell::new(false),
            crash: Cell::new(CrashId::default()),
            instance: fingerprint::of_instance(&settings.node),
            announcements,
        }
    }

    /// Returns whether the upstream refuses connections.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.is_down.get()
    }

    /// Returns the name to send with a request for `requested`: the reported name, unless the list
    /// has a newer entry.
    #[must_use]
    pub fn target_name(&self, requested: &InstanceName) -> InstanceName {
        let mut reported = self.reported.borrow_mut();
        let Some(known) = reported.clone() else {
            return requested.clone();
        };
        let upstreams = self.directory.upstreams();
        let listed = upstreams.find_by_address(self.address);
        if listed.is_some_and(|listed| listed.revision > known.revision) {
            *reported = None;
            return requested.clone();
        }
        known.name
    }

    /// Returns whether the upstream `requested`, or the one that gets the request in its place, is
    /// leaving or has left.
    #[must_use]
    pub fn has_departed(&self, requested: &InstanceName) -> bool {
        let target = self.target_name(requested);
        self.directory.has_departed(requested) || self.directory.has_departed(&target)
    }

    /// Records a signed response, which confirms the service at the address.
    pub fn record_signed_response(&self) {
        self.confirmed_at.set(Instant::now());
    }

    /// Accepts the name that the upstream reports; returns `false` if the upstream may belong to
    /// another service, or is leaving.
    pub fn accept_name(&self, name: &str) -> bool {
        if self.directory.has_departed(name) {
            return false;
        }
        let mut reported = self.reported.borrow_mut();
        if reported.as_ref().is_some_and(|known| known.name == name) {
            return true;
        }
        let upstreams = self.directory.upstreams();
        let is_listed = upstreams
            .get(name)
            .is_some_and(|listed| listed.service == self.service);
        let age = self.confirmed_at.get().elapsed();
        let is_trusted = is_listed || age < self.address_reuse_time;
        let listed = upstreams.find_by_address(self.address);
        let revision = listed.map_or(0, |listed| listed.revision);
        info!(
            event = events::UPSTREAM_RENAMED,
            instance = name,
            listed = listed.map_or("", |listed| listed.name.as_str()),
            seen_ms = whole_millis(age),
            is_trusted,
            "upstream: reports another name than listed"
        );
        if is_trusted {
            *reported = Some(ReportedName {
                name: name.into(),
                revision,
            });
            self.confirmed_at.set(Instant::now());
        }
        is_trusted
    }

    /// Marks the upstream as down after a refused connection, and polls it until it is up.
    pub fn mark_down(self: &Rc<Self>) {
        if self.is_down.replace(true) {
            return;
        }
        self.crash.set(CrashId {
            instance: self.instance,
            number: Some(rand::random()),
        });
        warn!(event = events::UPSTREAM_DOWN, address = %self.address, "upstream: down");
        self.pool.clear();
        actix_rt::spawn(Rc::clone(self).poll_until_up());
    }

    /// Tests whether the upstream is down after a connection to it broke; returns the id of its crash
    /// if it is, the same for all connections that this crash broke.
    pub async fn check_after_disconnect(self: &Rc<Self>) -> Option<CrashId> {
        if self.is_down.get() {
            return Some(self.crash.get());
        }
        let connecting = TcpStream::connect(self.address);
        let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let is_refused = matches!(
            connected,
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused
        );
        if is_refused {
            self.mark_down();
        }
        is_refused.then(|| self.crash.get())
    }

    /// Checks the health of the upstream until it accepts connections again.
    async fn poll_until_up(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(HEALTH_CHECK_INTERVAL).await;
            match self.check_health().await {
                Ok(name) => {
                    if let Some(name) = name {
                        self.accept_name(&name);
                    }
                    break;
                }
                Err(SendError::Connect(_)) => {}
                // It accepts connections; whether it works shows with the next requests.
                Err(SendError::Exchange(_)) => break,
            }
        }
        self.is_down.set(false);
        info!(event = events::UPSTREAM_UP, address = %self.address, "upstream: up");
    }

    /// Checks the health of the upstream once, for what it says of itself in the response.
    pub(crate) async fn check_announcements(self: Rc<Self>) {
        // If there is no response, another check follows while requests wait.
        let _ = self.check_health().await;
    }

    /// Sends a health check; returns the name that the upstream reports.
    async fn check_health(&self) -> Result<Option<CompactString>, SendError> {
        let routes = self.directory.routes();
        let Some(service) = routes.service(&self.service) else {
            return Err(SendError::Connect(ErrorKind::NotFound));
        };
        let request = SentRequest::get(self.address, &service.health_path);
        let check = self.pool.send(request, &self.scheme, ANY_IDLE_TIME);
        let response = actix_rt::time::timeout(HEALTH_CHECK_TIMEOUT, check).await;
        let response = response.map_err(|_| SendError::Connect(ErrorKind::TimedOut))??;
        if let Some(name) = &response.head.instance {
            self.announcements.record_response(&response.head, name);
        }
        Ok(response.head.instance)
    }
}
