//! The page of metrics: the same names and types as the catalogue, and values of known requests.

mod support;

use lagoonshore_coordination::lifecycle::drain::DrainCause;
use lagoonshore_transport::http_listener::HttpRequest;
use std::collections::BTreeMap;

const CATALOGUE: &str = include_str!("../../../docs/METRICS.md");
const RECORD: &str = include_str!("../../../examples/kocaeli/records/medication-log.yaml");
/// Answers of the upstream that the test asks for.
const ANSWERED: u32 = 2;

/// Types of metrics by name.
type MetricTypes = BTreeMap<String, String>;

fn listed() -> MetricTypes {
    let rows = CATALOGUE
        .lines()
        .filter_map(|line| line.strip_prefix("| `"));
    let types = rows.map(|row| {
        let mut cells = row.split('|').map(str::trim);
        let name = cells.next().expect("a name").trim_end_matches('`');
        let kind = cells.next().expect("a type");
        (name.to_owned(), kind.to_owned())
    });
    types.collect()
}

fn shown(page: &str) -> MetricTypes {
    let lines = page.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    let types = lines.filter_map(|line| line.split_once(' '));
    types
        .map(|(name, kind)| (name.to_owned(), kind.to_owned()))
        .collect()
}

fn value(page: &str, sample: &str) -> f64 {
    let line = page
        .lines()
        .find_map(|line| line.strip_prefix(sample)?.strip_prefix(' '));
    let text = line.unwrap_or_else(|| panic!("{sample} is missing in:\n{page}"));
    text.parse().expect("a number")
}

fn assert_values(page: &str, samples: &[(&str, u32)]) {
    for (sample, expected) in samples {
        let found = value(page, sample);
        assert!(
            (found - f64::from(*expected)).abs() < f64::EPSILON,
            "{sample} is {found}, not {expected}"
        );
    }
}

// One test: the recorder belongs to the process.
#[actix_rt::test]
async fn the_page_shows_what_the_catalogue_lists() {
    let upstream = support::upstream(|request: HttpRequest| async move {
        if request.path == "/day/torn" {
            // The deadline of the class passes, so that the answer is lost.
            std::future::pending::<()>().await;
        }
        support::ok("ran")
    });
    let node = support::node("medication-log", "izmit", upstream.await, &[RECORD]).await;
    let door = node.doors.inbound;
    for _ in 0..ANSWERED {
        let answer = support::send(door, "GET", "/day/1", &[], "").await;
        assert_eq!((answer.status, answer.outcome.as_str()), (200, "ran"));
    }
    let lost = support::send(door, "GET", "/day/torn", &[], "").await;
    assert_eq!(
        (lost.outcome.as_str(), lost.reason.as_str()),
        ("unknown", "timeout")
    );
    let cause = DrainCause::PlatformLeaving;
    assert!(node.node.drain.borrow_mut().add_cause(cause));
    let refused = support::send(door, "GET", "/day/1", &[], "").await;
    assert_eq!(refused.outcome, "not-run");
    let page = support::send(node.doors.admin, "GET", "/metrics", &[], "").await;
    assert_eq!(shown(&page.body), listed());
    let samples = [
        ("lagoonshore_offered_total", ANSWERED + 2),
        ("lagoonshore_requests_total{outcome=\"ran\"}", ANSWERED),
        ("lagoonshore_requests_total{outcome=\"not-run\"}", 1),
        ("lagoonshore_requests_total{outcome=\"unknown\"}", 1),
        ("lagoonshore_refusals_total{reason=\"timeout\"}", 1),
        ("lagoonshore_refusals_total{reason=\"draining\"}", 1),
        ("lagoonshore_hand_overs_total", ANSWERED + 1),
        ("lagoonshore_policy_revision{service=\"medication-log\"}", 1),
        ("lagoonshore_records_total{verdict=\"accepted\"}", 1),
        ("lagoonshore_drain_state{state=\"serving\"}", 0),
        ("lagoonshore_drain_state{state=\"draining\"}", 1),
        ("lagoonshore_in_progress", 0),
        ("lagoonshore_queue_wait_seconds_count", ANSWERED + 1),
        (
            "lagoonshore_upstream_seconds_count{end=\"answered\"}",
            ANSWERED,
        ),
        ("lagoonshore_upstream_seconds_count{end=\"lost\"}", 1),
        (
            "lagoonshore_request_seconds_count{outcome=\"ran\"}",
            ANSWERED,
        ),
        ("lagoonshore_request_seconds_count{outcome=\"unknown\"}", 1),
    ];
    assert_values(&page.body, &samples);
    assert!(value(&page.body, "lagoonshore_wasted_seconds") > 0.0);
}
