//! The fault net for datagrams, for the peer link of the fleet: relays between all pairs of members that drop,
//! duplicate, reorder and delay, each way of a pair on its own. What happens to one datagram is decided by
//! [`DatagramFaults::plan`] without I/O; [`PeerNet`] carries it out on a thread for each member.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::random::Random;

/// Datagrams held for later at most; past it they are dropped and counted.
pub const MOST_HELD: usize = 4096;
/// Bytes of a datagram at most (the largest on IPv4).
const MOST_BYTES: usize = 65_507;

/// The port of members and relays; their addresses differ.
const MEMBER_PORT: u16 = 7_946;
/// How long a relay waits for a datagram before it looks whether the net was closed.
const LOOK: Duration = Duration::from_millis(20);

/// The faults of one way between two members at one moment; shares are in [0, 1].
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
    from: usize,
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

/// Counts of a net.
#[derive(Debug, Default)]
pub struct Counts {
    pub taken: AtomicU64,
    pub dropped: AtomicU64,
}

/// Relays between all pairs of members: each member is known to the others by its relay's address, and every datagram
/// between two passes both ends' relays, with the faults of that pair and way.
#[derive(Clone)]
pub struct PeerNet {
    /// The relays' addresses, one for each member.
    pub addresses: Vec<SocketAddrV4>,
    /// The members' own addresses.
    pub members: Vec<SocketAddrV4>,
    faults: Arc<Mutex<Vec<Vec<DatagramFaults>>>>,
    pub counts: Arc<Counts>,
    closed: Arc<AtomicBool>,
}

/// Nets of this process so far: each has addresses of its own on the loopback.
static NETS: AtomicU64 = AtomicU64::new(0);

impl PeerNet {
    pub fn start(members: usize, seed: u64) -> std::io::Result<Self> {
        // 127.A.B.x: A and B differ between nets and, by the process number, between labs that run side by side.
        let net = u64::from(std::process::id()) * 64 + NETS.fetch_add(1, Ordering::Relaxed);
        let (a, b) = (16 + (net / 256 % 200) as u8, (net % 256) as u8);
        let own = |m: usize| SocketAddrV4::new([127, a, b, 1 + m as u8].into(), MEMBER_PORT);
        let relay = |m: usize| SocketAddrV4::new([127, a, b, 101 + m as u8].into(), MEMBER_PORT);
        let sockets: Vec<UdpSocket> =
            (0..members).map(|m| UdpSocket::bind(relay(m))).collect::<Result<_, _>>()?;
        let net = Self {
            addresses: (0..members).map(relay).collect(),
            members: (0..members).map(own).collect(),
            faults: Arc::new(Mutex::new(vec![vec![DatagramFaults::default(); members]; members])),
            counts: Arc::default(),
            closed: Arc::default(),
        };
        let sockets = Arc::new(sockets);
        for to in 0..members {
            let (net, sockets) = (net.clone(), sockets.clone());
            let random = Random::new(seed ^ (to as u64) << 32);
            thread::Builder::new()
                .name(format!("net-peer-{to}"))
                .spawn(move || net.relay(to, &sockets, random))?;
        }
        Ok(net)
    }

    /// Puts other faults in force on what `from` sends to `to`.
    pub fn set(&self, from: usize, to: usize, faults: DatagramFaults) {
        if let Ok(mut all) = self.faults.lock() {
            if let Some(one) = all.get_mut(from).and_then(|row| row.get_mut(to)) {
                *one = faults;
            }
        }
    }

    /// Ends the relays.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
    }

    /// Takes what is sent to `to`'s relay, and hands it on from the sender's relay, so that the sender is known by it.
    fn relay(&self, to: usize, sockets: &[UdpSocket], mut random: Random) {
        let mut held: BinaryHeap<Reverse<Held>> = BinaryHeap::new();
        let (mut n, mut bytes) = (0u64, vec![0; MOST_BYTES]);
        while !self.closed.load(Ordering::Relaxed) {
            let now = Instant::now();
            while held.peek().is_some_and(|Reverse(h)| h.due <= now) {
                let Some(Reverse(h)) = held.pop() else { break };
                // To a member that is dead it is lost, as it would be without a relay.
                let _ = sockets[h.from].send_to(&h.bytes, self.members[to]);
            }
            let wait = held.peek().map_or(LOOK, |Reverse(h)| h.due.saturating_duration_since(now));
            let _ = sockets[to].set_read_timeout(Some(wait.clamp(Duration::from_micros(100), LOOK)));
            let Ok((len, source)) = sockets[to].recv_from(&mut bytes) else { continue };
            self.counts.taken.fetch_add(1, Ordering::Relaxed);
            let from = self.members.iter().position(|m| SocketAddr::V4(*m) == source);
            // Of nobody in this net.
            let Some(from) = from else { continue };
            let draws = [random.unit(), random.unit(), random.unit(), random.unit()];
            let plan = self.faults.lock().map(|f| f[from][to].plan(draws)).unwrap_or_default();
            if plan.is_empty() || held.len() >= MOST_HELD {
                self.counts.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            for wait in plan {
                n += 1;
                held.push(Reverse(Held {
                    due: Instant::now() + wait,
                    n,
                    bytes: bytes[..len].to_vec(),
                    from,
                }));
            }
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
    fn a_net_drops_duplicates_and_reorders_one_way_and_leaves_the_other_alone() {
        let net = PeerNet::start(2, 42).unwrap();
        let (a, b) = (UdpSocket::bind(net.members[0]).unwrap(), UdpSocket::bind(net.members[1]).unwrap());
        for socket in [&a, &b] {
            socket.set_read_timeout(Some(Duration::from_millis(400))).unwrap();
        }
        let got = |socket: &UdpSocket| {
            let mut bytes = [0; 8];
            let (len, from) = socket.recv_from(&mut bytes).unwrap();
            (bytes[..len].to_vec(), from)
        };
        let none = DatagramFaults::default();
        net.set(0, 1, DatagramFaults { duplicate: 1.0, ..none });
        a.send_to(b"1", net.addresses[1]).unwrap();
        // Each comes from the relay by which its sender is known.
        let from_a = (b"1".to_vec(), SocketAddr::V4(net.addresses[0]));
        assert_eq!([got(&b), got(&b)], [from_a.clone(), from_a]);
        net.set(0, 1, DatagramFaults { reorder: 1.0, reorder_ms: 80, ..none });
        a.send_to(b"2", net.addresses[1]).unwrap();
        super::super::stand_in::wait_for("2 taken", || net.counts.taken.load(Ordering::Relaxed) == 2);
        net.set(0, 1, none);
        a.send_to(b"3", net.addresses[1]).unwrap();
        assert_eq!([got(&b).0, got(&b).0], [b"3".to_vec(), b"2".to_vec()], "the held one is overtaken");
        net.set(0, 1, DatagramFaults { cut: true, ..none });
        a.send_to(b"4", net.addresses[1]).unwrap();
        b.send_to(b"5", net.addresses[0]).unwrap();
        assert_eq!(got(&a).0, b"5", "the way back is open");
        assert!(b.recv_from(&mut [0; 8]).is_err(), "a dropped one never comes");
        assert_eq!(net.counts.dropped.load(Ordering::Relaxed), 1);
        net.close();
    }
}
