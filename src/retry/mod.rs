//! Rules and budget for retrying a request.

mod budget;
mod rule;

pub use budget::RetryBudget;
pub use rule::may_retry;
