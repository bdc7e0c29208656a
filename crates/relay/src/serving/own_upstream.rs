//! Which upstream stands beside the node, and whether it is up.
//!
//! The list lags behind: after a crash or a loss of power it names the run of the upstream that
//! ended, for seconds. The one that took its place tells its own name. It serves the same service
//! if it took the place sooner than an address may pass to another service.

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

/// Time between two looks at an upstream that is down.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Time for the answer to a look.
const LOOK_TIME: Duration = Duration::from_secs(1);
/// Time for a connection that shows whether the upstream is there.
const CONNECT_TIME: Duration = Duration::from_millis(300);

/// `OwnUpstream` follows the upstream beside the node.
pub struct OwnUpstream {
    address: SocketAddr,
    service: ServiceName,
    reuse_time: Duration,
    scheme: HeaderScheme,
    directory: Rc<FleetDirectory>,
    pool: Rc<ConnectionPool>,
    adopted: RefCell<Option<AdoptedName>>,
    /// Time at which the address last was known to serve the service.
    seen: Cell<Instant>,
    is_down: Cell<bool>,
}

/// A name that the upstream gave itself while the list had another one.
#[derive(Clone, Debug)]
struct AdoptedName {
    name: InstanceName,
    /// Newest change of the list at that time.
    revision: u64,
}

impl OwnUpstream {
    /// Creates the view of an upstream that is expected to be up.
    #[must_use]
    pub fn new(
        settings: &RelaySettings,
        scheme: HeaderScheme,
        directory: Rc<FleetDirectory>,
        pool: Rc<ConnectionPool>,
    ) -> Self {
        Self {
            address: settings.upstream,
            service: settings.service.clone(),
            reuse_time: settings.address_reuse_time,
            scheme,
            directory,
            pool,
            adopted: RefCell::default(),
            seen: Cell::new(Instant::now()),
            is_down: Cell::new(false),
        }
    }

    /// Tells whether the upstream takes no connections.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.is_down.get()
    }

    /// Name of the upstream that is to run a request for `asked`.
    #[must_use]
    pub fn target(&self, asked: &InstanceName) -> InstanceName {
        let mut adopted = self.adopted.borrow_mut();
        let Some(known) = adopted.clone() else {
            return asked.clone();
        };
        let upstreams = self.directory.upstreams();
        let listed = upstreams.find_by_address(self.address);
        if listed.is_some_and(|listed| listed.revision > known.revision) {
            *adopted = None;
            return asked.clone();
        }
        known.name
    }

    /// Notes that the upstream answered as one of its service.
    pub fn note_answer(&self) {
        self.seen.set(Instant::now());
    }

    /// Takes over the name that the upstream gives itself; `false` if it may be of another
    /// service.
    pub fn adopt(&self, name: &str) -> bool {
        let mut adopted = self.adopted.borrow_mut();
        if adopted.as_ref().is_some_and(|known| known.name == name) {
            return true;
        }
        let upstreams = self.directory.upstreams();
        let is_listed = upstreams
            .get(name)
            .is_some_and(|listed| listed.service == self.service);
        let age = self.seen.get().elapsed();
        let is_trusted = is_listed || age < self.reuse_time;
        let listed = upstreams.find_by_address(self.address);
        let revision = listed.map_or(0, |listed| listed.revision);
        info!(
            event = events::UPSTREAM_RENAMED,
            instance = name,
            listed = listed.map_or("", |listed| listed.name.as_str()),
            seen_ms = whole_millis(age),
            is_trusted,
            "upstream: answers under another name"
        );
        if is_trusted {
            *adopted = Some(AdoptedName {
                name: name.into(),
                revision,
            });
            self.seen.set(Instant::now());
        }
        is_trusted
    }

    /// Notes that the upstream refused a connection, and looks for it until it is back.
    pub fn note_refused(self: &Rc<Self>) {
        if self.is_down.replace(true) {
            return;
        }
        warn!(event = events::UPSTREAM_DOWN, address = %self.address, "upstream: down");
        self.pool.clear();
        actix_rt::spawn(Rc::clone(self).look());
    }

    /// Finds out whether the upstream is down after a connection to it broke.
    pub async fn look_after_break(self: &Rc<Self>) -> bool {
        if self.is_down.get() {
            return true;
        }
        let connecting = TcpStream::connect(self.address);
        let connected = actix_rt::time::timeout(CONNECT_TIME, connecting).await;
        let is_refused = matches!(
            connected,
            Ok(Err(fault)) if fault.kind() == ErrorKind::ConnectionRefused
        );
        if is_refused {
            self.note_refused();
        }
        is_refused
    }

    /// Asks the upstream for its health until it answers.
    async fn look(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(LOOK_PAUSE).await;
            match self.ask_health().await {
                Ok(name) => {
                    if let Some(name) = name {
                        self.adopt(&name);
                    }
                    break;
                }
                Err(SendError::Connect(_)) => {}
                // It takes connections: requests find out the rest.
                Err(SendError::Exchange(_)) => break,
            }
        }
        self.is_down.set(false);
        info!(event = events::UPSTREAM_UP, address = %self.address, "upstream: up");
    }

    /// Name that the upstream gives itself in the answer to a health check.
    async fn ask_health(&self) -> Result<Option<CompactString>, SendError> {
        let routes = self.directory.routes();
        let Some(service) = routes.service(&self.service) else {
            return Err(SendError::Connect(ErrorKind::NotFound));
        };
        let request = SentRequest::get(self.address, &service.health_path);
        let asking = self.pool.send(request, &self.scheme, ANY_IDLE_TIME);
        let answer = actix_rt::time::timeout(LOOK_TIME, asking).await;
        let answer = answer.map_err(|_| SendError::Connect(ErrorKind::TimedOut))??;
        Ok(answer.head.instance)
    }
}
