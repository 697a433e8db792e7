//! The asks that a vault has read. Each ask gets a reply with content of its own, so that the agent can tell for which
//! ask a reply was made, also between two asks of the same call.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// One ask of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The number of the ask, counted over all requests.
    pub number: u64,
    /// The vault's connection on which it arrived.
    pub connection: u64,
    /// The body of the call.
    pub body: Vec<u8>,
}

impl Ask {
    /// The only reply that is made for this ask.
    pub fn reply(&self) -> Vec<u8> {
        [format!("reply:{:016x}:", self.number).as_bytes(), &self.body].concat()
    }
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
    /// Records an ask of the request `id`, which gives up the request's previous ask.
    pub fn begin(&self, id: &str, connection: u64, body: &[u8]) -> Ask {
        let mut recorded = self.recorded();
        recorded.count += 1;
        let ask = Ask { number: recorded.count, connection, body: body.to_vec() };
        recorded.last.insert(id.to_string(), ask.clone());
        ask
    }

    /// The request's ask that is in force: its last one.
    pub fn in_force(&self, id: &str) -> Option<Ask> {
        self.recorded().last.get(id).cloned()
    }

    fn recorded(&self) -> MutexGuard<'_, Recorded> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
