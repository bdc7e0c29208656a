//! The metrics page has the names and types of the catalogue, and counts known requests correctly.

mod support;

use lagoonshore_coordination::lifecycle::drain_state::DrainCause;
use lagoonshore_transport::http_listener::HttpRequest;
use std::collections::BTreeMap;

const CATALOGUE: &str = include_str!("../../../docs/METRICS.md");
const RECORD: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");
/// Requests that get a response from the upstream.
const ANSWERED_REQUESTS: u32 = 2;

/// Metric types (`counter`, `gauge`, …) by metric name.
type MetricTypes = BTreeMap<String, String>;

fn catalogue_types() -> MetricTypes {
    let rows = CATALOGUE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"));
    let types = rows.map(|row| {
        let mut cells = row.split('|').map(str::trim);
        let name = cells
            .next()
            .expect("the row has a name")
            .trim_end_matches('`');
        let metric_type = cells.next().expect("the row has a type");
        (name.to_owned(), metric_type.to_owned())
    });
    types.collect()
}

fn page_types(page: &str) -> MetricTypes {
    let lines = page.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let types = lines.filter_map(|line| line.split_once(' '));
    types
        .map(|(name, metric_type)| (name.to_owned(), metric_type.to_owned()))
        .collect()
}

fn sample_value(page: &str, sample: &str) -> f64 {
    let line = page
        .lines()
        .find_map(|line| line.strip_prefix(sample)?.strip_prefix(' '));
    let text = line.unwrap_or_else(|| panic!("{sample} is missing in:\n{page}"));
    text.parse().expect("the value is a number")
}

fn assert_values(page: &str, samples: &[(&str, u32)]) {
    for (sample, expected) in samples {
        let found = sample_value(page, sample);
        assert!(
            (found - f64::from(*expected)).abs() < f64::EPSILON,
            "{sample}: found {found}, expected {expected}"
        );
    }
}

// A single test, because the metrics recorder is global to the process and counts of other tests
// would mix with these.
#[actix_rt::test]
async fn the_page_matches_the_catalogue_and_counts_known_requests() {
    let upstream = support::start_upstream(|request: HttpRequest| async move {
        if request.path == "/day/held" {
            // Holds the request past the timeout of its class, so that the response is lost.
            std::future::pending::<()>().await;
        }
        support::ok_response("ran")
    });
    let node = support::start_node("medication-log", "izmit", upstream.await, &[RECORD]).await;
    let inbound = node.addresses.inbound;
    for _ in 0..ANSWERED_REQUESTS {
        let response = support::send(inbound, "GET", "/day/1", &[], "").await;
        assert_eq!((response.status, response.outcome.as_str()), (200, "ran"));
    }
    let lost = support::send(inbound, "GET", "/day/held", &[], "").await;
    assert_eq!(
        (lost.outcome.as_str(), lost.reason.as_str()),
        ("unknown", "timeout")
    );
    let cause = DrainCause::PlatformLeaving;
    assert!(node.node.drain.borrow_mut().add_cause(cause));
    let refused = support::send(inbound, "GET", "/day/1", &[], "").await;
    assert_eq!(refused.outcome, "not-run");
    let page = support::send(node.addresses.admin, "GET", "/metrics", &[], "").await;
    assert_eq!(page_types(&page.body), catalogue_types());
    let samples = [
        ("lagoonshore_offered_total", ANSWERED_REQUESTS + 2),
        (
            "lagoonshore_requests_total{outcome=\"ran\"}",
            ANSWERED_REQUESTS,
        ),
        ("lagoonshore_requests_total{outcome=\"not-run\"}", 1),
        ("lagoonshore_requests_total{outcome=\"unknown\"}", 1),
        ("lagoonshore_refusals_total{reason=\"timeout\"}", 1),
        ("lagoonshore_refusals_total{reason=\"draining\"}", 1),
        ("lagoonshore_hand_overs_total", ANSWERED_REQUESTS + 1),
        ("lagoonshore_policy_revision{service=\"medication-log\"}", 1),
        ("lagoonshore_records_total{verdict=\"accepted\"}", 1),
        ("lagoonshore_drain_state{state=\"serving\"}", 0),
        ("lagoonshore_drain_state{state=\"draining\"}", 1),
        ("lagoonshore_in_progress", 0),
        (
            "lagoonshore_queue_wait_seconds_count",
            ANSWERED_REQUESTS + 1,
        ),
        (
            "lagoonshore_upstream_seconds_count{end=\"answered\"}",
            ANSWERED_REQUESTS,
        ),
        ("lagoonshore_upstream_seconds_count{end=\"lost\"}", 1),
        (
            "lagoonshore_request_seconds_count{outcome=\"ran\"}",
            ANSWERED_REQUESTS,
        ),
        ("lagoonshore_request_seconds_count{outcome=\"unknown\"}", 1),
    ];
    assert_values(&page.body, &samples);
    assert!(sample_value(&page.body, "lagoonshore_wasted_seconds") > 0.0);
}
