//! The fault net for datagrams, for the peer link of the fleet: a relay between a near side and a far address
//! that drops, duplicates, reorders and delays. What happens to one datagram is decided by
//! [`DatagramFaults::plan`] without I/O; [`Relay`] carries it out on a thread that sends what is due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::random::Random;

/// Datagrams held for later at most; past it they are dropped and counted.
pub const MOST_HELD: usize = 4096;
/// Bytes of a datagram at most (the largest on IPv4).
const MOST_BYTES: usize = 65_507;

/// The faults of one relay at one moment; shares are in [0, 1].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    pub drop: f64,
    pub duplicate: f64,
    /// Share of datagrams held back by `reorder_ms`, so that later ones overtake them.
    pub reorder: f64,
    pub reorder_ms: u64,
    pub delay_ms: u64,
    pub jitter_ms: u64,
    /// Nothing passes (a cut).
    pub cut: bool,
}

impl DatagramFaults {
    /// When to send each copy of one datagram, from now: none is a drop, two a duplicate. Takes four draws.
    pub fn plan(&self, draws: [f64; 4]) -> Vec<Duration> {
        if self.cut || draws[0] < self.drop {
            return Vec::new();
        }
        let mut wait = self.delay_ms + (self.jitter_ms as f64 * draws[1]) as u64;
        if draws[2] < self.reorder {
            wait += self.reorder_ms.max(1);
        }
        let once = Duration::from_millis(wait);
        if draws[3] < self.duplicate {
            // The copy comes a little later, as a copy that took another way would.
            return vec![once, once + Duration::from_millis(1)];
        }
        vec![once]
    }
}

struct Held {
    due: Instant,
    n: u64,
    bytes: Vec<u8>,
    to: SocketAddr,
}

impl PartialEq for Held {
    fn eq(&self, other: &Self) -> bool {
        (self.due, self.n) == (other.due, other.n)
    }
}
impl Eq for Held {}
impl PartialOrd for Held {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Held {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.n).cmp(&(other.due, other.n))
    }
}

/// Counts of a relay.
#[derive(Debug, Default)]
pub struct Counts {
    pub taken: AtomicU64,
    pub sent: AtomicU64,
    pub dropped: AtomicU64,
    pub overflowed: AtomicU64,
}

/// One relay: the near side sends to [`Relay::address`]; datagrams reach `far`, and what `far` sends back reaches
/// the near address that spoke last.
#[derive(Clone)]
pub struct Relay {
    pub address: SocketAddr,
    faults: Arc<Mutex<DatagramFaults>>,
    pub counts: Arc<Counts>,
}

impl Relay {
    pub fn start(far: SocketAddr, seed: u64) -> std::io::Result<Self> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        let address = socket.local_addr()?;
        socket.set_read_timeout(Some(Duration::from_millis(5)))?;
        let relay = Self { address, faults: Arc::default(), counts: Arc::default() };
        let (faults, counts) = (relay.faults.clone(), relay.counts.clone());
        thread::Builder::new().name("net-datagrams".into()).spawn(move || {
            let mut random = Random::new(seed);
            let mut held: BinaryHeap<Reverse<Held>> = BinaryHeap::new();
            let (mut near, mut n) = (None, 0u64);
            let mut bytes = vec![0; MOST_BYTES];
            loop {
                let now = Instant::now();
                while held.peek().is_some_and(|Reverse(h)| h.due <= now) {
                    let Some(Reverse(h)) = held.pop() else { break };
                    if socket.send_to(&h.bytes, h.to).is_ok() {
                        counts.sent.fetch_add(1, Ordering::Relaxed);
                    }
                }
                let Ok((len, from)) = socket.recv_from(&mut bytes) else { continue };
                counts.taken.fetch_add(1, Ordering::Relaxed);
                let to = if from == far {
                    match near {
                        Some(near) => near,
                        None => continue,
                    }
                } else {
                    near = Some(from);
                    far
                };
                let draws = [random.unit(), random.unit(), random.unit(), random.unit()];
                let plan = faults.lock().map(|f| f.plan(draws)).unwrap_or_default();
                if plan.is_empty() {
                    counts.dropped.fetch_add(1, Ordering::Relaxed);
                }
                for wait in plan {
                    if held.len() >= MOST_HELD {
                        counts.overflowed.fetch_add(1, Ordering::Relaxed);
                        continue;
                    }
                    n += 1;
                    held.push(Reverse(Held { due: now + wait, n, bytes: bytes[..len].to_vec(), to }));
                }
            }
        })?;
        Ok(relay)
    }

    pub fn set(&self, faults: DatagramFaults) {
        if let Ok(mut now) = self.faults.lock() {
            *now = faults;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_fault_plans_what_it_says() {
        let none = DatagramFaults::default();
        assert_eq!(none.plan([0.5; 4]), [Duration::ZERO]);
        assert!(DatagramFaults { drop: 0.6, ..none }.plan([0.5; 4]).is_empty());
        assert_eq!(DatagramFaults { drop: 0.4, ..none }.plan([0.5; 4]), [Duration::ZERO]);
        let twice = DatagramFaults { duplicate: 1.0, ..none }.plan([0.5; 4]);
        assert_eq!(twice, [Duration::ZERO, Duration::from_millis(1)]);
        let late = DatagramFaults { reorder: 1.0, reorder_ms: 30, delay_ms: 5, jitter_ms: 10, ..none };
        assert_eq!(late.plan([0.9, 0.5, 0.0, 0.9]), [Duration::from_millis(40)]);
        assert!(DatagramFaults { cut: true, ..none }.plan([0.9; 4]).is_empty());
    }

    #[test]
    fn a_relay_drops_duplicates_and_reorders_on_loopback() {
        let far = UdpSocket::bind("127.0.0.1:0").unwrap();
        far.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        let relay = Relay::start(far.local_addr().unwrap(), 42).unwrap();
        let near = UdpSocket::bind("127.0.0.1:0").unwrap();
        // Every second one held back 50 ms, every one doubled: 1 comes after 2, and each comes twice.
        relay.set(DatagramFaults { duplicate: 1.0, ..DatagramFaults::default() });
        near.send_to(b"1", relay.address).unwrap();
        let mut got = Vec::new();
        let mut bytes = [0; 8];
        for _ in 0..2 {
            let (len, _) = far.recv_from(&mut bytes).unwrap();
            got.push(bytes[..len].to_vec());
        }
        assert_eq!(got, [b"1".to_vec(), b"1".to_vec()]);
        relay.set(DatagramFaults { reorder: 1.0, reorder_ms: 80, ..DatagramFaults::default() });
        near.send_to(b"2", relay.address).unwrap();
        super::super::stand_in::wait_for("2 taken", || relay.counts.taken.load(Ordering::Relaxed) == 2);
        relay.set(DatagramFaults::default());
        near.send_to(b"3", relay.address).unwrap();
        let mut order = Vec::new();
        for _ in 0..2 {
            let (len, _) = far.recv_from(&mut bytes).unwrap();
            order.push(bytes[..len].to_vec());
        }
        assert_eq!(order, [b"3".to_vec(), b"2".to_vec()], "the held one is overtaken");
        // The far side's answer goes back to who spoke last.
        far.send_to(b"ack", relay.address).unwrap();
        near.set_read_timeout(Some(Duration::from_millis(300))).unwrap();
        let (len, _) = near.recv_from(&mut bytes).unwrap();
        assert_eq!(&bytes[..len], b"ack");
        relay.set(DatagramFaults { drop: 1.0, ..DatagramFaults::default() });
        near.send_to(b"4", relay.address).unwrap();
        assert!(far.recv_from(&mut bytes).is_err(), "a dropped one never comes");
        assert_eq!(relay.counts.dropped.load(Ordering::Relaxed), 1);
    }
}
