//! Closes the connections of a door one by one, each after its answer.

use std::{cell::Cell, rc::Rc};

/// `CloseSignal` is shared by the doors of a node; once triggered it stays so.
#[derive(Clone, Debug, Default)]
pub struct CloseSignal {
    state: Rc<SignalState>,
}

#[derive(Debug, Default)]
struct SignalState {
    triggered: Cell<bool>,
    unfinished: Cell<u32>,
}

impl CloseSignal {
    /// Has every connection closed after the answer that goes out on it next.
    pub fn trigger(&self) {
        self.state.triggered.set(true);
    }

    /// Connections whose last answer is not written yet.
    #[must_use]
    pub fn unfinished_connections(&self) -> u32 {
        self.state.unfinished.get()
    }
}

/// `ConnectionState` belongs to one connection and ends with it.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    signal: CloseSignal,
    is_closing: Cell<bool>,
}

impl ConnectionState {
    pub(crate) fn new(signal: CloseSignal) -> Rc<Self> {
        Rc::new(Self {
            signal,
            is_closing: Cell::new(false),
        })
    }

    /// Tells whether the connection must end with the answer that is about to go out.
    pub(crate) fn should_close(&self) -> bool {
        let state = &self.signal.state;
        if !state.triggered.get() {
            return false;
        }
        if !self.is_closing.replace(true) {
            state.unfinished.set(state.unfinished.get() + 1);
        }
        true
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        if self.is_closing.get() {
            let unfinished = &self.signal.state.unfinished;
            unfinished.set(unfinished.get() - 1);
        }
    }
}
