//! Fuzz targets: every parser and every state machine of hopwalk that somebody else's bytes reach.
//!
//! A target is one function over bytes that panics where a promise is broken. The fuzzer, the replay of the corpus
//! in the tests, the minimiser and the measurement of coverage all call that one function.

pub mod alloc;
pub mod targets;

pub use targets::{Target, TARGETS};
