//! The network that links use: [`Tcp`], or the network of a simulation.

use std::fmt::Debug;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// The stream of bytes from the peer.
pub type Read = Box<dyn AsyncRead + Send + Unpin>;
/// The stream of bytes to the peer; it is shut down when dropped.
pub type Write = Box<dyn AsyncWrite + Send + Unpin>;
/// Both directions of a connection.
pub type Halves = (Read, Write);
/// The future of an I/O operation.
pub type IoFuture<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + Send + 'a>>;

/// A network of stream connections.
pub trait Net: Debug + Send + Sync + 'static {
    /// Connects to an address. The caller limits the time.
    fn connect(&self, to: SocketAddr) -> IoFuture<'_, Halves>;
    /// Listens at an address.
    fn listen(&self, at: SocketAddr) -> IoFuture<'_, Box<dyn Listener>>;
}

/// A listening socket; its address is released when it is dropped.
pub trait Listener: Send {
    /// Returns its address.
    fn address(&self) -> io::Result<SocketAddr>;
    /// Accepts the next connection.
    fn accept(&mut self) -> IoFuture<'_, Halves>;
}

/// TCP of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct Tcp;

fn halves(stream: TcpStream) -> io::Result<Halves> {
    stream.set_nodelay(true)?;
    let (read, write) = stream.into_split();
    Ok((Box::new(read), Box::new(write)))
}

impl Net for Tcp {
    fn connect(&self, to: SocketAddr) -> IoFuture<'_, Halves> {
        Box::pin(async move { halves(TcpStream::connect(to).await?) })
    }

    fn listen(&self, at: SocketAddr) -> IoFuture<'_, Box<dyn Listener>> {
        Box::pin(async move { Ok(Box::new(TcpListener::bind(at).await?) as Box<dyn Listener>) })
    }
}

impl Listener for TcpListener {
    fn address(&self) -> io::Result<SocketAddr> {
        self.local_addr()
    }

    fn accept(&mut self) -> IoFuture<'_, Halves> {
        Box::pin(async move { halves(TcpListener::accept(self).await?.0) })
    }
}
