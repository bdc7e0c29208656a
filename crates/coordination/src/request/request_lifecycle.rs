//! The life cycle of a request at one node, as a typestate. Only a request that was not handed
//! over can be refused as not run, so a false `not-run` does not compile.

use crate::request::outcome::{CallOutcome, RefusalReason};

use lagoonshore_state::data_type;
use std::marker::PhantomData;

data_type! {
    /// `CallRefusal` stands in place of an upstream's answer.
    #[derive(Copy, Eq)]
    pub struct CallRefusal {
        /// What the system vouches for.
        pub outcome: CallOutcome,
        /// Why there is no answer.
        pub reason: RefusalReason,
    }
}

impl CallRefusal {
    /// Tells whether the request is known not to have run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self.outcome, CallOutcome::NotRun)
    }
}

/// `WaitingState` marks a request that holds no slot yet.
#[derive(Debug)]
pub enum WaitingState {}
/// `AdmittedState` marks a request that holds a slot and was not handed over.
#[derive(Debug)]
pub enum AdmittedState {}
/// `DispatchedState` marks a request of which a byte may have reached the upstream.
#[derive(Debug)]
pub enum DispatchedState {}

/// `RequestLifecycle` follows one request from its arrival to its outcome.
#[derive(Debug)]
pub struct RequestLifecycle<S> {
    state: PhantomData<S>,
}

impl RequestLifecycle<WaitingState> {
    /// Starts the life of a request that has just arrived.
    #[must_use]
    pub const fn arrived() -> Self {
        Self { state: PhantomData }
    }

    /// The request was given a slot.
    #[must_use]
    pub const fn admit(self) -> RequestLifecycle<AdmittedState> {
        RequestLifecycle { state: PhantomData }
    }

    /// The request is refused before it was given a slot.
    #[must_use]
    pub const fn refuse(self, reason: RefusalReason) -> CallRefusal {
        CallRefusal {
            outcome: CallOutcome::NotRun,
            reason,
        }
    }
}

impl RequestLifecycle<AdmittedState> {
    /// The first byte is about to go to the upstream.
    #[must_use]
    pub const fn dispatch(self) -> RequestLifecycle<DispatchedState> {
        RequestLifecycle { state: PhantomData }
    }

    /// The request is refused although it held a slot.
    #[must_use]
    pub const fn refuse(self, reason: RefusalReason) -> CallRefusal {
        CallRefusal {
            outcome: CallOutcome::NotRun,
            reason,
        }
    }
}

impl RequestLifecycle<DispatchedState> {
    /// The upstream was proved to have received nothing: its connection was refused.
    #[must_use]
    pub const fn undo_dispatch(self) -> RequestLifecycle<AdmittedState> {
        RequestLifecycle { state: PhantomData }
    }

    /// No whole answer came.
    #[must_use]
    pub const fn fail(self, reason: RefusalReason) -> CallRefusal {
        CallRefusal {
            outcome: CallOutcome::Unknown,
            reason,
        }
    }
}
