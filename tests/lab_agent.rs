//! The lab's agent keeps to the platform's protocol, so that what it records as changed is the matcher's doing.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use hopwalk::lab::history::{self, Event, Recorder};
use hopwalk::lab::stand_in::{Agent, Deadlines};

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

    /// Says nothing more, and waits until the agent has read all that was said and ended the link.
    fn end(mut self) {
        self.writes.shutdown(Shutdown::Write).unwrap();
        self.lines.read_to_end(&mut Vec::new()).unwrap();
    }
}

fn history_file(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("hopwalk-{name}-{}", std::process::id()))
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
