//! The interface between a server and the decision module ([`crate::decisions`]).
//!
//! A server starts the module with [`Settings`], reports what happens as [`Event`]s, and carries out the
//! [`Action`]s that the module returns. Points in time are [`Duration`]s on one monotonic clock that the server
//! chooses.

use std::fmt;
use std::time::Duration;

/// Identifies one request (one try) while this server runs; never reused.
pub type RequestId = u32;

/// Whether a request of a class may be run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run any number of times.
    Idempotent,
    /// It carries an idempotency key and must run only once within the key's window.
    Deduplicated,
    /// It must never run twice, and nothing identifies its tries as one request.
    AtMostOnce,
}

/// What can be done with a run in progress.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Preemption {
    /// It cannot be stopped.
    #[default]
    Off,
    /// It can be stopped, and its progress is lost.
    Drop,
    /// It can be paused and resumed.
    Pause,
}

/// The dependency that requests call while they run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Dependency {
    /// None.
    #[default]
    Off,
    /// One dependency that the whole fleet shares.
    Shared,
    /// Another tier of servers behind a balancer.
    Tier,
}

/// Whether calls of a class may be made now, where the fleet routes them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RouteState {
    /// Calls are made.
    #[default]
    Open,
    /// No call may be made now. Requests may go on without their calls.
    Skip,
    /// No call may be made now, and no request may be answered without its call.
    Closed,
}

/// What the fleet's routes allow of a request's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Upper bound of the tries of each call, whatever their outcomes. The module clamps it to 1..=10.
    pub max_tries: u8,
    /// The request may be answered without the call.
    pub may_skip: bool,
}

/// What the load signal means, a number that is sent to callers with every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Signal {
    /// No signal is sent.
    #[default]
    Off,
    /// The lowest rank of the requests that callers should send.
    MinRank,
    /// How many requests each caller may have in progress here.
    Tokens,
    /// The probability with which a caller that picked this server uses it.
    Bias,
}

/// One class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A request that is answered within this time after its first try earns its full worth.
    pub target_latency: Duration,
    /// The target latency grows by this many times the hinted work of the request.
    pub target_stretch: f64,
    /// How long a client waits for an answer, over all its tries.
    pub client_timeout: Duration,
    /// Whether its requests may run again.
    pub repeat: Repeat,
    /// For deduplicated classes: a try can be repeated this long after its arrival.
    pub window: Duration,
    /// Worth of one request, or of one unit of its work (see [`Settings::worth_by_work`]).
    pub worth: f64,
    /// Part of the worth that a late answer earns.
    pub late_value: f64,
    /// Its requests may call the dependency.
    pub makes_calls: bool,
    /// Part of the worth that is left when a call is skipped; 0 forbids skipping calls.
    pub skip_worth: f64,
    /// The site no longer has this class. Only requests that arrived before its removal, or soon after it, belong
    /// to it.
    pub dropped: bool,
}

impl Class {
    /// The route state of this class, given the one that the fleet reports. A request that is worth nothing without
    /// its call is not answered without it.
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

/// The settings of a server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Cores of this server.
    pub cores: u32,
    /// Its memory in kilobytes.
    pub memory_kb: f64,
    /// Memory of a running request as a multiple of that of a held one.
    pub run_factor: f64,
    /// Memory of one key in the key table in kilobytes.
    pub key_kb: f64,
    /// Servers in the fleet at the start of this one.
    pub servers: u32,
    /// Clients reach this tier through its callers; otherwise other tiers of servers call it.
    pub entry: bool,
    /// Callers at the start of this server.
    pub callers: u32,
    /// Callers close connections that are idle for this long; zero where that is not known.
    pub idle_timeout: Duration,
    /// It has just started and is not warm yet.
    pub cold: bool,
    /// Share of its speed that a cold server has at least.
    pub cold_speed: f64,
    /// A cold server is warm after this time at the latest.
    pub warm_up_time: Duration,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of traffic over a tenant's share, as a part of the worth of its class.
    pub over_share_worth: f64,
    /// Worth is counted per unit of work instead of per request.
    pub worth_by_work: bool,
    /// What can be done with a run in progress.
    pub preemption: Preemption,
    /// The dependency that running requests call.
    pub dependency: Dependency,
    /// This server's share of the concurrent calls that a shared dependency survives (a mean).
    pub call_share: f64,
    /// The time over which concurrent calls are averaged.
    pub call_share_window: Duration,
    /// An abandoned call still occupies the dependency for this long.
    pub call_linger: Duration,
    /// A call that got no reply may be made again where that does no harm: a late reply to the first attempt would be
    /// told from the reply to the second.
    pub repeats_unanswered_calls: bool,
    /// How long the answer to a read may be reused for repeats of it; zero means never.
    pub fresh_for: Duration,
    /// What the load signal means.
    pub signal: Signal,
    /// How long callers apply a load signal.
    pub signal_lifetime: Duration,
    /// Price of each new connection, in the points of the operator's rating.
    pub connect_price: f64,
    /// Callers mark further tries as retries.
    pub marks_retries: bool,
    /// Refusals carry a time for which the caller should stay away.
    pub sends_retry_after: bool,
    /// The longest such time that callers honour.
    pub max_retry_after: Duration,
    /// The list of servers that callers use follows the health checks.
    pub readiness: bool,
    /// An answer may be this late after its due time.
    pub answer_slack: Duration,
    /// Requests that arrive later than this after the stop signal must not run.
    pub drain_grace: Duration,
    /// Requests that need the cores at once, per core, that a warm server survives.
    pub max_load_per_core: f64,
    /// The time over which that load is averaged.
    pub load_window: Duration,
}

impl Settings {
    /// The classes that the site has now, with their indices.
    pub fn active_classes(&self) -> impl Iterator<Item = (usize, &Class)> {
        self.classes.iter().enumerate().filter(|(_, c)| !c.dropped)
    }

    /// Memory of one remembered key, in thousandths of a kilobyte.
    pub fn key_size(&self) -> u64 {
        (self.key_kb.max(0.0) * 1000.0).ceil() as u64
    }

    /// Checks whether the module can run with these settings.
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
    /// A number is missing, negative or not finite.
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

/// A request that was read and is now held.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// Its id.
    pub id: RequestId,
    /// Its class, as an index into [`Settings::classes`].
    pub class: usize,
    /// Its tenant, as an index into [`Settings::tenants`].
    pub tenant: usize,
    /// It names the object that it reads, so that repeats of a read can be recognized.
    pub names_object: bool,
    /// When its client stops waiting, if the caller sends that.
    pub due: Option<Duration>,
    /// Rough expected work, if hinted.
    pub hint: Option<Duration>,
    /// Memory while held.
    pub size_kb: f64,
    /// Its rank by worth, from 0 up to but not including 1, lowest worth first.
    pub rank: f64,
    /// The number of its caller.
    pub caller: u32,
    /// Time since it reached this machine.
    pub age: Duration,
    /// The request that this one repeats, if any.
    pub repeats: Option<RequestId>,
    /// The caller marked it as a further try.
    pub marked_retry: bool,
}

/// How a run or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Done,
    /// It failed; it may have had its effect.
    Error,
    /// It was refused and never ran.
    Busy,
    /// It was abandoned after its timeout; it may have had its effect.
    TimedOut,
    /// The other side could not be reached; it never ran.
    Unreachable,
    /// The connection broke; it may have had its effect.
    Reset,
    /// It was stopped, or ended at a call because no client waits for it any more.
    Cancelled,
    /// Nothing started, as the request was already over.
    NotStarted,
    /// This server holds no lease and so must not make the call now; the call never ran.
    Barred,
    /// The call belongs to an earlier version of the routes, and must not be made under a later one.
    Stale,
}

impl Outcome {
    /// Whether the outcome proves that nothing ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Busy | Self::Unreachable | Self::NotStarted | Self::Barred)
    }
}

/// The server's measurements of itself; `None` where it has no such gauge.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Share of the cores that was busy in the recent past.
    pub core_use: Option<f64>,
    /// Number of tasks that need a core now.
    pub on_cores: Option<f64>,
    /// Share of the memory that is in use.
    pub memory_use: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}

/// Something that happened to the server.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request was read.
    Arrived(Arrival),
    /// Nobody waits for the answer to the request any more.
    Withdrawn {
        /// The request.
        id: RequestId,
    },
    /// A run or a join ended.
    Finished {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since it started.
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
        /// The call may be made again, as far as its reply is concerned: it could be told from a late reply to this
        /// attempt.
        may_repeat: bool,
    },
    /// The route state of each class from now on, by the index of the class; further classes are open.
    RouteStates(Vec<RouteState>),
    /// What the fleet's routes allow of a request's calls, in place of the module's own limits.
    CallLimits {
        /// The request.
        id: RequestId,
        /// The limits by the version of the routes that the request belongs to.
        limits: CallLimits,
    },
    /// The process received the stop signal and will be killed.
    Drain {
        /// Time since the signal.
        age: Duration,
        /// When the process is killed.
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

/// Something that the server must do, in the order in which actions are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start a held request, or resume a paused one.
    Start(RequestId),
    /// Refuse a request, with the promise that it never ran.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the caller should stay away; zero where no time is sent.
        retry_after: Duration,
        /// Ask the caller not to try elsewhere.
        no_retry: bool,
    },
    /// Answer with an error that leaves open whether the request ran.
    Fail(RequestId),
    /// Stop a run in progress.
    Preempt(RequestId),
    /// Make the call that a request waits for.
    Call {
        /// The request.
        id: RequestId,
        /// Abandon the call after this time.
        timeout: Duration,
    },
    /// Let the request go on without its call.
    SkipCall(RequestId),
    /// Answer a held request with the result of the one that it repeats.
    Join(RequestId),
    /// Put the request's key into the key table.
    RememberKey {
        /// The request.
        id: RequestId,
        /// How long the key stays there, from now.
        lifetime: Duration,
    },
    /// Remove the request's key from the key table.
    ForgetKey(RequestId),
    /// Set the answer to health checks.
    Health {
        /// Whether the answer is a good one.
        healthy: bool,
    },
    /// Set the load signal that is sent to callers.
    Signal(f64),
    /// Close connections idle for this long.
    TrimIdle(Duration),
    /// Set a timer.
    SetTimer {
        /// Returned in [`Event::Timer`].
        token: u64,
        /// When it should fire, from now.
        after: Duration,
    },
    /// Log a line for operators.
    Log(String),
}
