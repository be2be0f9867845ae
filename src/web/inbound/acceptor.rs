//! Takes new connections into the table of their process.

use std::convert::Infallible;
use std::io;

use xitca_io::net::TcpStream;
use xitca_service::Service;

use super::connection::ConnectionId;
use super::guarded_stream::GuardedStream;
use super::inbound_state::Inbound;
use crate::prelude::*;

/// Builds the acceptor of a worker of the web server. It stands in the place of the TLS handshake,
/// where the server lets each connection be replaced.
pub(in crate::web) struct AcceptorBuilder {
    /// Connections of the process.
    pub inbound: Arc<Inbound>,
    /// Port of the server.
    pub port: u16,
}

impl Service for AcceptorBuilder {
    type Response = Acceptor;
    type Error = Infallible;

    async fn call(&self, (): ()) -> Result<Self::Response, Self::Error> {
        Ok(Acceptor {
            inbound: self.inbound.clone(),
            port: self.port,
        })
    }
}

/// Accepts connections while there is room for them.
pub(in crate::web) struct Acceptor {
    inbound: Arc<Inbound>,
    port: u16,
}

impl Acceptor {
    fn open(&self, stream: TcpStream) -> io::Result<Option<GuardedStream>> {
        let stream = stream.into_std()?;
        stream.set_nodelay(true)?;
        let id = ConnectionId {
            port: self.port,
            client: stream.peer_addr()?,
        };
        let stream = tokio::net::TcpStream::from_std(stream)?;
        Ok(GuardedStream::open(stream, &self.inbound, id))
    }
}

impl Service<TcpStream> for Acceptor {
    type Response = GuardedStream;
    type Error = ();

    async fn call(&self, stream: TcpStream) -> Result<Self::Response, Self::Error> {
        match self.open(stream) {
            Ok(opened) => opened.ok_or(()),
            Err(err) => {
                tracing::debug!(%err, "connection has ended before it was accepted");
                Err(())
            }
        }
    }
}
