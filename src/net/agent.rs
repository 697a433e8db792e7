//! The link to the render farm agent: JSON lines, numbered notices, and a new link whenever one breaks.

use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use may::sync::mpsc::{channel, Receiver, Sender};
use tinyjson::JsonValue;
use tracing::{debug, info, warn};

use super::error::NoticeError;
use super::lines::{Buffer, Lines};
use super::stream::Conn;
use super::{spawn, Hub};
use crate::core::{Command, End, Handle, Input, Notice};
use crate::{json, told};

/// Wait before a new link, doubled up to the second after each failure.
const RELINK: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(250));
/// An attempt to connect is given up after this long.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// An agent that reads nothing for this long is taken to be gone: the link is made anew.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// The ticket of a sample that only marks a place in the notices; its number follows.
const SYNC_TICKET: &str = "sync-";
/// The ticket of the last sample on a link that is about to move, and the number that stands for it.
const MOVE_TICKET: &str = "move";
const MOVE: u64 = u64::MAX;
/// The agent has this long to answer on the old link before a link moves.
const MOVE_PATIENCE: Duration = Duration::from_millis(200);

/// A run that lasted longer is a mistake, and would overflow sums of times later.
const LONGEST_RUN: Duration = Duration::from_secs(86_400);
/// The same for the agent itself, which may be up for a year.
const LONGEST_LIFE: Duration = Duration::from_secs(366 * 86_400);
/// Whole numbers below this are exact in JSON.
const MOST_CURSOR: f64 = 9_007_199_254_740_992.0;

enum Order {
    Command(Command),
    /// The configuration names an address, perhaps a new one.
    Relink,
    /// For the link of this number another address was sought: it took a connection, or is not named any more.
    Sought(u64, Option<(Conn, SocketAddr)>),
    /// The agent has answered [`MOVE_TICKET`] on the link of this number.
    Settled(u64),
    /// The link of this number broke.
    Broken(u64),
}

/// Where commands to the agent go.
pub struct Link {
    orders: Sender<Order>,
}

impl Link {
    /// Connects, and keeps at it.
    pub(super) fn start(hub: &Arc<Hub>) -> Self {
        let (orders, received) = channel();
        let (hub, again) = (hub.clone(), orders.clone());
        let keeper =
            Keeper { hub, again, orders: received, cursor: Arc::default(), unreadable: Arc::default() };
        spawn(move || keeper.keep_linked());
        Self { orders }
    }

    /// Queues a command; never waits.
    pub fn send(&self, command: Command) {
        let _ = self.orders.send(Order::Command(command));
    }

    /// Moves to the address that the configuration names now.
    pub fn relink(&self) {
        let _ = self.orders.send(Order::Relink);
    }
}

/// A link that is open.
struct Open {
    conn: Conn,
    number: u64,
    address: SocketAddr,
    /// It is ended on purpose, with nothing of what was said on it in doubt.
    settled: Arc<AtomicBool>,
    /// It is not used any more.
    over: Arc<AtomicBool>,
    /// Another address is sought for it.
    seeks: bool,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Release);
    }
}

/// What is said while there is no link, for the next one. Its size is bounded by the number of runs, however long
/// there is none.
#[derive(Default)]
struct Backlog {
    lines: String,
    /// Runs whose last word in here is to stop: saying so again adds nothing.
    stopped: HashSet<Handle>,
}

impl Backlog {
    fn add(&mut self, command: &Command) {
        let news = match command {
            Command::Freeze { handle } => self.stopped.insert(*handle),
            Command::Launch { handle, .. }
            | Command::Thaw { handle }
            | Command::Deliver { handle, .. }
            | Command::Forgo { handle, .. } => {
                self.stopped.remove(handle);
                true
            }
            // Questions about the link that broke: the next one's are asked once it greets.
            Command::Sample { .. } | Command::Sync(_) => false,
        };
        if news {
            encode(command, &mut self.lines);
        }
    }
}

struct Keeper {
    hub: Arc<Hub>,
    again: Sender<Order>,
    orders: Receiver<Order>,
    /// The number of the last notice read, over all links.
    cursor: Arc<AtomicU64>,
    /// Behind which notice there was one that could not be read, when the link was given up for that.
    unreadable: Arc<Mutex<Option<u64>>>,
}

impl Keeper {
    fn keep_linked(&self) {
        let mut wait = RELINK.0;
        let mut number = 0;
        let mut backlog = Backlog::default();
        loop {
            while let Ok(order) = self.orders.try_recv() {
                if let Order::Command(command) = order {
                    backlog.add(&command);
                }
            }
            let Some(address) = self.hub.links().agent else { return };
            match Conn::connect(address, CONNECT_PATIENCE, WRITE_PATIENCE) {
                Ok(conn) => {
                    wait = RELINK.0;
                    let mut next = Some((conn, address, std::mem::take(&mut backlog).lines));
                    while let Some((conn, address, backlog)) = next {
                        number += 1;
                        let link = self.open(conn, number, address);
                        next = self.write_commands(link, &backlog);
                    }
                }
                Err(e) => {
                    debug!("no link to the agent at {address}: {e}");
                    wait = (wait * 2).min(RELINK.1);
                }
            }
            crate::net::spawn::sleep(wait);
        }
    }

    fn open(&self, conn: Conn, number: u64, address: SocketAddr) -> Open {
        info!("linked to the agent at {address}");
        let (settled, over) = (Arc::<AtomicBool>::default(), Arc::default());
        let link = Open { conn, number, address, settled, over, seeks: false };
        let (reads, settled) = (Buffer::new(link.conn.clone()), link.settled.clone());
        let (hub, cursor, again) = (self.hub.clone(), self.cursor.clone(), self.again.clone());
        let unreadable = self.unreadable.clone();
        spawn(move || {
            let settles = || drop(again.send(Order::Settled(number)));
            let end = read_notices(reads, &cursor, &unreadable, &hub, settles);
            let settled = settled.load(Ordering::Acquire);
            if !settled {
                warn!("the link to the agent ended: {}", end.word());
            }
            // In this order: what the reducer says once it knows of the loss then stands behind
            // `Broken` in the queue and goes out on the next link, not into this one.
            let _ = again.send(Order::Broken(number));
            if !settled {
                // Without waiting for room: the greeting of the next link must not come before.
                hub.push_at_once(Input::Agent(Notice::Lost(end)));
            }
        });
        link
    }

    /// Writes what is queued until the link breaks, or moves. What was written and got lost is the reducer's
    /// to repeat. Returns the new link if there is one, and what was not written on the old one.
    fn write_commands(&self, mut link: Open, backlog: &str) -> Option<(Conn, SocketAddr, String)> {
        let cursor = self.cursor.load(Ordering::Acquire);
        let mut out = format!("{{\"event\":\"subscribe\",\"cursor\":{cursor}}}\n{backlog}");
        let mut writes = true;
        loop {
            if writes && link.conn.write_all(out.as_bytes()).is_err() {
                // The reader notices the shutdown, and its word ends this loop.
                writes = false;
                link.conn.shutdown(Shutdown::Both);
            }
            out.clear();
            let mut order = self.orders.recv().ok()?;
            loop {
                match order {
                    Order::Command(command) => encode(&command, &mut out),
                    Order::Broken(which) if which == link.number => {
                        link.conn.shutdown(Shutdown::Both);
                        return None;
                    }
                    Order::Relink => self.seek(&mut link),
                    Order::Sought(which, found) if which == link.number => {
                        link.seeks = false;
                        let named = self.hub.links().agent;
                        if let Some((conn, address)) = found.filter(|(_, address)| named == Some(*address)) {
                            return Some((conn, address, self.settle(link, out)));
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
                crate::net::spawn::sleep(RELINK.1);
            }
        });
    }

    /// Ends a link in good order: the agent shows that it has read all that was said on it, so that no launch
    /// is in doubt, and all its notices are read. Returns what came to be said meanwhile.
    fn settle(&self, mut link: Open, mut out: String) -> String {
        encode_sample(MOVE_TICKET, &mut out);
        link.conn.set_write_patience(MOVE_PATIENCE);
        let _ = link.conn.write_all(out.as_bytes());
        let (since, mut backlog) = (Instant::now(), String::new());
        let mut ended = false;
        loop {
            let left = MOVE_PATIENCE.saturating_sub(since.elapsed());
            if left.is_zero() && !ended {
                ended = true;
                link.conn.shutdown(Shutdown::Both);
            }
            match super::spawn::receive(&self.orders, if ended { WRITE_PATIENCE } else { left }) {
                Ok(Order::Command(command)) => encode(&command, &mut backlog),
                Ok(Order::Settled(which)) if which == link.number => {
                    ended = true;
                    link.settled.store(true, Ordering::Release);
                    link.conn.shutdown(Shutdown::Both);
                }
                Ok(Order::Broken(which)) if which == link.number => return backlog,
                Ok(_) => {}
                Err(_) if ended => return backlog,
                Err(_) => {}
            }
        }
    }
}

/// Reads until the link ends. A notice that cannot be read ends it, as a new link may bring it whole; where that one
/// brings the same again, it is the agent's own, and is passed over: it must not keep back all that follows.
fn read_notices(
    mut link: Buffer,
    cursor: &AtomicU64,
    unreadable: &Mutex<Option<u64>>,
    hub: &Hub,
    settled: impl Fn(),
) -> End {
    let unreadable = || unreadable.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        match next_notice(&mut link.lines, cursor) {
            Ok(Some(Notice::Sampled { ticket: MOVE, .. })) => settled(),
            Ok(Some(notice)) => hub.push(Input::Agent(notice)),
            Ok(None) => {
                if let Err(end) = link.more() {
                    return end;
                }
            }
            Err(why) => {
                let behind = Some(cursor.load(Ordering::Acquire));
                let again = unreadable().take() == behind && !matches!(why, NoticeError::Line);
                let what = if again { "passed over" } else { "the link is made anew" };
                warn!("a notice of the agent cannot be read: {}: {what}", told::in_a_line(&why));
                if !again {
                    *unreadable() = behind;
                    return End::Malformed;
                }
            }
        }
    }
}

/// The next notice that tells something new; none while it is not there whole. `cursor` is the number of the last
/// notice read, over all links: what was told before, on this link or a former one, is not told twice.
pub fn next_notice(lines: &mut Lines, cursor: &AtomicU64) -> Result<Option<Notice>, NoticeError> {
    while let Some(line) = lines.line().map_err(|_| NoticeError::Line)? {
        let (number, notice) = parse(&line)?;
        let told = number.is_some_and(|number| cursor.fetch_max(number, Ordering::AcqRel) >= number);
        if let Some(notice) = notice.filter(|_| !told) {
            return Ok(Some(notice));
        }
    }
    Ok(None)
}

fn encode_sample(ticket: &str, out: &mut String) {
    out.push_str(&format!("{{\"event\":\"sample\",\"ticket\":\"{ticket}\"}}\n"));
}

/// Appends a command as a line.
pub fn encode(command: &Command, out: &mut String) {
    let line = match command {
        Command::Launch { handle, class, arg, .. } => {
            let entry = JsonValue::String(class.to_string());
            let entry = entry.stringify().unwrap_or_default();
            let arg = BASE64.encode(arg);
            format!(r#"{{"event":"launch","handle":"{handle}","entry":{entry},"arg":"{arg}"}}"#)
        }
        Command::Freeze { handle } => format!(r#"{{"event":"freeze","handle":"{handle}"}}"#),
        Command::Thaw { handle } => format!(r#"{{"event":"thaw","handle":"{handle}"}}"#),
        Command::Deliver { handle, arg } => {
            format!(r#"{{"event":"deliver","handle":"{handle}","arg":"{}"}}"#, BASE64.encode(arg))
        }
        Command::Forgo { handle, cursor } => {
            format!(r#"{{"event":"forgo","handle":"{handle}","cursor":{cursor}}}"#)
        }
        Command::Sample { ticket } => format!(r#"{{"event":"sample","ticket":"{ticket}"}}"#),
        Command::Sync(number) => {
            format!(r#"{{"event":"sample","ticket":"{SYNC_TICKET}{number}"}}"#)
        }
    };
    out.push_str(&line);
    out.push('\n');
}

/// Reads one notice: its number, and what it tells, if that matters here.
pub fn parse(line: &str) -> Result<(Option<u64>, Option<Notice>), NoticeError> {
    let json = json::parse(line)?;
    let members: &HashMap<String, JsonValue> = json.get().ok_or(NoticeError::NoObject)?;
    let text = |key: &str| members.get(key).and_then(|v| v.get::<String>()).map(String::as_str);
    let number = |key: &str| members.get(key).and_then(|v| v.get::<f64>()).copied();
    let lacks = |member| NoticeError::Lacks { member };
    let handle = || text("handle").and_then(|h| h.parse().ok()).ok_or(lacks("handle"));
    let bytes = |member: &'static str| match text(member) {
        Some(arg) => {
            let read = BASE64.decode(arg).map(|b| Some(b.into()));
            read.map_err(|said| NoticeError::NoBase64 { member, said })
        }
        None => Ok(None),
    };
    let event = text("event").ok_or(lacks("event"))?;
    let lasted = number("lasted").and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    let longest = if event == "greeting" { LONGEST_LIFE } else { LONGEST_RUN };
    if lasted.is_some_and(|lasted| lasted > longest) {
        return Err(NoticeError::Lasted { days: longest.as_secs() / 86_400 });
    }
    // One number too high, and all that the agent tells from then on would pass as told before.
    let is_number = |n: &f64| n.fract() == 0.0 && (1.0..MOST_CURSOR).contains(n);
    let cursor = number("cursor").map(|n| Some(n).filter(is_number).ok_or(NoticeError::Cursor));
    let cursor = cursor.transpose()?.map(|n| n as u64);
    let notice = match event {
        "greeting" => {
            let cold = text("fate") == Some("chilly");
            Some(Notice::Greeting { cold, lasted: lasted.unwrap_or_default() })
        }
        "outcome" => {
            let end = match text("fate") {
                Some("complete") => End::Complete,
                Some("error") => End::Failed,
                Some("cancelled") => End::Cancelled,
                Some("unknown") => End::Unknown,
                _ => return Err(NoticeError::Fate),
            };
            let result = bytes("arg")?.or_else(|| (end == End::Complete).then(|| Vec::new().into()));
            Some(Notice::Outcome { handle: handle()?, end, lasted, result })
        }
        "request" => {
            let body = bytes("arg")?.unwrap_or_else(|| Vec::new().into());
            Some(Notice::CallNeeded { handle: handle()?, cursor: cursor.ok_or(lacks("cursor"))?, body })
        }
        "sampled" => match text("ticket").ok_or(lacks("ticket"))? {
            MOVE_TICKET => Some(Notice::Sampled { ticket: MOVE, figures: Vec::new() }),
            ticket if ticket.starts_with(SYNC_TICKET) => {
                let number = ticket.trim_start_matches(SYNC_TICKET).parse();
                number.ok().map(Notice::Synced)
            }
            ticket => {
                let figures = members.get("figures").and_then(|v| v.get::<Vec<JsonValue>>());
                let figures = figures.ok_or(lacks("figures"))?;
                let figures = figures
                    .iter()
                    .map(|f| f.get::<f64>().copied().filter(|f| f.is_finite()).unwrap_or(0.0))
                    .collect();
                Some(Notice::Sampled { ticket: ticket.parse().unwrap_or(0), figures })
            }
        },
        "refusal" => {
            let command = text("fate").unwrap_or_default().to_string();
            match handle() {
                Ok(handle) => Some(Notice::Refusal { command, handle }),
                Err(_) => None,
            }
        }
        _ => None,
    };
    Ok((cursor, notice))
}
