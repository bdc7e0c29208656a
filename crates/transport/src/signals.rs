//! Signals that end a process or have it read its settings again.

use tokio::signal::unix::{SignalKind, signal};

/// Calls `reload` at each SIGHUP, for as long as the process runs.
///
/// # Errors
/// The cause if no handler can be installed; a SIGHUP ends the process then.
pub fn on_reload(reload: impl Fn() + 'static) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    actix_rt::spawn(async move {
        while hangup.recv().await.is_some() {
            reload();
        }
    });
    Ok(())
}

/// Waits for a request to stop: SIGTERM or SIGINT.
///
/// # Errors
/// The cause if no handler can be installed.
pub async fn wait_for_stop() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
