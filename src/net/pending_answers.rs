//! Answers of the reducer that other threads and coroutines wait for, each under a ticket.

use std::collections::HashMap;
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval at which a coroutine polls for its answer.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

#[derive(Debug)]
struct Tickets<T> {
    last: u64,
    waiting: HashMap<u64, Sender<T>>,
}

/// The pending answers of one kind.
#[derive(Debug)]
pub(super) struct PendingAnswers<T>(Mutex<Tickets<T>>);

impl<T> Default for PendingAnswers<T> {
    fn default() -> Self {
        Self(Mutex::new(Tickets { last: 0, waiting: HashMap::new() }))
    }
}

impl<T> PendingAnswers<T> {
    fn tickets(&self) -> MutexGuard<'_, Tickets<T>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Issues a ticket. Returns it with the channel on which its answer arrives.
    pub(super) fn issue(&self) -> (u64, Receiver<T>) {
        let (sender, receiver) = channel();
        let mut tickets = self.tickets();
        tickets.last += 1;
        let ticket = tickets.last;
        tickets.waiting.insert(ticket, sender);
        (ticket, receiver)
    }

    /// Gives the answer to whoever waits under this ticket.
    pub(super) fn answer(&self, ticket: u64, answer: T) {
        if let Some(sender) = self.tickets().waiting.remove(&ticket) {
            let _ = sender.send(answer);
        }
    }

    /// Drops a ticket whose answer is no longer awaited.
    pub(super) fn forget(&self, ticket: u64) {
        self.tickets().waiting.remove(&ticket);
    }

    /// Waits for an answer for at most `timeout`. Must be called from a coroutine.
    pub(super) fn wait(&self, ticket: u64, answer: &Receiver<T>, timeout: Duration) -> Option<T> {
        let since = Instant::now();
        let received = loop {
            match answer.try_recv() {
                Ok(received) => break Some(received),
                Err(TryRecvError::Disconnected) => break None,
                Err(TryRecvError::Empty) if since.elapsed() >= timeout => break None,
                Err(TryRecvError::Empty) => super::spawn::sleep(POLL_INTERVAL),
            }
        };
        self.forget(ticket);
        received
    }
}
