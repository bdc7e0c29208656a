//! Explains how the node would class and treat a request.

use crate::node::Node;

use lagoonshore_state::{
    ids::{ClassName, LaneName, PolicyRevision, ServiceName},
    units::{RequestImportance, TokenCount},
};
use serde::Serialize;

/// `RequestExplanation` says how a request would be treated by the policy in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestExplanation {
    /// Called service.
    pub service: ServiceName,
    /// Revision of the policy that says so.
    pub revision: PolicyRevision,
    /// Class of the request.
    pub class: ClassName,
    /// Whether the class is one that the policy lists.
    pub listed: bool,
    /// Importance, if the request enters here.
    pub importance: RequestImportance,
    /// Whether the request may be sent again when its outcome is unknown.
    pub idempotent: bool,
    /// Longest time, in milliseconds.
    pub timeout_ms: u64,
    /// Lane that the request runs in.
    pub lane: LaneName,
    /// Share of the slots that the lane may hold.
    pub lane_share: f64,
    /// Retries for the whole call chain, if the request enters here.
    pub retries: TokenCount,
}

/// Explains a request for `service`; `None` if no policy of the service is in force at the node.
#[must_use]
pub fn explain(node: &Node, service: &str, method: &str, path: &str) -> Option<RequestExplanation> {
    let policy = node.policy(service)?;
    let class = policy.class_of(method, path);
    Some(RequestExplanation {
        service: policy.service.clone(),
        revision: policy.revision,
        listed: policy.classify(method, path).is_some(),
        importance: class.importance,
        idempotent: class.idempotent,
        timeout_ms: u64::try_from(class.timeout.as_millis()).unwrap_or(u64::MAX),
        lane_share: policy.lane_share(&class.lane),
        retries: policy.retry_limit(&class),
        class: class.name,
        lane: class.lane,
    })
}
