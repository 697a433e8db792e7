//! The source of random numbers for the fleet's code: the operating system, or in a simulation a seeded generator for
//! each thread, so that a run can be repeated.

use std::cell::Cell;
use std::future::Future;
use std::time::Duration;

use openraft::{AsyncRuntime, OptionalSend, TokioRuntime};
use rand_core_of_openraft::{Error, RngCore};

thread_local! {
    static STATE: Cell<Option<u64>> = const { Cell::new(None) };
}

/// Replaces the state of this thread's generator and returns the previous state, so that several simulated members can
/// take turns on one thread. Without a state the thread uses the system's random numbers.
pub fn replace_state(state: Option<u64>) -> Option<u64> {
    STATE.replace(state)
}

/// The next number of this thread's generator (SplitMix64; Steele, Lea and Flood, 2014); none if it has no state.
fn next() -> Option<u64> {
    let state = STATE.get()?.wrapping_add(0x9e37_79b9_7f4a_7c15);
    STATE.set(Some(state));
    let mut z = state;
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    Some(z ^ (z >> 31))
}

/// An unpredictable number; none if the system's source fails. In a simulation it comes from the seeded generator.
pub fn number() -> Option<u64> {
    next().or_else(|| {
        let bytes = ring::rand::generate::<[u8; 8]>(&ring::rand::SystemRandom::new());
        Some(u64::from_be_bytes(bytes.ok()?.expose()))
    })
}

/// The random numbers of `openraft`, which it uses for election timeouts.
#[derive(Debug)]
pub struct OpenraftRandom(<TokioRuntime as AsyncRuntime>::ThreadLocalRng);

impl RngCore for OpenraftRandom {
    fn next_u32(&mut self) -> u32 {
        next().map_or_else(|| self.0.next_u32(), |n| (n >> 32) as u32)
    }

    fn next_u64(&mut self) -> u64 {
        next().unwrap_or_else(|| self.0.next_u64())
    }

    fn fill_bytes(&mut self, bytes: &mut [u8]) {
        for chunk in bytes.chunks_mut(8) {
            chunk.copy_from_slice(&self.next_u64().to_le_bytes()[..chunk.len()]);
        }
    }

    fn try_fill_bytes(&mut self, bytes: &mut [u8]) -> Result<(), Error> {
        self.fill_bytes(bytes);
        Ok(())
    }
}

type TokioSender<T> = <TokioRuntime as AsyncRuntime>::OneshotSender<T>;

/// `openraft`'s runtime: tokio, with [`OpenraftRandom`].
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Runtime;

impl AsyncRuntime for Runtime {
    type JoinError = <TokioRuntime as AsyncRuntime>::JoinError;
    type JoinHandle<T: OptionalSend + 'static> = <TokioRuntime as AsyncRuntime>::JoinHandle<T>;
    type Sleep = <TokioRuntime as AsyncRuntime>::Sleep;
    type Instant = <TokioRuntime as AsyncRuntime>::Instant;
    type TimeoutError = <TokioRuntime as AsyncRuntime>::TimeoutError;
    type Timeout<R, T: Future<Output = R> + OptionalSend> = <TokioRuntime as AsyncRuntime>::Timeout<R, T>;
    type ThreadLocalRng = OpenraftRandom;
    type OneshotSender<T: OptionalSend> = TokioSender<T>;
    type OneshotReceiver<T: OptionalSend> = <TokioRuntime as AsyncRuntime>::OneshotReceiver<T>;
    type OneshotReceiverError = <TokioRuntime as AsyncRuntime>::OneshotReceiverError;

    fn spawn<T>(future: T) -> Self::JoinHandle<T::Output>
    where
        T: Future + OptionalSend + 'static,
        T::Output: OptionalSend + 'static,
    {
        TokioRuntime::spawn(future)
    }

    fn sleep(duration: Duration) -> Self::Sleep {
        TokioRuntime::sleep(duration)
    }

    fn sleep_until(deadline: Self::Instant) -> Self::Sleep {
        TokioRuntime::sleep_until(deadline)
    }

    fn timeout<R, F: Future<Output = R> + OptionalSend>(
        duration: Duration,
        future: F,
    ) -> Self::Timeout<R, F> {
        TokioRuntime::timeout(duration, future)
    }

    fn timeout_at<R, F: Future<Output = R> + OptionalSend>(
        deadline: Self::Instant,
        future: F,
    ) -> Self::Timeout<R, F> {
        TokioRuntime::timeout_at(deadline, future)
    }

    fn is_panic(join_error: &Self::JoinError) -> bool {
        TokioRuntime::is_panic(join_error)
    }

    fn thread_rng() -> OpenraftRandom {
        OpenraftRandom(TokioRuntime::thread_rng())
    }

    fn oneshot<T>() -> (Self::OneshotSender<T>, Self::OneshotReceiver<T>)
    where
        T: OptionalSend,
    {
        TokioRuntime::oneshot()
    }
}
