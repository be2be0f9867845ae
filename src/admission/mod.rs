//! Admission of requests: classes, shares, deadlines and concurrency limits.

mod refusal;

pub use refusal::Refusal;
