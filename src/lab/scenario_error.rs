//! What can be wrong with a scenario, at which key.

use miette::Diagnostic;
use thiserror::Error;

use super::scenario::{MOST_FAULTS, MOST_MATCHERS, MOST_RATE, MOST_SECONDS};
use crate::json::JsonError;

/// What is wrong with a scenario. `key` is the faulty key with those above it, such as `faults[2].link`.
#[derive(Clone, Debug, Error, Diagnostic, PartialEq, Eq)]
pub enum ScenarioError {
    #[error("the scenario: {0}")]
    #[diagnostic(help("mend the file there; `hopwalk lab scenario` prints one that can be read"))]
    Json(#[from] JsonError),
    #[error("the scenario is no object")]
    #[diagnostic(help("put the whole file in braces; `hopwalk lab scenario` prints an example"))]
    NoScenario,
    #[error("{key}: is no object")]
    #[diagnostic(help("give names and values within braces here"))]
    NoObject { key: String },
    #[error("{key}: is no number of zero or more")]
    #[diagnostic(help("give a number without quotes and without a minus"))]
    NoNumber { key: String },
    #[error("{key}: is missing")]
    #[diagnostic(help("add the key: nothing can be taken in its place"))]
    Missing { key: String },
    #[error("{key}: is missing or no string")]
    #[diagnostic(help("add the key, its value within quotes"))]
    NoText { key: String },
    #[error("{key}: is no list")]
    #[diagnostic(help("give the names of processes within square brackets, such as [\"m1\", \"vault\"]"))]
    NoList { key: String },
    #[error("{key}: holds what is no name")]
    #[diagnostic(help("put each name in the list within quotes"))]
    NoName { key: String },
    #[error("{key}: is a share, at most 1")]
    #[diagnostic(help("give a part from 0 to 1, such as 0.3 for 30 per cent"))]
    Share { key: String },
    #[error("seed: is no string of hexadecimal digits")]
    #[diagnostic(help("give up to 16 of the digits 0 to 9 and a to f within quotes, such as \"1f\""))]
    Seed,
    #[error("seconds: must be over 0 and at most {MOST_SECONDS}")]
    #[diagnostic(help("shorten the run, or play it several times with other seeds"))]
    Seconds,
    #[error("matchers: must be 1 to {MOST_MATCHERS}")]
    #[diagnostic(help("play fewer matchers: all of them share one machine"))]
    Matchers,
    #[error("load.rate: must be over 0, and with its burst at most {MOST_RATE} a second")]
    #[diagnostic(help("lower load.rate or load.burst.times: their product is what counts"))]
    Rate,
    #[error("faults: is no list of at most {MOST_FAULTS}")]
    #[diagnostic(help(
        "list the faults within square brackets, and split a longer list into several scenarios"
    ))]
    Faults,
    #[error("direct: callers that bypass the net cannot have faults on their links")]
    #[diagnostic(help("take `direct` out, or the faults on links whose names begin with `callers`"))]
    Direct,
    #[error("faults[{fault}].kind: datagrams pass only between members of a `fleet`")]
    #[diagnostic(help("add \"fleet\": {{}} to the scenario, or take this fault out"))]
    NoFleet {
        /// Its place in the list.
        fault: usize,
    },
    #[error("{key}: `{link}` is no link of this lab")]
    #[diagnostic(help("links are callers-m1, m1-agent and m1-vault, and so for each of the `matchers`"))]
    NoLink { key: String, link: String },
    #[error("{key}: `{name}` is no matcher of this lab")]
    #[diagnostic(help("name one of m1, m2 and so on, or raise `matchers`"))]
    NoMatcher { key: String, name: String },
    #[error("{key}: `{kind}` is not known")]
    #[diagnostic(help(
        "docs/lab.md lists the kinds of faults: delay, stall, throttle, half_close, cut, reset, \
         partition, datagrams, pause, kill, stop, system, clock, hangup"
    ))]
    Kind { key: String, kind: String },
    #[error("{key}: `{name}` is no signal of a stop")]
    #[diagnostic(help("name TERM, INT, HUP or USR1"))]
    Signal { key: String, name: String },
    #[error("{key}: TERM is not among them")]
    #[diagnostic(help("list TERM once at the least: the kill counts from the first one"))]
    NoNotice { key: String },
    /// A process stands on both sides of a partition.
    #[error("{at}b: `{process}` is in `a` too, and cannot be cut off from itself")]
    #[diagnostic(help("name each process in one of the two sets only"))]
    BothSides {
        /// The fault, as `faults[N].`.
        at: String,
        /// Who is named twice.
        process: String,
    },
}
