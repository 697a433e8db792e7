//! One member of a simulated fleet: a runtime of its own whose time is stopped, the driver's work on it, the membership's
//! state machine, and a play of the serving path.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::{Builder, Runtime};
use tokio::time::{advance, sleep_until, Instant};

use super::disk::Disk;
use super::net::{address, mix, service, Host, Network};
use crate::fleet::clock::{Clock, Fault};
use crate::fleet::driver::simulated::{create, SimulatedDriver};
use crate::fleet::driver::{Environment, Options};
use crate::fleet::experiment::counts::Kind;
use crate::fleet::membership::view::{Id, Metadata, State, View};
use crate::fleet::membership::{self, Input, Membership};
use crate::fleet::random;
use crate::fleet::record::disk;
use crate::fleet::routes::table::KnownNames;
use crate::fleet::routes::Fence;
use crate::fleet::routing::{Call, RouteDecision};
use crate::lab::random::Random;

/// One tick.
pub const TICK: Duration = Duration::from_millis(1);
/// A tick in microseconds.
pub const TICK_US: u64 = 1_000;
/// The membership's period.
pub const PERIOD: Duration = Duration::from_secs(1);
/// When a play begins, since the Unix epoch.
const EPOCH: Duration = Duration::from_secs(1_700_000_000);
/// Keys that a member has open at most.
const MOST_KEYS: usize = 8;

/// What all members are told.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub members: usize,
    pub voters: usize,
    pub seed: u64,
    /// The play forgets what a key's earlier call went out under: a fault that is planted.
    pub forgetful: bool,
}

/// The membership's address of a member.
pub fn heard_at(host: Host) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, (host >> 8) as u8, host as u8].into(), 7_946)
}

/// A member's name.
pub fn name(host: Host) -> String {
    format!("m{host}")
}

/// A process that runs.
pub struct Life {
    runtime: Runtime,
    start: Instant,
    /// Of its runtime's clock, and those in which it was stopped.
    ticks: u32,
    missed: u32,
    /// Of all lives of this member.
    pub incarnation: u64,
    pub inside: SimulatedDriver,
    pub member: Membership,
    row: u64,
    clock: Clock,
    keys: BTreeMap<u64, Key>,
    next_key: u64,
    /// What it acted on last, and whether it has a lease.
    acts: Option<Fence>,
    votes: bool,
}

/// A request with a key, whose calls are repeated.
struct Key {
    tried: Option<Fence>,
    under: Option<Fence>,
    next_ms: u64,
    left: u32,
}

/// What was seen of a member in one tick.
#[derive(Debug, Default)]
pub struct Seen {
    /// The fence that a call would go out under now.
    pub acts: Option<Fence>,
    /// It is another one than the last time.
    pub changed: bool,
    /// A key whose calls went out under two fences.
    pub two: Option<(u64, Fence, Fence)>,
    /// Members whose state changed in the membership's view.
    pub views: Vec<(String, State)>,
}

/// A member's machine.
pub struct Machine {
    pub host: Host,
    pub disk: Disk,
    pub life: Option<Life>,
    /// It is stopped until then, in microseconds.
    pub paused_until: u64,
    /// It is started again then.
    pub boot_at: u64,
    rate: f64,
    /// Steps of its clock: when, and by how many milliseconds.
    pub steps: Vec<(u64, i64)>,
    random: Random,
    lives: u64,
}

impl Machine {
    /// With a clock that is off by up to 90 ppm, and starts within half a second.
    pub fn new(setup: &Setup, host: Host) -> Self {
        let mut random = Random::new(mix(mix(0, setup.seed), host as u64));
        let disk = Disk::new(random.next_u64());
        let rate = 1.0 + (random.unit() - 0.5) * 180e-6;
        let boot_at = random.next_u64() % 500 * TICK_US;
        Self { host, disk, life: None, paused_until: 0, boot_at, rate, steps: Vec::new(), random, lives: 0 }
    }

    /// Starts its process.
    pub fn boot(&mut self, setup: &Setup, network: &Network, now: u64) {
        let mut builder = Builder::new_current_thread();
        builder.enable_time().start_paused(true);
        let seed = self.random.next_u64();
        #[cfg(tokio_unstable)]
        builder.rng_seed(tokio::runtime::RngSeed::from_bytes(&seed.to_le_bytes()));
        // A current-thread runtime without I/O needs nothing of the system.
        let Ok(runtime) = builder.build() else { return };
        let row = mix(seed, 1);
        random::replace_state(Some(row));
        let step = self.steps.iter().find(|(at, _)| *at > now);
        let (at, step_ms) = step.map_or((u64::MAX >> 10, 0), |(at, ms)| (at - now, *ms));
        let fault = Fault { rate: self.rate, step_at: Duration::from_micros(at), step_ms };
        let unix = EPOCH + Duration::from_micros(now);
        let (start, clock) = {
            let _entered = runtime.enter();
            (Instant::now(), Clock::simulated(Some(fault), unix))
        };
        self.lives += 1;
        let incarnation = unix.as_millis() as u64;
        let votes = self.host < setup.voters;
        let options = Options {
            name: name(self.host),
            fleet: "sim".into(),
            voters: (0..setup.voters).map(|host| (name(host), address(host))).collect(),
            record: votes.then(|| ("record".into(), address(self.host))),
            known: KnownNames { classes: ["seat".to_string()].into(), tenants: [].into() },
            clock_fault: Some(fault),
        };
        let environment = Environment {
            clock,
            net: Arc::new(network.of(self.host)),
            disk: disk::Disk::Simulated(Arc::new(self.disk.clone())),
            answers: Default::default(),
        };
        let inside = {
            let _entered = runtime.enter();
            let (inside, work) = create(options, environment, incarnation);
            runtime.spawn(work);
            inside
        };
        let told = membership::Options {
            id: Id { address: heard_at(self.host), incarnation, name: name(self.host) },
            fleet: "sim".into(),
            seeds: (0..setup.voters.min(setup.members)).map(heard_at).collect(),
            period: PERIOD,
            seed,
        };
        let member = Membership::new(told, Metadata::default());
        let row = random::replace_state(None).unwrap_or(row);
        self.life = Some(Life {
            runtime,
            start,
            ticks: 0,
            missed: 0,
            incarnation,
            inside,
            member,
            row,
            clock,
            keys: BTreeMap::new(),
            next_key: self.lives << 32 | (self.host as u64) << 48,
            acts: None,
            votes,
        });
        self.paused_until = 0;
    }

    /// Ends its process without a word: its machine loses the power, or only the process is killed.
    pub fn crash(&mut self, network: &Network, power: bool) -> usize {
        if power {
            network.weather(|weather| {
                weather.off.insert(self.host);
            });
        }
        self.paused_until = 0;
        let unsynced = if power { self.disk.crash() } else { 0 };
        if let Some(life) = self.life.take() {
            random::replace_state(Some(life.row));
            let Life { runtime, inside, .. } = life;
            {
                let _entered = runtime.enter();
                drop(inside);
            }
            drop(runtime);
            random::replace_state(None);
        }
        unsynced
    }

    /// Plays one tick of it, if it runs.
    pub fn tick(&mut self, setup: &Setup, network: &Network, now: u64) -> Option<Seen> {
        if self.life.is_none() {
            if now < self.boot_at {
                return None;
            }
            network.weather(|weather| {
                weather.off.remove(&self.host);
            });
            self.boot(setup, network, now);
        }
        if now < self.paused_until {
            self.life.iter_mut().for_each(|life| life.missed += 1);
            return None;
        }
        let life = self.life.as_mut()?;
        random::replace_state(Some(life.row));
        if life.missed > 0 {
            // All that was due meanwhile is due at once.
            let missed = TICK * life.missed;
            life.runtime.block_on(async { advance(missed).await });
            life.ticks += std::mem::take(&mut life.missed);
        }
        life.ticks += 1;
        let until = life.start + TICK * life.ticks;
        life.runtime.block_on(async { sleep_until(until).await });
        let mut seen = life.serve(setup, &mut self.random, now);
        seen.views = life.gossip(network, self.host);
        life.row = random::replace_state(None).unwrap_or(life.row);
        Some(seen)
    }

    /// It is stopped for so long.
    pub fn pause(&mut self, now: u64, us: u64) {
        if self.life.is_some() {
            self.paused_until = self.paused_until.max(now + us);
        }
    }
}

impl Life {
    /// What this member's clock shows.
    pub fn now(&self) -> Duration {
        let _entered = self.runtime.enter();
        self.clock.now()
    }

    /// Within its runtime, such as for an order or what is planted.
    pub fn within<T>(&self, act: impl FnOnce(&SimulatedDriver) -> T) -> T {
        let _entered = self.runtime.enter();
        act(&self.inside)
    }

    /// The serving path looks at its routes: keyed requests, each a few calls, and what a call would do now.
    fn serve(&mut self, setup: &Setup, random: &mut Random, now: u64) -> Seen {
        let _entered = self.runtime.enter();
        let (routing, mut seen) = (self.inside.routing(), Seen::default());
        let call = |subject: u64, last_fence| Call {
            class: "seat".into(),
            tenant: None,
            subject: subject.to_le_bytes().into(),
            last_fence,
            limits: None,
        };
        if let RouteDecision::Allowed { fence, .. } = routing.route(&call(0, None)) {
            seen.acts = Some(fence);
        }
        seen.changed = seen.acts != self.acts;
        self.acts = seen.acts;
        let often = (2.0 / setup.members as f64).min(0.2);
        if self.keys.len() < MOST_KEYS && random.unit() < often {
            self.next_key += 1;
            let left = 1 + (random.next_u64() % 4) as u32 / 2;
            self.keys.insert(self.next_key, Key { tried: None, under: None, next_ms: 0, left });
        }
        let now_ms = now / 1_000;
        let due: Vec<u64> =
            self.keys.iter().filter(|(_, k)| k.next_ms <= now_ms).map(|(id, _)| *id).collect();
        for id in due {
            let Some(key) = self.keys.get_mut(&id) else { continue };
            let asked = call(id, key.tried);
            let (over, kind) = match routing.route(&asked) {
                RouteDecision::Allowed { fence, address, .. } => {
                    if let Some(under) = key.under.filter(|under| *under != fence) {
                        seen.two = Some((id, under, fence));
                    }
                    key.under = Some(fence);
                    key.tried = Some(fence).filter(|_| !setup.forgetful);
                    key.left -= 1;
                    key.next_ms = now_ms + random.next_u64() % 600;
                    let late = address == Some(service(1)) && id.is_multiple_of(5);
                    (key.left == 0, if late { Kind::Late } else { Kind::Served })
                }
                RouteDecision::Wait(_) => (false, Kind::Served),
                RouteDecision::Ended(_) => (true, Kind::Failed),
                RouteDecision::Barred => {
                    key.next_ms = now_ms + 100;
                    key.left -= 1;
                    (key.left == 0, Kind::Failed)
                }
            };
            if over {
                routing.count(&asked, kind);
                self.keys.remove(&id);
            }
        }
        seen
    }

    /// Steps the membership with what came, and when it is due.
    fn gossip(&mut self, network: &Network, host: Host) -> Vec<(String, State)> {
        let now = self.now();
        let mut changes = Vec::new();
        let inbox = network.inbox(host);
        let came = inbox.iter().map(|bytes| Input::Datagram(bytes));
        let due = (self.member.due() <= now).then_some(Input::Tick);
        for input in came.chain(due) {
            let out = self.member.step(now, input);
            changes.extend(out.changes.into_iter().map(|change| (change.id.name, change.to)));
            for (to, bytes) in out.send {
                let [_, _, high, low] = to.ip().octets();
                network.datagram(host, usize::from(high) << 8 | usize::from(low), bytes);
            }
        }
        changes
    }

    /// What a call would go out under, at the last tick.
    pub fn acts(&self) -> Option<Fence> {
        self.acts
    }

    /// Its process is stopped: its runtime's clock is behind.
    pub fn stopped(&self) -> bool {
        self.missed > 0
    }

    /// It keeps a record.
    pub fn votes(&self) -> bool {
        self.votes
    }

    /// The members that count as up in its view, itself included.
    pub fn up(&self) -> Vec<Id> {
        let others = self.member.view().members().filter(|s| View::is_up(s)).map(|s| s.id.clone());
        let mut up: Vec<_> = others.chain([self.member.id().clone()]).collect();
        up.sort_by(|a, b| a.name.cmp(&b.name));
        up
    }
}

/// A table of two pools, whose arms an experiment may draw.
pub fn table(n: u64) -> String {
    let at = |n: u8| -> SocketAddr { service(n) };
    format!(
        r#"{{"pools":{{"a":[{{"address":"{}","weight":1}}],"b":[{{"address":"{}","weight":1}}]}},
        "routes":[{{"class":"seat","pool":"a","timeout_ms":{},"tries":2,"arms":[
        {{"name":"old","pool":"a","share":500}},{{"name":"new","pool":"b","share":500}}]}}]}}"#,
        at(1),
        at(2),
        100 + n % 1000
    )
}
