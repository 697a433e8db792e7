//! Messages with a head and a body: both fronts and the operators' door.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use arbitrary::Unstructured;
use hopwalk::core::{Handle, Request};
use hopwalk::net::admin::AdminHttp;
use hopwalk::net::decoder::{Framing, MessageDecoder};
use hopwalk::net::fields::{Message, Parsed, RequestError, MAX_BODY};
use hopwalk::net::http::{Http, BYTES_BEHIND};
use hopwalk::net::scgi::{encode_request, Scgi};

use crate::alloc::most_held;

/// All messages, how much each took, how it ended, and what it cost.
struct Read<M> {
    messages: Vec<(M, usize)>,
    bad: Option<RequestError>,
    /// A message is whole, and what follows does not tell yet whether it may.
    is_undecided: bool,
    work: u64,
}

impl<M: Debug> Read<M> {
    fn shown(&self) -> String {
        format!("{:?} {:?}", self.messages, self.bad)
    }
}

fn read<'a, F: Framing>(framing: F, pieces: impl IntoIterator<Item = &'a [u8]>) -> Read<F::Message> {
    let mut decoder = MessageDecoder::new(framing);
    let (mut messages, mut bad) = (Vec::new(), None);
    'pieces: for piece in pieces {
        decoder.buffer_mut().extend_from_slice(piece);
        loop {
            match decoder.next_message() {
                Ok(Some(message)) => messages.push(message),
                Ok(None) => break,
                Err(what) => {
                    bad = Some(what);
                    break 'pieces;
                }
            }
        }
    }
    let (work, is_undecided) = (decoder.bytes_processed(), bad.is_none() && decoder.is_undecided());
    Read { messages, bad: bad.or_else(|| decoder.finish()), is_undecided, work }
}

/// Every way of cutting the bytes gives the same messages at a cost that grows with their length alone. `same` tells
/// whether two readings agree.
fn in_pieces<F: Framing>(
    framing: F,
    bytes: &[u8],
    same: impl Fn(&Read<F::Message>, &Read<F::Message>) -> bool,
) where
    F::Message: Debug,
{
    let (whole, held) = most_held(|| read(framing, [bytes]));
    assert!(held <= 8 * bytes.len() + 16_384, "{held} bytes held for {} read", bytes.len());
    let messages = whole.messages.len() as u64 + 1;
    let bound =
        |read: &Read<F::Message>| 8 * bytes.len() as u64 + 64 * messages.max(read.messages.len() as u64);
    let check = |way: &str, read: Read<F::Message>| {
        assert!(same(&whole, &read), "{way}:\n{}\nwhole:\n{}", read.shown(), whole.shown());
        assert!(read.work <= bound(&read), "{way}: {} looked at for {} bytes", read.work, bytes.len());
    };
    check("byte by byte", read(framing, bytes.chunks(1)));
    let stride = bytes.len() / 48 + 1;
    for at in (1..bytes.len()).step_by(stride) {
        check("in two", read(framing, [&bytes[..at], &bytes[at..]]));
    }
    check("in three", read(framing, bytes.chunks(bytes.len() / 3 + 1)));
    let taken: usize = whole.messages.iter().map(|(_, taken)| taken).sum();
    assert!(taken <= bytes.len());
}

fn all_the_same<M: Debug>(a: &Read<M>, b: &Read<M>) -> bool {
    a.shown() == b.shown()
}

/// Requests over HTTP.
pub fn http(bytes: &[u8]) {
    // A request is refused for bytes behind it that begin no other one, or waits for more of them, if they are there when
    // it is whole.
    let same = |whole: &Read<Message>, cut: &Read<Message>| match &whole.bad {
        bad if whole.is_undecided || bad.is_some_and(|bad| bad.reason == BYTES_BEHIND) => {
            let shown =
                |read: &Read<Message>| read.messages.iter().map(|m| format!("{m:?}")).collect::<Vec<_>>();
            let was_taken = cut.messages.len() > whole.messages.len();
            (was_taken || cut.bad == whole.bad) && shown(cut).starts_with(&shown(whole))
        }
        _ => all_the_same(whole, cut),
    };
    in_pieces(Http, bytes, same);
    let once = read(Http, [bytes]);
    let mut rest = bytes;
    for (message, taken) in &once.messages {
        let (this, behind) = rest.split_at(*taken);
        unambiguous(this, message);
        rest = behind;
        if let Parsed::Request(request) = &message.parsed {
            assert_eq!(message.consumed, *taken);
            agree(request);
        }
    }
    if once.bad.is_none() && rest.is_empty() && !once.messages.is_empty() && !once.is_undecided {
        // What was read whole reads the same when it comes again behind itself.
        let twice = read(Http, [bytes, bytes]);
        let shown = |read: &Read<Message>| read.messages.iter().map(|m| format!("{m:?}")).collect::<Vec<_>>();
        assert_eq!(shown(&twice), [shown(&once), shown(&once)].concat());
    }
}

/// Reads an accepted message as a strict server on the way would: line by line, with nothing left to taste.
fn unambiguous(bytes: &[u8], message: &Message) {
    let start = bytes.iter().position(|b| !b"\r\n".contains(b)).expect("a head");
    let end = bytes.windows(4).skip(start).position(|w| w == b"\r\n\r\n").expect("the end of a head") + start;
    let head = &bytes[..end + 4];
    assert!(!head.windows(2).any(|pair| pair[1] == b'\n' && pair[0] != b'\r'), "a line feed alone");
    let mut lines = bytes[start..end].split(|b| *b == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l));
    let mut lengths = Vec::new();
    let first = lines.next().expect("a first line");
    assert!(first.split(|b| *b == b' ').filter(|w| !w.is_empty()).count() == 3, "a line of three words");
    for line in lines {
        assert!(!line.iter().any(|b| [0, b'\r', b'\n'].contains(b)), "a control byte in a field");
        assert!(!line.starts_with(b" ") && !line.starts_with(b"\t"), "a folded line");
        let colon = line.iter().position(|b| *b == b':').expect("a colon");
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        assert!(!name.is_empty() && name.iter().all(|b| b.is_ascii_graphic()), "a blank before a colon");
        assert!(!name.eq_ignore_ascii_case(b"transfer-encoding"), "two framings");
        if name.eq_ignore_ascii_case(b"content-length") {
            assert!(
                !value.is_empty() && value.iter().all(u8::is_ascii_digit),
                "a length of other than digits"
            );
            lengths.push(std::str::from_utf8(value).unwrap().parse::<usize>().expect("a length that fits"));
        }
    }
    lengths.dedup();
    assert!(lengths.len() <= 1, "two lengths");
    assert_eq!(bytes.len(), end + 4 + lengths.first().copied().unwrap_or(0), "the message ends elsewhere");
    if let Parsed::Request(request) = &message.parsed {
        assert_eq!(&request.body[..], &bytes[end + 4..]);
    }
}

/// Requests over SCGI.
pub fn scgi(bytes: &[u8]) {
    // One request is made on a connection. Bytes behind it are an error if they are there when it is whole, and
    // never looked at if they come later.
    let same = |whole: &Read<Message>, cut: &Read<Message>| match (&whole.bad, cut.messages.first()) {
        (Some(bad), Some(_)) => bad.reason == "the body is longer than CONTENT_LENGTH",
        _ => {
            whole.messages.first().map(|m| format!("{m:?}")) == cut.messages.first().map(|m| format!("{m:?}"))
                && whole.bad == cut.bad
        }
    };
    let one = first_message(bytes);
    in_pieces(Scgi, one, same);
    if let Some((message, taken)) = read(Scgi, [one]).messages.first() {
        let body = strict_scgi(&one[..*taken]);
        if let Parsed::Request(request) = &message.parsed {
            assert_eq!(&request.body[..], body);
            agree(request);
        }
    }
}

/// Reads an accepted request as the page of the protocol words it; returns its body.
fn strict_scgi(bytes: &[u8]) -> &[u8] {
    let colon = bytes.iter().position(|b| *b == b':').expect("a colon");
    let len: usize = std::str::from_utf8(&bytes[..colon]).unwrap().parse().expect("a length");
    assert!(bytes[0] != b'0' && bytes[0] != b'+', "a length of other than digits");
    let (block, rest) = bytes[colon + 1..].split_at(len);
    assert!(block.ends_with(b"\0") && rest[0] == b',', "a block that does not end where its length says");
    let parts: Vec<&[u8]> = block[..len - 1].split(|b| *b == 0).collect();
    assert!(parts.len().is_multiple_of(2), "a field without a value");
    let fields: Vec<(&[u8], &[u8])> = parts.chunks(2).map(|pair| (pair[0], pair[1])).collect();
    let values = |name: &[u8]| fields.iter().filter(|(n, _)| *n == name).map(|(_, v)| *v).collect::<Vec<_>>();
    assert_eq!(fields[0].0, b"CONTENT_LENGTH");
    assert_eq!(values(b"SCGI"), [b"1"]);
    let lengths = values(b"CONTENT_LENGTH");
    assert!(lengths.len() == 1 && lengths[0].iter().all(u8::is_ascii_digit), "{lengths:?}");
    for name in [&b"REQUEST_METHOD"[..], b"REQUEST_URI", b"HTTP_X_REQUEST_ID", b"HTTP_IDEMPOTENCY_KEY"] {
        let mut values = values(name);
        values.dedup();
        assert!(values.len() <= 1, "two values for one name");
    }
    let body = &rest[1..];
    assert_eq!(body.len(), std::str::from_utf8(lengths[0]).unwrap().parse::<usize>().unwrap());
    body
}

/// Up to the end of the first request when it comes byte by byte, and one byte more: a front reads no second one.
fn first_message(bytes: &[u8]) -> &[u8] {
    let mut decoder = MessageDecoder::new(Scgi);
    for (at, byte) in bytes.iter().enumerate() {
        decoder.buffer_mut().push(*byte);
        match decoder.next_message() {
            Ok(None) => {}
            Ok(Some(_)) => return &bytes[..(at + 2).min(bytes.len())],
            Err(_) => return bytes,
        }
    }
    bytes
}

/// Calls of operators.
pub fn door(bytes: &[u8]) {
    in_pieces(AdminHttp, bytes, all_the_same);
}

/// The fields of a request as a caller would write them.
fn fields_of(request: &Request) -> Vec<(&'static str, String)> {
    let mut fields = vec![
        ("X-Request-Id", request.handle.to_string()),
        ("X-Request-Start", request.start.as_millis().to_string()),
        ("X-Caller", request.caller.to_string()),
        ("X-Rank", request.rank.to_string()),
    ];
    fields.extend(request.timeout.map(|p| ("X-Timeout-Ms", p.as_millis().to_string())));
    fields.extend((request.size_kb > 0.0).then(|| ("X-Memory-Kb", request.size_kb.to_string())));
    fields.extend(request.key.as_ref().map(|key| ("Idempotency-Key", key.to_string())));
    fields.extend(request.tenant.as_ref().map(|t| ("X-Tenant", t.to_string())));
    let ms = |cost: Duration| format!("{}.{:06}", cost.as_millis(), cost.as_nanos() % 1_000_000);
    fields.extend(request.cost.map(|cost| ("X-Cost-Ms", ms(cost))));
    fields.extend(request.object.as_ref().map(|o| ("X-Object", o.to_string())));
    fields
}

/// A request that was read comes out the same when it is written for either front and read there.
fn agree(request: &Request) {
    let fields = fields_of(request);
    let text = |s: &str| s.chars().all(|c| !c.is_control()) && s.trim() == s;
    let key_is_text = request.key.as_ref().is_none_or(|key| text(key));
    let in_target = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    if key_is_text && !request.class.is_empty() && request.class.bytes().all(in_target) {
        let head: String = fields.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let (class, len) = (&request.class, request.body.len());
        let head = format!("POST /do/{class} HTTP/1.1\r\nContent-Length: {len}\r\n{head}\r\n");
        same_request(request, read(Http, [head.as_bytes(), &request.body]));
    }
    if !request.class.contains(['\0', '?']) && request.key.as_ref().is_none_or(|k| !k.contains('\0')) {
        let uri = format!("/do/{}", request.class);
        let named = fields.iter().map(|(name, value)| {
            (format!("HTTP_{}", name.to_ascii_uppercase().replace('-', "_")), value.as_str())
        });
        let named: Vec<_> = named.collect();
        let mut all = vec![("REQUEST_METHOD", "POST"), ("REQUEST_URI", uri.as_str())];
        all.extend(named.iter().map(|(name, value)| (name.as_str(), *value)));
        same_request(request, read(Scgi, [&encode_request(&all, &request.body)[..]]));
    }
}

fn same_request(request: &Request, read: Read<Message>) {
    let [(Message { parsed: Parsed::Request(again), .. }, _)] = &read.messages[..] else {
        panic!("{request:?} is read as {}", read.shown());
    };
    assert_eq!(**again, *request);
}

/// Requests made of their parts, written for both fronts.
pub fn fields(bytes: &[u8]) {
    let _ = made(&mut Unstructured::new(bytes)).map(|request| agree(&request));
}

fn made(u: &mut Unstructured) -> arbitrary::Result<Request> {
    let key: Option<String> = u.arbitrary()?;
    let key = key.filter(|k| !k.is_empty() && k.len() <= 256 && k.trim() == k).map(Arc::from);
    let class: String = u.arbitrary()?;
    let handle: Handle = format!("{:016x}", u.arbitrary::<u64>()?).parse().expect("16 digits");
    let body: Vec<u8> = u.arbitrary()?;
    let rank = f64::from(u.arbitrary::<u32>()?) / (f64::from(u32::MAX) + 1.0);
    Ok(Request {
        conn: 0,
        handle,
        class,
        start: Duration::from_millis(u.arbitrary()?),
        timeout: u.arbitrary::<Option<u16>>()?.map(|ms| Duration::from_millis(u64::from(ms) + 1)),
        caller: u.arbitrary()?,
        tenant: None,
        cost: None,
        size_kb: f64::from(u.arbitrary::<u16>()?) / 64.0,
        rank,
        key,
        object: u.arbitrary::<bool>()?.then(|| "7f3a9c21e0b4d655".into()),
        body: body[..body.len().min(MAX_BODY)].into(),
    })
}
