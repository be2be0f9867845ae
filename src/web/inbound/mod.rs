//! Connections of clients, and what the process holds of the requests that they have not completed.
//!
//! One table covers all ports of a process. Its limits follow from the memory and the descriptors of
//! the VM. When one is reached, the connections that hold most for longest are closed, so that slow
//! clients in any number do not keep others out.

mod acceptor;
mod body_error;
mod connection;
mod connection_table;
mod guarded_stream;
mod inbound_request;
mod inbound_state;
mod limits;
#[cfg(test)]
mod tests;

pub(super) use acceptor::AcceptorBuilder;
pub use body_error::BodyError;
pub(super) use connection::ConnectionId;
pub use inbound_request::{InboundRequest, Reservation};
pub use inbound_state::{Inbound, InboundLoad};
pub use limits::InboundLimits;
