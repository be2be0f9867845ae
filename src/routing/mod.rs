//! Routing of requests: choice of endpoints and peers, endpoint health, queues and retries.

mod dispatcher;
mod endpoint;
mod endpoint_pool;
mod endpoint_share;
mod health;
mod incoming_request;
mod load;
mod outcome;
mod peers;
mod service;
mod tracked_request;
mod verdict;

pub use dispatcher::Dispatcher;
pub use endpoint_share::EndpointShare;
pub use incoming_request::{IncomingRequest, RequestId};
pub use load::{PeerLoad, ServiceLoad};
pub use outcome::Outcome;
pub use verdict::{Pick, Verdict};

pub use crate::admission::Refusal;
