//! The log of requests: what the agent and the dependency said about each, and what was sent to them.
//!
//! Each event is one short line that begins with the id of its request, so that a search for an id finds all of them, and
//! nothing is lost where lines are cut. Only unusual events are logged at once. All events are kept in a ring, which is
//! written out for a request when one of its rules was about to be broken, and as a whole on request.

use std::collections::VecDeque;
use std::fmt;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tracing::{error, info};

use super::error::{ReplyError, ResponseError};
use crate::core::{AskId, Command, End, Handle, LinkId, Notice, ReplyDigest, ReplyOrigin};

/// The target of the log lines, by which a filter can select them.
pub(super) const TARGET: &str = "hopwalk::requests";
/// How many events the ring keeps.
const RING_CAPACITY: usize = 4_096;
/// Lines about unusual events in each [`PERIOD`]; further ones are only counted.
const MAX_LINES: usize = 200;
const PERIOD: Duration = Duration::from_secs(1);
/// A reply that is read with less than this left of the time of its ask is unusual.
const SHORT_TIME_LEFT: Duration = Duration::from_millis(5);

/// Something that happened to a request.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestEvent {
    /// The agent sent a notice about its run.
    Noticed { handle: Handle, notice: &'static str, cursor: u64, link: LinkId },
    /// A command about its run was queued for writing, perhaps behind others.
    Commanded { handle: Handle, command: &'static str, link: LinkId, number: u64 },
    /// An ask was written, which states this time.
    Asked { ask: AskId, connection: u64, stated: Duration },
    /// A reply was read for an ask, with so much of its time left.
    Replied { origin: ReplyOrigin, len: usize, left: Duration },
    /// A reply was queued for writing to the agent.
    Delivered { origin: ReplyOrigin, digest: ReplyDigest, link: LinkId, number: u64 },
    /// A reply was not written, as its request was due.
    TooLate { ask: AskId, link: LinkId, number: u64 },
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
    /// What was read for an ask is not a valid reply.
    Malformed { ask: AskId, error: ReplyError },
    /// The response of the application, which ran the request, is not valid.
    MalformedResult { handle: Handle, error: ResponseError },
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

impl RequestEvent {
    /// The event of a command about a run; `None` for any other command. A reply has an event of its own.
    pub(super) fn of_command(command: &Command, link: LinkId, number: u64) -> Option<Self> {
        let (command, handle) = command.name_and_handle().filter(|(name, _)| *name != "deliver")?;
        Some(Self::Commanded { handle, command, link, number })
    }

    /// The event of a reply that is not written, as its request is due.
    pub(super) fn of_late_reply(command: &Command, link: LinkId, number: u64) -> Option<Self> {
        let Command::Deliver { reply, .. } = command else { return None };
        Some(Self::TooLate { ask: reply.origin.ask, link, number })
    }

    /// The event of a notice about a run; `None` for any other notice.
    pub(super) fn of_notice(notice: &Notice, link: LinkId, cursor: u64) -> Option<Self> {
        let (handle, notice) = match notice {
            Notice::CallNeeded { handle, .. } => (*handle, "call"),
            Notice::Outcome { handle, end, .. } => (*handle, end.as_str()),
            _ => return None,
        };
        Some(Self::Noticed { handle, notice, cursor, link })
    }

    /// The request.
    fn handle(&self) -> Handle {
        match self {
            Self::Noticed { handle, .. }
            | Self::Commanded { handle, .. }
            | Self::MalformedResult { handle, .. } => *handle,
            Self::Replied { origin, .. } | Self::Delivered { origin, .. } => origin.ask.handle,
            Self::Asked { ask, .. }
            | Self::TooLate { ask, .. }
            | Self::Ended { ask, .. }
            | Self::Malformed { ask, .. }
            | Self::EarlyBytes { ask, .. }
            | Self::Ignored { ask, .. } => ask.handle,
        }
    }

    /// Whether the event is logged at once.
    fn is_unusual(&self) -> bool {
        match self {
            Self::Noticed { .. } | Self::Commanded { .. } | Self::Asked { .. } | Self::Delivered { .. } => {
                false
            }
            Self::Replied { left, .. } => *left < SHORT_TIME_LEFT,
            Self::TooLate { .. }
            | Self::Ended { .. }
            | Self::Malformed { .. }
            | Self::MalformedResult { .. }
            | Self::EarlyBytes { .. }
            | Self::Ignored { .. } => true,
        }
    }
}

impl fmt::Display for RequestEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Noticed { handle, notice, cursor, link } => {
                write!(f, "{handle} notice {cursor} {notice} on link {link}")
            }
            Self::Commanded { handle, command, link, number } => {
                write!(f, "{handle} {command} queued as command {number} of link {link}")
            }
            Self::Asked { ask, connection, stated } => {
                write!(f, "{ask} connection {connection} asked for {} ms", stated.as_millis())
            }
            Self::Replied { origin, len, left } => {
                write!(f, "{origin} read, {len} bytes, {} us left", left.as_micros())
            }
            Self::Delivered { origin, digest, link, number } => {
                let ask = origin.ask;
                write!(f, "{ask} reply {digest} queued as command {number} of link {link}")
            }
            Self::TooLate { ask, link, number } => {
                write!(f, "{ask} reply not written as command {number} of link {link}: its request is due")
            }
            Self::Ended { ask, connection, end, is_cancelled, elapsed } => {
                write!(f, "{ask} connection {} ", connection.unwrap_or_default())?;
                let cancelled = if *is_cancelled { " cancelled" } else { "" };
                write!(f, "ended {}{cancelled} after {} ms", end.as_str(), elapsed.as_millis())
            }
            Self::MalformedResult { handle, error } => write!(f, "{handle} result malformed: {error}"),
            Self::Malformed { ask, error } => write!(f, "{ask} malformed: {error}"),
            Self::EarlyBytes { ask, connection } => {
                write!(f, "{ask} connection {connection} closed for bytes that came before the ask")
            }
            Self::Ignored { ask, connection, handle, end, digest } => {
                write!(f, "{ask} connection {connection} ignored {} to {handle}", end.as_str())?;
                digest.map_or(Ok(()), |digest| write!(f, " digest {digest}"))
            }
        }
    }
}

#[derive(Debug)]
struct Ring {
    events: VecDeque<(Instant, RequestEvent)>,
    /// When the current period began, and the lines in it, logged or not.
    period_began: Instant,
    lines: usize,
}

/// The log of requests, shared by all coroutines.
#[derive(Debug)]
pub(super) struct RequestLog(Mutex<Ring>);

impl Default for RequestLog {
    fn default() -> Self {
        Self(Mutex::new(Ring { events: VecDeque::new(), period_began: Instant::now(), lines: 0 }))
    }
}

impl RequestLog {
    /// Records an event, and logs it if it is unusual.
    pub(super) fn record(&self, event: RequestEvent) {
        let is_unusual = event.is_unusual();
        let mut ring = self.ring();
        if ring.events.len() == RING_CAPACITY {
            ring.events.pop_front();
        }
        ring.events.push_back((Instant::now(), event));
        let omitted = if is_unusual { ring.begin_period() } else { 0 };
        let is_logged = is_unusual && ring.count_line();
        drop(ring);
        if omitted > 0 {
            info!(target: TARGET, "{omitted} further lines were not logged");
        }
        if is_logged {
            info!(target: TARGET, "{event}");
        }
    }

    /// Logs that a rule was about to be broken for a request, and all that the ring has about it.
    pub(super) fn report_violation(&self, handle: Handle, violation: impl fmt::Display) {
        error!(target: TARGET, "{handle} violation: {violation}");
        self.write_out(|event| event.handle() == handle);
    }

    /// Logs all events of the ring.
    pub(super) fn write_all(&self) {
        self.write_out(|_| true);
    }

    fn write_out(&self, is_selected: impl Fn(&RequestEvent) -> bool) {
        let events: Vec<_> =
            self.ring().events.iter().filter(|(_, event)| is_selected(event)).copied().collect();
        for (at, event) in events {
            info!(target: TARGET, "{event}, {} ms ago", at.elapsed().as_millis());
        }
    }

    fn ring(&self) -> MutexGuard<'_, Ring> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ring {
    /// Begins a period if the last one is over. Returns how many lines that one left out.
    fn begin_period(&mut self) -> usize {
        if self.period_began.elapsed() < PERIOD {
            return 0;
        }
        self.period_began = Instant::now();
        std::mem::take(&mut self.lines).saturating_sub(MAX_LINES)
    }

    /// Counts a line; returns whether it may be logged.
    fn count_line(&mut self) -> bool {
        self.lines += 1;
        self.lines <= MAX_LINES
    }
}

#[cfg(test)]
mod tests;
