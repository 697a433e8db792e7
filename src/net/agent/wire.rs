//! The wire format of the link to the agent: commands and notices as JSON, one object a line.

use std::collections::HashMap;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use tinyjson::JsonValue;

use crate::core::{Command, End, LinkId, Notice};
use crate::json;
use crate::net::error::NoticeError;

/// Ticket prefix of a sample that serves as a marker between notices: all notices before its answer have been read. The
/// number of the link follows.
const SYNC_TICKET: &str = "sync-";
/// Ticket prefix of a sample that serves as a marker between commands: its answer acknowledges all commands before it.
/// The number of the link and the number of the marker follow.
const ACKNOWLEDGE_TICKET: &str = "ack-";
/// Ticket prefix of the last sample on a link that is about to move. The number of the link follows.
const MOVE_TICKET: &str = "move-";

/// Longest plausible duration of a run. A longer one is an error of the agent, and would overflow sums of durations.
const MAX_RUN_DURATION: Duration = Duration::from_secs(86_400);
/// Longest plausible uptime of the agent, which may run for a year.
const MAX_AGENT_UPTIME: Duration = Duration::from_secs(366 * 86_400);
/// 2^53: whole numbers below this are exact in JSON.
const CURSOR_LIMIT: f64 = 9_007_199_254_740_992.0;

/// Appends the first line of a link, which asks for all notices after `cursor`.
pub(super) fn encode_subscribe(cursor: u64, out: &mut String) {
    out.push_str(&format!("{{\"event\":\"subscribe\",\"cursor\":{cursor}}}\n"));
}

/// Appends the marker that asks the agent to acknowledge everything sent on a link that is about to move.
pub(super) fn encode_move(link: LinkId, out: &mut String) {
    out.push_str(&format!("{{\"event\":\"sample\",\"ticket\":\"{MOVE_TICKET}{link}\"}}\n"));
}

/// Appends a command as a line for this link.
pub fn encode(link: LinkId, command: &Command, out: &mut String) {
    let line = match command {
        Command::Launch { handle, class, arg, .. } => {
            let entry = JsonValue::String(class.to_string());
            let entry = entry.stringify().unwrap_or_default();
            let arg = BASE64.encode(arg);
            format!(r#"{{"event":"launch","handle":"{handle}","entry":{entry},"arg":"{arg}"}}"#)
        }
        Command::Freeze { handle } => format!(r#"{{"event":"freeze","handle":"{handle}"}}"#),
        Command::Thaw { handle } => format!(r#"{{"event":"thaw","handle":"{handle}"}}"#),
        Command::Deliver { handle, reply, .. } => {
            format!(r#"{{"event":"deliver","handle":"{handle}","arg":"{}"}}"#, BASE64.encode(&reply.body))
        }
        Command::Forgo { handle, cursor } => {
            format!(r#"{{"event":"forgo","handle":"{handle}","cursor":{cursor}}}"#)
        }
        Command::Sample { ticket } => format!(r#"{{"event":"sample","ticket":"{ticket}"}}"#),
        Command::Sync => format!(r#"{{"event":"sample","ticket":"{SYNC_TICKET}{link}"}}"#),
        Command::Acknowledge(number) => {
            format!(r#"{{"event":"sample","ticket":"{ACKNOWLEDGE_TICKET}{link}-{number}"}}"#)
        }
    };
    out.push_str(&line);
    out.push('\n');
}

/// Whether a ticket is that of a marker, which asks for no gauges.
fn is_marker(ticket: &str) -> bool {
    [SYNC_TICKET, ACKNOWLEDGE_TICKET, MOVE_TICKET].iter().any(|prefix| ticket.starts_with(prefix))
}

/// Parses the ticket of an answered marker. Returns `None` if it names no link.
fn parse_marker(ticket: &str) -> Option<Notice> {
    let link = |digits: &str| digits.parse().ok().map(LinkId);
    if let Some(requested_on) = ticket.strip_prefix(SYNC_TICKET) {
        return Some(Notice::Synced { requested_on: link(requested_on)? });
    }
    if let Some(requested_on) = ticket.strip_prefix(MOVE_TICKET) {
        return Some(Notice::MoveAcknowledged { requested_on: link(requested_on)? });
    }
    let (requested_on, number) = ticket.strip_prefix(ACKNOWLEDGE_TICKET)?.split_once('-')?;
    Some(Notice::Acknowledged { requested_on: link(requested_on)?, number: number.parse().ok()? })
}

/// Parses one line of the agent. Returns the notice's number, and the notice itself if it is relevant to this program.
pub fn parse(line: &str) -> Result<(Option<u64>, Option<Notice>), NoticeError> {
    let json = json::parse(line)?;
    let members: &HashMap<String, JsonValue> = json.get().ok_or(NoticeError::NotAnObject)?;
    let text = |key: &str| members.get(key).and_then(|v| v.get::<String>()).map(String::as_str);
    let number = |key: &str| members.get(key).and_then(|v| v.get::<f64>()).copied();
    let missing = |member| NoticeError::MissingMember { member };
    let handle = || text("handle").and_then(|h| h.parse().ok()).ok_or(missing("handle"));
    let bytes = |member: &'static str| match text(member) {
        Some(arg) => {
            let decoded = BASE64.decode(arg).map(|b| Some(b.into()));
            decoded.map_err(|reason| NoticeError::InvalidBase64 { member, reason })
        }
        None => Ok(None),
    };
    let event = text("event").ok_or(missing("event"))?;
    let duration = number("lasted").and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    let max_duration = if event == "greeting" { MAX_AGENT_UPTIME } else { MAX_RUN_DURATION };
    if duration.is_some_and(|duration| duration > max_duration) {
        return Err(NoticeError::DurationTooLong { days: max_duration.as_secs() / 86_400 });
    }
    // A single cursor that is too high would make all later notices look like repetitions.
    let is_valid = |n: &f64| n.fract() == 0.0 && (1.0..CURSOR_LIMIT).contains(n);
    let cursor = number("cursor").map(|n| Some(n).filter(is_valid).ok_or(NoticeError::InvalidCursor));
    let cursor = cursor.transpose()?.map(|n| n as u64);
    let notice = match event {
        "greeting" => {
            let cold = text("fate") == Some("chilly");
            Some(Notice::Greeting { cold, uptime: duration.unwrap_or_default() })
        }
        "outcome" => {
            let end = match text("fate") {
                Some("complete") => End::Complete,
                Some("error") => End::Failed,
                Some("cancelled") => End::Cancelled,
                Some("unknown") => End::Unknown,
                _ => return Err(NoticeError::UnknownFate),
            };
            let result = bytes("arg")?.or_else(|| (end == End::Complete).then(|| Vec::new().into()));
            Some(Notice::Outcome { handle: handle()?, end, duration, result })
        }
        "request" => {
            let body = bytes("arg")?.unwrap_or_else(|| Vec::new().into());
            Some(Notice::CallNeeded { handle: handle()?, cursor: cursor.ok_or(missing("cursor"))?, body })
        }
        "sampled" => match text("ticket").ok_or(missing("ticket"))? {
            ticket if is_marker(ticket) => parse_marker(ticket),
            ticket => {
                let figures = members.get("figures").and_then(|v| v.get::<Vec<JsonValue>>());
                let figures = figures.ok_or(missing("figures"))?;
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
