//! Counts of operations in progress, decremented by guards.

use std::{cell::Cell, rc::Rc};

/// `ActiveCount` is a shared count of requests or connections in progress.
pub type ActiveCount = Rc<Cell<u32>>;

/// `ActiveGuard` counts one request or connection until it is dropped.
pub(crate) struct ActiveGuard(ActiveCount);

impl ActiveGuard {
    pub(crate) fn new(count: &ActiveCount) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
