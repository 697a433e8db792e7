//! The lab's agent keeps to the platform's protocol, so that what it records as changed is the matcher's doing.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use hopwalk::lab::history::{self, Event, Recorder};
use hopwalk::lab::stand_in::asks::Asks;
use hopwalk::lab::stand_in::{Agent, Deadlines, Lifetimes, Results};

const PATIENCE: Duration = Duration::from_secs(10);
const WORK: Duration = Duration::from_millis(2);

/// A matcher's link to the agent.
struct Link {
    writes: TcpStream,
    lines: BufReader<TcpStream>,
}

impl Link {
    /// Subscribes behind so many notices, and waits for the greeting.
    fn open(agent: SocketAddr, cursor: u64) -> Self {
        let writes = TcpStream::connect(agent).unwrap();
        writes.set_read_timeout(Some(PATIENCE)).unwrap();
        let lines = BufReader::new(writes.try_clone().unwrap());
        let mut link = Self { writes, lines };
        link.say(&format!(r#"{{"event":"subscribe","cursor":{cursor}}}"#));
        link.wait_for("greeting");
        link
    }

    fn say(&mut self, line: &str) {
        self.writes.write_all(format!("{line}\n").as_bytes()).unwrap();
    }

    fn say_about(&mut self, event: &str, handle: &str, arg: &str) {
        let arg = BASE64.encode(arg);
        self.say(&format!(r#"{{"event":"{event}","handle":"{handle}","entry":"seat","arg":"{arg}"}}"#));
    }

    /// The next notice of this kind.
    fn wait_for(&mut self, event: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.lines.read_line(&mut line).unwrap() > 0, "the agent closed before a {event}");
            if line.contains(&format!(r#""event":"{event}""#)) {
                return line;
            }
        }
    }

    /// Waits until the agent has read all that was said.
    fn until_read(&mut self) {
        self.say(r#"{"event":"sample","ticket":"read"}"#);
        self.wait_for("sampled");
    }

    /// Waits until the agent has ended the link by itself.
    fn until_ended(mut self) {
        self.lines.read_to_end(&mut Vec::new()).unwrap();
    }

    /// Says nothing more, and waits until the agent has read all that was said and ended the link.
    fn end(mut self) {
        self.writes.shutdown(Shutdown::Write).unwrap();
        self.lines.read_to_end(&mut Vec::new()).unwrap();
    }
}

fn history_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("hopwalk-{name}-{}", std::process::id()))
}

/// An agent that records what it is told that it must not be told.
struct Recording {
    file: PathBuf,
    recorder: Recorder,
    agent: Agent,
}

impl Recording {
    /// Runs make so many calls; requests of the handles `h`, `k` and `l` are not over for a while.
    fn start(name: &str, calls: usize, lifetimes: Option<Lifetimes>) -> Self {
        Self::working(name, WORK, calls, lifetimes)
    }

    fn working(name: &str, work: Duration, calls: usize, lifetimes: Option<Lifetimes>) -> Self {
        let file = history_file(name);
        let recorder = Recorder::create(&file).unwrap();
        let deadlines = Deadlines::default();
        ["h", "k", "l"].iter().for_each(|handle| deadlines.insert(handle, Instant::now() + PATIENCE));
        let agent = Agent::recorded(3, work, calls, recorder.clone(), "a1", deadlines, lifetimes);
        Self { file, recorder, agent }
    }

    /// What was recorded as changed: the handle, and the kind of the fault.
    fn changed(self) -> Vec<(String, String)> {
        self.recorder.finish();
        let (records, bad) = history::read(&self.file).unwrap();
        std::fs::remove_file(&self.file).unwrap();
        assert!(bad.is_empty(), "{bad:?}");
        let changed = records.into_iter().filter_map(|record| match record.event {
            Event::Changed { handle, what, .. } => Some((handle, what)),
            _ => None,
        });
        let kind = |what: String| what.split(' ').next().unwrap_or_default().to_string();
        changed.map(|(handle, what)| (handle, kind(what))).collect()
    }
}

fn faults(of: &[(&str, &str)]) -> Vec<(String, String)> {
    of.iter().map(|(handle, kind)| (handle.to_string(), kind.to_string())).collect()
}

#[test]
fn a_command_that_is_read_late_on_a_replaced_link_is_not_taken_up() {
    // A matcher whose reply was in doubt skips its call on the next link; the reply, read after that, would be taken for
    // that of the run's next call.
    let file = history_file("agent");
    let recorder = Recorder::create(&file).unwrap();
    let deadlines = Deadlines::default();
    deadlines.insert("h", Instant::now() + PATIENCE);
    let agent = Agent::recorded(1, WORK, 2, recorder.clone(), "a1", deadlines, None);
    let mut replaced = Link::open(agent.address, 0);
    replaced.say_about("launch", "h", "lab h  seat");
    assert!(replaced.wait_for("request").contains(r#""cursor":1"#));

    let mut newer = Link::open(agent.address, 1);
    newer.say(r#"{"event":"forgo","handle":"h","cursor":1,"arg":""}"#);
    newer.wait_for("request");
    replaced.say_about("deliver", "h", "reply:lab h  seat");
    replaced.end();
    newer.say_about("deliver", "h", "reply:lab h  seat call 1");

    let made = BASE64.encode("made:lab h  seatreply:lab h  seat call 1");
    let outcome = newer.wait_for("outcome");
    recorder.finish();
    let (records, bad) = history::read(&file).unwrap();
    std::fs::remove_file(&file).unwrap();
    let changed = |record: &&history::Record| matches!(record.event, Event::Changed { .. });
    assert_eq!((records.iter().find(changed), bad), (None, Vec::new()));
    assert!(outcome.contains(&made), "{outcome}");
}

#[test]
fn a_second_reply_to_one_call_is_a_fault_also_where_the_run_waits_for_nothing() {
    let recording = Recording::start("again", 1, None);
    let mut link = Link::open(recording.agent.address, 0);
    link.say_about("launch", "h", "lab h  seat");
    link.wait_for("request");
    link.say_about("deliver", "h", "reply:lab h  seat");
    link.wait_for("outcome");
    link.say_about("deliver", "h", "reply:lab h  seat");
    link.until_read();
    assert_eq!(recording.changed(), faults(&[("h", "reply_again")]));
}

#[test]
fn the_reply_to_one_call_given_to_the_next_is_a_fault() {
    let recording = Recording::start("next", 2, None);
    let mut link = Link::open(recording.agent.address, 0);
    link.say_about("launch", "h", "lab h  seat");
    link.wait_for("request");
    link.say_about("deliver", "h", "reply:lab h  seat");
    link.wait_for("request");
    link.say_about("deliver", "h", "reply:lab h  seat");
    link.until_read();
    assert_eq!(recording.changed(), faults(&[("h", "reply")]));
}

#[test]
fn the_reply_to_an_ask_that_was_given_up_or_ran_out_of_time_is_a_fault() {
    let recording = Recording::start("asks", 1, None);
    let asks = Asks::default();
    recording.agent.check_asks(asks.clone());
    let mut link = Link::open(recording.agent.address, 0);
    let mut all = Vec::new();
    for (handle, stated_time) in [("h", PATIENCE), ("k", PATIENCE), ("l", Duration::ZERO)] {
        let body = format!("lab {handle}  seat");
        link.say_about("launch", handle, &body);
        link.wait_for("request");
        all.push([0, 1].map(|connection| asks.begin(handle, connection, body.as_bytes(), stated_time)));
    }
    for (handle, ask) in [("h", &all[0][0]), ("k", &all[1][1]), ("l", &all[2][1])] {
        asks.answer(handle, ask.number);
        link.say_about("deliver", handle, std::str::from_utf8(&ask.reply()).unwrap());
    }
    link.until_read();
    let expected = [("h", "reply_of_abandoned_ask"), ("l", "reply_after_stated_time")];
    assert_eq!(recording.changed(), faults(&expected));
}

#[test]
fn the_reply_to_a_call_that_was_skipped_is_a_fault_and_one_to_a_run_that_is_over_is_none() {
    // Between its two calls the run works for a while, so that it is at neither when the reply is read.
    let recording = Recording::working("skipped", Duration::from_millis(400), 2, None);
    let mut link = Link::open(recording.agent.address, 0);
    link.say_about("launch", "h", "lab h  seat");
    let asked = link.wait_for("request");
    assert!(asked.contains(r#""cursor":1"#), "{asked}");
    let (skip, reply) =
        (r#"{"event":"forgo","handle":"h","cursor":1,"arg":""}"#, BASE64.encode("reply:lab h  seat"));
    link.say(&format!("{skip}\n{{\"event\":\"deliver\",\"handle\":\"h\",\"arg\":\"{reply}\"}}"));
    link.wait_for("request");
    link.say_about("deliver", "h", "reply:lab h  seat call 1");
    link.wait_for("outcome");
    link.until_read();
    assert_eq!(recording.changed(), faults(&[("h", "reply_late")]));

    let over = Recording::start("over", 1, None);
    let mut link = Link::open(over.agent.address, 0);
    link.say_about("launch", "k", "lab k  seat");
    link.wait_for("request");
    link.say(r#"{"event":"forgo","handle":"k","cursor":1,"arg":""}"#);
    link.wait_for("outcome");
    link.say_about("deliver", "k", "reply:lab k  seat");
    link.until_read();
    assert_eq!(over.changed(), faults(&[]));
}

#[test]
fn what_must_run_once_and_is_launched_twice_is_a_fault_also_while_it_runs() {
    let recording = Recording::start("launches", 1, None);
    let mut link = Link::open(recording.agent.address, 0);
    for (handle, body) in [("h", "lab h  seat once"), ("k", "lab k  seat")] {
        link.say_about("launch", handle, body);
        link.wait_for("request");
        link.say_about("launch", handle, body);
    }
    link.until_read();
    // A read may be launched as often as its matcher likes.
    assert_eq!(recording.changed(), faults(&[("h", "again")]));
}

#[test]
fn only_what_a_run_made_is_a_result_of_its_body() {
    let recording = Recording::start("results", 1, None);
    let results = Results::default();
    recording.agent.record_results(results.clone());
    let mut link = Link::open(recording.agent.address, 0);
    link.say_about("launch", "h", "lab h  seat");
    link.wait_for("request");
    assert!(!results.has(b"lab h  seat", b"made:lab h  seatreply:lab h  seat"), "it has not ended");
    link.say_about("deliver", "h", "reply:lab h  seat");
    link.wait_for("outcome");
    assert!(results.has(b"lab h  seat", b"made:lab h  seatreply:lab h  seat"));
    assert!(!results.has(b"lab k  seat", b"made:lab h  seatreply:lab h  seat"), "that is another request's");
    assert!(!results.has(b"lab h  seat", b"made:lab h  seat"), "a part of it");
    recording.recorder.finish();
    std::fs::remove_file(&recording.file).unwrap();
}

#[test]
fn an_agent_ends_links_right_after_their_greeting_several_in_a_row_and_some_live_long() {
    let most = Duration::from_millis(450);
    let lifetimes = Lifetimes { most, seed: 7 };
    let all: Vec<_> = (1..2_000).map(|number| lifetimes.of(number)).collect();
    assert!(all.iter().all(|lifetime| *lifetime <= most));
    assert!(all.windows(4).any(|four| four.iter().all(Duration::is_zero)));
    assert!(all.iter().any(|lifetime| (1..=4).contains(&lifetime.as_millis())));
    assert!(all.iter().filter(|lifetime| **lifetime > most / 2).count() > 200);

    let recording = Recording::start("lifetimes", 1, Some(lifetimes));
    for cursor in 0..30 {
        let link = Link::open(recording.agent.address, cursor);
        link.until_ended();
    }
    assert_eq!(recording.agent.subscribed(), (0..30).collect::<Vec<_>>());
    assert_eq!(recording.changed(), faults(&[]));
}
