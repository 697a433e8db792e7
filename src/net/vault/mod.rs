//! Calls to the dependency through the vault, a local proxy, as text lines over TCP.
//!
//! The vault's protocol allows many calls on one connection. But a malformed reply, a reply that never arrives or a
//! reset makes the connection useless for all calls on it. So each call has a connection to itself, which the next call
//! may reuse once the reply has been read.
//!
//! If the fleet routes calls, a call is routed immediately before it is written, and the fence (turn and version of the
//! routes) that it is sent under is recorded first. Whatever becomes of the call, a later call of the same request is
//! not sent under another version.

mod wire;

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tracing::debug;

use super::error::{Excerpt, ReplyError};
use super::frontend::is_timeout;
use super::lines::LinkReader;
use super::request_log::RequestEvent;
use super::stated_time::StatedTime;
use super::stream::Conn;
use super::{spawn, Hub};
use crate::core::{AskId, Bytes, CallReply, End, Handle, Input, ReplyDigest};
use crate::fleet::routes::{Fence, MAX_CLOCK_BOUND};
use crate::fleet::routing::{Call, CallLimits, RouteDecision};

pub use wire::{check_bytes_behind, encode_ask, parse_reply_head, Following, Reply, ReplyHead, ReplyParser};

/// Timeout of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How long the rest of a reply is awaited that begins behind another one.
const MAX_FOLLOWING_WAIT: Duration = Duration::from_millis(20);
/// If the vault reads nothing for this long, it counts as gone.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// An idle connection may be reused for this long. A vault that drops idle connections resets them at the next call.
const IDLE_LIFETIME: Duration = Duration::from_millis(500);
/// Limits of the idle connections that are kept: an absolute number, and the divisor of the maximum number of calls.
const MAX_IDLE: (usize, usize) = (16, 4);
/// How long a call waits at most until a switch of the routes has passed: no member accepts a wider uncertainty of its
/// clock.
const MAX_SWITCH_WAIT: Duration = MAX_CLOCK_BOUND.saturating_mul(4);
/// The shortest sleep.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// How often a call is routed at most: more than one switch while it connects means that something is wrong.
const MAX_ROUTINGS: usize = 4;
/// How long the fence of a call is kept after its end: by then the reducer has processed the end.
const FENCE_RETENTION: Duration = Duration::from_secs(5);

/// An order of the reducer to the vault link.
pub enum Order {
    /// Make a call.
    Ask {
        /// The request, its call and the attempt.
        ask: AskId,
        /// The call needs a connection that was not used before.
        fresh: bool,
        /// The replies to earlier calls of the request: a copy of one of them is ignored.
        earlier_replies: Arc<[ReplyDigest]>,
        /// How long the reply is awaited.
        timeout: Duration,
        /// The body of the call.
        body: Bytes,
        /// The properties that the call's route depends on, if the fleet routes calls.
        route: Option<Box<Call>>,
    },
    /// Cancel a request's call.
    Unask {
        /// The request that the call belongs to.
        handle: Handle,
        /// The number of the attempt.
        attempt: u32,
    },
    /// The configuration was read again: the vault's address may have changed.
    Relink,
}

/// Connections to the vault, and the calls in progress.
#[derive(Default)]
struct Pool {
    /// The call in progress of each request, and its connection once it has one.
    in_progress: HashMap<Handle, (u32, Option<Conn>)>,
    /// Idle connections. The last one was used most recently.
    idle: Vec<IdleConnection>,
    /// The fences of calls that may have been executed.
    sent_fences: HashMap<Handle, SentFence>,
    /// Changes when the configuration is read again: a connection of an earlier epoch is not reused.
    epoch: u64,
}

/// A connection to the dependency.
#[derive(Clone)]
struct Connection {
    conn: Conn,
    /// Its number, for the log.
    number: u64,
    address: SocketAddr,
}

/// A connection that no call uses.
struct IdleConnection {
    connection: Connection,
    since: Instant,
}

/// The fence that a call was sent under.
#[derive(Clone, Copy, Debug)]
struct SentFence {
    fence: Fence,
    attempt: u32,
    expires: Instant,
}

impl Pool {
    /// Records the fence that a call is sent under which ends by `deadline`. Returns the request's previous entry.
    fn record_fence(
        &mut self,
        handle: Handle,
        attempt: u32,
        fence: Fence,
        deadline: Instant,
    ) -> Option<SentFence> {
        let now = Instant::now();
        if self.sent_fences.len() >= self.sent_fences.capacity() {
            self.sent_fences.retain(|_, sent| sent.expires > now);
        }
        self.sent_fences.insert(handle, SentFence { fence, attempt, expires: deadline + FENCE_RETENTION })
    }

    /// Restores the request's previous entry after a call that is proven not to have run.
    fn restore_fence(&mut self, handle: Handle, attempt: u32, previous: Option<SentFence>) {
        if self.sent_fences.get(&handle).is_some_and(|sent| sent.attempt == attempt) {
            match previous {
                Some(previous) => self.sent_fences.insert(handle, previous),
                None => self.sent_fences.remove(&handle),
            };
        }
    }

    /// Removes a call that has ended. Returns false if it was cancelled before.
    fn finish(&mut self, handle: Handle, attempt: u32) -> bool {
        let was_in_progress = self.is_in_progress(handle, attempt);
        if was_in_progress {
            self.in_progress.remove(&handle);
        }
        was_in_progress
    }

    /// Whether the call is in progress and was not cancelled.
    fn is_in_progress(&self, handle: Handle, attempt: u32) -> bool {
        self.in_progress.get(&handle).is_some_and(|(current, _)| *current == attempt)
    }
}

/// Makes and cancels calls to the dependency, each in a coroutine of its own.
pub struct Link {
    hub: Arc<Hub>,
    pool: Arc<Mutex<Pool>>,
}

fn lock(pool: &Mutex<Pool>) -> MutexGuard<'_, Pool> {
    pool.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// Creates the link. It connects when there is a call; without a configured address each call is refused.
    pub(super) fn start(hub: &Arc<Hub>) -> Self {
        Self { hub: hub.clone(), pool: Arc::default() }
    }

    /// Carries out an order without waiting.
    pub fn send(&self, order: Order) {
        match order {
            Order::Ask { ask: id, fresh, earlier_replies, timeout, body, route } => {
                let (handle, attempt) = (id.handle, id.attempt);
                let mut pool = lock(&self.pool);
                let has_room = pool.in_progress.len() < self.hub.max_calls();
                if has_room {
                    if let Some((_, Some(conn))) = pool.in_progress.insert(handle, (attempt, None)) {
                        conn.shutdown(Shutdown::Both);
                    }
                }
                drop(pool);
                let started = Instant::now();
                let ask = Ask { id, fresh, earlier_replies, timeout, body, route, started };
                let (hub, pool) = (self.hub.clone(), self.pool.clone());
                spawn(move || {
                    let result = match has_room {
                        true => CallTask { hub: &hub, pool: &pool }.call(ask),
                        false => CallResult::unwritten(End::Refused),
                    };
                    result.log(&hub, id, started);
                    let CallResult { end, reply, fence, .. } = result;
                    hub.push(Input::CallEnded { handle, attempt, end, reply, fence });
                });
            }
            Order::Unask { handle, attempt } => {
                let mut pool = lock(&self.pool);
                if !pool.is_in_progress(handle, attempt) {
                    return;
                }
                // Closing the connection cancels the call on it.
                if let Some((_, Some(conn))) = pool.in_progress.remove(&handle) {
                    conn.shutdown(Shutdown::Both);
                }
            }
            Order::Relink => {
                // Calls in progress on old connections may still complete there.
                let mut pool = lock(&self.pool);
                pool.epoch += 1;
                pool.idle.clear();
            }
        }
    }
}

/// A call to be made.
struct Ask {
    id: AskId,
    fresh: bool,
    earlier_replies: Arc<[ReplyDigest]>,
    /// How long the call may take, counted from `started`.
    timeout: Duration,
    started: Instant,
    body: Bytes,
    route: Option<Box<Call>>,
}

impl Ask {
    fn deadline(&self) -> Instant {
        self.started + self.timeout
    }

    fn time_left(&self) -> Duration {
        self.deadline().saturating_duration_since(Instant::now())
    }

    /// Whether an earlier call of the request got this reply.
    fn is_earlier_reply(&self, reply: Option<&[u8]>) -> bool {
        reply.is_some_and(|reply| self.earlier_replies.contains(&ReplyDigest::of(reply)))
    }
}

/// How a call ended.
struct CallResult {
    end: End,
    reply: Option<CallReply>,
    /// The fence that it was sent under. `None` if the call is known not to have run, because the connection broke
    /// before it was written or because it was returned unexecuted.
    fence: Option<Fence>,
    /// The number of the connection that it was written on, if it was written.
    connection: Option<u64>,
    /// It was cancelled before it ended.
    is_cancelled: bool,
    /// Why its reply is malformed, if it is.
    error: Option<ReplyError>,
}

impl CallResult {
    /// A call that ended before it was written.
    fn unwritten(end: End) -> Self {
        let is_cancelled = end == End::Cancelled;
        Self { end, reply: None, fence: None, connection: None, is_cancelled, error: None }
    }

    /// Logs an end without a reply for the run. A reply is logged when it is written.
    fn log(&self, hub: &Hub, ask: AskId, started: Instant) {
        if self.reply.is_some() && !self.is_cancelled {
            return;
        }
        let (connection, end, is_cancelled) = (self.connection, self.end, self.is_cancelled);
        let elapsed = started.elapsed();
        if let Some(error) = self.error {
            hub.request_log.record(RequestEvent::Malformed { ask, error });
        }
        hub.request_log.record(RequestEvent::Ended { ask, connection, end, is_cancelled, elapsed });
    }
}

/// What was read for a call.
struct CallReading {
    end: End,
    body: Option<Bytes>,
    /// Nothing but the reply arrived on the connection.
    is_alone: bool,
}

/// Why no reply was read for a call.
enum CallError {
    /// The connection or the time ended.
    Ended(End),
    /// What was read is not a valid reply. The call may have run.
    Malformed(ReplyError),
}

impl CallError {
    fn end(&self) -> End {
        match self {
            Self::Ended(end) => *end,
            Self::Malformed(_) => End::Malformed,
        }
    }

    fn reply_error(&self) -> Option<ReplyError> {
        match self {
            Self::Ended(_) => None,
            Self::Malformed(error) => Some(*error),
        }
    }
}

impl From<End> for CallError {
    fn from(end: End) -> Self {
        Self::Ended(end)
    }
}

impl From<ReplyError> for CallError {
    fn from(error: ReplyError) -> Self {
        Self::Malformed(error)
    }
}

/// The route of a call at this moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Target {
    /// `None` if the fleet does not route calls.
    fence: Option<Fence>,
    /// `None` for the vault that the configuration names.
    address: Option<SocketAddr>,
    /// `None` for the decision module's own limits.
    limits: Option<CallLimits>,
}

/// A connected call that is ready to be written.
struct Ready {
    connection: Connection,
    epoch: u64,
    fence: Option<Fence>,
    /// The fence of an earlier call of the request, if known here.
    previous: Option<SentFence>,
}

/// Checks what follows a reply on its connection, as far as it has arrived: a stated length that is too low leaves the
/// end of the body there. The beginning of another reply is read on for a moment, as the end of a body can look like one.
fn check_following(link: &mut LinkReader, ask_deadline: Instant) -> Result<(), CallError> {
    link.read_arrived();
    let deadline = ask_deadline.min(Instant::now() + MAX_FOLLOWING_WAIT);
    while check_bytes_behind(link.lines.rest())? == Following::Incomplete {
        link.set_deadline(deadline);
        if link.read_more().is_err() {
            let (len, found) = (link.lines.unread(), Excerpt::of(link.lines.rest()));
            return Err(ReplyError::BytesBehind { len, found }.into());
        }
    }
    Ok(())
}

/// Makes one call.
struct CallTask<'a> {
    hub: &'a Hub,
    pool: &'a Mutex<Pool>,
}

impl CallTask<'_> {
    /// Makes the call.
    fn call(&self, mut ask: Ask) -> CallResult {
        let AskId { handle, attempt, .. } = ask.id;
        let Ready { mut connection, epoch, fence, previous } = match self.connect(&mut ask) {
            Ok(ready) => ready,
            Err(end) => {
                lock(self.pool).finish(handle, attempt);
                return CallResult::unwritten(end);
            }
        };
        let mut link = LinkReader::new(connection.conn.clone(), ReplyParser::new_buffer());
        // A routed call may have waited for a switch to pass: it is sent with the time that is left.
        let stated = StatedTime::begin(if fence.is_some() { ask.time_left() } else { ask.timeout });
        let deadline = ask.deadline().min(stated.ends_at());
        link.set_deadline(deadline);
        let asked =
            RequestEvent::Asked { ask: ask.id, connection: connection.number, stated: stated.duration() };
        self.hub.request_log.record(asked);
        let result = match connection.conn.write_all(&encode_ask(handle, stated.duration(), &ask.body, fence))
        {
            Ok(()) => self.read_reply(&mut link, &ask, connection.number, fence.is_some()),
            Err(e) => Err(if is_timeout(&e) { End::Stalled } else { End::Broken }.into()),
        };
        let mut pool = lock(self.pool);
        let is_cancelled = !pool.finish(handle, attempt);
        // A connection is not reused if anything but the reply arrived on it, or if the reply could not be read.
        let has_room = pool.idle.len() < MAX_IDLE.0.min(self.hub.max_calls() / MAX_IDLE.1);
        let is_clean = result.as_ref().is_ok_and(|reading| reading.is_alone);
        let number = connection.number;
        if is_clean && pool.epoch == epoch && has_room {
            pool.idle.push(IdleConnection { connection, since: Instant::now() });
        } else {
            connection.conn.shutdown(Shutdown::Both);
        }
        let error = result.as_ref().err().and_then(CallError::reply_error);
        let (end, reply) =
            result.map_or_else(|error| (error.end(), None), |reading| (reading.end, reading.body));
        let may_have_run = !end.outcome().never_ran();
        if !may_have_run {
            pool.restore_fence(handle, attempt, previous);
        }
        drop(pool);
        if let Some(routing) = self.hub.routing.as_ref().filter(|_| end == End::Stale) {
            routing.count_stale();
        }
        let reply = reply.map(|body| CallReply::read(ask.id, number, body));
        if let Some(CallReply { body, origin }) = &reply {
            let (origin, len) = (*origin, body.len());
            let left = deadline.saturating_duration_since(Instant::now());
            self.hub.request_log.record(RequestEvent::Replied { origin, len, left });
        }
        CallResult {
            end,
            reply,
            fence: fence.filter(|_| may_have_run),
            connection: Some(number),
            is_cancelled,
            error,
        }
    }

    /// Routes the call and connects to its target. The call is routed again once the connection exists, immediately
    /// before it is written: connecting takes time, during which the routes may switch or a lease may end.
    fn connect(&self, ask: &mut Ask) -> Result<Ready, End> {
        let AskId { handle, attempt, .. } = ask.id;
        let mut wait_budget = MAX_SWITCH_WAIT;
        let mut target = self.route_call(ask, &mut wait_budget)?;
        for _ in 0..MAX_ROUTINGS {
            let address = target.address.or_else(|| self.hub.links().vault).ok_or(End::Refused)?;
            let connected = self.take_or_connect(address, ask.fresh, ask.time_left());
            let (connection, epoch) = connected.ok_or(End::Refused)?;
            let conn = &connection.conn;
            match lock(self.pool).in_progress.get_mut(&handle).filter(|(current, _)| *current == attempt) {
                Some((_, slot)) => *slot = Some(conn.clone()),
                // The call was cancelled before it was made.
                None => return Err(End::Cancelled),
            }
            let Some(fence) = target.fence else {
                if !conn.is_open_and_idle() {
                    self.discard(ask.id, &connection);
                    continue;
                }
                return Ok(Ready { connection, epoch, fence: None, previous: None });
            };
            let now = self.route_call(ask, &mut wait_budget)?;
            if !conn.is_open_and_idle() {
                self.discard(ask.id, &connection);
                target = now;
                continue;
            }
            // Any address of the same version is acceptable: routing again may have chosen another one.
            if now.fence == target.fence {
                let mut pool = lock(self.pool);
                // The fence is recorded before the call is sent, unless the call was cancelled in the meantime: then a
                // later call of the same request may be in progress.
                if !pool.is_in_progress(handle, attempt) {
                    return Err(End::Cancelled);
                }
                let previous = pool.record_fence(handle, attempt, fence, ask.deadline());
                drop(pool);
                // The reducer receives the limits of this version before the end of the call, because they decide what
                // happens after that.
                if ask.route.as_ref().is_some_and(|call| call.limits != now.limits) {
                    self.hub.push(Input::CallRouteChanged { handle, attempt, limits: now.limits });
                }
                return Ok(Ready { connection, epoch, fence: target.fence, previous });
            }
            conn.shutdown(Shutdown::Both);
            target = now;
        }
        // A call that is not routed gets here only if every connection was unusable.
        Err(if target.fence.is_some() { End::Barred } else { End::Refused })
    }

    /// Closes a connection that has ended, or on which bytes arrived before the call was written: these cannot be its
    /// reply.
    fn discard(&self, ask: AskId, connection: &Connection) {
        if connection.conn.has_unread() {
            self.hub.request_log.record(RequestEvent::EarlyBytes { ask, connection: connection.number });
            self.hub.push(Input::StrayReply);
        }
        connection.conn.shutdown(Shutdown::Both);
    }

    /// Reads until the reply to the call arrives or the link's deadline passes. Replies to other requests and copies of
    /// earlier replies are skipped and counted as stray.
    fn read_reply(
        &self,
        link: &mut LinkReader,
        ask: &Ask,
        connection: u64,
        is_routed: bool,
    ) -> Result<CallReading, CallError> {
        let mut parser = ReplyParser::default();
        let mut is_alone = true;
        loop {
            match parser.next_reply(&mut link.lines)? {
                Some(Reply { handle, end, body })
                    if handle == ask.id.handle && !ask.is_earlier_reply(body.as_deref()) =>
                {
                    // Only a service whose calls are routed may reply `stale`.
                    if end == End::Stale && !is_routed {
                        let found = Excerpt::of(end.as_str().as_bytes());
                        return Err(ReplyError::Unexpected { at: 0, expected: "known word", found }.into());
                    }
                    check_following(link, ask.deadline())?;
                    return Ok(CallReading { end, body, is_alone: is_alone && link.lines.is_empty() });
                }
                Some(Reply { handle, end, body }) => {
                    is_alone = false;
                    let digest = body.map(|body| ReplyDigest::of(&body));
                    let ignored = RequestEvent::Ignored { ask: ask.id, connection, handle, end, digest };
                    self.hub.request_log.record(ignored);
                    self.hub.push(Input::StrayReply);
                }
                None => link.read_more()?,
            }
        }
    }

    /// Takes an idle connection to an address out of the pool, or opens a new one. Returns it with the pool's epoch.
    fn take_or_connect(
        &self,
        address: SocketAddr,
        fresh: bool,
        timeout: Duration,
    ) -> Option<(Connection, u64)> {
        let (epoch, taken) = {
            let mut pool = lock(self.pool);
            pool.idle.retain(|idle| idle.since.elapsed() < IDLE_LIFETIME);
            let is_usable = |idle: &IdleConnection| {
                idle.connection.address == address && idle.connection.conn.is_open_and_idle()
            };
            let index = pool.idle.iter().rposition(|idle| !fresh && is_usable(idle));
            (pool.epoch, index.map(|index| pool.idle.remove(index).connection))
        };
        if let Some(connection) = taken {
            return Some((connection, epoch));
        }
        let conn = Conn::connect(address, CONNECT_TIMEOUT.min(timeout), WRITE_TIMEOUT)
            .map_err(|e| debug!("cannot connect to the dependency: {e}"))
            .ok()?;
        Some((Connection { conn, number: self.hub.new_call_connection(), address }, epoch))
    }

    /// Routes the call. During a switch of the routes it waits, for no longer than `wait_budget` over all routings.
    fn route_call(&self, ask: &mut Ask, wait_budget: &mut Duration) -> Result<Target, End> {
        let Some(routing) = &self.hub.routing else { return Ok(Target::default()) };
        // Without these properties nothing is known about earlier calls of the request.
        let Some(call) = &mut ask.route else { return Err(End::Barred) };
        call.last_fence =
            lock(self.pool).sent_fences.get(&ask.id.handle).map(|sent| sent.fence).or(call.last_fence);
        loop {
            match routing.route(call) {
                RouteDecision::Allowed { fence, address, timeout, limits } => {
                    ask.timeout = timeout.map_or(ask.timeout, |limit| ask.timeout.min(limit));
                    return Ok(Target { fence: Some(fence), address, limits });
                }
                RouteDecision::Wait(until) => {
                    let left = (ask.started + ask.timeout)
                        .saturating_duration_since(Instant::now())
                        .min(*wait_budget);
                    if left.is_zero() {
                        return Err(End::Barred);
                    }
                    let wait = until.saturating_duration_since(Instant::now()).max(MIN_SLEEP).min(left);
                    crate::net::spawn::sleep(wait);
                    *wait_budget = wait_budget.saturating_sub(wait);
                }
                RouteDecision::Ended(_) => return Err(End::Stale),
                RouteDecision::Barred => return Err(End::Barred),
            }
        }
    }
}

#[cfg(test)]
mod tests;
