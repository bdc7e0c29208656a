//! The lifecycle of a request at one node, as a typestate. Only a request that was not dispatched
//! can be refused as [`CallOutcome::NotRun`], so a false `not-run` does not compile.

use crate::request::outcome::{CallOutcome, RefusalReason};

use lagoonshore_state::data_type;
use std::marker::PhantomData;

data_type! {
    /// `CallRefusal` is returned in place of an upstream's response.
    #[derive(Copy, Eq)]
    pub struct CallRefusal {
        /// Whether the request ran.
        pub outcome: CallOutcome,
        /// Why no response is relayed.
        pub reason: RefusalReason,
    }
}

impl CallRefusal {
    /// Returns whether the request is known not to have run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self.outcome, CallOutcome::NotRun)
    }
}

/// `WaitingState` marks a request that holds no slot yet.
#[derive(Debug)]
pub enum WaitingState {}
/// `AdmittedState` marks a request that holds a slot and was not dispatched.
#[derive(Debug)]
pub enum AdmittedState {}
/// `DispatchedState` marks a request of which at least one byte may have reached the upstream.
#[derive(Debug)]
pub enum DispatchedState {}

/// `RequestLifecycle` tracks one request from its arrival to its outcome.
#[derive(Debug)]
pub struct RequestLifecycle<S> {
    state: PhantomData<S>,
}

impl RequestLifecycle<WaitingState> {
    /// Creates the lifecycle of a request that has just arrived.
    #[must_use]
    pub const fn arrived() -> Self {
        Self { state: PhantomData }
    }

    /// Marks the request as holding a slot.
    #[must_use]
    pub const fn admit(self) -> RequestLifecycle<AdmittedState> {
        RequestLifecycle { state: PhantomData }
    }

    /// Refuses the request before it holds a slot.
    #[must_use]
    pub const fn refuse(self, reason: RefusalReason) -> CallRefusal {
        CallRefusal {
            outcome: CallOutcome::NotRun,
            reason,
        }
    }
}

impl RequestLifecycle<AdmittedState> {
    /// Marks the request as dispatched; called before the first byte is sent to the upstream.
    #[must_use]
    pub const fn dispatch(self) -> RequestLifecycle<DispatchedState> {
        RequestLifecycle { state: PhantomData }
    }

    /// Refuses the request before it is dispatched.
    #[must_use]
    pub const fn refuse(self, reason: RefusalReason) -> CallRefusal {
        CallRefusal {
            outcome: CallOutcome::NotRun,
            reason,
        }
    }
}

impl RequestLifecycle<DispatchedState> {
    /// Reverts to the admitted state: the upstream refused the connection and received nothing.
    #[must_use]
    pub const fn undo_dispatch(self) -> RequestLifecycle<AdmittedState> {
        RequestLifecycle { state: PhantomData }
    }

    /// Ends the request without a complete response; it may have run.
    #[must_use]
    pub const fn fail(self, reason: RefusalReason) -> CallRefusal {
        CallRefusal {
            outcome: CallOutcome::Unknown,
            reason,
        }
    }
}
