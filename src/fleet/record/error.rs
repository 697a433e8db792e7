//! What can be wrong with the record, and what an operator can do about it.

use std::io::ErrorKind;
use std::path::PathBuf;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;

use super::MOST_ENTRY;

/// Why a voter has no record. Nothing is invented in its place.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum RecordError {
    /// A fleet has 3 or 5 voters, or 1 in a test.
    #[error("{count} voters")]
    #[diagnostic(help("name 3 or 5 voters in `fleet.routes.voters`, or 1 for a test, each name once"))]
    Voters {
        /// How many different names there are.
        count: usize,
    },
    /// This member is none of them.
    #[error("{name} is not among the voters")]
    #[diagnostic(help("only voters keep a record: leave out `fleet.routes.folder` here, or add the member to `fleet.routes.voters` of all"))]
    NotAVoter {
        /// Its name.
        name: String,
    },
    /// Heartbeats and elections that do not go together.
    #[error("a heartbeat of {} ms with elections of {} to {} ms", heartbeat.as_millis(), min.as_millis(), max.as_millis())]
    #[diagnostic(help("let elections begin after at least 2 heartbeats, and differ: 100 ms with 400 to 800 ms is the default"))]
    Timing {
        /// Between heartbeats.
        heartbeat: Duration,
        /// The shortest wait.
        min: Duration,
        /// The longest wait.
        max: Duration,
    },
    /// The operator's folder cannot be used.
    #[error("the folder {}: {kind}", folder.display())]
    #[diagnostic(help("see that the disk is mounted; a new voter's folder is made by hand, empty, and writable by this program"))]
    Folder {
        /// Which.
        folder: PathBuf,
        /// What the system says.
        kind: ErrorKind,
    },
    /// Another process has the store.
    #[error("{} is held by another process", file.display())]
    #[diagnostic(help(
        "wait until the process before this one has ended, or give each matcher a folder of its own"
    ))]
    InUse {
        /// Which file.
        file: PathBuf,
    },
    /// The store is truncated, overwritten or no store.
    #[error("{} is spoilt: {reason}", file.display())]
    #[diagnostic(help("while a majority of the other voters runs: check the disk, stop this matcher, move all files out of the folder, start it, and have it admitted by `hopwalk fleet record admit NAME --admin ADDR`; never put back a copy"))]
    Corrupt {
        /// Which file.
        file: PathBuf,
        /// How it shows.
        reason: String,
    },
    /// The store is whole, but older than what this voter promised others on it.
    #[error("{} has write {found}, and write {acknowledged} was promised to others", file.display())]
    #[diagnostic(help("it lost its last writes, or is an old copy. While a majority of the other voters runs: check the disk, stop this matcher, move all files out of the folder, start it, and have it admitted by `hopwalk fleet record admit NAME --admin ADDR`"))]
    Behind {
        /// Which file.
        file: PathBuf,
        /// The last write that is there.
        found: u64,
        /// The last write that was promised.
        acknowledged: u64,
    },
    /// The store of another fleet or voter.
    #[error("{} belongs to {name} of fleet {fleet}", file.display())]
    #[diagnostic(help(
        "correct `fleet.routes.folder` or the member's name; each voter has a folder of its own"
    ))]
    Foreign {
        /// Which file.
        file: PathBuf,
        /// Whose fleet's.
        fleet: String,
        /// Whose.
        name: String,
    },
    /// A store of another version of the program.
    #[error("{} has format {found}", file.display())]
    #[diagnostic(help("run the version of hopwalk that wrote it"))]
    Format {
        /// Which file.
        file: PathBuf,
        /// Its format.
        found: u64,
    },
    /// Reading or writing failed otherwise.
    #[error("{}: {kind}", file.display())]
    #[diagnostic(help(
        "see that the disk has room and is sound, and that this program may write there; then restart it"
    ))]
    Io {
        /// Which file.
        file: PathBuf,
        /// What the system says.
        kind: ErrorKind,
    },
    /// A store that is new beside a fleet that has a record: it does not vote.
    #[error("{name} has a new store, and the fleet knows another one of it: it does not vote")]
    #[diagnostic(help("if its folder was lost or emptied: `hopwalk fleet record admit {name} --admin ADDR`; else put the right folder in place"))]
    NotAdmitted {
        /// This voter's name.
        name: String,
    },
    /// Voters do not name the same voters: no record begins.
    #[error("the settings of {name} name other voters than those of this member")]
    #[diagnostic(help("give all voters the same `fleet.routes.voters`"))]
    VotersDiffer {
        /// Whose settings.
        name: String,
    },
    /// The record has stopped.
    #[error("the record has stopped")]
    #[diagnostic(help("the log tells why, such as a full disk: put it right, and restart this matcher"))]
    Stopped,
}

/// Why an entry is not known to be in the log.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum SubmitError {
    /// Another one leads: nothing happened.
    #[error("this member does not lead")]
    #[diagnostic(help("ask the leader: `hopwalk fleet status` names it"))]
    NotLeader {
        /// Who leads, as far as is known here.
        leader: Option<String>,
    },
    /// Over the bound: nothing happened.
    #[error("an entry of {bytes} bytes, over {MOST_ENTRY}")]
    #[diagnostic(help("shorten the table or its names"))]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// Too many wait: nothing happened.
    #[error("too many entries wait for a majority")]
    #[diagnostic(help("see that a majority of the voters runs, and repeat it then"))]
    Busy,
    /// No majority answers: nothing happened.
    #[error("no majority of the voters answers")]
    #[diagnostic(help(
        "`hopwalk fleet status` shows the voters that are heard: a majority of them is needed"
    ))]
    NoMajority,
    /// It may yet be in the log, or not.
    #[error("no majority took the entry in {} ms", timeout.as_millis())]
    #[diagnostic(help("it may take effect yet: look at the state before you repeat it"))]
    OutcomeUnknown {
        /// How long was waited.
        timeout: Duration,
    },
    /// The record has stopped.
    #[error("the record has stopped")]
    #[diagnostic(help("the log of this matcher tells why: put it right, and restart it"))]
    Stopped,
}

/// Why no majority is known to have answered.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum ConfirmError {
    /// Another one leads, or the term changed on the way.
    #[error("this member does not lead")]
    #[diagnostic(help("ask the leader: `hopwalk fleet status` names it"))]
    NotLeader {
        /// Who leads, as far as is known here.
        leader: Option<String>,
    },
    /// Too few answered in time.
    #[error("no majority of the voters answers")]
    #[diagnostic(help(
        "`hopwalk fleet status` shows the voters that are heard: a majority of them is needed"
    ))]
    NoMajority,
    /// The record has stopped.
    #[error("the record has stopped")]
    #[diagnostic(help("the log of this matcher tells why: put it right, and restart it"))]
    Stopped,
}
