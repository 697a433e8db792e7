//! The coroutine runtime: its configuration, and the only functions by which this crate starts and suspends coroutines.

use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

use may::coroutine::Builder;
use may::sync::mpsc::Receiver;

/// Stack size of a coroutine in machine words (64 KiB). Only touched pages use memory, and the coroutines keep their
/// buffers on the heap.
const STACK_WORDS: usize = 0x2000;
/// Stack size of a coroutine that runs TLS (512 KiB); a build without optimization uses much of it.
const LARGE_STACK_WORDS: usize = 0x10000;
/// The number of threads that run coroutines must be one. The `may` runtime passes a suspended coroutine to the thread
/// that wakes it, and writes to data of that coroutine (its cancel data, the timer of its read) only afterwards. With
/// two workers, the other one may have run the coroutine to its end by then, and the write corrupts freed memory (see
/// docs/lab.md, the crash).
///
/// The runtime's timer thread also runs coroutines: a coroutine that sleeps, or waits for a message with a timeout, is
/// resumed there. So all such waits use [`sleep`] and [`recv_timeout`], which move the coroutine to the worker before
/// it does anything else. Socket timeouts are handled by the worker itself.
const WORKERS: usize = 1;
/// How many stacks are kept for reuse. Each has touched a few pages.
const STACK_POOL_CAPACITY: usize = 32;

/// Configures the runtime. Must be called before the first [`spawn`].
pub fn start_runtime() {
    // Pinned workers of all servers on a machine would compete for its first cores.
    may::config().set_worker_pin(false);
    may::config().set_workers(WORKERS).set_stack_size(STACK_WORDS).set_pool_capacity(STACK_POOL_CAPACITY);
    // A longer poll timeout wakes idle workers less often. New work wakes them immediately in any case.
    may::config().set_timeout_ns(Duration::from_millis(10).as_nanos() as u64);
}

/// Sleeps. The coroutine resumes on the worker thread, whichever thread woke it.
pub fn sleep(duration: Duration) {
    may::coroutine::sleep(duration);
    may::coroutine::yield_now();
}

/// Waits for the next message for at most `timeout`. The coroutine resumes on the worker thread, whichever thread woke
/// it.
///
/// # Errors
/// The channel's error.
pub fn recv_timeout<T>(receiver: &Receiver<T>, timeout: Duration) -> Result<T, RecvTimeoutError> {
    let since = Instant::now();
    let received = receiver.recv_timeout(timeout);
    if received.is_err() || since.elapsed() >= timeout {
        may::coroutine::yield_now();
    }
    received
}

/// Starts a coroutine.
///
/// The `spawn` of `may` is unsafe for two reasons: a coroutine must not rely on thread-local state across a point
/// where it may move to another thread, and it must not overflow its stack. The coroutines of this crate use
/// no thread-local state across I/O, and keep their buffers on the heap.
pub fn spawn(work: impl FnOnce() + Send + 'static) {
    spawn_with_stack(STACK_WORDS, work);
}

/// Starts a coroutine whose stack is large enough for TLS handshakes.
pub fn spawn_with_large_stack(work: impl FnOnce() + Send + 'static) {
    spawn_with_stack(LARGE_STACK_WORDS, work);
}

#[allow(unsafe_code)]
fn spawn_with_stack(stack_words: usize, work: impl FnOnce() + Send + 'static) {
    // SAFETY: see `spawn`. `start_runtime` was called before, so that there is one worker.
    let started = unsafe { Builder::new().stack_size(stack_words).spawn(work) };
    if let Err(e) = started {
        tracing::error!("cannot start a coroutine: {e}");
    }
}
