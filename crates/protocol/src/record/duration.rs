//! Durations in records: a whole number with its unit, such as `250ms`, `2s` or `1m`.

use std::time::Duration;

/// Longest duration that a record may give.
const DURATION_MAX: Duration = Duration::from_hours(1);

/// Reads a duration between 1 ms and 1 h; `None` for anything else.
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
