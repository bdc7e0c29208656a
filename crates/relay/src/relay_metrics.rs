//! Counters and latency histograms of a node, catalogued in `docs/METRICS-SIDECAR.md`.

use lagoonshore_coordination::placing::ZoneReason;
use metrics::{counter, histogram};
use std::time::Duration;

pub(crate) fn record_request(elapsed: Duration, is_failure: bool) {
    histogram!("lagoonshore_relay_request_seconds").record(elapsed.as_secs_f64());
    if is_failure {
        counter!("lagoonshore_relay_upstream_failures_total").increment(1);
    }
}

pub(crate) fn record_upstream(elapsed: Duration, is_answered: bool) {
    let outcome = if is_answered { "answered" } else { "lost" };
    histogram!("lagoonshore_relay_upstream_seconds", "outcome" => outcome)
        .record(elapsed.as_secs_f64());
}

pub(crate) fn record_queue_wait(elapsed: Duration) {
    histogram!("lagoonshore_relay_queue_wait_seconds").record(elapsed.as_secs_f64());
}

pub(crate) fn count_refused(reason: &str) {
    counter!("lagoonshore_relay_refused_total", "reason" => reason.to_owned()).increment(1);
}

pub(crate) fn count_return(outcome: &'static str) {
    counter!("lagoonshore_relay_returns_total", "outcome" => outcome).increment(1);
}

pub(crate) fn count_proof(source: &'static str) {
    counter!("lagoonshore_relay_document_proofs_total", "source" => source).increment(1);
}

pub(crate) fn count_failed(reason: &str) {
    counter!("lagoonshore_relay_failed_total", "reason" => reason.to_owned()).increment(1);
}

pub(crate) fn count_placed(reason: ZoneReason) {
    // Literal labels spare an allocation for each attempt.
    let counter = match reason {
        ZoneReason::OwnZone => counter!("lagoonshore_relay_placed_total", "reason" => "own-zone"),
        ZoneReason::Share => counter!("lagoonshore_relay_placed_total", "reason" => "share"),
        ZoneReason::Overflow => counter!("lagoonshore_relay_placed_total", "reason" => "overflow"),
        ZoneReason::NoInstance => {
            counter!("lagoonshore_relay_placed_total", "reason" => "no-instance")
        }
    };
    counter.increment(1);
}

pub(crate) fn count_left_zone(reason: ZoneReason, bytes: usize) {
    let reason = match reason {
        ZoneReason::OwnZone => "own-zone",
        ZoneReason::Share => "share",
        ZoneReason::Overflow => "overflow",
        ZoneReason::NoInstance => "no-instance",
    };
    counter!("lagoonshore_relay_left_zone_bytes_total", "reason" => reason)
        .increment(u64::try_from(bytes).unwrap_or(u64::MAX));
}

pub(crate) fn count_retry(is_counted: bool) {
    let kind = if is_counted { "counted" } else { "free" };
    counter!("lagoonshore_relay_repeats_total", "kind" => kind).increment(1);
}

pub(crate) fn count_retry_refused() {
    counter!("lagoonshore_relay_repeats_refused_total").increment(1);
}

pub(crate) fn count_quota_refused(account: &str, reason: &str) {
    let (account, reason) = (account.to_owned(), reason.to_owned());
    counter!("lagoonshore_relay_quota_refused_total", "account" => account, "reason" => reason)
        .increment(1);
}

// Fractions of tokens do not matter in the total.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn count_quota_tokens(kind: &'static str, tokens: f64) {
    counter!("lagoonshore_relay_quota_tokens_total", "kind" => kind)
        .increment(tokens.round() as u64);
}

pub(crate) fn count_unread(reason: &'static str) {
    counter!("lagoonshore_relay_unread_total", "reason" => reason).increment(1);
}

pub(crate) fn count_connection_closed(reason: &'static str) {
    counter!("lagoonshore_relay_connections_closed_total", "reason" => reason).increment(1);
}

pub(crate) fn count_caller_left() {
    counter!("lagoonshore_relay_callers_left_total").increment(1);
}
