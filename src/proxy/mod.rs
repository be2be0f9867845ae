//! I/O of the request path: callers, endpoints, peers and idempotency keys.

mod answer_body;
mod attempt;
mod board;
mod call;
mod clock;
mod config;
mod drive;
mod gauge;
mod head;
mod keyed;
mod keys;
mod link;
mod metrics;
mod out_body;
mod peer_load;
mod peer_request_handler;
mod pool;
mod pools;
#[allow(clippy::module_inception)]
mod proxy;
mod relay;
mod reply;
mod round;
mod serve;
mod settle;
mod shared;
mod wire;

pub use clock::Clock;
pub use config::ProxyConfig;
pub use metrics::{ProxyMetrics, RequestOutcome};
pub use proxy::Proxy;

use pool::Pool;
