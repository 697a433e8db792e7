//! The reducer with a clock of the test's own, and all that it asked for.

use std::sync::Arc;
use std::time::Duration;

use hopwalk::core::*;
use hopwalk::settings::Site;

pub const SITE: &str = include_str!("../../src/lab/site.json");

/// From the notice to the kill.
pub const STOP_AFTER: Duration = Duration::from_millis(3200);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(1_000_000 + n)
}

pub struct Bench {
    pub core: Core,
    pub conns: u64,
    /// The link to the agent that was opened last.
    pub link: LinkId,
    /// All that the reducer asked for.
    pub done: Vec<Effect>,
}

impl Bench {
    pub fn new() -> Self {
        Self::with(SITE, STOP_AFTER.as_millis() as u64)
    }

    /// A reducer for a site, with its time from the notice to the kill in milliseconds.
    pub fn with(site: &str, stop_after: u64) -> Self {
        let (site, stop_after) = (Site::parse(site).unwrap(), Duration::from_millis(stop_after));
        let core = Core::new(site, 1, stop_after, ms(0)).unwrap();
        let mut bench = Self { core, conns: 0, link: LinkId::NONE, done: Vec::new() };
        bench.greet(0);
        bench
    }

    pub fn step(&mut self, at: u64, inputs: impl IntoIterator<Item = Input>) -> Vec<Effect> {
        let effects = self.core.step(ms(at), inputs);
        self.done.extend(effects.clone());
        effects
    }

    /// The agent tells something over the link that was opened last.
    pub fn notice(&mut self, at: u64, notice: Notice) -> Vec<Effect> {
        let link = self.link;
        self.step(at, [Input::Agent { link, notice }])
    }

    /// The next link is opened, and the agent greets on it.
    pub fn greet(&mut self, at: u64) -> Vec<Effect> {
        self.link = LinkId(self.link.0 + 1);
        self.notice(at, greeting())
    }

    /// The process is told to leave.
    pub fn drain(&mut self, at: u64) -> Vec<Effect> {
        self.step(at, [Input::Drain { signalled_at: ms(at) }])
    }

    /// The configuration was read again, with another site.
    pub fn reload(&mut self, at: u64, site: Box<Site>) -> Vec<Effect> {
        self.step(at, [Input::Reload { site, stop_after: STOP_AFTER }])
    }

    /// The link breaks, with all that was said on it in doubt.
    pub fn lose_link(&mut self, at: u64) -> Vec<Effect> {
        let written = self.commands_said();
        self.notice(at, lost(written))
    }

    /// Commands that were said on the link that was opened last.
    pub fn commands_said(&self) -> u64 {
        let on_link = |e: &&Effect| matches!(e, Effect::Agent { link, .. } if *link == self.link);
        self.done.iter().filter(on_link).count() as u64
    }

    /// The last question whether all was heard: its link and its number there.
    pub fn last_acknowledge(&self) -> Option<(LinkId, u64)> {
        self.done.iter().rev().find_map(|effect| match effect {
            Effect::Agent { link, command: Command::Acknowledge(number), .. } => Some((*link, *number)),
            _ => None,
        })
    }

    /// The agent has heard all that was said before the last question.
    pub fn acknowledged(&mut self, at: u64) -> Vec<Effect> {
        let (requested_on, number) = self.last_acknowledge().unwrap();
        self.notice(at, Notice::Acknowledged { requested_on, number })
    }

    /// The agent has told all that it had to tell when it read the last question for that.
    pub fn synced(&mut self, at: u64) -> Vec<Effect> {
        let requested_on = |effect: &Effect| match effect {
            Effect::Agent { link, command: Command::Sync, .. } => Some(*link),
            _ => None,
        };
        let requested_on = self.done.iter().rev().find_map(requested_on).unwrap();
        self.notice(at, Notice::Synced { requested_on })
    }

    /// Lets time go by, as the program does: woken for each timer.
    pub fn pass(&mut self, until: u64) {
        while let Some(at) = self.core.next_timer().filter(|at| *at <= ms(until)) {
            let effects = self.core.step(at, []);
            self.done.extend(effects);
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
        let lasted = Some(Duration::from_millis(20));
        let result = Some(Arc::from(result));
        self.notice(at, Notice::Outcome { handle, end: End::Complete, lasted, result });
    }

    pub fn answers(&self, conn: u64) -> Vec<&Verdict> {
        let of = |e: &'_ Effect| matches!(e, Effect::Answer { conn: c, .. } if *c == conn);
        let answers = self.done.iter().filter(|e| of(e));
        answers
            .filter_map(|e| if let Effect::Answer { answer, .. } = e { Some(&answer.verdict) } else { None })
            .collect()
    }

    pub fn launches(&self) -> usize {
        self.done
            .iter()
            .filter(|e| matches!(e, Effect::Agent { command: Command::Launch { .. }, .. }))
            .count()
    }
}

/// The agent is up.
pub fn greeting() -> Notice {
    Notice::Greeting { cold: false, uptime: Duration::from_secs(60) }
}

/// A link broke, and of the commands for it those up to this number were written.
pub fn lost(written: u64) -> Notice {
    Notice::Closed(LinkEnd::Broken { end: End::Broken, written })
}

/// The effects tell the agent this.
pub fn says(effects: &[Effect], wanted: &Command) -> bool {
    effects.iter().any(|e| matches!(e, Effect::Agent { command, .. } if command == wanted))
}

pub fn handle(n: u64) -> Handle {
    format!("{n:016x}").parse().unwrap()
}

pub fn served(result: &[u8]) -> Verdict {
    Verdict::Served(Arc::from(result))
}

/// How often effects launch a request.
pub fn launches_of(effects: &[Effect], handle: Handle) -> usize {
    let of = |e: &&Effect| matches!(e, Effect::Agent { command: Command::Launch { handle: h, .. }, .. } if *h == handle);
    effects.iter().filter(of).count()
}
