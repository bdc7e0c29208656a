//! The policy of a service, independent of the schema version of its record.

use crate::{
    ids::{ClassName, LaneName, PolicyRevision, ServiceName},
    units::{RequestImportance, SlotCount, TokenCount},
};

use compact_str::CompactString;
use std::time::Duration;

data_type! {
    /// `ServicePolicy` holds the limits, retry rules, lanes and request classes of one service.
    pub struct ServicePolicy {
        /// Service that the policy applies to.
        pub service: ServiceName,
        /// Revision, set by the operator and strictly increasing.
        pub revision: PolicyRevision,
        /// Upper bound of concurrent requests at one upstream.
        pub slots: SlotCount,
        /// Upper bound of inbound connections at one node.
        pub connections: u32,
        /// Services that the upstreams of this service call.
        pub calls: Vec<ServiceName>,
        /// Limits on retries.
        pub retries: RetryPolicy,
        /// Lanes with a limited share of the slots.
        pub lanes: Vec<LanePolicy>,
        /// Request classes; the first match applies.
        pub classes: Vec<RequestClass>,
    }

    /// `RetryPolicy` limits the retries of calls.
    pub struct RetryPolicy {
        /// Retries allowed for one request across its whole call chain.
        pub per_request: TokenCount,
        /// Retries allowed at one node as a share of its calls, from 0 to 1.
        pub ratio: f64,
    }

    /// `LanePolicy` limits the slots that the requests of one lane may hold.
    pub struct LanePolicy {
        /// Name of the lane.
        pub name: LaneName,
        /// Share of the slots that the lane may hold, above 0 and at most 1.
        pub share: f64,
    }

    /// `RequestClass` describes a class of requests and how they are handled.
    pub struct RequestClass {
        /// Name of the class, unique within the policy.
        pub name: ClassName,
        /// Pattern of the requests that belong to the class.
        pub route: RouteMatch,
        /// Importance of the class.
        pub importance: RequestImportance,
        /// Whether running a request twice has the same effect as running it once.
        pub idempotent: bool,
        /// Timeout of the requests of the class.
        pub timeout: Duration,
        /// Lane that the class runs in.
        pub lane: LaneName,
        /// Retries allowed for one request of the class; `None` if the policy's `per_request`
        /// applies.
        pub retries: Option<TokenCount>,
    }

    /// `RouteMatch` selects requests by method and path.
    pub struct RouteMatch {
        /// HTTP method in upper case; `*` matches every method.
        pub method: CompactString,
        /// Path pattern; the segment `*` matches one segment, a final segment `**` matches the
        /// rest.
        pub path: CompactString,
    }
}

impl ServicePolicy {
    /// Returns the first class that matches a request; `None` if no class does.
    #[must_use]
    pub fn classify(&self, method: &str, path: &str) -> Option<&RequestClass> {
        self.classes
            .iter()
            .find(|class| class.route.matches(method, path))
    }

    /// Returns the class of a request. A request that matches no class gets the lowest importance,
    /// and counts as idempotent by its method (RFC 9110, section 9.2.2).
    #[must_use]
    pub fn class_of(&self, method: &str, path: &str) -> RequestClass {
        self.classify(method, path)
            .cloned()
            .unwrap_or_else(|| RequestClass::unlisted(method))
    }

    /// Returns the share of the slots that `lane` may hold; 1 for a lane without a limit.
    #[must_use]
    pub fn lane_share(&self, lane: &str) -> f64 {
        let found = self.lanes.iter().find(|candidate| candidate.name == lane);
        found.map_or(1.0, |lane| lane.share)
    }

    /// Returns the number of retries that one request of `class` may spend across its call chain.
    #[must_use]
    pub fn retry_limit(&self, class: &RequestClass) -> TokenCount {
        class.retries.unwrap_or(self.retries.per_request)
    }
}

/// Class name of requests that match no class of the policy.
const UNLISTED_CLASS: &str = "unlisted";
/// Lane of requests that match no class of the policy.
const UNLISTED_LANE: &str = "unlisted";
/// Timeout of requests that match no class of the policy.
const UNLISTED_TIMEOUT: Duration = Duration::from_secs(1);
/// Methods that are idempotent by definition (RFC 9110, section 9.2.2).
const IDEMPOTENT_METHODS: [&str; 6] = ["GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"];

impl RequestClass {
    fn unlisted(method: &str) -> Self {
        let any = CompactString::const_new("*");
        Self {
            name: CompactString::const_new(UNLISTED_CLASS),
            route: RouteMatch {
                method: any.clone(),
                path: any,
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
    /// Returns `true` if a request with `method` and `path` matches; the query is ignored.
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
