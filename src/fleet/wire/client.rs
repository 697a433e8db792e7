//! The asking end of a link. It connects by itself when something is asked, and again after a failure.

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

/// Bytes that are read at once.
pub(super) const READ: usize = 16 << 10;

/// A push, and who sent it.
pub type Pushed = (String, Push);

type Answer = oneshot::Sender<Result<Response, WireError>>;

struct Out {
    id: u64,
    frame: Vec<u8>,
    answer: Answer,
}

struct Shared {
    peer: String,
    orders: mpsc::Sender<Out>,
    slots: Semaphore,
    ids: AtomicU64,
    task: AbortHandle,
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A link to one peer; clones share it. It ends with the last of them.
#[derive(Clone)]
pub struct Client {
    shared: Arc<Shared>,
}

impl Client {
    /// To the member `peer` at `address`; pushes go into `pushes`, and are dropped while that is full. Call it within a
    /// tokio runtime. Nothing is connected before something is asked.
    pub fn start(
        local: LocalEnd,
        peer: &str,
        address: SocketAddr,
        pushes: Option<mpsc::Sender<Pushed>>,
    ) -> Self {
        let (orders, received) = mpsc::channel(MAX_IN_FLIGHT);
        let task = Task { local, peer: peer.into(), address, pushes };
        let task = tokio::spawn(task.run(received)).abort_handle();
        let (slots, ids) = (Semaphore::new(MAX_IN_FLIGHT), AtomicU64::new(1));
        Self { shared: Arc::new(Shared { peer: peer.into(), orders, slots, ids, task }) }
    }

    /// The name of the peer.
    pub fn peer(&self) -> &str {
        &self.shared.peer
    }

    /// Asks, and waits for at most `limit`.
    ///
    /// # Errors
    /// [`WireError`]: after [`WireError::Closed`], [`WireError::Silent`] and [`WireError::Frame`] the peer may have carried
    /// it out, after the others it has not.
    pub async fn request(&self, request: &Request, limit: Duration) -> Result<Response, WireError> {
        let peer = || self.shared.peer.clone();
        let Ok(_slot) = self.shared.slots.try_acquire() else { return Err(WireError::Busy { peer: peer() }) };
        let id = self.shared.ids.fetch_add(1, Ordering::Relaxed);
        let frame =
            encode(&(id, request), MAX_FRAME).map_err(|error| WireError::Frame { peer: peer(), error })?;
        let (answer, answered) = oneshot::channel();
        match self.shared.orders.try_send(Out { id, frame, answer }) {
            Ok(()) => {}
            Err(mpsc::error::TrySendError::Full(_)) => return Err(WireError::Busy { peer: peer() }),
            Err(mpsc::error::TrySendError::Closed(_)) => return Err(WireError::Gone),
        }
        match timeout(limit, answered).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(WireError::Gone),
            Err(_) => Err(WireError::Silent { peer: peer(), timeout: limit }),
        }
    }
}

/// Who waits on a link, and since when nothing came although someone did.
#[derive(Default)]
struct Waiting {
    answers: BTreeMap<u64, Answer>,
    since: Option<Instant>,
}

struct Task {
    local: LocalEnd,
    peer: String,
    address: SocketAddr,
    pushes: Option<mpsc::Sender<Pushed>>,
}

impl Task {
    async fn run(self, mut orders: mpsc::Receiver<Out>) {
        let mut failed: Option<(Instant, WireError)> = None;
        while let Some(first) = orders.recv().await {
            if first.answer.is_closed() {
                continue;
            }
            if let Some((_, error)) = failed.as_ref().filter(|(at, _)| at.elapsed() < RECONNECT_DELAY) {
                let _ = first.answer.send(Err(error.clone()));
                continue;
            }
            match self.open().await {
                Ok((read, write)) => {
                    failed = None;
                    Counters::add(&self.local.counters.opened);
                    let error = self.carry(read, write, first, &mut orders).await;
                    Counters::add(&self.local.counters.closed);
                    tracing::debug!(peer = %self.peer, %error, "a link of the fleet closed");
                }
                Err(error) => {
                    let _ = first.answer.send(Err(error.clone()));
                    while let Ok(next) = orders.try_recv() {
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

    async fn open(&self) -> Result<Halves, WireError> {
        let unreachable =
            |kind| WireError::Unreachable { peer: self.peer.clone(), address: self.address, kind };
        let wrong = |error: std::io::Error| unreachable(error.kind());
        let openings = async {
            let (mut read, mut write) = self.local.net.connect(self.address).await.map_err(wrong)?;
            let framed = |error| {
                self.local.counters.frame(&error);
                WireError::Frame { peer: self.peer.clone(), error }
            };
            let own =
                encode(&Opening::new(&*self.local.fleet, &*self.local.name), MAX_OPENING).map_err(framed)?;
            write.write_all(&own).await.map_err(wrong)?;
            self.local.counters.put(own.len());
            // Byte by byte up to its end would do too: a server writes nothing before it was asked.
            let mut length = [0; 4];
            read.read_exact(&mut length).await.map_err(wrong)?;
            let mut decoder = Decoder::new(MAX_OPENING);
            decoder.push(&length);
            decoder.frame().map_err(framed)?;
            let mut body = vec![0; u32::from_be_bytes(length) as usize];
            read.read_exact(&mut body).await.map_err(wrong)?;
            self.local.counters.got(length.len() + body.len());
            Counters::add(&self.local.counters.frames_in);
            let theirs = Opening::read(&body, &self.local.fleet).map_err(framed)?;
            if theirs.name != self.peer {
                return Err(framed(super::FrameError::Name { theirs: theirs.name }));
            }
            Ok((read, write))
        };
        timeout(OPENING_TIMEOUT, openings).await.unwrap_or_else(|_| Err(unreachable(ErrorKind::TimedOut)))
    }

    /// Carries requests and answers until the link ends; who waits then is told why.
    async fn carry(
        &self,
        read: Read,
        write: Write,
        first: Out,
        orders: &mut mpsc::Receiver<Out>,
    ) -> WireError {
        let waiting = Mutex::new(Waiting::default());
        let error = tokio::select! {
            error = self.write(write, first, orders, &waiting) => error,
            error = self.read(read, &waiting) => error,
        };
        let waiting = waiting.into_inner().unwrap_or_else(PoisonError::into_inner);
        for answer in waiting.answers.into_values() {
            let _ = answer.send(Err(error.clone()));
        }
        error
    }

    async fn write(
        &self,
        mut write: Write,
        first: Out,
        orders: &mut mpsc::Receiver<Out>,
        waiting: &Mutex<Waiting>,
    ) -> WireError {
        let mut next = Some(first);
        loop {
            let out = match next.take() {
                Some(out) => out,
                None => match orders.recv().await {
                    Some(out) => out,
                    None => return WireError::Gone,
                },
            };
            if out.answer.is_closed() {
                continue;
            }
            {
                let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
                // Whoever lost limit waits no more.
                if waiting.answers.len() >= 2 * MAX_IN_FLIGHT {
                    waiting.answers.retain(|_, answer| !answer.is_closed());
                }
                waiting.answers.insert(out.id, out.answer);
                waiting.since.get_or_insert_with(Instant::now);
            }
            match timeout(WRITE_TIMEOUT, write.write_all(&out.frame)).await {
                Ok(Ok(())) => self.local.counters.put(out.frame.len()),
                Ok(Err(error)) => return self.closed(error.kind()),
                Err(_) => {
                    Counters::add(&self.local.counters.stalled);
                    return self.closed(ErrorKind::TimedOut);
                }
            }
        }
    }

    async fn read(&self, mut read: Read, waiting: &Mutex<Waiting>) -> WireError {
        let (mut decoder, mut bytes) = (Decoder::new(MAX_FRAME), vec![0; READ]);
        loop {
            match timeout(STALL_TIMEOUT / 4, read.read(&mut bytes)).await {
                Ok(Ok(0)) => return self.closed(ErrorKind::UnexpectedEof),
                Ok(Ok(n)) => {
                    self.local.counters.got(n);
                    decoder.push(&bytes[..n]);
                }
                Ok(Err(error)) => return self.closed(error.kind()),
                Err(_) => {
                    let since = waiting.lock().unwrap_or_else(PoisonError::into_inner).since;
                    if since.is_some_and(|since| since.elapsed() >= STALL_TIMEOUT) {
                        Counters::add(&self.local.counters.stalled);
                        return self.closed(ErrorKind::TimedOut);
                    }
                    continue;
                }
            }
            loop {
                let down = match decoder.frame().and_then(|body| body.map(ServerFrame::read).transpose()) {
                    Ok(Some(down)) => down,
                    Ok(None) => break,
                    Err(error) => {
                        self.local.counters.frame(&error);
                        return WireError::Frame { peer: self.peer.clone(), error };
                    }
                };
                Counters::add(&self.local.counters.frames_in);
                match down {
                    ReceivedFrame::Answer(id, response) => {
                        let response = response.map_err(|error| {
                            self.local.counters.frame(&error);
                            WireError::Frame { peer: self.peer.clone(), error }
                        });
                        let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
                        if let Some(answer) = waiting.answers.remove(&id) {
                            let _ = answer.send(response);
                        }
                    }
                    ReceivedFrame::Push(push) => self.pushed(push),
                    ReceivedFrame::Later => self.local.counters.frame(&super::FrameError::Later),
                }
            }
            let mut waiting = waiting.lock().unwrap_or_else(PoisonError::into_inner);
            waiting.since = (!waiting.answers.is_empty()).then(Instant::now);
        }
    }

    fn pushed(&self, push: Push) {
        if let Some(pushes) = &self.pushes {
            if pushes.try_send((self.peer.clone(), push)).is_err() {
                Counters::add(&self.local.counters.pushes_dropped);
            }
        }
    }
}
