//! Outgoing calls: choice of the instance, retries, hedges and refusals.

pub mod bound_call;
pub mod call_attempt;
pub mod call_router;
pub mod hedged_call;
pub mod refusals;
pub mod routed_call;
