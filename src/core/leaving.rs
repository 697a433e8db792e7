//! The end of the process: nothing new after the grace, and all that was read is answered.

use std::time::Duration;

use super::types::*;
use super::{Core, Timer};
use crate::interface::{Event, Settings};

/// Time that closing the connections may take, between the end of the grace and the kill.
const CLOSE_TIME: Duration = Duration::from_millis(800);

/// A signal may be read so late, on a machine that is short of processor time, or a tenth of the grace where that is less:
/// the grace counts from when it was sent.
const SIGNAL_DELAY: Duration = Duration::from_millis(100);

/// How long after the notice is read new requests are still run, where they are so long after it is sent.
fn grace_from_reading(grace: Duration) -> Duration {
    grace.saturating_sub(SIGNAL_DELAY.min(grace / 10))
}

/// The settings as they hold for the module, which counts the grace itself.
pub(super) fn with_grace_from_reading(settings: Settings) -> Settings {
    Settings { drain_grace: grace_from_reading(settings.drain_grace), ..settings }
}

impl Core {
    pub(super) fn drain(&mut self, now: Duration) {
        if self.drain.replace(now).is_some() {
            return;
        }
        if self.partner.yields {
            // No notice to leave the fleet: another process serves on. What is here ends, the rest is passed on.
            self.grace_over = true;
            self.arm(now + self.stop_after.saturating_sub(CLOSE_TIME), Timer::DrainGrace);
            self.effects.push(Effect::Yield);
            return self.events.push_back(Event::Retire { stop_at: now + self.stop_after });
        }
        let grace = grace_from_reading(self.site.settings.drain_grace);
        let grace = grace.min(self.stop_after.saturating_sub(CLOSE_TIME));
        self.arm(now + grace, Timer::DrainGrace);
        self.effects.push(Effect::Draining);
        self.events.push_back(Event::Retire { stop_at: now + self.stop_after });
    }

    /// Leaves once the grace is over and all that was read is answered.
    pub(super) fn leave_when_done(&mut self) {
        if self.grace_over && self.open == 0 && !std::mem::replace(&mut self.left, true) {
            self.effects.push(Effect::Leave);
        }
    }
}
