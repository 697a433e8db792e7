//! Models of the reducer's peers: gateways, the agent with its links, and the dependency. They may do whatever PROTOCOL
//! allows, and some of what the operators' terms add: an old link that is read late, replies that come late or twice.

use std::collections::{BTreeMap, VecDeque};

/// The number of a request: its handle, and the body that it carries.
pub type RequestNumber = u8;
/// The number of a notice, or of a call by the notice that requested it.
pub type Cursor = u64;
/// The index of an ask in the list of all asks.
pub type AskIndex = usize;

/// A command on its way to the agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToAgent {
    Subscribe(Cursor),
    Launch(RequestNumber),
    /// The reply that was made for this ask.
    Deliver(RequestNumber, AskIndex),
    Forgo(RequestNumber, Cursor),
    Freeze(RequestNumber),
    Sync,
    Acknowledge(u64),
}

/// A message of the agent on its way to the matcher.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ToMatcher {
    Greeting,
    Numbered(Cursor),
    Synced,
    Acknowledged(u64),
}

/// A numbered notice.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Notice {
    Call(RequestNumber),
    Outcome(RequestNumber, RunEnd),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunEnd {
    Complete,
    Cancelled,
    Unknown,
}

/// A link to the agent. Its number is its position in the list of links, from 1.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Link {
    pub is_broken: bool,
    /// Commands that the agent has not read.
    pub to_agent: VecDeque<ToAgent>,
    /// Messages that the matcher has not read.
    pub to_matcher: VecDeque<ToMatcher>,
    /// The number of the last command that was written.
    pub written: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RunState {
    Working,
    /// It waits for the call that this notice requested.
    AtCall(Cursor),
    Over,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Run {
    pub state: RunState,
    /// Calls that this run has requested.
    pub calls: u8,
    /// How often a run of this handle has begun.
    pub starts: u8,
}

/// What is wrong with a reply that a run got.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Fault {
    /// It was made for another call.
    OtherCall,
    /// It was made for an ask of this call that was given up.
    AbandonedAsk,
    /// The run waits for nothing.
    NotWaiting,
    /// The run is over.
    RunOver,
    /// A command that takes a run on was sent after its request had its answer.
    AfterAnswer,
    /// A request got a second answer.
    SecondAnswer,
    /// The reducer withheld a command that broke one of its rules.
    Violation,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Agent {
    pub links: Vec<Link>,
    /// The number of the newest link on which the agent has read a subscription; 0 before the first.
    pub subscribed: usize,
    pub runs: BTreeMap<RequestNumber, Run>,
    pub notices: Vec<Notice>,
}

impl Agent {
    pub fn link(&mut self, number: usize) -> &mut Link {
        &mut self.links[number - 1]
    }

    /// Adds a numbered notice, and sends it on the newest link.
    fn notify(&mut self, notice: Notice) {
        self.notices.push(notice);
        let number = self.notices.len() as Cursor;
        self.send(self.subscribed, ToMatcher::Numbered(number));
    }

    /// Sends a message on a link, if it is up and was not replaced.
    fn send(&mut self, link: usize, message: ToMatcher) {
        if link == 0 || link != self.subscribed {
            return;
        }
        let link = self.link(link);
        if !link.is_broken {
            link.to_matcher.push_back(message);
        }
    }

    fn subscribe(&mut self, number: usize, cursor: Cursor) {
        self.subscribed = number;
        self.send(number, ToMatcher::Greeting);
        for notice in cursor + 1..=self.notices.len() as Cursor {
            self.send(number, ToMatcher::Numbered(notice));
        }
    }

    /// Starts a run, unless one runs already or the request is over.
    fn launch(&mut self, request: RequestNumber, is_over: bool) {
        let run = self.runs.get(&request).copied();
        if run.is_some_and(|run| run.state != RunState::Over) {
            return;
        }
        if is_over {
            return self.notify(Notice::Outcome(request, RunEnd::Unknown));
        }
        let starts = run.map_or(0, |run| run.starts) + 1;
        self.runs.insert(request, Run { state: RunState::Working, calls: 0, starts });
    }

    /// Lets a run work up to its next call or its end.
    pub fn work(&mut self, request: RequestNumber, calls: u8) {
        let Some(run) = self.runs.get_mut(&request) else { return };
        if run.calls < calls {
            run.calls += 1;
            run.state = RunState::AtCall(self.notices.len() as Cursor + 1);
            return self.notify(Notice::Call(request));
        }
        run.state = RunState::Over;
        self.notify(Notice::Outcome(request, RunEnd::Complete));
    }

    /// Ends a run that waits at a call although its request is over.
    pub fn cancel(&mut self, request: RequestNumber) {
        let Some(run) = self.runs.get_mut(&request) else { return };
        run.state = RunState::Over;
        self.notify(Notice::Outcome(request, RunEnd::Cancelled));
    }

    /// Continues a run that got the reply to an ask. Returns what is wrong with that.
    fn deliver(&mut self, request: RequestNumber, ask: AskIndex, asks: &[Ask]) -> Option<Fault> {
        let Some(run) = self.runs.get_mut(&request) else { return Some(Fault::NotWaiting) };
        match run.state {
            RunState::AtCall(cursor) => {
                run.state = RunState::Working;
                let is_of_another = |other: &Ask| other.request != request;
                match asks[ask].cursor == cursor && asks[ask].request == request {
                    false => Some(Fault::OtherCall),
                    true if asks[ask].was_cancelled || !asks[ask + 1..].iter().all(is_of_another) => {
                        Some(Fault::AbandonedAsk)
                    }
                    true => None,
                }
            }
            RunState::Working => Some(Fault::NotWaiting),
            RunState::Over => Some(Fault::RunOver),
        }
    }

    /// Reads the next command of a link. Returns what is wrong with it.
    pub fn read(
        &mut self,
        number: usize,
        asks: &[Ask],
        is_over: impl Fn(RequestNumber) -> bool,
    ) -> Option<Fault> {
        match self.link(number).to_agent.pop_front()? {
            ToAgent::Subscribe(cursor) => self.subscribe(number, cursor),
            ToAgent::Launch(request) => self.launch(request, is_over(request)),
            ToAgent::Deliver(request, ask) => return self.deliver(request, ask, asks),
            ToAgent::Forgo(request, cursor) => {
                let run = self.runs.get_mut(&request).filter(|run| run.state == RunState::AtCall(cursor));
                run.into_iter().for_each(|run| run.state = RunState::Working);
            }
            ToAgent::Freeze(request) => {
                let runs = self.runs.get(&request).is_some_and(|run| run.state != RunState::Over);
                if runs && is_over(request) {
                    self.cancel(request);
                }
            }
            ToAgent::Sync => self.send(number, ToMatcher::Synced),
            ToAgent::Acknowledge(marker) => self.send(number, ToMatcher::Acknowledged(marker)),
        }
        None
    }
}

/// How the dependency ends an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Word {
    Yes,
    NotNow,
    Failed,
    Pointless,
    Overdue,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum AskState {
    /// Its connection is open.
    Open,
    /// The network layer has ended it, and the reducer has not read of that: with this word of that ask, or, if there is
    /// none, as its connection broke.
    Ended(Option<(AskIndex, Word)>),
    Closed,
}

/// One ask: an attempt at a call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ask {
    pub request: RequestNumber,
    pub cursor: Cursor,
    pub attempt: u32,
    pub state: AskState,
    /// The replies to earlier asks, whose copies the network layer ignores.
    pub earlier: Vec<AskIndex>,
    /// The word that the dependency said about it first, and how often.
    pub word: Option<Word>,
    pub words: u8,
    /// It was cancelled before its reply was read.
    pub was_cancelled: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Gateway {
    /// How often the request was sent.
    pub sent: u8,
    /// The connection that waits for the answer.
    pub waits_on: Option<u64>,
}
