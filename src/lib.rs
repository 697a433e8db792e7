//! hopwalk is a matchmaking server, a member of a fleet, with admission control: under overload it decides which
//! requests it accepts, runs and refuses, and it applies these decisions to its connections.
//!
//! - [`decisions`] makes all admission decisions; [`interface`] defines its input and output types.
//! - [`core`] owns the server's state and is a reducer: it turns inputs into effects.
//! - [`net`] does the I/O: it feeds inputs to the reducer and carries out its effects.
//! - [`settings`] reads the configuration, [`json`] parses documents, and [`error_text`] formats errors for operators.
//! - [`fleet`] implements membership, the replicated record, routes and experiments of a fleet of servers.
//! - [`console`] and [`acme`] add a local console and automatic certificates for small sites.
//! - [`lab`] starts server processes and injects faults between them, for tests and measurements.

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

#[forbid(unsafe_code)]
pub mod acme;
#[forbid(unsafe_code)]
pub mod console;
#[forbid(unsafe_code)]
pub mod core;
#[forbid(unsafe_code)]
pub mod decisions;
pub mod fleet;
#[forbid(unsafe_code)]
pub mod interface;
#[forbid(unsafe_code)]
pub mod json;
// The lab's types are documented at the head of each of its modules, such as the schema of the history.
#[forbid(unsafe_code)]
pub mod error_text;
#[allow(missing_docs)]
#[forbid(unsafe_code)]
pub mod lab;
pub mod net;
#[forbid(unsafe_code)]
pub mod settings;

pub use decisions::DecisionEngine;
