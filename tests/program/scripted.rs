//! Peers of the program that say only what a test has them say, when it has them say it.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Instant;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use socket2::{Domain, Socket, Type};
use tinyjson::JsonValue;

use crate::stand_in::{wait_for, PATIENCE};

/// A listener whose connections the test takes one by one.
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

    /// The next connection.
    pub fn accept(&self) -> Peer {
        let mut taken = None;
        wait_for("a connection", || {
            taken = self.listener.accept().ok();
            taken.is_some()
        });
        let stream = taken.unwrap().0;
        stream.set_nonblocking(false).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Peer { reads: BufReader::new(stream.try_clone().unwrap()), writes: stream }
    }

    /// Nobody has connected since the last one was taken.
    pub fn is_quiet(&self) -> bool {
        self.listener.accept().is_err()
    }

    /// The next link to this as the agent: it has subscribed, and is greeted.
    pub fn link(&self) -> Peer {
        let mut peer = self.accept();
        peer.expect("subscribe");
        peer.greet();
        peer
    }
}

/// The peer's end of a connection.
pub struct Peer {
    reads: BufReader<TcpStream>,
    writes: TcpStream,
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
    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.writes.write_all(bytes.as_ref()).unwrap();
    }

    /// Closes the connection.
    pub fn cut(self) {
        self.shut();
    }

    /// The same, where the peer is to be replaced.
    pub fn shut(&self) {
        let _ = self.writes.shutdown(Shutdown::Both);
    }

    /// Reads a line; none at the end of the connection.
    pub fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        (self.reads.read_line(&mut line).unwrap() > 0).then(|| line.trim_end().to_string())
    }

    // ---- As the agent -------------------------------------------------------------------------------

    pub fn greet(&mut self) {
        self.write("{\"event\":\"greeting\",\"fate\":\"hot\",\"lasted\":60000}\n");
    }

    /// The next command that is no question for the gauges and none whether all was heard; those go unanswered, so
    /// that all that was said on a link is in doubt when it breaks.
    pub fn command(&mut self) -> Command {
        let since = Instant::now();
        loop {
            assert!(since.elapsed() < PATIENCE, "nothing but questions for the gauges came");
            let line = self.line().expect("a command");
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

    /// The next command, which is to be this one.
    pub fn expect(&mut self, event: &str) -> Command {
        let command = self.command();
        assert_eq!(command.event, event, "{command:?}");
        command
    }

    /// The next command about this run, which is to be this one; marks are answered on the way.
    pub fn expect_of(&mut self, event: &str, handle: &str) -> Command {
        loop {
            let command = self.command();
            if command.event == "sample" {
                self.mark(&command.ticket);
            } else {
                assert_eq!((command.event.as_str(), command.handle.as_str()), (event, handle), "{command:?}");
                return command;
            }
        }
    }

    /// The next command that is about a run, which is to be this one.
    pub fn expect_of_next(&mut self, event: &str) -> Command {
        loop {
            let command = self.command();
            if command.event == "sample" {
                self.mark(&command.ticket);
                continue;
            }
            assert_eq!(command.event, event, "{command:?}");
            return command;
        }
    }

    /// Answers the question that marks a place in the notices.
    pub fn sync(&mut self) -> String {
        let ticket = self.expect("sample").ticket;
        self.mark(&ticket);
        ticket
    }

    /// Answers the question of a ticket.
    pub fn mark(&mut self, ticket: &str) {
        self.write(format!("{{\"event\":\"sampled\",\"ticket\":\"{ticket}\",\"figures\":[0,0,0,0]}}\n"));
    }

    pub fn ends(&mut self, cursor: u64, handle: &str, fate: &str, arg: &[u8]) {
        self.write(outcome(cursor, handle, fate, arg));
    }

    pub fn calls(&mut self, cursor: u64, handle: &str, arg: &[u8]) {
        let arg = BASE64.encode(arg);
        self.write(format!(
            "{{\"event\":\"request\",\"cursor\":{cursor},\"handle\":\"{handle}\",\"arg\":\"{arg}\"}}\n"
        ));
    }

    // ---- As the service below -----------------------------------------------------------------------

    /// Reads a call: whose it is, the milliseconds that it may take, and its body.
    pub fn ask(&mut self) -> (String, u64, Vec<u8>) {
        let line = self.line().expect("a call");
        let words: Vec<_> = line.split(' ').collect();
        assert_eq!((words[0], words.len()), ("ask", 4), "{line}");
        let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
        self.reads.read_exact(&mut body).unwrap();
        assert!(body.ends_with(b"\r\n"));
        body.truncate(body.len() - 2);
        (words[1].to_string(), words[2].parse().unwrap(), body)
    }

    /// Answers a call well.
    pub fn reply(&mut self, handle: &str, body: &[u8]) {
        self.write([format!("{handle} yes {}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat());
    }
}

/// The line that tells of the end of a run.
pub fn outcome(cursor: u64, handle: &str, fate: &str, arg: &[u8]) -> String {
    let arg = BASE64.encode(arg);
    format!(
        "{{\"event\":\"outcome\",\"cursor\":{cursor},\"handle\":\"{handle}\",\"fate\":\"{fate}\",\"lasted\":5,\"arg\":\"{arg}\"}}\n"
    )
}

/// An address where nobody takes connections and those that come are left without an answer: the queue of its
/// listener is full.
pub struct Silent {
    pub address: SocketAddr,
    _listener: Socket,
    _queued: Vec<Socket>,
}

impl Silent {
    pub fn start() -> Self {
        let socket = || Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        let listener = socket();
        listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let mut queued = Vec::new();
        loop {
            let one = socket();
            let full = one.connect_timeout(&address.into(), std::time::Duration::from_millis(200)).is_err();
            queued.push(one);
            if full {
                return Self { address, _listener: listener, _queued: queued };
            }
        }
    }
}
