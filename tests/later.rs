//! Tests that this version and a later version of hopwalk can communicate: links stay open, and what is unknown is
//! refused or ignored. The messages of the later version are composed of their encoded parts.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hopwalk::fleet::routes::record::Entry as Routes;
use hopwalk::fleet::state_machine::Entry;
use hopwalk::fleet::wire::codec::{decode, encode, take, Decoder, Opening, MAX_FRAME};
use hopwalk::fleet::wire::message::{DocumentKind, Hello, ReceivedFrame, ServerFrame};
use hopwalk::fleet::wire::raft::{RaftRefusal, RaftRequest, RaftResponse};
use hopwalk::fleet::wire::{
    Client, FrameError, LocalEnd, Push, Request, RequestOrigin, Response, ResponseFuture, Server,
};
use hopwalk::fleet::wire::{WireError, RECONNECT_DELAY};
use openraft::raft::VoteRequest;
use openraft::Vote;
use serde::{Deserialize, Deserializer, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// The number of a variant that no version has.
const UNKNOWN: u32 = 99;

fn any_loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(ANSWER_TIMEOUT * 3, test).await.expect("the test hangs") })
}

fn body(message: impl Serialize) -> Vec<u8> {
    encode(&message, MAX_FRAME).unwrap().split_off(4)
}

fn vote() -> Request {
    let request = Box::new(RaftRequest::Vote(VoteRequest::new(Vote::new(1, 2), None)));
    Request::Raft { to: 3, request }
}

fn submit() -> Request {
    Request::Submit(Entry::Routes(Routes::Rollback { by: "o".into() }))
}

#[test]
fn an_additional_field_is_ignored_except_where_the_effect_would_differ() {
    let debug = |request: &Request| format!("{request:?}");
    for request in [Request::Hello, Request::Look(DocumentKind::History)] {
        let read = Request::read(&body((7u64, &request, "a later field"))).unwrap();
        assert_eq!((read.0, read.1.as_ref().map(debug)), (7, Some(debug(&request))));
    }
    for request in [vote(), submit(), Request::Admit { name: "n".into() }] {
        let same = Request::read(&body((7u64, &request))).unwrap();
        assert_eq!((same.0, same.1.as_ref().map(debug)), (7, Some(debug(&request))));
        let later = Request::read(&body((7u64, &request, false))).unwrap();
        assert!(matches!(later, (7, None)), "{later:?}");
    }
    let hello = Hello { term: 4, ..Hello::default() };
    let read = ServerFrame::read(&body((ServerFrame::Answer(7, Response::Hello(hello.clone())), 1u8)));
    assert!(
        matches!(&read, Ok(ReceivedFrame::Answer(7, Ok(Response::Hello(same)))) if *same == hello),
        "{read:?}"
    );
    let read = ServerFrame::read(&body((ServerFrame::Push(Push::Nudge), 1u8)));
    assert!(matches!(read, Ok(ReceivedFrame::Push(Push::Nudge))), "{read:?}");
    let raft = || Response::Raft(Box::new(RaftResponse::Refused(RaftRefusal::Stopped)));
    let read = ServerFrame::read(&body(ServerFrame::Answer(7, raft())));
    assert!(matches!(read, Ok(ReceivedFrame::Answer(7, Ok(Response::Raft(_))))), "{read:?}");
    let read = ServerFrame::read(&body((ServerFrame::Answer(7, raft()), 1u8)));
    assert!(matches!(read, Ok(ReceivedFrame::Answer(7, Err(FrameError::Later)))), "{read:?}");
    let own = Opening::new("f", "a");
    assert_eq!(Opening::read(&body((&own, "a later field")), "f"), Ok(own));
}

#[test]
fn an_unknown_variant_is_distinguished_from_malformed_bytes() {
    // A request, a kind of document, an entry, a part of an entry, a message of the record.
    for unknown in [
        body((7u64, UNKNOWN, "whatever")),
        body((7u64, 7u32, UNKNOWN)),
        body((7u64, 4u32, UNKNOWN, 1u8)),
        body((7u64, 4u32, 0u32, UNKNOWN, 1u8)),
        body((7u64, 1u32, 3u64, UNKNOWN, [0u8; 9])),
    ] {
        let read = Request::read(&unknown);
        assert!(matches!(read, Ok((7, None))), "{read:?} of {unknown:?}");
    }
    for (down, id) in [
        (body((0u32, 7u64, UNKNOWN, "whatever")), Some(7)),
        (body((0u32, 7u64, 4u32, 0u32, UNKNOWN)), Some(7)),
        (body((1u32, UNKNOWN)), None),
        (body((UNKNOWN, 7u64)), None),
    ] {
        match (ServerFrame::read(&down), id) {
            (Ok(ReceivedFrame::Answer(at, Err(FrameError::Later))), Some(id)) => assert_eq!(at, id),
            (Ok(ReceivedFrame::Later), None) => {}
            (other, _) => panic!("{other:?} of {down:?}"),
        }
    }
    // Truncated, or without a number: the frame is malformed, which closes the link.
    let whole = body((7u64, Request::Admit { name: "name".into() }));
    for cut in 0..whole.len() {
        assert_eq!(Request::read(&whole[..cut]).err(), Some(FrameError::Malformed));
    }
    assert_eq!(ServerFrame::read(&[]).err(), Some(FrameError::Malformed));
}

/// A field that a later version added at the end. It reads as the default if an earlier version did not send it.
#[derive(Debug, PartialEq, Serialize)]
struct Added<T>(T);

impl<'de, T: Deserialize<'de> + Default> Deserialize<'de> for Added<T> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        Ok(Self(T::deserialize(from).unwrap_or_default()))
    }
}

/// [`Hello`], as a later version may have it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct LaterHello {
    hello: Hello,
    region: Added<Option<String>>,
    weight: Added<u32>,
}

#[test]
fn a_later_version_reads_fields_that_an_earlier_one_did_not_send_as_the_default() {
    let hello = Hello { node: Some(3), named: vec!["a".into()], ..Hello::default() };
    let (read, _) = take::<LaterHello>(&body(&hello)).unwrap();
    assert_eq!(read, LaterHello { hello: hello.clone(), region: Added(None), weight: Added(0) });
    let later = LaterHello { hello: hello.clone(), region: Added(Some("west".into())), weight: Added(9) };
    assert_eq!(decode::<LaterHello>(&body(&later)), Ok(later));
    assert_eq!(take::<Hello>(&body(&hello)).unwrap(), (hello, &[][..]));
}

fn count(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

/// Reads and writes frames on a link.
struct Frames(TcpStream, Decoder);

impl Frames {
    async fn next(&mut self) -> Vec<u8> {
        loop {
            if let Some(body) = self.1.frame().unwrap() {
                return body.to_vec();
            }
            let mut bytes = [0; 512];
            let n = self.0.read(&mut bytes).await.unwrap();
            assert!(n > 0, "the link was closed");
            self.1.push(&bytes[..n]);
        }
    }

    async fn send(&mut self, message: impl Serialize) {
        self.0.write_all(&encode(&message, MAX_FRAME).unwrap()).await.unwrap();
    }
}

#[test]
fn a_server_refuses_requests_of_a_later_client_and_keeps_the_link() {
    run(async {
        let local = LocalEnd::new("f", "s");
        let handler = |from: Arc<RequestOrigin>, request: Request| -> ResponseFuture {
            assert!(matches!(request, Request::Hello), "{request:?} came through");
            Box::pin(async move { Response::Hello(Hello { node: Some(from.link), ..Hello::default() }) })
        };
        let server = Server::start(any_loopback(), local.clone(), handler).await.unwrap();
        let mut link = Frames(TcpStream::connect(server.address()).await.unwrap(), Decoder::new(MAX_FRAME));
        link.send((Opening::new("f", "c"), "a later field")).await;
        assert_eq!(Opening::read(&link.next().await, "f"), Ok(Opening::new("f", "s")));
        for id in 0..100u64 {
            match id % 3 {
                0 => link.send((id, UNKNOWN, "a later request")).await,
                1 => link.send((id, submit(), "a later field")).await,
                _ => link.send((id, Request::Hello, "a later field")).await,
            }
            let known = id % 3 == 2;
            match decode::<ServerFrame>(&link.next().await).unwrap() {
                ServerFrame::Answer(at, Response::Hello(hello)) if known => {
                    assert_eq!((at, hello.node), (id, Some(1)))
                }
                ServerFrame::Answer(at, Response::Unknown) if !known => assert_eq!(at, id),
                other => panic!("{other:?} to {id}"),
            }
        }
        let c = &local.counters;
        assert_eq!([&c.later, &c.malformed, &c.opened, &c.closed].map(count), [67, 0, 1, 0]);
    });
}

/// Answers each request other than `Look` in a way that the earlier version does not know; sends unknown pushes too.
async fn answer_later(mut link: Frames) {
    link.next().await;
    link.send((Opening::new("f", "s"), "a later field")).await;
    loop {
        let (id, request) = Request::read(&link.next().await).unwrap();
        link.send((UNKNOWN, "neither answer nor push")).await;
        link.send((1u32, UNKNOWN)).await;
        link.send((ServerFrame::Push(Push::Nudge), "a later field")).await;
        match request {
            Some(Request::Look(_)) => {
                link.send((ServerFrame::Answer(id, Response::Document("{}".into())), "a later field")).await
            }
            _ => link.send((0u32, id, UNKNOWN, "a later answer")).await,
        }
    }
}

#[test]
fn a_client_ignores_unknown_messages_of_a_later_server_and_keeps_the_link() {
    run(async {
        let listener = TcpListener::bind(any_loopback()).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(answer_later(Frames(stream, Decoder::new(MAX_FRAME))));
            }
        });
        let (pushes, mut pushed) = mpsc::channel(4);
        let local = LocalEnd::new("f", "c");
        let client = Client::start(local.clone(), "s", address, Some(pushes));
        // An unknown answer fails its request at once, without a timeout, and the link stays open.
        let unknown_answer = loop {
            match client.request(&Request::Hello, ANSWER_TIMEOUT).await {
                Err(WireError::Unreachable { .. }) => tokio::time::sleep(RECONNECT_DELAY).await,
                other => break other,
            }
        };
        let later = || WireError::Frame { peer: "s".into(), error: FrameError::Later };
        assert_eq!(unknown_answer.unwrap_err(), later());
        let known = client.request(&Request::Look(DocumentKind::Routes), ANSWER_TIMEOUT).await;
        assert!(matches!(&known, Ok(Response::Document(text)) if text == "{}"), "{known:?}");
        assert_eq!(client.request(&Request::Hello, ANSWER_TIMEOUT).await.unwrap_err(), later());
        for _ in 0..3 {
            assert_eq!(pushed.recv().await, Some(("s".into(), Push::Nudge)));
        }
        let c = &local.counters;
        assert_eq!([&c.later, &c.malformed, &c.opened, &c.closed].map(count), [8, 0, 1, 0]);
    });
}
