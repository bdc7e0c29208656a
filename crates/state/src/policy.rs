//! The policy of a service, as every schema version of a record is turned into.

use crate::{
    ids::{ClassName, LaneName, PolicyRevision, ServiceName},
    units::{RequestImportance, SlotCount, TokenCount},
};

use compact_str::CompactString;
use std::time::Duration;

data_type! {
    /// `ServicePolicy` says how one service may be loaded and what matters most in it.
    pub struct ServicePolicy {
        /// Service that the policy is for.
        pub service: ServiceName,
        /// Revision, set by the operator and strictly increasing.
        pub revision: PolicyRevision,
        /// Upper bound of requests in progress at one upstream.
        pub slots: SlotCount,
        /// Upper bound of inbound connections at one node.
        pub connections: u32,
        /// Services that upstreams of this service call.
        pub calls: Vec<ServiceName>,
        /// How much retrying is allowed.
        pub retries: RetryPolicy,
        /// Lanes with a bounded share of the slots.
        pub lanes: Vec<LanePolicy>,
        /// Request classes; the first one that matches applies.
        pub classes: Vec<RequestClass>,
    }

    /// `RetryPolicy` bounds the repeats of calls.
    pub struct RetryPolicy {
        /// Retries allowed for one request across its whole call chain.
        pub per_request: TokenCount,
        /// Retries allowed at one node as a share of its calls.
        pub ratio: f64,
    }

    /// `LanePolicy` bounds the slots that one kind of work may hold.
    pub struct LanePolicy {
        /// Name of the lane.
        pub name: LaneName,
        /// Share of the slots that the lane may hold, above 0 and at most 1.
        pub share: f64,
    }

    /// `RequestClass` describes one kind of request.
    pub struct RequestClass {
        /// Name of the class, unique within the policy.
        pub name: ClassName,
        /// Requests that belong to the class.
        pub route: RouteMatch,
        /// Importance of the class.
        pub importance: RequestImportance,
        /// Whether running a request twice does the same as running it once.
        pub idempotent: bool,
        /// Longest time that a request of the class may take.
        pub timeout: Duration,
        /// Lane that the class runs in.
        pub lane: LaneName,
        /// Retries for one request of the class, where the class has its own rule.
        pub retries: Option<TokenCount>,
    }

    /// `RouteMatch` selects requests by method and path.
    pub struct RouteMatch {
        /// Method, in upper case; `*` matches every method.
        pub method: CompactString,
        /// Path; a segment `*` matches one segment, a last segment `**` matches the rest.
        pub path: CompactString,
    }
}

impl ServicePolicy {
    /// Finds the class of a request: the first one whose route matches.
    #[must_use]
    pub fn classify(&self, method: &str, path: &str) -> Option<&RequestClass> {
        self.classes
            .iter()
            .find(|class| class.route.matches(method, path))
    }

    /// Class of a request. One that matches no class is the least important; whether it is
    /// idempotent follows from its method (RFC 9110, section 9.2.2).
    #[must_use]
    pub fn class_of(&self, method: &str, path: &str) -> RequestClass {
        self.classify(method, path)
            .cloned()
            .unwrap_or_else(|| RequestClass::unlisted(method))
    }

    /// Share of the slots that `lane` may hold; 1 for a lane that has no bound.
    #[must_use]
    pub fn lane_share(&self, lane: &str) -> f64 {
        let found = self.lanes.iter().find(|candidate| candidate.name == lane);
        found.map_or(1.0, |lane| lane.share)
    }

    /// Retries that one request of `class` may spend across its call chain.
    #[must_use]
    pub fn retry_limit(&self, class: &RequestClass) -> TokenCount {
        class.retries.unwrap_or(self.retries.per_request)
    }
}

/// Name of the class of requests that match no listed class.
const UNLISTED_CLASS: &str = "unlisted";
/// Lane of requests that match no listed class.
const UNLISTED_LANE: &str = "unlisted";
/// Longest time for a request that matches no listed class.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(1);
/// Methods that are idempotent by definition (RFC 9110, section 9.2.2).
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"];

impl RequestClass {
    fn unlisted(method: &str) -> Self {
        let every = CompactString::const_new("*");
        Self {
            name: CompactString::const_new(UNLISTED_CLASS),
            route: RouteMatch {
                method: every.clone(),
                path: every,
            },
            importance: RequestImportance::LOWEST,
            idempotent: IDEMPOTENT_METHODS.contains(&method),
            timeout: UNLISTED_TIMEOUT,
            lane: CompactString::const_new(UNLISTED_LANE),
            retries: None,
        }
    }
}

impl RouteMatch {
    /// Tells whether a request with `method` and `path` belongs to the route; the query is ignored.
    #[must_use]
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let path = path.split('?').next().unwrap_or_default();
        (self.method == "*" || self.method == method) && Self::path_matches(&self.path, path)
    }

    fn path_matches(pattern: &str, path: &str) -> bool {
        let mut segments = path.split('/');
        for expected in pattern.split('/') {
            match (expected, segments.next()) {
                ("**", Some(_)) => return true,
                ("*", Some(segment)) if !segment.is_empty() => {}
                (_, Some(segment)) if segment == expected => {}
                _ => return false,
            }
        }
        segments.next().is_none()
    }
}
