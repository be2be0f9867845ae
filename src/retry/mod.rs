//! When a request may be sent again.

mod budget;
mod rule;

pub use budget::RetryBudget;
pub use rule::may_retry;
