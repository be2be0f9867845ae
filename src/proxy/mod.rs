//! I/O of the request path: relays requests of callers to endpoints and peers, and deduplicates
//! them by idempotency key.

mod attempt;
mod call;
mod caller_response_body;
mod clock;
mod config;
mod connection;
mod dispatch;
mod head;
mod in_flight;
mod key_store;
mod keyed;
mod metered_stream;
mod metrics;
mod peer_load;
mod peer_request_handler;
mod pool;
mod pools;
#[allow(clippy::module_inception)]
mod proxy;
mod relay;
mod reply;
mod request_router;
mod request_task;
mod round;
mod serve;
mod shared;
mod upstream_request_body;

pub use clock::Clock;
pub use config::ProxyConfig;
pub use metrics::{ProxyMetrics, RequestOutcome};
pub use proxy::Proxy;

use pool::Pool;
