//! Bounds on repeats: tokens that a request carries along its call chain, a ratio at each node,
//! hedges within a budget, and the recognition of repeats that an upstream makes itself.

pub mod hedge_budget;
pub mod repeat_table;
pub mod retry_after;
pub mod retry_budget;
pub mod retry_control;
pub mod route_latency;
pub mod token_purse;

pub use retry_budget::RetryBudget;
pub use retry_control::{RetryControl, RouteKey};
pub use token_purse::{SharedPurse, TokenPurse};
