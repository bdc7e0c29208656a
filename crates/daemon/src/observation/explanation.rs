//! Explains how the policy in force classifies and treats a request.

use crate::node::Node;

use lagoonshore_state::{
    ids::{ClassName, LaneName, PolicyRevision, ServiceName},
    units::{RequestImportance, TokenCount},
};
use serde::Serialize;

/// `RequestExplanation` describes the treatment of a request by the policy in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestExplanation {
    /// Called service.
    pub service: ServiceName,
    /// Revision of the policy in force.
    pub revision: PolicyRevision,
    /// Class of the request.
    pub class: ClassName,
    /// Whether the policy lists the class; otherwise it is the default class.
    pub listed: bool,
    /// Importance, if the request enters the fleet at this node.
    pub importance: RequestImportance,
    /// Whether the request may be retried when its outcome is unknown.
    pub idempotent: bool,
    /// Timeout of the class, in milliseconds.
    pub timeout_ms: u64,
    /// Lane whose slots the request uses.
    pub lane: LaneName,
    /// Share of the slots that the lane may hold.
    pub lane_share: f64,
    /// Retry tokens for the whole call chain, if the request enters the fleet at this node.
    pub retries: TokenCount,
}

/// Explains a request for `service`; `None` if the node has no policy of the service in force.
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
