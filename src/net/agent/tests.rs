//! Tests of the agent link together with the reducer, against a scripted agent. Each test decides when the reducer
//! processes the inputs in its inbox.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::Receiver;
use std::time::Duration;

use rstest::rstest;

use super::*;
use crate::core::{AskId, Bytes, CallReply, Core, Effect, Handle, Input, Notice, Request};
use crate::net::call_routing::fake::test_hub;
use crate::settings::Site;

const TIMEOUT: Duration = Duration::from_secs(10);
const SITE: &str = include_str!("../../lab/site.json");
const STOP_AFTER: Duration = Duration::from_millis(3200);
/// The time between two inputs of the reducer.
const TICK: Duration = Duration::from_millis(1);
/// The handle of the only request.
const HANDLE: &str = "00000000000000aa";

/// The agent's end of a link.
struct Agent {
    reads: BufReader<TcpStream>,
    writes: TcpStream,
}

impl Agent {
    fn accept(listener: &TcpListener) -> Self {
        let writes = listener.accept().unwrap().0;
        writes.set_read_timeout(Some(TIMEOUT)).unwrap();
        let mut agent = Self { reads: BufReader::new(writes.try_clone().unwrap()), writes };
        agent.read_until("subscribe");
        agent
    }

    fn write(&mut self, line: &str) {
        self.writes.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    fn greet(&mut self) {
        self.write(r#"{"event":"greeting","fate":"hot","lasted":60000}"#);
    }

    /// Sends the notice that the run needs a call.
    fn request_call(&mut self, cursor: u64) {
        self.write(&format!(r#"{{"event":"request","cursor":{cursor},"handle":"{HANDLE}","arg":"YQ=="}}"#));
    }

    /// Reads lines up to and including the first one that contains `text`.
    fn read_until(&mut self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            assert!(self.reads.read_line(&mut line).unwrap() > 0, "the link ended before {text}: {lines:?}");
            lines.push(line);
            if lines.last().is_some_and(|line| line.contains(text)) {
                return lines;
            }
        }
    }

    fn close(self) {
        self.writes.shutdown(Shutdown::Both).unwrap();
    }

    /// Closes the link, and returns the bytes on it that were not read yet. It may end with a reset.
    fn close_and_read(mut self) -> String {
        self.writes.shutdown(Shutdown::Both).unwrap();
        let mut rest = Vec::new();
        let _ = self.reads.read_to_end(&mut rest);
        String::from_utf8(rest).unwrap()
    }
}

struct Bench {
    hub: Arc<Hub>,
    inbox: Receiver<Input>,
    core: Core,
    link: Link,
    listener: TcpListener,
    effects: Vec<Effect>,
    /// The reducer's time, so that calls do not time out while the test waits for a link.
    now: Duration,
}

impl Bench {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (hub, inbox) = test_hub(None, None);
        hub.links.lock().unwrap().agent = Some(listener.local_addr().unwrap());
        let now = hub.clock.now();
        let core = Core::new(Site::parse(SITE).unwrap(), 1, STOP_AFTER, now).unwrap();
        let link = Link::start(&hub);
        Self { hub, inbox, core, link, listener, effects: Vec::new(), now }
    }

    fn accept(&self) -> Agent {
        Agent::accept(&self.listener)
    }

    /// The reducer processes an input, and its commands are sent to the link manager.
    fn process(&mut self, input: Input) {
        self.now += TICK;
        for effect in self.core.step(self.now, [input]) {
            if let Effect::Agent { link, number, command } = &effect {
                self.link.send(OutgoingCommand { link: *link, number: *number, command: command.clone() });
            }
            self.effects.push(effect);
        }
    }

    /// The next input in the reducer's inbox, which must be a notice that `is_expected` accepts.
    fn next_notice(&self, is_expected: impl Fn(&Notice) -> bool) -> Input {
        match self.inbox.recv_timeout(TIMEOUT) {
            Ok(Input::Agent { link, notice }) if is_expected(&notice) => Input::Agent { link, notice },
            other => panic!("{other:?}"),
        }
    }

    fn link_end(&self) -> Input {
        self.next_notice(|notice| matches!(notice, Notice::Closed(_)))
    }

    fn greeting(&self) -> Input {
        self.next_notice(|notice| matches!(notice, Notice::Greeting { .. }))
    }

    /// Opens the first link and waits until the reducer has sent its marker on it.
    fn open_first_link(&mut self) -> Agent {
        let mut agent = self.accept();
        agent.greet();
        let greeting = self.greeting();
        self.process(greeting);
        agent.read_until("sync-");
        agent
    }

    /// Opens a link that ends immediately after the greeting. Returns its inputs for the reducer.
    fn brief_link(&self) -> [Input; 2] {
        let mut agent = self.accept();
        agent.greet();
        let greeting = self.greeting();
        agent.close();
        [greeting, self.link_end()]
    }

    fn request(&self, class: &str, key: Option<&str>) -> Input {
        Input::Request(Box::new(Request {
            conn: 1,
            handle: handle(),
            class: class.to_string(),
            start: self.now,
            timeout: Some(TIMEOUT),
            caller: 1,
            tenant: None,
            cost: None,
            size_kb: 40.0,
            rank: 0.8,
            key: key.map(Arc::from),
            object: None,
            body: Arc::from(*b"body"),
        }))
    }

    /// A reply to the last call that the reducer made.
    fn reply(&self, body: &[u8]) -> Input {
        let ask = self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Call { handle, cursor, attempt, .. } => {
                Some(AskId { handle: *handle, cursor: *cursor, attempt: *attempt })
            }
            _ => None,
        });
        let ask = ask.unwrap();
        let reply = Some(CallReply::read(ask, 1, Bytes::from(body)));
        Input::CallEnded { handle: handle(), attempt: ask.attempt, end: End::Complete, reply, fence: None }
    }

    /// Starts a run that waits for the reply to its first call, which has been made.
    fn start_run_at_call(&mut self, class: &str, key: Option<&str>) -> Agent {
        let mut agent = self.open_first_link();
        let request = self.request(class, key);
        self.process(request);
        agent.read_until("launch");
        agent.request_call(1);
        let call = self.next_notice(|notice| matches!(notice, Notice::CallNeeded { .. }));
        self.process(call);
        agent
    }

    /// Greets on a link that stays open. Returns all lines on it up to the marker that follows the greeting.
    fn lasting_link(&mut self, mut agent: Agent) -> Vec<String> {
        agent.greet();
        let greeting = self.greeting();
        self.process(greeting);
        let marker_link = |effect: &Effect| match effect {
            Effect::Agent { link, command: Command::Sync, .. } => Some(*link),
            _ => None,
        };
        let last = self.effects.iter().rev().find_map(marker_link).unwrap();
        agent.read_until(&format!("sync-{last}\""))
    }
}

fn handle() -> Handle {
    HANDLE.parse().unwrap()
}

fn count(lines: &[String], event: &str) -> usize {
    lines.iter().filter(|line| line.contains(&format!(r#""event":"{event}""#))).count()
}

#[rstest]
#[case::may_run_again("queue-status", None)]
#[case::must_run_once("lobby-confirm", Some("k"))]
fn a_reply_is_sent_once_if_links_end_before_the_reducer_learns_of_the_first_end(
    #[case] class: &str,
    #[case] key: Option<&str>,
    #[values(1, 2, 3)] brief_links: usize,
) {
    // Guards against a reply that reaches the next call: after the report of one lost link, commands passed although
    // another link had been lost since.
    let mut bench = Bench::start();
    bench.start_run_at_call(class, key).close();
    let mut unread = vec![bench.link_end()];
    unread.extend((0..brief_links).flat_map(|_| bench.brief_link()));
    let agent = bench.accept();
    let last = unread.pop().unwrap();
    unread.into_iter().for_each(|input| bench.process(input));
    // The reply arrives while the reducer believes that the link is up.
    let reply = bench.reply(b"one");
    bench.process(reply);
    bench.process(last);
    let sent = bench.lasting_link(agent);
    assert_eq!(count(&sent, "deliver"), 1, "{sent:?}");
}

#[test]
fn a_reply_that_arrived_between_links_is_sent_once_if_the_next_link_has_ended() {
    // Guards against the same fault for a reply that the reducer kept for the next link.
    let mut bench = Bench::start();
    bench.start_run_at_call("queue-status", None).close();
    let end = bench.link_end();
    bench.process(end);
    let reply = bench.reply(b"one");
    bench.process(reply);
    let [greeting, end] = bench.brief_link();
    let agent = bench.accept();
    bench.process(greeting);
    bench.process(end);
    let sent = bench.lasting_link(agent);
    assert_eq!(count(&sent, "deliver"), 1, "{sent:?}");
}

#[test]
fn a_request_that_must_run_once_is_launched_once_if_links_end_before_the_reducer_learns_of_it() {
    // Guards against a second run: after the report of one lost link, commands passed although another link had been
    // lost since.
    let mut bench = Bench::start();
    bench.open_first_link().close();
    let first = bench.link_end();
    let [greeting, end] = bench.brief_link();
    let agent = bench.accept();
    bench.process(first);
    bench.process(greeting);
    let request = bench.request("lobby-confirm", Some("k"));
    bench.process(request);
    bench.process(end);
    let sent = bench.lasting_link(agent);
    assert_eq!(count(&sent, "launch"), 1, "{sent:?}");
}

#[test]
fn the_last_marker_of_one_link_differs_from_that_of_the_next() {
    // Guards against a link that moves while commands on it are unread, because the late answer to an earlier link's
    // marker is taken for an answer to its own.
    let mut bench = Bench::start();
    let mut agent = bench.open_first_link();
    let mut markers = Vec::new();
    for _ in 0..2 {
        let next = TcpListener::bind("127.0.0.1:0").unwrap();
        bench.hub.links.lock().unwrap().agent = Some(next.local_addr().unwrap());
        bench.link.relink();
        markers.extend(agent.read_until("move").pop());
        // The marker stays unanswered.
        bench.link_end();
        bench.listener = next;
        agent = bench.accept();
    }
    assert_ne!(markers[0], markers[1]);
}

#[rstest]
fn a_reply_is_sent_once_per_call_in_any_order_of_links_and_inputs(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    // Guards against a reply that reaches the next call, in random orders of events.
    const ROUNDS: u64 = 12;
    let mut random = seed;
    let mut draw = move |bound: u64| {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) % bound
    };
    let mut bench = Bench::start();
    let mut agent = bench.start_run_at_call("queue-status", None);
    let mut unread = std::collections::VecDeque::new();
    let mut reply = Some(bench.reply(b"one"));
    let mut sent = Vec::new();
    for _ in 0..ROUNDS {
        match draw(3) {
            0 => {
                sent.push(agent.close_and_read());
                unread.push_back(bench.link_end());
                agent = bench.accept();
                if draw(4) > 0 {
                    agent.greet();
                    unread.push_back(bench.greeting());
                }
            }
            1 => {
                unread.drain(..draw(unread.len() as u64 + 1) as usize).for_each(|input| bench.process(input))
            }
            _ if draw(3) == 0 => reply.take().into_iter().for_each(|reply| bench.process(reply)),
            _ => {}
        }
    }
    sent.push(agent.close_and_read());
    unread.push_back(bench.link_end());
    unread.into_iter().for_each(|input| bench.process(input));
    reply.into_iter().for_each(|reply| bench.process(reply));
    let agent = bench.accept();
    sent.extend(bench.lasting_link(agent));
    let all = sent.concat();
    assert!(all.matches(r#""event":"deliver""#).count() <= 1, "{all}");
}

#[test]
fn no_run_receives_the_reply_to_its_last_call_as_the_reply_to_its_next_one() {
    // Guards against a run that receives a reply, calls again immediately, and receives the same reply once more.
    let mut bench = Bench::start();
    bench.start_run_at_call("queue-status", None).close();
    let first = bench.link_end();
    let [greeting, last] = bench.brief_link();
    let mut agent = bench.accept();
    let reply = bench.reply(b"one");
    [first, greeting, reply, last].into_iter().for_each(|input| bench.process(input));
    // The agent reads what was sent before the greeting, and the run is at its next call.
    agent.writes.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    let mut line = String::new();
    while !line.contains("deliver") && agent.reads.read_line(&mut line).is_ok_and(|len| len > 0) {}
    agent.greet();
    let greeting = bench.greeting();
    if line.contains("deliver") {
        agent.request_call(2);
    }
    bench.process(greeting);
    let sent = agent.read_until("sync-3");
    let delivered = usize::from(line.contains("deliver")) + count(&sent, "deliver");
    assert_eq!(delivered, 1, "the second call has no reply yet: {sent:?}");
}
