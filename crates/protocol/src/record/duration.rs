//! Durations in records: a whole number with its unit, such as `250ms`, `2s` or `1m`.

use std::time::Duration;

/// Longest duration accepted in a record.
const DURATION_MAX: Duration = Duration::from_hours(1);

/// Parses a duration from 1 ms to 1 h; returns `None` for anything else.
#[must_use]
pub fn parse(text: &str) -> Option<Duration> {
    let digits = text.find(|letter: char| !letter.is_ascii_digit())?;
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().ok()?;
    let millis = match unit {
        "ms" => number,
        "s" => number.checked_mul(1000)?,
        "m" => number.checked_mul(60_000)?,
        _ => return None,
    };
    let duration = Duration::from_millis(millis);
    (!duration.is_zero() && duration <= DURATION_MAX).then_some(duration)
}
