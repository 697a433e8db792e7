//! Commands to the agent that were sent right before a link broke: what the program does where nothing proves whether
//! the agent received them.

use std::io::Write;
use std::net::TcpStream;

use crate::harness::*;
use crate::scripted::{Command, Listener, Peer};

/// The number of requests sent one after the other to see which commands precede the launch of each.
const FURTHER_REQUESTS: usize = 3;

/// A program and a scripted agent, with its current link and the number of its last notice.
struct Fixture {
    agent: Listener,
    program: Program,
    link: Peer,
    cursor: u64,
}

impl Fixture {
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

    fn send_outcome(&mut self, handle: &str, fate: &str, result: &[u8]) {
        let cursor = self.next_cursor();
        self.link.send_outcome(cursor, handle, fate, result);
    }

    fn send_call(&mut self, handle: &str, body: &[u8]) -> u64 {
        let cursor = self.next_cursor();
        self.link.send_call(cursor, handle, body);
        cursor
    }

    /// Breaks the link and accepts the next one.
    fn reconnect(&mut self) {
        self.link.shut_down();
        self.link = self.agent.accept_link();
    }

    /// Sends some further requests, each once the previous one was answered; answers the markers, and returns all
    /// other commands that precede the launches of these requests.
    fn commands_before_further_launches(&mut self) -> Vec<Command> {
        let mut commands = Vec::new();
        for _ in 0..FURTHER_REQUESTS {
            let mut stream = self.send(&Request::new("queue-prefs", b"next"));
            loop {
                let command = self.link.next_command();
                match command.event.as_str() {
                    "sample" => self.link.answer_sample(&command.ticket),
                    "launch" if command.arg == b"next" => {
                        self.send_outcome(&command.handle, "complete", b"");
                        break;
                    }
                    _ => commands.push(command),
                }
            }
            assert_eq!(read_answer(&mut stream).status, 200);
        }
        commands
    }
}

fn commands_about<'a>(commands: &'a [Command], event: &str, handle: &str) -> Vec<&'a Command> {
    commands.iter().filter(|command| command.event == event && command.handle == handle).collect()
}

#[test]
fn a_reply_that_may_have_been_received_never_reaches_the_next_call() {
    // Guards against a reply that is repeated into the next call of its run, as in the incident of 2 December 2026:
    // the run had received the reply and was waiting for its disk, so that pausing the run did not reveal it.
    let mut fixture = Fixture::start();
    let mut stream = fixture.send(&Request { timeout_ms: 4000, ..Request::new("queue-status", b"a") });
    let handle = fixture.link.expect_command("launch").handle;
    let first = fixture.send_call(&handle, b"one");
    assert_eq!(fixture.link.expect_command("deliver").arg, b"reply:one");
    fixture.reconnect();
    let commands = fixture.commands_before_further_launches();
    assert!(commands_about(&commands, "deliver", &handle).is_empty(), "{commands:?}");
    let forgo_commands = commands_about(&commands, "forgo", &handle);
    assert!(
        forgo_commands.iter().all(|command| command.cursor == first),
        "it names the call in doubt: {commands:?}"
    );
    fixture.send_call(&handle, b"two");
    assert_eq!(fixture.link.expect_command_of_run("deliver", &handle).arg, b"reply:two");
    fixture.send_outcome(&handle, "complete", b"both");
    assert_eq!(read_answer(&mut stream).body, b"both");
}

#[test]
fn a_launch_in_doubt_of_a_request_that_may_run_once_is_never_repeated() {
    // Guards against a second run: the first one ends after the last marker, and its agent keeps no results.
    let mut fixture = Fixture::start();
    let mut stream = fixture.send(&Request { timeout_ms: 4000, ..Request::keyed("k", b"a") });
    let handle = fixture.link.expect_command("launch").handle;
    fixture.reconnect();
    let commands = fixture.commands_before_further_launches();
    assert!(commands_about(&commands, "launch", &handle).is_empty(), "{commands:?}");
    fixture.send_outcome(&handle, "complete", b"once");
    assert_eq!(read_answer(&mut stream).body, b"once", "the launched run is still awaited");
}

#[test]
fn a_run_whose_launch_is_in_doubt_over_two_links_continues() {
    // Guards against a run that is paused to find out whether it began, where the next link reports the pause as the
    // end of the run.
    let mut fixture = Fixture::start();
    let mut stream = fixture.send(&Request { timeout_ms: 4000, ..Request::keyed("k", b"a") });
    let handle = fixture.link.expect_command("launch").handle;
    fixture.reconnect();
    let marker = fixture.link.expect_command("sample").ticket;
    fixture.link.answer_sample(&marker);
    let mut barrier = fixture.send(&Request::new("queue-prefs", b"barrier"));
    let mut is_paused = false;
    loop {
        let command = fixture.link.next_command();
        is_paused |= command.event == "freeze" && command.handle == handle;
        if command.event == "launch" && command.arg == b"barrier" {
            fixture.send_outcome(&command.handle, "complete", b"");
            break;
        }
    }
    assert_eq!(read_answer(&mut barrier).status, 200);
    fixture.reconnect();
    if is_paused {
        fixture.send_outcome(&handle, "cancelled", b"");
    }
    let commands = fixture.commands_before_further_launches();
    assert_eq!(commands_about(&commands, "thaw", &handle).len(), usize::from(is_paused), "{commands:?}");
    fixture.send_outcome(&handle, "complete", b"once");
    assert_eq!(read_answer(&mut stream).body, b"once");
}
