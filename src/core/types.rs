//! The reducer's inputs and effects, and the messages that they carry.
//!
//! [`Input`] is everything that can happen to the reducer, [`Effect`] everything that it asks of its surroundings.
//! [`Notice`] and [`Command`] are the messages from and to the agent, [`Succession`] is the handover between two
//! processes.

mod agent;
mod succession;

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use super::{CallReply, End, ReplyDigest};
use crate::fleet::experiment::counts::Kind;
use crate::fleet::routes::Fence;
use crate::fleet::routing;
use crate::interface::RouteState;
use crate::settings::Site;

pub use agent::{Command, LinkEnd, Notice};
pub use succession::{KeyState, Peer, Succession};

/// A body or result that is passed on unchanged.
pub type Bytes = Arc<[u8]>;

/// Identifies a client connection of any frontend.
pub type ConnId = u64;

/// An idempotency key: all tries of a request that must run once carry the same key.
pub type Key = Arc<str>;

/// Identifies a link to the agent. Links are numbered from 1 in the order in which they are opened; numbers are not
/// reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

impl LinkId {
    /// Used where an application does the work in place of the agent, which needs no link.
    pub const NONE: Self = Self(0);
}

impl fmt::Display for LinkId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The id of a try on every wire: 16 hexadecimal digits, kept exactly as received.
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

/// A request as read by a frontend.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The connection that gets the answer.
    pub conn: ConnId,
    /// The id of this try.
    pub handle: Handle,
    /// The name of its class.
    pub class: String,
    /// When the request reached this machine.
    pub start: Duration,
    /// How long the client waits, counted from `start`.
    pub timeout: Option<Duration>,
    /// The number of the client.
    pub caller: u32,
    /// The name of the tenant, if the site has tenants.
    pub tenant: Option<Arc<str>>,
    /// The expected work on one core, if the client states it.
    pub cost: Option<Duration>,
    /// Memory that the request needs while it is held, in kilobytes.
    pub size_kb: f64,
    /// Priority rank in 0..1.
    pub rank: f64,
    /// The idempotency key that all tries of the request share.
    pub key: Option<Key>,
    /// The object that the request names, if any; truncated if it is long.
    pub object: Option<Arc<str>>,
    /// The request body.
    pub body: Bytes,
}

/// An event that the reducer has to handle.
#[derive(Clone, Debug)]
pub enum Input {
    /// A frontend read a request.
    Request(Box<Request>),
    /// A frontend read a health check.
    HealthCheck {
        /// The connection that gets the answer.
        conn: ConnId,
        /// The client asks whether requests are actually being completed, not only whether the process is up.
        deep: bool,
    },
    /// A frontend received input that is not a request, and answered it without the reducer.
    Rejected,
    /// An answer could not be written completely.
    AnswerWriteFailed(End),
    /// The network layer detected a violation of a rule: it withheld an answer that no request was waiting for, or a
    /// connection ended without the answer that was owed to it.
    ViolationDetected,
    /// The client of a connection that is owed an answer has reset it.
    ClientGone {
        /// The connection.
        conn: ConnId,
    },
    /// A reply from the dependency was ignored: it is a copy of an earlier reply, or it belongs to another request.
    StrayReply,
    /// The agent sent a notice, or a link to it reported one.
    Agent {
        /// The link that delivered the notice.
        link: LinkId,
        /// The notice.
        notice: Notice,
    },
    /// A call to the dependency ended.
    CallEnded {
        /// The request that the call was made for.
        handle: Handle,
        /// The number of the attempt.
        attempt: u32,
        /// How the call ended.
        end: End,
        /// The reply, if the call succeeded.
        reply: Option<CallReply>,
        /// The fence under which the call was sent, if it was sent and the fleet routes calls.
        fence: Option<Fence>,
    },
    /// The route state of each named class, where the fleet routes calls. Classes that are not named are open.
    RouteStates(Vec<(String, RouteState)>),
    /// The call limits of all routes that are in force from now on; at most one entry for each route of the table.
    CallLimits(Vec<routing::RouteLimits>),
    /// A call is being sent under a route whose limits differ from those that were known when the call was ordered.
    CallRouteChanged {
        /// The request that the call is for.
        handle: Handle,
        /// The number of the attempt.
        attempt: u32,
        /// The limits of that route; `None` for the decision module's own limits.
        limits: Option<routing::CallLimits>,
    },
    /// The process was asked to stop.
    Drain {
        /// When the signal was received.
        signalled_at: Duration,
        /// When it may have been sent at the earliest: before that, if the process stood still.
        sent_at: Duration,
    },
    /// A message from the predecessor or the successor, or a change of their state.
    Succession(Succession),
    /// Operators want clients to stay away (`true`) or to return (`false`). Requests that arrive nevertheless are
    /// served as usual. The order is answered by [`Effect::ShareStandby`] or [`Effect::StandbyOutcome`].
    Standby {
        /// Clients are to stay away.
        standby: bool,
        /// Returned with the answer.
        ticket: u64,
    },
    /// A peer process could not be told of a standby order, as the link to it has ended.
    StandbyNotSent {
        /// The process that was not told.
        peer: Peer,
        /// The ticket of the order.
        ticket: u64,
    },
    /// The configuration was reloaded: classes and link addresses may have changed.
    Reload {
        /// The part of the configuration that the decision module needs.
        site: Box<Site>,
        /// The time between the stop signal and the kill.
        stop_after: Duration,
    },
    /// The counters are to be logged.
    LogCounters,
    /// A client of the console or of the metrics sent a query.
    Query {
        /// Returned with the result.
        ticket: u64,
        /// What is queried.
        query: Query,
    },
}

/// A query that the reducer answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Query {
    /// The current state.
    Status,
    /// The counters.
    Counters,
}

/// The content of an answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The request succeeded with this result.
    Served(Bytes),
    /// The request was refused: this try never ran.
    Refused {
        /// How long the client should wait before the next try; zero gives no advice.
        retry_after: Duration,
        /// The client should not try another matcher.
        no_retry: bool,
    },
    /// The request failed; it may have had its effect.
    Failed,
    /// The health check succeeded.
    Healthy,
    /// The health check failed.
    Unhealthy,
    /// The class of the request is not served here.
    NoSuchClass,
    /// The request is invalid, for this reason.
    Invalid(&'static str),
}

/// An answer, in the form that all frontends share.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The content of the answer.
    pub verdict: Verdict,
    /// The signal that the site's settings define, sent with every answer.
    pub signal: Option<f64>,
    /// The connection is closed after the answer.
    pub close: bool,
}

/// An action that the reducer asks of its surroundings.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send an answer to a client.
    Answer {
        /// The connection that gets the answer.
        conn: ConnId,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Send a command to the agent on this link only; if the link has ended, drop the command.
    Agent {
        /// The link that the command is meant for.
        link: LinkId,
        /// The number of the command, counted from 1 on each link.
        number: u64,
        /// The command.
        command: Command,
    },
    /// Make a call to the dependency.
    Call {
        /// The request that the call is for.
        handle: Handle,
        /// The number of the notice that requested the call.
        cursor: u64,
        /// The number of the attempt.
        attempt: u32,
        /// The call must not be repeated, unless it is proven not to have run.
        at_most_once: bool,
        /// The call needs a connection on which nothing was sent before.
        fresh: bool,
        /// Digests of the replies to earlier calls of the request: a copy of one of them is not the reply to this call.
        earlier_replies: Arc<[ReplyDigest]>,
        /// How long the reply is awaited.
        timeout: Duration,
        /// The body of the call.
        body: Bytes,
        /// What the route of the call depends on, where the fleet routes calls.
        route: Option<Box<routing::Call>>,
    },
    /// Cancel the call of a request.
    CancelCall {
        /// The request.
        handle: Handle,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Count a request that got its final answer for the running experiment, where the fleet routes calls.
    CountAnswer {
        /// What the route of the request depends on.
        route: Box<routing::Call>,
        /// How the request was answered.
        kind: Kind,
    },
    /// Close client connections that have been idle for this long.
    TrimIdle(Duration),
    /// The drain has begun: notify the members of the fleet and log the counters.
    Draining,
    /// Whether lease reports to the control plane are to say that this matcher is ready.
    ReportReadiness(bool),
    /// Move the links to the addresses in the reloaded configuration.
    Relink,
    /// The agent is up: requests can be served.
    Ready,
    /// Hand over to the successor.
    HandOver {
        /// All keys.
        keys: Vec<KeyState>,
        /// The handles of requests that may have run here, or may still run.
        past_runs: Vec<Handle>,
        /// Operators want clients to stay away.
        standby: bool,
    },
    /// Tell peer processes of a standby order. The order is answered with yes if all of them have been told, else
    /// [`Input::StandbyNotSent`] reports those that have not.
    ShareStandby {
        /// Clients are to stay away.
        standby: bool,
        /// The processes to tell.
        with: Vec<Peer>,
        /// The ticket of the order, if it came from this process's own operators.
        ticket: Option<u64>,
    },
    /// Answer a standby order.
    StandbyOutcome {
        /// The ticket of the order.
        ticket: u64,
        /// The order is in force in all processes of this matcher.
        is_shared: bool,
    },
    /// Forward a request to the successor.
    Forward(Box<Request>),
    /// Report to the successor what became of a key that was open when it was handed over.
    KeyResolved {
        /// The key.
        key: Key,
        /// A try of the key was run.
        ran: bool,
        /// The result of that run.
        result: Option<Bytes>,
    },
    /// All keys have been received: listen for clients.
    Listen,
    /// The peer process has ended.
    PeerExited,
    /// This process cannot take over and must exit without serving.
    AbortTakeover,
    /// Stop listening, and let open connections end: the successor serves from now on.
    YieldToSuccessor,
    /// Stop listening.
    StopListening,
    /// Every request has been answered: exit once the connections are closed.
    Exit,
    /// Write a line to the log.
    Log(String),
    /// Log that a rule was about to be broken for a request, with all that is known about the request.
    ReportViolation {
        /// The request.
        handle: Handle,
        /// What was about to be done.
        violation: String,
    },
    /// The result of a query.
    QueryResult {
        /// The ticket of the query.
        ticket: u64,
        /// Names and values.
        lines: Vec<(String, String)>,
    },
}
