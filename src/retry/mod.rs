//! When a request may be sent again.

mod rule;

pub use rule::may_resend;
