//! The link against a router whose answers are told beforehand, and services on loopback.

use std::io::{BufRead, BufReader, Read};
use std::net::TcpListener;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;

use super::*;
use crate::net::call_routing::fake::{test_hub, FakeRouter};

const PATIENCE: Duration = Duration::from_secs(10);

/// A service below that notes each ask with the number of its connection, and answers with these words.
struct Service {
    at: SocketAddr,
    asks: Arc<Mutex<Vec<(usize, String)>>>,
}

impl Service {
    fn start(words: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (at, asks) = (listener.local_addr().unwrap(), Arc::<Mutex<Vec<(usize, String)>>>::default());
        let noted = asks.clone();
        std::thread::spawn(move || {
            for (n, stream) in listener.incoming().flatten().enumerate() {
                let noted = noted.clone();
                std::thread::spawn(move || {
                    let mut writes = stream.try_clone().unwrap();
                    let (mut reads, mut line) = (BufReader::new(stream), String::new());
                    while matches!(reads.read_line(&mut line), Ok(n) if n > 0) {
                        let ask: Vec<_> = line.trim_end().split(' ').map(str::to_string).collect();
                        let mut body = vec![0; ask[3].parse::<usize>().unwrap() + 2];
                        reads.read_exact(&mut body).unwrap();
                        noted.lock().unwrap().push((n, ask[4..].concat()));
                        if !words.is_empty() {
                            write!(writes, "{} {words}", ask[1]).unwrap();
                        }
                        line.clear();
                    }
                });
            }
        });
        Self { at, asks }
    }

    /// The connection and the fence of each ask so far.
    fn asks(&self) -> Vec<(usize, String)> {
        self.asks.lock().unwrap().clone()
    }
}

fn fence(turn: u64) -> Fence {
    Fence { turn, version: turn * 10 }
}

fn go(turn: u64, service: Option<&Service>) -> Routed {
    Routed::Go { fence: fence(turn), address: service.map(|s| s.at), timeout: None, allowed: None }
}

struct Bench {
    link: Link,
    inbox: Receiver<Input>,
    double: Arc<FakeRouter>,
}

impl Bench {
    fn new(routed: impl IntoIterator<Item = Routed>, vault: Option<&Service>) -> Self {
        let double = Arc::new(FakeRouter::with_answers(routed));
        let (hub, inbox) = test_hub(Some(double.clone()), vault.map(|v| v.at));
        Self { link: Link::start(&hub), inbox, double }
    }

    fn ask(&self, attempt: u32, fresh: bool, patience: Duration) {
        let handle = "00000000000000aa".parse().unwrap();
        let route = Some(Box::default());
        self.link.send(Order::Ask {
            handle,
            attempt,
            fresh,
            earlier: Arc::from([]),
            patience,
            body: [b'x'].into(),
            route,
        });
    }

    /// How the next call ended, and what it went out under.
    fn ended(&self) -> (End, Option<Fence>) {
        match self.inbox.recv_timeout(PATIENCE) {
            Ok(Input::CallEnded { end, fence, .. }) => (end, fence),
            other => panic!("{other:?}"),
        }
    }
}

const YES: &str = "yes 1\r\ny\r\n";

#[test]
fn a_call_goes_where_its_route_says_and_carries_the_fence_only_after_an_activation() {
    let (own, other) = (Service::start(YES), Service::start(YES));
    for (turn, service, words) in [(0, &own, ""), (3, &other, "3.30")] {
        let bench = Bench::new([go(turn, Some(&other).filter(|_| turn > 0))], Some(&own));
        bench.ask(1, true, PATIENCE);
        assert_eq!(bench.ended(), (End::Complete, Some(fence(turn))));
        assert_eq!(service.asks(), [(0, words.to_string())]);
    }
}

#[test]
fn it_is_routed_again_right_before_the_write() {
    // Guards against a call under a version that ended while its connection was made.
    let (old, new) = (Service::start(YES), Service::start(YES));
    let bench = Bench::new([go(1, Some(&old)), go(2, Some(&new))], None);
    bench.ask(1, true, PATIENCE);
    assert_eq!(bench.ended(), (End::Complete, Some(fence(2))));
    assert_eq!((old.asks(), new.asks()), (vec![], vec![(0, "2.20".to_string())]));
    for (then, end) in [(Routed::Barred, End::Barred), (Routed::Ended(fence(1)), End::Stale)] {
        let bench = Bench::new([go(1, Some(&old)), then], None);
        bench.ask(1, true, PATIENCE);
        assert_eq!(bench.ended(), (end, None));
    }
    assert!(old.asks().is_empty());
}

#[test]
fn inside_a_switch_it_waits_and_not_for_long() {
    let service = Service::start(YES);
    let moment = Instant::now() + Duration::from_millis(8);
    let bench = Bench::new([Routed::Wait(moment), go(2, Some(&service))], None);
    bench.ask(1, true, PATIENCE);
    assert_eq!(bench.ended(), (End::Complete, Some(fence(2))));
    assert!(Instant::now() >= moment);
    // A moment that never passes, by the clock of a member that is wrong.
    let bench = Bench::new([Routed::Wait(Instant::now() + PATIENCE)], None);
    let since = Instant::now();
    bench.ask(1, true, PATIENCE);
    assert_eq!(bench.ended(), (End::Barred, None));
    assert!(since.elapsed() >= MOST_WAIT && since.elapsed() < PATIENCE / 2, "{:?}", since.elapsed());
}

#[test]
fn a_later_call_of_a_request_is_routed_with_what_the_one_before_went_out_under() {
    // Guards against a second call under another version, made before the reducer read of the first one's end.
    let silent = Service::start("");
    let bench = Bench::new([go(1, Some(&silent))], None);
    bench.ask(1, false, PATIENCE);
    let since = Instant::now();
    while silent.asks().is_empty() {
        assert!(since.elapsed() < PATIENCE);
        std::thread::sleep(Duration::from_millis(1));
    }
    bench.link.send(Order::Unask { handle: "00000000000000aa".parse().unwrap(), attempt: 1 });
    bench.ask(2, false, Duration::from_millis(50));
    for _ in 0..2 {
        assert_eq!(bench.ended().1, Some(fence(1)));
    }
    let tried: Vec<_> = bench.double.routed_calls().iter().map(|call| call.tried).collect();
    assert_eq!((tried.first(), tried.last()), (Some(&None), Some(&Some(fence(1)))));
}

#[test]
fn connections_are_kept_by_address_and_a_timeout_ends_a_call_earlier() {
    let (a, b, silent) = (Service::start(YES), Service::start(YES), Service::start(""));
    let each = [&a, &b, &a, &b].into_iter().flat_map(|s| [go(1, Some(s)), go(1, Some(s))]);
    let bench = Bench::new(each, None);
    for _ in 0..4 {
        bench.ask(1, false, PATIENCE);
        assert_eq!(bench.ended().0, End::Complete);
    }
    for service in [a, b] {
        assert_eq!(service.asks(), vec![(0, "1.10".to_string()); 2]);
    }
    let timeout = Some(Duration::from_millis(30));
    let bench =
        Bench::new([Routed::Go { fence: fence(1), address: Some(silent.at), timeout, allowed: None }], None);
    let since = Instant::now();
    bench.ask(1, true, PATIENCE);
    assert_eq!(bench.ended(), (End::Overdue, Some(fence(1))));
    assert!(since.elapsed() < PATIENCE / 2);
}

#[test]
fn a_service_that_saw_a_newer_turn_ends_the_call_and_it_is_counted() {
    let service = Service::start("stale\r\n");
    let bench = Bench::new([go(1, Some(&service))], None);
    bench.ask(1, true, PATIENCE);
    assert_eq!(bench.ended(), (End::Stale, Some(fence(1))));
    assert_eq!(bench.double.stale.load(Ordering::Relaxed), 1);
}

#[test]
fn a_call_that_was_sent_back_unseen_binds_its_request_to_no_version() {
    // Guards against requests that a switch fails although nothing of them has happened.
    let busy = Service::start("notnow\r\n");
    let bench = Bench::new([go(1, Some(&busy))], None);
    for attempt in [1, 2] {
        bench.ask(attempt, true, PATIENCE);
        assert_eq!(bench.ended(), (End::NotNow, None));
    }
    assert!(bench.double.routed_calls().iter().all(|call| call.tried.is_none()));
}

/// A service below whose connections, one after the other, follow a script each; returns its address.
fn scripted(scripts: Vec<fn(&mut Scripted)>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (script, stream) in scripts.into_iter().zip(listener.incoming().flatten()) {
            let mut side = Scripted { writes: stream.try_clone().unwrap(), reads: BufReader::new(stream) };
            std::thread::spawn(move || {
                script(&mut side);
                // Open until the other side closes it.
                let _ = side.reads.read_to_end(&mut Vec::new());
            });
        }
    });
    at
}

/// The service's side of a connection.
struct Scripted {
    reads: BufReader<std::net::TcpStream>,
    writes: std::net::TcpStream,
}

impl Scripted {
    /// Reads a call; none where the other side has closed.
    fn ask(&mut self) -> Option<()> {
        let mut line = String::new();
        self.reads.read_line(&mut line).ok()?;
        let len: usize = line.trim_end().split(' ').nth(3)?.parse().unwrap();
        self.reads.read_exact(&mut vec![0; len + 2]).ok()
    }

    fn reply(&mut self, handle: &str, body: &str) {
        write!(self.writes, "{handle} yes {}\r\n{body}\r\n", body.len()).unwrap();
    }
}

const ID: &str = "00000000000000aa";
const OTHER: &str = "00000000000000bb";

/// Makes the second call of a request, after its first one was answered on a connection of its own.
fn second_call(then: &[fn(&mut Scripted)], looks: Vec<Routed>) -> Option<Bytes> {
    fn first(side: &mut Scripted) {
        side.ask().unwrap();
        side.reply(ID, "one");
    }
    let double = Arc::new(FakeRouter::with_answers(looks));
    let scripts = [&[first as fn(&mut Scripted)], then].concat();
    let (hub, inbox) = test_hub(Some(double), Some(scripted(scripts)));
    let link = Link::start(&hub);
    let mut last = None;
    for attempt in [1, 2] {
        let (handle, route) = (ID.parse().unwrap(), Some(Box::default()));
        let earlier = last.iter().map(|reply: &Bytes| ReplyDigest::of(reply)).collect();
        let (patience, body) = (PATIENCE, [b'x'].into());
        link.send(Order::Ask { handle, attempt, fresh: true, earlier, patience, body, route });
        last = loop {
            match inbox.recv_timeout(PATIENCE) {
                Ok(Input::CallEnded { reply, .. }) => break reply,
                Ok(Input::StrayReply) => {}
                other => panic!("{other:?}"),
            }
        };
    }
    last
}

#[test]
fn a_late_copy_of_a_reply_that_comes_before_the_next_call_is_written_is_not_its_reply() {
    // Guards against a reply to the call before, which comes first on the connection of this one.
    fn early(side: &mut Scripted) {
        side.reply(ID, "one");
        // Where the call was written before that came.
        side.ask().into_iter().for_each(|()| side.reply(ID, "two"));
    }
    fn then(side: &mut Scripted) {
        side.ask().unwrap();
        side.reply(ID, "two");
    }
    // The call waits for the moment of a switch, connected and not written.
    let wait = Routed::Wait(Instant::now() + Duration::from_millis(100));
    let reply = second_call(&[early, then], vec![go(1, None), go(1, None), go(1, None), wait, go(1, None)]);
    assert_eq!(reply.as_deref(), Some(&b"two"[..]));
}

#[test]
fn a_late_copy_of_a_reply_that_comes_after_the_next_call_is_written_is_not_its_reply() {
    // Guards against a reply to the call before, which names the request and not the call.
    fn then(side: &mut Scripted) {
        side.ask().unwrap();
        side.reply(ID, "one");
        side.reply(ID, "two");
    }
    let reply = second_call(&[then], vec![go(1, None)]);
    assert_eq!(reply.as_deref(), Some(&b"two"[..]));
}

#[test]
fn a_reply_to_another_request_over_the_connection_of_a_call_is_not_its_reply() {
    fn then(side: &mut Scripted) {
        side.ask().unwrap();
        side.reply(OTHER, "other");
        side.reply(ID, "two");
    }
    assert_eq!(second_call(&[then], vec![go(1, None)]).as_deref(), Some(&b"two"[..]));
}

#[test]
fn a_connection_that_is_closed_before_its_call_is_written_is_no_stray_reply() {
    // Guards against a counter that blames late replies for a vault that closes connections.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = listener.local_addr().unwrap();
    std::thread::spawn(move || listener.incoming().flatten().for_each(drop));
    let wait = |ms| Routed::Wait(Instant::now() + Duration::from_millis(ms));
    let (hub, inbox) =
        test_hub(Some(Arc::new(FakeRouter::with_answers([go(1, None), wait(100), go(1, None)]))), Some(at));
    let link = Link::start(&hub);
    let (handle, route) = (ID.parse().unwrap(), Some(Box::default()));
    let (earlier, body) = (Arc::from([]), [b'x'].into());
    link.send(Order::Ask { handle, attempt: 1, fresh: true, earlier, patience: PATIENCE, body, route });
    let mut strays = 0;
    loop {
        match inbox.recv_timeout(PATIENCE) {
            Ok(Input::CallEnded { .. }) => break,
            Ok(Input::StrayReply) => strays += 1,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(strays, 0);
}

#[test]
fn a_reply_that_reads_like_an_earlier_one_of_its_request_is_not_taken() {
    // Guards against a late copy that comes where the reply itself never does.
    fn then(side: &mut Scripted) {
        side.ask().unwrap();
        side.reply(ID, "one");
    }
    let (hub, inbox) = test_hub(None, Some(scripted(vec![then])));
    let link = Link::start(&hub);
    let (handle, earlier) = (ID.parse().unwrap(), Arc::from([ReplyDigest::of(b"one")]));
    let (patience, body) = (Duration::from_millis(300), [b'x'].into());
    link.send(Order::Ask { handle, attempt: 2, fresh: true, earlier, patience, body, route: None });
    assert!(matches!(inbox.recv_timeout(PATIENCE), Ok(Input::StrayReply)));
    assert!(matches!(inbox.recv_timeout(PATIENCE), Ok(Input::CallEnded { end: End::Overdue, .. })));
}
