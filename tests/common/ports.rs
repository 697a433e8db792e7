//! Ports of this machine for servers of a test that start later, or again.

use std::net::SocketAddr;

use socket2::{Domain, Socket, Type};

/// A port that the system gives to nobody else, while servers of the test come and go on it: its socket is bound and does
/// not listen, so connections are refused between two servers. They have to allow the reuse of the address.
pub struct ReservedPort {
    socket: Socket,
}

impl ReservedPort {
    /// Reserves any free port of the loopback address.
    pub fn any() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        Self { socket }
    }

    /// Its address.
    pub fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap().as_socket().unwrap()
    }
}
