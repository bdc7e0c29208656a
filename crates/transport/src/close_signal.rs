//! Closes the connections of a door one by one, each after its answer.

use std::{cell::Cell, rc::Rc};

/// `CloseSignal` is shared by the doors of a node; once thrown it stays so.
#[derive(Clone, Debug, Default)]
pub struct CloseSignal {
    state: Rc<SwitchState>,
}

#[derive(Debug, Default)]
struct SwitchState {
    thrown: Cell<bool>,
    marked: Cell<u32>,
}

impl CloseSignal {
    /// Has every connection closed after the answer that goes out on it next.
    pub fn trigger(&self) {
        self.state.thrown.set(true);
    }

    /// Connections whose last answer is not written yet.
    #[must_use]
    pub fn unfinished_connections(&self) -> u32 {
        self.state.marked.get()
    }
}

/// `ConnectionMark` belongs to one connection and ends with it.
#[derive(Debug)]
pub(crate) struct ConnectionMark {
    switch: CloseSignal,
    is_marked: Cell<bool>,
}

impl ConnectionMark {
    pub(crate) fn new(switch: CloseSignal) -> Rc<Self> {
        Rc::new(Self {
            switch,
            is_marked: Cell::new(false),
        })
    }

    /// Tells whether the connection must end with the answer that is about to go out.
    pub(crate) fn closes(&self) -> bool {
        let state = &self.switch.state;
        if !state.thrown.get() {
            return false;
        }
        if !self.is_marked.replace(true) {
            state.marked.set(state.marked.get() + 1);
        }
        true
    }
}

impl Drop for ConnectionMark {
    fn drop(&mut self) {
        if self.is_marked.get() {
            let marked = &self.switch.state.marked;
            marked.set(marked.get() - 1);
        }
    }
}
