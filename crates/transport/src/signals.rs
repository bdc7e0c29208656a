//! Signals that end a process.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for a request to stop: SIGTERM or SIGINT.
///
/// # Errors
/// The cause if no handler can be installed.
pub async fn stop_requested() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
