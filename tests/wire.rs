//! Tests of the fleet's links: the decoder with bytes split in any way, and the two ends over loopback.

use std::future::pending;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use hopwalk::fleet::wire::codec::{decode, encode, Decoder, Opening, MAGIC, MAX_FRAME};
use hopwalk::fleet::wire::message::{Hello, ServerFrame};
use hopwalk::fleet::wire::{
    Client, FrameError, LocalEnd, Push, Request, RequestOrigin, Response, ResponseFuture, Server, WireError,
    MAX_IN_FLIGHT, RECONNECT_DELAY,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;

/// The time limit of an answer, which is sufficient on an overloaded machine too.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// The time limit of a test.
const TEST_TIMEOUT: Duration = Duration::from_secs(100);

fn any_loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Bodies of frames, and the sizes of the parts in which their stream is delivered.
fn streams() -> impl Strategy<Value = (Vec<Vec<u8>>, Vec<usize>)> {
    let bodies = prop::collection::vec(prop::collection::vec(any::<u8>(), 0..40), 0..12);
    (bodies, prop::collection::vec(1usize..60, 1..40))
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(26), ..Default::default() })]

    #[test]
    fn any_split_of_the_bytes_gives_the_same_frames((bodies, cuts) in streams()) {
        let stream: Vec<u8> =
            bodies.iter().flat_map(|b| [&(b.len() as u32).to_be_bytes()[..], b].concat()).collect();
        let (mut decoder, mut received, mut rest) = (Decoder::new(64), Vec::new(), &stream[..]);
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            decoder.push(now);
            while let Some(body) = decoder.frame().unwrap() {
                received.push(body.to_vec());
            }
            rest = later;
        }
        prop_assert_eq!(received, bodies);
    }

    #[test]
    fn a_too_long_frame_is_an_error_as_soon_as_its_length_is_known(over in 1u32..=u32::MAX - 64, good in 0usize..4) {
        let mut decoder = Decoder::new(64);
        for _ in 0..good {
            decoder.push(&[0, 0, 0, 1, 7]);
        }
        decoder.push(&(64 + over).to_be_bytes());
        for _ in 0..good {
            prop_assert_eq!(decoder.frame(), Ok(Some(&[7u8][..])));
        }
        let error = FrameError::TooLong { bytes: 64 + over as usize, most: 64 };
        prop_assert_eq!(decoder.frame(), Err(error.clone()));
        decoder.push(&[0, 0, 0, 1, 7]);
        prop_assert_eq!(decoder.frame(), Err(error));
    }

    #[test]
    fn bytes_of_any_kind_are_a_message_or_malformed(body in prop::collection::vec(any::<u8>(), 0..200)) {
        for error in [decode::<(u64, Request)>(&body).err(), decode::<ServerFrame>(&body).err()].into_iter().flatten() {
            prop_assert!(matches!(error, FrameError::Malformed | FrameError::Later), "{error}");
        }
        if let Ok(opening) = Opening::read(&body, "f") {
            prop_assert_eq!(opening.fleet, "f");
        }
    }

    #[test]
    fn a_message_with_bytes_left_over_or_missing_is_malformed(id: u64, name in "[a-z]{0,20}", off in -3i8..=3) {
        let mut body = encode(&(id, Request::Admit { name: name.clone() }), MAX_FRAME).unwrap().split_off(4);
        body.resize(body.len().saturating_add_signed(off.into()), 0);
        match decode::<(u64, Request)>(&body) {
            Ok((received, Request::Admit { name: same })) => prop_assert_eq!((off, received, same), (0, id, name)),
            other => {
                prop_assert!(off != 0);
                prop_assert_eq!(other.err(), Some(FrameError::Malformed));
            }
        }
    }
}

#[test]
fn an_opening_of_a_foreign_peer_is_an_error() {
    let body = |opening: &Opening| encode(opening, MAX_FRAME).unwrap().split_off(4);
    let own = Opening::new("f", "a");
    assert_eq!(Opening::read(&body(&own), "f"), Ok(own.clone()));
    assert_eq!(Opening::read(&body(&own), "g"), Err(FrameError::Fleet { theirs: "f".into() }));
    assert_eq!(Opening::read(b"GET / HTTP/1.1\r\n", "f"), Err(FrameError::Magic));
    let later = Opening { protocol: 9, ..own };
    assert_eq!(Opening::read(&body(&later), "f"), Err(FrameError::Protocol { theirs: 9 }));
    assert_eq!(Opening::read(&MAGIC, "f"), Err(FrameError::Malformed));
}

fn run<T>(test: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async { tokio::time::timeout(TEST_TIMEOUT, test).await.expect("the test hangs") })
}

/// Answers `Hello` with the number of its link, `Look` with more than a frame can contain, and all others never.
fn handler(from: Arc<RequestOrigin>, request: Request) -> ResponseFuture {
    Box::pin(async move {
        match request {
            Request::Hello => Response::Hello(Hello {
                node: Some(from.link),
                leader: Some(from.name.clone()),
                ..Hello::default()
            }),
            Request::Look(_) => Response::Document("x".repeat(MAX_FRAME + 1)),
            _ => pending().await,
        }
    })
}

/// Sends a request, and repeats it while the link does not open in time, because the request was not sent then.
async fn request_when_open(client: &Client, request: &Request) -> Result<Response, WireError> {
    loop {
        match client.request(request, ANSWER_TIMEOUT).await {
            Err(WireError::Unreachable { kind: ErrorKind::TimedOut, .. }) => {
                tokio::time::sleep(RECONNECT_DELAY).await
            }
            other => break other,
        }
    }
}

async fn hello(client: &Client) -> Result<(u64, String), WireError> {
    match request_when_open(client, &Request::Hello).await? {
        Response::Hello(hello) => Ok((hello.node.unwrap(), hello.leader.unwrap())),
        other => panic!("{other:?}"),
    }
}

fn unanswered_request() -> Request {
    Request::Admit { name: "n".into() }
}

#[test]
fn a_link_transfers_concurrent_requests_and_reconnects() {
    run(async {
        let server = Server::start(any_loopback(), LocalEnd::new("f", "s"), handler).await.unwrap();
        let address = server.address();
        let (pushes, mut pushed) = mpsc::channel(4);
        let client = Client::start(LocalEnd::new("f", "c"), "s", address, Some(pushes));
        let (link, name) = hello(&client).await.unwrap();
        assert_eq!(name, "c");
        assert_eq!((server.push(Some("c"), Push::Nudge), server.push(Some("d"), Push::Nudge)), (1, 0));
        assert_eq!(pushed.recv().await, Some(("s".into(), Push::Nudge)));
        // Requests without an answer do not delay others until the link is full.
        let request_without_answer = |time_limit| {
            let client = client.clone();
            tokio::spawn(async move { client.request(&unanswered_request(), time_limit).await.err() })
        };
        let unanswered: Vec<_> =
            (0..MAX_IN_FLIGHT - 1).map(|_| request_without_answer(ANSWER_TIMEOUT)).collect();
        tokio::task::yield_now().await;
        assert_eq!(hello(&client).await, Ok((link, "c".into())));
        let too_long = client
            .request(&Request::Look(hopwalk::fleet::wire::message::DocumentKind::Routes), ANSWER_TIMEOUT)
            .await;
        assert!(matches!(too_long, Ok(Response::TooLong)), "{too_long:?}");
        let one_more = request_without_answer(Duration::from_millis(200));
        tokio::task::yield_now().await;
        assert_eq!(hello(&client).await, Err(WireError::Busy { peer: "s".into() }));
        let silent = one_more.await.unwrap();
        assert!(matches!(silent, Some(WireError::Silent { .. })), "{silent:?}");
        unanswered.iter().for_each(|unanswered| unanswered.abort());

        drop(server);
        loop {
            match hello(&client).await {
                Err(WireError::Closed { .. }) => {}
                Err(WireError::Unreachable { peer, address: at, .. }) => {
                    break assert_eq!((peer, at), ("s".into(), address))
                }
                other => panic!("{other:?}"),
            }
        }
        let _server = Server::start(address, LocalEnd::new("f", "s"), handler).await.unwrap();
        while hello(&client).await.is_err() {
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn both_ends_count_the_same_frames_and_bytes() {
    run(async {
        let (near, far) = (LocalEnd::new("f", "c"), LocalEnd::new("f", "s"));
        let server = Server::start(any_loopback(), far.clone(), handler).await.unwrap();
        let (pushes, mut pushed) = mpsc::channel(4);
        let client = Client::start(near.clone(), "s", server.address(), Some(pushes));
        for _ in 0..3 {
            hello(&client).await.unwrap();
        }
        assert_eq!(server.push(None, Push::Nudge), 1);
        pushed.recv().await.unwrap();
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let (n, f) = (&near.counters, &far.counters);
        // An opening in each direction, three requests, three answers and a push.
        assert_eq!((get(&n.frames_out), get(&f.frames_in)), (4, 4));
        assert_eq!((get(&f.frames_out), get(&n.frames_in)), (5, 5));
        let (there, back) = (get(&n.bytes_out), get(&f.bytes_out));
        assert_eq!((get(&f.bytes_in), get(&n.bytes_in)), (there, back));
        let opening = |name: &str| encode(&Opening::new("f", name), MAX_FRAME).unwrap().len() as u64;
        let asked = encode(&(1u64, Request::Hello), MAX_FRAME).unwrap().len() as u64;
        assert_eq!(there, opening("c") + 3 * asked);
        assert!(back > opening("s") + 4 * 4, "{back}");
    });
}

#[test]
fn foreign_peers_get_an_error_and_are_counted() {
    run(async {
        let local = LocalEnd::new("f", "s");
        let server = Server::start(any_loopback(), local.clone(), handler).await.unwrap();
        let other = Client::start(LocalEnd::new("g", "c"), "s", server.address(), None);
        let error = FrameError::Fleet { theirs: "f".into() };
        assert_eq!(hello(&other).await, Err(WireError::Frame { peer: "s".into(), error }));
        while local.counters.foreign.load(Ordering::Relaxed) == 0 {
            tokio::task::yield_now().await;
        }
        let other = Client::start(LocalEnd::new("f", "c"), "t", server.address(), None);
        let error = FrameError::Name { theirs: "s".into() };
        assert_eq!(hello(&other).await, Err(WireError::Frame { peer: "t".into(), error }));
        // Another program, one whose first bytes are too long a length, a malformed message after a valid opening, and
        // a too long frame after one.
        let opening = encode(&Opening::new("f", "c"), MAX_FRAME).unwrap();
        let malformed = [&opening[..], &[0, 0, 0, 3, 1, 250, 250]].concat();
        let long = [&opening[..], &[255; 8]].concat();
        let counters = &local.counters;
        let counts = || {
            [&counters.foreign, &counters.too_long, &counters.malformed].map(|c| c.load(Ordering::Relaxed))
        };
        for (bytes, counted) in [
            (b"\0\0\0\x10GET / HTTP/1.1\r\n".to_vec(), [1, 0, 0]),
            (b"GET / HTTP/1.1\r\n".to_vec(), [0, 1, 0]),
            (malformed, [0, 0, 1]),
            (long, [0, 1, 0]),
        ] {
            let (before, stalled) = (counts(), counters.stalled.load(Ordering::Relaxed));
            loop {
                let mut stream = TcpStream::connect(server.address()).await.unwrap();
                stream.write_all(&bytes).await.unwrap();
                let mut rest = Vec::new();
                let _ = stream.read_to_end(&mut rest).await;
                // A connection that did not open in time does not count.
                if counters.stalled.load(Ordering::Relaxed) == stalled || counts() != before {
                    break;
                }
            }
            let now = counts();
            assert_eq!([0, 1, 2].map(|i| now[i] - before[i]), counted, "{bytes:?}");
        }
        let client = Client::start(LocalEnd::new("f", "c"), "s", server.address(), None);
        assert!(hello(&client).await.is_ok());
    });
}

#[test]
fn a_peer_that_neither_reads_nor_answers_loses_only_its_own_link() {
    run(async {
        // A server that opens each link, and then neither reads nor writes.
        let listener = TcpListener::bind(any_loopback()).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let mut streams = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.write_all(&encode(&Opening::new("f", "s"), MAX_FRAME).unwrap()).await;
                streams.push(stream);
            }
        });
        let local = LocalEnd::new("f", "c");
        let client = Client::start(local.clone(), "s", address, None);
        let pending_request = tokio::spawn(async move { request_when_open(&client, &Request::Hello).await });

        // A client that sends requests and never reads. Another client is answered meanwhile, and the first one's link
        // is closed.
        let server_end = LocalEnd::new("f", "s");
        let long_answers = |from: Arc<RequestOrigin>, _| -> ResponseFuture {
            let length = if from.name == "d" { MAX_FRAME / 4 } else { 1 };
            Box::pin(async move { Response::Document("x".repeat(length)) })
        };
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let server = Server::start(any_loopback(), server_end.clone(), long_answers).await.unwrap();
        let other = LocalEnd::new("f", "e");
        let client = Client::start(other.clone(), "s", server.address(), None);
        let answered = request_when_open(&client, &Request::Hello).await;
        assert!(matches!(answered, Ok(Response::Document(_))), "{answered:?}");
        // The counters are read after both links are open, so that a link that opened too late is not counted.
        let mut stream_without_reads = loop {
            let socket = TcpSocket::new_v4().unwrap();
            socket.set_recv_buffer_size(4096).unwrap();
            let mut stream = socket.connect(server.address()).await.unwrap();
            stream.write_all(&encode(&Opening::new("f", "d"), MAX_FRAME).unwrap()).await.unwrap();
            let mut theirs = [0; 4];
            if stream.read_exact(&mut theirs).await.is_ok() {
                break stream;
            }
        };
        while server.push(Some("d"), Push::Nudge) == 0 {
            tokio::task::yield_now().await;
        }
        let (stalled, closed) = (count(&server_end.counters.stalled), count(&server_end.counters.closed));
        let hello = |id| encode(&(id, Request::Hello), MAX_FRAME).unwrap();
        stream_without_reads
            .write_all(&(0..4 * MAX_IN_FLIGHT as u64).flat_map(hello).collect::<Vec<_>>())
            .await
            .unwrap();
        while count(&server_end.counters.stalled) == stalled {
            let answer = client.request(&Request::Hello, ANSWER_TIMEOUT).await;
            assert!(matches!(answer, Ok(Response::Document(_))), "{answer:?}");
        }
        let answer = client.request(&Request::Hello, ANSWER_TIMEOUT).await;
        assert!(matches!(answer, Ok(Response::Document(_))), "{answer:?}");
        assert_eq!((count(&server_end.counters.closed) - closed, count(&other.counters.opened)), (1, 1));
        let error = pending_request.await.unwrap().unwrap_err();
        assert!(matches!(error, WireError::Closed { .. }), "{error:?}");
        assert_eq!(count(&local.counters.stalled), 1);
    });
}
