//! Plays of a lab that are void are played again: what was seen in one is as much the machine's doing as the program's.

use std::cell::Cell;
use std::panic::{catch_unwind, resume_unwind, AssertUnwindSafe};
use std::sync::atomic::Ordering;

use hopwalk::lab::check::{Verdict, VOID_ECHO_MS};
use hopwalk::lab::echo::LongestEcho;

/// How often a test is played again whose play was void.
const PLAYED_AGAIN: usize = 2;
/// Rules whose breaks no machine excuses.
const TOLD_WELL: [&str; 4] = ["changed", "double", "run_twice", "refused_after_run"];

thread_local! {
    /// The test's last play failed, and was void.
    static WAS_VOID: Cell<bool> = const { Cell::new(false) };
}

/// Notes at the end of a play that fails whether it was void.
pub struct Watch {
    echo: LongestEcho,
    /// The play broke a rule that no machine excuses.
    broke: bool,
}

impl Watch {
    /// Watches the load tool of a lab.
    pub fn new(echo: LongestEcho) -> Self {
        Self { echo, broke: false }
    }

    /// What the play is judged by, before that is asserted.
    pub fn judge(&mut self, verdict: &Verdict, broken_routes: u64) {
        self.broke |= broken_routes > 0 || TOLD_WELL.iter().any(|rule| verdict.counts[rule] > 0);
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let longest_ms = self.echo.load(Ordering::Relaxed);
            WAS_VOID.set(longest_ms >= VOID_ECHO_MS && !self.broke);
            eprintln!("the load tool's own probe took up to {longest_ms} ms");
        }
    }
}

/// Runs a test, and again while it fails in a void play, a bounded number of times: it passes only by a play that passes.
pub fn play_again_if_void(test: impl Fn()) {
    for played in 0.. {
        WAS_VOID.set(false);
        match catch_unwind(AssertUnwindSafe(&test)) {
            Ok(()) => return,
            Err(_) if WAS_VOID.get() && played < PLAYED_AGAIN => eprintln!("void: it is played again"),
            Err(failure) => resume_unwind(failure),
        }
    }
}
