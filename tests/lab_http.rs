//! The load tool's requests, and how it reads answers.

use hopwalk::lab::http::{Answered, CallerRequest};

#[test]
fn an_answer_is_read_only_whole() {
    assert_eq!(Answered::read(b"HTTP/1.1 503 Service Unavailable\r\nRetry-After-Ms: 5\r\n"), None);
    let whole = b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\n";
    assert_eq!(
        Answered::read(whole),
        Some(Answered { status: 503, head: whole.len(), len: whole.len(), reusable: false })
    );
    assert_eq!(Answered::read(b"HTTP/1.1 2x0 OK\r\n\r\n"), None);
    let body = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    assert_eq!(Answered::read(&body[..body.len() - 1]), None);
    let head = body.len() - 2;
    assert_eq!(Answered::read(body), Some(Answered { status: 200, head, len: body.len(), reusable: true }));
}

#[test]
fn a_keyed_request_carries_its_key_and_its_deadline() {
    let request = CallerRequest {
        id: "1-2",
        class: "lobby-confirm",
        key: "k1",
        object: "o7",
        patience_ms: 1500,
        clock_ms: 0,
        body: b"lab 1-2 k1",
    };
    let text = String::from_utf8(request.text()).unwrap();
    assert!(
        text.contains("Idempotency-Key: k1\r\nX-Object: o7\r\n") && text.contains("X-Timeout-Ms: 1500\r\n"),
        "{text}"
    );
    assert!(text.ends_with("\r\n\r\nlab 1-2 k1"));
}
