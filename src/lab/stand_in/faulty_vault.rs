//! A vault of one matcher whose replies name the ask that they were made for. With faults, it answers each call well, but late,
//! twice, out of order, or over another connection than it was asked on, such as that of the request's next ask.

use std::collections::HashSet;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use super::asks::{Ask, Asks};
use super::body::LabBody;
use crate::lab::history::{Event, Recorder};
use crate::lab::random::Random;
use crate::lab::spoil::{Framed, Spoiler};

/// The longest body that is read.
const MOST_BODY: usize = 1 << 20;
/// A connection that takes no reply for so long is given up.
const WRITE_PATIENCE: Duration = Duration::from_secs(1);
/// The longest that a reply comes late within its call's time, that it comes behind it, and that a second copy takes, in
/// milliseconds.
const LATE_MS: u64 = 70;
const BEHIND_MS: u64 = 300;
/// Of the replies behind their call's time, one of four is made in the moment in which that time has passed.
const AT_ONCE_BEHIND_MS: u64 = BEHIND_MS / 3;
const COPY_MS: u64 = 120;

/// The connection that a reply goes over, of those that are open then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Over {
    /// That of its call.
    Own,
    /// The one that was made last.
    Newest,
    /// That of the request's last ask, as at a proxy that keeps its calls by request.
    LastAsk,
    /// Any, by this draw.
    Any(u64),
}

/// What happens to one call. The first copy of its reply may not be the first to come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// It is turned away, and does not run.
    pub is_turned_away: bool,
    /// When, in milliseconds, and over what each copy of the reply goes.
    pub copies: Vec<(u64, Over)>,
}

impl Plan {
    /// The call runs, and is answered at once over its own connection.
    fn sound() -> Self {
        Self { is_turned_away: false, copies: vec![(0, Over::Own)] }
    }

    /// Draws what happens to a call that is waited for so long. Two calls of three are answered at once.
    pub fn draw(random: &mut Random, patience_ms: u64) -> Self {
        let mut below = |most: u64| random.next_u64() % most;
        let first = match below(12) {
            0..=8 => (0, Over::Own),
            9 => (10 + below(LATE_MS), Over::Own),
            10 => {
                let behind_ms = below(AT_ONCE_BEHIND_MS + BEHIND_MS).saturating_sub(AT_ONCE_BEHIND_MS);
                (patience_ms + behind_ms, [Over::Newest, Over::LastAsk][below(2) as usize])
            }
            _ => (below(LATE_MS), Over::Any(below(1 << 20))),
        };
        let is_turned_away = below(12) == 0;
        let mut copies = vec![first];
        if below(4) == 0 {
            let over = match below(4) {
                0 => Over::Own,
                1 => Over::Newest,
                2 => Over::LastAsk,
                _ => Over::Any(below(1 << 20)),
            };
            copies.push((below(COPY_MS), over));
        }
        Self { is_turned_away, copies }
    }
}

struct Shared {
    /// The connections that are open, in the order in which they were made.
    open: Mutex<Vec<(u64, TcpStream)>>,
    /// The draws of the faults; `None` for a vault without faults.
    random: Option<Mutex<Random>>,
    spoiler: Spoiler,
    asks: Asks,
    /// Calls of requests that must run once, and ran.
    ran: Mutex<HashSet<Vec<u8>>>,
    history: Recorder,
    by: String,
}

/// Starts one with faults drawn from a seed. It records its asks in `asks`; a call of what must run once that ran before goes
/// to the history as changed, by `by`.
///
/// # Errors
/// The system's error where it cannot listen.
pub fn faulty_vault(
    seed: u64,
    spoiler: Spoiler,
    history: Recorder,
    by: &str,
    asks: Asks,
) -> io::Result<SocketAddr> {
    start(Some(Random::new(seed)), spoiler, history, by, asks)
}

/// The same without those faults: each call is answered at once, over its own connection. Replies may be spoilt.
///
/// # Errors
/// The system's error where it cannot listen.
pub fn sound_vault(spoiler: Spoiler, history: Recorder, by: &str, asks: Asks) -> io::Result<SocketAddr> {
    start(None, spoiler, history, by, asks)
}

fn start(
    random: Option<Random>,
    spoiler: Spoiler,
    history: Recorder,
    by: &str,
    asks: Asks,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let shared = Arc::new(Shared {
        open: Mutex::default(),
        random: random.map(Mutex::new),
        spoiler,
        asks,
        ran: Mutex::default(),
        history,
        by: by.into(),
    });
    thread::spawn(move || {
        for (number, stream) in (0..).zip(listener.incoming().flatten()) {
            let shared = shared.clone();
            thread::spawn(move || serve(&shared, number, stream));
        }
    });
    Ok(address)
}

fn serve(shared: &Arc<Shared>, number: u64, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = stream.set_write_timeout(Some(WRITE_PATIENCE));
    let Ok(reads) = stream.try_clone() else { return };
    shared.open().push((number, stream));
    let mut reads = BufReader::new(reads);
    let mut line = String::new();
    while reads.read_line(&mut line).unwrap_or(0) > 0 {
        if let ["ask", id, patience, len] = line.trim_end().split(' ').collect::<Vec<_>>()[..] {
            let (Ok(patience), Ok(len)) = (patience.parse(), len.parse::<usize>()) else { break };
            let mut body = vec![0; len.min(MOST_BODY) + 2];
            if len > MOST_BODY || reads.read_exact(&mut body).is_err() {
                break;
            }
            body.truncate(len);
            shared.ask(number, id, patience, &body);
        }
        line.clear();
    }
    shared.open().retain(|(other, _)| *other != number);
}

impl Shared {
    fn open(&self) -> std::sync::MutexGuard<'_, Vec<(u64, TcpStream)>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn ask(self: &Arc<Self>, number: u64, id: &str, patience_ms: u64, body: &[u8]) {
        let ask = self.asks.begin(id, number, body, Duration::from_millis(patience_ms));
        let plan = match &self.random {
            Some(random) => {
                Plan::draw(&mut random.lock().unwrap_or_else(PoisonError::into_inner), patience_ms)
            }
            None => Plan::sound(),
        };
        let reply = match plan.is_turned_away {
            true => self.spoiler.pass(&Framed::text(&format!("{id} notnow\r\n"), &[id])),
            false => {
                self.note_run(id, body);
                self.spoiler.pass(&Framed::reply(id, &ask.reply()))
            }
        };
        for (wait_ms, over) in plan.copies {
            let (shared, reply, id) = (self.clone(), reply.clone(), id.to_string());
            match wait_ms {
                0 => shared.write(&id, &ask, over, &reply),
                _ => {
                    let ask = ask.clone();
                    drop(thread::spawn(move || {
                        thread::sleep(Duration::from_millis(wait_ms));
                        shared.write(&id, &ask, over, &reply);
                    }));
                }
            }
        }
    }

    fn write(&self, id: &str, ask: &Ask, over: Over, reply: &[u8]) {
        self.asks.answer(id, ask.number);
        let number = match over {
            Over::LastAsk => self.asks.in_force(id).map_or(ask.connection, |last| last.connection),
            _ => ask.connection,
        };
        let mut open = self.open();
        let count = open.len() as u64;
        let found = match over {
            Over::Own | Over::LastAsk => open.iter_mut().find(|(other, _)| *other == number),
            Over::Newest => open.last_mut(),
            Over::Any(draw) => open.get_mut((draw % count.max(1)) as usize),
        };
        if let Some((_, stream)) = found {
            let _ = stream.write_all(reply);
        }
    }

    /// A call of a request that must run once runs once. A keyed body is that of all tries of its key: with the id it is one.
    fn note_run(&self, id: &str, body: &[u8]) {
        if !LabBody::parse(body).is_some_and(|body| body.must_run_once()) {
            return;
        }
        let call = [id.as_bytes(), b" ", body].concat();
        if !self.ran.lock().unwrap_or_else(PoisonError::into_inner).insert(call) {
            let what = format!("call_again [{}]", String::from_utf8_lossy(body));
            self.history.record(Event::Changed { by: self.by.clone(), handle: id.into(), what });
        }
    }
}
