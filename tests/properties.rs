//! Property tests of the codecs: random values are decoded as they were encoded.

use std::sync::Arc;
use std::time::Duration;

use hopwalk::core::{
    Answer, AskId, Bytes, CallReply, Command, Handle, Key, KeyState, LinkId, Notice, Request, Succession,
    Verdict,
};
use hopwalk::net::decoder::MessageDecoder;
use hopwalk::net::fields::{Message, Parsed};
use hopwalk::net::frontend::Wire;
use hopwalk::net::handover::{parse, HandoverMessage, ReceivedMessage};
use hopwalk::net::vault::{encode_ask, ReplyParser};
use hopwalk::net::{agent, http::Http, scgi, scgi::Scgi};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// The same cases in every run, and no file with failed cases.
fn cases() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn bytes(max_len: usize) -> impl Strategy<Value = Bytes> {
    prop::collection::vec(any::<u8>(), 0..max_len).prop_map(Into::into)
}

fn key() -> impl Strategy<Value = Key> {
    "[!-~]{1,40}".prop_map(|key| Arc::from(key.as_str()))
}

prop_compose! {
    fn handle()(number in any::<u64>()) -> Handle {
        format!("{number:016x}").parse().unwrap()
    }
}

prop_compose! {
    fn request()(
        handle in handle(),
        class in "[a-z][a-z0-9.-]{0,20}",
        start in 0u64..4_000_000_000_000,
        timeout_ms in prop::option::of(1u64..3_600_000),
        caller in any::<u32>(),
        tenant in prop::option::of("[a-z][a-z0-9-]{0,20}"),
        cost in prop::option::of(1u32..3_600_000),
        size in 1u32..1_999_000,
        rank in 0u32..1_000_000,
        key in prop::option::of(key()),
        object in prop::option::of("[!-~]{1,128}"),
        body in bytes(2048),
    ) -> Request {
        Request {
            conn: 0,
            handle,
            class,
            start: Duration::from_millis(start),
            timeout: timeout_ms.map(Duration::from_millis),
            caller,
            tenant: tenant.map(Into::into),
            cost: cost.map(|us| Duration::from_secs_f64(f64::from(us) / 1000.0 / 1000.0)),
            size_kb: f64::from(size) / 1000.0,
            rank: f64::from(rank) / 1_000_000.0,
            key,
            object: object.map(Into::into),
            body,
        }
    }
}

/// The header fields of a request, as a client sends them.
fn fields(r: &Request) -> Vec<(&'static str, String)> {
    let mut all = vec![
        ("X-Request-Id", r.handle.to_string()),
        ("X-Request-Start", r.start.as_millis().to_string()),
        ("X-Caller", r.caller.to_string()),
        ("X-Memory-Kb", r.size_kb.to_string()),
        ("X-Rank", r.rank.to_string()),
    ];
    all.extend(r.timeout.map(|p| ("X-Timeout-Ms", p.as_millis().to_string())));
    all.extend(r.tenant.as_ref().map(|t| ("X-Tenant", t.to_string())));
    all.extend(
        r.cost.map(|c| ("X-Cost-Ms", format!("{}.{:03}", c.as_micros() / 1000, c.as_micros() % 1000))),
    );
    all.extend(r.key.as_ref().map(|k| ("Idempotency-Key", k.to_string())));
    all.extend(r.object.as_ref().map(|o| ("X-Object", o.to_string())));
    all
}

/// Decodes one message that arrives in pieces of the given length.
fn decode(wire: impl Wire, bytes: &[u8], piece_len: usize) -> Message {
    let mut decoder = MessageDecoder::new(wire);
    for piece in bytes.chunks(piece_len) {
        decoder.buffer_mut().extend(piece);
        if let Some((message, taken)) = decoder.next_message().unwrap() {
            assert_eq!(taken, bytes.len());
            return message;
        }
    }
    panic!("no whole message");
}

fn into_request(message: Message) -> Request {
    match message.parsed {
        Parsed::Request(request) => *request,
        Parsed::HealthCheck { .. } => panic!("this is a check"),
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn a_request_is_decoded_alike_on_both_frontends(r in request(), piece_len in 1usize..600) {
        let lines: String = fields(&r).iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
        let head = format!("POST /do/{} HTTP/1.1\r\nContent-Length: {}\r\n{lines}\r\n", r.class, r.body.len());
        prop_assert_eq!(&into_request(decode(Http, &[head.as_bytes(), &r.body].concat(), piece_len)), &r);

        let uri = format!("/do/{}", r.class);
        let upper = |name: &str| format!("HTTP_{}", name.to_ascii_uppercase().replace('-', "_"));
        let scgi_fields: Vec<_> = fields(&r).into_iter().map(|(name, value)| (upper(name), value)).collect();
        let mut all = vec![("REQUEST_METHOD", "POST"), ("REQUEST_URI", uri.as_str())];
        all.extend(scgi_fields.iter().map(|(name, value)| (name.as_str(), value.as_str())));
        prop_assert_eq!(&into_request(decode(Scgi, &scgi::encode_request(&all, &r.body), piece_len)), &r);
    }

    #[test]
    fn handover_messages_are_decoded_as_sent(
        r in request(),
        key in key(),
        digest in any::<u64>(),
        until in 0u64..u64::MAX / 2,
        open in any::<bool>(),
        result in prop::option::of(bytes(4096)),
    ) {
        let line = |word: HandoverMessage| word.into_lines().next().unwrap().trim_end_matches('\n').to_string();
        let state = KeyState { key: key.clone(), digest, until: Duration::from_micros(until), open, result: result.clone() };
        let decoded = parse(&line(HandoverMessage::Keys(vec![state.clone()], open)));
        prop_assert_eq!(decoded, Ok(ReceivedMessage::Succession(Succession::Key(state))));
        let settled = Succession::KeyResolved { key: key.clone(), ran: open, result: result.clone() };
        prop_assert_eq!(
            parse(&line(HandoverMessage::KeyResolved(key, open, result))),
            Ok(ReceivedMessage::Succession(settled))
        );
        prop_assert_eq!(
            parse(&line(HandoverMessage::Request(Box::new(r.clone())))),
            Ok(ReceivedMessage::Request(Box::new(r)))
        );
    }

    #[test]
    fn a_notice_body_is_decoded_as_sent(handle in handle(), cursor in 1u64..1 << 53, body in bytes(4096)) {
        // The encoder for commands to the agent provides the base64 text of the notice.
        let mut out = String::new();
        let reply = CallReply::read(AskId { handle, cursor, attempt: 1 }, 1, body.clone());
        agent::encode(LinkId(1), &Command::Deliver { handle, cursor, due: Duration::MAX, reply }, &mut out);
        let line = out.replace("\"deliver\"", &format!("\"request\",\"cursor\":{cursor}"));
        let agent::ParsedNotice { cursor: number, notice } = agent::parse(line.trim_end()).unwrap();
        prop_assert_eq!(number, Some(cursor));
        let Some(Notice::CallNeeded { handle: decoded_handle, body: decoded_body, .. }) = notice else {
            panic!("{notice:?}")
        };
        prop_assert_eq!((decoded_handle, decoded_body), (handle, body));
    }

    #[test]
    fn a_reply_body_is_decoded_as_sent(handle in handle(), body in bytes(2048), piece_len in 1usize..600) {
        // Calls and replies encode their bodies alike, so the encoded call provides the body of the reply.
        let ask = encode_ask(handle, Duration::from_millis(1), &body, None);
        let head = format!("ask {handle} 1 {}", body.len());
        let reply = [format!("{handle} yes {}", body.len()).as_bytes(), &ask[head.len()..]].concat();
        let (mut lines, mut replies, mut read) = (ReplyParser::new_buffer(), ReplyParser::default(), Vec::new());
        for piece in reply.chunks(piece_len) {
            lines.buffer_mut().extend(piece);
            read.extend(replies.next_reply(&mut lines).unwrap());
        }
        prop_assert_eq!(read.len(), 1);
        prop_assert_eq!((read[0].handle, read[0].body.as_ref()), (handle, Some(&body)));
    }

    #[test]
    fn an_scgi_answer_is_decoded_as_sent(body in bytes(4096), signal in prop::option::of(0.0f64..2.0)) {
        let answer = Answer { verdict: Verdict::Served(body.clone()), signal, close: false };
        let written = Scgi.encode(&answer, true);
        let (_, read) = scgi::parse_response(&written).unwrap();
        prop_assert_eq!(read, Some(body));
        for cut in [written.len() - 1, written.len() / 2] {
            prop_assert!(cut >= written.len() || scgi::parse_response(&written[..cut]).is_err());
        }
    }
}
