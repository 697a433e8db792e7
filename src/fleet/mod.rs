//! The fleet: membership, replicated route tables and experiments across several matchers. Most modules hold decisions
//! that do no I/O. [`membership_thread`] carries the membership out on a UDP socket and a thread of its own, and
//! [`driver`] carries out the rest on another thread. The fleet is off unless the settings switch it on, and always off
//! in `run`, where the platform allows no communication between instances.

pub mod admin_client;
pub mod clock;
pub mod driver;
pub mod experiment;
pub mod membership;
pub mod membership_thread;
pub mod metrics;
pub mod posture;
pub mod random;
pub mod record;
pub mod routes;
pub mod routing;
pub mod state_machine;
pub mod status;
pub mod view_differences;
pub mod wire;

pub use driver::{Driver, DriverError};
pub use membership_thread::{MembershipHandle, MembershipThreadError};
