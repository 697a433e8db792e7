//! The events of a handover between two processes of a matcher.

use std::time::Duration;

use super::{Answer, Bytes, ConnId, Handle, Key};

/// The state of a key, as handed over to the successor.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyState {
    /// The key.
    pub key: Key,
    /// A digest of the request that the key stands for.
    pub digest: u64,
    /// No other try of the key may run until then.
    pub until: Duration,
    /// The predecessor still has tries of the key, one of which may have run or may yet run.
    pub open: bool,
    /// The result of its run.
    pub result: Option<Bytes>,
}

/// A handover event: a message between predecessor and successor, or a change of the peer process's state.
#[derive(Clone, Debug, PartialEq)]
pub enum Succession {
    /// A predecessor is running. It exits after it has handed over.
    PredecessorRunning,
    /// The successor asks for the keys, and decides from then on.
    HandoverRequested,
    /// The successor has answered a request that was forwarded to it.
    ForwardedAnswer {
        /// The connection of this process that gets the answer.
        conn: ConnId,
        /// The answer.
        answer: Answer,
    },
    /// The successor process has ended.
    SuccessorExited,
    /// The link to the successor broke while that process lives on.
    SuccessorDisconnected,
    /// A key that the predecessor handed over.
    Key(KeyState),
    /// The handle of a request that the predecessor has, or had a short time ago, and that may have run there.
    PastRun(Handle),
    /// The predecessor has handed over all keys.
    KeysComplete {
        /// Operators want clients to stay away.
        standby: bool,
    },
    /// After the handover, operators told a peer process that clients are to stay away or to return.
    StandbyChanged {
        /// The process that passed the order on.
        by: Peer,
        /// Clients are to stay away.
        standby: bool,
    },
    /// The last try of an open key has ended in the predecessor.
    KeyResolved {
        /// The key.
        key: Key,
        /// A try of the key was run.
        ran: bool,
        /// The result of that run.
        result: Option<Bytes>,
    },
    /// The predecessor process has ended.
    PredecessorExited,
    /// The link to the predecessor broke while that process lives on.
    PredecessorDisconnected,
}

/// A process of the same matcher during a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// The process from which this one took over.
    Predecessor,
    /// The process that took over from this one.
    Successor,
}
