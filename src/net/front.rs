//! A connection of a caller: read a request, wait for its answer, write it, again.

use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::{Duration, Instant};

use super::fields::{Bad, Message, Parsed};
use super::inlet::{Framing, Inlet};
use super::stream::Conn;
use super::{Hub, Port};
use crate::core::{Answer, End, Input, Verdict};

/// A request must be there whole this long after its first byte.
const READ_PATIENCE: Duration = Duration::from_secs(10);
/// A new connection must bring its first whole request within this time of being accepted, whether it says half
/// of one or nothing at all: callers connect when they have something to say.
const FIRST_PATIENCE: Duration = Duration::from_millis(2500);
/// A new connection is not closed as idle before this time: its first request is on the way.
const NEW_PATIENCE: Duration = Duration::from_secs(1);
/// A caller that reads nothing for this long has stopped reading.
pub(super) const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// An idle connection looks this often whether it should close.
const IDLE_LOOK: Duration = Duration::from_millis(500);
/// Bytes read at once.
const CHUNK: usize = 4096;
/// After an error, this much more is read and thrown away so that the answer is not lost to a reset.
const LINGER: (usize, Duration) = (64 << 10, Duration::from_millis(200));

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
    /// It is idle, or the caller closed it.
    Quiet,
    /// It sent what is no request.
    Bad(Bad),
}

/// Serves one connection until it ends.
pub(super) fn serve<S: Stream, W: Wire>(mut stream: S, wire: W, port: &Port) {
    let (conn, hub) = (port.conn, &*port.hub);
    let mut inlet = Inlet::new(wire);
    let mut accepted = Some(port.accepted);
    loop {
        let message = match read_message(&mut stream, &mut inlet, port, accepted.take()) {
            Ok(message) => message,
            Err(Stop::Quiet) => return,
            Err(Stop::Bad(bad)) => {
                hub.push(Input::Rejected);
                if write(&mut stream, &wire.encode_bad(bad), hub) {
                    linger(&mut stream);
                }
                return;
            }
        };
        // What was read keeps its connection; one that makes room at this moment is gone, and was not read.
        if !port.asks() {
            return;
        }
        hub.push(match message.parsed {
            Parsed::Check { deep } => Input::Check { conn, deep },
            Parsed::Request(mut request) => {
                request.conn = conn;
                Input::Request(request)
            }
        });
        let Ok(answer) = port.answers.recv() else { return };
        let invalid = matches!(answer.verdict, Verdict::Invalid(_) | Verdict::NoSuchClass);
        let close = message.close || answer.close || invalid;
        if !write(&mut stream, &wire.encode(&answer, close), hub) {
            return;
        }
        if close {
            return linger(&mut stream);
        }
        port.rests();
    }
}

fn read_message<W: Wire>(
    stream: &mut impl Stream,
    inlet: &mut Inlet<W>,
    port: &Port,
    accepted: Option<Instant>,
) -> Result<Message, Stop> {
    let hub = &*port.hub;
    let since = Instant::now();
    let mut first_byte = (!inlet.is_empty()).then_some(since);
    let (mut last_look, mut told) = (false, false);
    loop {
        if let Some((message, _)) = inlet.next_message().map_err(Stop::Bad)? {
            return Ok(message);
        }
        if first_byte.is_some() && !told {
            told = true;
            port.begins();
        }
        let idle = first_byte.is_none();
        let waited = Waited {
            idle: since.elapsed(),
            partial: first_byte.map(|at| at.elapsed()),
            unasked: accepted.map(|at| at.elapsed()),
        };
        let left = waited.left(hub.idle_limit(), hub.is_closed());
        if left.is_zero() && last_look {
            return if idle {
                Err(Stop::Quiet)
            } else {
                Err(Stop::Bad(Bad { status: 408, reason: "too slow" }))
            };
        }
        // What came while the timer fired is read before the connection is closed as idle.
        last_look = left.is_zero();
        stream.conn().set_read_patience(left.clamp(Duration::from_millis(1), IDLE_LOOK));
        match read_some(stream, inlet.room()) {
            Ok(0) if idle => return Err(Stop::Quiet),
            // The caller may have closed only its own side, and still read.
            Ok(0) => {
                return Err(Stop::Bad(inlet.end().unwrap_or(Bad::request("the request ends early"))));
            }
            Ok(_) => {}
            Err(e) if is_timeout(&e) => {}
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return Err(Stop::Quiet),
        }
        if !inlet.is_empty() {
            first_byte.get_or_insert_with(Instant::now);
        }
    }
}

/// How long a connection has been waited on.
struct Waited {
    /// Since its last message.
    idle: Duration,
    /// Since the first byte of its next message, if a part is there.
    partial: Option<Duration>,
    /// Since it was accepted, if it has not brought a message yet.
    unasked: Option<Duration>,
}

impl Waited {
    /// How much longer it is read.
    fn left(&self, idle_limit: Duration, closed: bool) -> Duration {
        let first = self.unasked.map_or(Duration::MAX, |since| FIRST_PATIENCE.saturating_sub(since));
        let next = match self.partial {
            None if self.unasked.is_some() && !closed => {
                idle_limit.max(NEW_PATIENCE).saturating_sub(self.idle)
            }
            None => idle_limit.saturating_sub(self.idle),
            // A length that lies must not hold up the end of a drain.
            Some(_) if closed => Duration::ZERO,
            // Counted from the first byte: an idle connection may bring a request in two parts at any time.
            Some(since) => READ_PATIENCE.saturating_sub(since),
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

pub(super) fn is_timeout(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock)
}

fn write(stream: &mut impl Stream, bytes: &[u8], hub: &Hub) -> bool {
    match stream.write_all(bytes).and_then(|()| stream.flush()) {
        Ok(()) => true,
        Err(e) => {
            hub.push(Input::Unsent(if is_timeout(&e) { End::Stalled } else { End::Broken }));
            false
        }
    }
}

/// Closes towards the caller, and reads on for a moment.
pub(super) fn linger(stream: &mut impl Stream) {
    stream.end();
    stream.conn().shutdown(Shutdown::Write);
    stream.conn().set_read_patience(LINGER.1);
    let (mut bytes, mut total, since) = (Vec::new(), 0, Instant::now());
    while total < LINGER.0 && since.elapsed() < LINGER.1 {
        bytes.clear();
        match read_some(stream, &mut bytes) {
            Ok(n) if n > 0 => total += n,
            _ => return,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_in_parts_has_its_time_from_its_first_byte() {
        // Guards against a request that came in two parts after a long idle time being called too slow.
        let (s, ms) = (Duration::from_secs, Duration::from_millis);
        let left = |idle, partial, unasked, closed| Waited { idle, partial, unasked }.left(s(30), closed);
        assert_eq!(left(s(25), Some(ms(1)), None, false), READ_PATIENCE - ms(1));
        assert_eq!(left(s(25), None, None, false), s(5));
        assert_eq!(left(s(1), Some(ms(1)), None, true), Duration::ZERO);
        assert_eq!(left(s(60), Some(s(11)), None, false), Duration::ZERO);
        // Guards against a short idle time that closes a connection before its first request is there.
        let short = |unasked, closed| Waited { idle: ms(200), partial: None, unasked }.left(ms(100), closed);
        assert_eq!(short(Some(ms(200)), false), NEW_PATIENCE - ms(200));
        assert_eq!([short(None, false), short(Some(ms(200)), true)], [Duration::ZERO; 2]);
        // And against half a request on a new connection, or nothing, that keeps its place for long.
        for partial in [None, Some(ms(100))] {
            assert_eq!(left(s(1), partial, Some(s(1)), false), FIRST_PATIENCE - s(1));
            assert_eq!(left(s(3), partial, Some(s(3)), false), Duration::ZERO);
        }
    }
}
