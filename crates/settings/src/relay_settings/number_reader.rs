//! Reads numbers of settings within their bounds.

use crate::value_check::ValueChecker;

use serde_saphyr::Spanned;
use std::time::Duration;

/// Largest duration accepted for a setting, in seconds.
pub(super) const SECONDS_MAX: f64 = 3600.0;
/// Largest number accepted for a setting.
pub(super) const NUMBER_MAX: f64 = 1_000_000.0;

/// Reads a number from 0 to [`NUMBER_MAX`].
pub(super) fn read_number(checker: &mut ValueChecker, key: &str, text: &Spanned<f64>) -> f64 {
    let value = text.value;
    if (0.0..=NUMBER_MAX).contains(&value) {
        return value;
    }
    let found = value.to_string();
    checker.add_error(text.referenced, key, &found, "a number from 0 to 1000000");
    0.0
}

/// Reads a duration above 0, at most [`SECONDS_MAX`].
pub(super) fn read_seconds(checker: &mut ValueChecker, key: &str, text: &Spanned<f64>) -> Duration {
    let value = text.value;
    if value > 0.0 && value <= SECONDS_MAX {
        return Duration::from_secs_f64(value);
    }
    let found = value.to_string();
    checker.add_error(
        text.referenced,
        key,
        &found,
        "a number of seconds above 0, at most 3600",
    );
    Duration::ZERO
}

/// Reads a whole number from 1 to [`NUMBER_MAX`].
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(super) fn read_whole_number(checker: &mut ValueChecker, key: &str, text: &Spanned<f64>) -> u32 {
    let value = text.value;
    if (1.0..=NUMBER_MAX).contains(&value) && value.fract() == 0.0 {
        return value as u32;
    }
    let found = value.to_string();
    checker.add_error(
        text.referenced,
        key,
        &found,
        "a whole number from 1 to 1000000",
    );
    0
}
