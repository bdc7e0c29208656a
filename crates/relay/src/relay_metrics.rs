//! Counters and latency histograms of a node, catalogued in `docs/METRICS-SIDECAR.md`.

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

pub(crate) fn count_proof(source: &'static str) {
    counter!("lagoonshore_relay_document_proofs_total", "source" => source).increment(1);
}

pub(crate) fn count_failed(reason: &str) {
    counter!("lagoonshore_relay_failed_total", "reason" => reason.to_owned()).increment(1);
}

pub(crate) fn count_retry(is_counted: bool) {
    let kind = if is_counted { "counted" } else { "free" };
    counter!("lagoonshore_relay_repeats_total", "kind" => kind).increment(1);
}

pub(crate) fn count_retry_refused() {
    counter!("lagoonshore_relay_repeats_refused_total").increment(1);
}

pub(crate) fn count_caller_left() {
    counter!("lagoonshore_relay_callers_left_total").increment(1);
}
