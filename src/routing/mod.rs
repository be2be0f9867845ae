//! Selection of endpoints for requests, and the state that it is based on.

mod arrival;
mod dispatcher;
mod endpoint_share;
mod load;
mod outcome;
mod verdict;

pub use arrival::{Arrival, RequestId};
pub use dispatcher::Dispatcher;
pub use endpoint_share::EndpointShare;
pub use load::{PeerLoad, ServiceLoad};
pub use outcome::Outcome;
pub use verdict::{Pick, Verdict};

pub use crate::admission::Refusal;
