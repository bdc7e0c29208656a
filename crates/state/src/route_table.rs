//! Routing table of a fleet, built from its published document.

use crate::{
    account::AccountEntry,
    ids::{AccountName, DocumentVersion, ServiceName},
    key_digest::KeyDigest,
    key_index::KeyIndex,
    units::RequestImportance,
};

use compact_str::CompactString;
use std::{collections::HashMap, rc::Rc, time::Duration};

data_type! {
    /// `FleetDocument` is one version of the configuration that operators publish for a fleet.
    pub struct FleetDocument {
        /// Version; a higher version replaces a lower one.
        pub version: DocumentVersion,
        /// Routes of all hosts.
        pub routes: Vec<RouteEntry>,
        /// Services that routes may refer to.
        pub services: Vec<ServiceEntry>,
        /// Limits on what callers may send.
        pub limits: CallerLimits,
        /// Client accounts; `None` if the fleet has none, and no caller needs a key.
        pub accounts: Option<Vec<AccountEntry>>,
    }

    /// `RouteEntry` describes a route: the requests that match a host and a path prefix, and how
    /// they are handled.
    pub struct RouteEntry {
        /// Name of the route.
        pub name: CompactString,
        /// Host name that the route applies to, in lower case.
        pub host: CompactString,
        /// Path prefix; starts and ends with a slash.
        pub prefix: CompactString,
        /// Services that the requests are split among, with their weights.
        pub targets: Vec<RouteTarget>,
        /// Whether running a request twice has the same effect as running it once.
        pub is_idempotent: bool,
        /// Time after which the caller gets a response at the latest.
        pub timeout: Duration,
        /// Target latency: the time within which a response is fully useful.
        pub aim: Duration,
        /// Number of upstreams that one request may be sent to, retries included.
        pub attempts: u32,
        /// Importance of the requests.
        pub importance: RequestImportance,
        /// Whether callers need no key, though the document has accounts.
        pub is_anonymous: bool,
    }

    /// `RouteTarget` is a service that gets a share of a route's requests.
    #[derive(Eq)]
    pub struct RouteTarget {
        /// Name of the service.
        pub service: ServiceName,
        /// Weight relative to the other targets of the route.
        pub weight: u32,
    }

    /// `ServiceEntry` describes a service of the fleet.
    #[derive(Eq)]
    pub struct ServiceEntry {
        /// Name of the service.
        pub name: ServiceName,
        /// Path of the health check, at which an upstream reports its health and its name.
        pub health_path: CompactString,
        /// Connections that one upstream accepts.
        pub connections: u32,
    }

    /// `CallerLimits` limits the size of callers' requests and the time that they may take.
    #[derive(Copy, Eq)]
    pub struct CallerLimits {
        /// Upper bound of a request's head, in bytes.
        pub head_bytes: usize,
        /// Upper bound of a request's body, in bytes.
        pub body_bytes: usize,
        /// Timeout for the head of a request to arrive.
        pub head_time: Duration,
        /// Timeout for idle connections.
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

/// `RouteTable` finds the route of a request by host and path.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: DocumentVersion,
    hosts: HashMap<CompactString, HashMap<CompactString, Rc<RouteEntry>>>,
    services: Vec<ServiceEntry>,
    limits: CallerLimits,
    accounts: Option<HashMap<AccountName, Rc<AccountEntry>>>,
    keys: KeyIndex,
}

impl RouteTable {
    /// Creates the table of a document.
    #[must_use]
    pub fn new(document: FleetDocument) -> Self {
        let mut hosts: HashMap<CompactString, HashMap<CompactString, Rc<RouteEntry>>> =
            HashMap::new();
        for route in document.routes {
            let prefixes = hosts.entry(route.host.clone()).or_default();
            prefixes.insert(route.prefix.clone(), Rc::new(route));
        }
        let accounts: Option<HashMap<_, _>> = document.accounts.map(|accounts| {
            let entry = |account: AccountEntry| (account.name.clone(), Rc::new(account));
            accounts.into_iter().map(entry).collect()
        });
        Self {
            version: document.version,
            keys: KeyIndex::new(accounts.iter().flat_map(HashMap::values)),
            hosts,
            services: document.services,
            limits: document.limits,
            accounts,
        }
    }

    /// Returns the version of the document; 0 before the first one.
    #[must_use]
    pub const fn version(&self) -> DocumentVersion {
        self.version
    }

    /// Returns the limits on callers.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns the service called `name`.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.iter().find(|service| service.name == name)
    }

    /// Returns whether callers need the key of an account.
    #[must_use]
    pub const fn has_accounts(&self) -> bool {
        self.accounts.is_some()
    }

    /// Returns the account called `name`.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Rc<AccountEntry>> {
        self.accounts.as_ref()?.get(name)
    }

    /// Returns the account that holds the key with this digest.
    #[must_use]
    pub fn account_of_key(&self, key: KeyDigest) -> Option<&Rc<AccountEntry>> {
        self.keys.find(key)
    }

    /// Returns all accounts, ordered by name.
    #[must_use]
    pub fn accounts(&self) -> Vec<&Rc<AccountEntry>> {
        let mut accounts: Vec<_> = self.accounts.iter().flat_map(HashMap::values).collect();
        accounts.sort_by(|left, right| left.name.cmp(&right.name));
        accounts
    }

    /// Returns the importance of the requests that `account` sends to `route`. In a document with
    /// accounts, the route's rank stands in for that of an account that has none.
    #[must_use]
    pub fn importance(
        &self,
        route: &RouteEntry,
        account: Option<&AccountEntry>,
    ) -> RequestImportance {
        if !self.has_accounts() {
            return route.importance;
        }
        let own = account.and_then(|account| account.importance);
        RequestImportance::of_account(own.unwrap_or(route.importance), route.importance)
    }

    /// Returns all routes, ordered by host and prefix.
    #[must_use]
    pub fn routes(&self) -> Vec<&RouteEntry> {
        let prefixes = self.hosts.values().flat_map(HashMap::values);
        let mut routes: Vec<&RouteEntry> = prefixes.map(Rc::as_ref).collect();
        routes.sort_by(|left, right| (&left.host, &left.prefix).cmp(&(&right.host, &right.prefix)));
        routes
    }

    /// Returns the route with the longest prefix of `target`, which is a path with or without a
    /// query.
    #[must_use]
    pub fn find(&self, host: &str, target: &str) -> Option<Rc<RouteEntry>> {
        let prefixes = self.prefixes(host)?;
        let path = target.split('?').next().unwrap_or_default();
        let ends = path.bytes().enumerate().rev();
        let mut ends = ends.filter(|(_, byte)| *byte == b'/');
        ends.find_map(|(end, _)| prefixes.get(&path[..=end]))
            .cloned()
    }

    /// Returns the routes of `host`. Host names are compared without case and without the port (RFC
    /// 9110, section 4.2.3).
    fn prefixes(&self, host: &str) -> Option<&HashMap<CompactString, Rc<RouteEntry>>> {
        if let Some(found) = self.hosts.get(host) {
            return Some(found);
        }
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.hosts.get(name.to_ascii_lowercase().as_str())
    }
}
