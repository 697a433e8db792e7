//! Asks: attempts at a call to the dependency. A reply names the request only, not the ask that it was made for.

use std::io::Write;
use std::net::TcpStream;

use crate::harness::*;
use crate::scripted::{Listener, Peer};

/// A program with a scripted agent and a scripted dependency.
struct Fixture {
    program: Program,
    link: Peer,
    vault: Listener,
    _agent: Listener,
    stream: TcpStream,
    cursor: u64,
}

impl Fixture {
    fn start() -> Self {
        let (agent, vault) = (Listener::start(), Listener::start());
        let (address, dependency) = (agent.address, vault.address);
        let program =
            Program::start(Setup { agent: Some(address), vault: Some(dependency), ..Setup::default() });
        let mut link = agent.accept_link();
        link.answer_marker();
        let stream = connect(program.http);
        Self { program, link, vault, _agent: agent, stream, cursor: 0 }
    }

    /// Sends a request whose run requests a call. Returns its handle and the number of the notice.
    fn start_call(&mut self) -> (String, u64) {
        self.stream.write_all(&Request::new("queue-status", b"a").http()).unwrap();
        let handle = self.link.expect_run_command("launch").handle;
        let cursor = self.next_cursor();
        self.link.send_call(cursor, &handle, b"call");
        (handle, cursor)
    }

    fn next_cursor(&mut self) -> u64 {
        self.cursor += 1;
        self.cursor
    }

    /// Ends the run, and reads the answer to its request.
    fn finish(&mut self, handle: &str) {
        let cursor = self.next_cursor();
        self.link.send_outcome(cursor, handle, "complete", b"made");
        assert_eq!(read_answer(&mut self.stream).body, b"made");
    }
}

#[test]
fn the_log_tells_for_which_ask_a_reply_was_read_and_as_which_command_it_was_written() {
    let mut fixture = Fixture::start();
    let (handle, cursor) = fixture.start_call();
    let mut connection = fixture.vault.accept();
    connection.read_call();
    connection.reply("00000000000000ff", b"stray");
    connection.reply(&handle, b"own");
    assert_eq!(fixture.link.expect_command_of_run("deliver", &handle).arg, b"own");
    fixture.finish(&handle);
    let ask = format!("{handle} notice {cursor} ask 1 connection 1");
    fixture.program.wait_for_log(&format!("{ask} ignored a reply to 00000000000000ff: complete digest"));
    fixture.program.wait_for_log(&format!("{ask} digest"));
    let log = fixture.program.log();
    let written = log.split(&format!("{ask} digest ")).nth(1).unwrap();
    let words: Vec<_> = written.split([' ', ';', '\n']).take(9).collect();
    assert_eq!(words[1..5], ["written", "3", "bytes", "digest"], "{written}");
    assert_eq!(words[0], words[5], "the digests at the read and at the write: {written}");
    assert_eq!((words[6], words[7], words[8]), ("link", "1", "command"), "{written}");
    assert_eq!(fixture.program.counter("violations"), 0);
}
