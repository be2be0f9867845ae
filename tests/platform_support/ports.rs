//! Ports of one daemon of a test site.

use std::net::SocketAddr;

use sapphirecroft::dev::ReservedPort;

/// Ports that stay reserved while their daemon is down. A socket that listened to find a free port
/// would not do: a child that another test is starting holds a copy of it until its exec.
pub struct DaemonPorts {
    frontend: ReservedPort,
    readiness: ReservedPort,
    internal: [ReservedPort; 2],
}

impl DaemonPorts {
    /// Reserves the ports of a daemon, the internal ones side by side.
    pub fn reserve() -> Self {
        let reserve = || ReservedPort::new().expect("a port is free");
        let internal = loop {
            let first = reserve();
            if let Ok(second) = ReservedPort::at(first.addr().port().saturating_add(1)) {
                break [first, second];
            }
        };
        Self {
            frontend: reserve(),
            readiness: reserve(),
            internal,
        }
    }

    /// Returns the address for callers.
    pub fn frontend(&self) -> SocketAddr {
        self.frontend.addr()
    }

    /// Returns the address of the readiness check.
    pub fn readiness(&self) -> SocketAddr {
        self.readiness.addr()
    }

    /// Returns the address for peers.
    pub fn peer(&self) -> SocketAddr {
        self.internal[0].addr()
    }

    /// Returns the first and last port for peers and metrics.
    pub fn internal(&self) -> [u16; 2] {
        self.internal.each_ref().map(|port| port.addr().port())
    }
}
