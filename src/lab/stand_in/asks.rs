//! The asks that a vault has read. Each ask gets a reply with content of its own, so that the agent can tell for which
//! ask a reply was made, also between two asks of the same call.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::lab::random::Random;

/// The bytes at the end of replies, and how many there are at most.
const REPLY_END_BYTES: &[u8] = b"\r\n\r\n\nx 0";
const MAX_REPLY_END: usize = 24;

/// One ask of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The number of the ask, counted over all requests.
    pub number: u64,
    /// The vault's connection on which it arrived.
    pub connection: u64,
    /// The body of the call.
    pub body: Vec<u8>,
    /// When the time that the ask states ends, counted from when it was read.
    pub ends_at: Instant,
    /// A reply was sent before then. Without one, the ask was over when its reply was made.
    pub was_answered_in_time: bool,
}

impl Ask {
    /// The only reply that is made for this ask.
    pub fn reply(&self) -> Vec<u8> {
        reply_of(self.number, &self.body)
    }
}

/// The reply to the ask with this number, of a call with this body. It ends in bytes that a reader of lines could misread.
fn reply_of(number: u64, body: &[u8]) -> Vec<u8> {
    let mut random = Random::new(number);
    let mut below = |most: usize| (random.next_u64() % most as u64) as usize;
    let end: Vec<_> =
        (0..below(MAX_REPLY_END)).map(|_| REPLY_END_BYTES[below(REPLY_END_BYTES.len())]).collect();
    [format!("reply:{number:016x}:").as_bytes(), body, &end].concat()
}

/// Whether a reply is the whole one that was made for some ask of a call with this body.
pub fn is_reply_to(body: &[u8], reply: &[u8]) -> bool {
    const NUMBER_DIGITS: usize = 16;
    let number = reply.strip_prefix(b"reply:").and_then(|rest| rest.get(..NUMBER_DIGITS));
    let number = number.and_then(|digits| u64::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok());
    number.is_some_and(|number| reply == reply_of(number, body))
}

/// The asks of one vault, shared with the agent that checks the replies.
#[derive(Clone, Debug, Default)]
pub struct Asks(Arc<Mutex<Recorded>>);

#[derive(Debug, Default)]
struct Recorded {
    count: u64,
    /// The last ask of each request: an ask gives up the one before.
    last: HashMap<String, Ask>,
}

impl Asks {
    /// Records an ask of the request `id` that states this time. It gives up the request's previous ask.
    pub fn begin(&self, id: &str, connection: u64, body: &[u8], stated_time: Duration) -> Ask {
        let mut recorded = self.recorded();
        recorded.count += 1;
        let ends_at = Instant::now() + stated_time;
        let (number, body) = (recorded.count, body.to_vec());
        let ask = Ask { number, connection, body, ends_at, was_answered_in_time: false };
        recorded.last.insert(id.to_string(), ask.clone());
        ask
    }

    /// Records that a reply to an ask is sent now.
    pub fn answer(&self, id: &str, number: u64) {
        let mut recorded = self.recorded();
        if let Some(ask) = recorded.last.get_mut(id).filter(|ask| ask.number == number) {
            ask.was_answered_in_time |= Instant::now() <= ask.ends_at;
        }
    }

    /// The request's ask that is in force: its last one.
    pub fn in_force(&self, id: &str) -> Option<Ask> {
        self.recorded().last.get(id).cloned()
    }

    fn recorded(&self) -> MutexGuard<'_, Recorded> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
