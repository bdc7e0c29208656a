//! The routes of a fleet, as one published document says them.

use crate::{
    ids::{DocumentVersion, ServiceName},
    units::RequestImportance,
};

use compact_str::CompactString;
use std::{collections::HashMap, rc::Rc, time::Duration};

data_type! {
    /// `FleetDocument` is one version of everything that operators publish.
    pub struct FleetDocument {
        /// Version; a higher one replaces a lower one.
        pub version: DocumentVersion,
        /// Routes of all hosts.
        pub routes: Vec<RouteEntry>,
        /// Services that routes may name.
        pub services: Vec<ServiceEntry>,
        /// Bounds on what callers may send.
        pub limits: CallerLimits,
    }

    /// `RouteEntry` says where requests of one host and path prefix go and how they are treated.
    pub struct RouteEntry {
        /// Name of the route.
        pub name: CompactString,
        /// Host that the route belongs to, in lower case.
        pub host: CompactString,
        /// Path prefix; begins and ends with a slash.
        pub prefix: CompactString,
        /// Services that take the requests, with their weights.
        pub targets: Vec<RouteTarget>,
        /// Whether running a request twice does the same as running it once.
        pub is_idempotent: bool,
        /// Longest time that a caller is kept waiting.
        pub timeout: Duration,
        /// Time within which an answer is of full use.
        pub aim: Duration,
        /// Upstreams that one request may be sent to.
        pub attempts: u32,
        /// Importance of the requests.
        pub importance: RequestImportance,
    }

    /// `RouteTarget` is a service that takes a share of a route's requests.
    #[derive(Eq)]
    pub struct RouteTarget {
        /// The service.
        pub service: ServiceName,
        /// Its weight among the targets of the route.
        pub weight: u32,
    }

    /// `ServiceEntry` describes a service.
    #[derive(Eq)]
    pub struct ServiceEntry {
        /// Name of the service.
        pub name: ServiceName,
        /// Path at which its upstreams tell whether they are healthy, and their names.
        pub health_path: CompactString,
        /// Connections that one upstream accepts.
        pub connections: u32,
    }

    /// `CallerLimits` bounds what callers may send and how long they may take.
    #[derive(Copy, Eq)]
    pub struct CallerLimits {
        /// Largest head of a request, in bytes.
        pub head_bytes: usize,
        /// Largest body of a request, in bytes.
        pub body_bytes: usize,
        /// Time for the head of a request to arrive.
        pub head_time: Duration,
        /// Time for which a connection may stay idle.
        pub idle_time: Duration,
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// `RouteTable` finds the route of a request.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: DocumentVersion,
    hosts: HashMap<CompactString, HashMap<CompactString, Rc<RouteEntry>>>,
    services: Vec<ServiceEntry>,
    limits: CallerLimits,
}

impl RouteTable {
    /// Builds the table of a document.
    #[must_use]
    pub fn new(document: FleetDocument) -> Self {
        let mut hosts: HashMap<CompactString, HashMap<CompactString, Rc<RouteEntry>>> =
            HashMap::new();
        for route in document.routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Rc::new(route));
        }
        Self {
            version: document.version,
            hosts,
            services: document.services,
            limits: document.limits,
        }
    }

    /// Version of the document; 0 before the first.
    #[must_use]
    pub const fn version(&self) -> DocumentVersion {
        self.version
    }

    /// Bounds on callers.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == name)
    }

    /// All routes, by host and prefix.
    #[must_use]
    pub fn routes(&self) -> Vec<&RouteEntry> {
        let prefixes = self.hosts.values().flat_map(HashMap::values);
        let mut routes: Vec<&RouteEntry> = prefixes.map(Rc::as_ref).collect();
        routes.sort_by(|left, right| (&left.host, &left.prefix).cmp(&(&right.host, &right.prefix)));
        routes
    }

    /// Finds the route with the longest prefix of `target`, a path with or without a query.
    #[must_use]
    pub fn find(&self, host: &str, target: &str) -> Option<Rc<RouteEntry>> {
        let prefixes = self.prefixes(host)?;
        let path = target.split('?').next().unwrap_or_default();
        let ends = path.bytes().enumerate().rev();
        let mut ends = ends.filter(|(_, byte)| *byte == b'/');
        ends.find_map(|(end, _)| prefixes.get(&path[..=end]))
            .cloned()
    }

    /// Routes of `host`, whose name is compared without case and without a port
    /// (RFC 9110, section 4.2.3).
    fn prefixes(&self, host: &str) -> Option<&HashMap<CompactString, Rc<RouteEntry>>> {
        if let Some(found) = self.hosts.get(host) {
            return Some(found);
        }
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.hosts.get(name.to_ascii_lowercase().as_str())
    }
}
