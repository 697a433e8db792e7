//! The link to the render farm agent: JSON lines, numbered notices, and a new link whenever one breaks.

use std::collections::HashMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use may::net::TcpStream;
use may::sync::mpsc::{channel, Receiver, Sender};
use tinyjson::JsonValue;
use tracing::{debug, info, warn};

use super::lines::Buffer;
use super::{spawn, Hub};
use crate::core::{Command, End, Input, Notice};

/// Wait before a new link, doubled up to the second after each failure.
const RELINK: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));
/// An attempt to connect is given up after this long.
const CONNECT_PATIENCE: Duration = Duration::from_secs(1);
/// An agent that reads nothing for this long is taken to be gone: the link is made anew.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// The ticket of a sample that only marks a place in the notices.
const SYNC_TICKET: &str = "sync";

enum Order {
    Command(Command),
    /// The link of this number broke.
    Broken(u64),
}

/// Where commands to the agent go.
pub struct Link {
    orders: Sender<Order>,
}

impl Link {
    /// Connects, and keeps at it.
    pub fn start(address: SocketAddr, classes: Vec<String>, hub: &Arc<Hub>) -> Self {
        let (orders, received) = channel();
        let (hub, again) = (hub.clone(), orders.clone());
        spawn(move || keep_linked(address, &classes, &hub, &again, &received));
        Self { orders }
    }

    /// Queues a command; never waits.
    pub fn send(&self, command: Command) {
        let _ = self.orders.send(Order::Command(command));
    }
}

fn keep_linked(
    address: SocketAddr,
    classes: &[String],
    hub: &Arc<Hub>,
    again: &Sender<Order>,
    orders: &Receiver<Order>,
) {
    // The number of the last notice read, over all links.
    let cursor = Arc::new(AtomicU64::new(0));
    let mut wait = RELINK.0;
    for link in 0.. {
        match TcpStream::connect_timeout(&address, CONNECT_PATIENCE).and_then(|s| Ok((s.try_clone()?, s))) {
            Ok((reads, writes)) => {
                wait = RELINK.0;
                info!("linked to the agent at {address}");
                let (hub, cursor_read, again) = (hub.clone(), cursor.clone(), again.clone());
                spawn(move || {
                    let end = read_notices(Buffer::new(reads), &cursor_read, &hub);
                    warn!("the link to the agent ended: {}", end.word());
                    // In this order: what the reducer says once it knows of the loss then stands behind
                    // `Broken` in the queue and goes out on the next link, not into this one.
                    let _ = again.send(Order::Broken(link));
                    hub.push(Input::Agent(Notice::Lost(end)));
                });
                write_commands(writes, link, cursor.load(Ordering::Acquire), classes, orders);
            }
            Err(e) => {
                debug!("no link to the agent at {address}: {e}");
                wait = (wait * 2).min(RELINK.1);
            }
        }
        may::coroutine::sleep(wait);
    }
}

/// Writes what is queued until the link breaks. What was written and got lost is the reducer's to repeat.
fn write_commands(
    mut stream: TcpStream,
    link: u64,
    cursor: u64,
    classes: &[String],
    orders: &Receiver<Order>,
) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_PATIENCE));
    let mut out = format!("{{\"event\":\"subscribe\",\"cursor\":{cursor}}}\n");
    let mut writes = true;
    loop {
        if writes && stream.write_all(out.as_bytes()).is_err() {
            // The reader notices the shutdown, and its word ends this loop.
            writes = false;
            let _ = stream.shutdown(Shutdown::Both);
        }
        out.clear();
        let Ok(mut order) = orders.recv() else { return };
        loop {
            match order {
                Order::Command(command) => encode(&command, classes, &mut out),
                Order::Broken(which) if which == link => {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
                Order::Broken(_) => {}
            }
            match orders.try_recv() {
                Ok(next) => order = next,
                Err(_) => break,
            }
        }
    }
}

fn read_notices(mut lines: Buffer, cursor: &AtomicU64, hub: &Hub) -> End {
    loop {
        let line = match lines.line() {
            Ok(line) => line,
            Err(end) => return end,
        };
        match parse(&line) {
            Ok((number, notice)) => {
                // A notice that a former link brought already is not told twice.
                if let Some(number) = number {
                    if cursor.fetch_max(number, Ordering::AcqRel) >= number {
                        continue;
                    }
                }
                if let Some(notice) = notice {
                    hub.push(Input::Agent(notice));
                }
            }
            Err(why) => {
                warn!("a notice of the agent cannot be read: {why}");
                return End::Malformed;
            }
        }
    }
}

/// Appends a command as a line.
pub fn encode(command: &Command, classes: &[String], out: &mut String) {
    let line = match command {
        Command::Launch { handle, class, arg, .. } => {
            let entry = JsonValue::String(classes.get(*class).cloned().unwrap_or_default());
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
        Command::Sync => format!(r#"{{"event":"sample","ticket":"{SYNC_TICKET}"}}"#),
    };
    out.push_str(&line);
    out.push('\n');
}

/// Reads one notice: its number, and what it tells, if that matters here.
pub fn parse(line: &str) -> Result<(Option<u64>, Option<Notice>), String> {
    let json: JsonValue = line.parse().map_err(|e: tinyjson::JsonParseError| e.to_string())?;
    let members: &HashMap<String, JsonValue> = json.get().ok_or("it is no object")?;
    let text = |key: &str| members.get(key).and_then(|v| v.get::<String>()).map(String::as_str);
    let number = |key: &str| members.get(key).and_then(|v| v.get::<f64>()).copied();
    let handle = || text("handle").and_then(|h| h.parse().ok()).ok_or("it has no handle");
    let bytes = |key: &str| match text(key) {
        Some(arg) => BASE64.decode(arg).map(|b| Some(b.into())).map_err(|e| format!("{key}: {e}")),
        None => Ok(None),
    };
    let lasted = number("lasted").and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    let cursor = number("cursor").map(|n| n as u64);
    let notice = match text("event").ok_or("it has no event")? {
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
                _ => return Err("it has an unknown fate".to_string()),
            };
            let result = bytes("arg")?.or_else(|| (end == End::Complete).then(|| Vec::new().into()));
            Some(Notice::Outcome { handle: handle()?, end, lasted, result })
        }
        "request" => {
            let body = bytes("arg")?.unwrap_or_else(|| Vec::new().into());
            Some(Notice::CallNeeded { handle: handle()?, cursor: cursor.ok_or("it has no cursor")?, body })
        }
        "sampled" => match text("ticket").ok_or("it has no ticket")? {
            SYNC_TICKET => Some(Notice::Synced),
            ticket => {
                let figures = members.get("figures").and_then(|v| v.get::<Vec<JsonValue>>());
                let figures = figures.ok_or("it has no figures")?;
                let figures = figures.iter().map(|f| f.get::<f64>().copied().unwrap_or(0.0)).collect();
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
