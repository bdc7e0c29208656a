//! Installation of the log writer: JSON lines on the standard output, never waited for.

use lagoonshore_settings::LogLevel;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that wait to be written; further ones are dropped.
const LINES_MAX: usize = 4096;

/// Installs the log writer of the process. Lines are written until the guard is dropped.
pub fn install(level: LogLevel) -> WorkerGuard {
    let level = level.as_str();
    // The peer library logs each call at its own levels; only its faults concern operators.
    let filter = EnvFilter::new(format!("{level},tarpc=error"));
    let (writer, guard): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .buffered_lines_limit(LINES_MAX)
        .lossy(true)
        .finish(std::io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer);
    // A second installation in one process keeps the first writer.
    let _ = builder.json().try_init();
    guard
}
