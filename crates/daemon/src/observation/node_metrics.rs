//! Prometheus metrics of a node; docs/METRICS.md is their catalogue.
//!
//! Counters and gauges are copied from the state of the node when the page is rendered. Only
//! durations are recorded as requests pass, because the state keeps no individual ones.

use crate::node::Node;

use lagoonshore_coordination::{
    lifecycle::drain_state::DrainState, protection::upstream_health::UpstreamState,
    request::outcome::CallOutcome, routing::ejection::PeerCondition,
};
use lagoonshore_protocol::messages::CallResult;
use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::PrometheusHandle;
use std::time::Duration;
use tokio::time::Instant;

/// Time that requests waited for a slot.
pub const QUEUE_WAIT: &str = "lagoonshore_queue_wait_seconds";
/// Time from dispatch to the end of a request at the upstream.
pub const UPSTREAM_TIME: &str = "lagoonshore_upstream_seconds";
/// Time that requests spent in the node.
pub const REQUEST_TIME: &str = "lagoonshore_request_seconds";

const MICROS_PER_SECOND: f64 = 1_000_000.0;

/// Renders the metrics page of `node`.
#[must_use]
pub fn render(node: &Node, handle: &PrometheusHandle) -> String {
    publish_requests(node);
    publish_admission(node);
    publish_retries(node);
    publish_ledger(node);
    publish_protection(node);
    publish_policy(node);
    publish_platform(node);
    publish_peers(node);
    handle.render()
}

/// Records the time that a request waited for a slot.
pub fn record_queue_wait(time: Duration) {
    histogram!(QUEUE_WAIT).record(time);
}

/// Records the time that a request spent at the upstream.
pub fn record_upstream(time: Duration, is_answered: bool) {
    let end = if is_answered { "answered" } else { "lost" };
    histogram!(UPSTREAM_TIME, "end" => end).record(time);
}

/// Records the time that a request spent in the node.
pub fn record_request(time: Duration, result: &CallResult) {
    let outcome = match result {
        CallResult::Answered(_) => CallOutcome::Ran,
        CallResult::Refused(refusal) => refusal.outcome,
    };
    histogram!(REQUEST_TIME, "outcome" => outcome.as_str()).record(time);
}

fn publish_requests(node: &Node) {
    let counters = node.counters.borrow();
    counter!("lagoonshore_offered_total").absolute(counters.offered);
    let outcomes = [
        (CallOutcome::Ran, counters.answered),
        (CallOutcome::NotRun, counters.refused),
        (CallOutcome::Unknown, counters.unknown),
    ];
    for (outcome, count) in outcomes {
        counter!("lagoonshore_requests_total", "outcome" => outcome.as_str()).absolute(count);
    }
    for (reason, count) in node.refusals.borrow().iter() {
        counter!("lagoonshore_refusals_total", "reason" => reason.as_str()).absolute(count);
    }
    counter!("lagoonshore_refused_early_total").absolute(counters.refused_early);
    counter!("lagoonshore_hand_overs_total").absolute(counters.dispatched);
    counter!("lagoonshore_calls_total").absolute(counters.calls);
    counter!("lagoonshore_retries_total").absolute(counters.retries);
    // A gauge, because counters of the recorder are integers and would lose fractions of a second.
    gauge!("lagoonshore_wasted_seconds").set(as_float(counters.wasted_micros) / MICROS_PER_SECOND);
}

fn publish_admission(node: &Node) {
    let load = node.gate.load();
    gauge!("lagoonshore_in_progress").set(load.in_progress);
    gauge!("lagoonshore_limit").set(load.limit);
    gauge!("lagoonshore_queued").set(load.queued);
    gauge!("lagoonshore_overloaded").set(u32::from(node.gate.is_overloaded()));
}

fn publish_retries(node: &Node) {
    let summary = node.retries.borrow().summary();
    let counters = summary.counters;
    counter!("lagoonshore_retry_tokens_spent_total").absolute(counters.tokens_spent);
    counter!("lagoonshore_repeats_total", "verdict" => "allowed")
        .absolute(counters.repeats_allowed);
    counter!("lagoonshore_repeats_total", "verdict" => "refused")
        .absolute(counters.repeats_refused);
    counter!("lagoonshore_hedges_total").absolute(counters.hedges_made);
    counter!("lagoonshore_hedges_won_total").absolute(counters.hedges_won);
    counter!("lagoonshore_attempts_cancelled_total").absolute(counters.attempts_cancelled);
    gauge!("lagoonshore_retry_budget").set(summary.budget);
    gauge!("lagoonshore_hedge_budget").set(summary.hedge_budget);
}

fn publish_ledger(node: &Node) {
    let counts = node.executions.ledger_counts();
    gauge!("lagoonshore_ledger_records").set(as_float(counts.records));
    gauge!("lagoonshore_ledger_in_flight").set(as_float(counts.in_flight));
    gauge!("lagoonshore_ledger_answer_bytes").set(as_float(counts.answer_bytes));
    counter!("lagoonshore_ledger_runs_total").absolute(counts.started);
    counter!("lagoonshore_ledger_replays_total").absolute(counts.replayed);
    counter!("lagoonshore_ledger_joins_total").absolute(counts.joined);
    counter!("lagoonshore_ledger_evictions_total").absolute(counts.evicted);
}

fn publish_protection(node: &Node) {
    let counts = node.protection.suspects.borrow().counts(Instant::now());
    gauge!("lagoonshore_suspects").set(as_float(counts.held));
    gauge!("lagoonshore_suspects_alone").set(as_float(counts.alone));
    gauge!("lagoonshore_suspects_quarantined").set(as_float(counts.quarantined));
    let found = node.protection.health.borrow().state();
    let states = [
        (UpstreamState::Unknown, "unknown"),
        (UpstreamState::Up, "up"),
        (UpstreamState::Draining, "draining"),
        (UpstreamState::Down, "down"),
    ];
    for (state, name) in states {
        gauge!("lagoonshore_upstream_state", "state" => name).set(u32::from(state == found));
    }
    let found = node.drain.borrow().state();
    let states = [
        (DrainState::Starting, "starting"),
        (DrainState::Serving, "serving"),
        (DrainState::Draining, "draining"),
        (DrainState::Ended, "ended"),
    ];
    for (state, name) in states {
        gauge!("lagoonshore_drain_state", "state" => name).set(u32::from(state == found));
    }
}

fn publish_policy(node: &Node) {
    for (service, entry) in node.policies.borrow().iter() {
        let gauge = gauge!("lagoonshore_policy_revision", "service" => service.to_string());
        gauge.set(as_float(entry.policy.revision));
    }
    let counters = *node.gossip.counters.borrow();
    counter!("lagoonshore_records_total", "verdict" => "accepted").absolute(counters.accepted);
    counter!("lagoonshore_records_total", "verdict" => "refused").absolute(counters.refused);
    counter!("lagoonshore_digest_exchanges_total").absolute(counters.exchanges);
    counter!("lagoonshore_digest_exchange_failures_total").absolute(counters.exchange_failures);
    counter!("lagoonshore_digests_total").absolute(counters.digests);
    counter!("lagoonshore_digests_dropped_total").absolute(counters.digests_dropped);
    counter!("lagoonshore_pulls_total").absolute(counters.pulls);
    counter!("lagoonshore_pull_failures_total").absolute(counters.pull_failures);
}

fn publish_platform(node: &Node) {
    let platform = node.platform.borrow();
    counter!("lagoonshore_platform_reads_total").absolute(platform.reads);
    counter!("lagoonshore_platform_read_failures_total").absolute(platform.failures);
}

fn publish_peers(node: &Node) {
    let table = node.instances.borrow();
    let selector = node.selector.borrow();
    let now = Instant::now();
    let found: Vec<_> = table
        .iter()
        .map(|(key, _)| selector.summary(key, now).map(|summary| summary.condition))
        .collect();
    let conditions = [
        (None, "unseen"),
        (Some(PeerCondition::Healthy), "healthy"),
        (Some(PeerCondition::Ejected), "ejected"),
        (Some(PeerCondition::Probing), "probing"),
    ];
    for (condition, name) in conditions {
        let count = found.iter().filter(|found| **found == condition).count();
        gauge!("lagoonshore_peers", "condition" => name).set(as_float(count));
    }
}

/// Value for a gauge; integers above 2^53 are rounded.
#[allow(clippy::cast_precision_loss)]
fn as_float(value: impl TryInto<u64>) -> f64 {
    value.try_into().unwrap_or(u64::MAX) as f64
}
