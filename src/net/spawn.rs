//! The one place where coroutines are started.

use std::sync::mpsc::RecvTimeoutError;
use std::time::{Duration, Instant};

use may::coroutine::Builder;
use may::sync::mpsc::Receiver;

/// Stack of a coroutine in machine words (64 KiB): only touched pages take memory, and nothing here keeps
/// buffers on the stack.
const STACK_WORDS: usize = 0x2000;
/// Stack of a coroutine that speaks TLS (512 KiB), of which a build without optimization touches much.
const DEEP_STACK_WORDS: usize = 0x10000;
/// Threads that run coroutines: one, and not more. May hands a coroutine that waits to whoever wakes it, and only
/// then writes to what belongs to that coroutine (its cancel data, the timer of its read). With two workers the
/// other one can have run it to its end meanwhile: the write then spoils freed memory (docs/lab.md, the crash).
///
/// May's timer thread is another one that runs coroutines: what sleeps, or waits for a message with a time, goes on
/// there. So all waits go through [`sleep`] and [`receive`], which hand the coroutine to the worker before anything
/// else. Times of sockets are the worker's own.
const WORKERS: usize = 1;
/// Stacks kept for the next coroutine; each has touched a few pages.
const POOLED: usize = 128;

/// Sets the runtime up; to be called before the first [`spawn`].
pub fn start_runtime() {
    // Pinned workers of every server on a machine would crowd its first cores.
    may::config().set_worker_pin(false);
    may::config().set_workers(WORKERS).set_stack_size(STACK_WORDS).set_pool_capacity(POOLED);
    // A longer poll wakes idle workers less often; new work wakes them at once in any case.
    may::config().set_timeout_ns(Duration::from_millis(10).as_nanos() as u64);
}

/// Waits; the coroutine goes on at the worker, whoever woke it.
pub fn sleep(wait: Duration) {
    may::coroutine::sleep(wait);
    may::coroutine::yield_now();
}

/// Waits at most `most` for what comes next; the coroutine goes on at the worker, whoever woke it.
///
/// # Errors
/// As the channel's own.
pub fn receive<T>(from: &Receiver<T>, most: Duration) -> Result<T, RecvTimeoutError> {
    let since = Instant::now();
    let received = from.recv_timeout(most);
    if received.is_err() || since.elapsed() >= most {
        may::coroutine::yield_now();
    }
    received
}

/// Starts a coroutine.
///
/// May marks its spawn unsafe for two reasons: code in a coroutine must not keep thread-local state across a
/// point where it may move to another thread, and must not overrun its stack. The coroutines of this crate
/// use no thread-local state across I/O, and keep their buffers on the heap.
pub fn spawn(work: impl FnOnce() + Send + 'static) {
    spawn_on(STACK_WORDS, work);
}

/// Starts a coroutine with room for the handshakes of TLS.
pub fn spawn_with_large_stack(work: impl FnOnce() + Send + 'static) {
    spawn_on(DEEP_STACK_WORDS, work);
}

#[allow(unsafe_code)]
fn spawn_on(stack_words: usize, work: impl FnOnce() + Send + 'static) {
    // SAFETY: as said at `spawn`; `start_runtime` came first, so that there is one worker.
    let started = unsafe { Builder::new().stack_size(stack_words).spawn(work) };
    if let Err(e) = started {
        tracing::error!("a coroutine could not be started: {e}");
    }
}
