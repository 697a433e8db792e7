//! The answering end of links. A [`Server`] passes the requests of all its links to a [`Handler`].

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

use super::client::READ_CHUNK;
use super::codec::{encode, Decoder, FrameError, Opening, MAX_FRAME, MAX_OPENING};
use super::message::{Push, Request, Response, ServerFrame};
use super::net::{Halves, Listener, Read, Write};
use super::{
    Counters, LocalEnd, WireError, IDLE_TIMEOUT, MAX_IN_FLIGHT, MAX_LINKS, OPENING_TIMEOUT, WRITE_TIMEOUT,
};

/// The highest number of answers and pushes that wait to be written to one link.
const MAX_QUEUE: usize = 16;
/// The delay after a failure to accept a connection, such as for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The member that sent a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestOrigin {
    /// The member's name, from its opening.
    pub name: String,
    /// The number of its link to this server.
    pub link: u64,
}

/// The future of an answer.
pub type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// Answers requests, several of them concurrently.
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

struct LinkEntry {
    name: String,
    out: mpsc::Sender<Vec<u8>>,
}

struct Shared {
    local: LocalEnd,
    handler: Box<dyn Handler>,
    links: Mutex<BTreeMap<u64, LinkEntry>>,
}

/// Listens for links and answers their requests. Dropping it closes all links.
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
    /// Listens at `listen`. This must be called within a tokio runtime.
    ///
    /// # Errors
    /// [`WireError::Listen`].
    pub async fn start(
        listen: SocketAddr,
        local: LocalEnd,
        handler: impl Handler,
    ) -> Result<Self, WireError> {
        let listen_failed = |error: std::io::Error| WireError::Listen { address: listen, kind: error.kind() };
        let listener = local.net.listen(listen).await.map_err(listen_failed)?;
        Self::with_listener(listener, local, handler).map_err(listen_failed)
    }

    fn with_listener(
        listener: Box<dyn Listener>,
        local: LocalEnd,
        handler: impl Handler,
    ) -> std::io::Result<Self> {
        let address = listener.address()?;
        let shared = Arc::new(Shared { local, handler: Box::new(handler), links: Mutex::default() });
        let task = tokio::spawn(accept_links(listener, shared.clone())).abort_handle();
        Ok(Self { shared, address, task })
    }

    /// Stops listening and closes all links, as dropping does, while others still have a reference to the server.
    pub fn close(&self) {
        self.task.abort();
    }

    /// Returns the address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Pushes to the links of one member, or of all members, and returns the number of links. Where a link's queue is
    /// full the push is dropped and counted, because a push is only a hint.
    pub fn push(&self, to: Option<&str>, push: Push) -> usize {
        let Ok(frame) = encode(&ServerFrame::Push(push), MAX_FRAME) else { return 0 };
        let links = self.shared.links.lock().unwrap_or_else(PoisonError::into_inner);
        let addressed = links.values().filter(|link| to.is_none_or(|to| to == link.name));
        let mut pushed = 0;
        for link in addressed {
            match link.out.try_send(frame.clone()) {
                Ok(()) => pushed += 1,
                Err(_) => Counters::increment(&self.shared.local.counters.pushes_dropped),
            }
        }
        pushed
    }
}

async fn accept_links(mut listener: Box<dyn Listener>, shared: Arc<Shared>) {
    let mut links = JoinSet::new();
    let mut last = 0;
    loop {
        let stream = match listener.accept().await {
            Ok(stream) => stream,
            Err(error) => {
                tracing::warn!(%error, "cannot accept a connection of a fleet member");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        while links.try_join_next().is_some() {}
        if links.len() >= MAX_LINKS {
            Counters::increment(&shared.local.counters.turned_away);
            continue;
        }
        last += 1;
        links.spawn(run_link(stream, last, shared.clone()));
    }
}

/// Removes a link from the list when its task ends in any way.
struct LinkGuard<'a>(&'a Shared, u64);

impl Drop for LinkGuard<'_> {
    fn drop(&mut self) {
        self.0.links.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.1);
        Counters::increment(&self.0.local.counters.closed);
    }
}

/// Why a link was closed.
enum CloseReason {
    Frame(FrameError),
    Io(ErrorKind),
    Stalled,
}

impl From<std::io::Error> for CloseReason {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error.kind())
    }
}

async fn run_link(stream: Halves, number: u64, shared: Arc<Shared>) {
    let reason = match timeout(OPENING_TIMEOUT, open(stream, &shared.local)).await {
        Ok(Ok((read, write, decoder, name))) => {
            let (out, queue) = mpsc::channel(MAX_QUEUE);
            Counters::increment(&shared.local.counters.opened);
            let entry = LinkEntry { name: name.clone(), out: out.clone() };
            shared.links.lock().unwrap_or_else(PoisonError::into_inner).insert(number, entry);
            let _guard = LinkGuard(&shared, number);
            let caller = Arc::new(RequestOrigin { name, link: number });
            tokio::select! {
                reason = serve_requests(read, decoder, caller, &shared, out) => reason,
                reason = write_frames(write, queue, &shared.local.counters) => reason,
            }
        }
        Ok(Err(reason)) => reason,
        Err(_) => CloseReason::Stalled,
    };
    match reason {
        CloseReason::Frame(error) => {
            shared.local.counters.count_frame_error(&error);
            tracing::warn!(%error, "closed a link of the fleet because of a frame that cannot be accepted");
        }
        CloseReason::Stalled => Counters::increment(&shared.local.counters.stalled),
        CloseReason::Io(kind) => tracing::debug!(%kind, "a link from a fleet member closed"),
    }
}

async fn open(stream: Halves, local: &LocalEnd) -> Result<(Read, Write, Decoder, String), CloseReason> {
    let (mut read, mut write) = stream;
    let (mut decoder, mut bytes) = (Decoder::new(MAX_OPENING), vec![0; MAX_OPENING]);
    let theirs = loop {
        if let Some(body) = decoder.frame().map_err(CloseReason::Frame)? {
            Counters::increment(&local.counters.frames_in);
            break Opening::read(body, &local.fleet);
        }
        match read.read(&mut bytes).await? {
            0 => return Err(CloseReason::Io(ErrorKind::UnexpectedEof)),
            n => {
                local.counters.count_received_bytes(n);
                decoder.push(&bytes[..n]);
            }
        }
    };
    // A peer of another fleet or protocol receives this member's opening, another program receives nothing.
    if !matches!(theirs, Err(FrameError::Magic)) {
        let own =
            encode(&Opening::new(&*local.fleet, &*local.name), MAX_OPENING).map_err(CloseReason::Frame)?;
        write.write_all(&own).await?;
        local.counters.count_sent_frame(own.len());
    }
    let theirs = theirs.map_err(CloseReason::Frame)?;
    decoder.set_max(MAX_FRAME);
    Ok((read, write, decoder, theirs.name))
}

/// Reads requests and passes them to the handler. Reading stops while [`MAX_IN_FLIGHT`] of them are in flight.
async fn serve_requests(
    mut read: Read,
    mut decoder: Decoder,
    caller: Arc<RequestOrigin>,
    shared: &Shared,
    out: mpsc::Sender<Vec<u8>>,
) -> CloseReason {
    let (permits, mut answers, mut bytes) =
        (Arc::new(Semaphore::new(MAX_IN_FLIGHT)), JoinSet::new(), vec![0; READ_CHUNK]);
    let mut is_later_logged = false;
    loop {
        loop {
            let (id, request) = match decoder.frame().and_then(|body| body.map(Request::read).transpose()) {
                Ok(Some(numbered)) => numbered,
                Ok(None) => break,
                Err(error) => return CloseReason::Frame(error),
            };
            Counters::increment(&shared.local.counters.frames_in);
            let Ok(permit) = permits.clone().acquire_owned().await else { return CloseReason::Stalled };
            while answers.try_join_next().is_some() {}
            let out = out.clone();
            let response = match request {
                Some(request) => shared.handler.answer(caller.clone(), request),
                None => {
                    shared.local.counters.count_frame_error(&FrameError::Later);
                    if !std::mem::replace(&mut is_later_logged, true) {
                        tracing::warn!(peer = %caller.name, "a peer sent a request that this version does not know");
                    }
                    Box::pin(async { Response::Unknown })
                }
            };
            answers.spawn(async move {
                let answer = ServerFrame::Answer(id, response.await);
                let frame = encode(&answer, MAX_FRAME)
                    .or_else(|_| encode(&ServerFrame::Answer(id, Response::TooLong), MAX_FRAME));
                if let Ok(frame) = frame {
                    let _ = out.send(frame).await;
                }
                drop(permit);
            });
        }
        match timeout(IDLE_TIMEOUT, read.read(&mut bytes)).await {
            Ok(Ok(0)) => return CloseReason::Io(ErrorKind::UnexpectedEof),
            Ok(Ok(n)) => {
                shared.local.counters.count_received_bytes(n);
                decoder.push(&bytes[..n]);
            }
            Ok(Err(error)) => return error.into(),
            Err(_) => return CloseReason::Stalled,
        }
    }
}

async fn write_frames(
    mut write: Write,
    mut queue: mpsc::Receiver<Vec<u8>>,
    counters: &Counters,
) -> CloseReason {
    while let Some(frame) = queue.recv().await {
        match timeout(WRITE_TIMEOUT, write.write_all(&frame)).await {
            Ok(Ok(())) => counters.count_sent_frame(frame.len()),
            Ok(Err(error)) => return error.into(),
            Err(_) => return CloseReason::Stalled,
        }
    }
    CloseReason::Io(ErrorKind::UnexpectedEof)
}
