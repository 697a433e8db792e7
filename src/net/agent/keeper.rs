//! Keeps the link to the agent: opens it, writes commands, moves it, and tells the reducer of its loss.

use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use may::sync::mpsc::{Receiver, Sender};
use tracing::{debug, info, warn};

use super::backlog::Backlog;
use super::reader::read_notices;
use super::wire::{encode, encode_sample, MOVE_TICKET};
use super::{Ended, Order};
use crate::core::{Command, Handle, Input, Notice};
use crate::net::lines::Buffer;
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

/// Which commands were written; they are counted from the first one that the reducer gave.
#[derive(Default)]
struct Ledger {
    /// Commands that came so far.
    taken: u64,
    /// The last one that was written, or half written.
    written: u64,
    /// A link was lost, and the reducer does not know yet: what it says is not meant for the next link.
    drops: bool,
}

impl Ledger {
    /// Counts a command, and returns it if it is to be written.
    fn take(&mut self, command: Command) -> Option<Command> {
        self.taken += 1;
        if command == Command::Resume {
            self.drops = false;
            return None;
        }
        (!self.drops).then_some(command)
    }

    /// All that was taken so far is about to be written.
    fn writes(&mut self) {
        self.written = self.taken;
    }
}

/// A link that is open.
struct Open {
    conn: Conn,
    number: u64,
    address: SocketAddr,
    since: Instant,
    /// The last command about a run that was put on it, for the log.
    last: Option<(&'static str, Handle)>,
    /// It is not used any more.
    over: Arc<AtomicBool>,
    /// Another address is sought for it.
    seeks: bool,
}

impl Open {
    fn put(&mut self, command: &Command, out: &mut String) {
        encode(command, out);
        self.last = command.about().or(self.last);
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
    }
}

pub(super) struct Keeper {
    hub: Arc<Hub>,
    again: Sender<Order>,
    orders: Receiver<Order>,
    /// The number of the last notice read, over all links.
    cursor: Arc<AtomicU64>,
    /// Behind which notice there was one that could not be read, when the link was given up for that.
    unreadable: Arc<Mutex<Option<u64>>>,
    ledger: Ledger,
    backlog: Backlog,
}

impl Keeper {
    /// For the orders that come on `orders`; `again` leads there as well.
    pub(super) fn new(hub: Arc<Hub>, again: Sender<Order>, orders: Receiver<Order>) -> Self {
        Self {
            hub,
            again,
            orders,
            cursor: Arc::default(),
            unreadable: Arc::default(),
            ledger: Ledger::default(),
            backlog: Backlog::default(),
        }
    }

    /// Opens one link after the other, as long as the configuration names an agent.
    pub(super) fn keep_linked(&mut self) {
        let mut wait = RELINK.0;
        let mut number = 0;
        loop {
            while let Ok(order) = self.orders.try_recv() {
                if let Order::Command(command) = order {
                    self.set_aside(command);
                }
            }
            let Some(address) = self.hub.links().agent else { return };
            match Conn::connect(address, CONNECT_PATIENCE, WRITE_PATIENCE) {
                Ok(conn) => {
                    wait = RELINK.0;
                    let mut next = Some((conn, address));
                    while let Some((conn, address)) = next {
                        number += 1;
                        let link = self.open(conn, number, address);
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

    /// Keeps a command for the next link.
    fn set_aside(&mut self, command: Command) {
        if let Some(command) = self.ledger.take(command) {
            self.backlog.add(&command);
        }
    }

    fn open(&self, conn: Conn, number: u64, address: SocketAddr) -> Open {
        info!("linked to the agent at {address}");
        let mut reads = Buffer::new(conn.clone());
        let (hub, cursor, again) = (self.hub.clone(), self.cursor.clone(), self.again.clone());
        let unreadable = self.unreadable.clone();
        spawn(move || {
            let settles = || drop(again.send(Order::Settled(number)));
            let end = read_notices(&mut reads, &cursor, &unreadable, &hub, settles);
            let cause = reads.describe_end();
            let _ = again.send(Order::Broken(Ended { number, end, cause }));
        });
        Open { conn, number, address, since: Instant::now(), last: None, over: Arc::default(), seeks: false }
    }

    /// Writes what is queued until the link breaks, or moves; then returns the new one.
    fn write_commands(&mut self, mut link: Open) -> Option<(Conn, SocketAddr)> {
        let cursor = self.cursor.load(Ordering::Acquire);
        let mut out =
            format!("{{\"event\":\"subscribe\",\"cursor\":{cursor}}}\n{}", self.backlog.take_lines());
        // The configuration may have been read again while the link before was ending.
        self.seek(&mut link);
        let mut writes = true;
        loop {
            if writes {
                self.ledger.writes();
                if link.conn.write_all(out.as_bytes()).is_err() {
                    // The reader notices the shutdown, and its word ends this loop.
                    writes = false;
                    link.conn.shutdown(Shutdown::Both);
                }
            }
            out.clear();
            let mut order = self.orders.recv().ok()?;
            loop {
                match order {
                    Order::Command(command) => {
                        if let Some(command) = self.ledger.take(command) {
                            link.put(&command, &mut out);
                        }
                    }
                    Order::Broken(ended) if ended.number == link.number => {
                        self.lost(&link, &ended);
                        return None;
                    }
                    Order::Relink => self.seek(&mut link),
                    Order::Sought(which, found) if which == link.number => {
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

    /// Tells the reducer that a link is lost, before the next one is opened; what it says until it knows is dropped.
    fn lost(&mut self, link: &Open, ended: &Ended) {
        link.conn.shutdown(Shutdown::Both);
        let last = link.last.map_or("none".to_string(), |(event, handle)| format!("{event} {handle}"));
        warn!(
            "the link to the agent ended: {}: {}; {} ms old, last command about a run: {last}, {} commands written, {} not",
            ended.end.word(),
            ended.cause,
            link.since.elapsed().as_millis(),
            self.ledger.written,
            self.ledger.taken - self.ledger.written,
        );
        self.ledger.drops = true;
        let written = self.ledger.written;
        // Without waiting for room: nothing of the next link may come before.
        self.hub.push_at_once(Input::Agent(Notice::Lost { end: ended.end, written }));
    }

    /// Connects to the address that the configuration names now if that is another one, beside the link: commands
    /// are not to wait for an address that does not answer.
    fn seek(&self, link: &mut Open) {
        let (hub, at, number) = (self.hub.clone(), link.address, link.number);
        let other = move || hub.links().agent.filter(|address| *address != at);
        if other().is_none() || std::mem::replace(&mut link.seeks, true) {
            return;
        }
        let (again, over) = (self.again.clone(), link.over.clone());
        spawn(move || {
            while !over.load(Ordering::Acquire) {
                let Some(address) = other() else { return drop(again.send(Order::Sought(number, None))) };
                match Conn::connect(address, CONNECT_PATIENCE, WRITE_PATIENCE) {
                    Ok(conn) => return drop(again.send(Order::Sought(number, Some((conn, address))))),
                    Err(e) => debug!("no link to the agent at {address} yet: {e}"),
                }
                spawn::sleep(RELINK.1);
            }
        });
    }

    /// Ends a link in good order: the agent shows that it has read all that was said on it, so that nothing is in
    /// doubt, and all its notices are read. What comes to be said meanwhile is kept for the next link.
    fn settle(&mut self, mut link: Open, mut out: String) {
        encode_sample(MOVE_TICKET, &mut out);
        self.ledger.writes();
        link.conn.set_write_patience(MOVE_PATIENCE);
        let _ = link.conn.write_all(out.as_bytes());
        let since = Instant::now();
        let (mut is_settled, mut is_ended) = (false, false);
        loop {
            let left = MOVE_PATIENCE.saturating_sub(since.elapsed());
            if left.is_zero() && !is_ended {
                is_ended = true;
                link.conn.shutdown(Shutdown::Both);
            }
            match spawn::receive(&self.orders, if is_ended { WRITE_PATIENCE } else { left }) {
                Ok(Order::Command(command)) => self.set_aside(command),
                Ok(Order::Settled(which)) if which == link.number => {
                    (is_settled, is_ended) = (true, true);
                    link.conn.shutdown(Shutdown::Both);
                }
                Ok(Order::Broken(ended)) if ended.number == link.number => {
                    if !is_settled {
                        self.backlog = Backlog::default();
                        self.lost(&link, &ended);
                    }
                    return;
                }
                // The next link looks for itself where it is to lead.
                Ok(_) | Err(_) => {}
            }
        }
    }
}
