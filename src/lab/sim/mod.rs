//! One deterministic simulation of the whole fleet: the code of the program itself, on a clock, a network and disks that are
//! played from a seed. `docs/simulation.md` weighs the ways.
//!
//! - [`plan`]: what happens, drawn from a seed.
//! - [`fleet`]: a play of it, tick by tick; [`machine`]: one member.
//! - [`net`], [`disk`]: what a member finds around it.
//! - [`judge`]: the rules, looked at after each tick.
//! - [`membership`]: the membership alone, at any size.

pub mod command;
pub mod disk;
pub mod fleet;
pub mod judge;
pub mod machine;
pub mod membership;
pub mod net;
pub mod plan;
mod stream;

pub use fleet::{play, Outcome};
pub use membership::{mean_and_p99, measure, Figures, Fleet, MOST_MEMBERS};
pub use plan::{Event, Plan, Plant};

/// Drops events from a plan while the play still breaks the same rule: halves first, then smaller parts, then single ones.
/// Returns the shorter plan, and how often it was played.
pub fn shrink(plan: &Plan, mut fails: impl FnMut(&Plan) -> bool) -> (Plan, usize) {
    let (mut plan, mut plays) = (plan.clone(), 0);
    let mut size = plan.events.len().div_ceil(2);
    while size > 0 {
        let (mut at, mut shorter) = (0, false);
        while at < plan.events.len() {
            let mut without = plan.clone();
            without.events.drain(at..(at + size).min(plan.events.len()));
            plays += 1;
            if fails(&without) {
                (plan, shorter) = (without, true);
            } else {
                at += size;
            }
        }
        // Single ones until none can go.
        size = match (size, shorter) {
            (1, true) => 1,
            (1, false) => 0,
            _ => size.div_ceil(2),
        };
    }
    (plan, plays)
}
