//! The errors of the adapter: failed I/O and invalid input lines.

use std::io;

use hopwalk::interface::SettingsError;
use hopwalk::settings::ConfigError;
use miette::Diagnostic;
use thiserror::Error;

/// Why the adapter exits.
#[derive(Debug, Error, Diagnostic)]
pub enum AdapterError {
    #[error("standard input: {0}")]
    #[diagnostic(help("write lines of UTF-8 to standard input, and close it at the end"))]
    Input(io::Error),
    #[error("standard output: {0}")]
    #[diagnostic(help("read everything that the adapter writes until it exits"))]
    Output(io::Error),
    #[error("batch line '{text}': {source}")]
    #[diagnostic(forward(source))]
    InvalidMark { text: String, source: WireError },
    #[error("line '{text}' is outside of a batch")]
    #[diagnostic(help("start each batch with a line `mark at_time_us=... round=...`"))]
    OutsideBatch { text: String },
    #[error("batch {round}: {source}")]
    #[diagnostic(forward(source))]
    InvalidLine { round: String, source: WireError },
}

/// Why a line is invalid; `event` is its first word.
#[derive(Clone, Debug, PartialEq, Error, Diagnostic)]
pub enum WireError {
    #[error("{event}: '{rest}' is not a name=value pair")]
    #[diagnostic(help(
        "separate pairs by one space, and use no spaces within values except that of options"
    ))]
    NoPair { event: String, rest: String },
    #[error("{event}: field {key} cannot be read from '{text}'")]
    #[diagnostic(help(
        "write ids, counts and microseconds as whole numbers in digits, and flags as 0 or 1"
    ))]
    Unreadable { event: String, key: String, text: String },
    #[error("{event}: field {key} is missing")]
    #[diagnostic(help("add the pair: this event requires it"))]
    Missing { event: String, key: String },
    #[error("{event}: field {key} is not a finite number")]
    #[diagnostic(help("write a decimal number, not inf or nan"))]
    NotFinite { event: String, key: String },
    #[error("{event}: field rc has the unknown outcome '{text}'")]
    #[diagnostic(help(
        "use one of these outcomes: done, err, busy, etimedout, econnrefused, econnreset, ecanceled, skipped"
    ))]
    Outcome { event: String, text: String },
    #[error("{event}: field gauge cannot be read at '{part}'")]
    #[diagnostic(help("write gauges as name:number, separated by commas"))]
    Gauge { event: String, part: String },
    #[error("{event}: field options is invalid: {source}")]
    #[diagnostic(forward(source))]
    Options { event: String, source: ConfigError },
    #[error("options: {0}")]
    #[diagnostic(help(
        "name at least one core and one class, and give all figures as numbers of zero or more"
    ))]
    Settings(SettingsError),
}
