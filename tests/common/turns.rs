//! Turns for tests that each start a lab: processes, relays and hundreds of threads that keep times of milliseconds.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// Labs that run now.
static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// A lab's place, given up when it is dropped.
pub struct Turn(());

/// Labs that may run side by side. One of five matchers takes four tenths of a core in a build without optimization, and
/// several times that while it starts and ends; the load tools of all of them share one thread.
pub fn most() -> usize {
    let cores = std::thread::available_parallelism().map_or(2, usize::from);
    (cores / 4).max(2)
}

fn running() -> MutexGuard<'static, usize> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Turn {
    /// Waits for a place.
    pub fn take() -> Self {
        let mut running =
            ENDED.wait_while(running(), |n| *n >= most()).unwrap_or_else(PoisonError::into_inner);
        *running += 1;
        Self(())
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        *running() -= 1;
        ENDED.notify_one();
    }
}
