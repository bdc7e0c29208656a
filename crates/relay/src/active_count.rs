//! Count of what is going on, kept by marks that live as long as it does.

use std::{cell::Cell, rc::Rc};

/// `ActiveCount` counts what is going on now.
pub type ActiveCount = Rc<Cell<u32>>;

/// `ActiveGuard` counts one thing until it is dropped.
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
