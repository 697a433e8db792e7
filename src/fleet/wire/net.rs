//! How links reach each other: TCP, or the network of a simulation.

use std::fmt::Debug;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};

/// What the peer wrote.
pub type Read = Box<dyn AsyncRead + Send + Unpin>;
/// To the peer; shut when it is dropped.
pub type Write = Box<dyn AsyncWrite + Send + Unpin>;
/// Both ends of a stream at this side.
pub type Halves = (Read, Write);
/// Something that takes time.
pub type IoFuture<'a, T> = Pin<Box<dyn Future<Output = io::Result<T>> + Send + 'a>>;

/// A network of streams.
pub trait Net: Debug + Send + Sync + 'static {
    /// Connects; the caller bounds the time.
    fn connect(&self, to: SocketAddr) -> IoFuture<'_, Halves>;
    /// Takes an address.
    fn listen(&self, at: SocketAddr) -> IoFuture<'_, Box<dyn Listener>>;
}

/// An address that was taken; given back when it is dropped.
pub trait Listener: Send {
    /// Which one it is.
    fn address(&self) -> io::Result<SocketAddr>;
    /// The next connection.
    fn accept(&mut self) -> IoFuture<'_, Halves>;
}

/// TCP of this machine.
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
