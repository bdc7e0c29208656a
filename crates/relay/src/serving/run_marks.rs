//! Count of requests that are being served, kept by marks that live as long as they.

use std::cell::Cell;

/// `RunMark` counts a request for as long as it is being served.
pub(crate) struct RunMark<'a>(&'a Cell<u32>);

impl<'a> RunMark<'a> {
    pub(crate) fn new(running: &'a Cell<u32>) -> Self {
        running.set(running.get() + 1);
        Self(running)
    }
}

impl Drop for RunMark<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
