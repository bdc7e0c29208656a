//! Graceful close of listener connections: each one is closed after its next response.

use std::{cell::Cell, rc::Rc};

/// `CloseSignal` is shared by the listeners of a node; once triggered it stays triggered.
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
    /// Closes every connection after the next response on it.
    pub fn trigger(&self) {
        self.state.triggered.set(true);
    }

    /// Returns the number of connections whose last response is being written.
    #[must_use]
    pub fn unfinished_connections(&self) -> u32 {
        self.state.unfinished.get()
    }
}

/// `ConnectionState` is the close state of one connection; dropped with the connection.
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

    /// Returns whether the connection must be closed after the response that is about to be
    /// written, and counts it as unfinished if so.
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
