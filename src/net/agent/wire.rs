//! The wire format of the link to the agent: commands and notices as JSON, one object a line.

use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use serde_json::Value;

use crate::core::{Bytes, Command, End, Handle, LinkId, Notice};
use crate::json::{self, Members};
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
            let entry = Value::from(class.as_ref());
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

/// A line of the agent.
#[derive(Debug)]
pub struct ParsedNotice {
    /// Its number, if it is a numbered one.
    pub cursor: Option<u64>,
    /// Its content, if it is relevant to this program.
    pub notice: Option<Notice>,
}

impl ParsedNotice {
    fn unnumbered(notice: Option<Notice>) -> Self {
        Self { cursor: None, notice }
    }
}

/// Parses one line of the agent.
///
/// # Errors
/// [`NoticeError`] if it is not a notice with all the members that the protocol gives it.
pub fn parse(line: &str) -> Result<ParsedNotice, NoticeError> {
    let line = NoticeLine { members: json::parse_members(line)? };
    match line.required_text("event")? {
        "greeting" => line.parse_greeting().map(|greeting| ParsedNotice::unnumbered(Some(greeting))),
        "outcome" => line.parse_outcome(),
        "request" => line.parse_request(),
        "sampled" => line.parse_sampled().map(ParsedNotice::unnumbered),
        "refusal" => {
            let command = line.required_text("fate")?.to_string();
            let handle = line.handle()?;
            Ok(ParsedNotice::unnumbered(Some(Notice::Refusal { command, handle })))
        }
        "aside" => Ok(ParsedNotice { cursor: Some(line.cursor()?), notice: None }),
        "exercised" => {
            line.required_text("ticket")?;
            Ok(ParsedNotice::unnumbered(None))
        }
        _ => Err(NoticeError::UnknownEvent),
    }
}

/// The members of a line. Unknown ones are ignored.
struct NoticeLine {
    members: Members,
}

impl NoticeLine {
    fn parse_greeting(&self) -> Result<Notice, NoticeError> {
        let cold = match self.required_text("fate")? {
            "chilly" => true,
            "hot" => false,
            _ => return Err(NoticeError::UnknownState),
        };
        Ok(Notice::Greeting { cold, uptime: self.duration(MAX_AGENT_UPTIME)? })
    }

    fn parse_outcome(&self) -> Result<ParsedNotice, NoticeError> {
        let end = match self.required_text("fate")? {
            "complete" => End::Complete,
            "error" => End::Failed,
            "cancelled" => End::Cancelled,
            "unknown" => End::Unknown,
            _ => return Err(NoticeError::UnknownFate),
        };
        let (handle, cursor) = (self.handle()?, self.cursor()?);
        let duration = Some(self.duration(MAX_RUN_DURATION)?);
        // Only a run that completed has a result.
        let result = match end {
            End::Complete => Some(self.body()?),
            _ if self.text("arg")?.is_some() => Some(self.body()?),
            _ => None,
        };
        let notice = Some(Notice::Outcome { handle, end, duration, result });
        Ok(ParsedNotice { cursor: Some(cursor), notice })
    }

    fn parse_request(&self) -> Result<ParsedNotice, NoticeError> {
        let (handle, cursor, body) = (self.handle()?, self.cursor()?, self.body()?);
        Ok(ParsedNotice { cursor: Some(cursor), notice: Some(Notice::CallNeeded { handle, cursor, body }) })
    }

    fn parse_sampled(&self) -> Result<Option<Notice>, NoticeError> {
        let ticket = self.required_text("ticket")?;
        if is_marker(ticket) {
            return Ok(Some(parse_marker(ticket).ok_or(NoticeError::UnknownTicket)?));
        }
        let ticket = ticket.parse().map_err(|_| NoticeError::UnknownTicket)?;
        let figures =
            self.member("figures")?.as_array().ok_or(NoticeError::WrongType { member: "figures" })?;
        let figures = figures.iter().map(|figure| figure.as_f64().filter(|figure| figure.is_finite()));
        let figures = figures.collect::<Option<_>>().ok_or(NoticeError::WrongType { member: "figures" })?;
        Ok(Some(Notice::Sampled { ticket, figures }))
    }

    fn member(&self, member: &'static str) -> Result<&Value, NoticeError> {
        self.members.get(member).ok_or(NoticeError::MissingMember { member })
    }

    fn text(&self, member: &'static str) -> Result<Option<&str>, NoticeError> {
        match self.members.get(member) {
            None => Ok(None),
            Some(Value::String(text)) => Ok(Some(text)),
            Some(_) => Err(NoticeError::WrongType { member }),
        }
    }

    fn required_text(&self, member: &'static str) -> Result<&str, NoticeError> {
        self.text(member)?.ok_or(NoticeError::MissingMember { member })
    }

    fn handle(&self) -> Result<Handle, NoticeError> {
        self.required_text("handle")?.parse().map_err(|()| NoticeError::InvalidHandle)
    }

    /// The number of the notice. One that is too high would make all later notices look like repetitions.
    fn cursor(&self) -> Result<u64, NoticeError> {
        let number = self.member("cursor")?.as_f64().ok_or(NoticeError::WrongType { member: "cursor" })?;
        let is_valid = number.fract() == 0.0 && (1.0..CURSOR_LIMIT).contains(&number);
        is_valid.then_some(number as u64).ok_or(NoticeError::InvalidCursor)
    }

    fn duration(&self, max: Duration) -> Result<Duration, NoticeError> {
        let ms = self.member("lasted")?.as_f64().ok_or(NoticeError::WrongType { member: "lasted" })?;
        if ms > max.as_secs_f64() * 1000.0 {
            return Err(NoticeError::DurationTooLong { days: max.as_secs() / 86_400 });
        }
        Duration::try_from_secs_f64(ms / 1000.0).map_err(|_| NoticeError::NegativeDuration)
    }

    fn body(&self) -> Result<Bytes, NoticeError> {
        let decoded = BASE64.decode(self.required_text("arg")?);
        let body = decoded.map_err(|reason| NoticeError::InvalidBase64 { member: "arg", reason })?;
        Ok(body.into())
    }
}
