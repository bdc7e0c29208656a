//! The end of requests that are still in progress when the process is about to exit.

use tokio::sync::watch;

/// `RequestCutoff` ends requests in progress, so that each one is answered before the process exits.
#[derive(Debug)]
pub struct RequestCutoff {
    is_reached: watch::Sender<bool>,
}

impl Default for RequestCutoff {
    fn default() -> Self {
        Self {
            is_reached: watch::channel(false).0,
        }
    }
}

impl RequestCutoff {
    /// Ends all requests in progress.
    pub fn trigger(&self) {
        self.is_reached.send_replace(true);
    }

    /// Returns whether requests in progress have to end.
    #[must_use]
    pub fn is_reached(&self) -> bool {
        *self.is_reached.borrow()
    }

    /// Waits until requests in progress have to end.
    pub async fn reached(&self) {
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = self
            .is_reached
            .subscribe()
            .wait_for(|reached| *reached)
            .await;
    }
}
