//! Calls below through the vault: text lines.
//!
//! One connection can carry many calls, but a spoilt reply, one that never comes or a reset makes it of no use to
//! all of them. So each call has a connection to itself, and the next one may take it over once it was answered.
//!
//! Where the fleet routes calls, the route is asked for right before a call is written, and what it goes out under
//! is noted before that: whatever becomes of it, a later call of the same request does not go out under another.

mod wire;

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tracing::debug;

use super::frontend::is_timeout;
use super::lines::LinkReader;
use super::stream::Conn;
use super::{spawn, Hub};
use crate::core::{Bytes, End, Handle, Input, ReplyDigest};
use crate::fleet::routes::{Fence, MOST_BOUND};
use crate::fleet::routing::{Allowed, Call, Routed};

pub use wire::{encode_ask, parse_reply, ReplyParser};

/// An attempt to connect is given up after this long.
const CONNECT_PATIENCE: Duration = Duration::from_millis(500);
/// A vault that reads nothing for this long is taken to be gone.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// A connection is taken over within this time. A vault that forgets idle ones resets them at the next call.
const IDLE: Duration = Duration::from_millis(500);
/// Connections that wait to be taken over, at most and as a part of all calls that may be out.
const MOST_IDLE: (usize, usize) = (16, 4);
/// A call waits this long at most for the moment of a switch to pass: no member takes a wider one.
const MOST_WAIT: Duration = MOST_BOUND.saturating_mul(4);
/// The shortest sleep.
const LEAST_WAIT: Duration = Duration::from_millis(1);
/// Times that a call is routed: more than one switch while it connects means that something is wrong.
const MOST_ROUTES: usize = 4;
/// What a call went out under is kept this long after it ended: the reducer has read of its end by then.
const KEPT: Duration = Duration::from_secs(5);

/// What the reducer wants of the vault.
pub enum Order {
    /// Make a call.
    Ask {
        /// The request it is for.
        handle: Handle,
        /// Which of the request's calls.
        attempt: u32,
        /// It needs a connection that carried nothing before.
        fresh: bool,
        /// The replies to earlier calls of the request: a copy of one is passed over.
        earlier: Arc<[ReplyDigest]>,
        /// How long it is waited for.
        patience: Duration,
        /// Its body.
        body: Bytes,
        /// What its route depends on, where the fleet routes calls.
        route: Option<Box<Call>>,
    },
    /// Give up a request's call.
    Unask {
        /// The request.
        handle: Handle,
        /// Which of the request's calls.
        attempt: u32,
    },
    /// The address may have changed.
    Relink,
}

/// Connections, and the calls that are out.
#[derive(Default)]
struct Pool {
    /// For each request its call, and the connection that it has once there is one.
    out: HashMap<Handle, (u32, Option<Conn>)>,
    /// Connections without a call, to where and since when; the last one was in use last.
    idle: Vec<(Conn, SocketAddr, Instant)>,
    /// What calls went out under that may have had their effect.
    tried: HashMap<Handle, Tried>,
    /// Changes with the configuration: a connection to an old address is not taken over.
    epoch: u64,
}

/// What a call went out under.
#[derive(Clone, Copy, Debug)]
struct Tried {
    fence: Fence,
    attempt: u32,
    /// Until when this is kept.
    until: Instant,
}

impl Pool {
    /// Notes what a call goes out under that ends by `until`, and returns what stood there.
    fn goes_out(&mut self, handle: Handle, attempt: u32, fence: Fence, until: Instant) -> Option<Tried> {
        let now = Instant::now();
        if self.tried.len() >= self.tried.capacity() {
            self.tried.retain(|_, tried| tried.until > now);
        }
        self.tried.insert(handle, Tried { fence, attempt, until: until + KEPT })
    }

    /// The call is proven not to have run: what stood there before holds again.
    fn never_ran(&mut self, handle: Handle, attempt: u32, before: Option<Tried>) {
        if self.tried.get(&handle).is_some_and(|tried| tried.attempt == attempt) {
            match before {
                Some(before) => self.tried.insert(handle, before),
                None => self.tried.remove(&handle),
            };
        }
    }

    /// The call was not given up before it was made.
    fn is_out(&self, handle: Handle, attempt: u32) -> bool {
        self.out.get(&handle).is_some_and(|(current, _)| *current == attempt)
    }
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
            Order::Ask { handle, attempt, fresh, earlier, patience, body, route } => {
                let mut pool = lock(&self.pool);
                let room = pool.out.len() < self.hub.max_calls();
                if room {
                    if let Some((_, Some(conn))) = pool.out.insert(handle, (attempt, None)) {
                        conn.shutdown(Shutdown::Both);
                    }
                }
                drop(pool);
                let began = Instant::now();
                let ask = Ask { handle, attempt, fresh, earlier, patience, body, route, began };
                let (hub, pool) = (self.hub.clone(), self.pool.clone());
                spawn(move || {
                    let (end, reply, fence) = match room {
                        true => Maker { hub: &hub, pool: &pool }.call(ask),
                        false => (End::Refused, None, None),
                    };
                    hub.push(Input::CallEnded { handle, attempt, end, reply, fence });
                });
            }
            Order::Unask { handle, attempt } => {
                let mut pool = lock(&self.pool);
                if !pool.is_out(handle, attempt) {
                    return;
                }
                // Closing a connection gives up the call on it.
                if let Some((_, Some(conn))) = pool.out.remove(&handle) {
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

/// A call that is to be made.
struct Ask {
    handle: Handle,
    attempt: u32,
    fresh: bool,
    earlier: Arc<[ReplyDigest]>,
    /// How long it may take from when it was ordered.
    patience: Duration,
    began: Instant,
    body: Bytes,
    route: Option<Box<Call>>,
}

impl Ask {
    fn until(&self) -> Instant {
        self.began + self.patience
    }

    fn left(&self) -> Duration {
        self.until().saturating_duration_since(Instant::now())
    }

    /// An earlier call of the request got this reply.
    fn has_read(&self, reply: Option<&[u8]>) -> bool {
        reply.is_some_and(|reply| self.earlier.contains(&ReplyDigest::of(reply)))
    }
}

/// The reply to a call.
struct Reply {
    end: End,
    body: Option<Bytes>,
    /// Its connection brought other replies before.
    followed_strays: bool,
}

/// Where a call goes now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Leg {
    /// None where the fleet routes no calls.
    fence: Option<Fence>,
    /// None for the configuration's own service.
    address: Option<SocketAddr>,
    /// None for the module's own bounds.
    allowed: Option<Allowed>,
}

/// A call that is ready to be written.
struct Ready {
    conn: Conn,
    address: SocketAddr,
    epoch: u64,
    fence: Option<Fence>,
    /// What an earlier call of the request went out under, as far as it is known here.
    before: Option<Tried>,
}

/// Makes one call.
struct Maker<'a> {
    hub: &'a Hub,
    pool: &'a Mutex<Pool>,
}

impl Maker<'_> {
    /// Makes the call, and tells how it ended and what it went out under, unless it is known not to have run: what broke
    /// before it was written, and what was sent back unseen.
    fn call(&self, mut ask: Ask) -> (End, Option<Bytes>, Option<Fence>) {
        let Ready { mut conn, address, epoch, fence, before } = match self.connect(&mut ask) {
            Ok(ready) => ready,
            Err(end) => {
                let mut pool = lock(self.pool);
                if pool.is_out(ask.handle, ask.attempt) {
                    pool.out.remove(&ask.handle);
                }
                return (end, None, None);
            }
        };
        let mut link = LinkReader::new(conn.clone());
        // A routed call may have waited for the moment of a switch, and is told what is left.
        let patience = if fence.is_some() { ask.left() } else { ask.patience };
        let ended = match conn.write_all(&encode_ask(ask.handle, patience, &ask.body, fence)) {
            Ok(()) => match self.read_reply(&mut link, &ask) {
                // A word that only services know whose calls are routed.
                Ok(Reply { end: End::Stale, .. }) if fence.is_none() => Err(End::Malformed),
                ended => ended,
            },
            Err(e) => Err(if is_timeout(&e) { End::Stalled } else { End::Broken }),
        };
        let mut pool = lock(self.pool);
        if pool.is_out(ask.handle, ask.attempt) {
            pool.out.remove(&ask.handle);
        }
        // A connection that brought more than its own reply, or none that can be read, is not used again.
        let room = pool.idle.len() < MOST_IDLE.0.min(self.hub.max_calls() / MOST_IDLE.1);
        let is_clean = ended.as_ref().is_ok_and(|reply| !reply.followed_strays) && link.lines.is_empty();
        if is_clean && pool.epoch == epoch && room {
            pool.idle.push((conn, address, Instant::now()));
        } else {
            conn.shutdown(Shutdown::Both);
        }
        let (end, reply) = ended.map_or_else(|end| (end, None), |reply| (reply.end, reply.body));
        let may_have_run = !end.outcome().never_ran();
        if !may_have_run {
            pool.never_ran(ask.handle, ask.attempt, before);
        }
        drop(pool);
        if let Some(routing) = self.hub.routing.as_ref().filter(|_| end == End::Stale) {
            routing.stale();
        }
        (end, reply, fence.filter(|_| may_have_run))
    }

    /// Connects to where the call goes now. It is routed again once the connection is there, right before it is
    /// written: connecting takes time, and a switch or the end of a lease may fall into it.
    fn connect(&self, ask: &mut Ask) -> Result<Ready, End> {
        let mut waits = MOST_WAIT;
        let mut leg = self.leg(ask, &mut waits)?;
        for _ in 0..MOST_ROUTES {
            let address = leg.address.or_else(|| self.hub.links().vault).ok_or(End::Refused)?;
            let made = connection(self.pool, address, ask.fresh, ask.left());
            let (conn, epoch) = made.ok_or(End::Refused)?;
            match lock(self.pool).out.get_mut(&ask.handle).filter(|(current, _)| *current == ask.attempt) {
                Some((_, held)) => *held = Some(conn.clone()),
                // Given up before it was made.
                None => return Err(End::Cancelled),
            }
            let Some(fence) = leg.fence else {
                if !conn.is_open_and_idle() {
                    self.drop_spoilt(&conn);
                    continue;
                }
                return Ok(Ready { conn, address, epoch, fence: None, before: None });
            };
            let now = self.leg(ask, &mut waits)?;
            if !conn.is_open_and_idle() {
                self.drop_spoilt(&conn);
                leg = now;
                continue;
            }
            // Of one version any of its addresses will do: another look may have drawn another one.
            if now.fence == leg.fence {
                let mut pool = lock(self.pool);
                // What it goes out under is noted before it does, unless it was given up meanwhile: then a later
                // call of the same request may be under way.
                if !pool.is_out(ask.handle, ask.attempt) {
                    return Err(End::Cancelled);
                }
                let before = pool.goes_out(ask.handle, ask.attempt, fence, ask.until());
                drop(pool);
                // Ahead of its end, whoever tells of that: what comes next is decided by this version.
                if ask.route.as_ref().is_some_and(|call| call.allowed != now.allowed) {
                    let (handle, attempt, allowed) = (ask.handle, ask.attempt, now.allowed);
                    self.hub.push(Input::CallRouteChanged { handle, attempt, limits: allowed });
                }
                return Ok(Ready { conn, address, epoch, fence: leg.fence, before });
            }
            conn.shutdown(Shutdown::Both);
            leg = now;
        }
        // Of a call that is not routed, no connection could be had that was not spoilt.
        Err(if leg.fence.is_some() { End::Barred } else { End::Refused })
    }

    /// What comes before a call is written is no reply to it, and a connection that brings such, or has ended, is not used.
    fn drop_spoilt(&self, conn: &Conn) {
        if conn.has_unread() {
            self.hub.push(Input::StrayReply);
        }
        conn.shutdown(Shutdown::Both);
    }

    /// Reads up to the reply of a call: replies under other ids are nobody's, copies of earlier ones are not its own.
    fn read_reply(&self, link: &mut LinkReader, ask: &Ask) -> Result<Reply, End> {
        link.set_deadline(ask.until());
        let mut replies = ReplyParser::default();
        let mut followed_strays = false;
        loop {
            match replies.next_reply(&mut link.lines)? {
                Some((whose, end, body)) if whose == ask.handle && !ask.has_read(body.as_deref()) => {
                    return Ok(Reply { end, body, followed_strays });
                }
                Some(_) => {
                    followed_strays = true;
                    self.hub.push(Input::StrayReply);
                }
                None => link.read_more()?,
            }
        }
    }

    /// Where the call goes now. Inside a switch it waits, no longer than `waits` in all.
    fn leg(&self, ask: &mut Ask, waits: &mut Duration) -> Result<Leg, End> {
        let Some(routing) = &self.hub.routing else { return Ok(Leg::default()) };
        // Without it nothing is known of an earlier call.
        let Some(call) = &mut ask.route else { return Err(End::Barred) };
        call.tried = lock(self.pool).tried.get(&ask.handle).map(|tried| tried.fence).or(call.tried);
        loop {
            match routing.route(call) {
                Routed::Go { fence, address, timeout, allowed } => {
                    ask.patience = timeout.map_or(ask.patience, |most| ask.patience.min(most));
                    return Ok(Leg { fence: Some(fence), address, allowed });
                }
                Routed::Wait(until) => {
                    let left =
                        (ask.began + ask.patience).saturating_duration_since(Instant::now()).min(*waits);
                    if left.is_zero() {
                        return Err(End::Barred);
                    }
                    let wait = until.saturating_duration_since(Instant::now()).max(LEAST_WAIT).min(left);
                    crate::net::spawn::sleep(wait);
                    *waits = waits.saturating_sub(wait);
                }
                Routed::Ended(_) => return Err(End::Stale),
                Routed::Barred => return Err(End::Barred),
            }
        }
    }
}

/// A connection to an address: one that was answered on just now, or a new one.
fn connection(
    pool: &Mutex<Pool>,
    address: SocketAddr,
    fresh: bool,
    patience: Duration,
) -> Option<(Conn, u64)> {
    let (epoch, taken) = {
        let mut pool = lock(pool);
        pool.idle.retain(|(_, _, since)| since.elapsed() < IDLE);
        let usable =
            |at: usize, pool: &Pool| pool.idle[at].1 == address && pool.idle[at].0.is_open_and_idle();
        let at = (0..pool.idle.len()).rev().find(|at| !fresh && usable(*at, &pool));
        (pool.epoch, at.map(|at| pool.idle.remove(at).0))
    };
    let conn = match taken {
        Some(conn) => conn,
        None => Conn::connect(address, CONNECT_PATIENCE.min(patience), WRITE_PATIENCE)
            .map_err(|e| debug!("no connection to the service below: {e}"))
            .ok()?,
    };
    Some((conn, epoch))
}

#[cfg(test)]
mod tests;
