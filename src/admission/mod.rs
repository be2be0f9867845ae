//! Admission control of requests: queues by class and team, guaranteed shares, wait estimates and
//! concurrency limits. Token buckets limit other work as well.

mod class_queue;
mod concurrency_limit;
mod latency_window;
mod rate_meter;
mod refusal;
mod service_queue;
mod token_bucket;

pub use class_queue::ClassQueue;
pub use concurrency_limit::ConcurrencyLimit;
pub use latency_window::LatencyWindow;
pub use rate_meter::RateMeter;
pub use refusal::Refusal;
pub use service_queue::{QueueEntry, ServiceQueue, SlotCounts};
pub use token_bucket::TokenBucket;
