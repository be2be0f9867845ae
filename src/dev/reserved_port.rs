//! A loopback port that no other process is given until its own process listens on it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Socket, Type};

/// A socket that is bound but does not listen. With `SO_REUSEADDR` on both sides, a server can
/// listen on the port meanwhile, but the system assigns the port to nobody else.
#[derive(Debug)]
pub struct ReservedPort {
    addr: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves a port that the system chooses.
    pub fn new() -> io::Result<Self> {
        Self::at(0)
    }

    /// Reserves this port; fails if it is in use.
    pub fn at(port: u16) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, port)).into())?;
        let addr = socket.local_addr()?.as_socket();
        Ok(Self {
            addr: addr.ok_or(io::ErrorKind::AddrNotAvailable)?,
            _socket: socket,
        })
    }

    /// Returns the reserved address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}
