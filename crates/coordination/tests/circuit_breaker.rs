//! Circuit breaker for routes whose calls are not answered, and its effect on callers.

use lagoonshore_coordination::forwarding::circuit_breaker::{BreakerChange, CircuitBreaker};
use std::time::Duration;
use tokio::time::Instant;

const ROUTE: u64 = 7;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A breaker after `failures` failures, one per millisecond.
fn breaker_after(start: Instant, failures: u64) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    for index in 0..failures {
        breaker.record_failure(start + millis(index), ROUTE);
    }
    breaker
}

#[test]
fn consecutive_failures_open_the_breaker_and_one_success_closes_it() {
    let start = Instant::now();
    let mut breaker = breaker_after(start, 14);
    assert_eq!(breaker.admit(start + millis(14), ROUTE, false), Ok(()));
    let opened = breaker.record_failure(start + millis(15), ROUTE);
    assert_eq!(opened, Some(BreakerChange::Opened(15)));
    let refused = breaker.admit(start + millis(20), ROUTE, false);
    assert_eq!(refused, Err(millis(250)));
    assert_eq!(breaker.admit(start + millis(20), ROUTE + 1, false), Ok(()));
    let closed = breaker.record_success(start + millis(30), ROUTE);
    assert_eq!(closed, Some(BreakerChange::Closed(millis(30))));
    assert_eq!(breaker.admit(start + millis(31), ROUTE, false), Ok(()));
}

/// Some of the requests still succeed, so callers are better served by running them than by
/// refusing all.
#[test]
fn a_route_with_some_successes_is_not_refused() {
    let start = Instant::now();
    let mut breaker = CircuitBreaker::default();
    for index in 0..200_u64 {
        let now = start + millis(index * 20);
        assert_eq!(breaker.admit(now, ROUTE, false), Ok(()), "request {index}");
        if index % 10 == 9 {
            breaker.record_success(now, ROUTE);
        } else {
            breaker.record_failure(now, ROUTE);
        }
        // Ten requests take 200 ms, so no streak becomes sustained either.
    }
}

#[test]
fn a_sustained_streak_of_few_failures_opens_the_breaker() {
    let start = Instant::now();
    let mut breaker = CircuitBreaker::default();
    for index in 0..6_u64 {
        breaker.record_failure(start + millis(index * 150), ROUTE);
    }
    assert_eq!(breaker.admit(start + millis(900), ROUTE, false), Ok(()));
    let probe = breaker.admit(start + millis(1000), ROUTE, false);
    assert_eq!(
        probe,
        Ok(()),
        "the first request to an open breaker is a probe"
    );
    let refused = breaker.admit(start + millis(1001), ROUTE, false);
    assert_eq!(refused, Err(millis(1001)));
}

#[test]
fn callers_that_retry_probe_more_often() {
    let start = Instant::now();
    let mut breaker = breaker_after(start, 15);
    assert!(breaker.admit(start + millis(99), ROUTE, true).is_err());
    assert_eq!(breaker.admit(start + millis(100), ROUTE, true), Ok(()));
    assert!(breaker.admit(start + millis(599), ROUTE, false).is_err());
    assert_eq!(breaker.admit(start + millis(600), ROUTE, false), Ok(()));
}

/// Requests that were served and lost while the called service was cut off for a while.
struct OutageCounts {
    served: u32,
    lost: u32,
}

/// Simulates 8 s of requests that are not idempotent, one every 30 ms, with an outage of length
/// `outage` at the start. Their callers retry once after a refusal, and never after a failed
/// request.
fn simulate(outage: Duration, has_breaker: bool) -> OutageCounts {
    let start = Instant::now();
    let mut breaker = CircuitBreaker::default();
    let mut counts = OutageCounts { served: 0, lost: 0 };
    let mut returning: Vec<Duration> = Vec::new();
    for tick in 0..10_000_u64 {
        let at = millis(tick);
        let is_first = tick % 30 == 0 && tick < 8000;
        let due = returning.iter().filter(|retry_at| **retry_at == at).count();
        returning.retain(|retry_at| *retry_at != at);
        let attempts = (0..due).map(|_| true).chain(is_first.then_some(false));
        for is_returning in attempts {
            let now = start + at;
            let admitted = if has_breaker {
                breaker.admit(now, ROUTE, is_returning)
            } else {
                Ok(())
            };
            match admitted {
                Ok(()) if at < outage => {
                    breaker.record_failure(now, ROUTE);
                    counts.lost += 1;
                }
                Ok(()) => {
                    breaker.record_success(now, ROUTE);
                    counts.served += 1;
                }
                Err(wait) if !is_returning => returning.push(at + wait.min(millis(1600))),
                Err(_) => counts.lost += 1,
            }
        }
    }
    counts
}

#[test]
fn callers_refused_in_an_outage_are_served_after_it() {
    let (unguarded, guarded) = (simulate(millis(5000), false), simulate(millis(5000), true));
    assert_eq!(
        unguarded.served + unguarded.lost,
        guarded.served + guarded.lost
    );
    assert_eq!(unguarded.lost, 167, "all requests of the outage");
    assert!(guarded.lost <= 125, "{} of 167 lost", guarded.lost);
    let short = simulate(millis(1500), true);
    assert!(short.lost <= 32, "{} of 50 lost", short.lost);
}
