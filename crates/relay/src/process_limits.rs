//! What the process may use, by its settings and by the operating system.

use lagoonshore_coordination::protection::connection_bound::ProcessLimits;
use lagoonshore_settings::RelaySettings;

/// Limits of the process as the operating system shows them.
const LIMITS_FILE: &str = "/proc/self/limits";
/// Name of the line about descriptors.
const DESCRIPTORS_LINE: &str = "Max open files";
/// Descriptors if neither the settings nor the operating system tell.
const DESCRIPTORS_DEFAULT: u32 = 4096;
/// Bytes in one MiB.
const BYTES_PER_MIB: u64 = 1024 * 1024;

/// Returns what the process may use.
pub(crate) fn of_process(settings: &RelaySettings) -> ProcessLimits {
    let descriptors = settings.callers.descriptors.or_else(allowed_descriptors);
    ProcessLimits {
        descriptors: descriptors.unwrap_or(DESCRIPTORS_DEFAULT),
        memory_bytes: u64::from(settings.memory_mib) * BYTES_PER_MIB,
    }
}

/// Descriptors that the operating system allows.
fn allowed_descriptors() -> Option<u32> {
    let text = std::fs::read_to_string(LIMITS_FILE).ok()?;
    descriptors_in(&text)
}

/// The lower limit on descriptors in the text of [`LIMITS_FILE`]; `None` if there is no number.
fn descriptors_in(text: &str) -> Option<u32> {
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(DESCRIPTORS_LINE));
    line?.split_whitespace().next()?.parse().ok()
}
