//! Installation of the log writer: JSON lines on standard output, written without blocking.

use lagoonshore_settings::LogLevel;
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines buffered for the writer thread; further lines are dropped.
const BUFFERED_LINES_MAX: usize = 4096;

/// Installs the log writer of the process. Buffered lines are flushed when the guard is dropped.
pub fn install(level: LogLevel) -> WorkerGuard {
    let level = level.as_str();
    // tarpc logs each call at its own levels; only its errors concern operators.
    let filter = EnvFilter::new(format!("{level},tarpc=error"));
    let (writer, guard): (NonBlocking, WorkerGuard) = NonBlockingBuilder::default()
        .buffered_lines_limit(BUFFERED_LINES_MAX)
        .lossy(true)
        .finish(std::io::stdout());
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer);
    // A second installation in the same process keeps the first writer.
    let _ = builder.json().try_init();
    guard
}
