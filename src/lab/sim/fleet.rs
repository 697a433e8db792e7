//! A play: the whole fleet on one thread and one clock, tick by tick, with what a plan does to it.

use std::collections::VecDeque;
use std::sync::mpsc::{Receiver, TryRecvError};

use serde_json::Value;

use super::judge::{Break, Judge, Told};
use super::machine::{name, table, Machine, Setup, TICK_US};
use super::net::{mix, service, Host, Network};
use super::plan::{Do, Event, Plan, Plant, What};
use crate::fleet::membership::view::State;
use crate::fleet::routes::record::{Entry as Routes, Stage, Stamp};
use crate::fleet::routing::{Order, OrderError};
use crate::fleet::state_machine::Entry;
use crate::fleet::wire::codec::{decode, encode, MAX_FRAME};
use crate::fleet::wire::message::ServerFrame;
use crate::fleet::wire::Response;

/// After the heal the views agree, and all act on one version, within this long.
pub const HEAL_MS: u64 = 30_000;
/// It must last for so long.
const CALM_MS: u64 = 500;
/// Lines that are kept of what happened.
const LINES: usize = 60;
/// After a clock was set, leases that were granted on it are past: the longest one and an ask.
const TAINT_MS: u64 = 3_000;

/// How a play ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    pub broken: Option<Break>,
    /// The last things that happened.
    pub last: Vec<String>,
    /// Of all deliveries and all that was seen; the same for the same plan.
    pub digest: u64,
    pub delivered: u64,
    /// Simulated, in milliseconds.
    pub ms: u64,
    pub switches: u64,
    /// Orders that were carried out.
    pub told: usize,
    pub crashes: u64,
    /// Operations of disks that were not synced when the power failed.
    pub unsynced: usize,
    /// From the heal until all was well, in milliseconds.
    pub healed_ms: u64,
    /// Experiments that ended by a verdict.
    pub verdicts: u64,
}

type Answer = Receiver<Result<String, OrderError>>;

struct Fleet {
    plan: Plan,
    setup: Setup,
    network: Network,
    machines: Vec<Machine>,
    judge: Judge,
    now: u64,
    /// Faults that last, and until when.
    active: Vec<(u64, What)>,
    orders: Vec<(Host, Do, String, Answer)>,
    lines: VecDeque<String>,
    /// Tables that were written, each another one.
    tables: u64,
    outcome: Outcome,
}

/// Plays a plan to its end, or to the first rule that is broken.
pub fn play(plan: &Plan) -> Outcome {
    let mut fleet = Fleet::new(plan.clone());
    let mut events: VecDeque<Event> = plan.events.iter().cloned().collect();
    let broken = loop {
        while events.front().is_some_and(|event| event.at_ms * 1_000 <= fleet.now) {
            let Some(event) = events.pop_front() else { break };
            fleet.happens(event.what);
        }
        if let Some(broken) = fleet.tick() {
            break Some(broken);
        }
        if fleet.now >= plan.ms * 1_000 {
            break fleet.heal();
        }
    };
    fleet.end(broken)
}

/// Makes each lease as long as can be, in a frame that carries one.
fn lengthen(bytes: &mut Vec<u8>) {
    let Some(body) = bytes.get(4..) else { return };
    if let Ok(ServerFrame::Answer(id, Response::Reply { mut reply, running })) = decode::<ServerFrame>(body) {
        reply.lease = crate::fleet::routes::Timing::default().lease;
        if let Ok(frame) = encode(&ServerFrame::Answer(id, Response::Reply { reply, running }), MAX_FRAME) {
            *bytes = frame;
        }
    }
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let mut judge = Judge::of(plan.only);
        let forgetful = plan.plant == Some(Plant::Forgetful);
        let setup = Setup { members: plan.members, voters: plan.voters, seed: plan.seed, forgetful };
        let network = Network::new(plan.members, mix(plan.seed, 7));
        let mut machines: Vec<_> = (0..plan.members).map(|host| Machine::new(&setup, host)).collect();
        for event in &plan.events {
            if let What::Step { host, by_ms } = event.what {
                let at = event.at_ms * 1_000;
                machines[host].steps.push((at, by_ms));
                // A tick ends with the clocks at the beginning of the next one.
                let until = at + (TAINT_MS + by_ms.unsigned_abs()) * 1_000;
                judge.tainted.push((at.saturating_sub(TICK_US), until));
            }
        }
        if plan.plant == Some(Plant::LongLease) {
            network.tamper(lengthen);
        }
        Self {
            plan,
            setup,
            network,
            machines,
            judge,
            now: 0,
            active: Vec::new(),
            orders: Vec::new(),
            lines: VecDeque::new(),
            tables: 0,
            outcome: Outcome::default(),
        }
    }

    /// Writes down what happened; it counts for the digest.
    fn says(&mut self, line: String) {
        let number = line.bytes().fold(self.now, |digest, byte| mix(digest, u64::from(byte)));
        self.network.saw(number);
        if self.lines.len() >= LINES {
            self.lines.pop_front();
        }
        self.lines.push_back(format!("{:>6}.{:03} ms  {line}", self.now / 1000, self.now % 1000));
    }

    fn happens(&mut self, what: What) {
        self.says(format!("{what:?}"));
        match what {
            What::Power { host, writes, .. } if host < self.plan.voters && writes > 0 => {
                self.machines[host].disk.arm(writes);
                self.active.push((u64::MAX, what));
            }
            What::Power { host, down_ms, .. } => self.crash(host, down_ms, true),
            What::Kill { host, down_ms } => self.crash(host, down_ms, false),
            What::Pause { host, ms } => self.machines[host].pause(self.now, ms * 1_000),
            What::Part { ms, .. }
            | What::Cut { ms, .. }
            | What::Storm { ms, .. }
            | What::Refuse { ms, .. } => {
                self.active.push((self.now + ms * 1_000, what));
                self.weather();
            }
            What::Step { .. } => {}
            What::Order { host, order } => self.order(host, order),
        }
    }

    /// Brings the weather in line with the faults that last.
    fn weather(&mut self) {
        let members = self.plan.members;
        self.network.weather(|weather| {
            (weather.loss, weather.late) = (0.0, 0.01);
            weather.cut.clear();
            weather.refuse.clear();
            for (_, what) in &self.active {
                match what {
                    What::Part { side, .. } => {
                        for host in 0..members {
                            for other in side.iter().filter(|_| !side.contains(&host)) {
                                weather.cut.extend([(host, *other), (*other, host)]);
                            }
                        }
                    }
                    What::Cut { from, to, .. } => {
                        weather.cut.insert((*from, *to));
                    }
                    What::Storm { loss, late, .. } => {
                        weather.loss = weather.loss.max(*loss);
                        weather.late = weather.late.max(*late);
                    }
                    What::Refuse { service: n, .. } => {
                        weather.refuse.insert(service(*n));
                    }
                    _ => {}
                }
            }
        });
    }

    fn crash(&mut self, host: Host, down_ms: u64, power: bool) {
        if self.machines[host].life.is_none() {
            return;
        }
        let unsynced = self.machines[host].crash(&self.network, power);
        self.machines[host].boot_at = self.now + down_ms * 1_000;
        self.orders.retain(|(at, ..)| *at != host);
        self.outcome.crashes += 1;
        self.outcome.unsynced += unsynced;
        self.says(format!("{} is down, {unsynced} operations were not synced", name(host)));
    }

    fn order(&mut self, host: Host, order: Do) {
        let Some(life) = &self.machines[host].life else { return };
        let (mut named, n) = (String::new(), self.now / 1_000);
        let asked = match order {
            Do::Propose => {
                self.tables += 1;
                Order::Propose { table: table(self.tables) }
            }
            Do::Activate(version) => Order::Activate { version },
            Do::Rollback => Order::Rollback,
            Do::Abort => Order::Abort,
            Do::Start | Do::Watch => {
                named = format!("e{n}");
                Order::Start { document: experiment(&named, order == Do::Start) }
            }
            Do::Stop => Order::Stop,
        };
        let answer = life.within(|inside| inside.routing().order(asked, "op"));
        self.orders.push((host, order, named, answer));
    }

    /// Takes up what orders came to.
    fn answers(&mut self) {
        for (host, order, named, answer) in std::mem::take(&mut self.orders) {
            let told = match answer.try_recv() {
                Ok(told) => told,
                Err(TryRecvError::Empty) => {
                    self.orders.push((host, order, named, answer));
                    continue;
                }
                Err(TryRecvError::Disconnected) => continue,
            };
            let told = match told {
                Ok(text) => serde_json::from_str::<Value>(&text).unwrap_or_default(),
                Err(error) => {
                    self.says(format!("{order:?} at {}: {error}", name(host)));
                    continue;
                }
            };
            self.says(format!("{order:?} at {}: {told}", name(host)));
            let number = |key: &str| told[key].as_u64();
            let known = match order {
                Do::Propose => number("version").map(Told::Version),
                Do::Activate(_) | Do::Rollback | Do::Abort => number("turn").map(Told::Turn),
                Do::Start | Do::Watch => Some(Told::Started(named)),
                Do::Stop => told["stopped"].as_str().map(|name| Told::Stopped(name.into())),
            };
            self.judge.told.extend(known);
        }
    }

    /// One millisecond of all members; the first rule that is broken.
    fn tick(&mut self) -> Option<Break> {
        if self.active.iter().any(|(until, _)| *until <= self.now) {
            let now = self.now;
            self.active.retain(|(until, _)| *until > now);
            self.weather();
        }
        self.network.play(self.now);
        let mut all = Vec::new();
        for host in 0..self.machines.len() {
            let lived = self.machines[host].life.is_some();
            let led = self.led(host);
            let seen = self.machines[host].tick(&self.setup, &self.network, self.now);
            if !lived && self.machines[host].life.is_some() {
                self.says(format!("{} starts", name(host)));
            }
            if self.machines[host].disk.dead() {
                self.power_fails(host);
                continue;
            }
            let leads = self.led(host);
            if leads != led {
                self.says(format!("{} leads: {leads:?}", name(host)));
            }
            if let Some(seen) = seen {
                if seen.changed {
                    self.says(format!("{} acts on {:?}", name(host), seen.acts.map(|f| (f.turn, f.version))));
                }
                for (other, state) in &seen.views {
                    if !matches!(state, State::Alive) || self.plan.members <= 9 {
                        self.says(format!("{} sees {other} {state}", name(host)));
                    }
                }
                all.push((host, seen));
            }
        }
        self.now += TICK_US;
        self.answers();
        match self.plan.plant {
            Some(Plant::RashCommit) => self.rash(),
            Some(Plant::LyingDisks { from_ms }) if from_ms * 1_000 == self.now => {
                self.machines.iter().for_each(|m| m.disk.lie());
            }
            _ => {}
        }
        self.judge.look(self.now, &self.machines, &all)
    }

    fn led(&self, host: Host) -> Option<u64> {
        self.machines[host].life.as_ref()?.inside.leading_term()
    }

    fn power_fails(&mut self, host: Host) {
        let is = |what: &What| matches!(what, What::Power { host: at, .. } if *at == host);
        let down = self.active.iter().find_map(|(_, what)| match what {
            What::Power { down_ms, .. } if is(what) => Some(*down_ms),
            _ => None,
        });
        self.active.retain(|(_, what)| !is(what));
        self.crash(host, down.unwrap_or(100), true);
    }

    /// Commits what is being prepared at once, at a moment that is near.
    fn rash(&mut self) {
        let Some(life) =
            self.machines.iter().filter_map(|m| m.life.as_ref()).find(|l| l.inside.leading_term().is_some())
        else {
            return;
        };
        let (Some(term), Some((_, _, state))) = (life.inside.leading_term(), life.inside.record_state())
        else {
            return;
        };
        let preparing = state.routes.open_activation().filter(|run| run.stage == Stage::Preparing);
        if let Some(turn) = preparing.map(|run| run.activation.fence.turn) {
            let at = Stamp { term, at: life.now() + std::time::Duration::from_millis(100) };
            life.within(|inside| inside.submit_unchecked(Entry::Routes(Routes::Commit { turn, at })));
        }
    }

    /// Ends all faults, and waits until all is well.
    fn heal(&mut self) -> Option<Break> {
        self.says("all faults end".into());
        for machine in &mut self.machines {
            machine.disk.disarm();
            machine.boot_at = machine.boot_at.min(self.now);
            machine.paused_until = machine.paused_until.min(self.now);
        }
        if self.plan.plant != Some(Plant::NoHeal) {
            self.active.clear();
        } else {
            self.active = vec![(u64::MAX, What::Part { side: vec![0], ms: 0 })];
        }
        self.weather();
        let (began, mut calm) = (self.now, None);
        loop {
            if let Some(broken) = self.tick() {
                return Some(broken);
            }
            // Whether all agree is dear to find out for many.
            if self.plan.members > 9 && !(self.now / TICK_US).is_multiple_of(50) {
                continue;
            }
            match self.judge.healed(&self.machines) {
                Ok(()) => {
                    let since = *calm.get_or_insert(self.now);
                    if self.now >= since + CALM_MS * 1_000 {
                        self.outcome.healed_ms = (since - began) / 1_000;
                        return None;
                    }
                }
                Err((rule, what)) => {
                    calm = None;
                    if self.now >= began + HEAL_MS * 1_000 {
                        let meant = self.plan.only.is_none_or(|only| only == rule);
                        return meant.then_some(Break { at_us: self.now, rule, what });
                    }
                }
            }
        }
    }

    fn end(mut self, broken: Option<Break>) -> Outcome {
        let records = self.machines.iter().filter_map(|m| m.life.as_ref()?.inside.record_state());
        let verdicts = records.map(|(_, _, state)| {
            let ended = state.experiments.history();
            ended.filter(|p| matches!(p.end, crate::fleet::experiment::record::End::Verdict { .. })).count()
        });
        self.outcome.verdicts = verdicts.max().unwrap_or(0) as u64;
        (self.outcome.digest, self.outcome.delivered) = self.network.digest();
        for machine in &mut self.machines {
            machine.crash(&self.network, false);
        }
        self.network.close();
        let (last, told) = (self.lines.into(), self.judge.told.len());
        Outcome { broken, last, told, ms: self.now / 1_000, switches: self.judge.switches, ..self.outcome }
    }
}

/// The document that starts an experiment, with its winner's table to be switched to.
fn experiment(name: &str, activate: bool) -> String {
    format!(
        r#"{{"activate":{activate},"experiment":{{"name":"{name}","salt":[1,2],
        "arms":[{{"name":"old","share":0.5}},{{"name":"new","share":0.5}}],"alpha":0.05,"harm_alpha":0.01,
        "split_alpha":0.001,"harm_margin":0.5,"start_ms":0,"block_ms":200,"longest_ms":20000,"grace_ms":1000,
        "least_blocks":10}}}}"#
    )
}
