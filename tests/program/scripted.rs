//! Scripted peers of the program: an agent and a dependency that send only what a test has them send, when it does.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use socket2::{Domain, Socket, Type};
use tinyjson::JsonValue;

use crate::harness::{wait_for, PATIENCE};

/// A listener whose connections the test accepts one by one.
pub struct Listener {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl Listener {
    pub fn start() -> Self {
        Self::start_at(([127, 0, 0, 1], 0).into())
    }

    pub fn start_at(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        Self { listener, address }
    }

    /// Waits for the next connection and accepts it.
    pub fn accept(&self) -> Peer {
        let mut accepted = None;
        wait_for("a connection", || {
            accepted = self.try_accept();
            accepted.is_some()
        });
        accepted.unwrap()
    }

    /// Accepts the next connection if there is one.
    pub fn try_accept(&self) -> Option<Peer> {
        let (stream, _) = self.listener.accept().ok()?;
        stream.set_nonblocking(false).unwrap();
        Some(Peer::of(stream))
    }

    /// Returns true if nobody has connected since the last connection was accepted.
    pub fn has_no_new_connection(&self) -> bool {
        self.listener.accept().is_err()
    }

    /// Accepts the next link to this listener as the agent: reads the subscription and sends the greeting.
    pub fn accept_link(&self) -> Peer {
        let mut peer = self.accept();
        peer.expect_command("subscribe");
        peer.send_greeting();
        peer
    }
}

/// The peer's end of a connection.
pub struct Peer {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

/// A command to the agent.
#[derive(Debug)]
pub struct Command {
    pub event: String,
    pub handle: String,
    pub entry: String,
    pub ticket: String,
    pub cursor: u64,
    pub arg: Vec<u8>,
}

impl Peer {
    /// The peer's end of an accepted connection.
    pub fn of(stream: TcpStream) -> Self {
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Self { reader: BufReader::new(stream.try_clone().unwrap()), writer: stream }
    }

    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.writer.write_all(bytes.as_ref()).unwrap();
    }

    /// Closes the connection.
    pub fn close(self) {
        self.shut_down();
    }

    /// Closes the connection without consuming the peer, for callers that replace it afterwards.
    pub fn shut_down(&self) {
        let _ = self.writer.shutdown(Shutdown::Both);
    }

    /// Reads a line; returns `None` at the end of the connection.
    pub fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        (self.reader.read_line(&mut line).unwrap() > 0).then(|| line.trim_end().to_string())
    }

    // ---- As the agent -------------------------------------------------------------------------------

    pub fn send_greeting(&mut self) {
        self.write("{\"event\":\"greeting\",\"fate\":\"hot\",\"lasted\":60000}\n");
    }

    /// Reads the next command, skipping the samples that ask for the gauges or for an acknowledgement: those stay
    /// unanswered, so that every command sent on a link is in doubt when the link breaks.
    pub fn next_command(&mut self) -> Command {
        let since = Instant::now();
        loop {
            assert!(since.elapsed() < PATIENCE, "only samples for the gauges arrived");
            let line = self.read_line().expect("a command");
            let json: JsonValue = line.parse().unwrap();
            let json: &HashMap<String, JsonValue> = json.get().unwrap();
            let text = |key: &str| json.get(key).and_then(|v| v.get::<String>()).cloned().unwrap_or_default();
            let cursor = json.get("cursor").and_then(|v| v.get::<f64>()).copied().unwrap_or_default();
            let (event, handle, ticket, entry) =
                (text("event"), text("handle"), text("ticket"), text("entry"));
            let is_unanswered = ticket.parse::<u64>().is_ok() || ticket.starts_with("ack-");
            if event != "sample" || !is_unanswered {
                let arg = BASE64.decode(text("arg")).unwrap();
                return Command { event, handle, entry, ticket, cursor: cursor as u64, arg };
            }
        }
    }

    /// Reads the next command and checks its event.
    pub fn expect_command(&mut self, event: &str) -> Command {
        let command = self.next_command();
        assert_eq!(command.event, event, "{command:?}");
        command
    }

    /// Reads the next command other than a sample and checks its event and its run; answers the markers before it.
    pub fn expect_command_of_run(&mut self, event: &str, handle: &str) -> Command {
        loop {
            let command = self.next_command();
            if command.event == "sample" {
                self.answer_sample(&command.ticket);
            } else {
                assert_eq!((command.event.as_str(), command.handle.as_str()), (event, handle), "{command:?}");
                return command;
            }
        }
    }

    /// Reads the next command other than a sample and checks its event; answers the markers before it.
    pub fn expect_run_command(&mut self, event: &str) -> Command {
        let command = self.next_run_command();
        assert_eq!(command.event, event, "{command:?}");
        command
    }

    /// Reads the next command other than a sample; answers the markers before it.
    pub fn next_run_command(&mut self) -> Command {
        loop {
            let command = self.next_command();
            if command.event != "sample" {
                return command;
            }
            self.answer_sample(&command.ticket);
        }
    }

    /// Reads the sample that serves as a marker among the notices, answers it and returns its ticket.
    pub fn answer_marker(&mut self) -> String {
        let ticket = self.expect_command("sample").ticket;
        self.answer_sample(&ticket);
        ticket
    }

    /// Answers the sample with this ticket.
    pub fn answer_sample(&mut self, ticket: &str) {
        self.write(format!("{{\"event\":\"sampled\",\"ticket\":\"{ticket}\",\"figures\":[0,0,0,0]}}\n"));
    }

    pub fn send_outcome(&mut self, cursor: u64, handle: &str, fate: &str, arg: &[u8]) {
        self.write(outcome_line(cursor, handle, fate, arg));
    }

    pub fn send_call(&mut self, cursor: u64, handle: &str, arg: &[u8]) {
        let arg = BASE64.encode(arg);
        self.write(format!(
            "{{\"event\":\"request\",\"cursor\":{cursor},\"handle\":\"{handle}\",\"arg\":\"{arg}\"}}\n"
        ));
    }

    // ---- As the dependency --------------------------------------------------------------------------

    /// Reads a call: the handle of its request, its time limit in milliseconds, and its body.
    pub fn read_call(&mut self) -> (String, u64, Vec<u8>) {
        let line = self.read_line().expect("a call");
        let words: Vec<_> = line.split(' ').collect();
        assert_eq!((words[0], words.len()), ("ask", 4), "{line}");
        let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
        self.reader.read_exact(&mut body).unwrap();
        assert!(body.ends_with(b"\r\n"));
        body.truncate(body.len() - 2);
        (words[1].to_string(), words[2].parse().unwrap(), body)
    }

    /// Answers a call successfully.
    pub fn reply(&mut self, handle: &str, body: &[u8]) {
        self.write([format!("{handle} yes {}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat());
    }
}

/// The notice that reports the end of a run, as a line.
pub fn outcome_line(cursor: u64, handle: &str, fate: &str, arg: &[u8]) -> String {
    let arg = BASE64.encode(arg);
    format!(
        "{{\"event\":\"outcome\",\"cursor\":{cursor},\"handle\":\"{handle}\",\"fate\":\"{fate}\",\"lasted\":5,\"arg\":\"{arg}\"}}\n"
    )
}

/// An address that leaves connection attempts without an answer: the backlog of its listener is full, and nobody
/// accepts from it.
pub struct FullBacklog {
    pub address: SocketAddr,
    _listener: Socket,
    _queued: Vec<Socket>,
}

impl FullBacklog {
    pub fn start() -> Self {
        let new_socket = || Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let listener = new_socket();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut queued = Vec::new();
        loop {
            let socket = new_socket();
            let full =
                socket.connect_timeout(&address.into(), std::time::Duration::from_millis(200)).is_err();
            queued.push(socket);
            if full {
                return Self { address, _listener: listener, _queued: queued };
            }
        }
    }
}
