//! Messages between entry processes, and the node that runs a membership.

mod calls;
mod codec;
mod local;
mod loops;
mod news;
mod node;
mod owner;
mod regions;
mod service;
mod store_calls;

pub use codec::{pack, unpack};
pub use local::{LocalState, NoLocalState};
pub use news::{PeerNews, RegionNews, RegionsNews, ViewNews, VmNews};
pub use node::{MemberNode, NodeConfig};
pub use service::PeerService;
