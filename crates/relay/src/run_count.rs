//! Count of what is going on, kept by marks that live as long as it does.

use std::{cell::Cell, rc::Rc};

/// `RunCount` counts what is going on now.
pub type RunCount = Rc<Cell<u32>>;

/// `RunMark` counts one thing until it is dropped.
pub(crate) struct RunMark(RunCount);

impl RunMark {
    pub(crate) fn new(count: &RunCount) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for RunMark {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
