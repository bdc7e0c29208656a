//! The side that sends a call: the choice, repeats, hedges, and what a refusal says.

pub mod bound_call;
pub mod call_attempt;
pub mod call_router;
pub mod hedged_call;
pub mod refusals;
pub mod routed_call;
