//! How long links live that an agent ends by itself.

use std::time::Duration;

use crate::lab::random::Random;

/// So many links in a row are of one kind.
const SERIES: u64 = 6;
/// The shortest lifetime of a link that outlives its greeting, and the longest of a short one.
const SHORTEST: Duration = Duration::from_millis(2);
const LONGEST_SHORT: Duration = Duration::from_millis(12);

/// The lifetimes of links, in series of one kind: links that end right after the greeting, short ones, ones of any length, and
/// long ones, in which work gets done.
#[derive(Clone, Copy, Debug)]
pub struct Lifetimes {
    /// The longest.
    pub most: Duration,
    /// What they are drawn from.
    pub seed: u64,
}

impl Lifetimes {
    /// The lifetime of the link of this number.
    pub fn of(&self, link_number: u64) -> Duration {
        let kind = self.draw(link_number / SERIES, 1).next_u64() % 4;
        let share = self.draw(link_number, 2).unit();
        let between = |least: Duration, most: Duration| least + most.saturating_sub(least).mul_f64(share);
        match kind {
            0 => Duration::ZERO,
            1 => between(SHORTEST, LONGEST_SHORT.min(self.most)),
            2 => between(SHORTEST, self.most),
            _ => between(self.most / 2, self.most),
        }
    }

    fn draw(&self, number: u64, of: u64) -> Random {
        Random::new(self.seed ^ number.wrapping_mul(0x9e37_79b9).wrapping_add(of << 48))
    }
}
