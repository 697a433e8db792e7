//! Stand-ins for what the program talks to, and the program itself as a process.

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use tinyjson::JsonValue;

pub const PATIENCE: Duration = Duration::from_secs(10);

/// Waits for a condition; fails the test with `what` if it does not come.
pub fn wait_for(what: &str, mut there: impl FnMut() -> bool) {
    let since = Instant::now();
    while !there() {
        assert!(since.elapsed() < PATIENCE, "{what} did not come");
        thread::sleep(Duration::from_millis(2));
    }
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
    notices: Vec<String>,
    link: Option<TcpStream>,
}

/// A stand-in for the agent: `cores` runs at a time, each of the length of `work`.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
    busy: Arc<AtomicUsize>,
    queue: mpsc::Sender<(String, Vec<u8>)>,
    cores: usize,
}

impl Agent {
    /// With `calls`, each run makes one call halfway.
    pub fn start(cores: usize, work: Duration, calls: bool) -> Self {
        let (queue, work_queue) = mpsc::channel::<(String, Vec<u8>)>();
        let agent =
            Self { address: gone(), told: Arc::default(), busy: Arc::default(), queue, cores }.moved();
        let work_queue = Arc::new(Mutex::new(work_queue));
        for _ in 0..cores {
            let (agent, work_queue) = (agent.clone(), work_queue.clone());
            thread::spawn(move || loop {
                let Ok((handle, arg)) = work_queue.lock().unwrap().recv() else { return };
                agent.run(&handle, &arg, work, calls);
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

    fn run(&self, handle: &str, arg: &[u8], work: Duration, calls: bool) {
        self.busy.fetch_add(1, Ordering::Relaxed);
        thread::sleep(work);
        self.busy.fetch_sub(1, Ordering::Relaxed);
        let mut made = [b"made:", arg].concat();
        if calls {
            self.tell("request", &format!(r#""handle":"{handle}","arg":"{}""#, BASE64.encode(arg)));
            wait_for("the reply to a call", || self.told.lock().unwrap().replies.contains_key(handle));
            made.extend(self.told.lock().unwrap().replies.remove(handle).unwrap());
        }
        let arg = BASE64.encode(&made);
        let lasted = work.as_millis();
        self.tell(
            "outcome",
            &format!(r#""handle":"{handle}","fate":"complete","lasted":{lasted},"arg":"{arg}""#),
        );
    }

    fn tell(&self, event: &str, rest: &str) {
        let mut told = self.told.lock().unwrap();
        let line = format!("{{\"event\":\"{event}\",\"cursor\":{},{rest}}}\n", told.notices.len() + 1);
        told.notices.push(line.clone());
        if let Some(link) = &mut told.link {
            let _ = link.write_all(line.as_bytes());
        }
    }

    fn link(&self, stream: TcpStream) {
        stream.set_nodelay(true).unwrap();
        for line in BufReader::new(stream.try_clone().unwrap()).lines() {
            let Ok(line) = line else { return };
            let json: JsonValue = line.parse().expect("a command in JSON");
            let json: &HashMap<String, JsonValue> = json.get().unwrap();
            let (handle, arg) = (text(json, "handle").to_string(), BASE64.decode(text(json, "arg")).unwrap());
            let mut told = self.told.lock().unwrap();
            match text(json, "event") {
                "subscribe" => {
                    let cursor = *json["cursor"].get::<f64>().unwrap() as u64;
                    told.subscribed.push(cursor);
                    let mut link = stream.try_clone().unwrap();
                    let mut all = "{\"event\":\"greeting\",\"fate\":\"hot\",\"lasted\":60000}\n".to_string();
                    all.extend(told.notices.iter().skip(cursor as usize).cloned());
                    link.write_all(all.as_bytes()).unwrap();
                    told.link = Some(link);
                }
                // As the protocol has it, a launch of what runs already does nothing.
                "launch" if told.launches.iter().any(|(h, ..)| *h == handle) => {}
                "launch" => {
                    told.launches.push((handle.clone(), text(json, "entry").to_string(), arg.clone()));
                    self.queue.send((handle, arg)).unwrap();
                }
                "deliver" => drop(told.replies.insert(handle, arg)),
                "forgo" => drop(told.replies.insert(handle, Vec::new())),
                "sample" => {
                    let busy = self.busy.load(Ordering::Relaxed) as f64;
                    let (ticket, share) = (text(json, "ticket"), busy / self.cores as f64);
                    let figures = format!("[{share},{busy},0.1,4]");
                    let line =
                        format!("{{\"event\":\"sampled\",\"ticket\":\"{ticket}\",\"figures\":{figures}}}\n");
                    let _ = told.link.as_mut().unwrap().write_all(line.as_bytes());
                }
                _ => {}
            }
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

/// A stand-in for the vault: answers each call with `reply:` and its body.
pub fn vault() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let (mut reads, mut writes) = (BufReader::new(stream.try_clone().unwrap()), stream);
                let mut line = String::new();
                while reads.read_line(&mut line).unwrap_or(0) > 0 {
                    let words: Vec<_> = line.trim_end().split(' ').collect();
                    if let ["ask", handle, _, len] = words[..] {
                        let mut body = vec![0; len.parse::<usize>().unwrap() + 2];
                        reads.read_exact(&mut body).unwrap();
                        let reply = [b"reply:", &body[..body.len() - 2]].concat();
                        let head = format!("{handle} yes {}\r\n", reply.len());
                        writes.write_all(&[head.as_bytes(), &reply, b"\r\n"].concat()).unwrap();
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

/// An address where nobody listens.
pub fn gone() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// A stand-in for an SCGI service: gives each whole request to `answer`, writes what it returns and closes.
pub fn scgi_service(answer: impl Fn(&str, &[u8]) -> Vec<u8> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let mut reads = BufReader::new(stream.try_clone().unwrap());
                let mut len = Vec::new();
                reads.read_until(b':', &mut len).unwrap();
                let len: usize = std::str::from_utf8(&len[..len.len() - 1]).unwrap().parse().unwrap();
                let mut block = vec![0; len + 1];
                reads.read_exact(&mut block).unwrap();
                let block = String::from_utf8(block).unwrap();
                let fields: Vec<_> = block.split('\0').collect();
                assert_eq!((fields[0], &fields[2..4]), ("CONTENT_LENGTH", &["SCGI", "1"][..]));
                let mut body = vec![0; fields[1].parse().unwrap()];
                reads.read_exact(&mut body).unwrap();
                let _ = stream.write_all(&answer(&block, &body));
            });
        }
    });
    address
}

static NEXT: AtomicU64 = AtomicU64::new(1);

/// The program as a process, with what it was given and where it listens.
pub struct Program {
    child: Child,
    pub http: SocketAddr,
    pub scgi: SocketAddr,
    pub admin: SocketAddr,
    log: Arc<Mutex<String>>,
    pub control: UdpSocket,
    config: String,
    appliance: String,
    pub dir: Arc<Scratch>,
}

/// Parts of the configuration that tests set.
#[derive(Default)]
pub struct Setup {
    pub agent: Option<SocketAddr>,
    pub vault: Option<SocketAddr>,
    pub application: Option<SocketAddr>,
    pub below: Option<SocketAddr>,
    /// Changes to the site: what stands there, and what takes its place.
    pub site: Vec<(&'static str, &'static str)>,
    /// More members of the appliance's file.
    pub appliance: String,
    /// Descriptors that the program may hold.
    pub sockets: Option<usize>,
}

/// A folder of a test's own, which goes when the test is done with it.
pub struct Scratch(PathBuf);

impl Scratch {
    pub fn new() -> Self {
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("hopwalk-test-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        Self(dir)
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts the program's binary on configuration texts, without waiting for it.
pub fn spawn_program(config: &str, appliance: &str) -> (Child, Scratch) {
    let dir = Scratch::new();
    (spawn_in(&dir, config, appliance), dir)
}

/// The same in a folder that it shares with those that were started there before.
fn spawn_in(dir: &Scratch, config: &str, appliance: &str) -> Child {
    let (config_file, appliance_file) = (dir.path("config.json"), dir.path("appliance.json"));
    std::fs::write(&config_file, config).unwrap();
    std::fs::write(&appliance_file, appliance).unwrap();
    Command::new(env!("CARGO_BIN_EXE_hopwalk"))
        .env("TMPDIR", &dir.0)
        .env("RELAY_CONFIG", config_file)
        .env("RELAY_APPLIANCE", appliance_file)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

impl Program {
    pub fn start(setup: Setup) -> Self {
        let control = UdpSocket::bind("127.0.0.1:0").unwrap();
        control.set_read_timeout(Some(PATIENCE)).unwrap();
        let mut site = include_str!("../site.json").to_string();
        for (from, to) in setup.site {
            assert!(site.contains(from), "{from}");
            site = site.replace(from, to);
        }
        let address =
            |key: &str, at: Option<SocketAddr>| at.map_or(String::new(), |at| format!("\"{key}\":\"{at}\","));
        let config = format!(
            r#"{{"name":"n7","listen":"127.0.0.1:0","admin":"127.0.0.1:0","control":"{}",{}{}"seed":"1f","limits":{{"sockets":{}}},"stop_ms":3200,"settings":{site}}}"#,
            control.local_addr().unwrap(),
            address("agent", setup.agent),
            address("vault", setup.vault),
            setup.sockets.unwrap_or(1024),
        );
        let scgi = format!(
            r#"{{"scgi":{{{}{}"listen":"127.0.0.1:0"}}{}}}"#,
            address("application", setup.application),
            address("below", setup.below),
            setup.appliance,
        );
        let program = Self::launch(config, scgi, Arc::new(Scratch::new()), control);
        if setup.agent.is_some() {
            program.wait_for_log("linked to the agent");
        }
        program
    }

    fn launch(config: String, appliance: String, dir: Arc<Scratch>, control: UdpSocket) -> Self {
        let mut child = spawn_in(&dir, &config, &appliance);
        let log = Arc::new(Mutex::new(String::new()));
        let (lines, logged) = (BufReader::new(child.stderr.take().unwrap()), log.clone());
        thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                logged.lock().unwrap().push_str(&(line + "\n"));
            }
        });
        let mut program = Self {
            child,
            http: ([127, 0, 0, 1], 0).into(),
            scgi: ([127, 0, 0, 1], 0).into(),
            admin: ([127, 0, 0, 1], 0).into(),
            log,
            control,
            config,
            appliance,
            dir,
        };
        program.http = program.listening("takes HTTP on ");
        program.scgi = program.listening("takes SCGI on ");
        program.admin = program.listening("takes operators' calls on ");
        program
    }

    /// A new version of this program: the same addresses but for the operators' and the agent's.
    pub fn successor(&self, from: &Agent, to: &Agent) -> Self {
        let fixed = |text: &str, at: SocketAddr| {
            text.replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{at}""#))
        };
        let config =
            fixed(&self.config, self.http).replace(&from.address.to_string(), &to.address.to_string());
        let control = self.control.try_clone().unwrap();
        let program = Self::launch(config, fixed(&self.appliance, self.scgi), self.dir.clone(), control);
        wait_for("the handover", || program.call("GET", "/ready") == 200);
        program
    }

    fn listening(&self, word: &str) -> SocketAddr {
        self.wait_for_log(word);
        let log = self.log();
        log.lines().find_map(|l| l.split_once(word)).unwrap().1.parse().unwrap()
    }

    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    pub fn wait_for_log(&self, text: &str) {
        wait_for(&format!("'{text}' in the log"), || self.log().contains(text));
    }

    /// The status of an operator's call.
    pub fn call(&self, method: &str, path: &str) -> u16 {
        exchange(self.admin, format!("{method} {path} HTTP/1.1\r\nHost: t\r\n\r\n").as_bytes()).status
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(sent.unwrap().success());
    }

    /// Puts another file in the place of the configuration and has it read.
    pub fn reload(&self, changes: &[(String, String)]) {
        let change = |config: String, (from, to): &(String, String)| config.replace(from, to);
        let config = changes.iter().fold(self.config.clone(), change);
        assert_ne!(config, self.config);
        std::fs::write(self.dir.path("config.json"), config).unwrap();
        self.signal("HUP");
    }

    /// The exit status, once it has ended.
    pub fn end(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the end of the program", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// A counter, printed on request.
    pub fn counter(&self, name: &str) -> u64 {
        let before = self.log().matches("counters: ").count();
        self.signal("USR1");
        wait_for("the counters", || self.log().matches("counters: ").count() > before);
        let log = self.log();
        let line = log.lines().rfind(|l| l.contains("counters: ")).unwrap();
        let word = line.split(' ').find_map(|w| w.strip_prefix(&format!("{name}=")));
        word.map_or(0, |n| n.parse().unwrap())
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A request as a test makes it.
pub struct Ask {
    pub class: &'static str,
    pub key: Option<String>,
    pub patience_ms: u64,
    pub body: Vec<u8>,
}

impl Ask {
    pub fn new(class: &'static str, body: &[u8]) -> Self {
        Self { class, key: None, patience_ms: 1500, body: body.to_vec() }
    }

    pub fn keyed(key: &str, body: &[u8]) -> Self {
        Self { key: Some(key.to_string()), ..Self::new("lobby-confirm", body) }
    }

    fn fields(&self) -> Vec<(&'static str, String)> {
        let id = format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed));
        let mut fields = vec![
            ("X-Request-Id", id),
            ("X-Request-Start", unix_ms().to_string()),
            ("X-Timeout-Ms", self.patience_ms.to_string()),
            ("X-Memory-Kb", "40".to_string()),
            ("X-Rank", if self.key.is_some() { "0.8" } else { "0.1" }.to_string()),
        ];
        fields.extend(self.key.iter().map(|key| ("Idempotency-Key", key.clone())));
        fields
    }

    pub fn http(&self) -> Vec<u8> {
        let mut head = format!("POST /do/{} HTTP/1.1\r\nHost: t\r\n", self.class);
        for (name, value) in self.fields() {
            head += &format!("{name}: {value}\r\n");
        }
        head += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        [head.as_bytes(), &self.body].concat()
    }

    pub fn scgi(&self) -> Vec<u8> {
        let fields = self.fields().into_iter();
        let fields: Vec<_> =
            fields.map(|(n, v)| (format!("HTTP_{}", n.to_uppercase().replace('-', "_")), v)).collect();
        let uri = format!("/do/{}", self.class);
        let mut all = vec![("REQUEST_METHOD", "POST"), ("REQUEST_URI", uri.as_str())];
        all.extend(fields.iter().map(|(n, v)| (n.as_str(), v.as_str())));
        hopwalk::net::scgi::encode_request(&all, &self.body)
    }
}

/// An answer: its status, its head and its body.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Reads one answer, of either front, to the length that it states.
pub fn read_answer(stream: &mut impl Read) -> Answer {
    let (mut bytes, mut one) = (Vec::new(), [0]);
    while !bytes.ends_with(b"\r\n\r\n") {
        // Unlike a plain read, this one goes on after an interrupted system call.
        let read = stream.read_exact(&mut one);
        read.unwrap_or_else(|e| panic!("{e} after {:?}", String::from_utf8_lossy(&bytes)));
        bytes.push(one[0]);
    }
    let head = String::from_utf8(bytes).unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let len = head.lines().find_map(|l| l.strip_prefix("Content-Length: ")).unwrap().parse().unwrap();
    let mut body = vec![0; len];
    stream.read_exact(&mut body).unwrap();
    Answer { status, head, body }
}

/// Sends bytes on a connection of their own and reads the answer.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> Answer {
    let mut stream = connect(address);
    stream.write_all(bytes).unwrap();
    read_answer(&mut stream)
}

/// True once the other side has closed, with nothing more to read.
pub fn is_closed(stream: &mut TcpStream) -> bool {
    matches!(stream.read(&mut [0]), Ok(0))
}
