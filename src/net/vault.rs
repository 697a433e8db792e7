//! Calls below through the vault: text lines.
//!
//! One connection can carry many calls, but a spoilt reply, one that never comes or a reset makes it of no use to
//! all of them. So each call has a connection to itself, and the next one may take it over once it was answered.

use std::collections::HashMap;
use std::io::Write;
use std::net::Shutdown;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tracing::debug;

use super::front::is_timeout;
use super::lines::{Buffer, Lines};
use super::stream::Conn;
use super::{spawn, Hub};
use crate::core::{Bytes, End, Handle, Input};

/// An attempt to connect is given up after this long.
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);
/// A vault that reads nothing for this long is taken to be gone.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// A connection is taken over within this time. A vault that forgets idle ones resets them at the next call.
const IDLE: Duration = Duration::from_millis(500);
/// Connections that wait to be taken over, at most and as a part of all calls that may be out.
const MOST_IDLE: (usize, usize) = (16, 4);
/// The longest reply.
const MOST_REPLY: usize = 16 << 10;

/// What the reducer wants of the vault.
pub enum Order {
    /// Make a call.
    Ask {
        /// The request it is for.
        handle: Handle,
        /// Which of the request's calls.
        attempt: u32,
        /// It may have had its effect if its connection breaks, and must not be made again then.
        once: bool,
        /// How long it is waited for.
        patience: Duration,
        /// Its body.
        body: Bytes,
    },
    /// Give up a request's call.
    Unask {
        /// The request.
        handle: Handle,
    },
    /// The address may have changed.
    Relink,
}

/// Connections, and the calls that are out.
#[derive(Default)]
struct Pool {
    /// For each request its call, and the connection that it has once there is one.
    out: HashMap<Handle, (u32, Option<Conn>)>,
    /// Connections without a call, since when; the last one was in use last.
    idle: Vec<(Conn, Instant)>,
    /// Changes with the address: a connection to an old one is not taken over.
    epoch: u64,
}

/// Where calls go.
pub struct Link {
    hub: Arc<Hub>,
    pool: Arc<Mutex<Pool>>,
}

fn lock(pool: &Mutex<Pool>) -> MutexGuard<'_, Pool> {
    pool.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Link {
    /// Nothing is connected until there is a call; without an address none can be made, which each is told.
    pub(super) fn start(hub: &Arc<Hub>) -> Self {
        Self { hub: hub.clone(), pool: Arc::default() }
    }

    /// Carries out an order; never waits.
    pub fn send(&self, order: Order) {
        match order {
            Order::Ask { handle, attempt, once, patience, body } => {
                let mut pool = lock(&self.pool);
                let room = pool.out.len() < self.hub.most_calls();
                if room {
                    if let Some((_, Some(conn))) = pool.out.insert(handle, (attempt, None)) {
                        conn.shutdown(Shutdown::Both);
                    }
                }
                drop(pool);
                let (hub, pool) = (self.hub.clone(), self.pool.clone());
                spawn(move || {
                    // A connection with a past may bring a late copy of this request's last reply, or be forgotten.
                    let fresh = once || attempt > 1;
                    let (end, reply) = match room {
                        true => call(&hub, &pool, handle, attempt, fresh, patience, &body),
                        false => (End::Refused, None),
                    };
                    hub.push(Input::CallEnded { handle, attempt, end, reply });
                });
            }
            Order::Unask { handle } => {
                // Closing a connection gives up the call on it.
                if let Some((_, Some(conn))) = lock(&self.pool).out.remove(&handle) {
                    conn.shutdown(Shutdown::Both);
                }
            }
            Order::Relink => {
                // What is out on old connections may end there.
                let mut pool = lock(&self.pool);
                pool.epoch += 1;
                pool.idle.clear();
            }
        }
    }
}

/// A connection for a call: one that was answered on just now, or a new one.
fn connection(hub: &Hub, pool: &Mutex<Pool>, fresh: bool, patience: Duration) -> Option<(Conn, u64)> {
    let (epoch, taken) = {
        let mut pool = lock(pool);
        pool.idle.retain(|(_, since)| since.elapsed() < IDLE);
        let usable = |at: usize, pool: &Pool| pool.idle[at].0.is_quiet();
        let at = (0..pool.idle.len()).rev().find(|at| !fresh && usable(*at, &pool));
        (pool.epoch, at.map(|at| pool.idle.remove(at).0))
    };
    let conn = match (taken, hub.links().vault) {
        (Some(conn), _) => conn,
        (None, Some(address)) => Conn::connect(address, CONNECT_PATIENCE.min(patience), WRITE_PATIENCE)
            .map_err(|e| debug!("no connection to the vault: {e}"))
            .ok()?,
        (None, None) => return None,
    };
    Some((conn, epoch))
}

/// Makes one call and tells how it ended. Only what broke before the call was written is known not to have run.
fn call(
    hub: &Hub,
    pool: &Mutex<Pool>,
    handle: Handle,
    attempt: u32,
    fresh: bool,
    patience: Duration,
    body: &[u8],
) -> (End, Option<Bytes>) {
    let until = Instant::now() + patience;
    let Some((mut conn, epoch)) = connection(hub, pool, fresh, patience) else {
        lock(pool).out.remove(&handle);
        return (End::Refused, None);
    };
    match lock(pool).out.get_mut(&handle).filter(|(current, _)| *current == attempt) {
        Some((_, held)) => *held = Some(conn.clone()),
        // Given up before it was made.
        None => return (End::Cancelled, None),
    }
    let mut link = Buffer::new(conn.clone());
    let ended = match conn.write_all(&encode_ask(handle, patience, body)) {
        Ok(()) => read_reply(&mut link, handle, until),
        Err(e) => Err(if is_timeout(&e) { End::Stalled } else { End::Broken }),
    };
    let mut pool = lock(pool);
    if pool.out.get(&handle).is_some_and(|(current, _)| *current == attempt) {
        pool.out.remove(&handle);
    }
    // A connection that brought more than its own reply, or none that can be read, is not used again.
    let room = pool.idle.len() < MOST_IDLE.0.min(hub.most_calls() / MOST_IDLE.1);
    if ended.is_ok() && link.lines.is_empty() && pool.epoch == epoch && room {
        pool.idle.push((conn, Instant::now()));
    } else {
        conn.shutdown(Shutdown::Both);
    }
    ended.unwrap_or_else(|end| (end, None))
}

/// Reads up to the reply of this request; replies under other ids are nobody's.
fn read_reply(link: &mut Buffer, handle: Handle, until: Instant) -> Result<(End, Option<Bytes>), End> {
    link.until(until);
    let mut replies = Replies::default();
    loop {
        match replies.next_reply(&mut link.lines)? {
            Some((whose, end, reply)) if whose == handle => return Ok((end, reply)),
            Some(_) => {}
            None => link.more()?,
        }
    }
}

/// Reads replies off lines, and keeps the head of one whose body is not there yet.
#[derive(Debug, Default)]
pub struct Replies {
    /// Whose body is awaited, and its length.
    head: Option<(Handle, usize)>,
    /// That body, whose line is not ended yet.
    body: Option<Bytes>,
}

impl Replies {
    /// The next reply: whose it is, how the call ended, and the body where it went well; none while it is not there
    /// whole.
    pub fn next_reply(&mut self, lines: &mut Lines) -> Result<Option<(Handle, End, Option<Bytes>)>, End> {
        if self.head.is_none() {
            let Some(line) = lines.line()? else { return Ok(None) };
            match parse_reply(&line)? {
                (whose, _, Some(len)) => self.head = Some((whose, len)),
                (whose, end, None) => return Ok(Some((whose, end, None))),
            }
        }
        let Some((whose, len)) = self.head else { return Ok(None) };
        if self.body.is_none() {
            self.body = lines.exact(len).map(Bytes::from);
        }
        if self.body.is_none() {
            return Ok(None);
        }
        match lines.line()? {
            None => Ok(None),
            Some(line) if line.is_empty() => {
                self.head = None;
                Ok(Some((whose, End::Complete, self.body.take())))
            }
            Some(_) => Err(End::Malformed),
        }
    }
}

/// A call in bytes.
pub fn encode_ask(handle: Handle, patience: Duration, body: &[u8]) -> Vec<u8> {
    let ms = patience.as_millis().max(1);
    [format!("ask {handle} {ms} {}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat()
}

/// Reads the line of a reply: the request, how the call ended, and the length of what follows.
pub fn parse_reply(line: &str) -> Result<(Handle, End, Option<usize>), End> {
    let mut words = line.split(' ');
    let handle = words.next().and_then(|h| h.parse().ok()).ok_or(End::Malformed)?;
    let end = match words.next() {
        Some("yes") => End::Complete,
        Some("notnow") => End::NotNow,
        Some("failed") => End::Failed,
        Some("overdue") => End::Overdue,
        Some("pointless") => End::Pointless,
        _ => return Err(End::Malformed),
    };
    let digits = |len: &&str| len.bytes().all(|b| b.is_ascii_digit());
    let number = |len: &str| Some(len).filter(digits).and_then(|len| len.parse().ok()).ok_or(End::Malformed);
    let len: Option<usize> = words.next().map(number).transpose()?;
    if words.next().is_some()
        || len.is_some() != (end == End::Complete)
        || len.is_some_and(|len| len > MOST_REPLY)
    {
        return Err(End::Malformed);
    }
    Ok((handle, end, len))
}
