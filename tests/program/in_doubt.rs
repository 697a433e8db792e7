//! Commands to the agent that were said right before a link broke: what is done where nothing shows whether they were heard.

use std::io::Write;
use std::net::TcpStream;

use crate::harness::*;
use crate::scripted::{Command, Listener, Peer};

/// Requests that are sent one after the other to see what is said before each of them.
const ROUNDS: usize = 3;

/// A program with a scripted agent that answers every mark, and keeps count of its notices.
struct Scripted {
    agent: Listener,
    program: Program,
    link: Peer,
    cursor: u64,
}

impl Scripted {
    fn start() -> Self {
        let agent = Listener::start();
        let program =
            Program::start(Setup { agent: Some(agent.address), vault: Some(vault()), ..Setup::default() });
        let mut link = agent.accept_link();
        link.answer_marker();
        Self { agent, program, link, cursor: 0 }
    }

    fn send(&self, request: &Request) -> TcpStream {
        let mut stream = connect(self.program.http);
        stream.write_all(&request.http()).unwrap();
        stream
    }

    fn next_cursor(&mut self) -> u64 {
        self.cursor += 1;
        self.cursor
    }

    fn run_ends(&mut self, handle: &str, fate: &str, result: &[u8]) {
        let cursor = self.next_cursor();
        self.link.send_outcome(cursor, handle, fate, result);
    }

    fn run_calls(&mut self, handle: &str, body: &[u8]) -> u64 {
        let cursor = self.next_cursor();
        self.link.send_call(cursor, handle, body);
        cursor
    }

    /// Breaks the link, and takes the next one.
    fn reconnect(&mut self) {
        self.link.shut_down();
        self.link = self.agent.accept_link();
    }

    /// All that is said up to the launches of some further requests, each sent once the one before was answered.
    fn commands_of_some_rounds(&mut self) -> Vec<Command> {
        let mut said = Vec::new();
        for _ in 0..ROUNDS {
            let mut stream = self.send(&Request::new("queue-prefs", b"next"));
            loop {
                let command = self.link.next_command();
                match command.event.as_str() {
                    "sample" => self.link.answer_sample(&command.ticket),
                    "launch" if command.arg == b"next" => {
                        self.run_ends(&command.handle, "complete", b"");
                        break;
                    }
                    _ => said.push(command),
                }
            }
            assert_eq!(read_answer(&mut stream).status, 200);
        }
        said
    }
}

fn about<'a>(said: &'a [Command], event: &str, handle: &str) -> Vec<&'a Command> {
    said.iter().filter(|command| command.event == event && command.handle == handle).collect()
}

#[test]
fn a_reply_that_may_have_been_heard_never_reaches_the_next_call() {
    // Guards against the incident of 2 December 2026: the run had heard the reply and waited for its disk, so that a
    // pause did not show it.
    let mut scripted = Scripted::start();
    let mut stream = scripted.send(&Request { timeout_ms: 4000, ..Request::new("queue-status", b"a") });
    let handle = scripted.link.expect_command("launch").handle;
    let first = scripted.run_calls(&handle, b"one");
    assert_eq!(scripted.link.expect_command("deliver").arg, b"reply:one");
    scripted.reconnect();
    let said = scripted.commands_of_some_rounds();
    assert!(about(&said, "deliver", &handle).is_empty(), "{said:?}");
    let skips = about(&said, "forgo", &handle);
    assert!(skips.iter().all(|skip| skip.cursor == first), "it names the call in doubt: {said:?}");
    scripted.run_calls(&handle, b"two");
    assert_eq!(scripted.link.expect_command_of_run("deliver", &handle).arg, b"reply:two");
    scripted.run_ends(&handle, "complete", b"both");
    assert_eq!(read_answer(&mut stream).body, b"both");
}

#[test]
fn a_launch_of_what_may_run_once_is_never_said_again() {
    // Guards against a second run: the first one ends behind the last mark, and its agent keeps no results.
    let mut scripted = Scripted::start();
    let mut stream = scripted.send(&Request { timeout_ms: 4000, ..Request::keyed("k", b"a") });
    let handle = scripted.link.expect_command("launch").handle;
    scripted.reconnect();
    let said = scripted.commands_of_some_rounds();
    assert!(about(&said, "launch", &handle).is_empty(), "{said:?}");
    scripted.run_ends(&handle, "complete", b"once");
    assert_eq!(read_answer(&mut stream).body, b"once", "a run that was heard is still waited for");
}

#[test]
fn a_run_whose_launch_is_in_doubt_over_two_links_goes_on() {
    // Guards against a run that is paused to see whether it began, whose pause the next link tells as its end.
    let mut scripted = Scripted::start();
    let mut stream = scripted.send(&Request { timeout_ms: 4000, ..Request::keyed("k", b"a") });
    let handle = scripted.link.expect_command("launch").handle;
    scripted.reconnect();
    let mark = scripted.link.expect_command("sample").ticket;
    scripted.link.answer_sample(&mark);
    let mut barrier = scripted.send(&Request::new("queue-prefs", b"barrier"));
    let mut is_paused = false;
    loop {
        let command = scripted.link.next_command();
        is_paused |= command.event == "freeze" && command.handle == handle;
        if command.event == "launch" && command.arg == b"barrier" {
            scripted.run_ends(&command.handle, "complete", b"");
            break;
        }
    }
    assert_eq!(read_answer(&mut barrier).status, 200);
    scripted.reconnect();
    if is_paused {
        scripted.run_ends(&handle, "cancelled", b"");
    }
    let said = scripted.commands_of_some_rounds();
    assert_eq!(about(&said, "thaw", &handle).len(), usize::from(is_paused), "{said:?}");
    scripted.run_ends(&handle, "complete", b"once");
    assert_eq!(read_answer(&mut stream).body, b"once");
}
