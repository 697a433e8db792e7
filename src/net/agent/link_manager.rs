//! The link manager: opens the link to the agent, writes commands on it, moves it to another address when the
//! configuration changes, and reports its end to the reducer.
//!
//! It runs in one coroutine and handles [`LinkEvent`]s. Each link has a second coroutine that reads notices.

use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use may::sync::mpsc::{Receiver, Sender};
use tracing::{debug, info, warn};

use super::position::NoticePosition;
use super::reader::{notice_lines, NoticeDecoder, Reader};
use super::reply_guard::{ReplyGuard, ReplyMismatch};
use super::wire::{encode, encode_move, encode_subscribe};
use super::{EndedLink, LinkEvent, OutgoingCommand};
use crate::core::{Command, Handle, Input, LinkEnd, LinkId, Notice};
use crate::net::lines::LinkReader;
use crate::net::request_log::RequestEvent;
use crate::net::stream::Conn;
use crate::net::{spawn, Hub};

/// First and longest delay before the next attempt to connect; the delay doubles after each failure.
const RECONNECT_DELAY: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(250));
/// Timeout of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// If the agent reads nothing for this long, it counts as gone and a new link is opened.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the agent to acknowledge the commands on the old link before the link moves.
const MOVE_TIMEOUT: Duration = Duration::from_millis(200);

/// An open link.
struct OpenLink {
    conn: Conn,
    id: LinkId,
    address: SocketAddr,
    opened_at: Instant,
    /// The number of the last command that was queued for writing.
    last_queued: u64,
    /// The number of the last command that was written, perhaps partly.
    last_written: u64,
    /// How many commands for other links were dropped.
    dropped: u64,
    /// The last command about a run that was queued, for the log.
    last_run_command: Option<(&'static str, Handle)>,
    /// The link is no longer in use. Set when this value is dropped, and read by the coroutine that connects a
    /// replacement.
    is_over: Arc<AtomicBool>,
    /// A coroutine is connecting to another address to replace this link.
    has_pending_replacement: bool,
}

impl OpenLink {
    /// Appends a command to the bytes to be written.
    fn encode(&mut self, outgoing: &OutgoingCommand, out: &mut String) {
        encode(self.id, &outgoing.command, out);
        self.last_queued = outgoing.number;
        self.last_run_command = outgoing.command.name_and_handle().or(self.last_run_command);
    }

    /// Writes all queued bytes. Returns false if that failed.
    fn write(&mut self, out: &str) -> bool {
        self.last_written = self.last_queued;
        self.conn.write_all(out.as_bytes()).is_ok()
    }
}

impl Drop for OpenLink {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Release);
    }
}

pub(super) struct LinkManager {
    hub: Arc<Hub>,
    /// Sends to `events`.
    sender: Sender<LinkEvent>,
    events: Receiver<LinkEvent>,
    /// Where the notices stand, over all links.
    position: Arc<NoticePosition>,
    /// The link that was opened last.
    newest: LinkId,
    reply_guard: ReplyGuard,
}

impl LinkManager {
    /// Creates a manager that handles `events`; `sender` is the sending side of the same channel.
    pub(super) fn new(hub: Arc<Hub>, sender: Sender<LinkEvent>, events: Receiver<LinkEvent>) -> Self {
        Self {
            hub,
            sender,
            events,
            position: Arc::default(),
            newest: LinkId::NONE,
            reply_guard: ReplyGuard::default(),
        }
    }

    /// Opens one link after the other, as long as the configuration names an agent.
    pub(super) fn run(&mut self) {
        let mut delay = RECONNECT_DELAY.0;
        loop {
            // The queued events belong to a link that has ended.
            while self.events.try_recv().is_ok() {}
            let Some(address) = self.hub.links().agent else { return };
            match Conn::connect(address, CONNECT_TIMEOUT, WRITE_TIMEOUT) {
                Ok(conn) => {
                    delay = RECONNECT_DELAY.0;
                    let mut next = Some((conn, address));
                    while let Some((conn, address)) = next {
                        let link = self.open(conn, address);
                        next = self.write_commands(link);
                    }
                }
                Err(e) => {
                    debug!("cannot connect to the agent at {address}: {e}");
                    delay = (delay * 2).min(RECONNECT_DELAY.1);
                }
            }
            spawn::sleep(delay);
        }
    }

    /// Numbers a new link and starts the coroutine that reads its notices.
    fn open(&mut self, conn: Conn, address: SocketAddr) -> OpenLink {
        self.newest = LinkId(self.newest.0 + 1);
        let link = self.newest;
        info!("linked to the agent at {address}: link {link}");
        let mut reads = LinkReader::new(conn.clone(), notice_lines());
        let decoder = NoticeDecoder::new(self.position.clone());
        let mut reader = Reader { link, hub: self.hub.clone(), decoder };
        let sender = self.sender.clone();
        spawn(move || {
            let end =
                reader.read_notices(&mut reads, || drop(sender.send(LinkEvent::MoveAcknowledged(link))));
            let cause = reads.describe_end();
            let _ = sender.send(LinkEvent::Ended(EndedLink { link, end, cause }));
        });
        OpenLink {
            conn,
            id: link,
            address,
            opened_at: Instant::now(),
            last_queued: 0,
            last_written: 0,
            dropped: 0,
            last_run_command: None,
            is_over: Arc::default(),
            has_pending_replacement: false,
        }
    }

    /// Writes queued commands until the link breaks or moves. Returns the connection of the next link if it moves.
    fn write_commands(&mut self, mut link: OpenLink) -> Option<(Conn, SocketAddr)> {
        let mut out = String::new();
        encode_subscribe(self.position.cursor(), &mut out);
        // The configuration may have been read again while the previous link was ending.
        self.connect_replacement(&mut link);
        let mut can_write = true;
        loop {
            if can_write && !link.write(&out) {
                // The reader notices the shutdown and reports the end of the link, which ends this loop.
                can_write = false;
                link.conn.shutdown(Shutdown::Both);
            }
            out.clear();
            let mut event = self.events.recv().ok()?;
            loop {
                match event {
                    LinkEvent::Command(outgoing) => self.queue(&mut link, &outgoing, &mut out),
                    LinkEvent::Ended(ended) if ended.link == link.id => {
                        self.report_broken(&link, &ended);
                        return None;
                    }
                    LinkEvent::Relink => self.connect_replacement(&mut link),
                    LinkEvent::Replacement(replaced, connected) if replaced == link.id => {
                        link.has_pending_replacement = false;
                        let configured = self.hub.links().agent;
                        if let Some(next) = connected.filter(|(_, address)| configured == Some(*address)) {
                            self.close_cleanly(link, out);
                            return Some(next);
                        }
                        self.connect_replacement(&mut link);
                    }
                    LinkEvent::Ended(_) | LinkEvent::MoveAcknowledged(_) | LinkEvent::Replacement(..) => {}
                }
                match self.events.try_recv() {
                    Ok(next) => event = next,
                    Err(_) => break,
                }
            }
        }
    }

    /// Queues a command for writing, if it is meant for this link and no reply that belongs to another call or comes too
    /// late.
    fn queue(&mut self, link: &mut OpenLink, outgoing: &OutgoingCommand, out: &mut String) {
        if outgoing.link != link.id {
            link.dropped += 1;
            return;
        }
        if outgoing.is_too_late(self.hub.clock.now()) {
            let late = RequestEvent::of_late_reply(&outgoing.command, link.id, outgoing.number);
            late.into_iter().for_each(|event| self.hub.request_log.record(event));
            return;
        }
        match self.reply_guard.check(outgoing, link.last_queued) {
            Ok(delivered) => {
                link.encode(outgoing, out);
                let commanded = RequestEvent::of_command(&outgoing.command, link.id, outgoing.number);
                delivered.or(commanded).into_iter().for_each(|event| self.hub.request_log.record(event));
            }
            Err(mismatch) => self.report_withheld(outgoing, mismatch),
        }
    }

    /// Reports a reply that was withheld, with what it was read for and what it was to be written for.
    fn report_withheld(&self, outgoing: &OutgoingCommand, mismatch: ReplyMismatch) {
        let Command::Deliver { handle, cursor, reply, .. } = &outgoing.command else { return };
        let (link, number) = (outgoing.link, outgoing.number);
        let log = &self.hub.request_log;
        log.report_violation(*handle, format!("a reply was withheld: {mismatch}"));
        log.report_violation(*handle, format!("it was for notice {cursor}, command {number} of link {link}"));
        log.report_violation(*handle, format!("it was read as {}", reply.origin));
        self.hub.push_nonblocking(Input::ViolationDetected);
    }

    /// Reports to the reducer that a link broke.
    fn report_broken(&mut self, link: &OpenLink, ended: &EndedLink) {
        link.conn.shutdown(Shutdown::Both);
        let last =
            link.last_run_command.map_or("none".to_string(), |(event, handle)| format!("{event} {handle}"));
        warn!(
            "the link to the agent ended: {}: {}; link {}, {} ms old, last command about a run: {last}, {} commands written, {} for other links dropped",
            ended.end.as_str(),
            ended.cause,
            link.id,
            link.opened_at.elapsed().as_millis(),
            link.last_written,
            link.dropped,
        );
        self.report_end(link, LinkEnd::Broken { end: ended.end, written: link.last_written });
    }

    /// Reports to the reducer how a link ended. It does not wait for room in the inbox, so that no notice of the next
    /// link can arrive before the report.
    fn report_end(&mut self, link: &OpenLink, end: LinkEnd) {
        self.reply_guard.retract(link.id, link.last_written);
        self.hub.push_nonblocking(Input::Agent { link: link.id, notice: Notice::Closed(end) });
    }

    /// If the configuration now names another address, starts a coroutine that connects to it while the link stays in
    /// use: commands must not wait for an address that does not answer.
    fn connect_replacement(&self, link: &mut OpenLink) {
        let (hub, current, id) = (self.hub.clone(), link.address, link.id);
        let new_address = move || hub.links().agent.filter(|address| *address != current);
        if new_address().is_none() || std::mem::replace(&mut link.has_pending_replacement, true) {
            return;
        }
        let (sender, is_over) = (self.sender.clone(), link.is_over.clone());
        spawn(move || {
            while !is_over.load(Ordering::Acquire) {
                let Some(address) = new_address() else {
                    return drop(sender.send(LinkEvent::Replacement(id, None)));
                };
                match Conn::connect(address, CONNECT_TIMEOUT, WRITE_TIMEOUT) {
                    Ok(conn) => return drop(sender.send(LinkEvent::Replacement(id, Some((conn, address))))),
                    Err(e) => debug!("cannot connect to the agent at {address} yet: {e}"),
                }
                spawn::sleep(RECONNECT_DELAY.1);
            }
        });
    }

    /// Closes a link before it moves. The agent acknowledges that it has read every command on the link, so that none
    /// is in doubt, and all its notices are read. Commands for this link that are queued in the meantime are dropped.
    /// If the agent does not acknowledge in time, the link counts as broken.
    fn close_cleanly(&mut self, mut link: OpenLink, mut out: String) {
        encode_move(link.id, &mut out);
        link.conn.set_write_timeout(MOVE_TIMEOUT);
        link.write(&out);
        let since = Instant::now();
        let (mut is_acknowledged, mut is_shut_down) = (false, false);
        loop {
            let left = MOVE_TIMEOUT.saturating_sub(since.elapsed());
            if left.is_zero() && !is_shut_down {
                is_shut_down = true;
                link.conn.shutdown(Shutdown::Both);
            }
            match spawn::recv_timeout(&self.events, if is_shut_down { WRITE_TIMEOUT } else { left }) {
                Ok(LinkEvent::MoveAcknowledged(moved)) if moved == link.id => {
                    (is_acknowledged, is_shut_down) = (true, true);
                    link.conn.shutdown(Shutdown::Both);
                }
                Ok(LinkEvent::Ended(ended)) if ended.link == link.id => {
                    match is_acknowledged {
                        true => self.report_end(&link, LinkEnd::Clean { read: link.last_written }),
                        false => self.report_broken(&link, &ended),
                    }
                    return;
                }
                // The next link reads the configured address itself.
                Ok(_) | Err(_) => {}
            }
        }
    }
}
