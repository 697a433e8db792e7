//! The log on standard error, where its reader stops or goes away.

use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStderr, Command};

use super::*;

/// How often the counters are logged: together they are longer than what a pipe holds.
const COUNTER_LINES: usize = 200;

/// A program whose log the test reads itself.
struct Logging {
    process: Child,
    address: SocketAddr,
    log: Option<BufReader<ChildStderr>>,
    _dir: ScratchDir,
    _agent: Agent,
}

impl Logging {
    /// Starts a program, and reads its log until it listens.
    fn start() -> Self {
        let agent = Agent::start(1, SHORT_RUN, false);
        let config = format!(
            r#"{{"name":"n7","listen":"127.0.0.1:0","agent":"{}","settings":{}}}"#,
            agent.address,
            include_str!("../../src/lab/site.json")
        );
        let (mut process, dir) = spawn_program(&config, "{}");
        let mut log = BufReader::new(process.stderr.take().unwrap());
        let mut line = String::new();
        let address = loop {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the program ended");
            if let Some((_, address)) = line.trim_end().split_once("takes HTTP on ") {
                break address.parse().unwrap();
            }
        };
        Self { process, address, log: Some(log), _dir: dir, _agent: agent }
    }

    fn signal(&self, name: &str) {
        let pid = self.process.id().to_string();
        assert!(Command::new("kill").args([format!("-{name}"), pid]).status().unwrap().success());
    }

    /// Has much logged, and checks that clients are answered meanwhile.
    fn log_much(&self) {
        for _ in 0..COUNTER_LINES {
            self.signal("USR1");
            let check = exchange(self.address, b"GET /check HTTP/1.1\r\nConnection: close\r\n\r\n");
            assert_eq!(check.status, 200);
        }
    }

    /// Ends the program, which has to exit in good order.
    fn stop(mut self) {
        self.signal("TERM");
        wait_for("the end of the program", || self.process.try_wait().unwrap().is_some());
        assert!(self.process.wait().unwrap().success());
    }
}

impl Drop for Logging {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

#[test]
fn a_log_that_is_not_read_holds_up_no_client() {
    // Guards against a reader of the log that stops: the first full pipe stopped the whole program.
    let program = Logging::start();
    program.log_much();
    program.stop();
}

#[test]
fn a_log_whose_reader_is_gone_does_not_end_the_program() {
    // Guards against a program that crashes with the next line of its log.
    let mut program = Logging::start();
    program.log = None;
    program.log_much();
    program.stop();
}
