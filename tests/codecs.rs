//! Tests of the codecs (HTTP, SCGI, agent, vault, control plane, handover, settings) on bytes, without I/O.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use hopwalk::core::{Answer, Command, End, LinkId, Notice, Verdict};
use hopwalk::fleet::routes::Fence;
use hopwalk::interface::Dependency;
use hopwalk::net::decoder::MessageDecoder;
use hopwalk::net::error::ResponseError;
use hopwalk::net::fields::{Message, Parsed, RequestError};
use hopwalk::net::frontend::Wire;
use hopwalk::net::{agent, control, http::Http, scgi, scgi::Scgi, vault};
use hopwalk::settings::{Appliance, Config, ConfigError, Site};
use rstest::rstest;

const SITE: &str = include_str!("../src/lab/site.json");
const HEAD: &str =
    "X-Request-Id: 9b1f03aa5c7e2d41\r\nX-Request-Start: 1764576000123\r\nX-Memory-Kb: 24.5\r\n";

fn http(start: &str, fields: &str, body: &str) -> Vec<u8> {
    format!("{start} HTTP/1.1\r\nHost: app.svc\r\n{HEAD}{fields}\r\n{body}").into_bytes()
}

fn scgi_request(fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut all = vec![
        ("REQUEST_METHOD", "POST"),
        ("REQUEST_URI", "/do/lobby-confirm"),
        ("HTTP_X_REQUEST_ID", "9b1f03aa5c7e2d41"),
        ("HTTP_X_REQUEST_START", "1764576000123"),
    ];
    all.extend(fields);
    scgi::encode_request(&all, body)
}

fn request(message: Message) -> hopwalk::core::Request {
    match message.parsed {
        Parsed::Request(request) => *request,
        Parsed::HealthCheck { .. } => panic!("this is a check"),
    }
}

/// Decodes input that arrives in one piece.
fn read_at_once(wire: impl Wire, bytes: &[u8]) -> Result<Option<Message>, RequestError> {
    let mut decoder = MessageDecoder::new(wire);
    decoder.buffer_mut().extend(bytes);
    decoder.next_message().map(|message| message.map(|(message, _)| message))
}

/// Decodes a message that arrives byte by byte: it must be complete with its last byte, and not before.
fn read_bytewise(wire: impl Wire, bytes: &[u8]) -> Message {
    let mut decoder = MessageDecoder::new(wire);
    for (len, byte) in bytes.iter().enumerate() {
        assert!(decoder.next_message().unwrap().is_none(), "read whole after {len} bytes");
        decoder.buffer_mut().push(*byte);
    }
    let (message, _) = decoder.next_message().unwrap().expect("a whole message");
    assert_eq!(message.consumed, bytes.len());
    message
}

#[rstest]
#[case("X-Object: match 7\r\n", Ok(Some("match 7")))]
#[case("X-Object:\r\n", Ok(None))]
#[case("", Ok(None))]
#[case("X-Object: a\r\nX-Object: b\r\n", Ok(Some("a")))]
#[case("X-Object: a\r\nX-Object:\r\n", Err(()))]
fn x_object_is_truncated_and_kept(#[case] field: &str, #[case] expected: Result<Option<&str>, ()>) {
    let message = read_at_once(Http, &http("POST /do/a", &format!("Content-Length: 0\r\n{field}"), ""));
    let object = message.map(|m| request(m.unwrap()).object).map_err(|_| ());
    assert_eq!(object.as_ref().map(|o| o.as_deref()).map_err(|_| ()), expected);
    // Guards against a client that decides how much memory is used: a value of any length is accepted, and only its
    // first bytes are kept.
    let long = "\u{e9}".repeat(300);
    let message =
        read_at_once(Http, &http("POST /do/a", &format!("Content-Length: 0\r\nX-Object: x{long}\r\n"), ""));
    assert_eq!(request(message.unwrap().unwrap()).object.unwrap().len(), 127, "no character is cut");
}

#[test]
fn both_frontends_decode_the_same_request() {
    let fields =
        "X-Timeout-Ms: 480\r\nX-Caller: 4\r\nX-Rank: 0.625\r\nIdempotency-Key: 5c0f\r\nContent-Length: 3\r\n";
    let over_http = request(read_bytewise(Http, &http("POST /do/lobby-confirm", fields, "a\0b")));
    let pairs = [
        ("HTTP_X_TIMEOUT_MS", "480"),
        ("HTTP_X_CALLER", "4"),
        ("HTTP_X_RANK", "0.625"),
        ("HTTP_X_MEMORY_KB", "24.5"),
        ("HTTP_IDEMPOTENCY_KEY", "5c0f"),
    ];
    let over_scgi = request(read_bytewise(Scgi, &scgi_request(&pairs, b"a\0b")));
    assert_eq!(format!("{over_http:?}"), format!("{over_scgi:?}"));
    assert_eq!(over_http.timeout, Some(Duration::from_millis(480)));
    assert_eq!((&over_http.body[..], over_http.key.as_deref()), (&b"a\0b"[..], Some("5c0f")));
}

#[rstest]
#[case::no_http("GARBAGE\r\n\r\n".into(), 400)]
#[case::length_no_number(http("POST /do/a", "Content-Length: +3\r\n", "abc"), 400)]
#[case::two_lengths(http("POST /do/a", "Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400)]
#[case::chunked(http("POST /do/a", "Transfer-Encoding: chunked\r\n", ""), 411)]
#[case::large_body(http("POST /do/a", "Content-Length: 2049\r\n", ""), 413)]
#[case::huge_length(http("POST /do/a", "Content-Length: 99999999999999999999\r\n", ""), 400)]
#[case::large_head(http("POST /do/a", &format!("X-Pad: {}\r\n", "x".repeat(9000)), ""), 431)]
#[case::many_fields(http("POST /do/a", &"X-Pad: 1\r\n".repeat(80), ""), 431)]
#[case::rank(http("POST /do/a", "X-Rank: 1.0\r\n", ""), 400)]
#[case::size(http("POST /do/a", "X-Memory-Kb: 0\r\n", ""), 400)]
#[case::tenant_empty(http("POST /do/a", "X-Tenant: \r\n", ""), 400)]
#[case::tenant_long(http("POST /do/a", &format!("X-Tenant: {}\r\n", "t".repeat(257)), ""), 400)]
#[case::tenant_twice(http("POST /do/a", "X-Tenant: a\r\nX-Tenant: b\r\n", ""), 400)]
#[case::cost_negative(http("POST /do/a", "X-Cost-Ms: -1\r\n", ""), 400)]
#[case::cost_infinite(http("POST /do/a", "X-Cost-Ms: inf\r\n", ""), 400)]
#[case::cost_exponent(http("POST /do/a", "X-Cost-Ms: 1e300\r\n", ""), 400)]
#[case::cost_large(http("POST /do/a", "X-Cost-Ms: 3600001\r\n", ""), 400)]
#[case::size_nan(http("POST /do/a", "X-Memory-Kb: NaN\r\n", ""), 400)]
#[case::timeout(http("POST /do/a", "X-Timeout-Ms: -5\r\n", ""), 400)]
#[case::id(http("POST /do/a", "X-Request-Id: 12\r\n", ""), 400)]
#[case::path(http("POST /nowhere", "", ""), 404)]
#[case::method(http("DELETE /do/a", "", ""), 405)]
#[case::no_id(b"POST /do/a HTTP/1.1\r\n\r\n".to_vec(), 400)]
fn invalid_http_is_rejected_with_its_status(#[case] bytes: Vec<u8>, #[case] status: u16) {
    assert_eq!(read_at_once(Http, &bytes).unwrap_err().status, status);
}

#[rstest]
#[case::no_length(b"GET / HTTP/1.1\r\n\r\n".to_vec(), 400)]
#[case::leading_zero(b"012:".to_vec(), 400)]
#[case::endless_digits(b"123456789".to_vec(), 400)]
#[case::large(b"9999:".to_vec(), 431)]
#[case::length_too_small(b"9:CONTENT_LENGTH\x000\0SCGI\x001\0,".to_vec(), 400)]
#[case::no_scgi(b"17:CONTENT_LENGTH\x000\0,".to_vec(), 400)]
#[case::length_not_first(b"24:SCGI\x001\0CONTENT_LENGTH\x000\0,".to_vec(), 400)]
#[case::no_value(b"22:CONTENT_LENGTH\x000\0SCGI\0,".to_vec(), 400)]
#[case::not_ended(b"18:CONTENT_LENGTH\x000\0S,".to_vec(), 400)]
#[case::large_body(scgi_request(&[], &[0; 2049]), 413)]
#[case::long_body([scgi_request(&[], b"abc"), b"d".to_vec()].concat(), 400)]
#[case::length_twice(scgi_request(&[("CONTENT_LENGTH", "3")], b"abc"), 400)]
fn invalid_scgi_is_rejected_with_its_status(#[case] bytes: Vec<u8>, #[case] status: u16) {
    assert_eq!(read_at_once(Scgi, &bytes).unwrap_err().status, status);
}

#[rstest]
#[case("/check", false)]
#[case("/check?deep=1", true)]
fn a_health_check_may_be_deep(#[case] target: &str, #[case] is_deep: bool) {
    let message = read_at_once(Http, format!("GET {target} HTTP/1.1\r\n\r\n").as_bytes()).unwrap().unwrap();
    assert!(matches!(message.parsed, Parsed::HealthCheck { deep } if deep == is_deep));
}

#[test]
fn a_refusal_is_encoded_alike_on_both_frontends() {
    let verdict = Verdict::Refused { retry_after: Duration::from_millis(250), no_retry: true };
    let answer = Answer { verdict, signal: Some(0.25), close: false };
    let fields = "X-Load-Signal: 0.2500\r\nRetry-After-Ms: 250\r\nX-Dont-Retry: 1\r\n";
    let http = format!("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n{fields}\r\n");
    assert_eq!(String::from_utf8(Http.encode(&answer, false)).unwrap(), http);
    let scgi = format!("Status: 503 Service Unavailable\r\nContent-Length: 0\r\n{fields}\r\n");
    assert_eq!(String::from_utf8(Scgi.encode(&answer, true)).unwrap(), scgi);
    let error = String::from_utf8(Http.encode_error(RequestError { status: 413, reason: "x" })).unwrap();
    assert!(error.starts_with("HTTP/1.1 413 ") && error.contains("Connection: close\r\n"), "{error}");
}

#[rstest]
#[case(b"Status: 200 OK\r\nContent-Length: 2\r\n\r\nhi", End::Complete)]
#[case(b"Content-Type: a/b\n\nhi", End::Complete)]
#[case(b"Status: 200 OK\r\nContent-Length: 5\r\n\r\nhi", End::Broken)]
#[case(b"Status: 200 OK\r\nContent-", End::Broken)]
#[case(b"", End::Broken)]
#[case(b"Status: 200 OK\r\nContent-Length: 1\r\n\r\nhi", End::Malformed)]
#[case(b"Status: what\r\n\r\n", End::Malformed)]
#[case(b"Statux: 500 Oops\r\n\r\nhi", End::Malformed)]
#[case(b"Status: 500 Oops\r\nStatus: 200 OK\r\n\r\nhi", End::Malformed)]
#[case(b"Status: +200 OK\r\n\r\nhi", End::Malformed)]
#[case(b"Status: 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nhi", End::Malformed)]
#[case(b"Status: 200 OK\r\nContent-Length: +2\r\n\r\nhi", End::Malformed)]
#[case(b"Status: 200 OK\nContent-Length: 2\r\n\r\nhi", End::Malformed)]
#[case(b"Status: 200 OK\nContent-Length: 2\n\nhi", End::Complete)]
#[case(b"Status: 503 Busy\r\n\r\n", End::NotNow)]
#[case(b"Status: 500 Oops\r\n\r\n", End::Failed)]
fn a_service_response_gives_the_end_of_the_call(#[case] bytes: &[u8], #[case] end: End) {
    let (ended, body) = scgi::parse_response(bytes).unwrap_or_else(|error| (error.end(), None));
    assert_eq!(ended, end);
    assert_eq!(body.as_deref(), (end == End::Complete).then_some(&b"hi"[..]));
}

#[test]
fn agent_commands_and_notices() {
    let handle = "9b1f03aa5c7e2d41".parse().unwrap();
    let mut out = String::new();
    let arg = Arc::from(*b"\xff\0");
    let timeout = Duration::ZERO;
    agent::encode(LinkId(1), &Command::Launch { handle, class: "b".into(), arg, timeout }, &mut out);
    agent::encode(LinkId(1), &Command::Forgo { handle, cursor: 9 }, &mut out);
    let launch = r#"{"event":"launch","handle":"9b1f03aa5c7e2d41","entry":"b","arg":"/wA="}"#;
    assert_eq!(
        out,
        format!("{launch}\n{{\"event\":\"forgo\",\"handle\":\"9b1f03aa5c7e2d41\",\"cursor\":9}}\n")
    );
    let line = r#"{"event":"outcome","cursor":7,"handle":"9b1f03aa5c7e2d41","fate":"complete","lasted":12.5,"arg":"/wA=","new":1}"#;
    let agent::ParsedNotice { cursor, notice } = agent::parse(line).unwrap();
    let Some(Notice::Outcome { end, duration, result, .. }) = notice else { panic!("{notice:?}") };
    assert_eq!((cursor, end, duration), (Some(7), End::Complete, Some(Duration::from_micros(12_500))));
    assert_eq!(result.as_deref(), Some(&b"\xff\0"[..]));
    assert!(agent::parse(r#"{"event":"aside","cursor":8,"fate":"x"}"#).unwrap().notice.is_none());
    assert!(agent::parse(r#"{"event":"outcome","fate":"odd"}"#).is_err() && agent::parse("{").is_err());
}

#[rstest]
#[case(r#"{"event":"aside","cursor":1e300}"#, "the cursor is not a whole number in the allowed range")]
#[case(r#"{"event":"aside","cursor":1.5}"#, "the cursor is not a whole number in the allowed range")]
#[case(r#"{"event":"aside","cursor":-1}"#, "the cursor is not a whole number in the allowed range")]
#[case(
    r#"{"event":"outcome","cursor":1,"handle":"9b1f03aa5c7e2d41","fate":"error","lasted":1e20}"#,
    "the duration exceeds the limit of 1 days"
)]
fn invalid_numbers_in_agent_notices_are_rejected(#[case] line: &str, #[case] expected: &str) {
    // Guards against a cursor that makes all later notices count as already received, and against durations that
    // overflow.
    assert_eq!(agent::parse(line).unwrap_err().to_string(), expected);
}

#[rstest]
#[case("9b1f03aa5c7e2d41 yes +1", Err("byte 21: no length, but '+1'"))]
#[case("9b1f03aa5c7e2d41 yes 1 2", Err("byte 22: no length, but ' 2'"))]
#[case("9b1f03aa5c7e2d41 yes 140", Ok((End::Complete, Some(140))))]
#[case("9b1f03aa5c7e2d41 notnow", Ok((End::NotNow, None)))]
#[case("9b1f03aa5c7e2d41 overdue", Ok((End::Overdue, None)))]
#[case("9b1f03aa5c7e2d41 stale", Ok((End::Stale, None)))]
#[case("9b1f03aa5c7e2d41 stale 3", Err("byte 17: no known word, but 'stale '"))]
#[case("9b1f03aa5c7e2d41 yes", Err("byte 20: no single space, but the end"))]
#[case("9b1f03aa5c7e2d41 yes 99999999", Err("the stated length exceeds 16384 bytes"))]
#[case("9b1f yes 1", Err("byte 4: no 16 hexadecimal digits, but ' yes 1'"))]
#[case("9b1f03aa5c7e2d41 yes -3", Err("byte 21: no length, but '-3'"))]
#[case("9b1f03aa5c7e2d41 yes ", Err("byte 21: no length, but the end"))]
#[case("9b1f03aa5c7e2d41 yes 007", Err("byte 21: no length, but '007'"))]
#[case("9b1f03aa5c7e2d41  yes 1", Err("byte 17: no known word, but ' yes 1'"))]
#[case("9b1f03aa5c7e2d41 overdue ", Err("byte 17: no known word, but 'overdu'"))]
#[case("9b1f03aa5c7e2d41 yes 0", Ok((End::Complete, Some(0))))]
#[case("9b1f03aa5c7e2d41 maybe", Err("byte 17: no known word, but 'maybe'"))]
fn vault_replies(#[case] line: &str, #[case] read: Result<(End, Option<usize>), &str>) {
    let head = vault::parse_reply_head(line).map(|head| (head.end, head.body_len));
    assert_eq!(head.map_err(|error| error.to_string()), read.map_err(str::to_string));
}

#[test]
fn encoded_calls_and_lease_reports() {
    let ask = |turn: Option<u64>| {
        let fence = turn.map(|turn| Fence { turn, version: 12 });
        vault::encode_ask("9b1f03aa5c7e2d41".parse().unwrap(), Duration::from_micros(250_900), b"x\ry", fence)
    };
    // Without routes, and before the first activation, a call is encoded without a fence.
    assert_eq!([ask(None), ask(Some(0))], [b"ask 9b1f03aa5c7e2d41 250 3\r\nx\ry\r\n"; 2]);
    assert_eq!(ask(Some(7)), b"ask 9b1f03aa5c7e2d41 250 3 7.12\r\nx\ry\r\n");
    assert_eq!(control::encode("n3", true), "lease n3 Ready");
}

#[rstest]
#[case("\"fall_multiple\": 8.0, ", "", "rules.fall_multiple: is missing")]
#[case("\"cores\": 6", "\"cores\": 1.5", "specifics.cores: is not a whole number in range")]
#[case("\"worth\": 10.0", "\"worth\": \"much\"", "profiles[2].worth: is not a number")]
#[case("\"run_factor\": 16.0", "\"run_factor\": -1", "specifics.run_factor: is negative or not finite")]
#[case("\"kb_per_key\": 117.75", "\"kb_per_key\": 1e300", "specifics.kb_per_key: is more than a petabyte")]
#[case("\"run_factor\": 16.0", "\"run_factor\": null", "specifics.run_factor: is missing")]
fn invalid_settings_name_the_key(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    assert!(SITE.contains(from));
    assert_eq!(Site::parse(&SITE.replacen(from, to, 1)).unwrap_err().to_string(), expected);
}

#[rstest]
#[case("RELAY_LISTEN", "nowhere", "RELAY_LISTEN: cannot be read from 'nowhere'")]
#[case("RELAY_NAME", "two words", "name: must be one word")]
fn invalid_environment_variables_are_named(#[case] key: &str, #[case] value: &str, #[case] expected: &str) {
    let json = format!(r#"{{"name":"n1","listen":"127.0.0.1:1","settings":{SITE},"unknown":[]}}"#);
    assert!(Config::parse(&json, &HashMap::new()).is_ok());
    let vars = HashMap::from([(key.to_string(), value.to_string())]);
    assert_eq!(Config::parse(&json, &vars).unwrap_err().to_string(), expected);
}

#[rstest]
#[case(
    r#""name": "queue-prefs""#,
    r#""name": "queue-status""#,
    "settings.profiles[1].name: is missing or used twice"
)]
#[case(r#""name": "queue-status", "#, "", "settings.profiles[0].name: is missing or used twice")]
fn classes_must_have_unique_names(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let site = SITE.replacen(from, to, 1);
    let json = format!(r#"{{"name":"n1","listen":"127.0.0.1:1","settings":{site}}}"#);
    assert_eq!(Config::parse(&json, &HashMap::new()).unwrap_err().to_string(), expected);
}

fn config(site: &str) -> Result<Config, ConfigError> {
    Config::parse(&format!(r#"{{"name":"n1","listen":"127.0.0.1:1","settings":{site}}}"#), &HashMap::new())
}

#[rstest]
#[case::worth_without(r#"[0.3, 0.3, 0.0]"#, "[0.3, 1.5, 0.0]", "specifics.worth_without[1]: is over 1")]
#[case::late_value(
    r#""worth": 10.0"#,
    r#""worth": 10.0, "late_value": 2"#,
    "profiles[2].late_value: is over 1"
)]
#[case::over_share(r#""tier": 0"#, r#""tier": 0, "over_share_worth": 1.1"#, "over_share_worth: is over 1")]
#[case::cold_from(r#""cold_from": 0.2"#, r#""cold_from": 20"#, "rules.cold_from: is over 1")]
#[case::fall_multiple(
    r#""fall_multiple": 8.0"#,
    r#""fall_multiple": 0.9"#,
    "rules.fall_multiple: is under 1"
)]
#[case::repeat(
    r#""repeat": "deduplicated""#,
    r#""repeat": "deduplicate""#,
    "profiles[2].repeat: is neither idempotent, deduplicated nor at_most_once"
)]
#[case::no_calls_out(
    r#""below": "next_hop""#,
    r#""below": "common""#,
    "specifics.calls_out: is missing or 0, and classes call the dependency"
)]
#[case::zero_calls_out(
    r#""below": "next_hop""#,
    r#""below": "common", "calls_out": 0"#,
    "specifics.calls_out: is missing or 0, and classes call the dependency"
)]
fn out_of_range_settings_are_rejected(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    assert!(SITE.contains(from) && config(SITE).is_ok());
    let site = SITE.replacen(from, to, 1);
    let error = config(&site).unwrap_err();
    assert_eq!(error.to_string(), format!("settings.{expected}"));
    assert!(miette::Diagnostic::help(&error).is_some_and(|help| !help.to_string().is_empty()));
    assert!(Site::parse(&site).is_ok(), "the simulator's options are read as they come");
}

#[rstest]
#[case::full_worth_without_calls(r#"[0.3, 0.3, 0.0]"#, "[1, 1.0, 0]")]
#[case::full_late_value(r#""worth": 10.0"#, r#""worth": 10.0, "late_value": 1"#)]
#[case::full_speed_when_cold(r#""cold_from": 0.2"#, r#""cold_from": 1"#)]
#[case::lowest_fall_multiple(r#""fall_multiple": 8.0"#, r#""fall_multiple": 1"#)]
// The decision module limits the target latency to the client's timeout, so settings with shorter timeouts must be
// accepted.
#[case::promise_beyond_the_timeout(r#""promise_us": 1800000"#, r#""promise_us": 4500001"#)]
#[case::at_most_once(r#""repeat": "deduplicated""#, r#""repeat": "at_most_once""#)]
#[case::calls_out(r#""below": "next_hop""#, r#""below": "common", "calls_out": 0.5"#)]
#[case::no_calls(
    r#""below": "next_hop", "class_calls": [true, true, true]"#,
    r#""below": "common", "class_calls": [false, false, false]"#
)]
fn settings_at_their_bounds_are_accepted(#[case] from: &str, #[case] to: &str) {
    assert!(SITE.contains(from));
    assert_eq!(config(&SITE.replacen(from, to, 1)).err(), None);
}

#[test]
fn tenants_hints_and_the_share_of_calls_are_optional_settings() {
    let without_span = SITE.replacen(r#""share_span_us": 5000000, "#, "", 1);
    assert_ne!(without_span, SITE);
    let without_below = without_span.replacen(r#""below": "next_hop", "#, "", 1);
    for (site, dependency) in [(without_span, Dependency::Tier), (without_below, Dependency::Off)] {
        let site = config(&site).unwrap().site;
        let s = &site.settings;
        assert_eq!((s.dependency, s.call_share, s.call_share_window), (dependency, 0.0, Duration::ZERO));
        assert!(site.tenant_names.is_empty() && s.tenants.is_empty());
        assert_eq!((s.over_share_worth, s.cold, s.fresh_for), (1.0, false, Duration::ZERO));
        assert!(s.classes.iter().all(|c| c.late_value == 0.0 && c.target_stretch == 0.0));
    }
}

#[test]
fn the_appliance_example_has_every_section() {
    let appliance = Appliance::parse(include_str!("../deploy/appliance.example.json")).unwrap();
    assert!(
        appliance.scgi_listen.is_some()
            && appliance.scgi_application.is_some()
            && appliance.scgi_below.is_some()
    );
    assert!(appliance.console.is_some() && appliance.acme.is_some() && appliance.tls_listen.is_some());
    assert!(appliance.fleet.is_some_and(|fleet| fleet.routes.is_some()));
}

#[rstest]
#[case(r#"{}"#, "fleet.listen: is missing")]
#[case(r#"{"listen":"[::1]:7"}"#, "fleet.listen: cannot be read from '[::1]:7'")]
#[case(r#"{"listen":"0.0.0.0:7"}"#, "fleet.advertise: must name one address and port")]
#[case(r#"{"listen":"127.0.0.1:7","name":""}"#, "fleet.name: must have 1 to 64 bytes")]
#[case(r#"{"listen":"127.0.0.1:7","period_ms":10}"#, "fleet.period_ms: must be 50 to 60000")]
#[case(r#"{"listen":"127.0.0.1:7","seeds":["x"]}"#, "fleet.seeds[0]: cannot be read from 'x'")]
fn an_invalid_fleet_section_names_the_key(#[case] fleet: &str, #[case] expected: &str) {
    let error = Appliance::parse(&format!(r#"{{"fleet":{fleet}}}"#)).unwrap_err();
    assert_eq!(error.to_string(), expected);
}

#[test]
fn appliance_features_are_off_by_default() {
    assert_eq!(Appliance::parse("{}").unwrap(), Appliance::default());
    let appliance = Appliance::parse(r#"{"scgi": {"listen": "127.0.0.1:4000"}}"#).unwrap();
    assert_eq!(appliance.scgi_listen, "127.0.0.1:4000".parse().ok());
    let error = Appliance::parse(r#"{"scgi": {"listen": 4000}}"#).unwrap_err();
    assert_eq!(error.key, "scgi.listen");
    let help = miette::Diagnostic::help(&error).map(|help| help.to_string());
    assert_eq!(help.as_deref(), Some("give a string, within quotes"));
}

#[test]
fn handover_messages_are_decoded_as_sent() {
    use hopwalk::core::{KeyState, Request, Succession};
    use hopwalk::net::handover::{parse, HandoverMessage, ReceivedMessage};
    let key: hopwalk::core::Key = "a key, spaces\nand all".into();
    let result: Option<hopwalk::core::Bytes> = Some((*b"\0\xff").into());
    let until = Duration::from_micros(1_764_576_000_123_456);
    let state = KeyState { key: key.clone(), digest: u64::MAX, until, open: true, result: result.clone() };
    let decode = |word: HandoverMessage| -> Vec<_> {
        word.into_lines().map(|l| parse(l.trim_end_matches('\n')).expect(&l)).collect()
    };
    let complete = ReceivedMessage::Succession(Succession::KeysComplete { standby: true });
    assert_eq!(
        decode(HandoverMessage::Keys(vec![state.clone()], true)),
        [ReceivedMessage::Succession(Succession::Key(state)), complete]
    );
    let handle = "9b1f03aa5c7e2d41".parse().unwrap();
    let past_runs = HandoverMessage::PastRuns { handles: vec![handle], until };
    assert_eq!(decode(past_runs), [ReceivedMessage::Succession(Succession::PastRun(handle))]);
    for no_handle in ["=AGhhbmRsZSA5YjFm 0 1 0 -", "=AGhhbmRsZSA5YjFmMDNhYTVjN2UyZDQx 0 1 1 -"] {
        assert!(parse(&format!("key {no_handle}")).is_err(), "{no_handle}");
    }
    let changed = decode(HandoverMessage::Standby(false)).pop();
    assert_eq!(changed, Some(ReceivedMessage::Succession(Succession::KeysComplete { standby: false })));
    for result in [None, Some((*b"").into()), result] {
        let settled = Succession::KeyResolved { key: key.clone(), ran: true, result: result.clone() };
        assert_eq!(
            decode(HandoverMessage::KeyResolved(key.clone(), true, result)),
            [ReceivedMessage::Succession(settled)]
        );
    }
    let request = Request {
        conn: 7,
        handle: "9b1f03aa5c7e2d41".parse().unwrap(),
        class: "queue status".to_string(),
        start: until,
        timeout: Some(Duration::from_millis(480)),
        caller: 4,
        tenant: Some("derwent coaches".into()),
        cost: Some(Duration::from_micros(12_500)),
        size_kb: 24.5,
        rank: 0.1 + 0.2,
        key: Some(key),
        object: Some("match 7".into()),
        body: (*b"\r\n").into(),
    };
    let line: String = HandoverMessage::Request(Box::new(request.clone())).into_lines().collect();
    assert_eq!(
        decode(HandoverMessage::Request(Box::new(request.clone()))),
        [ReceivedMessage::Request(Box::new(request.clone()))]
    );
    // Guards against losing requests in an upgrade from a version that does not send the last word, or the last three.
    // Such a version only sent whether a request names its object.
    let named = Request { object: Some("".into()), ..request.clone() };
    let shortest = Request { tenant: None, cost: None, ..named.clone() };
    for (words, read) in [(1, named), (3, shortest)] {
        let old = line.trim_end().rsplitn(words + 1, ' ').last().unwrap();
        assert_eq!(parse(old), Ok(ReceivedMessage::Request(Box::new(read))), "{old}");
    }
    // Guards also against sending a word that versions without objects cannot decode, where there is no object.
    let plain: String =
        HandoverMessage::Request(Box::new(Request { object: None, ..request })).into_lines().collect();
    assert_eq!((plain.split(' ').count(), line.split(' ').count()), (14, 15));
    let refused = Verdict::Refused { retry_after: Duration::from_millis(50), no_retry: true };
    for verdict in [Verdict::Served((*b"r").into()), refused, Verdict::Failed, Verdict::NoSuchClass] {
        let answer = Answer { verdict, signal: Some(0.25), close: true };
        let forwarded = Succession::ForwardedAnswer { conn: 7, answer: answer.clone() };
        assert_eq!(
            decode(HandoverMessage::Answer(7, Arc::new(answer))),
            [ReceivedMessage::Succession(forwarded)]
        );
    }
    let signed = ["settled =a2V5 +1 -", "key =a2V5 +f 1 0 -", "key =a2V5 F 1 0 -", "key =a2V5 f 01 0 -"];
    let answers = ["answer 07 - failed", "answer 7 NaN failed", "answer 7 -1 failed", "answer 7 0.50 failed"];
    let cut = ["", "begin ", "begin\r", "key a b\n", "answer 7 - served\n", "request 1\n"];
    for bad in cut.into_iter().chain(signed).chain(answers) {
        assert!(parse(bad).is_err(), "{bad}");
    }
}

#[test]
fn a_head_received_byte_by_byte_costs_a_few_times_its_length() {
    // Guards against parsing the head from its start after every read, which would process 33 MB for this one.
    let bytes = http("POST /do/a", &format!("X-Pad: {}\r\nContent-Length: 2000\r\n", "x".repeat(8000)), "");
    let mut decoder = MessageDecoder::new(Http);
    for byte in bytes.iter().chain(&[b'b'; 2000]) {
        assert!(decoder.next_message().unwrap().is_none());
        decoder.buffer_mut().push(*byte);
    }
    assert!(decoder.next_message().unwrap().is_some());
    let (work, len) = (decoder.bytes_processed(), bytes.len() as u64 + 2000);
    println!("{work} bytes processed for {len}");
    assert!(work < 6 * len);
}

#[test]
fn an_incomplete_message_is_rejected_at_the_end_of_the_input() {
    let mut decoder = MessageDecoder::new(Http);
    decoder.buffer_mut().extend(b"POST /do/a HTTP/1.1\r\nContent-Length : 3\r\n");
    assert!(matches!(decoder.next_message(), Ok(None) | Err(_)));
    assert_eq!(decoder.finish().map(|bad| bad.status), Some(400));
}

#[rstest]
#[case::bare_line_feed(b"POST /do/a HTTP/1.1\r\nX-A: 1\nX-B: 2\r\n\r\n".to_vec(), 400)]
#[case::id_twice(http("POST /do/a", "X-Request-Id: 0000000000000001\r\n", ""), 400)]
#[case::signed_time(http("POST /do/a", "X-Timeout-Ms: +5\r\n", ""), 400)]
#[case::no_length(http("POST /do/a", "", ""), 411)]
#[case::body_without_length(http("POST /do/a", "", "body"), 411)]
#[case::length_too_low(http("POST /do/a", "Content-Length: 3\r\n", "body"), 400)]
#[case::rank_exponent(http("POST /do/a", "X-Rank: 0e6250\r\n", ""), 400)]
#[case::size_exponent(http("POST /do/a", "X-Memory-Kb: 24e1\r\n", ""), 400)]
#[case::get(http("GET /do/a", "", ""), 405)]
#[case::put(http("PUT /do/a", "", ""), 405)]
fn ambiguous_requests_are_rejected(#[case] bytes: Vec<u8>, #[case] status: u16) {
    assert_eq!(read_at_once(Http, &bytes).unwrap_err().status, status);
}

#[rstest]
#[case::nothing("", true)]
#[case::the_next_request("POST /do/a HTTP/1.1\r\n", true)]
#[case::the_beginning_of_one("PO", false)]
#[case::a_health_check("GET /check", true)]
#[case::an_empty_line_before_it("\r\nPOST /", true)]
#[case::the_end_of_a_body("dy", false)]
#[case::an_end_like_a_method("POSTED", false)]
#[case::an_empty_line("\r\n", false)]
#[case::a_line_feed("\n", false)]
fn a_request_is_judged_by_the_bytes_behind_it(#[case] following: &str, #[case] is_valid: bool) {
    // Guards against a body that is cut short because its stated length is too low.
    let bytes = http("POST /do/a", "Content-Length: 2\r\n", &format!("bo{following}"));
    assert_eq!(matches!(read_at_once(Http, &bytes), Ok(Some(_))), is_valid);
}

#[test]
fn a_service_response_with_a_blank_in_a_header_name_is_malformed() {
    // Guards against a truncated response that passes as complete, because its length was not recognized.
    let error = scgi::parse_response(b"Status: 200 OK\r\nContent-Length : 20\r\n\r\nhi").unwrap_err();
    assert_eq!((error, error.end()), (ResponseError::InvalidField, End::Malformed));
}

#[rstest]
#[case("http://127.0.0.1:80/d", true)]
#[case("http://localhost/d", true)]
#[case("http://[::1]:8080/d", true)]
#[case("http://127.evil.example/d", false)]
#[case("http://127.0.0.1@evil.example/d", false)]
#[case("http://localhost:80@evil.example/", false)]
fn only_a_loopback_address_is_trusted_without_tls(#[case] directory: &str, #[case] accepted: bool) {
    // Guards against a domain name that begins like a loopback address, whose owner could issue certificates.
    let acme =
        format!(r#""directory":"{directory}","domains":["a"],"store":"/s","challenge_listen":"0.0.0.0:80""#);
    assert_eq!(Appliance::parse(&format!(r#"{{"acme":{{{acme}}}}}"#)).is_ok(), accepted);
}
