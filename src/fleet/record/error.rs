//! Errors of the record, each with a help text for operators: [`RecordError`] from opening it, [`SubmitError`] from
//! submitting an entry and [`ConfirmError`] from confirming the leadership.

use std::io::ErrorKind;
use std::path::PathBuf;
use std::time::Duration;

use miette::Diagnostic;
use thiserror::Error;

use super::MAX_ENTRY_BYTES;

/// Why a voter cannot open or join the record. No other record is created in its place.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum RecordError {
    /// The number of voters is not 3 or 5, or 1 in a test.
    #[error("{count} different voters are named; 1, 3 or 5 are supported, each named once")]
    #[diagnostic(help("name 3 or 5 voters in `fleet.routes.voters`, or 1 for a test, each name once"))]
    Voters {
        /// The number of different names.
        count: usize,
    },
    /// This member is not one of the voters.
    #[error("{name} is not among the voters")]
    #[diagnostic(help("only voters keep a record: leave out `fleet.routes.folder` here, or add the member to `fleet.routes.voters` of all"))]
    NotAVoter {
        /// The name of this member.
        name: String,
    },
    /// The heartbeat interval and the election timeouts do not fit together.
    #[error("a heartbeat interval of {} ms with election timeouts of {} to {} ms is not supported", heartbeat.as_millis(), min.as_millis(), max.as_millis())]
    #[diagnostic(help("make the shortest election timeout at least 2 heartbeats and the longest one longer than that: 100 ms with 400 to 800 ms is the default"))]
    Timing {
        /// The heartbeat interval.
        heartbeat: Duration,
        /// The shortest election timeout.
        min: Duration,
        /// The longest election timeout.
        max: Duration,
    },
    /// The operator's folder cannot be used.
    #[error("cannot use the folder {}: {kind}", folder.display())]
    #[diagnostic(help("check that the disk is mounted; for a new voter, create an empty folder that this program may write to"))]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The kind of the system's error.
        kind: ErrorKind,
    },
    /// Another process has the store open.
    #[error("{} is in use by another process", file.display())]
    #[diagnostic(help(
        "wait until the predecessor of this process has exited, or give each matcher a folder of its own"
    ))]
    InUse {
        /// The file of the store.
        file: PathBuf,
    },
    /// The store or its mark is truncated, overwritten, missing or another file.
    #[error("{} is corrupt: {reason}", file.display())]
    #[diagnostic(help("while a majority of the voters runs without this one: check the disk, stop this matcher, move all files out of the folder, start it, and have it admitted with `hopwalk fleet record admit NAME --admin ADDR`; never restore a copy"))]
    Corrupt {
        /// The corrupt file.
        file: PathBuf,
        /// What is wrong with it.
        reason: String,
    },
    /// The store is valid, but older than what this voter has acknowledged to other voters.
    #[error("{} ends with write {found}, but write {acknowledged} may have been acknowledged to other voters", file.display())]
    #[diagnostic(help("the store lost its last writes or is an old copy. While a majority of the voters runs without this one: check the disk, stop this matcher, move all files out of the folder, start it, and have it admitted with `hopwalk fleet record admit NAME --admin ADDR`"))]
    Behind {
        /// The file of the store.
        file: PathBuf,
        /// The number of the last write in the store.
        found: u64,
        /// The number of the last write that may have been acknowledged.
        acknowledged: u64,
    },
    /// The store belongs to another fleet or voter.
    #[error("{} belongs to {name} of fleet {fleet}", file.display())]
    #[diagnostic(help(
        "correct `fleet.routes.folder` or the member's name; each voter has a folder of its own"
    ))]
    Foreign {
        /// The file of the store.
        file: PathBuf,
        /// The name of the fleet that it belongs to.
        fleet: String,
        /// The name of the voter that it belongs to.
        name: String,
    },
    /// The store was written by another version of the program, in a format that this one does not read.
    #[error("{} has the unknown format {found}", file.display())]
    #[diagnostic(help("run the version of hopwalk that wrote it"))]
    Format {
        /// The file of the store.
        file: PathBuf,
        /// The number of its format.
        found: u64,
    },
    /// Reading or writing failed for another reason.
    #[error("cannot read or write {}: {kind}", file.display())]
    #[diagnostic(help(
        "check that the disk has free space and no faults, and that this program may write to it; then restart it"
    ))]
    Io {
        /// The file.
        file: PathBuf,
        /// The kind of the system's error.
        kind: ErrorKind,
    },
    /// The store is new, but the fleet's record has another store of this voter: this one does not vote.
    #[error("{name} has a new store, but the fleet's record has another store of this voter: the new one does not vote")]
    #[diagnostic(help("if the folder was lost or emptied: `hopwalk fleet record admit {name} --admin ADDR`; otherwise put the right folder in place"))]
    NotAdmitted {
        /// This voter's name.
        name: String,
    },
    /// The settings of two voters name different voters: no record can begin.
    #[error("the settings of {name} name other voters than those of this member")]
    #[diagnostic(help("give all voters the same `fleet.routes.voters`"))]
    VotersDiffer {
        /// The other voter.
        name: String,
    },
    /// The record has stopped.
    #[error("the record has stopped")]
    #[diagnostic(help("the log shows the cause, such as a full disk: remove it and restart this matcher"))]
    Stopped,
}

/// Why an entry is not known to be committed.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum SubmitError {
    /// This member is not the leader. The entry was not submitted.
    #[error("this member is not the leader")]
    #[diagnostic(help("repeat this at the leader: `hopwalk fleet status` names it"))]
    NotLeader {
        /// The leader, if this member knows it.
        leader: Option<String>,
    },
    /// The entry is too long. It was not submitted.
    #[error("the entry has {bytes} bytes; at most {MAX_ENTRY_BYTES} are allowed")]
    #[diagnostic(help("shorten the table or its names"))]
    TooLong {
        /// The length of the entry.
        bytes: usize,
    },
    /// Too many entries are waiting. This one was not submitted.
    #[error("too many entries are waiting for a majority")]
    #[diagnostic(help("check that a majority of the voters runs, and repeat it then"))]
    Busy,
    /// No majority of the voters responds. The entry was not submitted.
    #[error("no majority of the voters responds")]
    #[diagnostic(help(
        "`hopwalk fleet status` shows the voters that respond: a majority of them is needed"
    ))]
    NoMajority,
    /// The wait timed out: the entry may still take effect, or not.
    #[error("no majority accepted the entry within {} ms", timeout.as_millis())]
    #[diagnostic(help("the entry may still take effect: check the state before you repeat it"))]
    OutcomeUnknown {
        /// The timeout.
        timeout: Duration,
    },
    /// The record has stopped.
    #[error("the record has stopped")]
    #[diagnostic(help("the log of this matcher shows the cause: remove it and restart this matcher"))]
    Stopped,
}

/// Why a leader could not confirm that it leads.
#[derive(Clone, Debug, PartialEq, Eq, Error, Diagnostic)]
pub enum ConfirmError {
    /// This member is not the leader, or the term changed during the check.
    #[error("this member is not the leader")]
    #[diagnostic(help("repeat this at the leader: `hopwalk fleet status` names it"))]
    NotLeader {
        /// The leader, if this member knows it.
        leader: Option<String>,
    },
    /// No majority of the voters responded in time.
    #[error("no majority of the voters responds")]
    #[diagnostic(help(
        "`hopwalk fleet status` shows the voters that respond: a majority of them is needed"
    ))]
    NoMajority,
    /// The record has stopped.
    #[error("the record has stopped")]
    #[diagnostic(help("the log of this matcher shows the cause: remove it and restart this matcher"))]
    Stopped,
}
