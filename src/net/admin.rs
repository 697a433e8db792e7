//! The operators' door: HTTP/1.1 on an address of its own, one call a connection.
//!
//! It shares nothing with the callers' connections but the reducer's inbox, so that it answers whatever the load:
//! it has few places of its own, and a client that sends nothing or half a call loses its place to the next.
//!
//! What is asked of the fleet's routes is answered in JSON: 200 with a document, 409 with `error` and `help` where it is
//! refused, 503 with them where no leader answers, 404 where this matcher has no routes, 400 for a body that says nothing.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::mpsc::TryRecvError;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use may::net::TcpListener;
use miette::Diagnostic;
use tracing::info;

use super::decoder::{Framing, Headed, MessageDecoder, Scan};
use super::fields::RequestError;
use super::frontend::read_some;
use super::http::{body_len, read_head, response};
use super::lingering_close::{close, Ending, PATIENCE};
use super::stream::Conn;
use super::{call_routing, metrics, next, socket_retry, spawn, Hub};
use crate::core::Input;
use crate::fleet;
use crate::fleet::routes::table::MOST_BYTES;
use crate::fleet::routing::{Order, OrderError};

/// Clients at once. They take descriptors out of those kept back.
const MOST_CLIENTS: usize = 16;
/// A call must be there whole this long after its client connected.
const READ_PATIENCE: Duration = Duration::from_secs(3);
/// A client that reads nothing for this long has stopped reading.
const WRITE_PATIENCE: Duration = Duration::from_secs(1);
/// The longest head of a call, and the longest body that is no table and no experiment.
const MOST_CALL: usize = 4096;
/// An order to the fleet is waited for this long.
const ORDER_PATIENCE: Duration = Duration::from_secs(6);
/// Between two looks at whether an order was answered.
const ORDER_LOOK: Duration = Duration::from_millis(5);
/// Fields that a head may have.
const MOST_FIELDS: usize = 32;

/// What operators may ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Can this process serve?
    Ready,
    /// Have health checks answered badly, so that callers go elsewhere.
    Drain,
    /// Take callers again.
    Undrain,
    /// Who else is in the fleet?
    Fleet,
    /// What was counted, in the text format of Prometheus.
    Metrics,
    /// Something of the fleet's routes and experiments.
    Order(Order),
    /// The body does not say what it is to be.
    Unclear(&'static str),
}

/// What a call's head asks for, before its body is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// One whose body says nothing. It is read so that the answer is not lost to a reset.
    Plain(Plain),
    /// A table is in the body.
    Propose,
    /// The number of a version is in the body.
    Activate,
    /// The document of an experiment is in the body.
    Start,
    /// The name of a voter is in the body.
    Admit,
}

/// A call without a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Plain {
    Ready,
    Drain,
    Undrain,
    Fleet,
    Metrics,
    Abort,
    Rollback,
    Show,
    History,
    Stop,
    ShowExperiment,
}

/// All calls: method, path, and what they ask for.
const CALLS: [(&str, &str, Asked); 15] = [
    ("GET", "/ready", Asked::Plain(Plain::Ready)),
    ("POST", "/drain", Asked::Plain(Plain::Drain)),
    ("POST", "/undrain", Asked::Plain(Plain::Undrain)),
    ("GET", "/fleet", Asked::Plain(Plain::Fleet)),
    ("GET", "/metrics", Asked::Plain(Plain::Metrics)),
    ("GET", "/fleet/routes", Asked::Plain(Plain::Show)),
    ("GET", "/fleet/routes/history", Asked::Plain(Plain::History)),
    ("POST", "/fleet/routes/propose", Asked::Propose),
    ("POST", "/fleet/routes/activate", Asked::Activate),
    ("POST", "/fleet/routes/abort", Asked::Plain(Plain::Abort)),
    ("POST", "/fleet/routes/rollback", Asked::Plain(Plain::Rollback)),
    ("GET", "/fleet/experiment", Asked::Plain(Plain::ShowExperiment)),
    ("POST", "/fleet/experiment/start", Asked::Start),
    ("POST", "/fleet/experiment/stop", Asked::Plain(Plain::Stop)),
    ("POST", "/fleet/record/admit", Asked::Admit),
];

impl Asked {
    fn most_body(self) -> usize {
        match self {
            Self::Propose | Self::Start => MOST_BYTES,
            _ => MOST_CALL,
        }
    }

    fn with(self, body: &[u8]) -> Call {
        let text = std::str::from_utf8(body).map(str::trim);
        let order = match (self, text) {
            (Self::Plain(plain), _) => return plain.call(),
            (_, Err(_)) => return Call::Unclear("the body is no text in UTF-8"),
            // A document is passed on as it came: who reads it names the line of a mistake.
            (Self::Propose, _) => Order::Propose { table: String::from_utf8_lossy(body).into_owned() },
            (Self::Start, _) => Order::Start { document: String::from_utf8_lossy(body).into_owned() },
            (Self::Activate, Ok(text)) => match text.parse() {
                Ok(version) => Order::Activate { version },
                Err(_) => return Call::Unclear("the body is no version"),
            },
            (Self::Admit, Ok("")) => return Call::Unclear("the body names no voter"),
            (Self::Admit, Ok(name)) => Order::Admit { name: name.to_string() },
        };
        Call::Order(order)
    }
}

impl Plain {
    fn call(self) -> Call {
        match self {
            Self::Ready => Call::Ready,
            Self::Drain => Call::Drain,
            Self::Undrain => Call::Undrain,
            Self::Fleet => Call::Fleet,
            Self::Metrics => Call::Metrics,
            Self::Abort => Call::Order(Order::Abort),
            Self::Rollback => Call::Order(Order::Rollback),
            Self::Show => Call::Order(Order::Show),
            Self::History => Call::Order(Order::History),
            Self::Stop => Call::Order(Order::Stop),
            Self::ShowExperiment => Call::Order(Order::ShowExperiment),
        }
    }
}

/// The door's wire.
#[derive(Clone, Copy, Debug)]
pub struct AdminHttp;

impl Framing for AdminHttp {
    type Head = Asked;
    type Message = Call;
    const MOST_HEAD: usize = MOST_CALL;

    fn may_end(&self, bytes: &[u8], scan: &mut Scan) -> bool {
        scan.finds_blank_line(bytes)
    }

    fn head(&self, bytes: &[u8]) -> Result<Option<Headed<Asked>>, RequestError> {
        let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
        let Some((head, len)) = read_head(bytes, &mut fields)? else { return Ok(None) };
        let body = body_len(head.headers)?;
        let (method, path) =
            (head.method.unwrap_or(""), head.path.unwrap_or("").split('?').next().unwrap_or(""));
        let known = CALLS.iter().find(|(m, p, _)| (*m, *p) == (method, path)).map(|(.., asked)| *asked);
        if body > known.map_or(MOST_CALL, Asked::most_body) {
            return Err(RequestError { status: 413, reason: "the body is too large" });
        }
        match known {
            Some(head) => Ok(Some(Headed { head, len, body })),
            None if CALLS.iter().any(|(_, p, _)| *p == path) => {
                Err(RequestError { status: 405, reason: "not with this method" })
            }
            None => Err(RequestError { status: 404, reason: "no such call" }),
        }
    }

    fn message(&self, headed: Headed<Asked>, body: &[u8], _behind: bool) -> Result<Call, RequestError> {
        Ok(headed.head.with(body))
    }
}

/// The clients that are connected, the oldest first.
type Clients = Arc<Mutex<VecDeque<(u64, Conn)>>>;

fn lock(clients: &Clients) -> MutexGuard<'_, VecDeque<(u64, Conn)>> {
    clients.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Listens for as long as the process lives; where.
pub(super) fn start(address: SocketAddr, hub: &Arc<Hub>) -> io::Result<SocketAddr> {
    drop(socket_retry::open(|| std::net::TcpListener::bind(address))?);
    let listener = socket_retry::open(|| TcpListener::bind(address))?;
    let at = listener.local_addr()?;
    info!("takes operators' calls on {at}");
    let hub = hub.clone();
    spawn(move || {
        let (clients, mut number) = (Clients::default(), 0);
        loop {
            let stream = next(&listener);
            let by = stream.peer_addr().map_or("an operator".to_string(), |at| at.to_string());
            let conn = Conn::new(stream, WRITE_PATIENCE);
            number += 1;
            {
                let mut clients = lock(&clients);
                clients.push_back((number, conn.clone()));
                if clients.len() > MOST_CLIENTS {
                    clients.pop_front().into_iter().for_each(|(_, oldest)| oldest.shutdown(Shutdown::Both));
                }
            }
            let (hub, clients) = (hub.clone(), clients.clone());
            spawn(move || {
                serve(conn, &by, &hub);
                lock(&clients).retain(|(n, _)| *n != number);
            });
        }
    });
    Ok(at)
}

fn serve(mut conn: Conn, by: &str, hub: &Hub) {
    let (mut decoder, since) = (MessageDecoder::new(AdminHttp), Instant::now());
    let asked = loop {
        match decoder.next_message() {
            Ok(None) => {}
            Ok(Some((call, _))) => break Ok(call),
            Err(bad) => break Err(bad.status),
        }
        let left = READ_PATIENCE.saturating_sub(since.elapsed());
        if left.is_zero() {
            break Err(408);
        }
        conn.set_read_patience(left);
        match read_some(&mut conn, decoder.buffer_mut()) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if super::frontend::is_timeout(&e) || e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    };
    let mut told = None;
    let status = match asked {
        Ok(Call::Ready)
            if hub.ready.load(Ordering::Acquire)
                && !hub.has_stopped_accepting()
                && call_routing::ready(hub) =>
        {
            200
        }
        Ok(Call::Ready) => 503,
        Ok(Call::Fleet) => {
            told = hub.fleet.as_ref().and_then(fleet::Link::status).map(|status| status.to_json() + "\n");
            if told.is_some() {
                200
            } else {
                404
            }
        }
        Ok(Call::Metrics) => match metrics::render(hub, READ_PATIENCE) {
            Some(text) => {
                told = Some(text);
                200
            }
            None => 503,
        },
        Ok(Call::Order(order)) => {
            let (status, document) = carry_out(hub, order, by);
            told = Some(document);
            status
        }
        Ok(Call::Unclear(reason)) => {
            told = Some(refusal(reason, Some("`hopwalk fleet --help` shows what each call is given")));
            400
        }
        Ok(call @ (Call::Drain | Call::Undrain)) => {
            if let Some(fleet) = &hub.fleet {
                fleet.draining(call == Call::Drain);
            }
            // What is read behind this in the inbox, health checks among it, is answered as it asks.
            hub.push(Input::Standby(call == Call::Drain));
            200
        }
        Err(status) => status,
    };
    let body = told.as_deref().unwrap_or(if status == 200 { "yes\n" } else { "no\n" });
    if conn.write_all(&response(status, "", body.as_bytes(), true)).is_ok() {
        close(&mut conn, Ending::Finished, PATIENCE);
    }
}

/// Has an order carried out; a status, and what there is to say. It waits in a coroutine, for a bounded time.
fn carry_out(hub: &Hub, order: Order, by: &str) -> (u16, String) {
    let done = match &hub.routing {
        None => Err(OrderError::Off),
        Some(routing) => {
            let (answer, since) = (routing.order(order, by), Instant::now());
            loop {
                match answer.try_recv() {
                    Ok(done) => break done,
                    Err(TryRecvError::Disconnected) => break Err(OrderError::Gone),
                    Err(TryRecvError::Empty) if since.elapsed() >= ORDER_PATIENCE => {
                        break Err(OrderError::NoLeader { patience: ORDER_PATIENCE });
                    }
                    Err(TryRecvError::Empty) => crate::net::spawn::sleep(ORDER_LOOK),
                }
            }
        }
    };
    match done {
        Ok(document) => (200, document + "\n"),
        Err(e) => {
            let status = match e {
                OrderError::Off => 404,
                OrderError::NoLeader { .. } | OrderError::Gone | OrderError::Full => 503,
                OrderError::Document { .. } => 400,
                OrderError::Refused(_) | OrderError::Admit(_) | OrderError::Unknown => 409,
            };
            (status, refusal(&e.to_string(), e.help().map(|help| help.to_string()).as_deref()))
        }
    }
}

/// What is wrong and what can be done, as a document.
fn refusal(error: &str, help: Option<&str>) -> String {
    serde_json::json!({ "error": error, "help": help.unwrap_or_default() }).to_string() + "\n"
}

#[cfg(test)]
mod tests {
    use super::super::call_routing::fake::{test_hub, FakeRouter};
    use super::*;
    use crate::fleet::door::{ask, send, DoorError};
    use crate::fleet::routes::record::RecordError;
    use crate::fleet::routing::Routed;

    const PATIENCE: Duration = Duration::from_secs(10);

    fn door(double: Option<Arc<FakeRouter>>) -> (SocketAddr, Arc<Hub>) {
        let hub = test_hub(double, None).0;
        hub.ready.store(true, Ordering::Release);
        (start("127.0.0.1:0".parse().unwrap(), &hub).unwrap(), hub)
    }

    fn refused(done: Result<String, DoorError>) -> (u16, String, String) {
        match done {
            Err(DoorError::Refused { status, error, help }) => (status, error, help),
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn each_call_becomes_its_order_and_brings_the_document() {
        let double = Arc::new(FakeRouter::with_answers([Routed::Barred]));
        let (at, _hub) = door(Some(double.clone()));
        let table = format!("{{\"pools\": {}}}\n", " ".repeat(60_000));
        let calls = [
            ("GET", "/fleet/routes", "", Order::Show),
            ("GET", "/fleet/routes/history", "", Order::History),
            ("POST", "/fleet/routes/propose", &table, Order::Propose { table: table.clone() }),
            ("POST", "/fleet/routes/activate", "7", Order::Activate { version: 7 }),
            ("POST", "/fleet/routes/abort", "", Order::Abort),
            ("POST", "/fleet/routes/rollback", "", Order::Rollback),
            ("GET", "/fleet/experiment", "", Order::ShowExperiment),
            ("POST", "/fleet/experiment/start", "{}", Order::Start { document: "{}".into() }),
            ("POST", "/fleet/experiment/stop", "", Order::Stop),
            ("POST", "/fleet/record/admit", "m2", Order::Admit { name: "m2".into() }),
        ];
        for (method, path, body, order) in calls {
            assert_eq!(send(at, method, path, body, PATIENCE).unwrap(), "{}\n", "{path}");
            let (asked, by) = double.orders().pop().unwrap();
            assert_eq!(asked, order);
            assert!(by.starts_with("127.0.0.1:"), "{by}");
        }
    }

    #[test]
    fn a_refusal_tells_why_and_what_to_do() {
        let double = Arc::new(FakeRouter::with_answers([Routed::Barred]));
        let (at, _hub) = door(Some(double.clone()));
        let error = RecordError::UnknownVersion { version: 9 };
        double.set_answer(Err(OrderError::Refused(error.clone().into())));
        let (status, told, help) = refused(send(at, "POST", "/fleet/routes/activate", "9", PATIENCE));
        assert_eq!((status, told, help), (409, error.to_string(), error.help().unwrap().to_string()));
        double.set_answer(Err(OrderError::NoLeader { patience: ORDER_PATIENCE }));
        let (status, told, help) = refused(ask(at, "GET", "/fleet/routes", PATIENCE));
        assert!(status == 503 && told.contains("leader") && !help.is_empty(), "{told}");
        for (path, body) in [("/fleet/routes/activate", "seven"), ("/fleet/record/admit", " ")] {
            assert_eq!(refused(send(at, "POST", path, body, PATIENCE)).0, 400, "{path}");
        }
        let long = "x".repeat(MOST_BYTES + 1);
        let told = send(at, "POST", "/fleet/routes/propose", &long, PATIENCE);
        assert!(matches!(told, Err(DoorError::Status { status: 413, .. })), "{told:?}");
        let (off, _hub) = door(None);
        assert_eq!(refused(ask(off, "GET", "/fleet/routes", PATIENCE)).0, 404);
    }

    #[test]
    fn an_order_that_nobody_answers_holds_up_no_other_call() {
        // Guards against a worker that waits in a system call: with as many as there are workers the door stands still.
        let double = Arc::new(FakeRouter::with_answers([Routed::Barred]));
        double.leave_unanswered();
        let (at, _hub) = door(Some(double.clone()));
        let since = Instant::now();
        let waits: Vec<_> = (0..10)
            .map(|_| std::thread::spawn(move || refused(ask(at, "GET", "/fleet/routes", PATIENCE)).0))
            .collect();
        while double.orders().len() < 10 {
            assert!(since.elapsed() < PATIENCE, "{} orders", double.orders().len());
            std::thread::sleep(Duration::from_millis(1));
        }
        assert!(ask(at, "GET", "/ready", PATIENCE).is_ok());
        assert!(since.elapsed() < ORDER_PATIENCE, "{:?}", since.elapsed());
        double.drop_unanswered();
        assert!(waits.into_iter().all(|w| w.join().unwrap() == 503));
    }

    #[test]
    fn a_matcher_without_its_lease_is_not_ready() {
        let double = Arc::new(FakeRouter::with_answers([Routed::Barred]));
        let (at, _hub) = door(Some(double.clone()));
        assert!(ask(at, "GET", "/ready", PATIENCE).is_ok());
        double.set_ready(false);
        let told = ask(at, "GET", "/ready", PATIENCE);
        assert!(matches!(told, Err(DoorError::Status { status: 503, .. })), "{told:?}");
    }
}
