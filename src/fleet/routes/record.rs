//! What the fleet has decided about routes: [`State`] is the state machine of the replicated log, whose entries are
//! [`Entry`]. [`State::apply`] is deterministic, and an entry that is not valid in the current state changes nothing:
//! of two operators who act at the same time, the log accepts one.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::table::{Table, TableError};
use super::{Activation, Fence, MemberIncarnation, Refusal, Turn, Version};

/// The number of tables that are kept. The oldest is dropped first, except for those that are active, were active
/// before that, or are being activated.
pub const MAX_TABLES: usize = 64;
/// The longest name of an operator in an order, in bytes.
pub const MAX_OPERATOR_NAME: usize = 256;
/// The number of activations that the history keeps.
pub const MAX_HISTORY: usize = 256;

/// A moment on the clock of the leader of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The term of the leader whose clock it is.
    pub term: u64,
    /// The moment.
    pub at: Duration,
}

/// Why an activation was aborted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AbortReason {
    /// A member refused.
    Refused(MemberIncarnation, Refusal),
    /// A member whose lease does not end in time sent no answer until the deadline.
    Silent(MemberIncarnation),
    /// An operator aborted it.
    Operator(String),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum Entry {
    /// Adds a table, by an operator.
    Propose { table: String, by: String },
    /// Begins an activation of a version.
    Prepare { version: Version, by: String },
    /// Begins an activation of the version that was active before the present one.
    Rollback { by: String },
    /// Commits the activation: members switch at this moment.
    Commit { turn: Turn, at: Stamp },
    /// Ends the activation without a switch.
    Abort { turn: Turn, why: AbortReason },
    /// Ends the activation after the moment of the switch.
    Done { turn: Turn },
}

/// The stage of an activation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Members are asked to prepare.
    Preparing,
    /// Members switch, or have switched, at this moment.
    Committed(Stamp),
}

/// An activation that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenActivation {
    /// The activation.
    pub activation: Activation,
    /// The operator who ordered it.
    pub by: String,
    /// Its stage.
    pub stage: Stage,
}

/// An activation that has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndedActivation {
    /// Its fence.
    pub fence: Fence,
    /// The operator who ordered it.
    pub by: String,
    /// Why it was aborted; `None` if it became active.
    pub aborted: Option<AbortReason>,
}

/// Why an entry changed nothing.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
#[allow(missing_docs)]
pub enum RecordError {
    #[error("the commit is stamped by the clock of the leader of term {stamped}, but this is term {term}")]
    #[diagnostic(help("no action is needed: the leader of the new term decides again"))]
    OtherTerm { stamped: u64, term: u64 },
    #[error("the activation of version {version} by {by} has not ended")]
    #[diagnostic(help("wait until it ends (`fleet routes show`), or abort it with `fleet routes abort`"))]
    Busy { version: Version, by: String },
    #[error("version {version} is unknown or no longer kept")]
    #[diagnostic(help("`fleet routes history` lists the versions; propose the table again"))]
    UnknownVersion { version: Version },
    #[error("version {version} is already active")]
    #[diagnostic(help("no action is needed, unless you meant another version"))]
    Active { version: Version },
    #[error("no version was active before this one")]
    #[diagnostic(help("activate a version by its number instead"))]
    NoEarlier,
    #[error("activation {turn} is not open")]
    #[diagnostic(help("it has ended: `fleet routes history` shows how"))]
    NotPending { turn: Turn },
    #[error("activation {turn} is already committed")]
    #[diagnostic(help("it can no longer be aborted: wait until it ends, then run `fleet routes rollback`"))]
    TooLate { turn: Turn },
    #[error("invalid table: {problem}")]
    #[diagnostic(help("correct the document, and propose it again"))]
    Table { problem: TableError },
    #[error("the operator's name has {bytes} bytes, over the limit of {MAX_OPERATOR_NAME}")]
    #[diagnostic(help("give a name of at most {MAX_OPERATOR_NAME} bytes"))]
    By { bytes: usize },
}

impl Entry {
    /// Checks that the entry is within the record's limits. This is done before it is appended to the log; entries in
    /// the log are applied by all voters in the same way.
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

/// What applying an entry did.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Applied {
    /// The table has this version, which may be that of an equal table that is already kept.
    Proposed(Version),
    /// The activation has begun, reached another stage, or ended.
    Moved(Turn),
}

/// The result of all entries applied so far.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    #[serde(with = "documents")]
    tables: BTreeMap<Version, Table>,
    last_version: Version,
    last_turn: Turn,
    active: Option<Activation>,
    before: Option<Version>,
    open: Option<OpenActivation>,
    history: VecDeque<EndedActivation>,
    /// The version that the fleet made of an experiment's winner, as long as no activation of it has begun.
    experiment_winner: Option<Version>,
}

/// Serializes tables in their canonical JSON form, because a table omits fields that are not set and so needs a format
/// that names its fields.
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
    /// Applies the next entry of the log.
    pub fn apply(&mut self, entry: &Entry) -> Result<Applied, RecordError> {
        match entry {
            Entry::Propose { table, .. } => {
                let table = Table::parse_logged(table).map_err(|problem| RecordError::Table { problem })?;
                Ok(Applied::Proposed(self.keep(table)))
            }
            Entry::Prepare { version, by } => self.begin(*version, by),
            Entry::Rollback { by } => match self.before {
                // The earlier version is only known once the open activation has ended.
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
                let open = self.open.as_ref().filter(|r| r.activation.fence.turn == *turn);
                match open.map(|r| (r.stage, r.activation)) {
                    Some((Stage::Committed(_), activation)) => {
                        self.before = self.active.map(|a| a.fence.version);
                        self.active = Some(activation);
                        // An experiment's winner was derived from the table that was active until now.
                        self.experiment_winner = None;
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
        self.drop_old_tables();
        self.last_version
    }

    /// Keeps a table that the fleet made of an experiment's winner, and marks it as to be activated. The mark is
    /// removed when an activation of it begins or another activation becomes active. Returns the version, which may be
    /// that of an equal table that is already kept.
    pub fn keep_experiment_winner(&mut self, table: Table) -> Version {
        let version = self.keep(table);
        self.experiment_winner = Some(version);
        version
    }

    /// Returns the version that [`State::keep_experiment_winner`] marked, if it is still to be activated.
    pub fn experiment_winner(&self) -> Option<Version> {
        self.experiment_winner
    }

    fn busy(&self) -> Option<RecordError> {
        let open = self.open.as_ref()?;
        Some(RecordError::Busy { version: open.activation.fence.version, by: open.by.clone() })
    }

    fn begin(&mut self, version: Version, by: &str) -> Result<Applied, RecordError> {
        if let Some(busy) = self.busy() {
            return Err(busy);
        }
        let table = self.tables.get(&version).ok_or(RecordError::UnknownVersion { version })?;
        if self.active.is_some_and(|a| a.fence.version == version) {
            return Err(RecordError::Active { version });
        }
        self.experiment_winner = self.experiment_winner.filter(|winner| *winner != version);
        self.last_turn += 1;
        let activation = Activation { fence: Fence { turn: self.last_turn, version }, hash: table.hash() };
        self.open = Some(OpenActivation { activation, by: by.into(), stage: Stage::Preparing });
        Ok(Applied::Moved(self.last_turn))
    }

    fn preparing(&mut self, turn: Turn) -> Result<&mut OpenActivation, RecordError> {
        match self.open.as_mut().filter(|r| r.activation.fence.turn == turn) {
            Some(open) if open.stage == Stage::Preparing => Ok(open),
            Some(_) => Err(RecordError::TooLate { turn }),
            None => Err(RecordError::NotPending { turn }),
        }
    }

    fn end(&mut self, aborted: Option<AbortReason>) {
        let Some(open) = self.open.take() else { return };
        self.history.push_back(EndedActivation { fence: open.activation.fence, by: open.by, aborted });
        if self.history.len() > MAX_HISTORY {
            self.history.pop_front();
        }
    }

    fn drop_old_tables(&mut self) {
        let open = self.open.as_ref().map(|r| r.activation.fence.version);
        let active = self.active.map(|a| a.fence.version);
        let kept = [open, self.before, active, self.experiment_winner, Some(self.last_version)];
        while self.tables.len() > MAX_TABLES {
            let Some(oldest) = self.tables.keys().copied().find(|v| !kept.contains(&Some(*v))) else {
                return;
            };
            self.tables.remove(&oldest);
        }
    }

    /// Returns the activation in force. While a committed activation is open, this is the one before its moment.
    pub fn active(&self) -> Option<Activation> {
        self.active
    }

    /// Returns the activation that has not ended.
    pub fn open_activation(&self) -> Option<&OpenActivation> {
        self.open.as_ref()
    }

    /// Returns the table of a version, if it is kept.
    pub fn table(&self, version: Version) -> Option<&Table> {
        self.tables.get(&version)
    }

    /// Returns the tables that are kept, oldest first.
    pub fn tables(&self) -> impl Iterator<Item = (Version, &Table)> {
        self.tables.iter().map(|(version, table)| (*version, table))
    }

    /// Returns the activations that have ended, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &EndedActivation> {
        self.history.iter()
    }
}
