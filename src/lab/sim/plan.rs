//! What happens to a simulated fleet: faults and orders, drawn from a seed.

use std::fmt;

use super::judge::Rule;
use super::net::Host;
use crate::lab::random::Random;

/// What happens.
#[derive(Clone, Debug, PartialEq)]
pub enum What {
    /// A machine loses its power, after so many more writes of its disk (at once for 0), and is on again after `down_ms`.
    Power { host: Host, writes: u64, down_ms: u64 },
    /// A process is killed, and started again after `down_ms`.
    Kill { host: Host, down_ms: u64 },
    /// A process is stopped, and goes on.
    Pause { host: Host, ms: u64 },
    /// These members are cut off from the others.
    Part { side: Vec<Host>, ms: u64 },
    /// Nothing passes this way.
    Cut { from: Host, to: Host, ms: u64 },
    /// A share of all segments and datagrams is lost, and one is late.
    Storm { loss: f64, late: f64, ms: u64 },
    /// A clock is set.
    Step { host: Host, by_ms: i64 },
    /// A service refuses connections.
    Refuse { service: u8, ms: u64 },
    /// An operator orders something at a member's door.
    Order { host: Host, order: Do },
}

/// What operators order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Do {
    /// A new table.
    Propose,
    /// One of those that were proposed: the first one, the second one, and so on.
    Activate(u64),
    Rollback,
    Abort,
    /// An experiment, whose winner is switched to.
    Start,
    /// An experiment without a switch at its end.
    Watch,
    Stop,
}

/// One of them, at its time.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    pub at_ms: u64,
    pub what: What,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>6} ms  {:?}", self.at_ms, self.what)
    }
}

/// Faults that a test plants in the fleet, so that each check is seen to find something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// Each lease that goes over the network is as long as can be.
    LongLease,
    /// A commit goes into the log before all are prepared.
    RashCommit,
    /// Disks say that they synced, and did not, from then on.
    LyingDisks { from_ms: u64 },
    /// The serving path forgets what a key's call went out under.
    Forgetful,
    /// The network does not heal.
    NoHeal,
}

/// A whole play.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub members: usize,
    pub voters: usize,
    pub seed: u64,
    /// For so long things happen; then all is healed.
    pub ms: u64,
    pub events: Vec<Event>,
    pub plant: Option<Plant>,
    /// Only this rule is looked at.
    pub only: Option<Rule>,
}

/// Before that nothing happens: the fleet finds itself.
pub const SETTLE_MS: u64 = 4_000;

/// Draws for plans.
struct Draw(Random);

impl Draw {
    fn below(&mut self, n: u64) -> u64 {
        self.0.next_u64() % n.max(1)
    }

    fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low)
    }
}

impl Plan {
    /// The same up to a time.
    pub fn until(mut self, ms: u64) -> Self {
        self.ms = self.ms.min(ms);
        self.events.retain(|event| event.at_ms < ms);
        self
    }

    /// So many members, of which the first are the voters; faults where they are wanted, orders always.
    pub fn draw(members: usize, seed: u64, faults: bool) -> Self {
        let voters = if members >= 5 { 5 - 2 * (seed as usize % 2) } else { 3.min(members | 1) };
        let voters = if voters > members { 1 } else { voters };
        let mut draw = Draw(Random::new(seed ^ 0x5eed));
        let ms = draw.between(20_000, 40_000);
        let mut events = Vec::new();
        let mut at_ms = SETTLE_MS;
        let first = [Do::Propose, Do::Propose, Do::Activate(1), Do::Propose];
        for (n, order) in first.into_iter().enumerate() {
            let host = draw.below(members as u64) as Host;
            events.push(Event { at_ms: at_ms + 50 * n as u64, what: What::Order { host, order } });
        }
        while at_ms < ms {
            at_ms += draw.between(100, 2_500);
            let order = match draw.below(10) {
                0 => Do::Propose,
                1..=4 => Do::Activate(1 + draw.below(3)),
                5 => Do::Rollback,
                6 => Do::Abort,
                7 | 8 => Do::Start,
                _ => Do::Stop,
            };
            let host = draw.below(members as u64) as Host;
            events.push(Event { at_ms, what: What::Order { host, order } });
        }
        let mut at_ms = SETTLE_MS;
        while faults && at_ms < ms {
            at_ms += draw.between(50, 3_000);
            let what = draw.fault(members, voters);
            events.push(Event { at_ms, what });
        }
        events.sort_by_key(|event| event.at_ms);
        Self { members, voters, seed, ms, events, plant: None, only: None }
    }
}

impl Draw {
    fn fault(&mut self, members: usize, voters: usize) -> What {
        // Most of what can break is at the voters.
        let among = if self.below(3) > 0 { voters } else { members };
        let host = self.below(among as u64) as Host;
        match self.below(13) {
            0 | 1 => What::Power { host, writes: self.between(1, 12), down_ms: self.between(50, 5_000) },
            2 => What::Kill { host, down_ms: self.between(20, 4_000) },
            3..=5 => What::Pause { host, ms: self.between(5, 4_500) },
            6 => {
                let mut side: Vec<Host> = (0..members).filter(|_| self.below(2) == 0).collect();
                side.truncate(members - 1);
                What::Part { side, ms: self.between(200, 8_000) }
            }
            7..=9 => {
                let to = (host + 1 + self.below(members.max(2) as u64 - 1) as usize) % members;
                What::Cut { from: host, to, ms: self.between(200, 8_000) }
            }
            10 => {
                let loss = self.between(0, 30) as f64 / 100.0;
                let late = self.between(0, 20) as f64 / 100.0;
                What::Storm { loss, late, ms: self.between(500, 6_000) }
            }
            11 => {
                let by = self.between(5, 1_500) as i64;
                What::Step { host, by_ms: if self.below(2) == 0 { by } else { -by } }
            }
            _ => What::Refuse { service: 1 + self.below(2) as u8, ms: self.between(200, 5_000) },
        }
    }
}
