//! The simulated network: streams and datagrams between hosts, on the simulation's clock, each delivery drawn from the seed.
//!
//! A stream never loses or reorders its bytes, as TCP does not: a segment that the weather loses comes later by a
//! retransmission, and one on a way that is cut comes when the way is open again. Datagrams are lost, doubled and overtake
//! each other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;
use std::io::{Error, ErrorKind, Result};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::Waker;

use tokio::sync::oneshot;

use super::stream::{Accepting, ReadHalf, WriteHalf};
use crate::fleet::wire::net::{Halves, IoFuture, Listener, Net};
use crate::lab::random::Random;

/// The shortest way, in microseconds: no less than a tick, so that what is sent in a tick arrives in a later one.
pub const LEAST_US: u64 = 1_000;
/// By how much longer it takes, evenly.
const MORE_US: u64 = 2_000;
/// By how much longer late ones take.
const LATE_US: u64 = 40_000;
/// After so long a segment that was lost is sent again.
const AGAIN_US: u64 = 200_000;
/// After so long a connection is asked for again, so often.
const SYN_US: (u64, u32) = (1_000_000, 3);
/// Bytes of a stream that are on the way or not read yet.
pub(super) const WINDOW: usize = 64 << 10;

/// A member's number.
pub type Host = usize;

/// What a play does to the network.
#[derive(Clone, Debug, Default)]
pub struct Weather {
    /// Share of segments and datagrams that are lost.
    pub loss: f64,
    /// Share of them that are late.
    pub late: f64,
    /// Ways on which nothing passes.
    pub cut: BTreeSet<(Host, Host)>,
    /// Hosts without power: nothing comes to them or from them, not even that their streams end.
    pub off: BTreeSet<Host>,
    /// Services that refuse connections.
    pub refuse: BTreeSet<SocketAddr>,
}

pub(super) enum Segment {
    Bytes(Vec<u8>),
    Fin,
}

/// One direction of a stream; the other one has this number with the last bit turned.
pub(super) struct Pipe {
    pub from: Host,
    pub to: Host,
    pub arrived: VecDeque<u8>,
    pub held: usize,
    way: VecDeque<(u64, Segment)>,
    pub reader: Option<Waker>,
    pub writer: Option<Waker>,
    pub ended: bool,
    pub reset: bool,
    pub reader_gone: bool,
    pub writer_gone: bool,
}

type Answer = oneshot::Sender<Result<Halves>>;

enum What {
    Pipe(u64),
    Reset(u64),
    Syn { from: Host, at: SocketAddr, answer: Answer, tries: u32 },
    SynAck { halves: Result<Halves>, answer: Answer },
    Datagram { to: Host, bytes: Vec<u8> },
}

pub(super) struct Listening {
    host: Host,
    pub queue: VecDeque<Halves>,
    pub waker: Option<Waker>,
}

pub(super) struct Inner {
    now: u64,
    random: Random,
    events: BTreeMap<(u64, u64), (Host, Host, What)>,
    number: u64,
    pub pipes: BTreeMap<u64, Pipe>,
    next_pipe: u64,
    pub listeners: BTreeMap<SocketAddr, Listening>,
    inbox: Vec<Vec<Vec<u8>>>,
    weather: Weather,
    digest: u64,
    delivered: u64,
    tamper: Option<fn(&mut Vec<u8>)>,
}

/// The network of one play; clones share it.
#[derive(Clone)]
pub struct Network(Arc<Mutex<Inner>>);

/// Where a member's voter listens.
pub fn address(host: Host) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new([10, 0, (host >> 8) as u8, host as u8].into(), 7_947))
}

/// A service that route tables name; it takes all connections.
pub fn service(n: u8) -> SocketAddr {
    SocketAddr::V4(SocketAddrV4::new([10, 9, 0, n].into(), 80))
}

fn is_service(at: SocketAddr) -> bool {
    matches!(at, SocketAddr::V4(at) if at.ip().octets()[1] == 9)
}

/// The host of an address; a service's is none of the members'.
fn host(at: SocketAddr) -> Host {
    match at {
        SocketAddr::V4(v4) if !is_service(at) => {
            let [_, _, high, low] = v4.ip().octets();
            usize::from(high) << 8 | usize::from(low)
        }
        _ => Host::MAX,
    }
}

/// FNV-1a over numbers.
pub fn mix(digest: u64, number: u64) -> u64 {
    number.to_le_bytes().iter().fold(digest, |d, byte| (d ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

impl Inner {
    fn cut(&self, from: Host, to: Host) -> bool {
        self.weather.cut.contains(&(from, to))
            || self.weather.off.contains(&from)
            || self.weather.off.contains(&to)
    }

    fn delay(&mut self) -> u64 {
        let late = self.random.unit() < self.weather.late;
        let more = if late { LATE_US } else { MORE_US };
        LEAST_US + (self.random.unit() * more as f64) as u64
    }

    fn lost(&mut self) -> bool {
        self.random.unit() < self.weather.loss
    }

    fn push(&mut self, at: u64, from: Host, to: Host, what: What) {
        self.number += 1;
        self.events.insert((at, self.number), (from, to, what));
    }

    /// Puts a segment on the way of a pipe.
    pub fn send(&mut self, id: u64, segment: Segment) {
        let mut at = self.now + self.delay();
        while self.lost() {
            at += AGAIN_US;
        }
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        let (from, to) = (pipe.from, pipe.to);
        let at = at.max(pipe.way.back().map_or(0, |(last, _)| *last));
        let mut segment = segment;
        if let Segment::Bytes(bytes) = &mut segment {
            pipe.held += bytes.len();
            if let Some(tamper) = self.tamper {
                tamper(bytes);
            }
        }
        pipe.way.push_back((at, segment));
        self.push(at, from, to, What::Pipe(id));
    }

    /// Tells the writer of a pipe that nobody reads.
    pub fn refuse(&mut self, id: u64) {
        let at = self.now + self.delay();
        if let Some((from, to)) = self.pipes.get(&id).map(|pipe| (pipe.to, pipe.from)) {
            self.push(at, from, to, What::Reset(id));
        }
    }

    /// A host without power says nothing at its end.
    pub fn off(&self, host: Host) -> bool {
        self.weather.off.contains(&host)
    }

    /// Takes what has come on a pipe; wakers to wake.
    fn arrive(&mut self, id: u64) {
        let now = self.now;
        let Some(pipe) = self.pipes.get_mut(&id) else { return };
        while pipe.way.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, segment)) = pipe.way.pop_front() else { break };
            match segment {
                Segment::Bytes(bytes) => pipe.arrived.extend(bytes),
                Segment::Fin => pipe.ended = true,
            }
        }
        if let Some(waker) = pipe.reader.take() {
            waker.wake();
        }
        let (gone, ended) = (pipe.reader_gone, pipe.ended);
        if gone && ended {
            self.pipes.remove(&id);
        } else if gone {
            self.refuse(id);
        }
    }

    /// The two ends of a new stream.
    fn stream(&mut self, network: &Network, client: Host, server: Host) -> (Halves, Halves) {
        let id = self.next_pipe;
        self.next_pipe += 2;
        for (id, from, to) in [(id, client, server), (id + 1, server, client)] {
            let pipe = Pipe {
                from,
                to,
                arrived: VecDeque::new(),
                held: 0,
                way: VecDeque::new(),
                reader: None,
                writer: None,
                ended: false,
                reset: false,
                reader_gone: false,
                writer_gone: false,
            };
            self.pipes.insert(id, pipe);
        }
        let end = |read: u64, write: u64| -> Halves {
            (Box::new(ReadHalf::new(network, read)), Box::new(WriteHalf::new(network, write)))
        };
        (end(id + 1, id), end(id, id + 1))
    }
}

impl Network {
    /// Of `hosts` members.
    pub fn new(hosts: usize, seed: u64) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            now: 0,
            random: Random::new(seed),
            events: BTreeMap::new(),
            number: 0,
            pipes: BTreeMap::new(),
            next_pipe: 0,
            listeners: BTreeMap::new(),
            inbox: vec![Vec::new(); hosts],
            weather: Weather::default(),
            digest: 0xcbf2_9ce4_8422_2325,
            delivered: 0,
            tamper: None,
        })))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the weather.
    pub fn weather(&self, change: impl FnOnce(&mut Weather)) {
        change(&mut self.lock().weather);
    }

    /// Has each segment changed before it goes out: a fault that is planted.
    pub fn tamper(&self, tamper: fn(&mut Vec<u8>)) {
        self.lock().tamper = Some(tamper);
    }

    /// Adds something that a member saw to the digest of all events.
    pub fn saw(&self, number: u64) {
        let mut inner = self.lock();
        inner.digest = mix(inner.digest, number);
    }

    /// The digest of all events so far, and how many were delivered.
    pub fn digest(&self) -> (u64, u64) {
        let inner = self.lock();
        (inner.digest, inner.delivered)
    }

    /// Sends a datagram; lost, doubled and late by the weather.
    pub fn datagram(&self, from: Host, to: Host, bytes: Vec<u8>) {
        let mut inner = self.lock();
        // One in fifty of those that may be lost comes twice.
        let doubled = inner.weather.loss > 0.0 && inner.random.unit() < 0.02;
        for _ in 0..1 + u32::from(doubled) {
            let at = inner.now + inner.delay();
            if !inner.lost() {
                inner.push(at, from, to, What::Datagram { to, bytes: bytes.clone() });
            }
        }
    }

    /// The datagrams that came to a host.
    pub fn inbox(&self, host: Host) -> Vec<Vec<u8>> {
        std::mem::take(&mut self.lock().inbox[host])
    }

    /// Delivers all that comes up to `now`, in microseconds.
    pub fn play(&self, now: u64) {
        loop {
            let mut inner = self.lock();
            inner.now = now;
            let Some(entry) = inner.events.first_entry().filter(|entry| entry.key().0 <= now) else { return };
            let ((at, _), (from, to, what)) = entry.remove_entry();
            let cut = inner.cut(from, to);
            inner.delivered += 1;
            let kind = match &what {
                What::Pipe(id) => id << 3,
                What::Reset(id) => id << 3 | 1,
                What::Syn { .. } => 2,
                What::SynAck { .. } => 3,
                What::Datagram { bytes, .. } => (bytes.len() as u64) << 3 | 4,
            };
            inner.digest = mix(mix(mix(inner.digest, at), (from as u64) << 32 ^ to as u64), kind);
            match what {
                What::Datagram { .. } if cut => {}
                What::Datagram { to, bytes } => inner.inbox[to].push(bytes),
                What::Syn { from, at, answer, tries } if cut => {
                    if tries > 0 {
                        let syn = What::Syn { from, at, answer, tries: tries - 1 };
                        inner.push(now + SYN_US.0, from, to, syn);
                    }
                }
                // It is sent again until the way is open.
                what if cut => inner.push(now + AGAIN_US, from, to, what),
                What::Pipe(id) => inner.arrive(id),
                What::Reset(id) => {
                    for id in [id, id ^ 1] {
                        if let Some(pipe) = inner.pipes.get_mut(&id) {
                            pipe.reset = true;
                            [pipe.reader.take(), pipe.writer.take()]
                                .into_iter()
                                .flatten()
                                .for_each(Waker::wake);
                            if pipe.reader_gone && pipe.writer_gone {
                                inner.pipes.remove(&id);
                            }
                        }
                    }
                }
                What::Syn { from, at, answer, .. } => {
                    let back = now + inner.delay();
                    let halves = if is_service(at) {
                        match inner.weather.refuse.contains(&at) {
                            true => Err(Error::from(ErrorKind::ConnectionRefused)),
                            false => {
                                Ok((Box::new(tokio::io::empty()) as _, Box::new(tokio::io::sink()) as _))
                            }
                        }
                    } else if inner.listeners.get(&at).is_some_and(|l| l.host == to) {
                        let (client, server) = inner.stream(self, from, to);
                        if let Some(listening) = inner.listeners.get_mut(&at) {
                            listening.queue.push_back(server);
                            listening.waker.take().into_iter().for_each(Waker::wake);
                        }
                        Ok(client)
                    } else {
                        Err(Error::from(ErrorKind::ConnectionRefused))
                    };
                    inner.push(back, to, from, What::SynAck { halves, answer });
                }
                What::SynAck { halves, answer } => {
                    drop(inner);
                    // Who waits no more drops the halves, which lock the network.
                    drop(answer.send(halves));
                }
            }
        }
    }

    /// Forgets all that is on the way: streams hold the network that holds them.
    pub fn close(&self) {
        let (events, listeners) = {
            let mut inner = self.lock();
            (std::mem::take(&mut inner.events), std::mem::take(&mut inner.listeners))
        };
        drop((events, listeners));
    }

    /// The network as one member has it.
    pub fn of(&self, host: Host) -> Port {
        Port { network: self.clone(), host }
    }
}

impl fmt::Debug for Network {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Network").finish_non_exhaustive()
    }
}

/// One member's way to the network.
#[derive(Clone, Debug)]
pub struct Port {
    network: Network,
    host: Host,
}

impl Net for Port {
    fn connect(&self, to: SocketAddr) -> IoFuture<'_, Halves> {
        Box::pin(async move {
            let (answer, answered) = oneshot::channel();
            {
                let mut inner = self.network.lock();
                let at = inner.now + inner.delay();
                let syn = What::Syn { from: self.host, at: to, answer, tries: SYN_US.1 };
                inner.push(at, self.host, host(to), syn);
            }
            answered.await.map_err(|_| Error::from(ErrorKind::TimedOut))?
        })
    }

    fn listen(&self, at: SocketAddr) -> IoFuture<'_, Box<dyn Listener>> {
        Box::pin(async move {
            let mut inner = self.network.lock();
            if inner.listeners.contains_key(&at) {
                return Err(ErrorKind::AddrInUse.into());
            }
            let listening = Listening { host: self.host, queue: VecDeque::new(), waker: None };
            inner.listeners.insert(at, listening);
            Ok(Box::new(Accepting::new(&self.network, at)) as Box<dyn Listener>)
        })
    }
}
