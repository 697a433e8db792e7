//! Ports of this machine for servers that start later, or again.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Socket, Type};

/// A port that the system gives to nobody else, while servers come and go on it: its socket is bound and does not listen, so
/// connections are refused between two servers. They have to allow the reuse of the address.
#[derive(Debug)]
pub struct ReservedPort {
    _socket: Socket,
    address: SocketAddr,
}

impl ReservedPort {
    /// Reserves any free port of the loopback address.
    ///
    /// # Errors
    /// What the system says where it has no socket or no port.
    pub fn any() -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::Unsupported)?;
        Ok(Self { _socket: socket, address })
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
