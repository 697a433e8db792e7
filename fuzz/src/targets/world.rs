//! Reducers in a small world of their own: callers, agents whose links break, calls below, drains, reloads, and a
//! second version of the program that takes over.
//!
//! The world keeps its own books of what ran and what was answered, and compares them with the rules. It knows
//! nothing of how the reducer works.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arbitrary::Unstructured;
use hopwalk::core::*;
use hopwalk::net::handover::{self, HandoverMessage, ReceivedMessage};
use hopwalk::settings::Site;

const SITE: &str = include_str!("../../../src/lab/site.json");
/// A break of the agent's link loses what was said so shortly before it.
const IN_FLIGHT: Duration = Duration::from_millis(50);
/// The rules allow an answer to come so late.
const SLACK: Duration = Duration::from_millis(100);
const GRACE: Duration = Duration::from_millis(2000);
const STOP: Duration = Duration::from_millis(3200);
const MOST_STEPS: usize = 160;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The site in one of its kinds, and with one of its sets of classes.
fn site(kind: u8, classes: u8) -> Site {
    static SITES: OnceLock<Vec<Site>> = OnceLock::new();
    let all = || {
        let kinds = (0..9).flat_map(|kind| (0..3).map(move |classes| (kind, classes)));
        kinds.map(|(kind, classes)| read_site(kind, classes)).collect()
    };
    SITES.get_or_init(all)[usize::from(kind % 9) * 3 + usize::from(classes % 3)].clone()
}

fn read_site(kind: usize, classes: usize) -> Site {
    let (preemption, below) = (["pause", "drop", "off"][kind % 3], ["next_hop", "common", "off"][kind / 3]);
    let text = SITE.replace("\"pause\"", &format!("\"{preemption}\"")).replace("next_hop", below);
    let text = match classes {
        1 => text.replace("queue-prefs", "queue-other"),
        2 => text.replace("lobby-confirm", "lobby-other"),
        _ => text,
    };
    Site::parse(&text).expect("a site")
}

const CLASSES: [&str; 4] = ["queue-status", "queue-prefs", "lobby-confirm", "queue-other"];

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Going,
    Paused,
    /// It waits for the call that this notice asked for.
    AtCall(u64),
    Over,
}

/// A run, as the agents know it.
#[derive(Debug)]
struct Run {
    state: State,
    /// The reducer that it was begun through.
    node: usize,
    complete: bool,
}

/// A request, as its caller knows it.
#[derive(Debug)]
struct Asked {
    key: Option<Key>,
    start: Duration,
    due: Duration,
    answer: Option<Verdict>,
    /// A call of it that may have run.
    unproved_call: bool,
    ran: bool,
}

enum Out {
    Numbered(usize),
    Plain(Notice),
}

/// One process.
struct Node {
    core: Core,
    up: bool,
    serving: bool,
    /// It has taken callers.
    served: bool,
    begun: bool,
    drained: Option<Duration>,
    link: bool,
    /// The number of the link that was opened last.
    link_id: LinkId,
    /// Links that broke, and when the reducer hears of it.
    broken: VecDeque<(Duration, LinkId)>,
    /// Commands on their way, since when.
    wire: VecDeque<(Duration, Command)>,
    notices: Vec<Notice>,
    cursor: usize,
    out: VecDeque<Out>,
    calls: Vec<(Handle, u32)>,
    /// Callers that wait here.
    conns: BTreeMap<ConnId, Handle>,
    checks: Vec<ConnId>,
    /// Connections whose requests the other process passed on.
    passed: BTreeMap<ConnId, ConnId>,
}

/// A line, or what a process notices of the link itself.
enum Told {
    Line(String),
    Is(Succession),
}

/// Lines on their way between the processes, and the end of the link behind them.
#[derive(Default)]
struct Pipe {
    up: bool,
    to: [VecDeque<Told>; 2],
    /// The link broke with both alive.
    cut: bool,
    /// All keys were handed over.
    complete: bool,
}

struct World {
    now: Duration,
    nodes: Vec<Node>,
    runs: BTreeMap<Handle, Run>,
    asked: BTreeMap<Handle, Asked>,
    pipe: Pipe,
    next: u64,
    /// Nobody keeps to the protocol: only the promises to callers are looked at.
    wild: bool,
    kind: u8,
    window: Duration,
    /// Say all that happens, for people: `HOPWALK_TRACE` is set.
    trace: bool,
}

impl World {
    fn new(kind: u8, wild: bool) -> Self {
        let window = site(kind, 0).settings.classes[2].window;
        let mut world = Self {
            now: ms(1_764_576_000_000),
            nodes: Vec::new(),
            runs: BTreeMap::new(),
            asked: BTreeMap::new(),
            pipe: Pipe::default(),
            next: 0,
            wild,
            kind,
            window,
            trace: std::env::var_os("HOPWALK_TRACE").is_some(),
        };
        world.add_node(true);
        world.relink(0);
        world
    }

    fn add_node(&mut self, serving: bool) {
        let core = Core::new(site(self.kind, 0), 7, STOP, self.now).expect("a core");
        self.nodes.push(Node {
            core,
            up: true,
            serving,
            served: serving,
            begun: false,
            drained: None,
            link: false,
            link_id: LinkId::NONE,
            broken: VecDeque::new(),
            wire: VecDeque::new(),
            notices: Vec::new(),
            cursor: 0,
            out: VecDeque::new(),
            calls: Vec::new(),
            conns: BTreeMap::new(),
            checks: Vec::new(),
            passed: BTreeMap::new(),
        });
    }

    fn new_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    // ---- The reducers ---------------------------------------------------------------------------------

    fn step(&mut self, n: usize, inputs: Vec<Input>) {
        if !self.nodes[n].up {
            return;
        }
        let trace = self.trace && !inputs.is_empty();
        if trace {
            eprintln!("{:?} node {n} takes {inputs:?}", self.now);
        }
        for effect in self.nodes[n].core.step(self.now, inputs) {
            if self.trace && !matches!(effect, Effect::Agent { command: Command::Sample { .. }, .. }) {
                eprintln!("{:?} node {n} wants {effect:?}", self.now);
            }
            self.perform(n, effect);
        }
    }

    fn perform(&mut self, n: usize, effect: Effect) {
        let now = self.now;
        match effect {
            Effect::Answer { conn, answer } => self.answered(n, conn, &answer),
            Effect::Agent { link, command, .. } => {
                let node = &mut self.nodes[n];
                // What is said for a link that is over is lost.
                if node.link && link == node.link_id {
                    node.wire.push_back((now, command));
                }
            }
            Effect::Call { handle, attempt, at_most_once, .. } => {
                if let Some(asked) = self.asked.get_mut(&handle).filter(|_| at_most_once && !self.wild) {
                    assert!(!asked.unproved_call, "a call of {handle} is made again without proof");
                }
                self.nodes[n].calls.retain(|(h, _)| *h != handle);
                self.nodes[n].calls.push((handle, attempt));
            }
            Effect::CancelCall { handle, attempt } => {
                if let Some(at) = self.nodes[n].calls.iter().position(|call| *call == (handle, attempt)) {
                    self.nodes[n].calls.remove(at);
                    self.asked.get_mut(&handle).into_iter().for_each(|a| a.unproved_call = true);
                }
            }
            Effect::HandOver { keys, past_runs, standby } => {
                self.say(n, HandoverMessage::PastRuns { handles: past_runs, until: self.now });
                self.say(n, HandoverMessage::Keys(keys, standby));
            }
            Effect::ShareStandby { standby, with, .. } => {
                with.iter().for_each(|_| self.say(n, HandoverMessage::Standby(standby)));
            }
            Effect::StandbyOutcome { .. } => {}
            Effect::Forward(request) => self.say(n, HandoverMessage::Request(request)),
            Effect::KeyResolved { key, ran, result } => {
                self.say(n, HandoverMessage::KeyResolved(key, ran, result))
            }
            Effect::Ready => {
                if n == 1 && self.pipe.up && !std::mem::replace(&mut self.nodes[n].begun, true) {
                    self.say(n, HandoverMessage::Begin);
                }
            }
            Effect::Listen | Effect::PeerExited => {
                let node = &mut self.nodes[n];
                node.serving |= node.drained.is_none();
                node.served |= node.serving;
            }
            Effect::AbortTakeover => {
                assert!(n == 1 && !self.nodes[n].serving, "gives up while it serves");
                self.end(n, usize::MAX);
            }
            Effect::StopListening | Effect::YieldToSuccessor => self.nodes[n].serving = false,
            Effect::Exit => {
                let waiting = &self.nodes[n].conns;
                assert!(waiting.is_empty(), "left without an answer: {waiting:?}");
                self.end(n, usize::MAX);
            }
            Effect::TrimIdle(_)
            | Effect::Draining
            | Effect::ReportReadiness(_)
            | Effect::Relink
            | Effect::Log(_)
            | Effect::ReportViolation { .. }
            | Effect::CountAnswer { .. }
            | Effect::QueryResult { .. } => {}
        }
    }

    fn answered(&mut self, n: usize, conn: ConnId, answer: &Answer) {
        if let Some(there) = self.nodes[n].passed.remove(&conn) {
            return self.say(n, HandoverMessage::Answer(there, Arc::new(answer.clone())));
        }
        if let Some(at) = self.nodes[n].checks.iter().position(|c| *c == conn) {
            self.nodes[n].checks.remove(at);
            return assert!(matches!(answer.verdict, Verdict::Healthy | Verdict::Unhealthy));
        }
        let Some(handle) = self.nodes[n].conns.remove(&conn) else {
            panic!("an answer to nobody, or a second one: {conn} {answer:?}");
        };
        if self.wild {
            let due = self.asked[&handle].due;
            return assert!(self.now <= due.max(self.now.min(due)) + SLACK, "{handle} is answered late");
        }
        let asked = self.asked.get_mut(&handle).expect("a request");
        assert!(asked.answer.is_none(), "{handle} is answered twice");
        assert!(self.now <= asked.due + SLACK, "{handle} is answered {:?} late", self.now - asked.due);
        asked.answer = Some(answer.verdict.clone());
        let (key, ran) = (asked.key.clone(), asked.ran);
        match &answer.verdict {
            Verdict::Refused { .. } => {
                assert!(!ran, "{handle} is turned away and has run");
                let on_its_way = |(_, c): &(Duration, Command)| matches!(c, Command::Launch { handle: h, .. } if *h == handle);
                assert!(
                    !self.nodes.iter().any(|n| n.wire.iter().any(on_its_way)),
                    "{handle} is turned away and will run"
                );
            }
            Verdict::Served(result) => {
                let made = made(handle, key.as_ref());
                assert_eq!(String::from_utf8_lossy(result), made, "somebody else's result");
                let of = |(h, r): (&Handle, &Run)| {
                    r.complete && (*h == handle || key.is_some() && self.asked[h].key == key)
                };
                assert!(self.runs.iter().any(of), "{handle} is served with what no run made");
            }
            Verdict::Invalid(_) | Verdict::NoSuchClass => assert!(!ran),
            Verdict::Failed => {}
            Verdict::Healthy | Verdict::Unhealthy => panic!("a check's answer to a request"),
        }
        // A run that waits for a call of a request that is over ends there.
        if let Some(run) = self.runs.get_mut(&handle).filter(|r| matches!(r.state, State::AtCall(_))) {
            run.state = State::Over;
            self.tell_end(handle, End::Cancelled);
        }
    }

    // ---- The agents -----------------------------------------------------------------------------------

    fn relink(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        if node.link || !node.up {
            return;
        }
        (node.link, node.link_id) = (true, LinkId(node.link_id.0 + 1));
        let greeting = Notice::Greeting { cold: self.kind & 128 != 0, uptime: ms(60_000) };
        node.out = [Out::Plain(greeting)].into();
        node.out.extend((node.cursor..node.notices.len()).map(Out::Numbered));
    }

    /// The link breaks: what is on its way is lost, and the reducer hears of it `late`.
    fn cut(&mut self, n: usize, late: Duration) {
        let node = &mut self.nodes[n];
        if node.link {
            node.link = false;
            node.wire.clear();
            node.out.clear();
            let heard = node.broken.back().map_or(Duration::ZERO, |(at, _)| *at).max(self.now + late);
            node.broken.push_back((heard, node.link_id));
        }
    }

    fn tell(&mut self, n: usize, notice: Notice) {
        let node = &mut self.nodes[n];
        node.notices.push(notice);
        let at = node.notices.len() - 1;
        if node.link {
            node.out.push_back(Out::Numbered(at));
        }
    }

    fn tell_end(&mut self, handle: Handle, end: End) {
        let run = &self.runs[&handle];
        let result = run.complete.then(|| made(handle, self.asked[&handle].key.as_ref()).into_bytes().into());
        self.tell(
            run.node,
            Notice::Outcome {
                handle,
                end,
                duration: Some(ms(20)),
                result: result.filter(|_| end == End::Complete),
            },
        );
    }

    /// Carries out the commands that have arrived by now.
    fn carry_out(&mut self, n: usize, all: bool) {
        while let Some((at, _)) = self.nodes[n].wire.front() {
            if !all && *at + IN_FLIGHT > self.now {
                return;
            }
            let Some((_, command)) = self.nodes[n].wire.pop_front() else { return };
            if !self.wild {
                self.command(n, command);
            }
        }
    }

    fn command(&mut self, n: usize, command: Command) {
        match command {
            Command::Launch { handle, .. } => self.launch(n, handle),
            Command::Freeze { handle } => {
                let answered = self.asked[&handle].answer.is_some();
                if let Some(run) = self.runs.get_mut(&handle).filter(|r| r.state == State::Going) {
                    run.state = if answered { State::Over } else { State::Paused };
                    self.tell_end(handle, End::Cancelled);
                }
            }
            Command::Thaw { handle } => {
                if let Some(run) = self.runs.get_mut(&handle).filter(|r| r.state == State::Paused) {
                    run.state = State::Going;
                }
            }
            Command::Deliver { handle, reply, .. } => {
                if let Some(State::AtCall(cursor)) = self.runs.get(&handle).map(|r| r.state) {
                    assert_eq!(*reply.body, cursor.to_be_bytes(), "{handle} gets the reply to another call");
                    self.runs.get_mut(&handle).into_iter().for_each(|run| run.state = State::Going);
                }
            }
            Command::Forgo { handle, cursor } => {
                if let Some(run) = self.runs.get_mut(&handle).filter(|r| r.state == State::AtCall(cursor)) {
                    run.state = State::Going;
                }
            }
            Command::Sample { ticket } => {
                let figures = vec![0.8, 5.0, 0.4, 20.0];
                self.nodes[n].out.push_back(Out::Plain(Notice::Sampled { ticket, figures }));
            }
            Command::Sync => {
                let requested_on = self.nodes[n].link_id;
                self.nodes[n].out.push_back(Out::Plain(Notice::Synced { requested_on }));
            }
            Command::Acknowledge(number) => {
                let requested_on = self.nodes[n].link_id;
                self.nodes[n].out.push_back(Out::Plain(Notice::Acknowledged { requested_on, number }));
            }
        }
    }

    /// The reply to the call at which a run waits; it names that call.
    fn reply_to(&self, handle: Handle) -> Bytes {
        let state = self.runs.get(&handle).map(|run| run.state);
        let cursor = if let Some(State::AtCall(cursor)) = state { cursor } else { 0 };
        cursor.to_be_bytes().into()
    }

    fn launch(&mut self, n: usize, handle: Handle) {
        let asked = &self.asked[&handle];
        match self.runs.get(&handle).map(|r| r.state) {
            Some(State::Over) => assert!(asked.key.is_none(), "{handle} runs again after its run ended"),
            Some(_) => return,
            None => {}
        }
        if let Some(verdict) = &asked.answer {
            assert!(!matches!(verdict, Verdict::Refused { .. }), "{handle} runs after it was turned away");
            // The request is over: nothing is started.
            self.runs.entry(handle).or_insert(Run { state: State::Over, node: n, complete: false }).state =
                State::Over;
            return self.tell_end(handle, End::Unknown);
        }
        if let Some(drained) = self.nodes[n].drained {
            assert!(asked.start <= drained + GRACE, "{handle} came after the grace and runs");
        }
        if let Some(key) = &asked.key {
            let same =
                self.asked.iter().filter(|(h, a)| **h != handle && a.ran && a.key.as_ref() == Some(key));
            for (other, before) in same {
                assert!(
                    asked.start > before.start + self.window,
                    "{handle} runs within the window of {other}"
                );
            }
        }
        self.asked.get_mut(&handle).expect("a request").ran = true;
        self.runs.insert(handle, Run { state: State::Going, node: n, complete: false });
    }

    /// Tells the reducer what the agent said.
    fn hear(&mut self, n: usize, most: usize) {
        for _ in 0..most {
            let node = &mut self.nodes[n];
            let notice = match node.out.pop_front() {
                None => return,
                Some(Out::Plain(notice)) => notice,
                Some(Out::Numbered(at)) => {
                    node.cursor = at + 1;
                    node.notices[at].clone()
                }
            };
            let link = self.nodes[n].link_id;
            self.step(n, vec![Input::Agent { link, notice }]);
        }
    }

    // ---- Two processes --------------------------------------------------------------------------------

    fn say(&mut self, n: usize, word: HandoverMessage) {
        if self.pipe.up {
            let lines = word.into_lines();
            self.pipe.to[1 - n].extend(lines.map(|line| Told::Line(line.trim_end_matches('\n').to_string())));
        }
    }

    /// What the process `n` hears, by the process that it comes from.
    fn named(&self, n: usize, heard: ReceivedMessage) -> ReceivedMessage {
        let peer = if n == 0 { Peer::Successor } else { Peer::Predecessor };
        match heard {
            ReceivedMessage::Succession(event) => {
                ReceivedMessage::Succession(handover::with_source(event, peer, self.pipe.complete))
            }
            request => request,
        }
    }

    /// A process is gone; of what it had said to the other one, the first `heard` lines are still read.
    fn end(&mut self, n: usize, heard: usize) {
        let node = &mut self.nodes[n];
        (node.up, node.serving, node.link) = (false, false, false);
        node.broken.clear();
        node.conns.clear();
        node.calls.clear();
        node.wire.clear();
        if (self.pipe.up || self.pipe.cut) && self.nodes.len() > 1 {
            if self.pipe.up {
                self.pipe.to[1 - n].truncate(heard);
            }
            (self.pipe.up, self.pipe.cut) = (false, false);
            let gone = [Succession::PredecessorExited, Succession::SuccessorExited][n].clone();
            self.pipe.to[1 - n].push_back(Told::Is(gone));
            self.pipe.to[n].clear();
        }
    }

    /// The link between the processes breaks with both alive; some of what was said is still read.
    fn part(&mut self, heard: usize) {
        if !self.pipe.up || !self.nodes.iter().all(|n| n.up) {
            return;
        }
        (self.pipe.up, self.pipe.cut) = (false, true);
        for (n, lost) in
            [Succession::SuccessorDisconnected, Succession::PredecessorDisconnected].into_iter().enumerate()
        {
            self.pipe.to[n].truncate(heard);
            self.pipe.to[n].push_back(Told::Is(lost));
        }
    }

    fn pump(&mut self, most: usize) {
        for _ in 0..most {
            if self.pipe.to.iter().all(VecDeque::is_empty) {
                return;
            }
            for n in 0..self.nodes.len() {
                let Some(told) = self.pipe.to[n].pop_front() else { continue };
                let heard = match told {
                    Told::Line(line) => self.named(n, handover::parse(&line).expect("a word")),
                    Told::Is(word) => ReceivedMessage::Succession(word),
                };
                match &heard {
                    ReceivedMessage::Succession(Succession::KeysComplete { .. }) => self.pipe.complete = true,
                    // It died with all its keys, as a process that is killed does: this one begins with none.
                    ReceivedMessage::Succession(Succession::PredecessorExited) if !self.pipe.complete => {
                        self.asked.values_mut().for_each(|asked| asked.ran = false);
                    }
                    _ => {}
                }
                let input = match heard {
                    ReceivedMessage::Succession(word) => Input::Succession(word),
                    ReceivedMessage::Request(mut request) => {
                        let conn = self.new_number();
                        let there = std::mem::replace(&mut request.conn, conn);
                        self.nodes[n].passed.insert(conn, there);
                        Input::Request(request)
                    }
                };
                self.step(n, vec![input]);
            }
        }
    }

    // ---- Time -----------------------------------------------------------------------------------------

    /// Lets time go by: everybody is woken when they want to be.
    fn pass(&mut self, by: Duration) {
        let until = self.now + by;
        for _ in 0..20_000 {
            let mut next = until;
            for node in self.nodes.iter().filter(|n| n.up) {
                let arrives = node.wire.front().map(|(at, _)| *at + IN_FLIGHT);
                let breaks = node.broken.front().map(|(at, _)| *at);
                let all = [node.core.next_timer(), arrives, breaks];
                next = all.into_iter().flatten().chain([next]).min().unwrap_or(until);
            }
            self.now = next.max(self.now);
            for n in 0..self.nodes.len() {
                while let Some((_, link)) = self.nodes[n].broken.pop_front_if(|(at, _)| *at <= self.now) {
                    // All that was said for it may have been written.
                    let end = LinkEnd::Broken { end: End::Broken, written: u64::MAX };
                    self.step(n, vec![Input::Agent { link, notice: Notice::Closed(end) }]);
                }
                self.carry_out(n, false);
                if self.nodes[n].core.next_timer().is_some_and(|at| at <= self.now) {
                    self.step(n, Vec::new());
                }
            }
            if self.now >= until {
                return;
            }
        }
        panic!("woken without end");
    }

    /// Lets much time go by: everybody is woken late and seldom, as on a machine that stood still.
    fn pass_roughly(&mut self, by: Duration) {
        let (until, stride) = (self.now + by, by / 64);
        while self.now < until {
            self.now += stride;
            for n in 0..self.nodes.len() {
                self.carry_out(n, true);
                self.step(n, Vec::new());
            }
        }
    }

    // ---- What happens ---------------------------------------------------------------------------------

    fn ask(&mut self, n: usize, u: &mut Unstructured) -> arbitrary::Result<()> {
        let class = CLASSES[usize::from(u.arbitrary::<u8>()? % 4)];
        let detail: u8 = u.arbitrary()?;
        let keyed = class == "lobby-confirm";
        let key: Option<Key> = keyed.then(|| Arc::from(format!("k{}", detail % 4)));
        let patience = [1500, 300, 4500, 40][usize::from(detail >> 2) % 4];
        let age = ms([0, 20, 200, 1000][usize::from(detail >> 4) % 4]);
        let odd = detail >> 6 == 3;
        let number = self.new_number();
        let handle: Handle = format!("{number:016x}").parse().expect("16 digits");
        let conn = number;
        let start = self.now - age.min(ms(patience));
        let body: Bytes = if odd { [1].into() } else { [0].into() };
        let asked = Asked {
            key: key.clone(),
            start,
            due: start + ms(patience),
            answer: None,
            unproved_call: false,
            ran: false,
        };
        self.asked.insert(handle, asked);
        self.nodes[n].conns.insert(conn, handle);
        let request = Request {
            conn,
            handle,
            class: class.to_string(),
            start,
            timeout: Some(ms(patience)),
            caller: u32::from(detail % 3),
            tenant: None,
            cost: None,
            size_kb: 40.0,
            rank: if keyed { 0.8 } else { 0.2 },
            key,
            object: None,
            body,
        };
        self.step(n, vec![Input::Request(Box::new(request))]);
        Ok(())
    }

    fn pick(&self, pick: u8, state: impl Fn(&Run) -> bool) -> Option<Handle> {
        let all: Vec<Handle> = self.runs.iter().filter(|(_, r)| state(r)).map(|(h, _)| *h).collect();
        all.get(usize::from(pick) % all.len().max(1)).copied()
    }

    fn happen(&mut self, u: &mut Unstructured, two: bool) -> arbitrary::Result<()> {
        let what: u8 = u.arbitrary()?;
        let pick: u8 = u.arbitrary()?;
        let n = usize::from(pick & 1) % self.nodes.len();
        match what % 24 {
            0..=4 => {
                // Connections that are open bring requests also when no new ones are taken.
                if self.nodes[n].served && self.nodes[n].up {
                    self.ask(n, u)?;
                }
            }
            5 | 6 => self.pass(ms(u64::from(pick))),
            7 => self.pass(ms(u64::from(pick) * 64)),
            8 | 9 => self.hear(n, usize::from(pick)),
            10 => self.carry_out(n, true),
            11 | 12 => {
                if let Some(handle) = self.pick(pick, |r| r.state == State::Going) {
                    let run = self.runs.get_mut(&handle).expect("a run");
                    (run.state, run.complete) = (State::Over, pick < 224);
                    let end = if run.complete { End::Complete } else { End::Failed };
                    self.tell_end(handle, end);
                }
            }
            13 => {
                if let Some(handle) = self.pick(pick, |r| r.state == State::Going) {
                    let over = self.asked[&handle].answer.is_some();
                    let node = self.runs[&handle].node;
                    let cursor = self.nodes[node].notices.len() as u64 + 1;
                    let run = self.runs.get_mut(&handle).expect("a run");
                    run.state = if over { State::Over } else { State::AtCall(cursor) };
                    match over {
                        true => self.tell_end(handle, End::Cancelled),
                        false => self.tell(node, Notice::CallNeeded { handle, cursor, body: [7].into() }),
                    }
                }
            }
            14 | 15 => {
                let calls = &self.nodes[n].calls;
                if let Some((handle, attempt)) =
                    calls.get(usize::from(pick >> 1) % calls.len().max(1)).copied()
                {
                    self.nodes[n].calls.retain(|(h, _)| *h != handle);
                    let ends = [
                        End::Complete,
                        End::Complete,
                        End::NotNow,
                        End::Failed,
                        End::Overdue,
                        End::Pointless,
                        End::Refused,
                        End::Broken,
                    ];
                    let end = ends[usize::from(u.arbitrary::<u8>()?) % ends.len()];
                    // As the protocol words it, not as the program does.
                    let proven = matches!(end, End::Complete | End::NotNow | End::Pointless | End::Refused);
                    self.asked.get_mut(&handle).into_iter().for_each(|a| a.unproved_call = !proven);
                    let ask = AskId { handle, cursor: 0, attempt };
                    let reply =
                        (end == End::Complete).then(|| CallReply::read(ask, 1, self.reply_to(handle)));
                    self.step(n, vec![Input::CallEnded { handle, attempt, end, reply, fence: None }]);
                }
            }
            16 => self.cut(n, ms(u64::from(pick) % 100)),
            17 => self.relink(n),
            18 => {
                let classes = u.arbitrary::<u8>()?;
                self.step(
                    n,
                    vec![Input::Reload { site: Box::new(site(self.kind, classes)), stop_after: STOP }],
                );
            }
            19 => {
                if self.nodes[n].up && pick & 6 == 6 && self.nodes[n].drained.is_none() {
                    let yields = two && n == 0 && self.nodes.len() > 1;
                    if !yields || self.nodes[1].serving {
                        self.nodes[n].drained = Some(self.now).filter(|_| !yields);
                        self.step(n, vec![Input::Drain { signalled_at: self.now, sent_at: self.now }]);
                    }
                }
            }
            20 => {
                let conn = self.new_number();
                if self.nodes[n].up {
                    self.nodes[n].checks.push(conn);
                    self.step(n, vec![Input::HealthCheck { conn, deep: pick > 128 }]);
                }
            }
            21 if two => {
                if self.nodes.len() == 1 && self.nodes[0].up && self.nodes[0].drained.is_none() {
                    self.pipe.up = true;
                    self.add_node(false);
                    self.relink(1);
                } else {
                    self.pump(usize::from(pick));
                }
            }
            22 if two => self.pump(usize::from(pick)),
            23 if two => {
                if pick & 30 == 28 && self.nodes.len() > 1 {
                    self.part(usize::from(u.arbitrary::<u8>()?));
                } else if pick & 30 == 30 && self.nodes.len() > 1 && self.nodes[n].up {
                    self.end(n, usize::from(u.arbitrary::<u8>()?));
                }
            }
            _ => {
                let input = match pick % 3 {
                    0 => Input::Standby { standby: pick & 4 == 4, ticket: 1 },
                    1 => Input::AnswerWriteFailed(End::Stalled),
                    _ => Input::Query { ticket: 1, query: Query::Status },
                };
                self.step(n, vec![input]);
            }
        }
        Ok(())
    }

    /// Somebody says anything at all.
    fn rave(&mut self, u: &mut Unstructured) -> arbitrary::Result<()> {
        let handles: Vec<Handle> = self.asked.keys().copied().collect();
        let pick: u8 = u.arbitrary()?;
        let known = handles.get(usize::from(pick) % handles.len().max(1)).copied();
        let handle = known.unwrap_or_else(|| "00000000000000ff".parse().expect("16 digits"));
        let what: u8 = u.arbitrary()?;
        let any: u64 = u.arbitrary()?;
        let end = End::ALL[usize::from(what >> 4) % End::ALL.len()];
        let body: Option<Bytes> = (!any.is_multiple_of(3)).then(|| [any as u8].into());
        let duration = ms(any % 86_400_000);
        let notice = match what % 10 {
            0 => Notice::Greeting { cold: any.is_multiple_of(2), uptime: duration },
            1 => Notice::Closed(LinkEnd::Broken { end, written: any % 64 }),
            2 => Notice::Synced { requested_on: LinkId(any % 8) },
            3 => Notice::Sampled {
                ticket: any % 64,
                figures: vec![f64::from(pick) / 16.0; (what >> 4) as usize],
            },
            4 | 5 => Notice::Outcome { handle, end, duration: Some(duration), result: body },
            6 => Notice::CallNeeded { handle, cursor: any, body: [1].into() },
            7 => Notice::Refusal {
                command: ["launch", "deliver", ""][usize::from(pick) % 3].to_string(),
                handle,
            },
            8 => {
                let attempt = u32::from(pick) % 4;
                self.nodes[0].calls.retain(|(h, _)| *h != handle);
                let reply = body.map(|body| CallReply::read(AskId { handle, cursor: any, attempt }, 1, body));
                self.step(0, vec![Input::CallEnded { handle, attempt, end, reply, fence: None }]);
                return Ok(());
            }
            _ => {
                let key: Key = Arc::from(format!("k{}", pick % 4));
                let word = match any % 6 {
                    0 => Succession::KeyResolved { key, ran: pick > 128, result: body },
                    1 => Succession::Key(KeyState {
                        key,
                        digest: any,
                        until: self.now + duration,
                        open: pick > 128,
                        result: body,
                    }),
                    2 => Succession::KeysComplete { standby: false },
                    3 => Succession::PredecessorExited,
                    4 => Succession::SuccessorExited,
                    // An answer to a connection that nothing was passed on from.
                    _ => Succession::ForwardedAnswer {
                        conn: u64::from(pick),
                        answer: Answer { verdict: Verdict::Failed, signal: None, close: true },
                    },
                };
                self.step(0, vec![Input::Succession(word)]);
                return Ok(());
            }
        };
        let link = LinkId(u64::from(pick >> 4));
        self.step(0, vec![Input::Agent { link, notice }]);
        Ok(())
    }

    /// Everybody mends what is broken and ends what is begun; then nothing may be left.
    fn finish(&mut self) {
        for round in 0..6 {
            self.pump(1000);
            for n in 0..self.nodes.len() {
                self.pass(ms(110));
                self.relink(n);
                self.hear(n, 1000);
                self.pass(ms(60));
                self.hear(n, 1000);
            }
            self.pump(1000);
            if round >= 2 {
                let going: Vec<Handle> =
                    self.runs.iter().filter(|(_, r)| r.state != State::Over).map(|(h, _)| *h).collect();
                for handle in going {
                    let run = self.runs.get_mut(&handle).expect("a run");
                    (run.state, run.complete) = (State::Over, true);
                    self.tell_end(handle, End::Complete);
                }
            }
        }
        for _ in 0..25 {
            if self.nodes.iter().any(|n| n.up && !n.conns.is_empty()) {
                self.pass(ms(200));
            }
        }
        for node in self.nodes.iter().filter(|n| n.up) {
            assert!(node.conns.is_empty(), "never answered: {:?}", node.conns);
            assert!(node.checks.is_empty());
        }
        // Runs that were lost, and the windows of all keys.
        self.pass_roughly(ms(80_000));
        for n in 0..self.nodes.len() {
            self.pump(1000);
            if !self.nodes[n].up {
                continue;
            }
            let effects =
                self.nodes[n].core.step(self.now, [Input::Query { ticket: 9, query: Query::Status }]);
            let told = effects.iter().find_map(|e| match e {
                Effect::QueryResult { lines, .. } => Some(lines),
                _ => None,
            });
            for (name, value) in told.expect("the status") {
                let empty =
                    ["unanswered", "held", "running", "at_call", "joined", "keys", "passed_on", "awaited"];
                assert!(!empty.contains(&name.as_str()) || value == "0", "{name} is {value} at the end");
                assert!(
                    name != "timers" || value.parse::<u32>().is_ok_and(|n| n < 40),
                    "{value} timers at the end"
                );
            }
        }
    }
}

fn made(handle: Handle, key: Option<&Key>) -> String {
    key.map_or_else(|| format!("made:{handle}"), |key| format!("made:{key}"))
}

fn play(bytes: &[u8], wild: bool, two: bool) {
    let mut u = Unstructured::new(bytes);
    let Ok(kind) = u.arbitrary::<u8>() else { return };
    let mut world = World::new(kind, wild);
    for _ in 0..MOST_STEPS {
        if u.is_empty() {
            break;
        }
        let went = match wild && u.arbitrary::<bool>().unwrap_or(false) {
            true => world.rave(&mut u),
            false => world.happen(&mut u, two),
        };
        if went.is_err() {
            break;
        }
    }
    if wild {
        // What the agent says no more it never says: all that is open ends by itself.
        world.pass(ms(6_000));
        for node in world.nodes.iter().filter(|n| n.up) {
            assert!(node.conns.is_empty(), "never answered: {:?}", node.conns);
        }
        return world.pass_roughly(ms(70_000));
    }
    world.finish();
}

/// One reducer in a world that keeps to the protocol, and breaks.
pub fn core(bytes: &[u8]) {
    play(bytes, false, false);
}

/// One reducer in a world that keeps to nothing.
pub fn wild(bytes: &[u8]) {
    play(bytes, true, false);
}

/// Two reducers, one of which takes over from the other.
pub fn succession(bytes: &[u8]) {
    play(bytes, false, true);
}
