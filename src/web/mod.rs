//! HTTP plumbing shared by all faces: a server over xitca-web and a caller over hyper-util.

mod caller;
mod codec;
mod inbound;
mod link;
mod routes;
mod server;
mod service;
mod transfer;

pub use caller::Caller;
pub use codec::{decode, encode};
pub use inbound::{BodyError, Inbound, InboundLimits, InboundLoad, InboundRequest, Reservation};
pub use link::{Link, LinkError, LinkRequest};
pub use routes::Routes;
pub use server::Server;
pub use service::{WebReq, WebRes, WebService, packed, read_body, text};
pub use transfer::TransferError;
