//! Reads the settings of a forwarding node from their layout.

use super::{
    CallerSettings, RelayListenSettings, RelaySettings, RetrySettings, StoreSettings, ZoneSettings,
    number_reader::{SECONDS_MAX, read_number, read_seconds, read_whole_number},
    quota_reader,
    relay_text::{ListenText, RelayText, RetryText, ZoneText},
};

use crate::{
    node_settings::{CONTROL_MODES, ControlMode, LOG_LEVELS, LogLevel},
    value_check::ValueChecker,
};

use std::time::Duration;

/// Shortest bound on the use of keys that were taken away, in seconds. Nodes have to read the store
/// several times within it.
const REVOCATION_SECONDS_MIN: f64 = 1.0;
/// Reads all settings; `checker` collects the errors.
pub(super) fn read(checker: &mut ValueChecker, text: &RelayText) -> RelaySettings {
    let reuse_time = &text.address_reuse_seconds;
    RelaySettings {
        node: checker.read_name("node", &text.node),
        service: checker.read_name("service", &text.service),
        zone: checker.read_name("zone", &text.zone),
        region: checker.read_name("region", &text.region),
        listen: read_listen(checker, &text.listen),
        upstream: checker.read_address("upstream", &text.upstream),
        store: read_store(checker, text),
        retries: read_retries(checker, &text.repeats),
        quotas: quota_reader::read(checker, text.quota.as_ref()),
        zones: read_zones(checker, text.zones.as_ref()),
        grace_time: read_seconds(checker, "grace_seconds", &text.grace_seconds),
        address_reuse_time: read_seconds(checker, "address_reuse_seconds", reuse_time),
        memory_mib: read_whole_number(checker, "memory_mib", &text.memory_mib),
        callers: read_callers(checker, text),
        log: read_log(checker, text),
        control: read_control(checker, text),
    }
}

fn read_listen(checker: &mut ValueChecker, text: &ListenText) -> RelayListenSettings {
    RelayListenSettings {
        callers: checker.read_address("listen.callers", &text.callers),
        ready: checker.read_address("listen.ready", &text.ready),
        peers: checker.read_address("listen.peers", &text.peers),
        admin: checker.read_address("listen.admin", &text.admin),
    }
}

fn read_log(checker: &mut ValueChecker, text: &RelayText) -> LogLevel {
    let expected = "error, warn, info, debug or trace";
    checker.read_choice("log", text.log.as_ref(), &LOG_LEVELS, expected)
}

fn read_control(checker: &mut ValueChecker, text: &RelayText) -> ControlMode {
    let expected = "enforce or pass-through";
    checker.read_choice("control", text.control.as_ref(), &CONTROL_MODES, expected)
}

fn read_store(checker: &mut ValueChecker, text: &RelayText) -> StoreSettings {
    let mut settings = StoreSettings::new(checker.read_address("store", &text.store));
    if let Some(seconds) = &text.settle_seconds {
        settings.settle_time = read_seconds(checker, "settle_seconds", seconds);
    }
    if let Some(seconds) = &text.drain_seconds {
        settings.drain_time = read_seconds(checker, "drain_seconds", seconds);
    }
    if let Some(seconds) = &text.apply_seconds {
        settings.apply_time = read_seconds(checker, "apply_seconds", seconds);
    }
    if let Some(seconds) = &text.heartbeat_seconds {
        settings.heartbeat_interval = read_seconds(checker, "heartbeat_seconds", seconds);
    }
    settings.revocation_time = read_revocation(checker, text);
    settings
}

fn read_callers(checker: &mut ValueChecker, text: &RelayText) -> CallerSettings {
    let mut settings = CallerSettings::default();
    if let Some(count) = &text.descriptors {
        settings.descriptors = Some(read_whole_number(checker, "descriptors", count));
    }
    if let Some(count) = &text.caller_connections {
        settings.connections = read_whole_number(checker, "caller_connections", count);
    }
    if let Some(seconds) = &text.body_seconds {
        settings.body_time = read_seconds(checker, "body_seconds", seconds);
    }
    if let Some(rate) = &text.body_bytes_per_second {
        settings.body_bytes_per_second = read_whole_number(checker, "body_bytes_per_second", rate);
    }
    if let Some(seconds) = &text.response_seconds {
        settings.response_time = read_seconds(checker, "response_seconds", seconds);
    }
    if let Some(rate) = &text.response_bytes_per_second {
        let key = "response_bytes_per_second";
        settings.response_bytes_per_second = read_whole_number(checker, key, rate);
    }
    settings
}

/// Reads the bound on the use of keys that were taken away, which needs both of its settings.
fn read_revocation(checker: &mut ValueChecker, text: &RelayText) -> Option<Duration> {
    let is_strict = text.revocation_strict.as_ref()?;
    if !is_strict.value {
        return None;
    }
    let key = "revocation_seconds";
    let expected = "a number of seconds from 1 to 3600";
    let Some(seconds) = &text.revocation_seconds else {
        checker.add_error(is_strict.referenced, key, "nothing", expected);
        return None;
    };
    if (REVOCATION_SECONDS_MIN..=SECONDS_MAX).contains(&seconds.value) {
        return Some(Duration::from_secs_f64(seconds.value));
    }
    checker.add_error(
        seconds.referenced,
        key,
        &seconds.value.to_string(),
        expected,
    );
    None
}

fn read_retries(checker: &mut ValueChecker, text: &RetryText) -> RetrySettings {
    RetrySettings {
        ratio: read_number(checker, "repeats.ratio", &text.ratio),
        slack: read_number(checker, "repeats.slack", &text.slack),
        window: read_seconds(checker, "repeats.window_seconds", &text.window_seconds),
        counts_earlier: text.earlier_windows.unwrap_or(false),
    }
}

fn read_zones(checker: &mut ValueChecker, text: Option<&ZoneText>) -> ZoneSettings {
    let mut settings = ZoneSettings::default();
    if let Some(cost) = text.and_then(|text| text.leave_cost_ms.as_ref()) {
        let millis = read_number(checker, "zones.leave_cost_ms", cost);
        settings.leave_cost = Duration::from_secs_f64(millis / 1000.0);
    }
    settings
}
