//! The log of calls to the dependency: for which ask a reply was read, on which connection, and as which command of
//! which link it was written to the agent; how each other ask ended; and which replies were ignored.
//!
//! Entries are joined into lines, and their number is limited, so that the log costs little on a busy server.

use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tracing::info;

use crate::core::{AskId, End, Handle, LinkId, ReplyDigest, ReplyOrigin};

/// The target of the log lines, by which a filter can select them.
pub(super) const TARGET: &str = "hopwalk::calls";
/// Entries in one line.
const ENTRIES_PER_LINE: usize = 16;
/// An entry is logged after this time at the latest, if entries follow or the reducer runs.
const MAX_DELAY: Duration = Duration::from_secs(1);
/// Entries that are logged within [`MAX_DELAY`]; further ones are only counted.
const MAX_ENTRIES: usize = 1_000;

/// What became of an ask or of a reply.
#[derive(Clone, Copy, Debug)]
pub(super) enum CallEvent {
    /// A reply was written to the agent.
    Written {
        /// Where it was read.
        origin: ReplyOrigin,
        /// The digest of the content that was written.
        digest: ReplyDigest,
        /// Its length in bytes.
        len: usize,
        /// The link, and the number of the command on it.
        link: LinkId,
        number: u64,
    },
    /// An ask ended without a reply for its run.
    Ended {
        ask: AskId,
        /// The connection that it was written on, if it was written.
        connection: Option<u64>,
        /// How it ended.
        end: End,
        /// The reducer had cancelled it before.
        is_cancelled: bool,
        /// Time since the ask was ordered.
        elapsed: Duration,
    },
    /// A connection was closed, as bytes had arrived on it before the ask was written.
    EarlyBytes { ask: AskId, connection: u64 },
    /// A reply was ignored that arrived while this ask was in progress.
    Ignored {
        ask: AskId,
        connection: u64,
        /// The request that the reply names.
        handle: Handle,
        /// How the call ended according to the reply.
        end: End,
        /// The digest of its content, if it has any.
        digest: Option<ReplyDigest>,
    },
}

impl fmt::Display for CallEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Written { origin, digest, len, link, number } => {
                write!(f, "{origin} written {len} bytes digest {digest} link {link} command {number}")
            }
            Self::Ended { ask, connection, end, is_cancelled, elapsed } => {
                write!(f, "{ask} connection {} ", connection.unwrap_or_default())?;
                let cancelled = if *is_cancelled { " cancelled" } else { "" };
                write!(f, "ended {}{cancelled} after {} ms", end.as_str(), elapsed.as_millis())
            }
            Self::EarlyBytes { ask, connection } => {
                write!(f, "{ask} connection {connection} closed for bytes that came before the ask")
            }
            Self::Ignored { ask, connection, handle, end, digest } => {
                write!(f, "{ask} connection {connection} ignored a reply to {handle}: {}", end.as_str())?;
                digest.map_or(Ok(()), |digest| write!(f, " digest {digest}"))
            }
        }
    }
}

/// Entries that are not logged yet.
#[derive(Debug)]
struct Pending {
    entries: Vec<CallEvent>,
    since: Instant,
    /// Entries since then, logged or not.
    count: usize,
    omitted: usize,
}

/// The log of calls, shared by all coroutines that read or write replies.
#[derive(Debug)]
pub(super) struct CallLog(Mutex<Pending>);

impl Default for CallLog {
    fn default() -> Self {
        Self(Mutex::new(Pending { entries: Vec::new(), since: Instant::now(), count: 0, omitted: 0 }))
    }
}

impl CallLog {
    /// Records an entry, and logs a line if enough entries are pending.
    pub(super) fn record(&self, event: CallEvent) {
        let mut pending = self.pending();
        pending.count += 1;
        if pending.count > MAX_ENTRIES {
            pending.omitted += 1;
        } else {
            pending.entries.push(event);
        }
        let line = (pending.entries.len() >= ENTRIES_PER_LINE || pending.since.elapsed() >= MAX_DELAY)
            .then(|| pending.take_line(MAX_DELAY));
        drop(pending);
        log(line);
    }

    /// Logs the pending entries if they are older than [`MAX_DELAY`].
    pub(super) fn flush_old(&self) {
        let mut pending = self.pending();
        let line = (pending.since.elapsed() >= MAX_DELAY).then(|| pending.take_line(MAX_DELAY));
        drop(pending);
        log(line);
    }

    /// Logs all pending entries.
    pub(super) fn flush(&self) {
        let line = self.pending().take_line(Duration::ZERO);
        log(Some(line));
    }

    fn pending(&self) -> MutexGuard<'_, Pending> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Pending {
    /// Takes the pending entries as one line. The limit of entries begins anew if it has been in force for `period`.
    fn take_line(&mut self, period: Duration) -> String {
        let mut entries: Vec<_> = self.entries.drain(..).map(|entry| entry.to_string()).collect();
        if self.since.elapsed() >= period {
            if self.omitted > 0 {
                entries.push(format!("{} more not logged", self.omitted));
            }
            (self.since, self.count, self.omitted) = (Instant::now(), 0, 0);
        }
        entries.join("; ")
    }
}

fn log(line: Option<String>) {
    if let Some(line) = line.filter(|line| !line.is_empty()) {
        info!(target: TARGET, "calls: {line}");
    }
}
