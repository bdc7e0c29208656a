//! Limits on retries: tokens that a request carries along its call chain, a ratio of calls at each
//! node, hedges within a budget, and the detection of retries that an upstream makes on its own.

pub mod hedge_budget;
pub mod retry_after;
pub mod retry_budget;
pub mod retry_control;
pub mod retry_detector;
pub mod retry_tokens;
pub mod route_latency;

pub use retry_budget::RetryBudget;
pub use retry_control::{RetryControl, RouteKey};
pub use retry_tokens::{RetryTokens, SharedTokens};
