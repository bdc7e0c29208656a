//! Idempotency keys: text form, origin, home, hold-down, derived keys and call bindings.

use lagoonshore_coordination::at_most_once::{
    child_key,
    executor_binding::{AttemptResult, CallExecutor, ExecutorBindings},
    idempotency_key::{IdempotencyKey, KeyIssuer, KeyOrigin, OfferedKey},
    key_home::{self, HOLD_DOWN_TIME, KeyHoldDown},
};
use lagoonshore_state::{ids::InstanceName, instance_table::InstanceKey};
use rand::{SeedableRng, rngs::StdRng};
use rstest::rstest;
use std::time::Duration;
use tokio::time::Instant;

fn issuer(instance: &str, incarnation: u64, now: Instant) -> KeyIssuer {
    let mut random = StdRng::seed_from_u64(incarnation);
    KeyIssuer::new(
        "izmit".into(),
        instance.into(),
        incarnation,
        now,
        &mut random,
    )
}

#[test]
fn only_the_incarnation_that_offered_a_key_recognises_it_as_its_own() {
    let now = Instant::now();
    let mut home = issuer("log-1", 1, now);
    let later = now + Duration::from_secs(3);
    let text = home.offer(later).to_string();
    let Some(IdempotencyKey::Offered(key)) = IdempotencyKey::parse(&text) else {
        panic!("{text} must parse as an offered key");
    };
    assert_eq!(home.origin_of(&key), KeyOrigin::Own);
    assert_eq!(home.birth(&key), later);
    let restarted = issuer("log-1", 2, now);
    assert_eq!(restarted.origin_of(&key), KeyOrigin::OtherIncarnation);
    assert_eq!(
        issuer("log-2", 1, now).origin_of(&key),
        KeyOrigin::OtherInstance
    );
    for forged in [
        OfferedKey {
            sequence: 2,
            ..key.clone()
        },
        OfferedKey {
            birth: 9000,
            ..key.clone()
        },
        OfferedKey {
            zone: "gebze".into(),
            ..key.clone()
        },
    ] {
        assert_eq!(home.origin_of(&forged), KeyOrigin::Forged);
    }
}

#[rstest]
#[case::empty("")]
#[case::space("a b")]
#[case::other_text_form("lk1:izmit:log-1:1:1:0:1")]
#[case::upper_case("lk1:izmit:log-1:0000000000000001:A:0:0000000000000001")]
#[case::missing_part("lk1:izmit:log-1:0000000000000001:a:0")]
fn malformed_keys_are_rejected(#[case] text: &str) {
    assert_eq!(IdempotencyKey::parse(text), None);
    assert_eq!(IdempotencyKey::parse(&"k".repeat(256)), None);
}

#[test]
fn few_keys_move_when_an_instance_joins() {
    let members: Vec<InstanceName> = (0..5)
        .map(|number| format!("log-{number}").into())
        .collect();
    let keys: Vec<_> = (0..1000).map(|number| format!("key-{number}")).collect();
    let moved = keys.iter().filter(|key| {
        let before = key_home::choose(key, &members[..4]);
        let after = key_home::choose(key, &members);
        assert!(after == before || after == Some(&members[4]));
        after != before
    });
    let moved = moved.count();
    assert!((150..250).contains(&moved), "{moved} of 1000 keys moved");
}

#[test]
fn a_caller_made_key_runs_only_after_a_confirmed_hold_down() {
    let start = Instant::now();
    let at = |seconds| start + Duration::from_secs(seconds);
    let members = || vec!["log-1".into(), "log-2".into()];
    let mut hold_down = KeyHoldDown::default();
    assert!(!hold_down.can_run(at(1000), None), "no list was observed");
    hold_down.observe(at(0), members(), true);
    assert!(!hold_down.can_run(
        start + HOLD_DOWN_TIME.saturating_sub(Duration::from_millis(1)),
        None
    ));
    assert!(hold_down.can_run(start + HOLD_DOWN_TIME, None));
    // A key made after the hold-down began cannot have run before it.
    assert!(hold_down.can_run(at(10), Some(at(5))));
    hold_down.observe(at(200), vec!["log-1".into()], true);
    assert!(!hold_down.can_run(at(210), None), "the list changed");
    assert!(!hold_down.can_run(at(210), Some(at(199))));
    hold_down.observe(at(400), vec!["log-1".into()], false);
    assert!(
        !hold_down.can_run(at(400), None),
        "the platform cannot be read"
    );
    hold_down.observe(at(401), vec!["log-1".into()], true);
    assert!(!hold_down.can_run(at(402), None), "the hold-down restarts");
}

#[test]
fn derived_keys_depend_on_parent_service_and_ordinal() {
    let key = child_key::derive("parent", "orderdesk", 1);
    assert_eq!(key, child_key::derive("parent", "orderdesk", 1));
    let others = [
        child_key::derive("parent", "orderdesk", 2),
        child_key::derive("parent", "proofer", 1),
        child_key::derive("parentorder", "desk", 1),
    ];
    assert!(!others.contains(&key));
}

#[test]
fn a_call_is_unbound_only_when_no_attempt_may_have_run_it() {
    let now = Instant::now();
    let executor = |incarnation| CallExecutor {
        instance: InstanceKey::default(),
        incarnation,
    };
    let (first, second) = (executor(1), executor(2));
    let mut bindings = ExecutorBindings::default();
    assert_eq!(bindings.bind(now, "key", first), Some(first));
    assert_eq!(bindings.bind(now, "key", second), Some(first));
    assert!(
        !bindings.end_attempt("key", AttemptResult::NotRun),
        "an attempt is open"
    );
    assert!(bindings.end_attempt("key", AttemptResult::NotRun));
    assert_eq!(bindings.bind(now, "key", second), Some(second));
    assert!(!bindings.end_attempt("key", AttemptResult::MayHaveRun));
    assert_eq!(bindings.bind(now, "key", first), Some(second));
    assert!(
        !bindings.end_attempt("key", AttemptResult::NotRun),
        "an earlier attempt may have run it"
    );
    assert_eq!(bindings.executor("key"), Some(second));
}
