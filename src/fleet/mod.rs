//! What makes several matchers a fleet. Each part is a folder with its decisions, which do no I/O; [`link`] carries
//! them out on a socket and a thread of its own. All of it is off unless the operator's file switches it on, and off in
//! `run`: the platform allows no talk between instances.

pub mod clock;
pub mod decided;
pub mod door;
pub mod driver;
pub mod experiment;
pub mod link;
pub mod membership;
pub mod metrics;
pub mod posture;
pub mod random;
pub mod record;
pub mod routes;
pub mod routing;
pub mod status;
pub mod views;
pub mod wire;

pub use driver::{Driver, DriverError};
pub use link::{Link, LinkError};
