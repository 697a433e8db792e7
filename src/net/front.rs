//! A connection of a caller: read a request, wait for its answer, write it, again.

use std::io::{self, Read, Write};
use std::time::{Duration, Instant};

use tracing::warn;

use super::closes::CloseReason;
use super::closing::{self, Ending};
use super::connection_table::{AfterAnswer, EVICT_AFTER};
use super::fields::{Bad, Message, Parsed};
use super::inlet::{Framing, Inlet};
use super::stream::Conn;
use super::{Hub, Place};
use crate::core::{Answer, End, Input, Verdict};

/// A request must be there whole this long after its first byte.
pub const READ_PATIENCE: Duration = Duration::from_secs(10);
/// A new connection must bring its first whole request within this time of being accepted, whether it says half
/// of one or nothing at all: callers connect when they have something to say.
pub const FIRST_PATIENCE: Duration = Duration::from_millis(2500);
/// A new connection is not closed as idle before this time: its first request is on the way.
pub const NEW_PATIENCE: Duration = Duration::from_secs(1);
/// A caller that reads nothing for this long has stopped reading.
pub(super) const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// Bytes read at once.
const CHUNK: usize = 4096;
/// Once the server takes no new connections, the rest of a request is waited for this long: half of the time that
/// there is between then and the stop.
pub const CLOSING_PATIENCE: Duration = Duration::from_millis(400);
/// The answer to a request that does not come whole in its time.
const TOO_SLOW: Bad = Bad { status: 408, reason: "too slow" };

/// How requests and answers look on a front.
pub trait Wire: Framing<Message = Message> + Send + 'static {
    /// An answer in bytes.
    fn encode(&self, answer: &Answer, close: bool) -> Vec<u8>;
    /// The answer to input that is no message.
    fn encode_bad(&self, bad: Bad) -> Vec<u8>;
}

/// The bytes under a wire: a connection, or TLS on one.
pub(super) trait Stream: Read + Write {
    /// The connection itself.
    fn conn(&mut self) -> &mut Conn;
    /// Tells the other side that nothing more comes.
    fn end(&mut self);
}

impl Stream for Conn {
    fn conn(&mut self) -> &mut Conn {
        self
    }

    fn end(&mut self) {}
}

/// Why a connection is read no further.
enum Stop {
    /// Nothing of a request is there, and none is waited for any longer.
    Idle,
    /// Nothing of a request is there, and the caller has closed its side.
    PeerClosed,
    /// The caller closed it, or it broke.
    PeerGone,
    /// It sent what is no request.
    Bad(Bad),
}

/// Serves one connection until it ends.
pub(super) fn serve<S: Stream, W: Wire>(mut stream: S, wire: W, place: &Place) {
    let (ending, reason) = serve_requests(&mut stream, wire, place);
    place.hub.closes.count(reason);
    place.begin_closing();
    let patience = if place.hub.is_closed() { closing::LAST_PATIENCE } else { closing::PATIENCE };
    closing::close(&mut stream, ending, patience);
}

fn serve_requests<S: Stream, W: Wire>(stream: &mut S, wire: W, place: &Place) -> (Ending, CloseReason) {
    let (conn, hub) = (place.conn, &*place.hub);
    let mut inlet = Inlet::new(wire);
    let mut accepted = Some(place.accepted);
    loop {
        let message = match read_message(stream, &mut inlet, place, accepted.take()) {
            Ok(message) => message,
            Err(Stop::Idle) => return (Ending::Finished, CloseReason::Idle),
            Err(Stop::PeerClosed) => return (Ending::Finished, CloseReason::PeerGone),
            Err(Stop::PeerGone) => return (Ending::PeerGone, CloseReason::PeerGone),
            Err(Stop::Bad(bad)) => {
                hub.push(Input::Rejected);
                return (write(stream, &wire.encode_bad(bad), hub), CloseReason::Malformed);
            }
        };
        let after = place.request_read();
        hub.push(match message.parsed {
            Parsed::Check { deep } => Input::HealthCheck { conn, deep },
            Parsed::Request(mut request) => {
                request.conn = conn;
                request.start = hub.clock.past(request.start);
                Input::Request(request)
            }
        });
        let Ok(answer) = place.answers.recv() else {
            warn!("violation: a connection ends without the answer that it is owed: {conn}");
            hub.push(Input::ViolationDetected);
            return (Ending::Finished, CloseReason::Unanswered);
        };
        let invalid = matches!(answer.verdict, Verdict::Invalid(_) | Verdict::NoSuchClass);
        let close = message.close || answer.close || invalid || after == AfterAnswer::Closes;
        let ending = write(stream, &wire.encode(&answer, close), hub);
        match ending {
            Ending::PeerGone => return (ending, CloseReason::Unsent),
            Ending::Finished if close => return (ending, CloseReason::AfterAnswer),
            Ending::Finished => {}
        }
        place.answered();
    }
}

fn read_message<W: Wire>(
    stream: &mut impl Stream,
    inlet: &mut Inlet<W>,
    place: &Place,
    accepted: Option<Instant>,
) -> Result<Message, Stop> {
    let hub = &*place.hub;
    let since = Instant::now();
    let mut first_byte = (!inlet.is_empty()).then_some(since);
    let (mut last_look, mut noted) = (false, false);
    loop {
        if let Some((message, _)) = inlet.next_message().map_err(Stop::Bad)? {
            return Ok(message);
        }
        if first_byte.is_some() && !noted {
            noted = true;
            place.part_read();
        }
        let idle = first_byte.is_none();
        let waited = Waited {
            idle: since.elapsed(),
            partial: first_byte.map(|at| at.elapsed()),
            unasked: accepted.map(|at| at.elapsed()),
        };
        let left = waited.left(hub.idle_limit(), hub.closed_for());
        // What came while the timer fired is read before the connection is closed as idle.
        if left.is_zero() && last_look && stream.conn().is_quiet() {
            return Err(if idle { Stop::Idle } else { Stop::Bad(TOO_SLOW) });
        }
        last_look = left.is_zero();
        stream.conn().set_read_patience(left.clamp(Duration::from_millis(1), hub.idle_look()));
        match read_some(stream, inlet.room()) {
            // Nothing more comes, as this one was evicted or the caller has closed its side.
            Ok(0) if idle && place.is_evicted() => return Err(Stop::Idle),
            Ok(0) if idle => return Err(Stop::PeerClosed),
            Ok(0) if place.is_evicted() => return Err(Stop::Bad(TOO_SLOW)),
            // The caller may have closed only its own side, and still read.
            Ok(0) => {
                return Err(Stop::Bad(inlet.end().unwrap_or(Bad::request("the request ends early"))));
            }
            Ok(_) => {}
            Err(e) if is_timeout(&e) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return Err(Stop::PeerGone),
        }
        if !inlet.is_empty() {
            first_byte.get_or_insert_with(Instant::now);
        }
    }
}

/// How long a connection has been waited on.
pub struct Waited {
    /// Since its last message.
    pub idle: Duration,
    /// Since the first byte of its next message, if a part is there.
    pub partial: Option<Duration>,
    /// Since it was accepted, if it has not brought a message yet.
    pub unasked: Option<Duration>,
}

impl Waited {
    /// How much longer it is read; `closed_for` tells since when the server takes no new connections.
    pub fn left(&self, idle_limit: Duration, closed_for: Option<Duration>) -> Duration {
        let first = self.unasked.map_or(Duration::MAX, |since| FIRST_PATIENCE.saturating_sub(since));
        let next = match (self.partial, self.unasked, closed_for) {
            // A length that lies must not hold up the end of a drain.
            (Some(since), _, Some(closed)) => {
                READ_PATIENCE.saturating_sub(since).min(CLOSING_PATIENCE.saturating_sub(closed))
            }
            // Counted from the first byte: an idle connection may bring a request in two parts at any time.
            (Some(since), _, None) => READ_PATIENCE.saturating_sub(since),
            // It was accepted while the listener closed: its request is on the way.
            (None, Some(since), Some(_)) => EVICT_AFTER.saturating_sub(since),
            (None, Some(_), None) => idle_limit.max(NEW_PATIENCE).saturating_sub(self.idle),
            (None, None, _) => idle_limit.saturating_sub(self.idle),
        };
        next.min(first)
    }
}

/// Reads once, behind what is there; the number of bytes that came.
pub(crate) fn read_some(stream: &mut impl Read, bytes: &mut Vec<u8>) -> io::Result<usize> {
    let had = bytes.len();
    bytes.resize(had + CHUNK, 0);
    let read = stream.read(&mut bytes[had..]);
    bytes.truncate(had + *read.as_ref().unwrap_or(&0));
    read
}

/// A wait of this program's own is over. A connection that the system gave up (`ETIMEDOUT`) is not one: it is broken.
pub(super) fn is_timeout(e: &io::Error) -> bool {
    match e.kind() {
        io::ErrorKind::WouldBlock => true,
        io::ErrorKind::TimedOut => e.raw_os_error().is_none(),
        _ => false,
    }
}

/// Writes an answer; how the connection ends if it ends now.
fn write(stream: &mut impl Stream, bytes: &[u8], hub: &Hub) -> Ending {
    match stream.write_all(bytes).and_then(|()| stream.flush()) {
        Ok(()) => Ending::Finished,
        Err(e) => {
            hub.push(Input::AnswerWriteFailed(if is_timeout(&e) { End::Stalled } else { End::Broken }));
            Ending::PeerGone
        }
    }
}
