//! The message that carries a request to the node beside an upstream.

use super::{call_progress::CallProgress, peer_table::PeerTarget, routed_request::RoutedRequest};

use crate::serving::running_table::RunningRequest;

use lagoonshore_protocol::relay_messages::RelayRequest;
use lagoonshore_state::{ids::ServiceName, units::whole_millis};
use tokio::time::Instant;

/// Share of the route's latency target for which a request may wait at one instance while others
/// are untried.
const FIRST_WAIT_SHARE: f64 = 0.15;

/// Builds the message for the node beside `target`. The crashes, the revision and
/// what earlier replies said of the upstream stay empty; the caller of the function fills them in.
pub(crate) fn build_request(
    request: &RoutedRequest,
    progress: &CallProgress,
    target: &PeerTarget,
    origin: &ServiceName,
    has_others: bool,
) -> RelayRequest {
    let aim_left = request.aim_left();
    let is_retry = request.has_retried_parent();
    let is_resent = progress.deliveries > 0;
    let max_wait = if has_others {
        request.route.aim.mul_f64(FIRST_WAIT_SHARE)
    } else {
        request.deadline.saturating_duration_since(Instant::now())
    };
    RelayRequest {
        id: request.id.clone(),
        service: progress.service.clone(),
        instance: target.name.clone(),
        origin: origin.clone(),
        method: request.method.clone(),
        target: request.target.clone(),
        fields: request.fields.clone().into(),
        body: request.body.clone().into(),
        importance: request.importance,
        account: request.account.clone(),
        is_idempotent: request.route.is_idempotent,
        calls_before: request
            .parent
            .as_ref()
            .map(|parent| parent.nested_calls.calls),
        calls_left: request.parent.as_ref().and_then(RunningRequest::calls_left),
        route: request.route_id(),
        aim_ms: whole_millis(aim_left),
        wait_ms: whole_millis(max_wait),
        is_returning: !request.spent.is_zero(),
        is_repeat: is_retry || is_resent,
        is_resent,
        crashes: Vec::new(),
        revision: 0,
        departed: None,
        limit: None,
    }
}
