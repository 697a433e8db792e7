//! hopwalk decides, inside one server of a fleet, what that server takes, runs and turns away, and
//! carries those decisions out on sockets.
//!
//! All decisions are in [`brain`]; the types it speaks are in [`interface`]. [`core`] owns all state and
//! turns inputs into effects; [`net`] carries the effects out; [`settings`] reads the configuration.
//! [`console`] and [`acme`] make an appliance of it.

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

#[forbid(unsafe_code)]
pub mod acme;
#[forbid(unsafe_code)]
pub mod brain;
#[forbid(unsafe_code)]
pub mod console;
#[forbid(unsafe_code)]
pub mod core;
#[forbid(unsafe_code)]
pub mod interface;
#[forbid(unsafe_code)]
pub mod json;
pub mod net;
#[forbid(unsafe_code)]
pub mod settings;

pub use brain::Brain;
