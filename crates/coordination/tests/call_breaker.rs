//! The breaker for kinds of requests whose calls are not served, and what callers get by it.

use lagoonshore_coordination::forwarding::circuit_breaker::{BreakerChange, CircuitBreaker};
use std::time::Duration;
use tokio::time::Instant;

const KIND: u64 = 7;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A breaker after `failures` failed runs, one each millisecond.
fn failed(start: Instant, failures: u64) -> CircuitBreaker {
    let mut breaker = CircuitBreaker::default();
    for index in 0..failures {
        breaker.record_failure(start + millis(index), KIND);
    }
    breaker
}

#[test]
fn a_row_of_failures_opens_the_breaker_and_one_success_closes_it() {
    let start = Instant::now();
    let mut breaker = failed(start, 14);
    assert_eq!(breaker.admit(start + millis(14), KIND, false), Ok(()));
    let opened = breaker.record_failure(start + millis(15), KIND);
    assert_eq!(opened, Some(BreakerChange::Opened(15)));
    let refused = breaker.admit(start + millis(20), KIND, false);
    assert_eq!(refused, Err(millis(250)));
    assert_eq!(breaker.admit(start + millis(20), KIND + 1, false), Ok(()));
    let closed = breaker.record_success(start + millis(30), KIND);
    assert_eq!(closed, Some(BreakerChange::Closed(millis(30))));
    assert_eq!(breaker.admit(start + millis(31), KIND, false), Ok(()));
}

/// A part of the runs still succeeds: callers are better served by running than by refusals.
#[test]
fn a_kind_of_which_some_runs_succeed_goes_on() {
    let start = Instant::now();
    let mut breaker = CircuitBreaker::default();
    for index in 0..200_u64 {
        let now = start + millis(index * 20);
        assert_eq!(breaker.admit(now, KIND, false), Ok(()), "run {index}");
        if index % 10 == 9 {
            breaker.record_success(now, KIND);
        } else {
            breaker.record_failure(now, KIND);
        }
        // Ten runs take 200 ms, so that no row lasts for long either.
    }
}

#[test]
fn few_failures_open_the_breaker_once_they_have_lasted() {
    let start = Instant::now();
    let mut breaker = CircuitBreaker::default();
    for index in 0..6_u64 {
        breaker.record_failure(start + millis(index * 150), KIND);
    }
    assert_eq!(breaker.admit(start + millis(900), KIND, false), Ok(()));
    let probe = breaker.admit(start + millis(1000), KIND, false);
    assert_eq!(probe, Ok(()), "the first one after the change is a probe");
    let refused = breaker.admit(start + millis(1001), KIND, false);
    assert_eq!(refused, Err(millis(1001)));
}

#[test]
fn callers_that_come_back_probe_more_often() {
    let start = Instant::now();
    let mut breaker = failed(start, 15);
    assert!(breaker.admit(start + millis(99), KIND, true).is_err());
    assert_eq!(breaker.admit(start + millis(100), KIND, true), Ok(()));
    assert!(breaker.admit(start + millis(599), KIND, false).is_err());
    assert_eq!(breaker.admit(start + millis(600), KIND, false), Ok(()));
}

/// What callers get while the service that their requests need is cut off for a while.
struct OutageEnd {
    served: u32,
    lost: u32,
}

/// Plays an outage of `outage` in 8 s of requests that must not run twice, one each 30 ms. Their
/// callers come back once after a refusal, and not after a failed run.
fn play(outage: Duration, has_breaker: bool) -> OutageEnd {
    let start = Instant::now();
    let mut breaker = CircuitBreaker::default();
    let mut end = OutageEnd { served: 0, lost: 0 };
    let mut returning: Vec<Duration> = Vec::new();
    for tick in 0..10_000_u64 {
        let at = millis(tick);
        let first = tick % 30 == 0 && tick < 8000;
        let due = returning.iter().filter(|back| **back == at).count();
        returning.retain(|back| *back != at);
        let tries = (0..due).map(|_| true).chain(first.then_some(false));
        for is_returning in tries {
            let now = start + at;
            let entered = if has_breaker {
                breaker.admit(now, KIND, is_returning)
            } else {
                Ok(())
            };
            match entered {
                Ok(()) if at < outage => {
                    breaker.record_failure(now, KIND);
                    end.lost += 1;
                }
                Ok(()) => {
                    breaker.record_success(now, KIND);
                    end.served += 1;
                }
                Err(wait) if !is_returning => returning.push(at + wait.min(millis(1600))),
                Err(_) => end.lost += 1,
            }
        }
    }
    end
}

#[test]
fn callers_refused_in_an_outage_come_back_after_it() {
    let (plain, kept) = (play(millis(5000), false), play(millis(5000), true));
    assert_eq!(plain.served + plain.lost, kept.served + kept.lost);
    assert_eq!(plain.lost, 167, "all requests of the outage");
    assert!(kept.lost <= 125, "{} of 167 lost", kept.lost);
    let short = play(millis(1500), true);
    assert!(short.lost <= 32, "{} of 50 lost", short.lost);
}
