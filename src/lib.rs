//! hopwalk decides, inside one server of a fleet, what that server takes, runs and turns away, and
//! carries those decisions out on sockets.
//!
//! All decisions are in [`decisions`]; the types it speaks are in [`interface`]. [`core`] owns all state and
//! turns inputs into effects; [`net`] carries the effects out; [`settings`] reads the configuration.
//! [`console`] and [`acme`] make an appliance of it; [`error_text`] words errors for operators. [`lab`] starts processes
//! of it and puts faults between them.

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
// The lab's shapes are told once, at the head of each of its modules (the history's schema above all).
#[forbid(unsafe_code)]
pub mod error_text;
#[allow(missing_docs)]
#[forbid(unsafe_code)]
pub mod lab;
pub mod net;
#[forbid(unsafe_code)]
pub mod settings;

pub use decisions::DecisionEngine;
