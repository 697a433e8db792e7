//! Keeps the link to the agent: opens it, writes commands, moves it, and tells the reducer of its end.

use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use may::sync::mpsc::{Receiver, Sender};
use tracing::{debug, info, warn};

use super::reader::Reader;
use super::wire::{encode, encode_move, encode_subscribe};
use super::{Ended, Order, OutgoingCommand};
use crate::core::{Handle, Input, LinkEnd, LinkId, Notice};
use crate::net::lines::LinkReader;
use crate::net::stream::Conn;
use crate::net::{spawn, Hub};

/// Wait before a new link, doubled up to the second after each failure.
const RELINK: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(250));
/// An attempt to connect is given up after this long.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// An agent that reads nothing for this long is taken to be gone: the link is made anew.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// The agent has this long to answer on the old link before a link moves.
const MOVE_PATIENCE: Duration = Duration::from_millis(200);

/// A link that is open.
struct Open {
    conn: Conn,
    id: LinkId,
    address: SocketAddr,
    since: Instant,
    /// The number of the last command that was put on it.
    queued: u64,
    /// The number of the last command that was written, or half written.
    written: u64,
    /// Commands for other links that came meanwhile.
    dropped: u64,
    /// The last command about a run that was put on it, for the log.
    last: Option<(&'static str, Handle)>,
    /// It is not used any more.
    over: Arc<AtomicBool>,
    /// Another address is sought for it.
    seeks: bool,
}

impl Open {
    /// Puts a command into the bytes to be written, if it is meant for this link.
    fn put(&mut self, outgoing: &OutgoingCommand, out: &mut String) {
        if outgoing.link != self.id {
            self.dropped += 1;
            return;
        }
        encode(self.id, &outgoing.command, out);
        self.queued = outgoing.number;
        self.last = outgoing.command.name_and_handle().or(self.last);
    }

    /// Writes all that was put on it; false where that failed.
    fn write(&mut self, out: &str) -> bool {
        self.written = self.queued;
        self.conn.write_all(out.as_bytes()).is_ok()
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
    }
}

pub(super) struct LinkManager {
    hub: Arc<Hub>,
    again: Sender<Order>,
    orders: Receiver<Order>,
    /// The number of the last notice read, over all links.
    cursor: Arc<AtomicU64>,
    /// Behind which notice there was one that could not be read, when the link was given up for that.
    unreadable: Arc<Mutex<Option<u64>>>,
    /// The last link that was opened.
    newest: LinkId,
}

impl LinkManager {
    /// For the orders that come on `orders`; `again` leads there as well.
    pub(super) fn new(hub: Arc<Hub>, again: Sender<Order>, orders: Receiver<Order>) -> Self {
        Self { hub, again, orders, cursor: Arc::default(), unreadable: Arc::default(), newest: LinkId::NONE }
    }

    /// Opens one link after the other, as long as the configuration names an agent.
    pub(super) fn keep_linked(&mut self) {
        let mut wait = RELINK.0;
        loop {
            // What is queued is meant for a link that is over.
            while self.orders.try_recv().is_ok() {}
            let Some(address) = self.hub.links().agent else { return };
            match Conn::connect(address, CONNECT_PATIENCE, WRITE_PATIENCE) {
                Ok(conn) => {
                    wait = RELINK.0;
                    let mut next = Some((conn, address));
                    while let Some((conn, address)) = next {
                        let link = self.open(conn, address);
                        next = self.write_commands(link);
                    }
                }
                Err(e) => {
                    debug!("no link to the agent at {address}: {e}");
                    wait = (wait * 2).min(RELINK.1);
                }
            }
            spawn::sleep(wait);
        }
    }

    fn open(&mut self, conn: Conn, address: SocketAddr) -> Open {
        self.newest = LinkId(self.newest.0 + 1);
        let link = self.newest;
        info!("linked to the agent at {address}: link {link}");
        let mut reads = LinkReader::new(conn.clone());
        let reader = Reader {
            link,
            hub: self.hub.clone(),
            cursor: self.cursor.clone(),
            unreadable: self.unreadable.clone(),
        };
        let again = self.again.clone();
        spawn(move || {
            let end = reader.read_notices(&mut reads, || drop(again.send(Order::Settled(link))));
            let cause = reads.describe_end();
            let _ = again.send(Order::Broken(Ended { link, end, cause }));
        });
        Open {
            conn,
            id: link,
            address,
            since: Instant::now(),
            queued: 0,
            written: 0,
            dropped: 0,
            last: None,
            over: Arc::default(),
            seeks: false,
        }
    }

    /// Writes what is queued until the link breaks, or moves; then returns the new one.
    fn write_commands(&mut self, mut link: Open) -> Option<(Conn, SocketAddr)> {
        let mut out = String::new();
        encode_subscribe(self.cursor.load(Ordering::Acquire), &mut out);
        // The configuration may have been read again while the link before was ending.
        self.seek(&mut link);
        let mut writes = true;
        loop {
            if writes && !link.write(&out) {
                // The reader notices the shutdown, and its word ends this loop.
                writes = false;
                link.conn.shutdown(Shutdown::Both);
            }
            out.clear();
            let mut order = self.orders.recv().ok()?;
            loop {
                match order {
                    Order::Command(outgoing) => link.put(&outgoing, &mut out),
                    Order::Broken(ended) if ended.link == link.id => {
                        self.tell_broken(&link, &ended);
                        return None;
                    }
                    Order::Relink => self.seek(&mut link),
                    Order::Sought(which, found) if which == link.id => {
                        link.seeks = false;
                        let named = self.hub.links().agent;
                        if let Some(next) = found.filter(|(_, address)| named == Some(*address)) {
                            self.settle(link, out);
                            return Some(next);
                        }
                        self.seek(&mut link);
                    }
                    Order::Broken(_) | Order::Settled(_) | Order::Sought(..) => {}
                }
                match self.orders.try_recv() {
                    Ok(next) => order = next,
                    Err(_) => break,
                }
            }
        }
    }

    /// Tells the reducer that a link broke.
    fn tell_broken(&self, link: &Open, ended: &Ended) {
        link.conn.shutdown(Shutdown::Both);
        let last = link.last.map_or("none".to_string(), |(event, handle)| format!("{event} {handle}"));
        warn!(
            "the link to the agent ended: {}: {}; link {}, {} ms old, last command about a run: {last}, {} commands written, {} for other links dropped",
            ended.end.as_str(),
            ended.cause,
            link.id,
            link.since.elapsed().as_millis(),
            link.written,
            link.dropped,
        );
        self.tell_end(link, LinkEnd::Broken { end: ended.end, written: link.written });
    }

    /// Tells the reducer how a link ended. It does not wait for room: nothing of the next link should come before.
    fn tell_end(&self, link: &Open, end: LinkEnd) {
        self.hub.push_nonblocking(Input::Agent { link: link.id, notice: Notice::Closed(end) });
    }

    /// Connects to the address that the configuration names now if that is another one, beside the link: commands
    /// are not to wait for an address that does not answer.
    fn seek(&self, link: &mut Open) {
        let (hub, at, id) = (self.hub.clone(), link.address, link.id);
        let other = move || hub.links().agent.filter(|address| *address != at);
        if other().is_none() || std::mem::replace(&mut link.seeks, true) {
            return;
        }
        let (again, over) = (self.again.clone(), link.over.clone());
        spawn(move || {
            while !over.load(Ordering::Acquire) {
                let Some(address) = other() else { return drop(again.send(Order::Sought(id, None))) };
                match Conn::connect(address, CONNECT_PATIENCE, WRITE_PATIENCE) {
                    Ok(conn) => return drop(again.send(Order::Sought(id, Some((conn, address))))),
                    Err(e) => debug!("no link to the agent at {address} yet: {e}"),
                }
                spawn::sleep(RELINK.1);
            }
        });
    }

    /// Ends a link in good order: the agent shows that it has read all that was said on it, so that nothing is in
    /// doubt, and all its notices are read. What comes to be said for it meanwhile is dropped.
    fn settle(&mut self, mut link: Open, mut out: String) {
        encode_move(link.id, &mut out);
        link.conn.set_write_timeout(MOVE_PATIENCE);
        link.write(&out);
        let since = Instant::now();
        let (mut is_settled, mut is_ended) = (false, false);
        loop {
            let left = MOVE_PATIENCE.saturating_sub(since.elapsed());
            if left.is_zero() && !is_ended {
                is_ended = true;
                link.conn.shutdown(Shutdown::Both);
            }
            match spawn::receive(&self.orders, if is_ended { WRITE_PATIENCE } else { left }) {
                Ok(Order::Settled(which)) if which == link.id => {
                    (is_settled, is_ended) = (true, true);
                    link.conn.shutdown(Shutdown::Both);
                }
                Ok(Order::Broken(ended)) if ended.link == link.id => {
                    match is_settled {
                        true => self.tell_end(&link, LinkEnd::Clean { read: link.written }),
                        false => self.tell_broken(&link, &ended),
                    }
                    return;
                }
                // The next link looks for itself where it is to lead.
                Ok(_) | Err(_) => {}
            }
        }
    }
}
