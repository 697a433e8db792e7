//! The ends of simulated streams, as the fleet's wire holds them.

use std::future::poll_fn;
use std::io::{ErrorKind, Result};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::net::{Network, Segment, WINDOW};
use crate::fleet::wire::net::{Halves, IoFuture, Listener};

/// Reads what arrived on a pipe.
pub(super) struct ReadHalf {
    network: Network,
    pipe: u64,
}

/// Writes onto a pipe.
pub(super) struct WriteHalf {
    network: Network,
    pipe: u64,
}

/// An address that a member holds.
pub(super) struct Accepting {
    network: Network,
    at: SocketAddr,
}

impl ReadHalf {
    pub fn new(network: &Network, pipe: u64) -> Self {
        Self { network: network.clone(), pipe }
    }
}

impl WriteHalf {
    pub fn new(network: &Network, pipe: u64) -> Self {
        Self { network: network.clone(), pipe }
    }
}

impl Accepting {
    pub fn new(network: &Network, at: SocketAddr) -> Self {
        Self { network: network.clone(), at }
    }
}

impl AsyncRead for ReadHalf {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let mut inner = self.network.lock();
        let Some(pipe) = inner.pipes.get_mut(&self.pipe) else {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        };
        let n = out.remaining().min(pipe.arrived.len());
        if n > 0 {
            let bytes: Vec<u8> = pipe.arrived.drain(..n).collect();
            out.put_slice(&bytes);
            pipe.held -= n;
            pipe.writer.take().into_iter().for_each(std::task::Waker::wake);
            return Poll::Ready(Ok(()));
        }
        if pipe.reset {
            return Poll::Ready(Err(ErrorKind::ConnectionReset.into()));
        }
        if pipe.ended {
            return Poll::Ready(Ok(()));
        }
        pipe.reader = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl Drop for ReadHalf {
    fn drop(&mut self) {
        let mut inner = self.network.lock();
        let Some(pipe) = inner.pipes.get_mut(&self.pipe) else { return };
        // What comes from here on is refused; the end of the stream is told by the other half.
        pipe.reader_gone = true;
        if pipe.ended || pipe.reset && pipe.writer_gone {
            inner.pipes.remove(&self.pipe);
        }
    }
}

impl AsyncWrite for WriteHalf {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        let mut inner = self.network.lock();
        let Some(pipe) = inner.pipes.get_mut(&self.pipe) else {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        };
        if pipe.reset {
            return Poll::Ready(Err(ErrorKind::BrokenPipe.into()));
        }
        let n = bytes.len().min(WINDOW.saturating_sub(pipe.held));
        if n == 0 {
            pipe.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        inner.send(self.pipe, Segment::Bytes(bytes[..n].to_vec()));
        Poll::Ready(Ok(n))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Drop for WriteHalf {
    fn drop(&mut self) {
        let mut inner = self.network.lock();
        let Some(pipe) = inner.pipes.get_mut(&self.pipe) else { return };
        pipe.writer_gone = true;
        let (from, over) = (pipe.from, pipe.reset && pipe.reader_gone);
        if over {
            inner.pipes.remove(&self.pipe);
        } else if !inner.off(from) {
            inner.send(self.pipe, Segment::Fin);
        }
    }
}

impl Listener for Accepting {
    fn address(&self) -> Result<SocketAddr> {
        Ok(self.at)
    }

    fn accept(&mut self) -> IoFuture<'_, Halves> {
        Box::pin(poll_fn(|cx| {
            let mut inner = self.network.lock();
            let Some(listening) = inner.listeners.get_mut(&self.at) else {
                return Poll::Ready(Err(ErrorKind::NotConnected.into()));
            };
            if let Some(halves) = listening.queue.pop_front() {
                return Poll::Ready(Ok(halves));
            }
            listening.waker = Some(cx.waker().clone());
            Poll::Pending
        }))
    }
}

impl Drop for Accepting {
    fn drop(&mut self) {
        // What waits there locks the network when it is dropped.
        let listening = self.network.lock().listeners.remove(&self.at);
        drop(listening);
    }
}
