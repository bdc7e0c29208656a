//! The message by which a request goes to the node beside an upstream.

use super::{call_progress::CallProgress, peer_table::PeerTarget, routed_request::RoutedRequest};

use lagoonshore_protocol::relay_messages::RelayRequest;
use lagoonshore_state::{ids::ServiceName, units::whole_millis};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use tokio::time::Instant;

/// Share of the aim for which a request may wait at one instance while others are left to ask.
const FIRST_WAIT_SHARE: f64 = 0.15;

/// Says what the node beside `target` needs to decide on the request and to run it. Crashes that are
/// held against the request are left to the caller.
pub(crate) fn relay_request(
    request: &RoutedRequest,
    progress: &CallProgress,
    target: &PeerTarget,
    origin: &ServiceName,
    has_others: bool,
) -> RelayRequest {
    let gone = request.spent + request.received.elapsed();
    let aim_left = request.route.aim.saturating_sub(gone);
    let is_repeat = request.parent.is_some_and(|parent| parent.is_repeat);
    let is_resent = progress.reached > 0;
    let wait = if has_others {
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
        fields: request.fields.clone(),
        body: request.body.clone(),
        importance: request.importance(),
        is_idempotent: request.route.is_idempotent,
        calls_before: request.parent.map(|parent| parent.below.calls),
        kind: kind_of(&request.route.name),
        aim_ms: whole_millis(aim_left),
        wait_ms: whole_millis(wait),
        is_returning: !request.spent.is_zero(),
        is_repeat: is_repeat || is_resent,
        is_resent,
        crashes: 0,
    }
}

/// Kind of the requests of a route, the same at all nodes.
fn kind_of(route: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(route.as_bytes());
    hasher.finish()
}
