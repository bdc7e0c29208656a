//! Installation of the log subscriber.

use lagoonshore_settings::{LogFormat, node_settings::LogSettings};
use tracing_subscriber::EnvFilter;

/// Installs the log subscriber of the process; logs go to standard error.
pub fn install(settings: &LogSettings) {
    let level = settings.level.as_str();
    // tarpc logs each call at its own levels; only its errors concern operators.
    let filter = EnvFilter::new(format!("{level},tarpc=error"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    // A second installation in one process keeps the first subscriber.
    let _ = match settings.format {
        LogFormat::Json => builder.json().try_init(),
        LogFormat::Text => builder.try_init(),
    };
}
