//! Counts of requests that are being served, kept by marks that live as long as they.

use lagoonshore_coordination::forwarding::{kind_pacer::KindPacer, slot_queue::KindId};
use std::cell::{Cell, RefCell};

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

/// `PaceMark` counts a paced request until it ends.
pub(crate) struct PaceMark<'a> {
    pub(crate) pacer: &'a RefCell<KindPacer>,
    pub(crate) kind: Option<KindId>,
}

impl Drop for PaceMark<'_> {
    fn drop(&mut self) {
        if let Some(kind) = self.kind {
            self.pacer.borrow_mut().leave(kind);
        }
    }
}
