//! The agent that runs the work, on the platform's protocol. What it is told that it must not be told goes to the history.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use tinyjson::JsonValue;

use super::asks::Asks;
use super::body::LabBody;
use super::deadlines::Deadlines;
use super::deliveries::{AtReply, Deliveries};
use super::lifetimes::Lifetimes;
use super::results::Results;
use super::{wait_until, PATIENCE};
use crate::lab::history::{Event, Recorder};
use crate::lab::spoil::{Framed, Spoiler};

/// The address of an agent that does not listen yet.
const NOT_BOUND: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn text<'a>(json: &'a HashMap<String, JsonValue>, key: &str) -> &'a str {
    json.get(key).and_then(|v| v.get::<String>()).map_or("", String::as_str)
}

/// What the agent's stand-in was told and has told, which outlives its links.
#[derive(Default)]
struct Told {
    launches: Vec<(String, String, Vec<u8>)>,
    /// Commands that launch a run again, which do nothing here.
    repeated_launches: usize,
    subscribed: Vec<u64>,
    replies: HashMap<String, Vec<u8>>,
    /// Runs that wait for a call: the notice that asks for it, and its body.
    at_calls: HashMap<String, (u64, Vec<u8>)>,
    deliveries: Deliveries,
    /// The asks of the vault behind it, where each reply is checked against the ask in force.
    asks: Option<Asks>,
    /// Where the results of its runs are recorded, if at all.
    results: Option<Results>,
    /// What spoils notices on their way, if anything does: those that are kept stay whole.
    spoiler: Option<Spoiler>,
    /// Runs that are over.
    ended: HashSet<String>,
    notices: Vec<String>,
    link: Option<TcpStream>,
    /// The number of that link: a new one replaces the one before.
    link_number: u64,
}

impl Told {
    /// Writes notices to the link, each of them spoilt or not.
    fn write(&self, link: &mut TcpStream, lines: &[String]) -> bool {
        let pass = |line: &String| match &self.spoiler {
            Some(spoiler) => spoiler.pass(&framed_notice(line)),
            None => line.clone().into_bytes(),
        };
        link.write_all(&lines.iter().map(pass).collect::<Vec<_>>().concat()).is_ok()
    }

    /// Writes a notice to the link there is.
    fn write_to_link(&mut self, line: String) {
        let Some(mut link) = self.link.take() else { return };
        self.write(&mut link, &[line]);
        self.link = Some(link);
    }

    /// What is wrong with a reply that came for a run, which is noted.
    fn wrong_with_reply(&mut self, handle: &str, reply: &[u8]) -> Option<String> {
        let is_launched = self.launches.iter().any(|(launched, ..)| launched == handle);
        let ask = self.asks.as_ref().and_then(|asks| asks.in_force(handle));
        let run = match self.at_calls.get(handle) {
            Some((notice, body)) => AtReply::Waiting { notice: *notice, body, ask: ask.as_ref() },
            None if is_launched && !self.ended.contains(handle) => AtReply::Running,
            None => AtReply::Over,
        };
        self.deliveries.note(handle, run, reply, self.link_number, self.notices.len())
    }
}

/// A notice whose handle, body, duration and figures are content.
fn framed_notice(line: &str) -> Framed {
    let value = |member: &str, end: char| {
        let from = line.find(member).map(|at| at + member.len())?;
        line[from..].split(end).next()
    };
    let content = [
        value("\"handle\":\"", '"'),
        value("\"arg\":\"", '"'),
        value("\"lasted\":", ',').map(|digits| digits.trim_end_matches(['}', '\n'])),
        value("\"figures\":[", ']'),
    ];
    Framed::text(line, &content.into_iter().flatten().collect::<Vec<_>>())
}

/// Ends a link after its lifetime.
fn end_after(stream: &TcpStream, lifetime: Duration) {
    if lifetime.is_zero() {
        let _ = stream.shutdown(Shutdown::Both);
        return;
    }
    let Ok(stream) = stream.try_clone() else { return };
    thread::spawn(move || {
        thread::sleep(lifetime);
        let _ = stream.shutdown(Shutdown::Both);
    });
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
    /// How long each link lives, where the agent ends its links by itself.
    lifetimes: Option<Lifetimes>,
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
            lifetimes: None,
        };
        Self::serve(agent, work_queue, work)
    }

    /// The same, recording each run it begins as `by` in `history`: the lab's load tool writes `lab id KEY` at the
    /// head of each body, which names the request and its key.
    /// Each run makes so many calls, and works before each and after the last. What it is told that it must not be told is
    /// recorded as changed. Runs at a call end when `deadlines` says that their request is over. With `lifetimes` it ends its
    /// links by itself.
    pub fn recorded(
        cores: usize,
        work: Duration,
        calls: usize,
        history: Recorder,
        by: &str,
        deadlines: Deadlines,
        lifetimes: Option<Lifetimes>,
    ) -> Self {
        let (queue, work_queue) = mpsc::channel::<(String, Vec<u8>)>();
        let (told, busy) = (Arc::default(), Arc::default());
        let (history, deadlines) = (Some((history, Arc::from(by))), Some(deadlines));
        Self::serve(
            Self { address: NOT_BOUND, told, busy, queue, cores, history, deadlines, calls, lifetimes },
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
        let mut made = Results::begin(arg);
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
        self.told.lock().unwrap().results.iter().for_each(|results| results.record(&made));
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
        let over = self.deadlines.as_ref().and_then(|d| d.of(handle));
        let most = over.map_or(PATIENCE, |at| at.saturating_duration_since(Instant::now()));
        let came = wait_until(most, || self.told.lock().unwrap().replies.contains_key(handle));
        let mut told = self.told.lock().unwrap();
        told.at_calls.remove(handle);
        if !came && over.is_some() {
            told.ended.insert(handle.to_string());
            return None;
        }
        Some(told.replies.remove(handle).unwrap_or_default())
    }

    /// Tells a numbered notice, and returns its number.
    fn tell(&self, event: &str, rest: &str) -> u64 {
        let mut told = self.told.lock().unwrap();
        let line = format!("{{\"event\":\"{event}\",\"cursor\":{},{rest}}}\n", told.notices.len() + 1);
        told.notices.push(line.clone());
        told.write_to_link(line);
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
                    let mut all =
                        vec!["{\"event\":\"greeting\",\"fate\":\"hot\",\"lasted\":60000}\n".to_string()];
                    all.extend(told.notices.iter().skip(cursor as usize).cloned());
                    if !told.write(&mut link, &all) {
                        return;
                    }
                    told.link = Some(link);
                    told.link_number += 1;
                    number = Some(told.link_number);
                    if let Some(lifetimes) = &self.lifetimes {
                        end_after(&stream, lifetimes.of(told.link_number));
                    }
                }
                // A launch of what runs already does nothing, but this agent keeps no results: what ended meanwhile would run
                // again, so that what must run once is never launched twice.
                "launch" if told.launches.iter().any(|(h, ..)| *h == handle) => {
                    told.repeated_launches += 1;
                    self.check_repeated_launch(&handle, &arg);
                }
                "launch" => {
                    self.check_launch(&handle, text(json, "entry"), &arg);
                    told.launches.push((handle.clone(), text(json, "entry").to_string(), arg.clone()));
                    self.record_run(&handle, &arg);
                    let _ = self.queue.send((handle, arg));
                }
                "deliver" => {
                    if self.history.is_some() {
                        let wrong = told.wrong_with_reply(&handle, &arg);
                        wrong.iter().for_each(|what| self.record_change(&handle, what));
                    }
                    if told.at_calls.remove(&handle).is_some() {
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
                    told.write_to_link(line);
                }
                _ => {}
            }
        }
    }

    /// What must run once is launched once.
    fn check_repeated_launch(&self, handle: &str, arg: &[u8]) {
        if LabBody::parse(arg).is_some_and(|body| body.must_run_once()) {
            self.record_change(handle, "again");
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

    /// Checks each reply from now on against the ask in force at the vault that records its asks there.
    pub fn check_asks(&self, asks: Asks) {
        self.told.lock().unwrap().asks = Some(asks);
    }

    /// Spoils notices from now on.
    pub fn spoil_notices(&self, spoiler: Spoiler) {
        self.told.lock().unwrap().spoiler = Some(spoiler);
    }

    /// Records the result of each run from now on.
    pub fn record_results(&self, results: Results) {
        self.told.lock().unwrap().results = Some(results);
    }

    pub fn launches(&self) -> Vec<(String, String, Vec<u8>)> {
        self.told.lock().unwrap().launches.clone()
    }

    /// Number of commands that would have run a request a second time at an agent that forgot its first run.
    pub fn repeated_launches(&self) -> usize {
        self.told.lock().unwrap().repeated_launches
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
