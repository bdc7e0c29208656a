//! Reads the bounds of quotas, and refuses those that can't hold.

use super::{
    QuotaSettings,
    number_reader::{NUMBER_MAX, read_seconds},
    relay_text::QuotaText,
};

use crate::value_check::ValueChecker;

use serde_saphyr::Spanned;

/// Least overage of quotas. With less, it would not cover clocks that run fast.
const OVERAGE_MIN: f64 = 0.05;
/// Largest overage of quotas.
const OVERAGE_MAX: f64 = 10.0;
/// Least product of window and overage of quotas, in seconds. With less, tokens would expire within the
/// time of a message.
const OVERRUN_MIN: f64 = 0.1;
/// Least slack of quotas, in requests: with less, the least bucket of a single zone would exceed it.
const SLACK_MIN: f64 = 2.0;

/// Reads the bounds of quotas; the usual ones if `text` is left out.
pub(super) fn read(checker: &mut ValueChecker, text: Option<&QuotaText>) -> QuotaSettings {
    let Some(text) = text else {
        return QuotaSettings::default();
    };
    let overage = &text.overage;
    if !(OVERAGE_MIN..=OVERAGE_MAX).contains(&overage.value) {
        let found = overage.value.to_string();
        let expected = "a number from 0.05 to 10";
        checker.add_error(overage.referenced, "quota.overage", &found, expected);
    }
    let window = read_seconds(checker, "quota.window_seconds", &text.window_seconds);
    if !window.is_zero() && window.as_secs_f64() * overage.value < OVERRUN_MIN {
        let window = &text.window_seconds;
        let found = window.value.to_string();
        let expected = "a number of seconds that is at least 0.1 / quota.overage";
        checker.add_error(window.referenced, "quota.window_seconds", &found, expected);
    }
    QuotaSettings {
        window,
        overage: overage.value,
        slack: read_slack(checker, &text.slack),
    }
}

/// Reads the slack of quotas, half of which has to hold the least that a bucket can hold.
fn read_slack(checker: &mut ValueChecker, text: &Spanned<f64>) -> f64 {
    let value = text.value;
    if (SLACK_MIN..=NUMBER_MAX).contains(&value) {
        return value;
    }
    let found = value.to_string();
    let expected = "a number from 2 to 1000000, 2 for each availability zone";
    checker.add_error(text.referenced, "quota.slack", &found, expected);
    SLACK_MIN
}
