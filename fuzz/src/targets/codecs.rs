//! Lines and whole answers: the agent, the vault, services, the other version, the console.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use hopwalk::console::{self, ConsoleCommand};
use hopwalk::core::{AskId, CallReply, Command, End, LinkId, Notice, Succession};
use hopwalk::json;
use hopwalk::net::agent::{self, notice_lines, NoticeDecoder, NoticePosition, ParsedNotice};
use hopwalk::net::handover::{self, HandoverMessage, ReceivedMessage};
use hopwalk::net::lines::{LineDecoder, LineEnd, MAX_LINE};
use hopwalk::net::scgi::parse_response;
use hopwalk::net::vault::{check_bytes_behind, Reply, ReplyParser};
use tinyjson::JsonValue;

use crate::alloc::most_held;

/// What was read up to the end or an error, and the bytes that were looked at.
type Read<T> = (Vec<T>, Option<String>, u64);

/// Reads all that `next` finds in lines that come in pieces.
fn read<'a, T, E: Debug>(
    mut lines: LineDecoder,
    pieces: impl IntoIterator<Item = &'a [u8]>,
    mut next: impl FnMut(&mut LineDecoder) -> Result<Option<T>, E>,
) -> Read<T> {
    let mut all = Vec::new();
    for piece in pieces {
        lines.buffer_mut().extend_from_slice(piece);
        loop {
            match next(&mut lines) {
                Ok(Some(one)) => all.push(one),
                Ok(None) => break,
                Err(e) => return (all, Some(format!("{e:?}")), lines.bytes_processed()),
            }
        }
    }
    (all, None, lines.bytes_processed())
}

/// However the bytes are cut, the same is read, at a cost that grows with their length alone.
fn in_pieces<T: Debug>(bytes: &[u8], read: impl Fn(&mut dyn Iterator<Item = &[u8]>) -> Read<T>) -> Vec<T> {
    let ((whole, bad, _), held) = most_held(|| read(&mut [bytes].into_iter()));
    assert!(held <= 64 * bytes.len() + 16_384, "{held} bytes held for {} read", bytes.len());
    let shown = format!("{whole:?} {bad:?}");
    let check = |pieces: &mut dyn Iterator<Item = &[u8]>| {
        let (read, bad, work) = read(pieces);
        assert_eq!(format!("{read:?} {bad:?}"), shown);
        assert!(work <= 6 * bytes.len() as u64 + 64, "{work} looked at for {} bytes", bytes.len());
    };
    check(&mut bytes.chunks(1));
    for at in (1..bytes.len()).step_by(bytes.len() / 48 + 1) {
        check(&mut [&bytes[..at], &bytes[at..]].into_iter());
    }
    whole
}

/// Answers of SCGI services: what says how long it is cannot be cut short unseen, and what is read is what it says.
pub fn scgi_answer(bytes: &[u8]) {
    let (parsed, held) = most_held(|| parse_response(bytes));
    assert!(held <= 2 * bytes.len() + 1024);
    let Ok((end, body)) = parsed else { return };
    assert_eq!(end == End::Complete, body.is_some());
    let Some(body) = body else { return };
    assert!(bytes.ends_with(&body));
    let head = String::from_utf8_lossy(&bytes[..bytes.len() - body.len()]).to_ascii_lowercase();
    let named = |field: &str| {
        head.lines().filter(|line| line.split(':').next().is_some_and(|name| name.trim() == field)).count()
    };
    assert!(named("status") == 1 || named("status") == 0 && named("content-type") > 0, "one status");
    if named("content-length") > 0 {
        for len in 0..bytes.len() {
            assert!(parse_response(&bytes[..len]).is_err(), "cut after {len} bytes");
        }
    }
}

/// The agent's notices: each numbered one is told once, whatever breaks and comes again.
pub fn notices(bytes: &[u8]) {
    let all = in_pieces(bytes, |pieces| {
        let mut notices = NoticeDecoder::new(Arc::default());
        read(notice_lines(), pieces, |lines| notices.next_notice(lines))
    });
    for notice in &all {
        plausible(notice);
    }
    for line in String::from_utf8_lossy(bytes).lines() {
        if let Ok(value) = json::parse(line) {
            assert!(depth(&value) <= json::MAX_DEPTH, "deeper than the stack of a link may hold");
        }
    }
    let numbered = |notices: &[Notice]| {
        let told = notices.iter().filter(|n| matches!(n, Notice::Outcome { .. } | Notice::CallNeeded { .. }));
        told.map(|n| format!("{n:?}")).collect::<Vec<_>>()
    };
    // A link that breaks anywhere, and one behind it on which all is told that was not read.
    for at in (0..=bytes.len()).step_by(bytes.len() / 32 + 1) {
        let position = Arc::<NoticePosition>::default();
        let mut first = NoticeDecoder::new(position.clone());
        let (before, bad, _) = read(notice_lines(), [&bytes[..at]], |lines| first.next_notice(lines));
        if bad.is_some() {
            break;
        }
        let rest = told_behind(bytes, position.cursor());
        let mut second = NoticeDecoder::new(position);
        let (after, _, _) = read(notice_lines(), [&rest[..]], |lines| second.next_notice(lines));
        assert_eq!(numbered(&[before, after].concat()), numbered(&all), "broken after {at} bytes");
    }
    // Each command is one line that any reader of JSON takes.
    for notice in all {
        if let Notice::CallNeeded { handle, body, .. } = notice {
            let (timeout, cursor) = (Duration::ZERO, 1);
            let class = String::from_utf8_lossy(&body).as_ref().into();
            let ask = AskId { handle, cursor, attempt: 1 };
            let commands = [
                Command::Launch { handle, class, arg: body.clone(), timeout },
                Command::Deliver { handle, cursor, due: Duration::MAX, reply: CallReply::read(ask, 1, body) },
                Command::Freeze { handle },
                Command::Thaw { handle },
                Command::Forgo { handle, cursor },
                Command::Sample { ticket: 1 },
                Command::Sync,
                Command::Acknowledge(3),
            ];
            for command in commands {
                let mut out = String::new();
                agent::encode(LinkId(1), &command, &mut out);
                assert!(out.ends_with('\n') && out.matches('\n').count() == 1 && json::parse(&out).is_ok());
            }
        }
    }
}

/// The lines that an agent sends to a link that asks for all notices behind `cursor`.
fn told_behind(bytes: &[u8], cursor: u64) -> Vec<u8> {
    let is_read = |line: &&[u8]| {
        let text = std::str::from_utf8(line.strip_suffix(b"\n").unwrap_or(line)).unwrap_or_default();
        agent::parse(text).is_ok_and(|ParsedNotice { cursor: own, .. }| own.is_some_and(|own| own <= cursor))
    };
    bytes.split_inclusive(|b| *b == b'\n').filter(|line| !is_read(line)).collect::<Vec<_>>().concat()
}

/// What the reducer may be told: figures within reason, or its sums of times overflow.
fn plausible(notice: &Notice) {
    let day = Duration::from_secs(86_400);
    match notice {
        Notice::Greeting { uptime, .. } => assert!(*uptime <= 400 * day, "{notice:?}"),
        Notice::Outcome { duration: Some(duration), .. } => assert!(*duration <= day, "{notice:?}"),
        Notice::CallNeeded { cursor, .. } => assert!(*cursor > 0 && *cursor < 1 << 53, "{notice:?}"),
        Notice::Sampled { figures, .. } => assert!(figures.iter().all(|f| f.is_finite()), "{notice:?}"),
        _ => {}
    }
}

/// The vault's replies.
pub fn replies(bytes: &[u8]) {
    let all = in_pieces(bytes, |pieces| {
        let mut replies = ReplyParser::default();
        read(ReplyParser::new_buffer(), pieces, |lines| replies.next_reply(lines))
    });
    // What was read is what the bytes say, byte for byte, one reply behind the other.
    let mut rest = bytes;
    for Reply { handle, end, body } in &all {
        let written = match body {
            Some(body) => [format!("{handle} yes {}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat(),
            None => format!("{handle} {}\r\n", end.as_str()).into_bytes(),
        };
        rest = rest.strip_prefix(&written[..]).expect("another reply than the bytes say");
    }
    // What stands behind a reply is taken for the beginning of another one only where that can still come.
    let cut = bytes.len() / 2;
    if all.len() > 1 {
        assert_eq!(check_bytes_behind(bytes).is_ok(), check_bytes_behind(rest).is_ok());
    }
    if check_bytes_behind(bytes).is_ok() {
        assert!(check_bytes_behind(&bytes[..cut]).is_ok(), "valid up to a later byte");
    }
}

/// How deep a document is that was read.
fn depth(value: &JsonValue) -> usize {
    let of = |values: &mut dyn Iterator<Item = &JsonValue>| 1 + values.map(depth).max().unwrap_or(0);
    match value {
        JsonValue::Array(items) => of(&mut items.iter()),
        JsonValue::Object(members) => of(&mut members.values()),
        _ => 0,
    }
}

/// What two versions tell each other: what is understood is said again in the same words.
pub fn handover(bytes: &[u8]) {
    let parse = |lines: &mut LineDecoder| match lines.next_line() {
        Ok(Some(line)) => {
            handover::parse(&line).map(|heard| Some((line, heard))).map_err(|error| error.to_string())
        }
        Ok(None) => Ok(None),
        Err(error) => Err(error.to_string()),
    };
    for (line, heard) in
        in_pieces(bytes, |pieces| read(LineDecoder::new(MAX_LINE, LineEnd::LineFeed), pieces, parse))
    {
        let word = match heard.clone() {
            ReceivedMessage::Request(request) => HandoverMessage::Request(request),
            ReceivedMessage::Succession(Succession::Key(key)) => HandoverMessage::Keys(vec![key], false),
            // The time of such a line is for processes of earlier versions: it is not part of the message.
            ReceivedMessage::Succession(Succession::PastRun(_)) => continue,
            ReceivedMessage::Succession(Succession::KeysComplete { standby }) => {
                HandoverMessage::Keys(Vec::new(), standby)
            }
            ReceivedMessage::Succession(Succession::KeyResolved { key, ran, result }) => {
                HandoverMessage::KeyResolved(key, ran, result)
            }
            ReceivedMessage::Succession(Succession::ForwardedAnswer { conn, answer }) => {
                HandoverMessage::Answer(conn, Arc::new(answer))
            }
            ReceivedMessage::Succession(_) => HandoverMessage::Begin,
        };
        let lines: Vec<_> = word.into_lines().collect();
        let again = handover::parse(lines[0].trim_end_matches('\n'));
        assert_eq!(again, Ok(heard.clone()), "{lines:?}");
        let is_answer = matches!(&heard, ReceivedMessage::Succession(Succession::ForwardedAnswer { .. }));
        // Requests of earlier versions have fewer fields.
        if !is_answer && !matches!(&heard, ReceivedMessage::Request(_)) {
            assert_eq!(lines[0].trim_end_matches('\n'), line, "one way to write a message");
        }
    }
}

/// Words at the console: one word a line, and an answer ends where its empty line is.
pub fn console(bytes: &[u8]) {
    let words = in_pieces(bytes, |pieces| {
        read(LineDecoder::new(256, LineEnd::Any), pieces, |lines| {
            lines.next_line().map(|line| line.map(|line| ConsoleCommand::parse(&line)))
        })
    });
    assert!(words.len() <= bytes.iter().filter(|b| **b == b'\n').count());
    // The words a strict reader finds: whole lines of at most 256 bytes, up to the first that is longer.
    let lines = bytes.split_inclusive(|b| *b == b'\n').take_while(|l| l.len() <= 257 && l.ends_with(b"\n"));
    let drains = lines.filter(|l| l.trim_ascii() == b"drain").count();
    assert!(words.iter().filter(|w| **w == ConsoleCommand::Drain).count() <= drains);
    let text = String::from_utf8_lossy(bytes);
    let (name, value) = text.split_once('=').unwrap_or(("name", &text));
    let name = name.split('\n').next().filter(|n| !n.trim().is_empty()).unwrap_or("name");
    let out = console::encode(&[(name.to_string(), value.to_string()), ("b".to_string(), "c".to_string())]);
    assert!(out.ends_with("b: c\n\n") && out.find("\n\n") == Some(out.len() - 2), "{out:?}");
}
