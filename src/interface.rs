//! The types through which a server and the decision module ([`crate::decisions`]) talk.
//!
//! Times are [`Duration`]s on one monotonic clock of the host's choosing.

use std::fmt;
use std::time::Duration;

/// Identifies one request (one try) in this server's life; never used twice.
pub type RequestId = u32;

/// May a request of this class be run again?
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running it again does no harm.
    Idempotent,
    /// It carries a key and must run once within its window.
    Deduplicated,
    /// It must never run twice, and nothing links its tries.
    AtMostOnce,
}

/// What can be done with running work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// It cannot be stopped.
    #[default]
    Off,
    /// It can be stopped; what was done is lost.
    Drop,
    /// It can be paused and taken up again.
    Pause,
}

/// What the requests of this server call while they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dependency {
    /// Nothing.
    #[default]
    Off,
    /// One dependency that the whole fleet shares.
    Shared,
    /// Another tier of servers behind a balancer.
    Tier,
}

/// How the calls of a class stand, where the fleet routes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteState {
    /// They are made.
    #[default]
    Open,
    /// None may be made now; their requests may be answered without.
    Skip,
    /// None may be made now, and no request may be answered without.
    Closed,
}

/// What the fleet's routes allow of a request's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// How often each is tried at most, whatever comes of it; the module keeps it from 1 to 10.
    pub max_tries: u8,
    /// The request may be answered without.
    pub may_skip: bool,
}

/// The free value that goes back to callers with every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Signal {
    /// None may be sent.
    #[default]
    Off,
    /// Callers send nothing of lower rank.
    MinRank,
    /// Each caller may have so many requests out here.
    Tokens,
    /// The chance that a caller that comes here does not pass by.
    Bias,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answered within this time after its first try, a request earns its full worth.
    pub target_latency: Duration,
    /// The aim grows by this many times the work of the request.
    pub target_stretch: f64,
    /// How long a client waits over all tries.
    pub client_timeout: Duration,
    /// May it run again?
    pub repeat: Repeat,
    /// For deduplicated classes: a try can come again this long after it arrived.
    pub window: Duration,
    /// Worth of one request, or of one unit of its work.
    pub worth: f64,
    /// Part of the worth that a late answer earns.
    pub late_value: f64,
    /// Its requests may call what is below.
    pub makes_calls: bool,
    /// Part of the worth that is left when a call is skipped; 0 forbids skipping.
    pub skip_worth: f64,
    /// The site no longer has this class; only requests that came before, or just behind, are of it.
    pub dropped: bool,
}

impl Class {
    /// How its calls stand where the fleet says `told`: what is worth nothing without its call is not answered without it.
    pub fn route_state(&self, reported: RouteState) -> RouteState {
        match reported {
            RouteState::Skip if self.skip_worth <= 0.0 => RouteState::Closed,
            state if self.makes_calls => state,
            _ => RouteState::Open,
        }
    }
}

/// One tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second within its share, over the whole fleet.
    pub quota_per_s: f64,
}

/// What a server is told when it starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Cores of this server.
    pub cores: u32,
    /// Its memory in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running request over that of a held one.
    pub run_factor: f64,
    /// Memory of one remembered key in kilobytes.
    pub key_kb: f64,
    /// Servers in the list at this start.
    pub servers: u32,
    /// Clients reach this tier through its callers; otherwise other servers call it.
    pub entry: bool,
    /// Callers at this start.
    pub callers: u32,
    /// Callers close connections that are idle for this long; zero where it is not told.
    pub idle_timeout: Duration,
    /// It started just now and is not warm.
    pub cold: bool,
    /// Share of its speed that a cold server has at least.
    pub cold_speed: f64,
    /// A cold server is warm after this time at the latest.
    pub warm_up_time: Duration,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic over a tenant's share, as a part of its class's worth.
    pub over_share_worth: f64,
    /// Worth is counted for each unit of work instead of each request.
    pub worth_by_work: bool,
    /// What can be done with running work.
    pub preemption: Preemption,
    /// What is called while running.
    pub dependency: Dependency,
    /// This server's share of the calls that a shared dependency survives (a mean).
    pub call_share: f64,
    /// The time over which calls in hand are averaged.
    pub call_share_window: Duration,
    /// A call given up stays with the dependency for this long.
    pub call_linger: Duration,
    /// How long the answer to a read can serve others; zero means never.
    pub fresh_for: Duration,
    /// What the free value means.
    pub signal: Signal,
    /// How long callers keep it in mind.
    pub signal_lifetime: Duration,
    /// Points that the operator takes off for each new connection.
    pub connect_price: f64,
    /// Further tries bear a mark.
    pub marks_retries: bool,
    /// Advice to stay away is passed on.
    pub sends_retry_after: bool,
    /// The longest such advice that is heeded.
    pub max_retry_after: Duration,
    /// The callers' list follows the health answer.
    pub readiness: bool,
    /// An answer may come this long after its due time.
    pub answer_slack: Duration,
    /// Arrivals later than this after the notice to leave must not run.
    pub drain_grace: Duration,
    /// Requests on the cores, per core, that a warm server survives.
    pub max_load_per_core: f64,
    /// The time over which that crowd is averaged.
    pub load_window: Duration,
}

impl Settings {
    /// The classes that the site has now, with their places.
    pub fn active_classes(&self) -> impl Iterator<Item = (usize, &Class)> {
        self.classes.iter().enumerate().filter(|(_, c)| !c.dropped)
    }

    /// Memory of one remembered key, in thousandths of a kilobyte.
    pub fn key_size(&self) -> u64 {
        (self.key_kb.max(0.0) * 1000.0).ceil() as u64
    }

    /// Tells what makes these settings unusable, if anything does.
    pub fn check(&self) -> Result<(), SettingsError> {
        let s = self;
        let usable = |x: f64| x.is_finite() && x >= 0.0;
        if s.cores == 0 {
            return Err(SettingsError::NoCores);
        }
        if s.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        let figures = [
            ("memory", s.memory_kb),
            ("run factor", s.run_factor),
            ("key size", s.key_kb),
            ("cold start", s.cold_speed),
            ("crowd", s.max_load_per_core),
            ("call share", s.call_share),
            ("over-share worth", s.over_share_worth),
            ("connection price", s.connect_price),
        ];
        let classes = s.classes.iter().flat_map(|c| [c.worth, c.late_value, c.skip_worth, c.target_stretch]);
        let quotas = s.tenants.iter().map(|t| t.quota_per_s);
        if let Some((name, _)) = figures.iter().find(|(_, x)| !usable(*x)) {
            return Err(SettingsError::BadFigure(name));
        }
        if !classes.chain(quotas).all(usable) {
            return Err(SettingsError::BadFigure("of a class or tenant"));
        }
        Ok(())
    }
}

/// Why settings cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// A server without cores runs nothing.
    NoCores,
    /// Without a class no request can be judged.
    NoClasses,
    /// A figure is missing, negative or not finite.
    BadFigure(&'static str),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoCores => write!(f, "the settings name no cores"),
            Self::NoClasses => write!(f, "the settings name no classes"),
            Self::BadFigure(what) => write!(f, "the setting {what} is not usable"),
        }
    }
}

impl std::error::Error for SettingsError {}

/// A request that was read and now lies in the hold.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class, as an index into [`Settings::classes`].
    pub class: usize,
    /// Its tenant, as an index into [`Settings::tenants`].
    pub tenant: usize,
    /// It names what it is about, so that repeats of a read can be told.
    pub names_object: bool,
    /// When its caller stops waiting, if that is passed on.
    pub due: Option<Duration>,
    /// Rough expected work, if hinted.
    pub hint: Option<Duration>,
    /// Memory while held.
    pub size_kb: f64,
    /// Its rank in 0..1, lowest worth first.
    pub rank: f64,
    /// The number of its caller.
    pub caller: u32,
    /// Time since it reached the machine.
    pub age: Duration,
    /// The request that this one repeats.
    pub repeats: Option<RequestId>,
    /// Marked as a further try.
    pub marked_retry: bool,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It went well.
    Done,
    /// It failed; it may have had its effect.
    Error,
    /// Sent back unseen; it never ran.
    Busy,
    /// Given up; it may have had its effect.
    TimedOut,
    /// Could not be reached; it never ran.
    Unreachable,
    /// Broken off; it may have had its effect.
    Reset,
    /// Stopped, or ended at a call because nobody waits.
    Cancelled,
    /// Nothing started, the request was over.
    NotStarted,
    /// This server has no right to make the call now; it never ran.
    Barred,
    /// It belongs to an earlier version of the routes, and must not be made under a later one.
    Stale,
}

impl Outcome {
    /// True where the outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Busy | Self::Unreachable | Self::NotStarted | Self::Barred)
    }
}

/// What the server measures of itself; absent where it has no such gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores busy in the recent past.
    pub core_use: Option<f64>,
    /// Everything that needs a core now.
    pub on_cores: Option<f64>,
    /// Share of the memory in use.
    pub memory_use: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// Something that happened to the server.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was read.
    Arrived(Arrival),
    /// Nobody waits for the request any more.
    Withdrawn {
        /// The request.
        id: RequestId,
    },
    /// A run or a join is over.
    Finished {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was started.
        took: Duration,
    },
    /// A running request needs a call.
    CallNeeded {
        /// The request.
        id: RequestId,
    },
    /// A call ended.
    CallEnded {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the call was made.
        took: Duration,
    },
    /// How the calls of each class stand from now on, by the place of the class; further ones are open.
    RouteStates(Vec<RouteState>),
    /// What the fleet's routes allow of a request's calls, in place of the module's own bounds.
    CallLimits {
        /// The request.
        id: RequestId,
        /// By the version that it belongs to.
        limits: CallLimits,
    },
    /// The process is to leave and will be stopped.
    Drain {
        /// Time since it was told so.
        age: Duration,
        /// When it is stopped.
        stop_at: Duration,
    },
    /// A timer set by [`Action::SetTimer`] fired.
    Timer {
        /// The token it was set with.
        token: u64,
        /// The gauges at this moment.
        gauges: Gauges,
    },
}

/// Something the server is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a held request or take up a paused one.
    Start(RequestId),
    /// Turn a request away: it never ran.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the caller should stay away; zero is no advice.
        retry_after: Duration,
        /// Ask the caller not to try elsewhere.
        no_retry: bool,
    },
    /// Answer with an error that promises nothing.
    Fail(RequestId),
    /// Stop running work.
    Preempt(RequestId),
    /// Make the call that a request waits for.
    Call {
        /// The request.
        id: RequestId,
        /// Give the call up after this time.
        timeout: Duration,
    },
    /// Go on without the call.
    SkipCall(RequestId),
    /// Answer a held request with the result of the one it repeats.
    Join(RequestId),
    /// Put the request's key into the table.
    RememberKey {
        /// The request.
        id: RequestId,
        /// For how long from now.
        lifetime: Duration,
    },
    /// Take the request's key out of the table.
    ForgetKey(RequestId),
    /// Set the answer to health checks.
    Health {
        /// Good or not.
        healthy: bool,
    },
    /// Set the free value sent to callers.
    Signal(f64),
    /// Close connections idle for this long.
    TrimIdle(Duration),
    /// Ask for a timer.
    SetTimer {
        /// Comes back in [`Event::Timer`].
        token: u64,
        /// When it should fire, from now.
        after: Duration,
    },
    /// A line for on-call.
    Log(String),
}
