//! The admin endpoint for operators: HTTP/1.1 on an address of its own, one request per connection.
//!
//! It shares nothing with the client connections but the reducer's inbox, so that it answers under any load. It serves
//! a small number of connections at once; a client that sends nothing or a partial request is closed when newer ones
//! need its slot.
//!
//! Requests about the fleet's routes and experiments are answered in JSON: 200 with a document, 409 with `error` and
//! `help` where the order is refused, 503 with both where no leader answers, 404 where this matcher has no routes, and
//! 400 for an invalid body.

use std::collections::VecDeque;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::Ordering;
use std::sync::mpsc::TryRecvError;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use may::net::TcpListener;
use miette::Diagnostic;
use thiserror::Error;
use tracing::info;

use super::decoder::{Following, Framing, MessageDecoder, ParsedHead, Scan};
use super::fields::RequestError;
use super::frontend::read_some;
use super::http::{content_length, encode_response, parse_request_head};
use super::lingering_close::{close, ConnectionEnd, TIMEOUT};
use super::stream::Conn;
use super::{accept_next, call_routing, metrics, socket_retry, spawn, Hub};
use crate::core::Input;
use crate::fleet;
use crate::fleet::routes::table::MAX_BYTES;
use crate::fleet::routing::{Order, OrderError};

/// The highest number of clients at once. They use reserved descriptors.
const MAX_CLIENTS: usize = 16;
/// A request must have arrived completely within this time of the accept.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// A client that reads nothing for this long is taken to have stopped reading.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The longest head of a request, and the longest body other than a route table or an experiment document, in bytes.
const MAX_SMALL_REQUEST: usize = 4096;
/// The timeout of an order to the fleet.
const ORDER_TIMEOUT: Duration = Duration::from_secs(6);
/// The timeout of a standby order, which has to be answered within a second.
const STANDBY_TIMEOUT: Duration = Duration::from_millis(800);
/// How often to check whether an order has been answered.
const ORDER_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The highest number of header fields in a request.
const MAX_HEADERS: usize = 32;

/// A request of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Asks whether this process can serve requests.
    Ready,
    /// Lets health checks fail, so that clients go elsewhere.
    Drain,
    /// Ends the effect of [`AdminRequest::Drain`].
    Undrain,
    /// Asks for the members of the fleet.
    Fleet,
    /// Asks for the metrics, in the text format of Prometheus.
    Metrics,
    /// An order about the fleet's routes, experiments or voters.
    Order(Order),
    /// The body is invalid, for this reason.
    Invalid(&'static str),
}

/// The endpoint of a request, known before its body has been received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// The body has no meaning. It is read all the same, so that the answer is not lost to a reset.
    Simple(SimpleEndpoint),
    /// The body is a route table.
    Propose,
    /// The body is the version of a route table.
    Activate,
    /// The body is the document of an experiment.
    Start,
    /// The body is the name of a voter.
    Admit,
}

/// An endpoint whose requests need no body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum SimpleEndpoint {
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

/// All endpoints, with their methods and paths.
const ENDPOINTS: [(&str, &str, Endpoint); 15] = [
    ("GET", "/ready", Endpoint::Simple(SimpleEndpoint::Ready)),
    ("POST", "/drain", Endpoint::Simple(SimpleEndpoint::Drain)),
    ("POST", "/undrain", Endpoint::Simple(SimpleEndpoint::Undrain)),
    ("GET", "/fleet", Endpoint::Simple(SimpleEndpoint::Fleet)),
    ("GET", "/metrics", Endpoint::Simple(SimpleEndpoint::Metrics)),
    ("GET", "/fleet/routes", Endpoint::Simple(SimpleEndpoint::Show)),
    ("GET", "/fleet/routes/history", Endpoint::Simple(SimpleEndpoint::History)),
    ("POST", "/fleet/routes/propose", Endpoint::Propose),
    ("POST", "/fleet/routes/activate", Endpoint::Activate),
    ("POST", "/fleet/routes/abort", Endpoint::Simple(SimpleEndpoint::Abort)),
    ("POST", "/fleet/routes/rollback", Endpoint::Simple(SimpleEndpoint::Rollback)),
    ("GET", "/fleet/experiment", Endpoint::Simple(SimpleEndpoint::ShowExperiment)),
    ("POST", "/fleet/experiment/start", Endpoint::Start),
    ("POST", "/fleet/experiment/stop", Endpoint::Simple(SimpleEndpoint::Stop)),
    ("POST", "/fleet/record/admit", Endpoint::Admit),
];

impl Endpoint {
    fn max_body(self) -> usize {
        match self {
            Self::Propose | Self::Start => MAX_BYTES,
            _ => MAX_SMALL_REQUEST,
        }
    }

    fn into_request(self, body: &[u8]) -> AdminRequest {
        let text = std::str::from_utf8(body).map(str::trim);
        let order = match (self, text) {
            (Self::Simple(endpoint), _) => return endpoint.request(),
            (_, Err(_)) => return AdminRequest::Invalid("the body is no text in UTF-8"),
            // Documents are passed on unchanged, because their parser reports the line of an error.
            (Self::Propose, _) => Order::Propose { table: String::from_utf8_lossy(body).into_owned() },
            (Self::Start, _) => Order::Start { document: String::from_utf8_lossy(body).into_owned() },
            (Self::Activate, Ok(text)) => match text.parse() {
                Ok(version) => Order::Activate { version },
                Err(_) => return AdminRequest::Invalid("the body is no version"),
            },
            (Self::Admit, Ok("")) => return AdminRequest::Invalid("the body names no voter"),
            (Self::Admit, Ok(name)) => Order::Admit { name: name.to_string() },
        };
        AdminRequest::Order(order)
    }
}

impl SimpleEndpoint {
    fn request(self) -> AdminRequest {
        match self {
            Self::Ready => AdminRequest::Ready,
            Self::Drain => AdminRequest::Drain,
            Self::Undrain => AdminRequest::Undrain,
            Self::Fleet => AdminRequest::Fleet,
            Self::Metrics => AdminRequest::Metrics,
            Self::Abort => AdminRequest::Order(Order::Abort),
            Self::Rollback => AdminRequest::Order(Order::Rollback),
            Self::Show => AdminRequest::Order(Order::Show),
            Self::History => AdminRequest::Order(Order::History),
            Self::Stop => AdminRequest::Order(Order::Stop),
            Self::ShowExperiment => AdminRequest::Order(Order::ShowExperiment),
        }
    }
}

/// The HTTP protocol of the admin endpoint.
#[derive(Clone, Copy, Debug)]
pub struct AdminHttp;

impl Framing for AdminHttp {
    type Head = Endpoint;
    type Message = AdminRequest;
    const MAX_HEAD: usize = MAX_SMALL_REQUEST;

    fn head_may_be_complete(&self, bytes: &[u8], scan: &mut Scan) -> bool {
        scan.finds_blank_line(bytes)
    }

    fn parse_head(&self, bytes: &[u8]) -> Result<Option<ParsedHead<Endpoint>>, RequestError> {
        let mut buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let Some((head, head_len)) = parse_request_head(bytes, &mut buffer)? else { return Ok(None) };
        let body_len = content_length(head.headers)?.unwrap_or(0);
        let (method, path) =
            (head.method.unwrap_or(""), head.path.unwrap_or("").split('?').next().unwrap_or(""));
        let known =
            ENDPOINTS.iter().find(|(m, p, _)| (*m, *p) == (method, path)).map(|(.., endpoint)| *endpoint);
        if body_len > known.map_or(MAX_SMALL_REQUEST, Endpoint::max_body) {
            return Err(RequestError { status: 413, reason: "the body is too large" });
        }
        match known {
            Some(head) => Ok(Some(ParsedHead { head, head_len, body_len })),
            None if ENDPOINTS.iter().any(|(_, p, _)| *p == path) => {
                Err(RequestError { status: 405, reason: "not with this method" })
            }
            None => Err(RequestError { status: 404, reason: "no such call" }),
        }
    }

    fn build_message(&self, parsed: ParsedHead<Endpoint>, body: &[u8]) -> Result<AdminRequest, RequestError> {
        Ok(parsed.head.into_request(body))
    }

    fn check_following(&self, _following: &[u8]) -> Result<Following, RequestError> {
        Ok(Following::Valid)
    }
}

/// The connected clients, the oldest first.
type Clients = Arc<Mutex<VecDeque<(u64, Conn)>>>;

fn lock(clients: &Clients) -> MutexGuard<'_, VecDeque<(u64, Conn)>> {
    clients.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the endpoint, which listens as long as the process runs, and returns its address.
pub(super) fn start(address: SocketAddr, hub: &Arc<Hub>) -> io::Result<SocketAddr> {
    drop(socket_retry::open(|| std::net::TcpListener::bind(address))?);
    let listener = socket_retry::open(|| TcpListener::bind(address))?;
    let at = listener.local_addr()?;
    info!("takes operators' calls on {at}");
    let hub = hub.clone();
    spawn(move || {
        let (clients, mut id) = (Clients::default(), 0);
        loop {
            let stream = accept_next(&listener);
            let operator = stream.peer_addr().map_or("an operator".to_string(), |at| at.to_string());
            let conn = Conn::new(stream, WRITE_TIMEOUT);
            id += 1;
            {
                let mut clients = lock(&clients);
                clients.push_back((id, conn.clone()));
                if clients.len() > MAX_CLIENTS {
                    clients.pop_front().into_iter().for_each(|(_, oldest)| oldest.shutdown(Shutdown::Both));
                }
            }
            let (hub, clients) = (hub.clone(), clients.clone());
            spawn(move || {
                serve(conn, &operator, &hub);
                lock(&clients).retain(|(n, _)| *n != id);
            });
        }
    });
    Ok(at)
}

fn serve(mut conn: Conn, operator: &str, hub: &Hub) {
    let (mut decoder, since) = (MessageDecoder::new(AdminHttp), Instant::now());
    let request = loop {
        match decoder.next_message() {
            Ok(None) => {}
            Ok(Some((request, _))) => break Ok(request),
            Err(error) => break Err(error.status),
        }
        let remaining = READ_TIMEOUT.saturating_sub(since.elapsed());
        if remaining.is_zero() {
            break Err(408);
        }
        conn.set_read_timeout(remaining);
        match read_some(&mut conn, decoder.buffer_mut()) {
            Ok(0) => return,
            Ok(_) => {}
            Err(e) if super::frontend::is_timeout(&e) || e.kind() == io::ErrorKind::Interrupted => {}
            Err(_) => return,
        }
    };
    let mut body_text = None;
    let status = match request {
        Ok(AdminRequest::Ready)
            if hub.ready.load(Ordering::Acquire)
                && !hub.has_stopped_accepting()
                && call_routing::ready(hub) =>
        {
            200
        }
        Ok(AdminRequest::Ready) => 503,
        Ok(AdminRequest::Fleet) => {
            body_text = hub
                .fleet
                .as_ref()
                .and_then(fleet::MembershipHandle::status)
                .map(|status| status.to_json() + "\n");
            if body_text.is_some() {
                200
            } else {
                404
            }
        }
        Ok(AdminRequest::Metrics) => match metrics::render(hub, READ_TIMEOUT) {
            Some(text) => {
                body_text = Some(text);
                200
            }
            None => 503,
        },
        Ok(AdminRequest::Order(order)) => {
            let (status, document) = execute_order(hub, order, operator);
            body_text = Some(document);
            status
        }
        Ok(AdminRequest::Invalid(reason)) => {
            body_text =
                Some(error_document(reason, Some("`hopwalk fleet --help` shows what each call is given")));
            400
        }
        Ok(request @ (AdminRequest::Drain | AdminRequest::Undrain)) => {
            match order_standby(hub, request == AdminRequest::Drain) {
                Ok(()) => 200,
                Err(refusal) => {
                    body_text = Some(error_document(
                        &refusal.to_string(),
                        refusal.help().map(|help| help.to_string()).as_deref(),
                    ));
                    503
                }
            }
        }
        Err(status) => status,
    };
    let body = body_text.as_deref().unwrap_or(if status == 200 { "yes\n" } else { "no\n" });
    if conn.write_all(&encode_response(status, "", body.as_bytes(), true)).is_ok() {
        close(&mut conn, ConnectionEnd::Finished, TIMEOUT, &hub.pacing);
    }
}

/// Why a standby order is not carried out, or not by all processes of the matcher.
#[derive(Clone, Copy, Debug, Error, Diagnostic, PartialEq, Eq)]
pub enum StandbyError {
    /// The predecessor serves the clients until it has handed over.
    #[error("this process has not taken over yet")]
    #[diagnostic(help("call the process that serves, or this one again once GET /ready says yes"))]
    NotTakenOver,
    /// Another process of this matcher answers health checks too, and cannot be told.
    #[error("the order is not known to be in force in every process of this matcher")]
    #[diagnostic(help("call again, or call the process that serves once the other one has ended"))]
    NotShared,
}

/// Has clients stay away or return, in this process and in the other ones of this matcher.
fn order_standby(hub: &Hub, standby: bool) -> Result<(), StandbyError> {
    if !hub.accepts_clients.load(Ordering::Acquire) {
        return Err(StandbyError::NotTakenOver);
    }
    if let Some(fleet) = &hub.fleet {
        fleet.draining(standby);
    }
    // Inputs that are queued after this one, health checks included, are answered accordingly.
    let (ticket, outcome) = hub.standby_orders.issue();
    hub.push(Input::Standby { standby, ticket });
    match hub.standby_orders.wait(ticket, &outcome, STANDBY_TIMEOUT) {
        Some(true) => Ok(()),
        Some(false) | None => Err(StandbyError::NotShared),
    }
}

/// Executes an order; returns the status and body of the answer. It waits in a coroutine, for a limited time.
fn execute_order(hub: &Hub, order: Order, operator: &str) -> (u16, String) {
    let result = match &hub.routing {
        None => Err(OrderError::NoRoutes),
        Some(routing) => {
            let (answer, since) = (routing.order(order, operator), Instant::now());
            loop {
                match answer.try_recv() {
                    Ok(result) => break result,
                    Err(TryRecvError::Disconnected) => break Err(OrderError::ThreadEnded),
                    Err(TryRecvError::Empty) if since.elapsed() >= ORDER_TIMEOUT => {
                        break Err(OrderError::NoLeader { timeout: ORDER_TIMEOUT });
                    }
                    Err(TryRecvError::Empty) => crate::net::spawn::sleep(ORDER_POLL_INTERVAL),
                }
            }
        }
    };
    match result {
        Ok(document) => (200, document + "\n"),
        Err(e) => {
            let status = match e {
                OrderError::NoRoutes => 404,
                OrderError::NoLeader { .. } | OrderError::ThreadEnded | OrderError::QueueFull => 503,
                OrderError::InvalidDocument { .. } => 400,
                OrderError::Refused(_) | OrderError::Admit(_) | OrderError::UnknownOrder => 409,
            };
            (status, error_document(&e.to_string(), e.help().map(|help| help.to_string()).as_deref()))
        }
    }
}

/// The JSON document that gives an error and what to do about it.
fn error_document(error: &str, help: Option<&str>) -> String {
    serde_json::json!({ "error": error, "help": help.unwrap_or_default() }).to_string() + "\n"
}

#[cfg(test)]
mod tests {
    use super::super::call_routing::fake::{test_hub, FakeRouter};
    use super::*;
    use crate::fleet::admin_client::{request, request_with_body, AdminClientError};
    use crate::fleet::routes::record::RecordError;
    use crate::fleet::routing::RouteDecision;

    const TIMEOUT: Duration = Duration::from_secs(10);

    fn start_admin(router: Option<Arc<FakeRouter>>) -> (SocketAddr, Arc<Hub>) {
        let hub = test_hub(router, None).0;
        hub.ready.store(true, Ordering::Release);
        (start("127.0.0.1:0".parse().unwrap(), &hub).unwrap(), hub)
    }

    fn refused(result: Result<String, AdminClientError>) -> (u16, String, String) {
        match result {
            Err(AdminClientError::Refused { status, error, help }) => (status, error, help),
            other => panic!("{other:?}"),
        }
    }

    #[test]
    fn each_request_becomes_its_order_and_returns_the_document() {
        let router = Arc::new(FakeRouter::with_answers([RouteDecision::Barred]));
        let (at, _hub) = start_admin(Some(router.clone()));
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
            assert_eq!(request_with_body(at, method, path, body, TIMEOUT).unwrap(), "{}\n", "{path}");
            let (received, operator) = router.orders().pop().unwrap();
            assert_eq!(received, order);
            assert!(operator.starts_with("127.0.0.1:"), "{operator}");
        }
    }

    #[test]
    fn a_refusal_gives_the_reason_and_what_to_do() {
        let router = Arc::new(FakeRouter::with_answers([RouteDecision::Barred]));
        let (at, _hub) = start_admin(Some(router.clone()));
        let error = RecordError::UnknownVersion { version: 9 };
        router.set_answer(Err(OrderError::Refused(error.clone().into())));
        let (status, reason, help) =
            refused(request_with_body(at, "POST", "/fleet/routes/activate", "9", TIMEOUT));
        assert_eq!((status, reason, help), (409, error.to_string(), error.help().unwrap().to_string()));
        router.set_answer(Err(OrderError::NoLeader { timeout: ORDER_TIMEOUT }));
        let (status, reason, help) = refused(request(at, "GET", "/fleet/routes", TIMEOUT));
        assert!(status == 503 && reason.contains("leader") && !help.is_empty(), "{reason}");
        for (path, body) in [("/fleet/routes/activate", "seven"), ("/fleet/record/admit", " ")] {
            assert_eq!(refused(request_with_body(at, "POST", path, body, TIMEOUT)).0, 400, "{path}");
        }
        let long = "x".repeat(MAX_BYTES + 1);
        let result = request_with_body(at, "POST", "/fleet/routes/propose", &long, TIMEOUT);
        assert!(matches!(result, Err(AdminClientError::Status { status: 413, .. })), "{result:?}");
        let (off, _hub) = start_admin(None);
        assert_eq!(refused(request(off, "GET", "/fleet/routes", TIMEOUT)).0, 404);
    }

    #[test]
    fn an_unanswered_order_does_not_block_other_requests() {
        // Guards against orders that block a worker thread: as many orders as there are worker threads would stop the
        // whole endpoint.
        let router = Arc::new(FakeRouter::with_answers([RouteDecision::Barred]));
        router.leave_unanswered();
        let (at, _hub) = start_admin(Some(router.clone()));
        let since = Instant::now();
        let pending: Vec<_> = (0..10)
            .map(|_| std::thread::spawn(move || refused(request(at, "GET", "/fleet/routes", TIMEOUT)).0))
            .collect();
        while router.orders().len() < 10 {
            assert!(since.elapsed() < TIMEOUT, "{} orders", router.orders().len());
            std::thread::sleep(Duration::from_millis(1));
        }
        assert!(request(at, "GET", "/ready", TIMEOUT).is_ok());
        assert!(since.elapsed() < ORDER_TIMEOUT, "{:?}", since.elapsed());
        router.drop_unanswered();
        assert!(pending.into_iter().all(|order| order.join().unwrap() == 503));
    }

    #[test]
    fn a_matcher_without_its_lease_is_not_ready() {
        let router = Arc::new(FakeRouter::with_answers([RouteDecision::Barred]));
        let (at, _hub) = start_admin(Some(router.clone()));
        assert!(request(at, "GET", "/ready", TIMEOUT).is_ok());
        router.set_ready(false);
        let result = request(at, "GET", "/ready", TIMEOUT);
        assert!(matches!(result, Err(AdminClientError::Status { status: 503, .. })), "{result:?}");
    }
}
