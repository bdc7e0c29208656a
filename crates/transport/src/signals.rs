//! Process signals for stopping and for reloading the settings.

use tokio::signal::unix::{SignalKind, signal};

/// Calls `reload` on each SIGHUP, as long as the process runs.
///
/// # Errors
/// The I/O error if the handler cannot be installed; SIGHUP then keeps its default action and ends
/// the process.
pub fn on_reload(reload: impl Fn() + 'static) -> std::io::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    actix_rt::spawn(async move {
        while hangup.recv().await.is_some() {
            reload();
        }
    });
    Ok(())
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// The I/O error if a handler cannot be installed.
pub async fn wait_for_stop() -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
