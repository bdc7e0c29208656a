//! Installation of the log writer.

use lagoonshore_settings::{LogFormat, node_settings::LogSettings};
use tracing_subscriber::EnvFilter;

/// Installs the log writer of the process; logs go to the standard error stream.
pub fn install(settings: &LogSettings) {
    let level = settings.level.as_str();
    // The peer library logs each call at its own levels; only its faults concern operators.
    let filter = EnvFilter::new(format!("{level},tarpc=error"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // A second installation in one process keeps the first writer.
    let _ = match settings.format {
        LogFormat::Json => builder.json().try_init(),
        LogFormat::Text => builder.try_init(),
    };
}
