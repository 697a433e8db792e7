//! Stand-ins for the services below that route tables name: they speak the vault's protocol with the fence word, and
//! record each call with the version it came under.
//!
//! `ask ID MS LEN` or `ask ID MS LEN TURN.VERSION`, then a body; the reply is `ID yes LEN` and a body, or a word alone.
//! An ask without a fence counts as turn 0. A service takes a newer turn at once and answers `ID stale` to an older one,
//! which then has no effect. Services that share a [`Group`] share the highest turn, as services on one store do.

use std::io::{self, BufRead, BufReader, IoSliceMut, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use nix::sys::socket::sockopt::ReceiveTimestampns;
use nix::sys::socket::{recvmsg, setsockopt, ControlMessageOwned, MsgFlags};
use nix::sys::time::TimeSpec;

use super::history::{Event, Recorder};
use super::random::Random;

/// The longest body that is taken, in bytes.
const MOST_BODY: usize = 1 << 20;

/// The highest turn that any service of a group has taken.
#[derive(Clone, Debug, Default)]
pub struct Group(Arc<Mutex<u64>>);

impl Group {
    /// Takes a call under `turn`, unless a newer one was taken. `then` is told the outcome before another call is taken,
    /// so that what it records is in the order of the decisions.
    pub fn take(&self, turn: u64, then: impl FnOnce(bool)) -> bool {
        let mut highest = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = turn >= *highest;
        *highest = (*highest).max(turn);
        then(taken);
        taken
    }
}

/// How a service answers from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quality {
    /// Each answer comes this much later, in milliseconds.
    pub delay_ms: u64,
    /// And up to this much more.
    pub jitter_ms: u64,
    /// Share of calls answered with `failed`, from 0 to 1.
    pub failed: f64,
}

/// One service below.
#[derive(Clone)]
pub struct Service {
    name: Arc<str>,
    address: SocketAddr,
    group: Group,
    quality: Arc<Mutex<Quality>>,
    refuses: Arc<AtomicBool>,
    random: Arc<Mutex<Random>>,
    history: Option<Recorder>,
}

impl Service {
    /// Listens on an address of its own.
    ///
    /// # Errors
    /// What the system says to the listener or its thread.
    pub fn start(name: &str, group: &Group, seed: u64, history: Option<Recorder>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let service = Self {
            name: name.into(),
            address: listener.local_addr()?,
            group: group.clone(),
            quality: Arc::default(),
            refuses: Arc::default(),
            random: Arc::new(Mutex::new(Random::new(seed))),
            history,
        };
        service.accept(listener)?;
        Ok(service)
    }

    /// Its name, as the history calls it.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers otherwise from the next call on.
    pub fn set(&self, quality: Quality) {
        *self.quality.lock().unwrap_or_else(PoisonError::into_inner) = quality;
    }

    /// Refuses new connections, until [`Service::listen`].
    pub fn refuse(&self) {
        self.refuses.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts, which then closes the listener.
        let _ = TcpStream::connect(self.address);
    }

    /// Takes connections again, at the same address.
    ///
    /// # Errors
    /// What the system says to the listener or its thread.
    pub fn listen(&self) -> io::Result<()> {
        if self.refuses.swap(false, Ordering::SeqCst) {
            self.accept(TcpListener::bind(self.address)?)?;
        }
        Ok(())
    }

    fn accept(&self, listener: TcpListener) -> io::Result<()> {
        let service = self.clone();
        thread::Builder::new().name(format!("service-{}", self.name)).spawn(move || {
            for stream in listener.incoming().flatten() {
                if service.refuses.load(Ordering::SeqCst) {
                    return;
                }
                let service = service.clone();
                // What is wrong with a stream ends it, as it would at a real service.
                let serve = move || drop(service.serve(stream));
                let _ = thread::Builder::new().stack_size(128 << 10).spawn(serve);
            }
        })?;
        Ok(())
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        // Where the system has no stamps, calls are timed as they are read.
        let _ = setsockopt(&stream, ReceiveTimestampns, &true);
        let (mut reads, mut writes) =
            (BufReader::new(Stamped { stream: stream.try_clone()?, came: None }), stream);
        let mut line = String::new();
        while reads.read_line(&mut line)? > 0 {
            let Some(ask) = Ask::read(line.trim_end()) else { return Ok(()) };
            let mut body = vec![0; ask.len + 2];
            reads.read_exact(&mut body)?;
            body.truncate(ask.len);
            // The moment a call begins here: the system has its bytes. This thread may run much later.
            let came = reads.get_ref().came;
            let t_us = self.history.as_ref().map_or(0, |h| came.map_or(h.now_us(), |at| h.at_unix(at)));
            let taken = self.group.take(ask.turn, |taken| self.record(&ask, &body, taken, t_us));
            let quality = *self.quality.lock().unwrap_or_else(PoisonError::into_inner);
            let (draw, noise) = {
                let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
                (random.unit(), random.unit())
            };
            thread::sleep(Duration::from_millis(
                quality.delay_ms + (quality.jitter_ms as f64 * noise) as u64,
            ));
            let reply = match taken {
                false => format!("{} stale\r\n", ask.id).into_bytes(),
                true if draw < quality.failed => format!("{} failed\r\n", ask.id).into_bytes(),
                true => {
                    let reply = [b"reply:", &body[..]].concat();
                    let head = format!("{} yes {}\r\n", ask.id, reply.len());
                    [head.as_bytes(), &reply, b"\r\n"].concat()
                }
            };
            writes.write_all(&reply)?;
            line.clear();
        }
        Ok(())
    }

    fn record(&self, ask: &Ask, body: &[u8], taken: bool, t_us: u64) {
        let Some(history) = &self.history else { return };
        let head = String::from_utf8_lossy(&body[..body.len().min(96)]);
        let mut words = head.split(' ');
        let key = if words.next() == Some("lab") { words.nth(1).unwrap_or_default() } else { "" };
        history.record(Event::Call {
            service: self.name.to_string(),
            id: ask.id.clone(),
            key: key.to_string(),
            turn: ask.turn,
            version: ask.version,
            taken,
            t_us,
        });
    }
}

/// A stream that tells when the system had what was read last (`SO_TIMESTAMPNS`).
struct Stamped {
    stream: TcpStream,
    /// On the system's clock, since the Unix epoch; none where the system does not say. Linux begins to stamp a while
    /// after the first socket asked for it, so the first bytes of a process may come without.
    came: Option<Duration>,
}

impl Read for Stamped {
    fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
        let mut space = nix::cmsg_space!(TimeSpec);
        let mut parts = [IoSliceMut::new(bytes)];
        let flags = MsgFlags::empty();
        let got = recvmsg::<()>(self.stream.as_raw_fd(), &mut parts, Some(&mut space), flags)?;
        let stamp = got.cmsgs()?.find_map(|message| match message {
            ControlMessageOwned::ScmTimestampns(at) => Some(Duration::from(at)),
            _ => None,
        });
        // The stamp of an earlier read would date this call before it began.
        self.came = stamp;
        Ok(got.bytes)
    }
}

/// The line of a call.
#[derive(Debug, PartialEq, Eq)]
struct Ask {
    id: String,
    len: usize,
    turn: u64,
    version: u64,
}

impl Ask {
    fn read(line: &str) -> Option<Self> {
        let words: Vec<_> = line.split(' ').collect();
        let (id, len, fence) = match words[..] {
            ["ask", id, _, len] => (id, len, "0.0"),
            ["ask", id, _, len, fence] => (id, len, fence),
            _ => return None,
        };
        let (turn, version) = fence.split_once('.')?;
        Some(Self {
            id: id.to_string(),
            len: len.parse().ok().filter(|n| *n <= MOST_BODY)?,
            turn: turn.parse().ok()?,
            version: version.parse().ok()?,
        })
    }
}

#[cfg(test)]
mod tests {
    use std::time::{SystemTime, UNIX_EPOCH};

    use super::*;

    fn ask(at: SocketAddr, fence: &str) -> String {
        let mut stream = TcpStream::connect(at).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream.write_all(format!("ask 00000000000000aa 100 2{fence}\r\nhi\r\n").as_bytes()).unwrap();
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).unwrap();
        line.trim_end().to_string()
    }

    #[test]
    fn a_group_takes_a_newer_turn_and_refuses_an_older_one() {
        let group = Group::default();
        let (a, b) =
            (Service::start("a", &group, 1, None).unwrap(), Service::start("b", &group, 2, None).unwrap());
        let alone = Service::start("c", &Group::default(), 3, None).unwrap();
        let yes = "00000000000000aa yes 8";
        assert_eq!(ask(a.address(), ""), yes, "the platform's form is turn 0");
        assert_eq!(ask(a.address(), " 1.1"), yes);
        assert_eq!(ask(b.address(), " 2.1"), yes);
        assert_eq!(ask(a.address(), " 1.1"), "00000000000000aa stale");
        assert_eq!(ask(a.address(), ""), "00000000000000aa stale");
        assert_eq!(ask(alone.address(), " 1.1"), yes);
    }

    #[test]
    fn the_moment_of_a_call_is_when_its_bytes_came_and_not_when_they_were_read() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().unwrap();
        setsockopt(&stream, ReceiveTimestampns, &true).unwrap();
        let unix = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let mut stamped = Stamped { stream, came: None };
        // Asked for by the first socket, stamps begin a while later; a system without any never stamps.
        for _ in 0..50 {
            let before = unix();
            near.write_all(b"call").unwrap();
            let after = unix();
            thread::sleep(Duration::from_millis(30));
            assert_eq!(stamped.read(&mut [0; 8]).unwrap(), 4);
            if let Some(came) = stamped.came {
                let late = after + Duration::from_millis(10);
                assert!(before <= came && came <= late, "{before:?} {came:?} {after:?}");
                return;
            }
        }
        println!("this system stamps nothing: calls are timed as they are read");
    }

    #[test]
    fn what_comes_without_a_stamp_does_not_keep_the_one_before() {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut near = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (stream, _) = listener.accept().unwrap();
        near.write_all(b"call").unwrap();
        let mut stamped = Stamped { stream, came: Some(Duration::from_secs(1)) };
        assert_eq!(stamped.read(&mut [0; 8]).unwrap(), 4);
        assert_eq!(stamped.came, None);
    }

    #[test]
    fn it_fails_a_share_refuses_and_listens_again() {
        let service = Service::start("a", &Group::default(), 7, None).unwrap();
        service.set(Quality { failed: 1.0, ..Quality::default() });
        assert_eq!(ask(service.address(), " 1.1"), "00000000000000aa failed");
        service.refuse();
        let refused = || TcpStream::connect(service.address()).is_err();
        super::super::stand_in::wait_for("the refusal", refused);
        service.listen().unwrap();
        service.set(Quality::default());
        assert_eq!(ask(service.address(), " 1.1"), "00000000000000aa yes 8");
    }

    #[test]
    fn what_is_no_call_is_not_taken() {
        assert!(Ask::read("ask a 1 2 3.4").is_some_and(|a| (a.len, a.turn, a.version) == (2, 3, 4)));
        for line in
            ["", "ask", "ask a 1", "ask a 1 2 3", "ask a 1 2 -1.1", "ask a 1 9999999", "ask a 1 2 3.4 5"]
        {
            assert_eq!(Ask::read(line), None, "{line}");
        }
    }
}
