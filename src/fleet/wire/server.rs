//! The answering end of links.

use std::collections::BTreeMap;
use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;

use super::client::READ;
use super::codec::{encode, Decoder, FrameError, Opening, MAX_FRAME, MAX_OPENING};
use super::message::{Push, Request, Response, ServerFrame};
use super::net::{Halves, Listener, Read, Write};
use super::{
    Counters, LocalEnd, WireError, IDLE_TIMEOUT, MAX_IN_FLIGHT, MAX_LINKS, OPENING_TIMEOUT, WRITE_TIMEOUT,
};

/// Answers and pushes that wait to be written on one link.
const MAX_QUEUE: usize = 16;
/// After a connection could not be taken, such as for want of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Who asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOrigin {
    /// The name that its opening said.
    pub name: String,
    /// The number of its link.
    pub link: u64,
}

/// An answer in the making.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// What answers requests; several at once.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request, in less than [`super::STALL_TIMEOUT`].
    fn answer(&self, from: Arc<RequestOrigin>, request: Request) -> ResponseFuture;
}

impl<F> Handler for F
where
    F: Fn(Arc<RequestOrigin>, Request) -> ResponseFuture + Send + Sync + 'static,
{
    fn answer(&self, from: Arc<RequestOrigin>, request: Request) -> ResponseFuture {
        self(from, request)
    }
}

struct Link {
    name: String,
    out: mpsc::Sender<Vec<u8>>,
}

struct Shared {
    local: LocalEnd,
    handler: Box<dyn Handler>,
    links: Mutex<BTreeMap<u64, Link>>,
}

/// Listens, and answers on each link. Dropped, it closes them all.
pub struct Server {
    shared: Arc<Shared>,
    address: SocketAddr,
    task: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Server {
    /// Listens at `listen`. Call it within a tokio runtime.
    ///
    /// # Errors
    /// [`WireError::Listen`].
    pub async fn start(
        listen: SocketAddr,
        local: LocalEnd,
        handler: impl Handler,
    ) -> Result<Self, WireError> {
        let wrong = |error: std::io::Error| WireError::Listen { address: listen, kind: error.kind() };
        let listener = local.net.listen(listen).await.map_err(wrong)?;
        Self::over(listener, local, handler).map_err(wrong)
    }

    fn over(listener: Box<dyn Listener>, local: LocalEnd, handler: impl Handler) -> std::io::Result<Self> {
        let address = listener.address()?;
        let shared = Arc::new(Shared { local, handler: Box::new(handler), links: Mutex::default() });
        let task = tokio::spawn(accept(listener, shared.clone())).abort_handle();
        Ok(Self { shared, address, task })
    }

    /// Gives the address up, and ends all links: as a drop does, for who is not the last to hold it.
    pub fn close(&self) {
        self.task.abort();
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Pushes to the links of one member, or of all; returns to how many. Where a link's queue is full it is dropped and
    /// counted: a push is a hint.
    pub fn push(&self, to: Option<&str>, push: Push) -> usize {
        let Ok(frame) = encode(&ServerFrame::Push(push), MAX_FRAME) else { return 0 };
        let links = self.shared.links.lock().unwrap_or_else(PoisonError::into_inner);
        let meant = links.values().filter(|link| to.is_none_or(|to| to == link.name));
        let mut pushed = 0;
        for link in meant {
            match link.out.try_send(frame.clone()) {
                Ok(()) => pushed += 1,
                Err(_) => Counters::add(&self.shared.local.counters.pushes_dropped),
            }
        }
        pushed
    }
}

async fn accept(mut listener: Box<dyn Listener>, shared: Arc<Shared>) {
    let mut links = JoinSet::new();
    let mut last = 0;
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                tracing::warn!(%error, "a connection of the fleet could not be taken");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        while links.try_join_next().is_some() {}
        if links.len() >= MAX_LINKS {
            Counters::add(&shared.local.counters.turned_away);
            continue;
        }
        last += 1;
        links.spawn(link(stream, last, shared.clone()));
    }
}

/// Takes a link off the list, however its task ends.
struct Listed<'a>(&'a Shared, u64);

impl Drop for Listed<'_> {
    fn drop(&mut self) {
        self.0.links.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.1);
        Counters::add(&self.0.local.counters.closed);
    }
}

/// Why a link ended.
enum End {
    Frame(FrameError),
    Io(ErrorKind),
    Stalled,
}

impl From<std::io::Error> for End {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error.kind())
    }
}

async fn link(stream: Halves, number: u64, shared: Arc<Shared>) {
    let end = match timeout(OPENING_TIMEOUT, open(stream, &shared.local)).await {
        Ok(Ok((read, write, decoder, name))) => {
            let (out, queue) = mpsc::channel(MAX_QUEUE);
            Counters::add(&shared.local.counters.opened);
            let entry = Link { name: name.clone(), out: out.clone() };
            shared.links.lock().unwrap_or_else(PoisonError::into_inner).insert(number, entry);
            let _listed = Listed(&shared, number);
            let caller = Arc::new(RequestOrigin { name, link: number });
            tokio::select! {
                end = answer(read, decoder, caller, &shared, out) => end,
                end = put(write, queue, &shared.local.counters) => end,
            }
        }
        Ok(Err(end)) => end,
        Err(_) => End::Stalled,
    };
    match end {
        End::Frame(error) => {
            shared.local.counters.frame(&error);
            tracing::warn!(%error, "a link of the fleet was closed");
        }
        End::Stalled => Counters::add(&shared.local.counters.stalled),
        End::Io(kind) => tracing::debug!(%kind, "a link of the fleet closed"),
    }
}

async fn open(stream: Halves, local: &LocalEnd) -> Result<(Read, Write, Decoder, String), End> {
    let (mut read, mut write) = stream;
    let (mut decoder, mut bytes) = (Decoder::new(MAX_OPENING), vec![0; MAX_OPENING]);
    let theirs = loop {
        if let Some(body) = decoder.frame().map_err(End::Frame)? {
            Counters::add(&local.counters.frames_in);
            break Opening::read(body, &local.fleet);
        }
        match read.read(&mut bytes).await? {
            0 => return Err(End::Io(ErrorKind::UnexpectedEof)),
            n => {
                local.counters.got(n);
                decoder.push(&bytes[..n]);
            }
        }
    };
    // A peer of another fleet or protocol is told whom it reached; another program is told nothing.
    if !matches!(theirs, Err(FrameError::Magic)) {
        let own = encode(&Opening::new(&*local.fleet, &*local.name), MAX_OPENING).map_err(End::Frame)?;
        write.write_all(&own).await?;
        local.counters.put(own.len());
    }
    let theirs = theirs.map_err(End::Frame)?;
    decoder.allow(MAX_FRAME);
    Ok((read, write, decoder, theirs.name))
}

/// Reads requests and has them answered. With [`MAX_IN_FLIGHT`] of them it stops reading.
async fn answer(
    mut read: Read,
    mut decoder: Decoder,
    caller: Arc<RequestOrigin>,
    shared: &Shared,
    out: mpsc::Sender<Vec<u8>>,
) -> End {
    let (slots, mut answers, mut bytes) =
        (Arc::new(Semaphore::new(MAX_IN_FLIGHT)), JoinSet::new(), vec![0; READ]);
    let mut later = false;
    loop {
        loop {
            let (id, request) = match decoder.frame().and_then(|body| body.map(Request::read).transpose()) {
                Ok(Some(asked)) => asked,
                Ok(None) => break,
                Err(error) => return End::Frame(error),
            };
            Counters::add(&shared.local.counters.frames_in);
            let Ok(slot) = slots.clone().acquire_owned().await else { return End::Stalled };
            while answers.try_join_next().is_some() {}
            let out = out.clone();
            let answering = match request {
                Some(request) => shared.handler.answer(caller.clone(), request),
                None => {
                    shared.local.counters.frame(&FrameError::Later);
                    if !std::mem::replace(&mut later, true) {
                        tracing::warn!(peer = %caller.name, "a peer asks what this version does not know");
                    }
                    Box::pin(async { Response::Unknown })
                }
            };
            answers.spawn(async move {
                let down = ServerFrame::Answer(id, answering.await);
                let frame = encode(&down, MAX_FRAME)
                    .or_else(|_| encode(&ServerFrame::Answer(id, Response::TooLong), MAX_FRAME));
                if let Ok(frame) = frame {
                    let _ = out.send(frame).await;
                }
                drop(slot);
            });
        }
        match timeout(IDLE_TIMEOUT, read.read(&mut bytes)).await {
            Ok(Ok(0)) => return End::Io(ErrorKind::UnexpectedEof),
            Ok(Ok(n)) => {
                shared.local.counters.got(n);
                decoder.push(&bytes[..n]);
            }
            Ok(Err(error)) => return error.into(),
            Err(_) => return End::Stalled,
        }
    }
}

async fn put(mut write: Write, mut queue: mpsc::Receiver<Vec<u8>>, counters: &Counters) -> End {
    while let Some(frame) = queue.recv().await {
        match timeout(WRITE_TIMEOUT, write.write_all(&frame)).await {
            Ok(Ok(())) => counters.put(frame.len()),
            Ok(Err(error)) => return error.into(),
            Err(_) => return End::Stalled,
        }
    }
    End::Io(ErrorKind::UnexpectedEof)
}
