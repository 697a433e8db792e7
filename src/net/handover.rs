//! The link between the process that runs and a new one that takes over: text lines on a Unix socket.
//!
//! It is there for seconds, and a peer that reads nothing must not hold up the reducer: so it has threads of its
//! own, and a queue with a bound. Where that is not enough the link is cut, which both sides know how to bear.

use std::collections::HashMap;
use std::io::{self, BufWriter, Write};
use std::net::Shutdown;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixDatagram, UnixListener, UnixStream};
use std::path::Path;
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use nix::errno::Errno;
use nix::sys::signal::kill;
use nix::sys::socket::getsockopt;
use nix::sys::socket::sockopt::PeerCredentials;
use nix::unistd::Pid;
use tracing::{info, warn};

use super::frontend::read_some;
use super::lines::LineDecoder;
use super::{socket_retry, Hub};
use crate::core::{Answer, Bytes, ConnId, Input, Key, KeyState, Request, Succession, Verdict};

/// Words that may wait for the other process.
const QUEUE: usize = 4096;
/// A process that reads nothing for this long is taken to hang.
const WRITE_PATIENCE: Duration = Duration::from_secs(2);
/// The longest line: a result of the longest line that an agent or a service may send, in base64, and a key.
const MOST_LINE: usize = 96 << 10;
/// A process that ends closes its links a little before it is gone.
const END_PATIENCE: Duration = Duration::from_millis(200);
/// Time between two looks whether it is gone.
const END_LOOK: Duration = Duration::from_millis(10);
/// Stack of the link's threads: their buffers are on the heap.
const STACK: usize = 128 << 10;

/// Something to tell the other process.
#[derive(Debug)]
pub enum HandoverMessage {
    /// Decide from now on.
    Begin,
    /// All keys, and whether operators want callers kept away.
    Keys(Vec<KeyState>, bool),
    /// What came of an open key.
    KeyResolved(Key, bool, Option<Bytes>),
    /// A request that came to the old process.
    Request(Box<Request>),
    /// Its answer, for the connection there.
    Answer(ConnId, Arc<Answer>),
}

/// The other process, as long as there is one.
#[derive(Clone, Default)]
pub(super) struct PeerProcess(Arc<Mutex<Option<Link>>>);

struct Link {
    words: SyncSender<HandoverMessage>,
    stream: UnixStream,
    writer: Option<JoinHandle<()>>,
    /// Requests passed on to this process: the connection in the other one.
    passed_on: HashMap<ConnId, ConnId>,
}

impl PeerProcess {
    fn lock(&self) -> MutexGuard<'_, Option<Link>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a word; never waits.
    pub(super) fn send(&self, word: HandoverMessage) {
        if let Some(link) = &*self.lock() {
            if link.words.try_send(word).is_err() {
                let _ = link.stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Answers a request that was passed on to this process; false if `conn` is none.
    pub(super) fn answer(&self, conn: ConnId, answer: &Arc<Answer>) -> bool {
        let there = self.lock().as_mut().and_then(|link| link.passed_on.remove(&conn));
        there.into_iter().for_each(|there| self.send(HandoverMessage::Answer(there, answer.clone())));
        there.is_some()
    }

    /// Waits until all that was queued is written.
    pub(super) fn flush(&self) {
        let writer = self.lock().take().and_then(|link| {
            drop(link.words);
            link.writer
        });
        writer.map(JoinHandle::join);
    }

    fn open(&self, stream: UnixStream) -> io::Result<()> {
        let (words, queue) = sync_channel(QUEUE);
        stream.set_write_timeout(Some(WRITE_PATIENCE))?;
        let writes = stream.try_clone()?;
        let writer = thread::Builder::new().stack_size(STACK).spawn(move || write(&writes, &queue))?;
        *self.lock() = Some(Link { words, stream, writer: Some(writer), passed_on: HashMap::new() });
        Ok(())
    }

    /// Tells the reducer what the other process says, until it is gone.
    fn listen(&self, stream: UnixStream, hub: &Hub) {
        let mut lines = LineDecoder::new(MOST_LINE);
        loop {
            let line = match lines.next_line() {
                Ok(Some(line)) => line,
                Ok(None) => match read_some(&mut (&stream), lines.buffer_mut()) {
                    Ok(read) if read > 0 => continue,
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                    _ => break,
                },
                Err(_) => break,
            };
            match parse(&line) {
                Some(ReceivedMessage::Succession(word)) => {
                    // What operators ordered of the process before holds here, and the fleet has to know it of this life.
                    if let (Succession::KeysComplete { standby: true }, Some(fleet)) = (&word, &hub.fleet) {
                        fleet.draining(true);
                    }
                    hub.push(Input::Succession(on_own_clock(word, hub)));
                }
                Some(ReceivedMessage::Request(mut request)) => {
                    let conn = hub.new_conn();
                    let there = std::mem::replace(&mut request.conn, conn);
                    request.start = hub.clock.resolve_past(request.start);
                    if let Some(link) = self.lock().as_mut() {
                        link.passed_on.insert(conn, there);
                    }
                    hub.push(Input::Request(request));
                }
                None => {
                    warn!("the other process says what cannot be read");
                    break;
                }
            }
        }
        if let Some(link) = self.lock().take() {
            let _ = link.stream.shutdown(Shutdown::Both);
        }
    }
}

/// What the other process says, with its times, which are the wall clock's, as this process counts them.
fn on_own_clock(word: Succession, hub: &Hub) -> Succession {
    match word {
        Succession::Key(key) => {
            Succession::Key(KeyState { until: hub.clock.resolve_future(key.until), ..key })
        }
        word => word,
    }
}

fn write(stream: &UnixStream, queue: &Receiver<HandoverMessage>) {
    let mut writes = BufWriter::new(stream);
    while let Ok(word) = queue.recv() {
        let lines = word.to_lines();
        if lines
            .into_iter()
            .try_for_each(|l| writes.write_all(l.as_bytes()))
            .and_then(|()| writes.flush())
            .is_err()
        {
            let _ = stream.shutdown(Shutdown::Both);
            return;
        }
    }
}

/// The process at the other end.
fn process_of(stream: &UnixStream) -> Option<i32> {
    getsockopt(stream, PeerCredentials).ok().map(|other| other.pid()).filter(|pid| *pid > 0)
}

/// It has not ended; one that waits for its parent to ask for its status has. Whoever cannot be looked at, such as for
/// want of descriptors, is taken to live: it is looked at again.
fn is_alive(process: i32) -> bool {
    if kill(Pid::from_raw(process), None) == Err(Errno::ESRCH) {
        return false;
    }
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat"));
    let state = stat.as_ref().ok().and_then(|stat| stat.rsplit_once(") ")).map(|(_, state)| state);
    !state.is_some_and(|state| state.starts_with(['Z', 'X']))
}

/// The link is over: tells the reducer that the other process is gone, as soon as it is. A link can break with both
/// alive, if one of them stood still for long; then the reducer is told that first, for two must not decide.
fn ended(other: Option<i32>, hub: &Hub, lost: Succession, gone: Succession) {
    let since = Instant::now();
    let mut lost = Some(lost);
    while other.is_some_and(is_alive) {
        if since.elapsed() > END_PATIENCE {
            if let Some(lost) = lost.take() {
                warn!("the link to the other process broke, and it lives on");
                hub.push(Input::Succession(lost));
            }
        }
        thread::sleep(END_LOOK);
    }
    hub.push(Input::Succession(gone));
}

/// A local socket has no address that could be lacking: where the system says so, it is for a moment.
fn as_for_a_moment(e: io::Error) -> io::Error {
    match e.kind() {
        io::ErrorKind::AddrNotAvailable => Errno::ENOBUFS.into(),
        _ => e,
    }
}

/// Connects to the process that serves already, if there is one.
pub(super) fn connect_to_predecessor(path: &Path, hub: &Arc<Hub>) -> Option<PeerProcess> {
    // Only where nobody listens is there no process: one that is there and not found would keep this one from starting.
    let connected = socket_retry::open(|| UnixStream::connect(path).map_err(as_for_a_moment));
    let stream = connected.ok()?;
    let partner = PeerProcess::default();
    let started = stream.try_clone().and_then(|reads| {
        partner.open(stream)?;
        let (partner, hub) = (partner.clone(), hub.clone());
        let listen = move || {
            // Before any word on its end: the other way round, this process would be beside it for good.
            hub.push(Input::Succession(Succession::PredecessorRunning));
            let other = process_of(&reads);
            partner.listen(reads, &hub);
            ended(other, &hub, Succession::PredecessorDisconnected, Succession::PredecessorExited);
        };
        thread::Builder::new().stack_size(STACK).spawn(listen)
    });
    started.map_err(|e| warn!("no link to the process that runs: {e}")).ok()?;
    info!("takes over from the process that runs");
    Some(partner)
}

/// A socket in place of the one that another process left.
fn bind(path: &Path) -> io::Result<UnixListener> {
    let _ = std::fs::remove_file(path);
    let listener = socket_retry::open(|| UnixListener::bind(path))?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    Ok(listener)
}

/// No process listens at this path. One that does hears nothing of the look: the system refuses to connect a socket of
/// another type, with another error than where there is none.
fn is_stale(path: &Path) -> bool {
    let connected = UnixDatagram::unbound().and_then(|socket| socket.connect(path));
    connected.is_err_and(|e| matches!(e.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::NotFound))
}

/// Waits for a process that takes over. A socket that another one left is replaced.
pub(super) fn listen_for_successor(path: &Path, hub: &Arc<Hub>) -> io::Result<PeerProcess> {
    let mut listener = bind(path)?;
    let (partner, hub, path) = (PeerProcess::default(), hub.clone(), path.to_path_buf());
    let successor = partner.clone();
    thread::Builder::new().stack_size(STACK).spawn(move || {
        // One after the other: a second process finds nobody until the first is gone.
        loop {
            let Ok((stream, _)) = listener.accept() else {
                // Without descriptors it fails at once: no busy loop until there are some.
                thread::sleep(END_LOOK);
                continue;
            };
            match stream.try_clone().and_then(|reads| partner.open(stream).map(|()| reads)) {
                Ok(reads) => {
                    let other = process_of(&reads);
                    partner.listen(reads, &hub);
                    ended(other, &hub, Succession::SuccessorDisconnected, Succession::SuccessorExited);
                    // Until then the reducer may yet tell the one that is gone something, and no other is to hear it.
                    hub.wait_for_reducer();
                }
                Err(e) => warn!("no link to the process that takes over: {e}"),
            }
            // The one that is gone may have put its own socket here, behind which nobody would find this process.
            if is_stale(&path) {
                match bind(&path) {
                    Ok(again) => listener = again,
                    Err(e) => warn!("no process can take over from this one: {}: {e}", path.display()),
                }
            }
        }
    })?;
    Ok(successor)
}

fn base64(bytes: Option<&[u8]>) -> String {
    bytes.map_or("-".to_string(), |bytes| format!("={}", BASE64.encode(bytes)))
}

impl HandoverMessage {
    /// In lines, each with its end.
    pub fn to_lines(&self) -> Vec<String> {
        let key = |key: &Key| base64(Some(key.as_bytes()));
        match self {
            Self::Begin => vec!["begin\n".to_string()],
            Self::Keys(keys, standby) => {
                let line = |k: &KeyState| {
                    let (until, open, result) =
                        (k.until.as_micros(), u8::from(k.open), base64(k.result.as_deref()));
                    format!("key {} {:x} {until} {open} {result}\n", key(&k.key), k.digest)
                };
                keys.iter().map(line).chain([format!("complete {}\n", u8::from(*standby))]).collect()
            }
            Self::KeyResolved(k, ran, result) => {
                vec![format!("settled {} {} {}\n", key(k), u8::from(*ran), base64(result.as_deref()))]
            }
            Self::Request(r) => {
                let micros = |t: Option<Duration>| t.map_or("-".to_string(), |t| t.as_micros().to_string());
                let (patience, cost) = (micros(r.timeout), micros(r.cost));
                // Only where there is one: a process of before objects were passed on takes what it can read.
                let object = r
                    .object
                    .as_ref()
                    .map_or(String::new(), |o| " ".to_string() + &base64(Some(o.as_bytes())));
                vec![format!(
                    "request {} {} {} {} {patience} {} {} {} {} {} {} {} {cost}{object}\n",
                    r.conn,
                    r.handle,
                    base64(Some(r.class.as_bytes())),
                    r.start.as_micros(),
                    r.caller,
                    r.size_kb,
                    r.rank,
                    base64(r.key.as_ref().map(|k| k.as_bytes())),
                    u8::from(r.object.is_some()),
                    base64(Some(&r.body)),
                    base64(r.tenant.as_ref().map(|t| t.as_bytes())),
                )]
            }
            Self::Answer(conn, answer) => {
                let signal = answer.signal.map_or("-".to_string(), |s| s.to_string());
                let verdict = match &answer.verdict {
                    Verdict::Served(result) => format!("served {}", base64(Some(result))),
                    Verdict::Refused { retry_after, no_retry } => {
                        format!("refused {} {}", retry_after.as_micros(), u8::from(*no_retry))
                    }
                    Verdict::Failed | Verdict::Healthy | Verdict::Unhealthy => "failed".to_string(),
                    Verdict::NoSuchClass => "unknown".to_string(),
                    Verdict::Invalid(_) => "invalid".to_string(),
                };
                vec![format!("answer {conn} {signal} {verdict}\n")]
            }
        }
    }
}

/// What a line says.
#[derive(Clone, Debug, PartialEq)]
pub enum ReceivedMessage {
    /// Something for the reducer.
    Succession(Succession),
    /// A request, with the connection in the other process.
    Request(Box<Request>),
}

/// Reads a line without its end; none if it makes no sense.
pub fn parse(line: &str) -> Option<ReceivedMessage> {
    let bytes = |word: &str| -> Option<Option<Bytes>> {
        match word.strip_prefix('=') {
            Some(text) => Some(Some(BASE64.decode(text).ok()?.into())),
            None => (word == "-").then_some(None),
        }
    };
    let text = |word: &str| String::from_utf8(bytes(word)??.to_vec()).ok();
    let time = |word: &str| word.parse().ok().map(Duration::from_micros);
    let flag = |word: &str| match word {
        "0" => Some(false),
        "1" => Some(true),
        _ => None,
    };
    let words: Vec<&str> = line.split(' ').collect();
    let word = match words[..] {
        ["begin"] => Succession::HandoverRequested,
        ["complete", standby] => Succession::KeysComplete { standby: flag(standby)? },
        ["key", key, what, until, open, result] => Succession::Key(KeyState {
            key: text(key)?.into(),
            digest: u64::from_str_radix(what, 16).ok()?,
            until: time(until)?,
            open: flag(open)?,
            result: bytes(result)?,
        }),
        ["settled", key, ran, result] => {
            Succession::KeyResolved { key: text(key)?.into(), ran: flag(ran)?, result: bytes(result)? }
        }
        ["answer", conn, signal, ref verdict @ ..] => {
            let verdict = match *verdict {
                ["served", result] => Verdict::Served(bytes(result)??),
                ["refused", after, no_retry] => {
                    Verdict::Refused { retry_after: time(after)?, no_retry: flag(no_retry)? }
                }
                ["failed"] => Verdict::Failed,
                ["unknown"] => Verdict::NoSuchClass,
                ["invalid"] => Verdict::Invalid("the request cannot be taken as it is"),
                _ => return None,
            };
            let signal = if signal == "-" { None } else { Some(signal.parse().ok()?) };
            Succession::ForwardedAnswer {
                conn: conn.parse().ok()?,
                answer: Answer { verdict, signal, close: true },
            }
        }
        // A process of before tenants and costs were read passes on requests without the last two; one of before
        // objects were passed on, only whether there is one.
        ["request", conn, handle, class, start, patience, caller, size_kb, rank, key, object, body, ref more @ ..] =>
        {
            let (tenant, cost, said) = match *more {
                [] => ("-", "-", "-"),
                [tenant, cost] => (tenant, cost, "-"),
                [tenant, cost, said] => (tenant, cost, said),
                _ => return None,
            };
            let object = match (flag(object)?, said) {
                (true, "-") => Some("".into()),
                (true, said) => Some(text(said)?.into()),
                (false, "-") => None,
                (false, _) => return None,
            };
            return Some(ReceivedMessage::Request(Box::new(Request {
                conn: conn.parse().ok()?,
                handle: handle.parse().ok()?,
                class: text(class)?,
                start: time(start)?,
                timeout: if patience == "-" { None } else { Some(time(patience)?) },
                caller: caller.parse().ok()?,
                tenant: if tenant == "-" { None } else { Some(text(tenant)?.into()) },
                cost: if cost == "-" { None } else { Some(time(cost)?) },
                size_kb: size_kb.parse().ok()?,
                rank: rank.parse().ok()?,
                key: if key == "-" { None } else { Some(text(key)?.into()) },
                object,
                body: bytes(body)??,
            })));
        }
        _ => return None,
    };
    Some(ReceivedMessage::Succession(word))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::Links;

    /// What the other process of a test is told; nothing in the test's own.
    const OTHER_PROCESS: &str = "HOPWALK_TEST_OTHER_PROCESS";

    /// Held while a process begins, which has all descriptors for a moment, and while a closed one must be gone.
    static DESCRIPTORS: Mutex<()> = Mutex::new(());

    fn hold_descriptors() -> MutexGuard<'static, ()> {
        DESCRIPTORS.lock().unwrap_or_else(PoisonError::into_inner)
    }

    #[test]
    fn that_another_process_runs_is_told_before_anything_that_it_says_or_its_end() {
        // Guards against a new process that keeps to half of its share for life, as its old one died at once.
        let path = std::env::temp_dir().join(format!("hopwalk-find-{}.sock", std::process::id()));
        let _ = std::fs::remove_file(&path);
        let listener = UnixListener::bind(&path).unwrap();
        let (sender, inbox) = std::sync::mpsc::channel();
        let links = Links { agent: None, vault: None, control: None };
        let hub = Arc::new(Hub::new(sender, 64, links, Vec::new(), None, None));
        let found = connect_to_predecessor(&path, &hub);
        std::fs::remove_file(&path).unwrap();
        assert!(found.is_some());
        let (mut old, _) = listener.accept().unwrap();
        old.write_all(b"complete 0\n").unwrap();
        drop(old);
        let told = |_| match inbox.recv_timeout(Duration::from_secs(10)) {
            Ok(Input::Succession(word)) => word,
            other => panic!("{other:?}"),
        };
        let expected = [
            Succession::PredecessorRunning,
            Succession::KeysComplete { standby: false },
            // This test is the other process, and lives on.
            Succession::PredecessorDisconnected,
        ];
        assert_eq!([(); 3].map(told), expected);
    }

    /// Runs the test `name` in a process of its own, whose part of it begins with `told` in the environment.
    fn in_a_process_of_its_own(name: &str, told: &str) -> std::process::ExitStatus {
        let _held = hold_descriptors();
        let test = format!("net::handover::tests::{name}");
        let command = ["-c", "ulimit -n 64; exec \"$@\"", "sh"];
        let mut shell = std::process::Command::new("sh");
        shell.args(command).arg(std::env::current_exe().unwrap()).args(["--exact", &test]);
        shell.env(OTHER_PROCESS, told).status().unwrap()
    }

    #[test]
    fn a_process_that_cannot_be_looked_at_for_want_of_descriptors_is_not_taken_for_gone() {
        // Guards against two processes that both decide: the one that lives was told to be gone.
        let Ok(parent) = std::env::var(OTHER_PROCESS) else {
            let name = "a_process_that_cannot_be_looked_at_for_want_of_descriptors_is_not_taken_for_gone";
            assert!(in_a_process_of_its_own(name, &std::process::id().to_string()).success());
            return;
        };
        let parent = parent.parse().unwrap();
        let all: Vec<_> = std::iter::from_fn(|| std::fs::File::open("/dev/null").ok()).collect();
        let alive = is_alive(parent);
        drop(all);
        assert!(alive);
    }

    #[test]
    fn what_is_meant_for_a_successor_that_is_gone_does_not_reach_the_next_one() {
        // Guards against two processes that both decide: keys handed over to one that ended came to the one after it.
        let name = "what_is_meant_for_a_successor_that_is_gone_does_not_reach_the_next_one";
        if let Ok(path) = std::env::var(OTHER_PROCESS) {
            return UnixStream::connect(path).unwrap().write_all(b"begin\n").unwrap();
        }
        let path = std::env::temp_dir().join(format!("hopwalk-next-{}.sock", std::process::id()));
        let (sender, inbox) = std::sync::mpsc::channel();
        let links = Links { agent: None, vault: None, control: None };
        let hub = Arc::new(Hub::new(sender, 64, links, Vec::new(), None, None));
        let successor = listen_for_successor(&path, &hub).unwrap();
        assert!(in_a_process_of_its_own(name, path.to_str().unwrap()).success());
        let told = || inbox.recv_timeout(Duration::from_secs(10)).unwrap();
        assert!(matches!(told(), Input::Succession(Succession::HandoverRequested)));
        assert!(matches!(told(), Input::Succession(Succession::SuccessorExited)));

        // The reducer, which is this test, has taken neither yet when the next one connects.
        let next = UnixStream::connect(&path).unwrap();
        next.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
        let is_linked = || successor.lock().is_some();
        let asked = loop {
            match inbox.try_recv() {
                Ok(Input::Query { ticket, .. }) => break Some(ticket),
                _ if is_linked() => break None,
                _ => thread::sleep(END_LOOK),
            }
        };
        successor.send(HandoverMessage::Keys(Vec::new(), false));
        // Now it has taken both.
        let answered = asked.and_then(|ticket| hub.queries().remove(&ticket));
        answered.into_iter().for_each(|asker| asker.send(Vec::new()).unwrap());
        while !is_linked() {
            thread::sleep(END_LOOK);
        }
        successor.send(HandoverMessage::Begin);
        let mut line = String::new();
        std::io::BufRead::read_line(&mut io::BufReader::new(next), &mut line).unwrap();
        std::fs::remove_file(&path).unwrap();
        assert_eq!(line, "begin\n", "the first word that is meant for it");
    }

    #[test]
    fn a_socket_is_stale_once_nobody_listens_there_and_the_look_disturbs_no_listener() {
        let _held = hold_descriptors();
        let path = std::env::temp_dir().join(format!("hopwalk-stale-{}.sock", std::process::id()));
        let listener = bind(&path).unwrap();
        listener.set_nonblocking(true).unwrap();
        assert!(!is_stale(&path));
        assert_eq!(listener.accept().unwrap_err().kind(), io::ErrorKind::WouldBlock);
        drop(listener);
        assert!(is_stale(&path) && path.exists());
        std::fs::remove_file(&path).unwrap();
        assert!(is_stale(&path));
    }
}
