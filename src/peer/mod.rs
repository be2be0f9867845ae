//! Messages between entry processes, and the node that runs the membership of a process.

mod calls;
mod codec;
mod local;
mod loops;
mod node;
mod ownership;
mod published;
mod regions;
mod service;
mod store_calls;

pub use codec::{pack, unpack};
pub use local::{LocalState, NoLocalState};
pub use node::{MemberNode, NodeConfig};
pub use published::{PeerStatus, RegionStatus, RegionsSnapshot, ViewSnapshot, VmSnapshot};
pub use service::PeerService;
