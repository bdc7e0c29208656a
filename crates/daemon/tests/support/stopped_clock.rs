//! The clock of the runtime, stopped while tasks talk over sockets.
//!
//! A paused clock jumps to the next timer whenever the runtime has nothing to do, as while a socket is
//! not ready. It does not while a blocking task runs, so that one runs until the clock goes on.

use std::{sync::mpsc, time::Duration};
use tokio::task::JoinHandle;

/// `StoppedClock` keeps the clock stopped until it is released.
pub struct StoppedClock {
    release: mpsc::Sender<()>,
    blocking: JoinHandle<()>,
}

impl StoppedClock {
    /// Stops the clock.
    pub fn stop() -> Self {
        let (release, released) = mpsc::channel();
        let blocking = tokio::task::spawn_blocking(move || {
            // An error means that the test has ended.
            let _ = released.recv();
        });
        tokio::time::pause();
        Self { release, blocking }
    }

    /// Waits until `condition` holds, without any time passing.
    pub async fn wait_until(&self, condition: impl Fn() -> bool) {
        while !condition() {
            tokio::task::yield_now().await;
        }
    }

    /// Lets `time` pass at once.
    pub async fn advance(&self, time: Duration) {
        tokio::time::advance(time).await;
    }

    /// Lets the clock go on.
    pub async fn release(self) {
        tokio::time::resume();
        drop(self.release);
        self.blocking.await.expect("the blocking task ends");
    }
}
