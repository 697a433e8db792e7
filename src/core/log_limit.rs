//! A limit on log lines that peers can cause at any rate.

/// How many lines of one kind are logged in a period.
const MAX_LINES: u64 = 20;

/// Counts the lines of one kind in the current period.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogLimit {
    lines: u64,
}

impl LogLimit {
    /// Counts a line; returns whether it may be logged.
    pub(super) fn admit(&mut self) -> bool {
        self.lines += 1;
        self.lines <= MAX_LINES
    }

    /// Begins a period. Returns how many lines the last one left out.
    pub(super) fn begin_period(&mut self) -> u64 {
        std::mem::take(&mut self.lines).saturating_sub(MAX_LINES)
    }
}
