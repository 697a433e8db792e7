//! The table of idempotency keys: the tries of each key, which of them was run, and the result of that run.

use std::collections::HashMap;
use std::time::Duration;

use ring::digest::{Context, SHA256};

use super::types::{Bytes, Key, KeyState};
use crate::interface::RequestId;
use crate::settings::{key_size, MemoryBudget};

/// When results are dropped for lack of room, this part of the room is freed at least.
const FREED_PART: usize = 8;
/// Tries that arrive up to this long after the end of a window are treated as within it.
pub(super) const WINDOW_MARGIN: Duration = Duration::from_secs(1);

/// The run of a key.
#[derive(Clone, Debug)]
struct Run {
    id: RequestId,
    /// No other try that arrived by this time may be run.
    until: Duration,
    result: Option<Bytes>,
}

/// A try whose request is still active.
#[derive(Clone, Debug)]
struct Try {
    id: RequestId,
    /// When it reached this machine, and the end of the window that its run would open.
    start: Duration,
    until: Duration,
}

/// The state of one key.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// The digest of the request that the key stands for: of the class and the body of the first try.
    digest: u64,
    /// The try that the decision module has chosen to stand for the key, and until when.
    holder: Option<(RequestId, Duration)>,
    /// Tries whose requests are still active.
    tries: Vec<Try>,
    run: Option<Run>,
}

/// The digest of a request, by which a key is bound to it.
pub fn digest(class: &str, body: &[u8]) -> u64 {
    // It must be the same in every version of the program, as a process compares it with digests from its predecessor.
    let mut context = Context::new(&SHA256);
    [class.as_bytes(), &[0], body].iter().for_each(|part| context.update(part));
    context.finish().as_ref()[..8].iter().fold(0, |all, byte| all << 8 | u64::from(*byte))
}

/// The size of the result that is kept for a run, in bytes.
fn result_size(run: Option<&Run>) -> usize {
    run.and_then(|r| r.result.as_ref()).map_or(0, |r| r.len())
}

/// The table of all remembered keys.
#[derive(Clone, Debug, Default)]
pub struct Keys {
    entries: HashMap<Key, Entry>,
    /// Size of all keys, each counted with [`key_size`].
    key_bytes: usize,
    result_bytes: usize,
    budget: MemoryBudget,
    /// Another process of this matcher keeps results as well.
    shares_results: bool,
}

impl Keys {
    /// Whether the table has an entry for this key: a try of it is active, or a run is remembered.
    pub fn is_known(&self, key: &Key) -> bool {
        self.entries.contains_key(key)
    }

    /// Limits the keys and results that are remembered.
    pub fn set_budget(&mut self, budget: MemoryBudget) {
        self.budget = budget;
    }

    /// Sets whether another process of this matcher keeps results as well: then each has half of the room.
    pub fn set_shares_results(&mut self, shares_results: bool) {
        self.shares_results = shares_results;
        self.limit_results();
    }

    /// Whether a try of this key can be added: the key is known, or there is room for one more.
    pub fn has_room_for(&self, key: &Key) -> bool {
        let fits =
            self.entries.len() < self.budget.keys && self.key_bytes + key_size(key) <= self.budget.key_bytes;
        fits || self.is_known(key)
    }

    /// Whether the key stands for a request with a digest other than this one.
    pub fn conflicts(&self, key: &Key, digest: u64) -> bool {
        self.entries.get(key).is_some_and(|e| e.digest != digest)
    }

    /// Number of remembered keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Size of all remembered results in bytes.
    pub fn result_bytes(&self) -> usize {
        self.result_bytes
    }

    /// Adds a try that reached this machine at `start`, and returns the try that it repeats, if any.
    pub fn add_try(
        &mut self,
        key: &Key,
        id: RequestId,
        digest: u64,
        start: Duration,
        window: Duration,
    ) -> Option<RequestId> {
        let e = self.entries.entry(key.clone()).or_insert_with(|| {
            self.key_bytes += key_size(key);
            Entry { digest, ..Entry::default() }
        });
        let run = e.run.as_ref().filter(|r| start <= r.until).map(|r| r.id);
        let holder = e.holder.filter(|(_, until)| start <= *until).map(|(id, _)| id);
        // Tries that arrive at the same time find each other even before one of them becomes the holder.
        let other = e.tries.last().map(|t| t.id);
        e.tries.push(Try { id, start, until: start + window + WINDOW_MARGIN });
        run.or(holder).or(other)
    }

    /// Makes a try stand for its key until the given time.
    pub fn set_holder(&mut self, key: &Key, id: RequestId, until: Duration) {
        if let Some(e) = self.entries.get_mut(key) {
            e.holder = Some((id, until));
        }
    }

    /// Removes a try as the holder of its key. A recorded run stays.
    pub fn clear_holder(&mut self, key: &Key, id: RequestId) {
        if let Some(e) = self.entries.get_mut(key) {
            e.holder = e.holder.filter(|(holder, _)| *holder != id);
        }
    }

    /// Records that a try is run now. Returns false, and records nothing, if the try arrived within the window of an
    /// earlier run of the key.
    pub fn start_run(&mut self, key: &Key, id: RequestId) -> bool {
        let Some(e) = self.entries.get_mut(key) else { return false };
        let Some(&Try { start, until, .. }) = e.tries.iter().find(|t| t.id == id) else { return false };
        if e.run.as_ref().is_some_and(|r| r.id == id || start <= r.until) {
            return false;
        }
        let previous = e.run.replace(Run { id, until, result: None });
        self.result_bytes -= result_size(previous.as_ref());
        true
    }

    /// Records the result of a try's run.
    pub fn end_run(&mut self, key: &Key, id: RequestId, result: Option<Bytes>) {
        let Some(run) = self.entries.get_mut(key).and_then(|e| e.run.as_mut()).filter(|r| r.id == id) else {
            return;
        };
        self.result_bytes -= result_size(Some(run));
        run.result = result;
        self.result_bytes += result_size(Some(run));
        self.limit_results();
    }

    /// Removes the record of a try's run that is proven not to have begun.
    pub fn cancel_run(&mut self, key: &Key, id: RequestId) {
        let Some(e) = self.entries.get_mut(key) else { return };
        if let Some(run) = e.run.take_if(|r| r.id == id) {
            self.result_bytes -= result_size(Some(&run));
        }
    }

    /// Removes a try whose request is no longer active. A run of it stays recorded.
    pub fn remove_try(&mut self, key: &Key, id: RequestId) {
        let Some(e) = self.entries.get_mut(key) else { return };
        e.tries.retain(|t| t.id != id);
        if e.tries.is_empty() {
            // Most keys have one try, and are kept long after it.
            e.tries = Vec::new();
        }
        if e.run.is_none() {
            // The holder may have ended during a run that is now known not to have begun.
            e.holder = e.holder.filter(|(holder, _)| e.tries.iter().any(|t| t.id == *holder));
            if e.tries.is_empty() && e.holder.is_none() {
                self.entries.remove(key);
                self.key_bytes -= key_size(key);
            }
        }
    }

    /// Whether a try of the key is still active.
    pub fn is_open(&self, key: &Key) -> bool {
        self.entries.get(key).is_some_and(|e| !e.tries.is_empty())
    }

    /// The state of all keys with a run or an active try, for the successor.
    pub fn export(&self) -> Vec<KeyState> {
        let state = |(key, e): (&Key, &Entry)| {
            let until = e.run.iter().map(|r| r.until).chain(e.tries.iter().map(|t| t.until)).max()?;
            let result = e.run.as_ref().and_then(|r| r.result.clone());
            Some(KeyState { key: key.clone(), digest: e.digest, until, open: !e.tries.is_empty(), result })
        };
        self.entries.iter().filter_map(state).collect()
    }

    /// Takes over a key from the predecessor; `id` stands for the run there, until it is known that there was none.
    pub fn import(&mut self, state: KeyState, id: RequestId) {
        let KeyState { key, digest, until, result, .. } = state;
        let run = Some(Run { id, until, result: None });
        match self.entries.insert(key.clone(), Entry { digest, run, ..Entry::default() }) {
            Some(previous) => self.result_bytes -= result_size(previous.run.as_ref()),
            None => self.key_bytes += key_size(&key),
        }
        self.end_run(&key, id, result);
    }

    /// The try of the key that was run, if any.
    pub fn run_of(&self, key: &Key) -> Option<RequestId> {
        self.entries.get(key)?.run.as_ref().map(|r| r.id)
    }

    /// The result of the key's run, if it is known.
    pub fn result(&self, key: &Key) -> Option<Bytes> {
        self.entries.get(key)?.run.as_ref()?.result.clone()
    }

    /// Forgets keys whose runs can no longer be repeated by a new try. A try that arrived within a window may be read
    /// up to `lateness` later, and so after the end of the window.
    pub fn sweep(&mut self, now: Duration, lateness: Duration) {
        let (key_bytes, result_bytes) = (&mut self.key_bytes, &mut self.result_bytes);
        self.entries.retain(|key, e| {
            let is_repeatable = e.run.as_ref().is_some_and(|r| now <= r.until + lateness);
            let keep = is_repeatable || !e.tries.is_empty();
            if !keep {
                *key_bytes -= key_size(key);
                *result_bytes -= result_size(e.run.as_ref());
            }
            keep
        });
    }

    /// Drops the oldest results while there are more than there is room for.
    fn limit_results(&mut self) {
        let room = self.budget.result_bytes / if self.shares_results { 2 } else { 1 };
        if self.result_bytes > room {
            self.drop_results(room - room / FREED_PART);
        }
    }

    /// Drops the oldest results until no more than these bytes are left.
    fn drop_results(&mut self, max_bytes: usize) {
        let mut with_result: Vec<_> =
            self.entries.values_mut().filter_map(|e| e.run.as_mut()).filter(|r| r.result.is_some()).collect();
        with_result.sort_by_key(|r| r.until);
        for run in with_result {
            if self.result_bytes <= max_bytes {
                break;
            }
            self.result_bytes -= run.result.take().map_or(0, |r| r.len());
        }
    }
}
