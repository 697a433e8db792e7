//! The fleet's links: frames however bytes are split, and the two ends over loopback.

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

/// Within which an answer comes, also on a machine that is starved.
const PATIENCE: Duration = Duration::from_secs(30);
/// No test waits for longer.
const HANGS: Duration = Duration::from_secs(100);

fn any_loopback() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// Bodies, and where the stream of their frames is cut.
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
        let (mut decoder, mut got, mut rest) = (Decoder::new(64), Vec::new(), &stream[..]);
        for cut in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (now, later) = rest.split_at((*cut).min(rest.len()));
            decoder.push(now);
            while let Some(body) = decoder.frame().unwrap() {
                got.push(body.to_vec());
            }
            rest = later;
        }
        prop_assert_eq!(got, bodies);
    }

    #[test]
    fn what_is_too_long_is_told_from_its_length_on(over in 1u32..=u32::MAX - 64, good in 0usize..4) {
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
            Ok((got, Request::Admit { name: same })) => prop_assert_eq!((off, got, same), (0, id, name)),
            other => {
                prop_assert!(off != 0);
                prop_assert_eq!(other.err(), Some(FrameError::Malformed));
            }
        }
    }
}

#[test]
fn an_opening_says_what_is_foreign() {
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
    runtime.block_on(async { tokio::time::timeout(HANGS, test).await.expect("the test hangs") })
}

/// Answers `Hello` with the number of its link, `Submit`-like `Admit` never, and `DocumentKind` with more than a frame holds.
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

/// Asks, and again while the link did not open in time: so long nothing was sent.
async fn opened(client: &Client, request: &Request) -> Result<Response, WireError> {
    loop {
        match client.request(request, PATIENCE).await {
            Err(WireError::Unreachable { kind: ErrorKind::TimedOut, .. }) => {
                tokio::time::sleep(RECONNECT_DELAY).await
            }
            other => break other,
        }
    }
}

async fn hello(client: &Client) -> Result<(u64, String), WireError> {
    match opened(client, &Request::Hello).await? {
        Response::Hello(hello) => Ok((hello.node.unwrap(), hello.leader.unwrap())),
        other => panic!("{other:?}"),
    }
}

fn never() -> Request {
    Request::Admit { name: "n".into() }
}

#[test]
fn a_link_carries_many_at_once_and_opens_again() {
    run(async {
        let server = Server::start(any_loopback(), LocalEnd::new("f", "s"), handler).await.unwrap();
        let address = server.address();
        let (pushes, mut pushed) = mpsc::channel(4);
        let client = Client::start(LocalEnd::new("f", "c"), "s", address, Some(pushes));
        let (link, name) = hello(&client).await.unwrap();
        assert_eq!(name, "c");
        assert_eq!((server.push(Some("c"), Push::Nudge), server.push(Some("d"), Push::Nudge)), (1, 0));
        assert_eq!(pushed.recv().await, Some(("s".into(), Push::Nudge)));
        // What is never answered holds up nothing else, until the link is full.
        let ask_in_vain = |patience| {
            let client = client.clone();
            tokio::spawn(async move { client.request(&never(), patience).await.err() })
        };
        let stuck: Vec<_> = (0..MAX_IN_FLIGHT - 1).map(|_| ask_in_vain(PATIENCE)).collect();
        tokio::task::yield_now().await;
        assert_eq!(hello(&client).await, Ok((link, "c".into())));
        let too_long = client
            .request(&Request::Look(hopwalk::fleet::wire::message::DocumentKind::Routes), PATIENCE)
            .await;
        assert!(matches!(too_long, Ok(Response::TooLong)), "{too_long:?}");
        let one_more = ask_in_vain(Duration::from_millis(200));
        tokio::task::yield_now().await;
        assert_eq!(hello(&client).await, Err(WireError::Busy { peer: "s".into() }));
        let silent = one_more.await.unwrap();
        assert!(matches!(silent, Some(WireError::Silent { .. })), "{silent:?}");
        stuck.iter().for_each(|stuck| stuck.abort());

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
        // An opening each way, three requests there, three answers and a push back.
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
fn foreign_peers_are_told_and_counted() {
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
        // Another program, one that says too much, and one that is no message after a right opening.
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
                // One that did not open in time is none of this.
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
fn a_peer_that_neither_reads_nor_answers_costs_its_own_link() {
    run(async {
        // A server that opens each link, and then does nothing any more.
        let listener = TcpListener::bind(any_loopback()).await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let mut kept = Vec::new();
            while let Ok((mut stream, _)) = listener.accept().await {
                let _ = stream.write_all(&encode(&Opening::new("f", "s"), MAX_FRAME).unwrap()).await;
                kept.push(stream);
            }
        });
        let local = LocalEnd::new("f", "c");
        let client = Client::start(local.clone(), "s", address, None);
        let asking = tokio::spawn(async move { opened(&client, &Request::Hello).await });

        // A client that asks, and never reads: another one is answered all the while, and the link ends.
        let deaf = LocalEnd::new("f", "s");
        let big = |from: Arc<RequestOrigin>, _| -> ResponseFuture {
            let length = if from.name == "d" { MAX_FRAME / 4 } else { 1 };
            Box::pin(async move { Response::Document("x".repeat(length)) })
        };
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let server = Server::start(any_loopback(), deaf.clone(), big).await.unwrap();
        let other = LocalEnd::new("f", "e");
        let client = Client::start(other.clone(), "s", server.address(), None);
        let answered = opened(&client, &Request::Hello).await;
        assert!(matches!(answered, Ok(Response::Document(_))), "{answered:?}");
        // What a link that opens too late would count is behind us once both are there.
        let mut silent = loop {
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
        let (stalled, closed) = (count(&deaf.counters.stalled), count(&deaf.counters.closed));
        let ask = |id| encode(&(id, Request::Hello), MAX_FRAME).unwrap();
        silent.write_all(&(0..4 * MAX_IN_FLIGHT as u64).flat_map(ask).collect::<Vec<_>>()).await.unwrap();
        while count(&deaf.counters.stalled) == stalled {
            let answer = client.request(&Request::Hello, PATIENCE).await;
            assert!(matches!(answer, Ok(Response::Document(_))), "{answer:?}");
        }
        let answer = client.request(&Request::Hello, PATIENCE).await;
        assert!(matches!(answer, Ok(Response::Document(_))), "{answer:?}");
        assert_eq!((count(&deaf.counters.closed) - closed, count(&other.counters.opened)), (1, 1));
        let error = asking.await.unwrap().unwrap_err();
        assert!(matches!(error, WireError::Closed { .. }), "{error:?}");
        assert_eq!(count(&local.counters.stalled), 1);
    });
}
