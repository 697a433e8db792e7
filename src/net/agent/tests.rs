//! The link and the reducer against a scripted agent, where the test decides when the reducer reads its inbox.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::Receiver;
use std::time::Duration;

use rstest::rstest;

use super::*;
use crate::core::{Bytes, Core, Effect, Handle, Input, Notice, Request};
use crate::net::call_routing::fake::test_hub;
use crate::settings::Site;

const PATIENCE: Duration = Duration::from_secs(10);
const SITE: &str = include_str!("../../lab/site.json");
const STOP_AFTER: Duration = Duration::from_millis(3200);
/// From one input of the reducer to the next.
const TICK: Duration = Duration::from_millis(1);
/// The one request's handle.
const HANDLE: &str = "00000000000000aa";

/// The agent's end of a link.
struct Agent {
    reads: BufReader<TcpStream>,
    writes: TcpStream,
}

impl Agent {
    fn accept(listener: &TcpListener) -> Self {
        let writes = listener.accept().unwrap().0;
        writes.set_read_timeout(Some(PATIENCE)).unwrap();
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

    fn calls(&mut self, cursor: u64) {
        self.write(&format!(r#"{{"event":"request","cursor":{cursor},"handle":"{HANDLE}","arg":"YQ=="}}"#));
    }

    /// The lines up to one with this text, which is the last of them.
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

    fn cut(self) {
        self.writes.shutdown(Shutdown::Both).unwrap();
    }

    /// Cuts the link, and returns what had come on it unread. A reset at its end is an end like others.
    fn cut_and_read(mut self) -> String {
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
    /// The reducer's own time: calls are not late because a link takes long to come.
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

    /// The reducer takes an input, and what it says goes to the link manager of the link.
    fn take(&mut self, input: Input) {
        self.now += TICK;
        for effect in self.core.step(self.now, [input]) {
            if let Effect::Agent { link, number, command } = &effect {
                self.link.send(OutgoingCommand { link: *link, number: *number, command: command.clone() });
            }
            self.effects.push(effect);
        }
    }

    /// The next input that waits for the reducer, which is to be such a notice.
    fn waiting(&self, is_it: impl Fn(&Notice) -> bool) -> Input {
        match self.inbox.recv_timeout(PATIENCE) {
            Ok(Input::Agent { link, notice }) if is_it(&notice) => Input::Agent { link, notice },
            other => panic!("{other:?}"),
        }
    }

    fn lost(&self) -> Input {
        self.waiting(|notice| matches!(notice, Notice::Closed(_)))
    }

    fn greeting(&self) -> Input {
        self.waiting(|notice| matches!(notice, Notice::Greeting { .. }))
    }

    /// The first link, on which nothing is in doubt.
    fn linked(&mut self) -> Agent {
        let mut agent = self.accept();
        agent.greet();
        let greeting = self.greeting();
        self.take(greeting);
        agent.read_until("sync-");
        agent
    }

    /// A link is greeted and ends; returns what of it waits for the reducer.
    fn brief_link(&self) -> [Input; 2] {
        let mut agent = self.accept();
        agent.greet();
        let greeting = self.greeting();
        agent.cut();
        [greeting, self.lost()]
    }

    fn request(&self, class: &str, key: Option<&str>) -> Input {
        Input::Request(Box::new(Request {
            conn: 1,
            handle: handle(),
            class: class.to_string(),
            start: self.now,
            timeout: Some(PATIENCE),
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

    /// The reply to the call that the reducer has made last.
    fn reply(&self, body: &[u8]) -> Input {
        let attempt = self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Call { attempt, .. } => Some(*attempt),
            _ => None,
        });
        let reply = Some(Bytes::from(body));
        Input::CallEnded {
            handle: handle(),
            attempt: attempt.unwrap(),
            end: End::Complete,
            reply,
            fence: None,
        }
    }

    /// A run waits for the reply to its first call, which is out.
    fn at_call(&mut self, class: &str, key: Option<&str>) -> Agent {
        let mut agent = self.linked();
        let request = self.request(class, key);
        self.take(request);
        agent.read_until("launch");
        agent.calls(1);
        let call = self.waiting(|notice| matches!(notice, Notice::CallNeeded { .. }));
        self.take(call);
        agent
    }

    /// A link stays; returns all that is said on it up to the mark that follows its greeting.
    fn lasting_link(&mut self, mut agent: Agent) -> Vec<String> {
        agent.greet();
        let greeting = self.greeting();
        self.take(greeting);
        let mark = |effect: &Effect| match effect {
            Effect::Agent { link, command: Command::Sync, .. } => Some(*link),
            _ => None,
        };
        let last = self.effects.iter().rev().find_map(mark).unwrap();
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
fn a_reply_is_said_once_where_links_end_before_the_reducer_reads_of_the_first(
    #[case] class: &str,
    #[case] key: Option<&str>,
    #[values(1, 2, 3)] brief_links: usize,
) {
    // Guards against a reply that reaches the next call: the word for one loss lets commands through after a later one.
    let mut bench = Bench::start();
    bench.at_call(class, key).cut();
    let mut unread = vec![bench.lost()];
    unread.extend((0..brief_links).flat_map(|_| bench.brief_link()));
    let agent = bench.accept();
    let last = unread.pop().unwrap();
    unread.into_iter().for_each(|input| bench.take(input));
    // The reply comes while the reducer takes the link for one that is up.
    let reply = bench.reply(b"one");
    bench.take(reply);
    bench.take(last);
    let said = bench.lasting_link(agent);
    assert_eq!(count(&said, "deliver"), 1, "{said:?}");
}

#[test]
fn a_reply_that_came_between_links_is_said_once_where_the_next_link_has_ended() {
    // Guards against the same for a reply that the reducer kept for the next link.
    let mut bench = Bench::start();
    bench.at_call("queue-status", None).cut();
    let lost = bench.lost();
    bench.take(lost);
    let reply = bench.reply(b"one");
    bench.take(reply);
    let [greeting, lost] = bench.brief_link();
    let agent = bench.accept();
    bench.take(greeting);
    bench.take(lost);
    let said = bench.lasting_link(agent);
    assert_eq!(count(&said, "deliver"), 1, "{said:?}");
}

#[test]
fn what_must_run_once_is_launched_once_where_links_end_before_the_reducer_reads_of_the_first() {
    // Guards against a second run by the word for one loss that lets commands through after a later one.
    let mut bench = Bench::start();
    bench.linked().cut();
    let first = bench.lost();
    let [greeting, lost] = bench.brief_link();
    let agent = bench.accept();
    bench.take(first);
    bench.take(greeting);
    let request = bench.request("lobby-confirm", Some("k"));
    bench.take(request);
    bench.take(lost);
    let said = bench.lasting_link(agent);
    assert_eq!(count(&said, "launch"), 1, "{said:?}");
}

#[test]
fn the_last_mark_of_one_link_cannot_pass_for_that_of_the_next() {
    // Guards against a link that moves with commands unread, on the word that a link before it still owed.
    let mut bench = Bench::start();
    let mut agent = bench.linked();
    let mut marks = Vec::new();
    for _ in 0..2 {
        let next = TcpListener::bind("127.0.0.1:0").unwrap();
        bench.hub.links.lock().unwrap().agent = Some(next.local_addr().unwrap());
        bench.link.relink();
        marks.extend(agent.read_until("move").pop());
        // The mark stays unanswered.
        bench.lost();
        bench.listener = next;
        agent = bench.accept();
    }
    assert_ne!(marks[0], marks[1]);
}

#[rstest]
fn whatever_the_order_of_links_and_inputs_a_reply_is_said_once_a_call(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    // Guards against a reply that reaches the next call, in orders that nobody thought of.
    const ROUNDS: u64 = 12;
    let mut random = seed;
    let mut draw = move |most: u64| {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) % most
    };
    let mut bench = Bench::start();
    let mut agent = bench.at_call("queue-status", None);
    let mut unread = std::collections::VecDeque::new();
    let mut reply = Some(bench.reply(b"one"));
    let mut said = Vec::new();
    for _ in 0..ROUNDS {
        match draw(3) {
            0 => {
                said.push(agent.cut_and_read());
                unread.push_back(bench.lost());
                agent = bench.accept();
                if draw(4) > 0 {
                    agent.greet();
                    unread.push_back(bench.greeting());
                }
            }
            1 => unread.drain(..draw(unread.len() as u64 + 1) as usize).for_each(|input| bench.take(input)),
            _ if draw(3) == 0 => reply.take().into_iter().for_each(|reply| bench.take(reply)),
            _ => {}
        }
    }
    said.push(agent.cut_and_read());
    unread.push_back(bench.lost());
    unread.into_iter().for_each(|input| bench.take(input));
    reply.into_iter().for_each(|reply| bench.take(reply));
    let agent = bench.accept();
    said.extend(bench.lasting_link(agent));
    let all = said.concat();
    assert!(all.matches(r#""event":"deliver""#).count() <= 1, "{all}");
}

#[test]
fn no_run_is_given_the_reply_to_its_last_call_for_its_next_one() {
    // Guards against a run that hears a reply at once, calls again, and is handed that reply once more.
    let mut bench = Bench::start();
    bench.at_call("queue-status", None).cut();
    let first = bench.lost();
    let [greeting, last] = bench.brief_link();
    let mut agent = bench.accept();
    let reply = bench.reply(b"one");
    [first, greeting, reply, last].into_iter().for_each(|input| bench.take(input));
    // What was said before the greeting is heard, and the run is at its next call.
    agent.writes.set_read_timeout(Some(Duration::from_millis(500))).unwrap();
    let mut line = String::new();
    while !line.contains("deliver") && agent.reads.read_line(&mut line).is_ok_and(|len| len > 0) {}
    agent.greet();
    let greeting = bench.greeting();
    if line.contains("deliver") {
        agent.calls(2);
    }
    bench.take(greeting);
    let said = agent.read_until("sync-3");
    let heard = usize::from(line.contains("deliver")) + count(&said, "deliver");
    assert_eq!(heard, 1, "no reply to the second call was made yet: {said:?}");
}
