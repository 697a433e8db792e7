//! Serves a client's connection: reads a request, waits for its answer, writes the answer, and repeats.
//!
//! This is the same for every frontend. A frontend consists of a protocol ([`Wire`]) and of a byte stream
//! (`ClientStream`), which is a TCP connection or TLS on one. [`WaitTimes`] holds the rules for read timeouts.

use std::io::{self, Read, Write};
use std::time::{Duration, Instant};

use tracing::warn;

use super::close_counts::CloseReason;
use super::connection_table::{AfterAnswer, EVICT_AFTER};
use super::decoder::{Framing, MessageDecoder};
use super::disconnect_watch::find_broken;
use super::fields::{Message, Parsed, RequestError};
use super::http::BYTES_BEHIND;
use super::lingering_close::{self, ConnectionEnd};
use super::stream::Conn;
use super::{ConnectionSlot, Hub};
use crate::core::{Answer, End, Input, Verdict};

/// A request must have arrived completely within this time of its first byte.
pub const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The first request must have arrived completely within this time of the accept, whether a part of it or nothing has
/// been received: clients connect when they have a request to send.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// A new connection is not closed as idle before this time, because its first request is probably on the way.
pub const MIN_FIRST_IDLE: Duration = Duration::from_secs(1);
/// A client that reads nothing for this long is taken to have stopped reading.
pub(super) const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Buffers grow in blocks of this many bytes, and a read fills the last block at most.
const READ_BLOCK: usize = 4096;
/// How many reads are made at most before what they brought is decoded.
const MAX_READS: usize = 4;
/// Once the server has stopped accepting connections, the rest of a partial request must arrive within this time. It is
/// half of the time between then and the stop.
pub const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a request waits for the bytes after it, where those that have come do not tell whether they may follow it.
const MAX_FOLLOWING_WAIT: Duration = Duration::from_millis(20);
/// The answer to a request that does not arrive completely in time.
const TOO_SLOW: RequestError = RequestError { status: 408, reason: "too slow" };

/// The protocol of a frontend: decodes requests ([`Framing`]) and encodes answers.
pub trait Wire: Framing<Message = Message> + Send + 'static {
    /// Encodes an answer.
    fn encode(&self, answer: &Answer, close: bool) -> Vec<u8>;
    /// Encodes the answer to an invalid request.
    fn encode_error(&self, error: RequestError) -> Vec<u8>;
}

/// The byte stream of a client: a TCP connection, or TLS on one.
pub(super) trait ClientStream: Read + Write {
    /// The TCP connection.
    fn conn(&mut self) -> &mut Conn;
    /// Notifies the client that nothing more will be sent, where the protocol has such a message.
    fn notify_close(&mut self);
    /// More bytes have arrived, which a read returns without waiting. False where that is not known.
    fn has_arrived(&self) -> bool;
}

impl ClientStream for Conn {
    fn conn(&mut self) -> &mut Conn {
        self
    }

    fn notify_close(&mut self) {}

    fn has_arrived(&self) -> bool {
        self.has_unread()
    }
}

/// Why no further request is read from a connection.
enum ReadStop {
    /// No part of a request has arrived, and the connection is closed as idle.
    Idle,
    /// No part of a request has arrived, and the client has closed its side.
    PeerClosed,
    /// The connection is broken.
    PeerGone,
    /// The client sent an invalid or incomplete request.
    Invalid(RequestError),
}

/// Serves a connection until it ends, and closes it.
pub(super) fn serve<S: ClientStream, W: Wire>(mut stream: S, wire: W, slot: &ConnectionSlot) {
    let (end, reason) = serve_requests(&mut stream, wire, slot);
    slot.hub.closes.count(reason);
    slot.begin_closing();
    let timeout = if slot.hub.has_stopped_accepting() {
        lingering_close::FINAL_TIMEOUT
    } else {
        lingering_close::TIMEOUT
    };
    lingering_close::close(&mut stream, end, timeout, &slot.hub.pacing);
}

fn serve_requests<S: ClientStream, W: Wire>(
    stream: &mut S,
    wire: W,
    slot: &ConnectionSlot,
) -> (ConnectionEnd, CloseReason) {
    let (conn, hub) = (slot.conn, &*slot.hub);
    let mut decoder = MessageDecoder::new(wire);
    let mut accepted = Some(slot.accepted);
    loop {
        let message = match read_message(stream, &mut decoder, slot, accepted.take()) {
            Ok(message) => message,
            Err(ReadStop::Idle) => return (ConnectionEnd::Finished, CloseReason::Idle),
            Err(ReadStop::PeerClosed) => return (ConnectionEnd::Finished, CloseReason::PeerGone),
            Err(ReadStop::PeerGone) => return (ConnectionEnd::PeerGone, CloseReason::PeerGone),
            Err(ReadStop::Invalid(error)) => {
                hub.push(Input::Rejected);
                return (write(stream, &wire.encode_error(error), hub), CloseReason::Malformed);
            }
        };
        // Nobody waits for the answers to what a client sent before it left: none of it begins any more. Its requests
        // that were pushed before are completed.
        if find_broken([&*stream.conn()]).contains(&true) {
            return (ConnectionEnd::PeerGone, CloseReason::PeerGone);
        }
        let after = slot.request_read();
        hub.push(match message.parsed {
            Parsed::HealthCheck { deep } => Input::HealthCheck { conn, deep },
            Parsed::Request(mut request) => {
                request.conn = conn;
                request.start = hub.clock.resolve_past(request.start);
                Input::Request(request)
            }
        });
        let Ok(answer) = slot.answers.recv() else {
            warn!("violation: connection {conn} closed without the answer to its request");
            hub.push(Input::ViolationDetected);
            return (ConnectionEnd::Finished, CloseReason::Unanswered);
        };
        let invalid = matches!(answer.verdict, Verdict::Invalid(_) | Verdict::NoSuchClass);
        let close = message.close || answer.close || invalid || after == AfterAnswer::Closes;
        let end = write(stream, &wire.encode(&answer, close), hub);
        match end {
            ConnectionEnd::PeerGone => return (end, CloseReason::Unsent),
            ConnectionEnd::Finished if close => return (end, CloseReason::AfterAnswer),
            ConnectionEnd::Finished => {}
        }
        slot.answered();
        if !decoder.is_empty() || stream.has_arrived() {
            hub.pacing.pause();
        }
    }
}

fn read_message<W: Wire>(
    stream: &mut impl ClientStream,
    decoder: &mut MessageDecoder<W>,
    slot: &ConnectionSlot,
    accepted: Option<Instant>,
) -> Result<Message, ReadStop> {
    let hub = &*slot.hub;
    let since = Instant::now();
    let mut first_byte = (!decoder.is_empty()).then_some(since);
    let (mut final_read_done, mut part_reported) = (false, false);
    let mut undecided_since = None;
    loop {
        if let Some((message, _)) = decoder.next_message().map_err(ReadStop::Invalid)? {
            return Ok(message);
        }
        if first_byte.is_some() && !part_reported {
            part_reported = true;
            slot.part_read();
        }
        let is_idle = first_byte.is_none();
        let times = WaitTimes {
            idle: since.elapsed(),
            since_first_byte: first_byte.map(|at| at.elapsed()),
            since_accept: accepted.map(|at| at.elapsed()),
        };
        let mut remaining = times.remaining(hub.idle_limit(), hub.stopped_accepting_for());
        if decoder.is_undecided() {
            let since = *undecided_since.get_or_insert_with(Instant::now);
            let left = MAX_FOLLOWING_WAIT.saturating_sub(since.elapsed());
            if left.is_zero() {
                return Err(ReadStop::Invalid(RequestError::bad_request(BYTES_BEHIND)));
            }
            remaining = remaining.min(left);
        }
        // Bytes that arrived while the timer fired are read before the connection is closed as idle.
        if remaining.is_zero() && final_read_done && stream.conn().is_open_and_idle() {
            return Err(if is_idle { ReadStop::Idle } else { ReadStop::Invalid(TOO_SLOW) });
        }
        final_read_done = remaining.is_zero();
        stream.conn().set_read_timeout(remaining.clamp(Duration::from_millis(1), hub.idle_check_interval()));
        match read_arrived(stream, decoder.buffer_mut()) {
            // End of the input: the connection was evicted, or the client has closed its side.
            Ok(0) if is_idle && slot.is_evicted() => return Err(ReadStop::Idle),
            Ok(0) if is_idle => return Err(ReadStop::PeerClosed),
            Ok(0) if slot.is_evicted() => return Err(ReadStop::Invalid(TOO_SLOW)),
            // The client may have closed only its sending side, and may still read the answer.
            Ok(0) => {
                return Err(ReadStop::Invalid(
                    decoder.finish().unwrap_or(RequestError::bad_request("the request ends early")),
                ));
            }
            Ok(_) => {}
            Err(e) if is_timeout(&e) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return Err(ReadStop::PeerGone),
        }
        if !decoder.is_empty() {
            first_byte.get_or_insert_with(Instant::now);
        }
    }
}

/// How long the server has been waiting for the next message of a connection.
pub struct WaitTimes {
    /// Time since the wait for this message began: since the accept or the last answer.
    pub idle: Duration,
    /// Time since the first byte of the message, if a part of it has arrived.
    pub since_first_byte: Option<Duration>,
    /// Time since the connection was accepted, if it has not sent a message yet.
    pub since_accept: Option<Duration>,
}

impl WaitTimes {
    /// How much longer to wait. `stopped_accepting_for` is the time since the server stopped accepting connections, if
    /// it has.
    pub fn remaining(&self, idle_limit: Duration, stopped_accepting_for: Option<Duration>) -> Duration {
        let first =
            self.since_accept.map_or(Duration::MAX, |since| FIRST_REQUEST_TIMEOUT.saturating_sub(since));
        let next = match (self.since_first_byte, self.since_accept, stopped_accepting_for) {
            // A request whose announced length is wrong must not delay the end of a drain.
            (Some(since), _, Some(closed)) => {
                READ_TIMEOUT.saturating_sub(since).min(FINAL_READ_TIMEOUT.saturating_sub(closed))
            }
            // Counted from the first byte, because an idle connection may send a request in two parts at any time.
            (Some(since), _, None) => READ_TIMEOUT.saturating_sub(since),
            // The connection was accepted while the listener was closing, and its request is probably on the way.
            (None, Some(since), Some(_)) => EVICT_AFTER.saturating_sub(since),
            (None, Some(_), None) => idle_limit.max(MIN_FIRST_IDLE).saturating_sub(self.idle),
            (None, None, _) => idle_limit.saturating_sub(self.idle),
        };
        next.min(first)
    }
}

/// Reads once, and then what else has arrived, up to a limit: a request is judged by the bytes after it too. Returns the
/// number of bytes of the first read; a later one that fails is repeated by the next call.
fn read_arrived(stream: &mut impl ClientStream, bytes: &mut Vec<u8>) -> io::Result<usize> {
    let read = read_some(stream, bytes)?;
    let mut reads = 1;
    while read > 0 && reads < MAX_READS && stream.has_arrived() {
        reads += 1;
        if !matches!(read_some(stream, bytes), Ok(1..)) {
            break;
        }
    }
    Ok(read)
}

/// Reads once and appends to `bytes`; returns the number of bytes read.
pub(crate) fn read_some(stream: &mut impl Read, bytes: &mut Vec<u8>) -> io::Result<usize> {
    let old_len = bytes.len();
    let room = READ_BLOCK - old_len % READ_BLOCK;
    bytes.reserve_exact(room);
    bytes.resize(old_len + room, 0);
    let read = stream.read(&mut bytes[old_len..]);
    bytes.truncate(old_len + *read.as_ref().unwrap_or(&0));
    read
}

/// The error is a timeout set by this program. `ETIMEDOUT` from the operating system is not: that connection is broken.
pub(super) fn is_timeout(e: &io::Error) -> bool {
    match e.kind() {
        io::ErrorKind::WouldBlock => true,
        io::ErrorKind::TimedOut => e.raw_os_error().is_none(),
        _ => false,
    }
}

/// Writes an answer; returns how the connection is to be closed if it is closed now.
fn write(stream: &mut impl ClientStream, bytes: &[u8], hub: &Hub) -> ConnectionEnd {
    match stream.write_all(bytes).and_then(|()| stream.flush()) {
        Ok(()) => ConnectionEnd::Finished,
        Err(e) => {
            hub.push(Input::AnswerWriteFailed(if is_timeout(&e) { End::Stalled } else { End::Broken }));
            ConnectionEnd::PeerGone
        }
    }
}
