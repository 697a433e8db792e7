//! Stand-ins for what a matcher talks to, speaking the platform's protocol: the agent that runs the work, the
//! vault that answers calls below, and the control plane that takes reports. Moved here from the tests, which
//! now use them from the lab. Input that a fault spoilt ends a link; it never ends the stand-in.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use tinyjson::JsonValue;

use super::history::{Event, Recorder};
use super::ports::ReservedPort;

/// The address of an agent that does not listen yet.
const NOT_BOUND: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// How long [`wait_for`] waits.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits for a condition; fails the test with `what` if it does not come.
pub fn wait_for(what: &str, there: impl FnMut() -> bool) {
    assert!(wait_until(PATIENCE, there), "{what} did not come");
}

/// Waits for a condition at most `most`; says whether it came.
pub fn wait_until(most: Duration, mut there: impl FnMut() -> bool) -> bool {
    let since = Instant::now();
    while !there() {
        if since.elapsed() >= most {
            return false;
        }
        thread::sleep(Duration::from_millis(2));
    }
    true
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn text<'a>(json: &'a HashMap<String, JsonValue>, key: &str) -> &'a str {
    json.get(key).and_then(|v| v.get::<String>()).map_or("", String::as_str)
}

/// What the agent's stand-in was told and has told, which outlives its links.
#[derive(Default)]
struct Told {
    launches: Vec<(String, String, Vec<u8>)>,
    subscribed: Vec<u64>,
    replies: HashMap<String, Vec<u8>>,
    /// Runs that wait for a call: the notice that asks for it, and its body.
    at_calls: HashMap<String, (u64, Vec<u8>)>,
    /// Runs that are over.
    ended: HashSet<String>,
    notices: Vec<String>,
    link: Option<TcpStream>,
    /// The number of that link: a new one replaces the one before.
    link_number: u64,
}

/// A stand-in for the agent: `cores` runs at a time, each of the length of `work`.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
    busy: Arc<AtomicUsize>,
    queue: mpsc::Sender<(String, Vec<u8>)>,
    cores: usize,
    history: Option<(Recorder, Arc<str>)>,
    deadlines: Option<Deadlines>,
    /// Calls that a run makes, one after the other.
    calls: usize,
}

/// When each request of the lab is over, by its id (which is the handle of its launch): the load tool writes,
/// the agents read. Bounded: entries long past are dropped as new ones come.
#[derive(Clone, Default)]
pub struct Deadlines(Arc<Mutex<HashMap<String, Instant>>>);

/// Deadlines kept at most.
pub const MOST_DEADLINES: usize = 200_000;

impl Deadlines {
    pub fn insert(&self, id: &str, over: Instant) {
        let mut all = self.0.lock().unwrap();
        if all.len() >= MOST_DEADLINES {
            let now = Instant::now();
            all.retain(|_, at| *at + Duration::from_secs(60) > now);
        }
        if all.len() < MOST_DEADLINES {
            all.insert(id.to_string(), over);
        }
    }

    fn lock(&self) -> std::sync::LockResult<std::sync::MutexGuard<'_, HashMap<String, Instant>>> {
        self.0.lock()
    }
}

impl Agent {
    /// With `calls`, each run makes one call halfway.
    pub fn start(cores: usize, work: Duration, calls: bool) -> Self {
        let (queue, work_queue) = mpsc::channel::<(String, Vec<u8>)>();
        let agent = Self {
            address: NOT_BOUND,
            told: Arc::default(),
            busy: Arc::default(),
            queue,
            cores,
            history: None,
            deadlines: None,
            calls: usize::from(calls),
        };
        Self::serve(agent, work_queue, work)
    }

    /// The same, recording each run it begins as `by` in `history`: the lab's load tool writes `lab id KEY` at the
    /// head of each body, which names the request and its key.
    /// Each run makes so many calls, and works before each and after the last. What it is told that it must not be told is
    /// recorded as changed. Runs at a call end when `deadlines` says that their request is over.
    pub fn recorded(
        cores: usize,
        work: Duration,
        calls: usize,
        history: Recorder,
        by: &str,
        deadlines: Deadlines,
    ) -> Self {
        let (queue, work_queue) = mpsc::channel::<(String, Vec<u8>)>();
        let (told, busy) = (Arc::default(), Arc::default());
        let (history, deadlines) = (Some((history, Arc::from(by))), Some(deadlines));
        Self::serve(
            Self { address: NOT_BOUND, told, busy, queue, cores, history, deadlines, calls },
            work_queue,
            work,
        )
    }

    fn serve(agent: Self, work_queue: mpsc::Receiver<(String, Vec<u8>)>, work: Duration) -> Self {
        let agent = agent.moved();
        let work_queue = Arc::new(Mutex::new(work_queue));
        for _ in 0..agent.cores {
            let (agent, work_queue) = (agent.clone(), work_queue.clone());
            thread::spawn(move || loop {
                let next = work_queue.lock().map(|q| q.recv());
                let Ok(Ok((handle, arg))) = next else { return };
                agent.run(&handle, &arg, work);
                agent.told.lock().unwrap().ended.insert(handle);
            });
        }
        agent
    }

    /// The same agent at a new address; at the old one it goes on as well.
    pub fn moved(&self) -> Self {
        self.moved_to(([127, 0, 0, 1], 0).into())
    }

    pub fn moved_to(&self, address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).unwrap();
        let agent = Self { address: listener.local_addr().unwrap(), ..self.clone() };
        let of_links = agent.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = of_links.clone();
                thread::spawn(move || agent.link(stream));
            }
        });
        agent
    }

    fn run(&self, handle: &str, arg: &[u8], work: Duration) {
        let slice = work / (self.calls.max(1) as u32);
        self.busy.fetch_add(1, Ordering::Relaxed);
        thread::sleep(slice);
        self.busy.fetch_sub(1, Ordering::Relaxed);
        let mut made = [b"made:", arg].concat();
        for number in 0..self.calls {
            let body =
                if number == 0 { arg.to_vec() } else { [arg, format!(" call {number}").as_bytes()].concat() };
            let Some(reply) = self.wait_for_call(handle, body) else {
                let rest = format!(
                    r#""handle":"{handle}","fate":"cancelled","lasted":{},"arg":"""#,
                    work.as_millis()
                );
                self.tell("outcome", &rest);
                return;
            };
            made.extend(reply);
            if number + 1 < self.calls {
                // Off the cores, as a wait for a disk is.
                thread::sleep(slice);
            }
        }
        let arg = BASE64.encode(&made);
        let lasted = work.as_millis();
        self.tell(
            "outcome",
            &format!(r#""handle":"{handle}","fate":"complete","lasted":{lasted},"arg":"{arg}""#),
        );
    }

    /// Asks for a call and waits for its reply; none once the request is over. As the protocol has it, a run that waits at
    /// a call ends `cancelled` then; where no deadline is known, it waits the tests' patience and goes on without.
    fn wait_for_call(&self, handle: &str, body: Vec<u8>) -> Option<Vec<u8>> {
        let rest = format!(r#""handle":"{handle}","arg":"{}""#, BASE64.encode(&body));
        self.told.lock().unwrap().at_calls.insert(handle.to_string(), (0, body));
        let cursor = self.tell("request", &rest);
        if let Some(at_call) = self.told.lock().unwrap().at_calls.get_mut(handle) {
            at_call.0 = cursor;
        }
        let over = self.deadlines.as_ref().and_then(|d| d.lock().unwrap().get(handle).copied());
        let most = over.map_or(PATIENCE, |at| at.saturating_duration_since(Instant::now()));
        let came = wait_until(most, || self.told.lock().unwrap().replies.contains_key(handle));
        let mut told = self.told.lock().unwrap();
        told.at_calls.remove(handle);
        if !came && over.is_some() {
            return None;
        }
        Some(told.replies.remove(handle).unwrap_or_default())
    }

    /// Tells a numbered notice, and returns its number.
    fn tell(&self, event: &str, rest: &str) -> u64 {
        let mut told = self.told.lock().unwrap();
        let line = format!("{{\"event\":\"{event}\",\"cursor\":{},{rest}}}\n", told.notices.len() + 1);
        told.notices.push(line.clone());
        if let Some(link) = &mut told.link {
            let _ = link.write_all(line.as_bytes());
        }
        told.notices.len() as u64
    }

    fn link(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reads) = stream.try_clone() else { return };
        let mut number = None;
        for line in BufReader::new(reads).lines() {
            let Ok(line) = line else { return };
            // A line that a fault cut short ends the link, as a broken link would.
            let Ok(json) = crate::json::parse(&line) else { return };
            let Some(json) = json.get::<HashMap<String, JsonValue>>() else { return };
            let Ok(arg) = BASE64.decode(text(json, "arg")) else { return };
            let handle = text(json, "handle").to_string();
            let mut told = self.told.lock().unwrap();
            // What is still there of a link that was replaced is not read: a slow reader would take up an old command
            // behind newer ones.
            if number.is_some_and(|number| number != told.link_number) {
                return;
            }
            match text(json, "event") {
                "subscribe" => {
                    let Some(cursor) = json.get("cursor").and_then(|c| c.get::<f64>()) else { return };
                    let cursor = *cursor as u64;
                    told.subscribed.push(cursor);
                    let Ok(mut link) = stream.try_clone() else { return };
                    let mut all = "{\"event\":\"greeting\",\"fate\":\"hot\",\"lasted\":60000}\n".to_string();
                    all.extend(told.notices.iter().skip(cursor as usize).cloned());
                    if link.write_all(all.as_bytes()).is_err() {
                        return;
                    }
                    told.link = Some(link);
                    told.link_number += 1;
                    number = Some(told.link_number);
                }
                // As the protocol has it, a launch of what runs already does nothing; it keeps no results, and what ended
                // would run again.
                "launch" if told.launches.iter().any(|(h, ..)| *h == handle) => {
                    let must_run_once = LabBody::parse(&arg).is_some_and(|body| body.must_run_once());
                    if told.ended.contains(&handle) && must_run_once {
                        self.record_change(&handle, "again");
                    }
                }
                "launch" => {
                    self.check_launch(&handle, text(json, "entry"), &arg);
                    told.launches.push((handle.clone(), text(json, "entry").to_string(), arg.clone()));
                    self.record_run(&handle, &arg);
                    let _ = self.queue.send((handle, arg));
                }
                "deliver" => {
                    let waits = told.at_calls.remove(&handle);
                    if let Some((_, body)) = &waits {
                        if self.history.is_some() && arg != [b"reply:", &body[..]].concat() {
                            self.record_change(&handle, "reply");
                        }
                        told.replies.insert(handle, arg);
                    }
                }
                "forgo" => {
                    let named = json.get("cursor").and_then(|c| c.get::<f64>()).map(|c| *c as u64);
                    if told.at_calls.get(&handle).map(|(cursor, _)| *cursor) == named {
                        told.at_calls.remove(&handle);
                        told.replies.insert(handle, Vec::new());
                    }
                }
                "sample" => {
                    let busy = self.busy.load(Ordering::Relaxed) as f64;
                    let (ticket, share) = (text(json, "ticket"), busy / self.cores as f64);
                    let figures = format!("[{share},{busy},0.1,4]");
                    let line =
                        format!("{{\"event\":\"sampled\",\"ticket\":\"{ticket}\",\"figures\":{figures}}}\n");
                    if let Some(link) = told.link.as_mut() {
                        let _ = link.write_all(line.as_bytes());
                    }
                }
                _ => {}
            }
        }
    }

    /// A launch is that of the request which its handle names.
    fn check_launch(&self, handle: &str, entry: &str, arg: &[u8]) {
        if self.history.is_none() {
            return;
        }
        let Some(body) = LabBody::parse(arg) else { return self.record_change(handle, "body") };
        // A keyed request has the body of its first try, which has another handle.
        if body.key.is_empty() && body.id != handle {
            self.record_change(handle, "body");
        }
        if body.class.is_some_and(|class| class != entry) {
            self.record_change(handle, "class");
        }
    }

    fn record_change(&self, handle: &str, what: &str) {
        let Some((history, by)) = &self.history else { return };
        history.record(Event::Changed { by: by.to_string(), handle: handle.into(), what: what.into() });
    }

    fn record_run(&self, handle: &str, arg: &[u8]) {
        let Some((history, by)) = &self.history else { return };
        if let Some(body) = LabBody::parse(arg) {
            let (id, key) = (body.id.to_string(), body.key.to_string());
            history.record(Event::Run { id, key, by: by.to_string(), handle: handle.to_string() });
        }
    }

    pub fn launches(&self) -> Vec<(String, String, Vec<u8>)> {
        self.told.lock().unwrap().launches.clone()
    }

    pub fn subscribed(&self) -> Vec<u64> {
        self.told.lock().unwrap().subscribed.clone()
    }

    /// Says something that is no notice.
    pub fn babble(&self, bytes: &[u8]) {
        self.told.lock().unwrap().link.as_mut().expect("a link").write_all(bytes).unwrap();
    }

    /// Breaks the link; runs go on.
    pub fn cut(&self) {
        let link = self.told.lock().unwrap().link.take().expect("a link to cut");
        link.shutdown(Shutdown::Both).unwrap();
    }
}

/// What the load tool writes into the body of a request: `lab ID KEY CLASS`, the key empty where there is none, and `once`
/// behind it where it runs at most once without a key.
struct LabBody<'a> {
    id: &'a str,
    key: &'a str,
    class: Option<&'a str>,
    is_once: bool,
}

impl<'a> LabBody<'a> {
    fn must_run_once(&self) -> bool {
        self.is_once || !self.key.is_empty()
    }

    fn parse(arg: &'a [u8]) -> Option<Self> {
        let mut words = std::str::from_utf8(arg).ok()?.split(' ');
        (words.next() == Some("lab")).then_some(())?;
        Some(Self {
            id: words.next()?,
            key: words.next().unwrap_or_default(),
            class: words.next(),
            is_once: words.next() == Some("once"),
        })
    }
}

/// A stand-in for the vault: answers each call with `reply:` and its body.
pub fn vault() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let Ok(reads) = stream.try_clone() else { return };
                let (mut reads, mut writes) = (BufReader::new(reads), stream);
                let mut line = String::new();
                while reads.read_line(&mut line).unwrap_or(0) > 0 {
                    let words: Vec<_> = line.trim_end().split(' ').collect();
                    if let ["ask", handle, _, len] = words[..] {
                        let Some(len) = len.parse::<usize>().ok().filter(|n| *n <= 1 << 20) else { return };
                        let mut body = vec![0; len + 2];
                        if reads.read_exact(&mut body).is_err() {
                            return;
                        }
                        let reply = [b"reply:", &body[..body.len() - 2]].concat();
                        let head = format!("{handle} yes {}\r\n", reply.len());
                        if writes.write_all(&[head.as_bytes(), &reply, b"\r\n"].concat()).is_err() {
                            return;
                        }
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

/// A vault that answers the call with the body `bad` by noise, and others well once there was such a one: behind
/// a reply that is nobody's, and with a second copy.
pub fn spoiling_vault() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let spoilt = Arc::new(AtomicUsize::new(0));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let spoilt = spoilt.clone();
            thread::spawn(move || {
                let mut reads = BufReader::new(stream.try_clone().unwrap());
                let (mut writes, mut line) = (stream, String::new());
                while reads.read_line(&mut line).is_ok_and(|n| n > 0) {
                    let words: Vec<_> = line.split_whitespace().map(str::to_string).collect();
                    let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
                    reads.read_exact(&mut body).unwrap();
                    body.truncate(body.len() - 2);
                    if body == b"bad" {
                        spoilt.fetch_add(1, Ordering::Relaxed);
                        let _ = writes.write_all(b"\xff\xfe?\r\n");
                    } else {
                        wait_for("a spoilt reply", || spoilt.load(Ordering::Relaxed) > 0);
                        let len = body.len() + 6;
                        let head = format!("{} yes {len}\r\nreply:", words[1]);
                        let reply = [head.as_bytes(), &body, b"\r\n"];
                        let stray = b"00000000000000ff yes 2\r\nno\r\n".to_vec();
                        writes.write_all(&[stray, reply.concat(), reply.concat()].concat()).unwrap();
                    }
                    line.clear();
                }
            });
        }
    });
    address
}

/// A vault that reads a call and breaks the connection.
pub fn broken_vault() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = BufReader::new(stream).read_line(&mut String::new());
        }
    });
    address
}

/// An address where nobody listens, and nobody but who is told of it will.
pub fn gone() -> SocketAddr {
    let port = ReservedPort::any().expect("a port");
    let address = port.address();
    // Reserved for as long as this process lives: the system would give it to another listener.
    std::mem::forget(port);
    address
}

/// A stand-in for the control plane: takes the reports of being alive, and drops them.
#[derive(Clone)]
pub struct Control {
    pub address: SocketAddr,
}

impl Control {
    pub fn start() -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let control = Self { address: socket.local_addr()? };
        thread::spawn(move || {
            let mut bytes = [0; 512];
            while socket.recv(&mut bytes).is_ok() {}
        });
        Ok(control)
    }
}
