//! Tests of the vault link against a fake router with scripted answers, and services on loopback.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;

use super::*;
use crate::net::call_routing::fake::{test_hub, FakeRouter};

const TIMEOUT: Duration = Duration::from_secs(10);

/// A service that records the connection number and the fence of each call, and sends the same reply to all of them.
struct Service {
    address: SocketAddr,
    asks: Arc<Mutex<Vec<(usize, String)>>>,
}

impl Service {
    fn start(reply: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, asks) = (listener.local_addr().unwrap(), Arc::<Mutex<Vec<(usize, String)>>>::default());
        let recorded = asks.clone();
        std::thread::spawn(move || {
            for (n, stream) in listener.incoming().flatten().enumerate() {
                let recorded = recorded.clone();
                std::thread::spawn(move || {
                    let mut writes = stream.try_clone().unwrap();
                    let (mut reads, mut line) = (BufReader::new(stream), String::new());
                    while matches!(reads.read_line(&mut line), Ok(n) if n > 0) {
                        let ask: Vec<_> = line.trim_end().split(' ').map(str::to_string).collect();
                        let mut body = vec![0; ask[3].parse::<usize>().unwrap() + 2];
                        reads.read_exact(&mut body).unwrap();
                        recorded.lock().unwrap().push((n, ask[4..].concat()));
                        if !reply.is_empty() {
                            write!(writes, "{} {reply}", ask[1]).unwrap();
                        }
                        line.clear();
                    }
                });
            }
        });
        Self { address, asks }
    }

    /// The connection number and the fence of each call so far.
    fn asks(&self) -> Vec<(usize, String)> {
        self.asks.lock().unwrap().clone()
    }
}

/// An attempt at the first call of the request [`REQUEST`].
fn ask(attempt: u32) -> AskId {
    AskId { handle: REQUEST.parse().unwrap(), cursor: 1, attempt }
}

fn fence(turn: u64) -> Fence {
    Fence { turn, version: turn * 10 }
}

/// A routing result that sends the call to `service`, under this turn.
fn route_to(turn: u64, service: Option<&Service>) -> RouteDecision {
    RouteDecision::Allowed {
        fence: fence(turn),
        address: service.map(|s| s.address),
        timeout: None,
        limits: None,
    }
}

struct Bench {
    link: Link,
    inbox: Receiver<Input>,
    router: Arc<FakeRouter>,
}

impl Bench {
    fn new(results: impl IntoIterator<Item = RouteDecision>, vault: Option<&Service>) -> Self {
        let router = Arc::new(FakeRouter::with_answers(results));
        let (hub, inbox) = test_hub(Some(router.clone()), vault.map(|v| v.address));
        Self { link: Link::start(&hub), inbox, router }
    }

    fn ask(&self, attempt: u32, fresh: bool, timeout: Duration) {
        let route = Some(Box::default());
        self.link.send(Order::Ask {
            ask: ask(attempt),
            fresh,
            earlier_replies: Arc::from([]),
            timeout,
            body: [b'x'].into(),
            route,
        });
    }

    /// How the next call to end has ended, and the fence that it was sent under.
    fn next_end(&self) -> (End, Option<Fence>) {
        match self.inbox.recv_timeout(TIMEOUT) {
            Ok(Input::CallEnded { end, fence, .. }) => (end, fence),
            other => panic!("{other:?}"),
        }
    }
}

const YES_REPLY: &str = "yes 1\r\ny\r\n";

#[test]
fn a_call_goes_to_the_address_of_its_route_and_carries_the_fence_only_after_an_activation() {
    let (own, other) = (Service::start(YES_REPLY), Service::start(YES_REPLY));
    for (turn, service, sent_fence) in [(0, &own, ""), (3, &other, "3.30")] {
        let bench = Bench::new([route_to(turn, Some(&other).filter(|_| turn > 0))], Some(&own));
        bench.ask(1, true, TIMEOUT);
        assert_eq!(bench.next_end(), (End::Complete, Some(fence(turn))));
        assert_eq!(service.asks(), [(0, sent_fence.to_string())]);
    }
}

#[test]
fn a_call_is_routed_again_immediately_before_it_is_written() {
    // Guards against a call under a version that was replaced while its connection was opened.
    let (old, new) = (Service::start(YES_REPLY), Service::start(YES_REPLY));
    let bench = Bench::new([route_to(1, Some(&old)), route_to(2, Some(&new))], None);
    bench.ask(1, true, TIMEOUT);
    assert_eq!(bench.next_end(), (End::Complete, Some(fence(2))));
    assert_eq!((old.asks(), new.asks()), (vec![], vec![(0, "2.20".to_string())]));
    for (second, end) in [(RouteDecision::Barred, End::Barred), (RouteDecision::Ended(fence(1)), End::Stale)]
    {
        let bench = Bench::new([route_to(1, Some(&old)), second], None);
        bench.ask(1, true, TIMEOUT);
        assert_eq!(bench.next_end(), (end, None));
    }
    assert!(old.asks().is_empty());
}

#[test]
fn a_call_waits_for_a_switch_for_a_bounded_time() {
    let service = Service::start(YES_REPLY);
    let switch_end = Instant::now() + Duration::from_millis(8);
    let bench = Bench::new([RouteDecision::Wait(switch_end), route_to(2, Some(&service))], None);
    bench.ask(1, true, TIMEOUT);
    assert_eq!(bench.next_end(), (End::Complete, Some(fence(2))));
    assert!(Instant::now() >= switch_end);
    // A switch that never ends, as for a member whose clock is wrong.
    let bench = Bench::new([RouteDecision::Wait(Instant::now() + TIMEOUT)], None);
    let since = Instant::now();
    bench.ask(1, true, TIMEOUT);
    assert_eq!(bench.next_end(), (End::Barred, None));
    assert!(since.elapsed() >= MAX_SWITCH_WAIT && since.elapsed() < TIMEOUT / 2, "{:?}", since.elapsed());
}

#[test]
fn a_later_call_of_a_request_is_routed_with_the_fence_of_the_previous_call() {
    // Guards against a second call under another version, made before the reducer processed the end of the first one.
    let silent = Service::start("");
    let bench = Bench::new([route_to(1, Some(&silent))], None);
    bench.ask(1, false, TIMEOUT);
    let since = Instant::now();
    while silent.asks().is_empty() {
        assert!(since.elapsed() < TIMEOUT);
        std::thread::sleep(Duration::from_millis(1));
    }
    bench.link.send(Order::Unask { handle: "00000000000000aa".parse().unwrap(), attempt: 1 });
    bench.ask(2, false, Duration::from_millis(50));
    for _ in 0..2 {
        assert_eq!(bench.next_end().1, Some(fence(1)));
    }
    let tried: Vec<_> = bench.router.routed_calls().iter().map(|call| call.last_fence).collect();
    assert_eq!((tried.first(), tried.last()), (Some(&None), Some(&Some(fence(1)))));
}

#[test]
fn connections_are_reused_per_address_and_a_route_timeout_shortens_the_timeout_of_a_call() {
    let (a, b, silent) = (Service::start(YES_REPLY), Service::start(YES_REPLY), Service::start(""));
    let results = [&a, &b, &a, &b].into_iter().flat_map(|s| [route_to(1, Some(s)), route_to(1, Some(s))]);
    let bench = Bench::new(results, None);
    for _ in 0..4 {
        bench.ask(1, false, TIMEOUT);
        assert_eq!(bench.next_end().0, End::Complete);
    }
    for service in [a, b] {
        assert_eq!(service.asks(), vec![(0, "1.10".to_string()); 2]);
    }
    let timeout = Some(Duration::from_millis(30));
    let bench = Bench::new(
        [RouteDecision::Allowed { fence: fence(1), address: Some(silent.address), timeout, limits: None }],
        None,
    );
    let since = Instant::now();
    bench.ask(1, true, TIMEOUT);
    assert_eq!(bench.next_end(), (End::Overdue, Some(fence(1))));
    assert!(since.elapsed() < TIMEOUT / 2);
}

#[test]
fn a_call_that_a_service_refuses_as_stale_ends_and_is_counted() {
    let service = Service::start("stale\r\n");
    let bench = Bench::new([route_to(1, Some(&service))], None);
    bench.ask(1, true, TIMEOUT);
    assert_eq!(bench.next_end(), (End::Stale, Some(fence(1))));
    assert_eq!(bench.router.stale_count.load(Ordering::Relaxed), 1);
}

#[test]
fn a_call_that_was_returned_unexecuted_does_not_bind_its_request_to_a_version() {
    // Guards against requests that fail at a switch although none of their calls was executed.
    let busy = Service::start("notnow\r\n");
    let bench = Bench::new([route_to(1, Some(&busy))], None);
    for attempt in [1, 2] {
        bench.ask(attempt, true, TIMEOUT);
        assert_eq!(bench.next_end(), (End::NotNow, None));
    }
    assert!(bench.router.routed_calls().iter().all(|call| call.last_fence.is_none()));
}

/// Starts a service that follows one script per connection, in the order of the connections. Returns its address.
fn scripted(scripts: Vec<fn(&mut Scripted)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (script, stream) in scripts.into_iter().zip(listener.incoming().flatten()) {
            let mut side = Scripted { writes: stream.try_clone().unwrap(), reads: BufReader::new(stream) };
            std::thread::spawn(move || {
                script(&mut side);
                // The connection stays open until the client closes it.
                let _ = side.reads.read_to_end(&mut Vec::new());
            });
        }
    });
    address
}

/// The service's side of a connection.
struct Scripted {
    reads: BufReader<std::net::TcpStream>,
    writes: std::net::TcpStream,
}

impl Scripted {
    /// Reads a call. Returns `None` if the client has closed the connection.
    fn read_ask(&mut self) -> Option<()> {
        let mut line = String::new();
        self.reads.read_line(&mut line).ok()?;
        let len: usize = line.trim_end().split(' ').nth(3)?.parse().unwrap();
        self.reads.read_exact(&mut vec![0; len + 2]).ok()
    }

    fn reply(&mut self, handle: &str, body: &str) {
        write!(self.writes, "{handle} yes {}\r\n{body}\r\n", body.len()).unwrap();
    }
}

const REQUEST: &str = "00000000000000aa";
const OTHER_REQUEST: &str = "00000000000000bb";

/// Makes two calls of a request and returns the reply to the second one. The first call is answered on a connection of
/// its own; `later_scripts` are those of the later connections.
fn reply_to_second_call(later_scripts: &[fn(&mut Scripted)], results: Vec<RouteDecision>) -> Option<Bytes> {
    fn first(side: &mut Scripted) {
        side.read_ask().unwrap();
        side.reply(REQUEST, "one");
    }
    let router = Arc::new(FakeRouter::with_answers(results));
    let scripts = [&[first as fn(&mut Scripted)], later_scripts].concat();
    let (hub, inbox) = test_hub(Some(router), Some(scripted(scripts)));
    let link = Link::start(&hub);
    let mut last = None;
    for attempt in [1, 2] {
        let (ask, route) = (ask(attempt), Some(Box::default()));
        let earlier_replies = last.iter().map(|reply: &Bytes| ReplyDigest::of(reply)).collect();
        let (timeout, body) = (TIMEOUT, [b'x'].into());
        link.send(Order::Ask { ask, fresh: true, earlier_replies, timeout, body, route });
        last = loop {
            match inbox.recv_timeout(TIMEOUT) {
                Ok(Input::CallEnded { reply, .. }) => {
                    assert!(reply.iter().all(|reply| reply.origin.ask == ask), "{reply:?}");
                    break reply.map(|reply| reply.body);
                }
                Ok(Input::StrayReply) => {}
                other => panic!("{other:?}"),
            }
        };
    }
    last
}

#[test]
fn a_late_copy_of_a_reply_that_arrives_before_the_next_call_is_written_is_not_its_reply() {
    // Guards against a reply to the previous call that arrives first on the connection of this one.
    fn early(side: &mut Scripted) {
        side.reply(REQUEST, "one");
        // In case the call was written before the copy arrived.
        side.read_ask().into_iter().for_each(|()| side.reply(REQUEST, "two"));
    }
    fn then(side: &mut Scripted) {
        side.read_ask().unwrap();
        side.reply(REQUEST, "two");
    }
    // The call is connected and waits for a switch before it is written.
    let wait = RouteDecision::Wait(Instant::now() + Duration::from_millis(100));
    let reply = reply_to_second_call(
        &[early, then],
        vec![route_to(1, None), route_to(1, None), route_to(1, None), wait, route_to(1, None)],
    );
    assert_eq!(reply.as_deref(), Some(&b"two"[..]));
}

#[test]
fn a_late_copy_of_a_reply_that_arrives_after_the_next_call_is_written_is_not_its_reply() {
    // Guards against a reply to the previous call: a reply names the request, not the call.
    fn then(side: &mut Scripted) {
        side.read_ask().unwrap();
        side.reply(REQUEST, "one");
        side.reply(REQUEST, "two");
    }
    let reply = reply_to_second_call(&[then], vec![route_to(1, None)]);
    assert_eq!(reply.as_deref(), Some(&b"two"[..]));
}

#[test]
fn a_reply_to_another_request_on_the_connection_of_a_call_is_not_its_reply() {
    fn then(side: &mut Scripted) {
        side.read_ask().unwrap();
        side.reply(OTHER_REQUEST, "other");
        side.reply(REQUEST, "two");
    }
    assert_eq!(reply_to_second_call(&[then], vec![route_to(1, None)]).as_deref(), Some(&b"two"[..]));
}

#[test]
fn a_connection_that_is_closed_before_its_call_is_written_is_not_counted_as_a_stray_reply() {
    // Guards against a counter of late replies that also counts a vault's closed connections.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || listener.incoming().flatten().for_each(drop));
    let wait = |ms| RouteDecision::Wait(Instant::now() + Duration::from_millis(ms));
    let (hub, inbox) = test_hub(
        Some(Arc::new(FakeRouter::with_answers([route_to(1, None), wait(100), route_to(1, None)]))),
        Some(address),
    );
    let link = Link::start(&hub);
    let (ask, route) = (ask(1), Some(Box::default()));
    let (earlier_replies, body) = (Arc::from([]), [b'x'].into());
    link.send(Order::Ask { ask, fresh: true, earlier_replies, timeout: TIMEOUT, body, route });
    let mut strays = 0;
    loop {
        match inbox.recv_timeout(TIMEOUT) {
            Ok(Input::CallEnded { .. }) => break,
            Ok(Input::StrayReply) => strays += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(strays, 0);
}

#[test]
fn a_reply_equal_to_an_earlier_one_of_its_request_is_ignored() {
    // Guards against accepting a late copy when the call's own reply never arrives.
    fn then(side: &mut Scripted) {
        side.read_ask().unwrap();
        side.reply(REQUEST, "one");
    }
    let (hub, inbox) = test_hub(None, Some(scripted(vec![then])));
    let link = Link::start(&hub);
    let (ask, earlier_replies) = (ask(2), Arc::from([ReplyDigest::of(b"one")]));
    let (timeout, body) = (Duration::from_millis(300), [b'x'].into());
    link.send(Order::Ask { ask, fresh: true, earlier_replies, timeout, body, route: None });
    assert!(matches!(inbox.recv_timeout(TIMEOUT), Ok(Input::StrayReply)));
    assert!(matches!(inbox.recv_timeout(TIMEOUT), Ok(Input::CallEnded { end: End::Overdue, .. })));
}
