//! Selection of endpoints for requests, and the state that it is based on.

mod arrival;
mod dispatcher;
mod endpoint;
mod endpoint_share;
mod fleet;
mod health;
mod load;
mod outcome;
mod peers;
mod service;
mod tracked;
mod verdict;

pub use arrival::{Arrival, RequestId};
pub use dispatcher::Dispatcher;
pub use endpoint_share::EndpointShare;
pub use load::{PeerLoad, ServiceLoad};
pub use outcome::Outcome;
pub use verdict::{Pick, Verdict};

pub use crate::admission::Refusal;
