//! What the fleet has decided about routes: the state machine of a replicated log. [`State::apply`] is deterministic, and
//! an entry that does not fit changes nothing: so of two operators at once the log picks one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::table::{Table, TableError};
use super::{Activation, Fence, MemberIncarnation, Refusal, Turn, Version};

/// Tables that are kept; the oldest that is neither active, before that, nor on its way goes first.
pub const MAX_TABLES: usize = 64;
/// Bytes of an operator's name at most, in what is ordered.
pub const MAX_OPERATOR_NAME: usize = 256;
/// Activations that the history keeps.
pub const MAX_HISTORY: usize = 256;

/// A moment on the clock of the leader of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Whose clock.
    pub term: u64,
    /// The moment.
    pub at: Duration,
}

/// AbortReason an activation was given up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AbortReason {
    /// A member refused.
    Refused(MemberIncarnation, Refusal),
    /// A member with a lease that cannot lapse in time said nothing until the deadline.
    Silent(MemberIncarnation),
    /// An operator did not want it any more.
    Operator(String),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Entry {
    /// A new table, by an operator.
    Propose { table: String, by: String },
    /// Begin an activation of a version.
    Prepare { version: Version, by: String },
    /// Begin an activation of the version before the active one.
    Rollback { by: String },
    /// Switch at this moment.
    Commit { turn: Turn, at: Stamp },
    /// Stay.
    Abort { turn: Turn, why: AbortReason },
    /// The moment is past.
    Done { turn: Turn },
}

/// Where an activation is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Members are asked.
    Preparing,
    /// It will be, or was, at this moment.
    Committed(Stamp),
}

/// The activation on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenActivation {
    /// What.
    pub activation: Activation,
    /// Whose.
    pub by: String,
    /// How far.
    pub stage: Stage,
}

/// How an activation ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedActivation {
    /// What.
    pub fence: Fence,
    /// Whose.
    pub by: String,
    /// AbortReason not, if it did not become active.
    pub aborted: Option<AbortReason>,
}

/// AbortReason an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum RecordError {
    #[error("a moment on the clock of the leader of term {stamped}, in term {term}")]
    #[diagnostic(help("nothing is to be done: the leader of the new term decides again"))]
    OtherTerm { stamped: u64, term: u64 },
    #[error("version {version} of {by} is on its way")]
    #[diagnostic(help("wait until it ends (`fleet routes show`), or end it with `fleet routes abort`"))]
    Busy { version: Version, by: String },
    #[error("version {version} is not kept")]
    #[diagnostic(help("`fleet routes history` lists the versions; propose the table anew"))]
    UnknownVersion { version: Version },
    #[error("version {version} is active")]
    #[diagnostic(help("there is nothing to do; activate another version"))]
    Active { version: Version },
    #[error("no version was active before this one")]
    #[diagnostic(help("activate a version by its number instead"))]
    NoEarlier,
    #[error("activation {turn} is not on its way")]
    #[diagnostic(help("it has ended: `fleet routes history` says how"))]
    NotPending { turn: Turn },
    #[error("activation {turn} is committed")]
    #[diagnostic(help("it can no longer be stopped: let it end, then `fleet routes rollback`"))]
    TooLate { turn: Turn },
    #[error("no table: {problem}")]
    #[diagnostic(help("correct the document, and propose it again"))]
    Table { problem: TableError },
    #[error("the name of the operator has {bytes} bytes")]
    #[diagnostic(help("name who asks in {MAX_OPERATOR_NAME} bytes or less"))]
    By { bytes: usize },
}

impl Entry {
    /// Whether it is within the record's bounds. Asked before it comes into the log: what is in there all voters take alike.
    ///
    /// # Errors
    /// [`RecordError::By`] and [`RecordError::Table`].
    pub fn bounded(&self) -> Result<(), RecordError> {
        let by = match self {
            Self::Propose { by, .. } | Self::Prepare { by, .. } | Self::Rollback { by } => by,
            Self::Abort { why: AbortReason::Operator(by), .. } => by,
            Self::Abort { .. } | Self::Commit { .. } | Self::Done { .. } => return Ok(()),
        };
        match (by.len(), self) {
            (bytes, _) if bytes > MAX_OPERATOR_NAME => Err(RecordError::By { bytes }),
            (_, Self::Propose { table, .. }) => {
                Table::parse(table).map(drop).map_err(|problem| RecordError::Table { problem })
            }
            _ => Ok(()),
        }
    }
}

/// What an entry did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Applied {
    /// The table has this version; an equal one that is kept has it already.
    Proposed(Version),
    /// The activation is at another stage, or has ended.
    Moved(Turn),
}

/// What all entries come to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    #[serde(with = "documents")]
    tables: BTreeMap<Version, Table>,
    last_version: Version,
    last_turn: Turn,
    active: Option<Activation>,
    before: Option<Version>,
    run: Option<OpenActivation>,
    history: VecDeque<EndedActivation>,
    /// Made by the fleet itself, of an experiment's winner, and not yet begun to be activated.
    made: Option<Version>,
}

/// Tables as their canonical form, since a table leaves out what is not set and so needs a format that names its fields.
mod documents {
    use std::collections::BTreeMap;

    use serde::{de::Error, Deserialize, Deserializer, Serializer};

    use super::{Table, Version};

    pub fn serialize<S: Serializer>(tables: &BTreeMap<Version, Table>, to: S) -> Result<S::Ok, S::Error> {
        to.collect_map(tables.iter().map(|(version, table)| (version, table.canonical())))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<BTreeMap<Version, Table>, D::Error> {
        let texts = BTreeMap::<Version, String>::deserialize(from)?;
        let table = |text: String| serde_json::from_str(&text).map_err(D::Error::custom);
        texts.into_iter().map(|(version, text)| Ok((version, table(text)?))).collect()
    }
}

impl State {
    /// Takes the next entry of the log.
    pub fn apply(&mut self, entry: &Entry) -> Result<Applied, RecordError> {
        match entry {
            Entry::Propose { table, .. } => {
                let table = Table::parse_logged(table).map_err(|problem| RecordError::Table { problem })?;
                Ok(Applied::Proposed(self.keep(table)))
            }
            Entry::Prepare { version, by } => self.begin(*version, by),
            Entry::Rollback { by } => match self.before {
                // Which one is the earlier is only known once the one on its way has ended.
                Some(version) => self.begin(version, by),
                None => Err(self.busy().unwrap_or(RecordError::NoEarlier)),
            },
            Entry::Commit { turn, at } => {
                self.preparing(*turn)?.stage = Stage::Committed(*at);
                Ok(Applied::Moved(*turn))
            }
            Entry::Abort { turn, why } => {
                self.preparing(*turn)?;
                self.end(Some(why.clone()));
                Ok(Applied::Moved(*turn))
            }
            Entry::Done { turn } => {
                let run = self.run.as_ref().filter(|r| r.activation.fence.turn == *turn);
                match run.map(|r| (r.stage, r.activation)) {
                    Some((Stage::Committed(_), activation)) => {
                        self.before = self.active.map(|a| a.fence.version);
                        self.active = Some(activation);
                        // Whatever became active is later than what an experiment wanted of the table before.
                        self.made = None;
                        self.end(None);
                        Ok(Applied::Moved(*turn))
                    }
                    _ => Err(RecordError::NotPending { turn: *turn }),
                }
            }
        }
    }

    fn keep(&mut self, table: Table) -> Version {
        if let Some((version, _)) = self.tables.iter().find(|(_, t)| **t == table) {
            return *version;
        }
        self.last_version += 1;
        self.tables.insert(self.last_version, table);
        self.thin();
        self.last_version
    }

    /// Keeps a table that the fleet made of an experiment's winner, and marks it as to be activated: until an activation
    /// of it begins, or any other ends with its table active. An equal one that is kept has its version already.
    pub fn keep_experiment_winner(&mut self, table: Table) -> Version {
        let version = self.keep(table);
        self.made = Some(version);
        version
    }

    /// What [`State::make`] marked, and is still to be activated.
    pub fn experiment_winner(&self) -> Option<Version> {
        self.made
    }

    fn busy(&self) -> Option<RecordError> {
        let run = self.run.as_ref()?;
        Some(RecordError::Busy { version: run.activation.fence.version, by: run.by.clone() })
    }

    fn begin(&mut self, version: Version, by: &str) -> Result<Applied, RecordError> {
        if let Some(busy) = self.busy() {
            return Err(busy);
        }
        let table = self.tables.get(&version).ok_or(RecordError::UnknownVersion { version })?;
        if self.active.is_some_and(|a| a.fence.version == version) {
            return Err(RecordError::Active { version });
        }
        self.made = self.made.filter(|made| *made != version);
        self.last_turn += 1;
        let activation = Activation { fence: Fence { turn: self.last_turn, version }, hash: table.hash() };
        self.run = Some(OpenActivation { activation, by: by.into(), stage: Stage::Preparing });
        Ok(Applied::Moved(self.last_turn))
    }

    fn preparing(&mut self, turn: Turn) -> Result<&mut OpenActivation, RecordError> {
        match self.run.as_mut().filter(|r| r.activation.fence.turn == turn) {
            Some(run) if run.stage == Stage::Preparing => Ok(run),
            Some(_) => Err(RecordError::TooLate { turn }),
            None => Err(RecordError::NotPending { turn }),
        }
    }

    fn end(&mut self, aborted: Option<AbortReason>) {
        let Some(run) = self.run.take() else { return };
        self.history.push_back(EndedActivation { fence: run.activation.fence, by: run.by, aborted });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn thin(&mut self) {
        let run = self.run.as_ref().map(|r| r.activation.fence.version);
        let active = self.active.map(|a| a.fence.version);
        let kept = [run, self.before, active, self.made, Some(self.last_version)];
        while self.tables.len() > MAX_TABLES {
            let Some(oldest) = self.tables.keys().copied().find(|v| !kept.contains(&Some(*v))) else {
                return;
            };
            self.tables.remove(&oldest);
        }
    }

    /// What is in force; while a committed run is open, until its moment.
    pub fn active(&self) -> Option<Activation> {
        self.active
    }

    /// What is on its way.
    pub fn open_activation(&self) -> Option<&OpenActivation> {
        self.run.as_ref()
    }

    /// A table by its version.
    pub fn table(&self, version: Version) -> Option<&Table> {
        self.tables.get(&version)
    }

    /// The tables that are kept, oldest first.
    pub fn tables(&self) -> impl Iterator<Item = (Version, &Table)> {
        self.tables.iter().map(|(version, table)| (*version, table))
    }

    /// How activations ended, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &EndedActivation> {
        self.history.iter()
    }
}
