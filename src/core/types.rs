//! What goes into the reducer and what comes out of it.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use super::{End, ReplyDigest};
use crate::fleet::experiment::counts::Kind;
use crate::fleet::routes::Fence;
use crate::fleet::routing;
use crate::interface::RouteState;
use crate::settings::Site;

/// Bytes that are passed on unchanged.
pub type Bytes = Arc<[u8]>;

/// A connection of a caller, on whichever front.
pub type ConnId = u64;

/// The key of a request that must run once.
pub type Key = Arc<str>;

/// A link to the agent, by its number: links are counted from 1 as they are opened, and no two have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl LinkId {
    /// Stands for an application that does the work: it needs no link.
    pub const NONE: Self = Self(0);
}

impl fmt::Display for LinkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The 16 hexadecimal digits that name a try on every wire, kept as they came.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Handle([u8; 16]);

impl FromStr for Handle {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let digits: [u8; 16] = text.as_bytes().try_into().map_err(|_| ())?;
        digits.iter().all(u8::is_ascii_hexdigit).then_some(Self(digits)).ok_or(())
    }
}

impl fmt::Display for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(std::str::from_utf8(&self.0).unwrap_or_default())
    }
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A request as a front read it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Where its answer goes.
    pub conn: ConnId,
    /// Its name.
    pub handle: Handle,
    /// The name of its class.
    pub class: String,
    /// When it came to the machine.
    pub start: Duration,
    /// How long its caller waits from then on.
    pub timeout: Option<Duration>,
    /// The number of its caller.
    pub caller: u32,
    /// The name of its tenant, where the site has any.
    pub tenant: Option<Arc<str>>,
    /// The work to expect on one core, where its caller tells.
    pub cost: Option<Duration>,
    /// Memory while held.
    pub size_kb: f64,
    /// Its rank in 0..1.
    pub rank: f64,
    /// The key that all its tries share.
    pub key: Option<Key>,
    /// What it is about, where it names that; its first bytes if it is long.
    pub object: Option<Arc<str>>,
    /// Its body.
    pub body: Bytes,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request was read.
    Request(Box<Request>),
    /// A health check was read.
    HealthCheck {
        /// Where the answer goes.
        conn: ConnId,
        /// The caller wants to know whether work gets done.
        deep: bool,
    },
    /// A front answered something that is no request by itself.
    Rejected,
    /// An answer could not be written whole.
    AnswerWriteFailed(End),
    /// The connections withheld what a rule forbids.
    ViolationBlocked,
    /// A reply from below was passed over: it is a copy of an earlier one of the request, or another request's.
    StrayReply,
    /// The agent told something, or its link did.
    Agent {
        /// The link over which it came.
        link: LinkId,
        /// What was told.
        notice: Notice,
    },
    /// A call below ended.
    CallEnded {
        /// The request it was made for.
        handle: Handle,
        /// Which of the request's calls.
        attempt: u32,
        /// How it ended.
        end: End,
        /// The reply, where it went well.
        reply: Option<Bytes>,
        /// What it went out under, if it went out and the fleet routes it.
        fence: Option<Fence>,
    },
    /// How the calls of the named classes stand, where the fleet routes them; those of others are open.
    RouteStates(Vec<(String, RouteState)>),
    /// What all routes that are in force from now on allow: at most as many as a table has.
    CallLimits(Vec<routing::Allows>),
    /// A call goes out by a route that allows something else than was known here when it was ordered.
    CallRouteChanged {
        /// The request it is for.
        handle: Handle,
        /// Which of the request's calls.
        attempt: u32,
        /// What that one allows; nothing for the module's own bounds.
        limits: Option<routing::Allowed>,
    },
    /// The process is to leave.
    Drain {
        /// When it was told so.
        signalled_at: Duration,
    },
    /// A word of the process that this one takes over from, or that takes over from it.
    Succession(Succession),
    /// Operators want callers kept away, or back again. What comes all the same is served as usual.
    Standby(bool),
    /// The configuration was read again: there may be other classes, and the links may have new addresses.
    Reload {
        /// The module's part of it.
        site: Box<Site>,
        /// The time from a notice to leave to the kill.
        stop_after: Duration,
    },
    /// The counters are to be printed.
    LogCounters,
    /// Somebody at the console asks.
    Query {
        /// Comes back with the answer.
        ticket: u64,
        /// What is asked.
        query: Query,
    },
}

/// A key, as a process hands it to the one that takes over.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyState {
    /// The key.
    pub key: Key,
    /// A digest of the request that it stands for.
    pub digest: u64,
    /// Until then no other try of it may be run.
    pub until: Duration,
    /// Tries of it are still there, and one may have run or yet run.
    pub open: bool,
    /// What its run made.
    pub result: Option<Bytes>,
}

/// What two processes tell each other while the newer one takes over.
#[derive(Clone, Debug, PartialEq)]
pub enum Succession {
    /// Another process of this server ran before this one, and goes on until it has handed over and ended.
    PredecessorRunning,
    /// The new process is to decide from now on.
    HandoverRequested,
    /// It has answered what was passed on to it.
    ForwardedAnswer {
        /// Where the answer goes.
        conn: ConnId,
        /// What it is.
        answer: Answer,
    },
    /// The new process is gone.
    SuccessorExited,
    /// The link to the new process broke, and it lives on.
    SuccessorDisconnected,
    /// A key that the old process handed over.
    Key(KeyState),
    /// All keys were handed over.
    KeysComplete {
        /// Operators want callers kept away.
        standby: bool,
    },
    /// The last try of an open key is over.
    KeyResolved {
        /// The key.
        key: Key,
        /// It was run.
        ran: bool,
        /// With this result.
        result: Option<Bytes>,
    },
    /// The old process is gone.
    PredecessorExited,
    /// The link to the old process broke, and it lives on.
    PredecessorDisconnected,
}

/// What the console may ask the reducer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// How things are.
    Status,
    /// What was counted.
    Counters,
}

/// What the agent tells.
#[derive(Clone, Debug)]
pub enum Notice {
    /// The agent is up and listens.
    Greeting {
        /// It started cold.
        cold: bool,
        /// It has been up for this long.
        uptime: Duration,
    },
    /// The link is over: nothing more comes over it.
    Closed(LinkEnd),
    /// Everything told before the [`Command::Sync`] of this link was read.
    Synced {
        /// The link on which that was asked.
        requested_on: LinkId,
    },
    /// Everything said before the [`Command::Acknowledge`] of this link and number was heard.
    Acknowledged {
        /// The link on which that was asked.
        requested_on: LinkId,
        /// The number of the question.
        number: u64,
    },
    /// Everything said on a link was heard, before it moves. For the link's keeper, not for the reducer.
    MoveAcknowledged {
        /// The link on which that was asked.
        requested_on: LinkId,
    },
    /// The gauges.
    Sampled {
        /// The ticket that asked for them.
        ticket: u64,
        /// In the order of the settings.
        figures: Vec<f64>,
    },
    /// A run is over.
    Outcome {
        /// The request.
        handle: Handle,
        /// How it ended.
        end: End,
        /// How long it took.
        lasted: Option<Duration>,
        /// What it made.
        result: Option<Bytes>,
    },
    /// A run waits for a call.
    CallNeeded {
        /// The request.
        handle: Handle,
        /// The number of this notice.
        cursor: u64,
        /// The body of the call.
        body: Bytes,
    },
    /// A command was not carried out.
    Refusal {
        /// Which.
        command: String,
        /// The request.
        handle: Handle,
    },
}

/// How a link to the agent ended, and what became of the commands that were meant for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkEnd {
    /// It broke. The commands up to the number `written` were written on it, or may have been; later ones were not.
    Broken {
        /// How.
        end: End,
        /// The number of the last command that may have been written.
        written: u64,
    },
    /// It was closed in good order. The agent has read the commands up to the number `read`; later ones were not written.
    Clean {
        /// The number of the last command that was read.
        read: u64,
    },
}

/// What the agent is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Run a request.
    Launch {
        /// The request.
        handle: Handle,
        /// The name of its class.
        class: Arc<str>,
        /// Its body.
        arg: Bytes,
        /// How long its caller still waits.
        timeout: Duration,
    },
    /// Stop a run.
    Freeze {
        /// The request.
        handle: Handle,
    },
    /// Go on with a paused run.
    Thaw {
        /// The request.
        handle: Handle,
    },
    /// The reply to the call that a run waits for.
    Deliver {
        /// The request.
        handle: Handle,
        /// The notice that asked for the call. It is not on the wire.
        cursor: u64,
        /// The reply.
        arg: Bytes,
    },
    /// Go on without the call.
    Forgo {
        /// The request.
        handle: Handle,
        /// The notice that asked for the call.
        cursor: u64,
    },
    /// Tell the gauges.
    Sample {
        /// Comes back with them.
        ticket: u64,
    },
    /// Answer once everything before is told; once on each link.
    Sync,
    /// Answer once everything said before on this link was heard. Questions are counted from 1 on each link.
    Acknowledge(u64),
}

impl Command {
    /// The run that it is about, and its name on the wire.
    pub fn name_and_handle(&self) -> Option<(&'static str, Handle)> {
        match self {
            Self::Launch { handle, .. } => Some(("launch", *handle)),
            Self::Freeze { handle } => Some(("freeze", *handle)),
            Self::Thaw { handle } => Some(("thaw", *handle)),
            Self::Deliver { handle, .. } => Some(("deliver", *handle)),
            Self::Forgo { handle, .. } => Some(("forgo", *handle)),
            Self::Sample { .. } | Self::Sync | Self::Acknowledge(_) => None,
        }
    }
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The result of the run.
    Served(Bytes),
    /// Turned away: it never ran.
    Refused {
        /// How long the caller should stay away; zero is no advice.
        retry_after: Duration,
        /// It should not try elsewhere.
        no_retry: bool,
    },
    /// Failed; it may have had its effect.
    Failed,
    /// A good answer to a health check.
    Healthy,
    /// A bad one.
    Unhealthy,
    /// No such class is served here.
    NoSuchClass,
    /// The request cannot be taken as it is.
    Invalid(&'static str),
}

/// An answer, the same on every front.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// What is told.
    pub verdict: Verdict,
    /// The free value.
    pub signal: Option<f64>,
    /// The connection is closed after it.
    pub close: bool,
}

/// Something to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Answer a caller.
    Answer {
        /// Where.
        conn: ConnId,
        /// What.
        answer: Arc<Answer>,
    },
    /// Tell the agent, on this link alone: where it is over, the command is dropped.
    Agent {
        /// The link that it is meant for.
        link: LinkId,
        /// The number of the command, counted from 1 on each link.
        number: u64,
        /// What is said.
        command: Command,
    },
    /// Make a call below.
    Call {
        /// The request it is for.
        handle: Handle,
        /// Which of the request's calls.
        attempt: u32,
        /// It must not be made again, unless it is proven not to have run.
        at_most_once: bool,
        /// It needs a connection that carried nothing before.
        fresh: bool,
        /// The replies to earlier calls of the request: a copy of one is not the reply to this call.
        earlier: Arc<[ReplyDigest]>,
        /// How long it is waited for.
        timeout: Duration,
        /// Its body.
        body: Bytes,
        /// What its route depends on, where the fleet routes calls.
        route: Option<Box<routing::Call>>,
    },
    /// Give up the call of a request.
    CancelCall {
        /// The request.
        handle: Handle,
        /// Which of the request's calls.
        attempt: u32,
    },
    /// A request got its one answer, where the fleet routes calls: experiments count it.
    CountAnswer {
        /// What the request's route depends on.
        route: Box<routing::Call>,
        /// How it was answered.
        kind: Kind,
    },
    /// Close connections idle for this long.
    TrimIdle(Duration),
    /// The server leaves: members of its fleet are told, and what was counted is logged.
    Draining,
    /// Whether reports to the control plane say that callers may come.
    ReportReadiness(bool),
    /// Move the links to the addresses that the configuration names now.
    Relink,
    /// The agent is up: requests can be served.
    Ready,
    /// Hand over to the process that takes over.
    HandOver {
        /// All keys.
        keys: Vec<KeyState>,
        /// Operators want callers kept away.
        standby: bool,
    },
    /// Pass a request on to it.
    Forward(Box<Request>),
    /// Tell it what came of a key.
    KeyResolved {
        /// The key.
        key: Key,
        /// It was run.
        ran: bool,
        /// With this result.
        result: Option<Bytes>,
    },
    /// The keys are there: take callers.
    Listen,
    /// There is no other process any more.
    PeerExited,
    /// This process cannot take over, and must not serve.
    AbortTakeover,
    /// Take no new connections, and let those that are open end: the other process serves on.
    YieldToSuccessor,
    /// Take no new connections.
    StopListening,
    /// All is answered: end once the connections are closed.
    Exit,
    /// A line for on-call.
    Log(String),
    /// The answer to a query.
    QueryResult {
        /// The query's.
        ticket: u64,
        /// Names and values.
        lines: Vec<(String, String)>,
    },
}
