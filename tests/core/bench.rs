//! A reducer with a simulated clock, which records all of its effects.

use std::sync::Arc;
use std::time::Duration;

use hopwalk::core::*;
use hopwalk::settings::Site;

pub const SITE: &str = include_str!("../../src/lab/site.json");

/// Time between the stop signal and the kill.
pub const STOP_AFTER: Duration = Duration::from_millis(3200);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(1_000_000 + n)
}

pub struct Bench {
    pub core: Core,
    pub conns: u64,
    /// The current link to the agent.
    pub link: LinkId,
    /// All effects so far.
    pub effects: Vec<Effect>,
}

impl Bench {
    pub fn new() -> Self {
        Self::with(SITE, STOP_AFTER.as_millis() as u64)
    }

    /// A reducer for a site, with the time between stop signal and kill in milliseconds.
    pub fn with(site: &str, stop_after: u64) -> Self {
        let (site, stop_after) = (Site::parse(site).unwrap(), Duration::from_millis(stop_after));
        let core = Core::new(site, 1, stop_after, ms(0)).unwrap();
        let mut bench = Self { core, conns: 0, link: LinkId::NONE, effects: Vec::new() };
        bench.open_link(0);
        bench
    }

    pub fn step(&mut self, at: u64, inputs: impl IntoIterator<Item = Input>) -> Vec<Effect> {
        let effects = self.core.step(ms(at), inputs);
        self.effects.extend(effects.clone());
        effects
    }

    /// The agent sends a notice on the current link.
    pub fn notice(&mut self, at: u64, notice: Notice) -> Vec<Effect> {
        let link = self.link;
        self.step(at, [Input::Agent { link, notice }])
    }

    /// Opens the next link, on which the agent greets.
    pub fn open_link(&mut self, at: u64) -> Vec<Effect> {
        self.link = LinkId(self.link.0 + 1);
        self.notice(at, greeting())
    }

    /// Sends the stop signal.
    pub fn drain(&mut self, at: u64) -> Vec<Effect> {
        self.step(at, [Input::Drain { signalled_at: ms(at), sent_at: ms(at) }])
    }

    /// Reloads the configuration with another site.
    pub fn reload(&mut self, at: u64, site: Box<Site>) -> Vec<Effect> {
        self.step(at, [Input::Reload { site, stop_after: STOP_AFTER }])
    }

    /// Breaks the link, with all commands on it in doubt.
    pub fn break_link(&mut self, at: u64) -> Vec<Effect> {
        let written = self.commands_sent();
        self.notice(at, broken_link(written))
    }

    /// Number of commands that were sent on the current link.
    pub fn commands_sent(&self) -> u64 {
        let on_link = |e: &&Effect| matches!(e, Effect::Agent { link, .. } if *link == self.link);
        self.effects.iter().filter(on_link).count() as u64
    }

    /// The link and the number of the last acknowledgement request.
    pub fn last_acknowledge_request(&self) -> Option<(LinkId, u64)> {
        self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Agent { link, command: Command::Acknowledge(number), .. } => Some((*link, *number)),
            _ => None,
        })
    }

    /// The agent answers the last acknowledgement request.
    pub fn acknowledge(&mut self, at: u64) -> Vec<Effect> {
        let (requested_on, number) = self.last_acknowledge_request().unwrap();
        self.notice(at, Notice::Acknowledged { requested_on, number })
    }

    /// The agent answers the last [`Command::Sync`]: it has sent all notices from before the current link.
    pub fn sync(&mut self, at: u64) -> Vec<Effect> {
        let sync_link = |effect: &Effect| match effect {
            Effect::Agent { link, command: Command::Sync, .. } => Some(*link),
            _ => None,
        };
        let requested_on = self.effects.iter().rev().find_map(sync_link).unwrap();
        self.notice(at, Notice::Synced { requested_on })
    }

    /// Advances the clock, and steps the reducer at each timer as the program does.
    pub fn advance_to(&mut self, until: u64) {
        while let Some(at) = self.core.next_timer().filter(|at| *at <= ms(until)) {
            let effects = self.core.step(at, []);
            self.effects.extend(effects);
        }
    }

    pub fn request(&mut self, at: u64, class: &str, key: Option<&str>) -> Input {
        self.conns += 1;
        Input::Request(Box::new(Request {
            conn: self.conns,
            handle: handle(self.conns),
            class: class.to_string(),
            start: ms(at),
            timeout: Some(Duration::from_millis(1500)),
            caller: 1,
            tenant: None,
            cost: None,
            size_kb: 40.0,
            rank: if key.is_some() { 0.8 } else { 0.1 },
            key: key.map(Arc::from),
            object: None,
            body: Arc::from(*b"body"),
        }))
    }

    pub fn send(&mut self, at: u64, class: &str, key: Option<&str>) -> Handle {
        let request = self.request(at, class, key);
        self.step(at, [request]);
        handle(self.conns)
    }

    pub fn complete(&mut self, at: u64, handle: Handle, result: &[u8]) {
        let duration = Some(Duration::from_millis(20));
        let result = Some(Arc::from(result));
        self.notice(at, Notice::Outcome { handle, end: End::Complete, duration, result });
    }

    pub fn answers(&self, conn: u64) -> Vec<&Verdict> {
        let is_to_conn = |e: &'_ Effect| matches!(e, Effect::Answer { conn: c, .. } if *c == conn);
        let answers = self.effects.iter().filter(|e| is_to_conn(e));
        answers
            .filter_map(|e| if let Effect::Answer { answer, .. } = e { Some(&answer.verdict) } else { None })
            .collect()
    }

    pub fn launches(&self) -> usize {
        self.effects
            .iter()
            .filter(|e| matches!(e, Effect::Agent { command: Command::Launch { .. }, .. }))
            .count()
    }
}

/// The agent's greeting.
pub fn greeting() -> Notice {
    Notice::Greeting { cold: false, uptime: Duration::from_secs(60) }
}

/// The notice that a link broke on which the commands up to this number were written.
pub fn broken_link(written: u64) -> Notice {
    Notice::Closed(LinkEnd::Broken { end: End::Broken, written })
}

/// Whether the effects send this command to the agent.
pub fn sends(effects: &[Effect], expected: &Command) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Agent { command, .. } if command == expected))
}

pub fn handle(n: u64) -> Handle {
    format!("{n:016x}").parse().unwrap()
}

pub fn served(result: &[u8]) -> Verdict {
    Verdict::Served(Arc::from(result))
}

/// The reply to an attempt at the call that the notice `cursor` requested, as it is read from the dependency.
pub fn reply_to(handle: Handle, cursor: u64, attempt: u32, body: &[u8]) -> CallReply {
    CallReply::read(AskId { handle, cursor, attempt }, 1, Arc::from(body))
}

/// How often the effects launch this request.
pub fn launches_of(effects: &[Effect], handle: Handle) -> usize {
    let is_launch = |e: &&Effect| matches!(e, Effect::Agent { command: Command::Launch { handle: h, .. }, .. } if *h == handle);
    effects.iter().filter(is_launch).count()
}
