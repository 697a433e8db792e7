//! The requesting end of a link. A [`Client`] connects when a request is made, and reconnects after a failure.

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::{mpsc, oneshot, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

use super::codec::{encode, Decoder, Opening, MAX_FRAME, MAX_OPENING};
use super::message::{Push, ReceivedFrame, Request, Response, ServerFrame};
use super::net::{Halves, Read, Write};
use super::{
    Counters, LocalEnd, WireError, MAX_IN_FLIGHT, OPENING_TIMEOUT, RECONNECT_DELAY, STALL_TIMEOUT,
    WRITE_TIMEOUT,
};

/// The number of bytes that are read at once.
pub(super) const READ_CHUNK: usize = 16 << 10;

/// A push, and the name of the member that sent it.
pub type Pushed = (String, Push);

type AnswerSender = oneshot::Sender<Result<Response, WireError>>;

struct OutgoingRequest {
    id: u64,
    frame: Vec<u8>,
    answer: AnswerSender,
}

struct Shared {
    peer: String,
    outgoing: mpsc::Sender<OutgoingRequest>,
    permits: Semaphore,
    next_id: AtomicU64,
    task: AbortHandle,
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A link to one peer. Clones share the link, which closes with the last of them.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

impl Client {
    /// Creates a link to the member `peer` at `address`. Pushes are sent to `pushes`, and dropped while that is full.
    /// No connection is opened before the first request. This must be called within a tokio runtime.
    pub fn start(
        local: LocalEnd,
        peer: &str,
        address: SocketAddr,
        pushes: Option<mpsc::Sender<Pushed>>,
    ) -> Self {
        let (outgoing, received) = mpsc::channel(MAX_IN_FLIGHT);
        let task = LinkTask { local, peer: peer.into(), address, pushes };
        let task = tokio::spawn(task.run(received)).abort_handle();
        let (permits, next_id) = (Semaphore::new(MAX_IN_FLIGHT), AtomicU64::new(1));
        Self { shared: Arc::new(Shared { peer: peer.into(), outgoing, permits, next_id, task }) }
    }

    /// Returns the name of the peer.
    pub fn peer(&self) -> &str {
        &self.shared.peer
    }

    /// Sends a request, and waits for its answer for at most `time_limit`.
    ///
    /// # Errors
    /// [`WireError`]. After [`WireError::Closed`], [`WireError::Silent`] and [`WireError::Frame`] the peer may have
    /// carried out the request; after the others it has not.
    pub async fn request(&self, request: &Request, time_limit: Duration) -> Result<Response, WireError> {
        let peer = || self.shared.peer.clone();
        let Ok(_permit) = self.shared.permits.try_acquire() else {
            return Err(WireError::Busy { peer: peer() });
        };
        let id = self.shared.next_id.fetch_add(1, Ordering::Relaxed);
        let frame =
            encode(&(id, request), MAX_FRAME).map_err(|error| WireError::Frame { peer: peer(), error })?;
        let (answer, answered) = oneshot::channel();
        match self.shared.outgoing.try_send(OutgoingRequest { id, frame, answer }) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => return Err(WireError::Busy { peer: peer() }),
            Err(mpsc::error::TrySendError::Closed(_)) => return Err(WireError::Gone),
        }
        match timeout(time_limit, answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(WireError::Gone),
            Err(_) => Err(WireError::Silent { peer: peer(), timeout: time_limit }),
        }
    }
}

/// The requests on a link that wait for their answer, and since when nothing was received while there were any.
#[derive(Default)]
struct OpenRequests {
    answers: BTreeMap<u64, AnswerSender>,
    silent_since: Option<Instant>,
}

struct LinkTask {
    local: LocalEnd,
    peer: String,
    address: SocketAddr,
    pushes: Option<mpsc::Sender<Pushed>>,
}

impl LinkTask {
    async fn run(self, mut outgoing: mpsc::Receiver<OutgoingRequest>) {
        let mut failed: Option<(Instant, WireError)> = None;
        while let Some(first) = outgoing.recv().await {
            if first.answer.is_closed() {
                continue;
            }
            if let Some((_, error)) = failed.as_ref().filter(|(at, _)| at.elapsed() < RECONNECT_DELAY) {
                let _ = first.answer.send(Err(error.clone()));
                continue;
            }
            match self.connect().await {
                Ok((read, write)) => {
                    failed = None;
                    Counters::increment(&self.local.counters.opened);
                    let error = self.run_link(read, write, first, &mut outgoing).await;
                    Counters::increment(&self.local.counters.closed);
                    tracing::debug!(peer = %self.peer, %error, "a link to a fleet member closed");
                }
                Err(error) => {
                    let _ = first.answer.send(Err(error.clone()));
                    while let Ok(next) = outgoing.try_recv() {
                        let _ = next.answer.send(Err(error.clone()));
                    }
                    failed = Some((Instant::now(), error));
                }
            }
        }
    }

    fn closed(&self, kind: ErrorKind) -> WireError {
        WireError::Closed { peer: self.peer.clone(), kind }
    }

    async fn connect(&self) -> Result<Halves, WireError> {
        let unreachable =
            |kind| WireError::Unreachable { peer: self.peer.clone(), address: self.address, kind };
        let io_failed = |error: std::io::Error| unreachable(error.kind());
        let openings = async {
            let (mut read, mut write) = self.local.net.connect(self.address).await.map_err(io_failed)?;
            let frame_failed = |error| {
                self.local.counters.count_frame_error(&error);
                WireError::Frame { peer: self.peer.clone(), error }
            };
            let own = encode(&Opening::new(&*self.local.fleet, &*self.local.name), MAX_OPENING)
                .map_err(frame_failed)?;
            write.write_all(&own).await.map_err(io_failed)?;
            self.local.counters.count_sent_frame(own.len());
            // Reading exactly one frame is not required here: a server sends nothing else before a request.
            let mut length = [0; 4];
            read.read_exact(&mut length).await.map_err(io_failed)?;
            let mut decoder = Decoder::new(MAX_OPENING);
            decoder.push(&length);
            decoder.frame().map_err(frame_failed)?;
            let mut body = vec![0; u32::from_be_bytes(length) as usize];
            read.read_exact(&mut body).await.map_err(io_failed)?;
            self.local.counters.count_received_bytes(length.len() + body.len());
            Counters::increment(&self.local.counters.frames_in);
            let theirs = Opening::read(&body, &self.local.fleet).map_err(frame_failed)?;
            if theirs.name != self.peer {
                return Err(frame_failed(super::FrameError::Name { theirs: theirs.name }));
            }
            Ok((read, write))
        };
        timeout(OPENING_TIMEOUT, openings).await.unwrap_or_else(|_| Err(unreachable(ErrorKind::TimedOut)))
    }

    /// Transfers requests and answers until the link closes. Requests that are open then fail with the reason.
    async fn run_link(
        &self,
        read: Read,
        write: Write,
        first: OutgoingRequest,
        outgoing: &mut mpsc::Receiver<OutgoingRequest>,
    ) -> WireError {
        let open_requests = Mutex::new(OpenRequests::default());
        let error = tokio::select! {
            error = self.write(write, first, outgoing, &open_requests) => error,
            error = self.read(read, &open_requests) => error,
        };
        let open_requests = open_requests.into_inner().unwrap_or_else(PoisonError::into_inner);
        for answer in open_requests.answers.into_values() {
            let _ = answer.send(Err(error.clone()));
        }
        error
    }

    async fn write(
        &self,
        mut write: Write,
        first: OutgoingRequest,
        outgoing: &mut mpsc::Receiver<OutgoingRequest>,
        open_requests: &Mutex<OpenRequests>,
    ) -> WireError {
        let mut next = Some(first);
        loop {
            let request = match next.take() {
                Some(request) => request,
                None => match outgoing.recv().await {
                    Some(request) => request,
                    None => return WireError::Gone,
                },
            };
            if request.answer.is_closed() {
                continue;
            }
            {
                let mut open_requests = open_requests.lock().unwrap_or_else(PoisonError::into_inner);
                // Requests that have timed out no longer wait for an answer.
                if open_requests.answers.len() >= 2 * MAX_IN_FLIGHT {
                    open_requests.answers.retain(|_, answer| !answer.is_closed());
                }
                open_requests.answers.insert(request.id, request.answer);
                open_requests.silent_since.get_or_insert_with(Instant::now);
            }
            match timeout(WRITE_TIMEOUT, write.write_all(&request.frame)).await {
                Ok(Ok(())) => self.local.counters.count_sent_frame(request.frame.len()),
                Ok(Err(error)) => return self.closed(error.kind()),
                Err(_) => {
                    Counters::increment(&self.local.counters.stalled);
                    return self.closed(ErrorKind::TimedOut);
                }
            }
        }
    }

    async fn read(&self, mut read: Read, open_requests: &Mutex<OpenRequests>) -> WireError {
        let (mut decoder, mut bytes) = (Decoder::new(MAX_FRAME), vec![0; READ_CHUNK]);
        loop {
            match timeout(STALL_TIMEOUT / 4, read.read(&mut bytes)).await {
                Ok(Ok(0)) => return self.closed(ErrorKind::UnexpectedEof),
                Ok(Ok(n)) => {
                    self.local.counters.count_received_bytes(n);
                    decoder.push(&bytes[..n]);
                }
                Ok(Err(error)) => return self.closed(error.kind()),
                Err(_) => {
                    let since = open_requests.lock().unwrap_or_else(PoisonError::into_inner).silent_since;
                    if since.is_some_and(|since| since.elapsed() >= STALL_TIMEOUT) {
                        Counters::increment(&self.local.counters.stalled);
                        return self.closed(ErrorKind::TimedOut);
                    }
                    continue;
                }
            }
            loop {
                let frame = match decoder.frame().and_then(|body| body.map(ServerFrame::read).transpose()) {
                    Ok(Some(frame)) => frame,
                    Ok(None) => break,
                    Err(error) => {
                        self.local.counters.count_frame_error(&error);
                        return WireError::Frame { peer: self.peer.clone(), error };
                    }
                };
                Counters::increment(&self.local.counters.frames_in);
                match frame {
                    ReceivedFrame::Answer(id, response) => {
                        let response = response.map_err(|error| {
                            self.local.counters.count_frame_error(&error);
                            WireError::Frame { peer: self.peer.clone(), error }
                        });
                        let mut open_requests = open_requests.lock().unwrap_or_else(PoisonError::into_inner);
                        if let Some(answer) = open_requests.answers.remove(&id) {
                            let _ = answer.send(response);
                        }
                    }
                    ReceivedFrame::Push(push) => self.forward_push(push),
                    ReceivedFrame::Later => self.local.counters.count_frame_error(&super::FrameError::Later),
                }
            }
            let mut open_requests = open_requests.lock().unwrap_or_else(PoisonError::into_inner);
            open_requests.silent_since = (!open_requests.answers.is_empty()).then(Instant::now);
        }
    }

    fn forward_push(&self, push: Push) {
        if let Some(pushes) = &self.pushes {
            if pushes.try_send((self.peer.clone(), push)).is_err() {
                Counters::increment(&self.local.counters.pushes_dropped);
            }
        }
    }
}
