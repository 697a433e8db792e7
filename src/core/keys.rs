//! The table of keys: which try of a keyed request stands for it, which one ran, and what came of it.

use std::collections::HashMap;
use std::time::Duration;

use ring::digest::{Context, SHA256};

use super::types::{Bytes, Key, KeyState};
use crate::interface::RequestId;

/// Keys remembered at most; beyond that, requests with new keys are turned away.
const MAX_KEYS: usize = 50_000;
/// Bytes of results kept at most; beyond that the oldest are dropped, but never their keys.
const MAX_RESULT_BYTES: usize = 16 << 20;
/// A try is taken to have come within a window up to this long after its end.
pub(super) const MARGIN: Duration = Duration::from_secs(1);

/// A try that was run.
#[derive(Debug)]
struct Ran {
    id: RequestId,
    /// End of the time in which no other try may be run.
    until: Duration,
    result: Option<Bytes>,
}

/// A try that is still here.
#[derive(Debug)]
struct Try {
    id: RequestId,
    /// When it reached the machine, and the end of the window that its run would open.
    start: Duration,
    until: Duration,
}

#[derive(Debug, Default)]
struct Entry {
    /// What the key stands for: a digest of the class and the body that came with it first.
    what: u64,
    /// The try that stands for the key, and for how long.
    holder: Option<(RequestId, Duration)>,
    /// Tries that are still here.
    tries: Vec<Try>,
    ran: Option<Ran>,
}

/// A digest of what a key stands for.
pub fn digest(class: &str, body: &[u8]) -> u64 {
    // The same in every version of the program: a process compares with what the one before it noted.
    let mut digest = Context::new(&SHA256);
    [class.as_bytes(), &[0], body].iter().for_each(|part| digest.update(part));
    digest.finish().as_ref()[..8].iter().fold(0, |all, byte| all << 8 | u64::from(*byte))
}

/// Bytes of the result that is kept of a run.
fn kept(ran: Option<&Ran>) -> usize {
    ran.and_then(|r| r.result.as_ref()).map_or(0, |r| r.len())
}

/// All remembered keys.
#[derive(Debug, Default)]
pub struct Keys {
    entries: HashMap<Key, Entry>,
    result_bytes: usize,
}

impl Keys {
    /// A try of it is here, or one was run and is not forgotten.
    pub fn is_known(&self, key: &Key) -> bool {
        self.entries.contains_key(key)
    }

    /// Its key is known, or there is room for one more.
    pub fn has_room_for(&self, key: &Key) -> bool {
        self.entries.len() < MAX_KEYS || self.is_known(key)
    }

    /// The key stands for something else: no try of what `what` is the digest of.
    pub fn conflicts(&self, key: &Key, what: u64) -> bool {
        self.entries.get(key).is_some_and(|e| e.what != what)
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// None is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of the results that are kept.
    pub fn result_bytes(&self) -> usize {
        self.result_bytes
    }

    /// Notes a try that reached the machine at `start`, and names the one that it repeats.
    pub fn add_try(
        &mut self,
        key: &Key,
        id: RequestId,
        what: u64,
        start: Duration,
        window: Duration,
    ) -> Option<RequestId> {
        let e = self.entries.entry(key.clone()).or_insert_with(|| Entry { what, ..Entry::default() });
        let ran = e.ran.as_ref().filter(|r| start <= r.until).map(|r| r.id);
        let holder = e.holder.filter(|(_, until)| start <= *until).map(|(id, _)| id);
        // Tries that arrive together see each other even before one of them is kept.
        let other = e.tries.last().map(|t| t.id);
        e.tries.push(Try { id, start, until: start + window + MARGIN });
        ran.or(holder).or(other)
    }

    /// Has a try stand for its key until a time.
    pub fn remember(&mut self, key: &Key, id: RequestId, until: Duration) {
        if let Some(e) = self.entries.get_mut(key) {
            e.holder = Some((id, until));
        }
    }

    /// Frees an entry, unless its run may have had its effect.
    pub fn forget(&mut self, key: &Key, id: RequestId) {
        if let Some(e) = self.entries.get_mut(key) {
            e.holder = e.holder.filter(|(holder, _)| *holder != id);
        }
    }

    /// Notes that a try is run now; false where another one has been, and this one came within its window.
    pub fn start_run(&mut self, key: &Key, id: RequestId) -> bool {
        let Some(e) = self.entries.get_mut(key) else { return false };
        let Some(&Try { start, until, .. }) = e.tries.iter().find(|t| t.id == id) else { return false };
        if e.ran.as_ref().is_some_and(|r| r.id == id || start <= r.until) {
            return false;
        }
        let before = e.ran.replace(Ran { id, until, result: None });
        self.result_bytes -= kept(before.as_ref());
        true
    }

    /// The run of a try is over, with this result.
    pub fn end_run(&mut self, key: &Key, id: RequestId, result: Option<Bytes>) {
        let Some(ran) = self.entries.get_mut(key).and_then(|e| e.ran.as_mut()).filter(|r| r.id == id) else {
            return;
        };
        self.result_bytes -= kept(Some(ran));
        ran.result = result;
        self.result_bytes += kept(Some(ran));
        if self.result_bytes > MAX_RESULT_BYTES {
            self.drop_results();
        }
    }

    /// The run of a try is proven not to have begun.
    pub fn cancel_run(&mut self, key: &Key, id: RequestId) {
        let Some(e) = self.entries.get_mut(key) else { return };
        if let Some(ran) = e.ran.take_if(|r| r.id == id) {
            self.result_bytes -= kept(Some(&ran));
        }
    }

    /// A try is answered and over.
    pub fn remove_try(&mut self, key: &Key, id: RequestId) {
        let Some(e) = self.entries.get_mut(key) else { return };
        e.tries.retain(|t| t.id != id);
        if e.ran.is_none() {
            e.holder = e.holder.filter(|(holder, _)| *holder != id);
            if e.tries.is_empty() && e.holder.is_none() {
                self.entries.remove(key);
            }
        }
    }

    /// Tries of it are still here.
    pub fn is_open(&self, key: &Key) -> bool {
        self.entries.get(key).is_some_and(|e| !e.tries.is_empty())
    }

    /// All keys of which another try may come, for the process that takes over.
    pub fn export(&self) -> Vec<KeyState> {
        let state = |(key, e): (&Key, &Entry)| {
            let until = e.ran.iter().map(|r| r.until).chain(e.tries.iter().map(|t| t.until)).max()?;
            let result = e.ran.as_ref().and_then(|r| r.result.clone());
            Some(KeyState { key: key.clone(), digest: e.what, until, open: !e.tries.is_empty(), result })
        };
        self.entries.iter().filter_map(state).collect()
    }

    /// Takes a key over; `id` stands for the run in the other process, until it is known that there was none.
    pub fn import(&mut self, state: KeyState, id: RequestId) {
        let KeyState { key, digest, until, result, .. } = state;
        let ran = Some(Ran { id, until, result: None });
        let before = self.entries.insert(key.clone(), Entry { what: digest, ran, ..Entry::default() });
        self.result_bytes -= before.map_or(0, |e| kept(e.ran.as_ref()));
        self.end_run(&key, id, result);
    }

    /// The try that ran.
    pub fn run_of(&self, key: &Key) -> Option<RequestId> {
        self.entries.get(key)?.ran.as_ref().map(|r| r.id)
    }

    /// What its run made.
    pub fn result(&self, key: &Key) -> Option<Bytes> {
        self.entries.get(key)?.ran.as_ref()?.result.clone()
    }

    /// Forgets what nothing can repeat any more. A try from within a window may be read up to `lateness` after it
    /// came, and so after the window has ended.
    pub fn sweep(&mut self, now: Duration, lateness: Duration) {
        let freed = &mut self.result_bytes;
        self.entries.retain(|_, e| {
            let ran = e.ran.as_ref().is_some_and(|r| now <= r.until + lateness);
            let keep = ran || !e.tries.is_empty();
            if !keep {
                *freed -= kept(e.ran.as_ref());
            }
            keep
        });
    }

    /// Drops the older half of the results.
    fn drop_results(&mut self) {
        let mut with: Vec<_> =
            self.entries.values_mut().filter_map(|e| e.ran.as_mut()).filter(|r| r.result.is_some()).collect();
        with.sort_by_key(|r| r.until);
        let half = with.len().div_ceil(2);
        for ran in with.into_iter().take(half) {
            self.result_bytes -= ran.result.take().map_or(0, |r| r.len());
        }
    }
}
