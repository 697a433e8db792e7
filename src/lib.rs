//! hopwalk decides, inside one server of a fleet, what that server takes, runs and turns away.
//!
//! All decisions are in [`brain`]; the types it speaks are in [`interface`].

#[cfg(doctest)]
#[doc = include_str!("../README.md")]
struct Readme;

pub mod brain;
pub mod interface;

pub use brain::Brain;
